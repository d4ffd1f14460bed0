mod body;
mod client;
mod endless;
mod head;
mod pipeline;
mod server;

use std::fmt::Write;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use socket2::SockRef;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

use super::body::{BodyDecoder, BodyError, Decoded, Framing, ResponseMemory};
use super::client::{Conn, ExchangeError, OutgoingBody, OutgoingRequest, Response};
use super::rejection::Rejection;
use super::request_body::{BodyMemory, RequestBody};
use super::server::{Reply, Request, RequestLimits, ServerContext, ShutdownPhase, serve};

/// Timeout that only a hang reaches on the loopback interface.
const TIMEOUT: Duration = Duration::from_secs(20);

const GET: &[u8] = b"GET / HTTP/1.1\r\nhost: x\r\n\r\n";

/// Starts a peer that reads from each connection once, writes fixed bytes, and then
/// closes the connection or keeps it open.
async fn fixed_peer(response: &'static [u8], close: bool) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            tokio::spawn(async move {
                let mut buf = [0; 1024];
                let _ = stream.read(&mut buf).await;
                stream.write_all(response).await.unwrap();
                if !close {
                    let _ = stream.read(&mut buf).await;
                }
            });
        }
    });
    address
}

/// Sends [`GET`] and returns the first response with `own_id` or without an id, and
/// whether the connection is reusable.
async fn get(address: SocketAddr, own_id: &str) -> (Result<Response, ExchangeError>, bool) {
    let mut conn = Conn::connect(address, TIMEOUT).await.unwrap();
    let outgoing = OutgoingRequest {
        bytes: GET,
        body: None,
        is_head: false,
        max_response_bytes: 1 << 20,
        memory: None,
    };
    let is_match = |resp: &Response| resp.headers.get("id").is_none_or(|id| id == own_id);
    let result = tokio::time::timeout(TIMEOUT, conn.exchange(&outgoing, is_match))
        .await
        .unwrap();
    (result, conn.is_reusable())
}

/// Ends a connection with a reset.
fn reset(stream: TcpStream) {
    let socket = SockRef::from(&stream);
    socket.set_linger(Some(Duration::ZERO)).unwrap();
    drop(stream);
}

fn memory() -> Arc<BodyMemory> {
    Arc::new(BodyMemory::new(1 << 20, 4 << 20))
}

/// Waits for the whole body of a request.
async fn collect(body: &RequestBody) -> Result<Vec<u8>, String> {
    let mut all = Vec::new();
    loop {
        let data = body.read(all.len(), usize::MAX).await;
        let data = data.map_err(|err| err.to_string())?;
        if data.is_empty() {
            return Ok(all);
        }
        all.extend_from_slice(&data);
    }
}

fn limits() -> RequestLimits {
    RequestLimits {
        max_header_bytes: 1024,
        max_body_bytes: 64,
        header_timeout: TIMEOUT,
        idle_timeout: TIMEOUT,
    }
}

/// Reads until `end` has been received.
async fn read_until(stream: &mut TcpStream, end: &str) -> String {
    let mut buf = Vec::new();
    let reading = async {
        while !String::from_utf8_lossy(&buf).contains(end) {
            assert!(
                stream.read_buf(&mut buf).await.unwrap() > 0,
                "closed: {buf:?}"
            );
        }
    };
    tokio::time::timeout(TIMEOUT, reading).await.unwrap();
    String::from_utf8(buf).unwrap()
}
