//! Malformed requests, HTTP/2 connections with several calls, and shutdown with calls in flight.

use std::net::SocketAddr;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use http::{Method, Request};
use http_body_util::{BodyExt, Empty};
use hyper_util::rt::{TokioExecutor, TokioIo};
use serde_json::{Value, json};
use standin::faults::ResponseFault;
use standin::platform::Platform;
use testing::{
    HttpClient, HttpResponse, Instance, basic_resources, eventually, group, request, service,
    start_instance_with,
};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// Starts one instance with two targets of the service `orders` and waits until calls are served.
async fn start(overrides: Value) -> (Platform, Instance, HttpClient) {
    let platform = Platform::start(&[group("orders", "a", 2)])
        .await
        .expect("platform");
    let instance = start_instance_with(&platform, "one", "a", &overrides);
    let http = HttpClient::new();
    let mut resources = basic_resources(&["a"]);
    resources.push(service("orders"));
    http.declare(instance.addresses.admin, &resources).await;
    eventually("calls are served", || async {
        let resp = http
            .get(instance.addresses.callers, "orders.test", "/")
            .await
            .ok()?;
        (resp.status == 200).then_some(())
    })
    .await;
    (platform, instance, http)
}

/// Sends bytes on a new connection and reads until it closes, or for two seconds.
async fn send_raw(address: SocketAddr, bytes: &[u8]) -> String {
    let mut stream = TcpStream::connect(address).await.expect("connection");
    stream.write_all(bytes).await.expect("request written");
    let mut resp = Vec::new();
    let _ = tokio::time::timeout(Duration::from_secs(2), stream.read_to_end(&mut resp)).await;
    String::from_utf8_lossy(&resp).into_owned()
}

/// Host header of raw requests.
const HOST: &str = "host: orders.test\r\n";

#[tokio::test(flavor = "multi_thread")]
async fn malformed_requests_get_one_error_and_reach_no_target() {
    let (platform, instance, http) = start(json!({"limits": {"request_body": "1KiB"}})).await;
    let callers = instance.addresses.callers;
    let smuggled = format!("POST /smuggled HTTP/1.1\r\n{HOST}x-request-id: smuggled\r\n\r\n");
    let chunk = format!("5\r\nhello\r\n0\r\n\r\n{smuggled}");
    let long_value = "x".repeat(200_000);
    let cases = [
        (
            "two lengths",
            format!(
                "POST / HTTP/1.1\r\n{HOST}content-length: 5\r\ncontent-length: 6\r\n\r\nhello{smuggled}"
            ),
            "400",
        ),
        (
            "zero and a length",
            format!(
                "POST / HTTP/1.1\r\n{HOST}content-length: 0\r\ncontent-length: 5\r\n\r\nhello{smuggled}"
            ),
            "400",
        ),
        (
            "signed length",
            format!("POST / HTTP/1.1\r\n{HOST}content-length: +5\r\n\r\nhello{smuggled}"),
            "400",
        ),
        (
            "length and chunked",
            format!(
                "POST / HTTP/1.1\r\n{HOST}content-length: 5\r\ntransfer-encoding: chunked\r\n\r\n{chunk}"
            ),
            "400",
        ),
        (
            "zero length and chunked",
            format!(
                "POST / HTTP/1.1\r\n{HOST}content-length: 0\r\ntransfer-encoding: chunked\r\n\r\n{chunk}"
            ),
            "400",
        ),
        (
            "unknown coding",
            format!("POST / HTTP/1.1\r\n{HOST}transfer-encoding: gzip\r\n\r\n{smuggled}"),
            "400",
        ),
        (
            "coding twice",
            format!("POST / HTTP/1.1\r\n{HOST}transfer-encoding: gzip, chunked\r\n\r\n{chunk}"),
            "400",
        ),
        (
            "two hosts",
            format!("POST / HTTP/1.1\r\n{HOST}host: other.test\r\n\r\n{smuggled}"),
            "400",
        ),
        (
            "no host",
            format!("POST / HTTP/1.1\r\n\r\n{smuggled}"),
            "400",
        ),
        (
            "bad host",
            format!("POST / HTTP/1.1\r\nhost: a b\r\n\r\n{smuggled}"),
            "400",
        ),
        (
            "upgrade",
            format!("GET / HTTP/1.1\r\n{HOST}connection: upgrade\r\nupgrade: x\r\n\r\n{smuggled}"),
            "400",
        ),
        (
            "oversized head",
            format!("GET / HTTP/1.1\r\n{HOST}x-big: {long_value}\r\n\r\n"),
            "431",
        ),
        (
            "oversized body",
            format!("POST / HTTP/1.1\r\n{HOST}content-length: 2000\r\n\r\n"),
            "413",
        ),
        (
            "bad deadline",
            format!("GET / HTTP/1.1\r\n{HOST}x-deadline-ms: soon\r\n\r\n"),
            "400",
        ),
        (
            "too deep",
            format!("GET / HTTP/1.1\r\n{HOST}x-call-depth: 7\r\n\r\n"),
            "508",
        ),
    ];
    let before = total_runs(&platform);
    for (name, bytes, status) in cases {
        let resp = send_raw(callers, bytes.as_bytes()).await;
        let status_line = format!("HTTP/1.1 {status} ");
        assert!(resp.starts_with(&status_line), "{name}: {resp}");
        assert_eq!(resp.matches("HTTP/1.1 ").count(), 1, "{name}: {resp}");
    }
    assert_eq!(total_runs(&platform), before);
    let resp = http.get(callers, "orders.test", "/after").await;
    assert_eq!(resp.expect("a response").status, 200);
}

/// Requests that all targets have run.
fn total_runs(platform: &Platform) -> u32 {
    let runs =
        |target: &standin::target::TargetStandin| target.record.runs.get().values().sum::<u32>();
    platform.targets.iter().map(runs).sum()
}

#[tokio::test(flavor = "multi_thread")]
async fn http2_upgrade_is_ignored_and_head_responses_have_no_body() {
    let (_platform, instance, _http) = start(json!({})).await;
    let callers = instance.addresses.callers;
    let upgrade = format!(
        "GET /offer HTTP/1.1\r\n{HOST}connection: upgrade, http2-settings\r\n\
         upgrade: h2c\r\nhttp2-settings: AAMAAABkAAQ\r\n\r\n"
    );
    let resp = send_raw(callers, upgrade.as_bytes()).await;
    assert!(resp.starts_with("HTTP/1.1 200 "), "{resp}");
    assert!(resp.contains("at /offer"), "{resp}");
    let pipelined = format!("HEAD /one HTTP/1.1\r\n{HOST}\r\nGET /two HTTP/1.1\r\n{HOST}\r\n");
    let resp = send_raw(callers, pipelined.as_bytes()).await;
    assert_eq!(resp.matches("HTTP/1.1 200 ").count(), 2, "{resp}");
    assert!(
        !resp.contains("at /one") && resp.contains("at /two"),
        "{resp}"
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn a_small_chunked_body_over_the_limit_is_refused_before_dispatch() {
    let (platform, instance, _http) = start(json!({"limits": {"request_body": "1KiB"}})).await;
    let before = total_runs(&platform);
    let data = "x".repeat(4096);
    let bytes = format!(
        "POST / HTTP/1.1\r\n{HOST}transfer-encoding: chunked\r\n\r\n1000\r\n{data}\r\n0\r\n\r\n"
    );
    let resp = send_raw(instance.addresses.callers, bytes.as_bytes()).await;
    assert!(resp.starts_with("HTTP/1.1 413 "), "{resp}");
    assert_eq!(total_runs(&platform), before);
}

type Sender = hyper::client::conn::http2::SendRequest<Empty<Bytes>>;

/// Opens an HTTP/2 connection; the task drives it.
async fn connect_http2(address: SocketAddr) -> (Sender, tokio::task::JoinHandle<()>) {
    let stream = TcpStream::connect(address).await.expect("connection");
    let (tx, driver) =
        hyper::client::conn::http2::handshake(TokioExecutor::new(), TokioIo::new(stream))
            .await
            .expect("handshake");
    let driver = tokio::spawn(async move {
        let _ = driver.await;
    });
    (tx, driver)
}

fn get(path: &str) -> Request<Empty<Bytes>> {
    Request::builder()
        .uri(format!("http://orders.test{path}"))
        .body(Empty::new())
        .expect("request")
}

#[tokio::test(flavor = "multi_thread")]
async fn status_checks_complete_beside_an_unread_download_on_one_connection() {
    let (_platform, instance, _http) = start(json!({})).await;
    let (mut tx, _driver) = connect_http2(instance.addresses.callers).await;
    let download = tx
        .send_request(get("/report?bytes=8000000"))
        .await
        .expect("head");
    assert_eq!(download.status(), 200);
    // The body of the download is not read until every status check has its response.
    for number in 0..20 {
        let path = format!("/status/{number}");
        let resp = tx.send_request(get(&path)).await.expect("response");
        let body = resp.into_body().collect().await.expect("body").to_bytes();
        assert!(String::from_utf8_lossy(&body).contains(&path));
    }
    let report = download.into_body().collect().await.expect("report");
    assert_eq!(report.to_bytes().len(), 8_000_000);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_truncated_response_resets_only_its_http2_stream() {
    let (platform, instance, _http) = start(json!({})).await;
    let (mut tx, _driver) = connect_http2(instance.addresses.callers).await;
    for fault in [
        ResponseFault::TruncatedBody,
        ResponseFault::TruncatedChunkedBody,
    ] {
        for target in &platform.targets {
            target
                .faults
                .change(|faults| faults.next_responses = vec![fault]);
        }
        let truncated = tx.send_request(get("/a")).await.expect("head");
        assert!(truncated.into_body().collect().await.is_err(), "{fault:?}");
        for target in &platform.targets {
            target.faults.change(|faults| faults.next_responses.clear());
        }
        let resp = tx.send_request(get("/b")).await.expect("response");
        let body = resp
            .into_body()
            .collect()
            .await
            .expect("whole body")
            .to_bytes();
        assert!(String::from_utf8_lossy(&body).contains("at /b"));
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_caller_that_closes_its_http2_connection_cancels_its_call() {
    let (platform, instance, http) = start(json!({})).await;
    let (mut tx, driver) = connect_http2(instance.addresses.callers).await;
    let call =
        tokio::spawn(async move { tx.send_request(get("/long?work_ms=600000")).await.is_ok() });
    let running = || {
        platform
            .targets
            .iter()
            .map(|target| target.record.in_flight.load(Ordering::Relaxed))
            .sum::<u32>()
    };
    eventually("the call runs", || async { (running() == 1).then_some(()) }).await;
    driver.abort();
    call.abort();
    eventually("the target has cancelled the call", || async {
        (running() == 0).then_some(())
    })
    .await;
    eventually("the permit is released", || async {
        let dump = http.dump(instance.addresses.admin).await;
        let permits = dump["shards"][0]["permits"].as_array()?.len();
        (permits == 0).then_some(())
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn graceful_shutdown_finishes_a_download_and_reports_stopping() {
    let overrides = json!({"drain_grace": "200ms", "drain_timeout": "60s"});
    let (platform, mut instance, http) = start(overrides).await;
    let callers = instance.addresses.callers;
    let path = "/report?bytes=400000&pause_ms=40";
    let download = begin_download(&platform, callers, path).await;
    terminate(&instance);
    wait_until_stopping(&instance).await;
    let addresses = http
        .get(callers, "any.test", "/v1/addresses?service=orders")
        .await
        .expect("address response")
        .json();
    assert_eq!(addresses["stopping"], true);
    assert_eq!(addresses["addresses"], json!([]));
    let report = download.await.expect("task").expect("whole report");
    assert_eq!(report.body.len(), 400_000);
    let exit = tokio::task::spawn_blocking(move || instance.process.wait()).await;
    assert!(exit.expect("task").expect("exit").success());
}

#[tokio::test(flavor = "multi_thread")]
async fn a_second_signal_aborts_calls_in_flight() {
    let overrides = json!({"drain_grace": "0s", "drain_timeout": "600s"});
    let (platform, mut instance, _http) = start(overrides).await;
    let callers = instance.addresses.callers;
    let path = "/report?bytes=4000000&pause_ms=1000";
    let download = begin_download(&platform, callers, path).await;
    terminate(&instance);
    wait_until_stopping(&instance).await;
    assert!(!download.is_finished());
    terminate(&instance);
    let exit = tokio::task::spawn_blocking(move || instance.process.wait()).await;
    assert!(exit.expect("task").expect("exit").success());
    assert!(
        download.await.expect("task").is_err(),
        "the aborted download ended without an error"
    );
}

type Download = tokio::task::JoinHandle<Result<HttpResponse, String>>;

/// Starts a download and waits until its target runs it.
async fn begin_download(platform: &Platform, callers: SocketAddr, path: &'static str) -> Download {
    let before = total_runs(platform);
    let download = tokio::spawn(async move {
        let req = request(Method::GET, callers, "orders.test", path, "");
        HttpClient::new().send(req).await
    });
    eventually("the target runs the download", || async {
        (total_runs(platform) > before).then_some(())
    })
    .await;
    download
}

/// Waits until `/readyz` reports that the instance is shutting down.
async fn wait_until_stopping(instance: &Instance) {
    let http = HttpClient::new();
    eventually("the instance reports that it is stopping", || async {
        let admin = instance.addresses.admin;
        let resp = http.get(admin, "admin.test", "/readyz").await.ok()?;
        (resp.status == 503).then_some(())
    })
    .await;
}

/// Sends SIGTERM to an instance.
fn terminate(instance: &Instance) {
    let id = instance.process.id().to_string();
    let status = std::process::Command::new("kill")
        .args(["-TERM", &id])
        .status();
    assert!(status.expect("kill").success());
}
