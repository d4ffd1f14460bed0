//! The HTTP interface of a target, as the stand-in implements it.

use std::net::SocketAddr;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use wagtailsaddle_standin::faults::{ColdStart, Load, Overload, ResponseFault};
use wagtailsaddle_standin::target::{TargetOptions, TargetStandin, start};

/// Sends one request on a new connection and reads until the connection closes.
async fn send_request(address: SocketAddr, method: &str, path: &str, id: &str) -> String {
    let Ok(mut stream) = TcpStream::connect(address).await else {
        return "refused".to_owned();
    };
    let text = format!(
        "{method} {path} HTTP/1.1\r\nhost: t\r\nx-request-id: {id}\r\nx-call-id: {id}-1\r\n\
         connection: close\r\ncontent-length: 0\r\n\r\n"
    );
    if stream.write_all(text.as_bytes()).await.is_err() {
        return "reset".to_owned();
    }
    let mut response = Vec::new();
    let end = stream.read_to_end(&mut response).await;
    let text = String::from_utf8_lossy(&response).into_owned();
    if end.is_err() { text + "reset" } else { text }
}

async fn target() -> TargetStandin {
    start(TargetOptions::default()).await.expect("target")
}

#[tokio::test]
async fn calls_are_counted_by_request_id() {
    let target = target().await;
    let address = target.server.address;
    for _ in 0..2 {
        let response = send_request(address, "GET", "/status", "one").await;
        assert!(response.contains("x-load: "), "{response}");
        assert!(response.contains("ran one at /status"), "{response}");
    }
    target.faults.change(|faults| faults.shed = true);
    let response = send_request(address, "GET", "/status", "two").await;
    assert!(response.contains("x-shed: not-run"), "{response}");
    assert_eq!(target.record.runs_of("one"), 2);
    assert_eq!(target.record.runs_of("two"), 0);
}

#[tokio::test]
async fn health_and_load_report_the_state_or_its_override() {
    let target = target().await;
    let address = target.server.address;
    let health = send_request(address, "GET", "/platform/health", "").await;
    assert!(
        health.ends_with(r#"{"state":"ready","start":"target-0"}"#),
        "{health}"
    );
    target.turn_cold(ColdStart {
        slots: 1,
        duration: Duration::from_secs(600),
        overload: Overload::Close,
    });
    let health = send_request(address, "GET", "/platform/health", "").await;
    assert!(health.contains("cold"), "{health}");
    target.faults.change(|faults| {
        faults.reported_load = Some(Load {
            in_flight: 0,
            slots: 9,
        });
    });
    let load = send_request(address, "GET", "/platform/load", "").await;
    assert!(load.ends_with(r#"{"in_flight":0,"slots":9}"#), "{load}");
}

#[tokio::test]
async fn cancelling_a_call_ends_it_and_reports_its_state() {
    let target = target().await;
    let address = target.server.address;
    let call =
        tokio::spawn(async move { send_request(address, "GET", "/?work_ms=600000", "long").await });
    while target.record.runs_of("long") == 0 {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    let response = send_request(address, "POST", "/platform/cancel/long-1", "").await;
    assert!(response.contains("cancelled"), "{response}");
    assert_eq!(call.await.expect("call"), "");
    let response = send_request(address, "POST", "/platform/cancel/long-1", "").await;
    assert!(response.contains("finished"), "{response}");
    let response = send_request(address, "POST", "/platform/cancel/none", "").await;
    assert!(response.contains("unknown"), "{response}");
}

#[tokio::test]
async fn each_response_fault_shows_on_the_wire() {
    let rows = [
        (ResponseFault::Shed, 0, "503"),
        (ResponseFault::ResetNotRun, 0, "reset"),
        (ResponseFault::ResetBeforeFirstByte, 1, "reset"),
        (ResponseFault::ResetAfterFirstByte, 1, "reset"),
        (ResponseFault::TruncatedBody, 1, "content-length"),
        (ResponseFault::TruncatedChunkedBody, 1, "chunked"),
        (
            ResponseFault::Late(Duration::from_millis(20)),
            1,
            "ran late",
        ),
        (ResponseFault::TrailingBytes, 1, "stray"),
    ];
    for (fault, runs, expected) in rows {
        let target = target().await;
        target.faults.change(|faults| faults.response = fault);
        let response = send_request(target.server.address, "GET", "/", "late").await;
        assert!(response.contains(expected), "{fault:?}: {response}");
        assert_eq!(target.record.runs_of("late"), runs, "{fault:?}");
    }
}

#[tokio::test]
async fn a_crash_breaks_all_connections_and_the_restart_changes_the_start_id() {
    let target = target().await;
    let address = target.server.address;
    let before = target.start_id();
    target.faults.change(|faults| {
        faults.crash_on = Some("poison".to_owned());
        faults.down_for = Duration::from_millis(300);
    });
    let concurrent = tokio::spawn(async move {
        send_request(address, "GET", "/?work_ms=600000", "concurrent").await
    });
    while target.record.runs_of("concurrent") == 0 {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    assert!(
        !send_request(address, "GET", "/poison", "bad")
            .await
            .contains("200")
    );
    assert!(!concurrent.await.expect("call").contains("200"));
    while !send_request(address, "GET", "/", "after")
        .await
        .contains("200")
    {
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    assert_ne!(target.start_id(), before);
}
