//! Tests of the deadline for a request's first write.

use std::sync::Arc;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

use super::{Gate, GatedStream};
use crate::units::{Clock, Time};

#[tokio::test]
async fn a_request_is_not_written_after_its_deadline() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("port");
    let address = listener.local_addr().expect("address");
    let gate = Arc::new(Gate::new(Clock::start()));
    let stream = TcpStream::connect(address).await.expect("connection");
    let mut gated = GatedStream::new(stream, Arc::clone(&gate));
    let (mut peer, _) = listener.accept().await.expect("accepted");

    gate.arm(Time::from_secs(3_600));
    gated.write_all(b"head").await.expect("written in time");
    gated.write_all(b"body").await.expect("rest of the request");
    gate.arm(Time::ZERO);
    assert!(gated.write_all(b"late").await.is_err());
    drop(gated);

    let mut received = Vec::new();
    peer.read_to_end(&mut received).await.expect("read");
    assert_eq!(received, b"headbody");
}
