//! The target contract, as the stand-in speaks it.

use std::net::SocketAddr;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use wagtailsaddle_standin::faults::{ColdStart, Load, Overload, ResponseFault};
use wagtailsaddle_standin::target::{TargetOptions, TargetStandin, start};

/// Sends one request on a connection of its own and reads until it closes.
async fn ask(address: SocketAddr, method: &str, path: &str, id: &str) -> String {
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
    let mut answer = Vec::new();
    let end = stream.read_to_end(&mut answer).await;
    let text = String::from_utf8_lossy(&answer).into_owned();
    if end.is_err() { text + "reset" } else { text }
}

async fn target() -> TargetStandin {
    start(TargetOptions::default()).await.expect("target")
}

#[tokio::test]
async fn calls_are_counted_by_request() {
    let target = target().await;
    let address = target.server.address;
    for _ in 0..2 {
        let answer = ask(address, "GET", "/status", "one").await;
        assert!(answer.contains("x-load: "), "{answer}");
        assert!(answer.contains("ran one at /status"), "{answer}");
    }
    target.faults.change(|faults| faults.shed = true);
    let answer = ask(address, "GET", "/status", "two").await;
    assert!(answer.contains("x-shed: not-run"), "{answer}");
    assert_eq!(target.record.runs_of("one"), 2);
    assert_eq!(target.record.runs_of("two"), 0);
}

#[tokio::test]
async fn health_and_load_follow_the_state_or_mislead() {
    let target = target().await;
    let address = target.server.address;
    let health = ask(address, "GET", "/platform/health", "").await;
    assert!(
        health.ends_with(r#"{"state":"ready","start":"target-0"}"#),
        "{health}"
    );
    target.turn_cold(ColdStart {
        slots: 1,
        duration: Duration::from_secs(600),
        overload: Overload::Close,
    });
    let health = ask(address, "GET", "/platform/health", "").await;
    assert!(health.contains("cold"), "{health}");
    target.faults.change(|faults| {
        faults.reported_load = Some(Load {
            in_flight: 0,
            slots: 9,
        });
    });
    let load = ask(address, "GET", "/platform/load", "").await;
    assert!(load.ends_with(r#"{"in_flight":0,"slots":9}"#), "{load}");
}

#[tokio::test]
async fn a_cancelled_call_ends_and_is_known_as_such() {
    let target = target().await;
    let address = target.server.address;
    let call = tokio::spawn(async move { ask(address, "GET", "/?work_ms=600000", "long").await });
    while target.record.runs_of("long") == 0 {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    let answer = ask(address, "POST", "/platform/cancel/long-1", "").await;
    assert!(answer.contains("cancelled"), "{answer}");
    assert_eq!(call.await.expect("call"), "");
    let answer = ask(address, "POST", "/platform/cancel/long-1", "").await;
    assert!(answer.contains("finished"), "{answer}");
    let answer = ask(address, "POST", "/platform/cancel/none", "").await;
    assert!(answer.contains("unknown"), "{answer}");
}

#[tokio::test]
async fn each_fault_of_an_answer_shows_on_the_wire() {
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
        let answer = ask(target.server.address, "GET", "/", "late").await;
        assert!(answer.contains(expected), "{fault:?}: {answer}");
        assert_eq!(target.record.runs_of("late"), runs, "{fault:?}");
    }
}

#[tokio::test]
async fn a_crash_breaks_every_connection_and_the_target_returns_as_another_run() {
    let target = target().await;
    let address = target.server.address;
    let before = target.start_id();
    target.faults.change(|faults| {
        faults.crash_on = Some("poison".to_owned());
        faults.down_for = Duration::from_millis(300);
    });
    let beside =
        tokio::spawn(async move { ask(address, "GET", "/?work_ms=600000", "beside").await });
    while target.record.runs_of("beside") == 0 {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    assert!(!ask(address, "GET", "/poison", "bad").await.contains("200"));
    assert!(!beside.await.expect("call").contains("200"));
    while !ask(address, "GET", "/", "after").await.contains("200") {
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    assert_ne!(target.start_id(), before);
}
