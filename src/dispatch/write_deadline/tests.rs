//! Tests of the deadline for a request's first write.

use std::sync::Arc;
use std::sync::atomic::AtomicBool;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

use super::WriteDeadline;
use crate::dispatch::target_stream::{StreamChecks, TargetStream};
use crate::units::{Clock, Time};

#[tokio::test]
async fn a_request_is_not_written_after_its_deadline() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("port");
    let address = listener.local_addr().expect("address");
    let checks = Arc::new(StreamChecks {
        write_deadline: WriteDeadline::new(Clock::start()),
        expects_head: AtomicBool::new(false),
    });
    let stream = TcpStream::connect(address).await.expect("connection");
    let mut stream = TargetStream::new(stream, Arc::clone(&checks));
    let (mut peer, _) = listener.accept().await.expect("accepted");

    checks.write_deadline.set(Time::from_secs(3_600));
    stream.write_all(b"head").await.expect("written in time");
    stream
        .write_all(b"body")
        .await
        .expect("rest of the request");
    checks.write_deadline.set(Time::ZERO);
    assert!(stream.write_all(b"late").await.is_err());
    drop(stream);

    let mut received = Vec::new();
    peer.read_to_end(&mut received).await.expect("read");
    assert_eq!(received, b"headbody");
}
