//! What callers may do wrong, and what they share with others.

mod common;

use std::net::SocketAddr;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use common::{Answer, Http, Instance, basics, eventually, group, request, service, start_with};
use http::{Method, Request};
use http_body_util::{BodyExt, Empty};
use hyper_util::rt::{TokioExecutor, TokioIo};
use serde_json::{Value, json};
use standin::faults::ResponseFault;
use standin::platform::Platform;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

async fn scene(change: Value) -> (Platform, Instance, Http) {
    let platform = Platform::start(&[group("orders", "a", 2)])
        .await
        .expect("platform");
    let instance = start_with(&platform, "one", "a", &change);
    let http = Http::new();
    let mut resources = basics(&["a"]);
    resources.push(service("orders"));
    http.declare(instance.addresses.admin, &resources).await;
    eventually("calls are served", || async {
        let answer = http
            .get(instance.addresses.callers, "orders.test", "/")
            .await
            .ok()?;
        (answer.status == 200).then_some(())
    })
    .await;
    (platform, instance, http)
}

/// Sends bytes on a connection of their own and reads until it closes or the
/// server waits for more.
async fn raw(address: SocketAddr, bytes: &[u8]) -> String {
    let mut stream = TcpStream::connect(address).await.expect("connection");
    stream.write_all(bytes).await.expect("request written");
    let mut answer = Vec::new();
    let _ = tokio::time::timeout(Duration::from_secs(2), stream.read_to_end(&mut answer)).await;
    String::from_utf8_lossy(&answer).into_owned()
}

const HOST: &str = "host: orders.test\r\n";

#[tokio::test(flavor = "multi_thread")]
async fn malformed_requests_get_one_clear_error_and_run_nothing() {
    let (platform, instance, http) = scene(json!({"limits": {"request_body": "1KiB"}})).await;
    let callers = instance.addresses.callers;
    let smuggled = format!("POST /smuggled HTTP/1.1\r\n{HOST}x-request-id: smuggled\r\n\r\n");
    let chunk = format!("5\r\nhello\r\n0\r\n\r\n{smuggled}");
    let big = "x".repeat(200_000);
    let rows = [
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
            format!("GET / HTTP/1.1\r\n{HOST}x-big: {big}\r\n\r\n"),
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
    for (name, bytes, status) in rows {
        let answer = raw(callers, bytes.as_bytes()).await;
        let first = format!("HTTP/1.1 {status} ");
        assert!(answer.starts_with(&first), "{name}: {answer}");
        assert_eq!(answer.matches("HTTP/1.1 ").count(), 1, "{name}: {answer}");
    }
    assert_eq!(total_runs(&platform), before);
    let answer = http.get(callers, "orders.test", "/after").await;
    assert_eq!(answer.expect("an answer").status, 200);
}

fn total_runs(platform: &Platform) -> u32 {
    let runs =
        |target: &standin::target::TargetStandin| target.record.runs.get().values().sum::<u32>();
    platform.targets.iter().map(runs).sum()
}

#[tokio::test(flavor = "multi_thread")]
async fn an_offer_of_http2_is_ignored_and_a_head_request_has_no_body() {
    let (_platform, instance, _http) = scene(json!({})).await;
    let callers = instance.addresses.callers;
    let offer = format!(
        "GET /offer HTTP/1.1\r\n{HOST}connection: upgrade, http2-settings\r\n\
         upgrade: h2c\r\nhttp2-settings: AAMAAABkAAQ\r\n\r\n"
    );
    let answer = raw(callers, offer.as_bytes()).await;
    assert!(answer.starts_with("HTTP/1.1 200 "), "{answer}");
    assert!(answer.contains("at /offer"), "{answer}");
    let two = format!("HEAD /one HTTP/1.1\r\n{HOST}\r\nGET /two HTTP/1.1\r\n{HOST}\r\n");
    let answer = raw(callers, two.as_bytes()).await;
    assert_eq!(answer.matches("HTTP/1.1 200 ").count(), 2, "{answer}");
    assert!(
        !answer.contains("at /one") && answer.contains("at /two"),
        "{answer}"
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn a_chunked_body_over_the_limit_is_refused_before_dispatch_when_small() {
    let (platform, instance, _http) = scene(json!({"limits": {"request_body": "1KiB"}})).await;
    let before = total_runs(&platform);
    let data = "x".repeat(4096);
    let bytes = format!(
        "POST / HTTP/1.1\r\n{HOST}transfer-encoding: chunked\r\n\r\n1000\r\n{data}\r\n0\r\n\r\n"
    );
    let answer = raw(instance.addresses.callers, bytes.as_bytes()).await;
    assert!(answer.starts_with("HTTP/1.1 413 "), "{answer}");
    assert_eq!(total_runs(&platform), before);
}

type Sender = hyper::client::conn::http2::SendRequest<Empty<Bytes>>;

async fn http2(address: SocketAddr) -> (Sender, tokio::task::JoinHandle<()>) {
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
async fn status_checks_pass_an_unread_download_on_the_same_connection() {
    let (_platform, instance, _http) = scene(json!({})).await;
    let (mut tx, _driver) = http2(instance.addresses.callers).await;
    let download = tx
        .send_request(get("/report?bytes=8000000"))
        .await
        .expect("head");
    assert_eq!(download.status(), 200);
    // Nothing of the report is read until every status check has its answer.
    for number in 0..20 {
        let path = format!("/status/{number}");
        let answer = tx.send_request(get(&path)).await.expect("answer");
        let body = answer.into_body().collect().await.expect("body").to_bytes();
        assert!(String::from_utf8_lossy(&body).contains(&path));
    }
    let report = download.into_body().collect().await.expect("report");
    assert_eq!(report.to_bytes().len(), 8_000_000);
}

#[tokio::test(flavor = "multi_thread")]
async fn an_answer_cut_off_on_one_stream_resets_only_that_stream() {
    let (platform, instance, _http) = scene(json!({})).await;
    let (mut tx, _driver) = http2(instance.addresses.callers).await;
    for fault in [
        ResponseFault::TruncatedBody,
        ResponseFault::TruncatedChunkedBody,
    ] {
        for target in &platform.targets {
            target
                .faults
                .change(|faults| faults.next_responses = vec![fault]);
        }
        let cut = tx.send_request(get("/a")).await.expect("head");
        assert!(cut.into_body().collect().await.is_err(), "{fault:?}");
        for target in &platform.targets {
            target.faults.change(|faults| faults.next_responses.clear());
        }
        let answer = tx.send_request(get("/b")).await.expect("answer");
        let body = answer
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
    let (platform, instance, http) = scene(json!({})).await;
    let (mut tx, driver) = http2(instance.addresses.callers).await;
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
    eventually("the slot is free", || async {
        let dump = http.dump(instance.addresses.admin).await;
        let permits = dump["shards"][0]["permits"].as_array()?.len();
        (permits == 0).then_some(())
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_planned_stop_finishes_a_download_and_says_so_meanwhile() {
    let change = json!({"drain_grace": "200ms", "drain_timeout": "60s"});
    let (platform, mut instance, http) = scene(change).await;
    let callers = instance.addresses.callers;
    let path = "/report?bytes=400000&pause_ms=40";
    let download = begin_download(&platform, callers, path).await;
    terminate(&instance);
    wait_until_stopping(&instance).await;
    let addresses = http
        .get(callers, "any.test", "/v1/addresses?service=orders")
        .await
        .expect("address answer")
        .json();
    assert_eq!(addresses["stopping"], true);
    assert_eq!(addresses["addresses"], json!([]));
    let report = download.await.expect("task").expect("whole report");
    assert_eq!(report.body.len(), 400_000);
    let exit = tokio::task::spawn_blocking(move || instance.process.wait()).await;
    assert!(exit.expect("task").expect("exit").success());
}

#[tokio::test(flavor = "multi_thread")]
async fn a_second_signal_cuts_what_is_in_flight() {
    let change = json!({"drain_grace": "0s", "drain_timeout": "600s"});
    let (platform, mut instance, _http) = scene(change).await;
    let callers = instance.addresses.callers;
    let path = "/report?bytes=4000000&pause_ms=1000";
    let download = begin_download(&platform, callers, path).await;
    terminate(&instance);
    wait_until_stopping(&instance).await;
    assert!(!download.is_finished());
    terminate(&instance);
    let exit = tokio::task::spawn_blocking(move || instance.process.wait()).await;
    assert!(exit.expect("task").expect("exit").success());
    assert!(download.await.expect("task").is_err(), "no clean end");
}

type Download = tokio::task::JoinHandle<Result<Answer, String>>;

/// Starts a download and waits until its target runs it.
async fn begin_download(platform: &Platform, callers: SocketAddr, path: &'static str) -> Download {
    let before = total_runs(platform);
    let download = tokio::spawn(async move {
        let req = request(Method::GET, callers, "orders.test", path, "");
        Http::new().send(req).await
    });
    eventually("the download has begun", || async {
        (total_runs(platform) > before).then_some(())
    })
    .await;
    download
}

async fn wait_until_stopping(instance: &Instance) {
    let http = Http::new();
    eventually("the instance says that it stops", || async {
        let admin = instance.addresses.admin;
        let answer = http.get(admin, "admin.test", "/readyz").await.ok()?;
        (answer.status == 503).then_some(())
    })
    .await;
}

fn terminate(instance: &Instance) {
    let id = instance.process.id().to_string();
    let status = std::process::Command::new("kill")
        .args(["-TERM", &id])
        .status();
    assert!(status.expect("kill").success());
}
