use std::fmt::Write;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

use super::client::{Conn, ExchangeError, OutgoingRequest, Response};
use super::server::{self, Reply, Request, RequestLimits, ServerContext, ShutdownPhase};

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
        is_head: false,
        max_response_bytes: 1 << 20,
    };
    let is_match = |resp: &Response| resp.headers.get("id").is_none_or(|id| id == own_id);
    let result = tokio::time::timeout(TIMEOUT, conn.exchange(&outgoing, is_match))
        .await
        .unwrap();
    (result, conn.is_reusable())
}

/// For each response of a peer: the status and body or the kind of error, and whether
/// the connection may be reused.
#[tokio::test]
async fn responses_are_complete_and_matching_or_errors() {
    let cases: [(&str, &'static [u8], bool); 15] = [
        ("whole", b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok", false),
        ("whole, closing", b"HTTP/1.1 200 OK\r\nconnection: close\r\ncontent-length: 2\r\n\r\nok", true),
        ("until close", b"HTTP/1.1 200 OK\r\n\r\nall of it", true),
        ("chunked", b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", false),
        ("after an interim one", b"HTTP/1.1 103 Early\r\n\r\nHTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n", false),
        ("without body", b"HTTP/1.1 204 No Content\r\n\r\n", false),
        ("cut in the body", b"HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\nok", true),
        ("cut in a chunk", b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n9\r\nok", true),
        ("cut in the head", b"HTTP/1.1 200 OK\r\ncontent-le", true),
        ("nothing", b"", true),
        ("no HTTP", b"\x16\x03\x01garbage\r\n\r\n", true),
        ("two lengths", b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\ncontent-length: 3\r\n\r\nok!", true),
        ("bytes after it", b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nokHTTP/1.1 200 OK\r\n\r\n", false),
        ("another's first", b"HTTP/1.1 200 OK\r\nid: old\r\ncontent-length: 3\r\n\r\noldHTTP/1.1 200 OK\r\nid: own\r\ncontent-length: 2\r\n\r\nok", false),
        ("only another's", b"HTTP/1.1 200 OK\r\nid: old\r\ncontent-length: 3\r\n\r\nold", true),
    ];
    let mut seen = String::new();
    for (name, bytes, close) in cases {
        let (result, reusable) = get(fixed_peer(bytes, close).await, "own").await;
        let text = match result {
            Ok(resp) => format!("{} {:?}", resp.status, resp.body),
            Err(ExchangeError::NotSent(_)) => "not sent".into(),
            Err(ExchangeError::Lost(_)) => "lost".into(),
            Err(ExchangeError::Malformed(_)) => "malformed".into(),
        };
        let reuse = if reusable { "reusable" } else { "not reusable" };
        writeln!(seen, "{name}: {text}, {reuse}").unwrap();
    }
    insta::assert_snapshot!(seen);
}

#[tokio::test]
async fn a_refused_connection_gives_not_sent() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    drop(listener);
    let opened = Conn::connect(address, TIMEOUT).await;
    assert!(matches!(opened, Err(ExchangeError::NotSent(_))));
}

#[tokio::test]
async fn a_connection_with_unsolicited_bytes_is_not_reusable() {
    let (tx, rx) = tokio::sync::oneshot::channel();
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let peer = tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.unwrap();
        rx.await.unwrap();
        stream.write_all(b"late").await.unwrap();
        stream
    });
    let conn = Conn::connect(address, TIMEOUT).await.unwrap();
    assert!(conn.is_reusable());
    tx.send(()).unwrap();
    let _stream = peer.await.unwrap();
    let unusable = async {
        while conn.is_reusable() {
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
    };
    tokio::time::timeout(TIMEOUT, unusable).await.unwrap();
}

#[tokio::test]
async fn a_connection_is_not_reusable_after_a_response_to_a_partly_sent_request() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let peer = tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.unwrap();
        let response = b"HTTP/1.1 413 Too Large\r\ncontent-length: 0\r\n\r\n";
        stream.write_all(response).await.unwrap();
        stream
    });
    let mut conn = Conn::connect(address, TIMEOUT).await.unwrap();
    // The peer does not read it, and it is larger than the socket buffers of both ends.
    let body = vec![b'x'; 64 << 20];
    let outgoing = OutgoingRequest {
        bytes: &body,
        is_head: false,
        max_response_bytes: 1024,
    };
    let resp = tokio::time::timeout(TIMEOUT, conn.exchange(&outgoing, |_| true))
        .await
        .unwrap()
        .unwrap();
    assert_eq!(resp.status, 413);
    assert!(!conn.is_reusable());
    drop(peer.await.unwrap());
}

fn limits() -> RequestLimits {
    RequestLimits {
        max_header_bytes: 1024,
        max_body_bytes: 64,
        header_timeout: TIMEOUT,
        idle_timeout: TIMEOUT,
    }
}

/// Starts a server whose responses repeat the method, target and body of the request.
async fn echo_server(shutdown: watch::Receiver<ShutdownPhase>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let context = Arc::new(ServerContext {
        handler: |req: Request, _: SocketAddr| async move {
            let body = format!(
                "{} {} {}",
                req.method,
                req.target,
                String::from_utf8_lossy(&req.body)
            );
            Reply {
                status: 200,
                body: body.into(),
                ..Reply::default()
            }
        },
        limits: Box::new(limits),
        shutdown,
    });
    tokio::spawn(async move {
        while let Ok((stream, peer)) = listener.accept().await {
            let context = context.clone();
            tokio::spawn(async move { server::serve(stream, peer, &context).await });
        }
    });
    address
}

/// Sends bytes, closes the sending side and returns everything received.
async fn send_bytes(address: SocketAddr, bytes: &[u8]) -> String {
    let mut stream = TcpStream::connect(address).await.unwrap();
    stream.write_all(bytes).await.unwrap();
    stream.shutdown().await.unwrap();
    let mut text = String::new();
    let reading = stream.read_to_string(&mut text);
    tokio::time::timeout(TIMEOUT, reading)
        .await
        .unwrap()
        .unwrap();
    text
}

#[tokio::test]
async fn invalid_requests_are_rejected_and_their_connections_closed() {
    let (_tx, shutdown) = watch::channel(ShutdownPhase::Serving);
    let address = echo_server(shutdown).await;
    let long_head = format!("GET / HTTP/1.1\r\nx: {}\r\n\r\n", "y".repeat(2000));
    let cases = [
        ("no HTTP", "gibberish\r\n\r\n".to_owned()),
        ("long head", long_head),
        (
            "long body",
            "POST / HTTP/1.1\r\ncontent-length: 65\r\n\r\n".into(),
        ),
        (
            "both framings",
            "POST / HTTP/1.1\r\ncontent-length: 1\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\n"
                .into(),
        ),
        (
            "other coding",
            "POST / HTTP/1.1\r\ntransfer-encoding: gzip\r\n\r\n".into(),
        ),
        (
            "bad chunk",
            "POST / HTTP/1.1\r\ntransfer-encoding: chunked\r\n\r\nzz\r\n".into(),
        ),
    ];
    let mut seen = String::new();
    for (name, bytes) in cases {
        let response = send_bytes(address, bytes.as_bytes()).await;
        let status = response.lines().next().unwrap_or("nothing").to_owned();
        let closes = response.contains("connection: close");
        writeln!(seen, "{name}: {status}, closes: {closes}").unwrap();
    }
    insta::assert_snapshot!(seen);
}

/// The size of the second chunk is the largest that can be parsed, so that adding the
/// bytes of the first chunk or of the CRLF to it must not overflow.
#[tokio::test]
async fn a_chunk_size_that_overflows_the_body_length_is_rejected() {
    let (_tx, shutdown) = watch::channel(ShutdownPhase::Serving);
    let address = echo_server(shutdown).await;
    let request = format!(
        "POST / HTTP/1.1\r\ntransfer-encoding: chunked\r\n\r\n1\r\nx\r\n{:x}\r\n",
        usize::MAX
    );
    let response = send_bytes(address, request.as_bytes()).await;
    let status = response.split(' ').nth(1);
    assert!(
        matches!(status, Some("400" | "413")),
        "response: {response:?}"
    );
    assert!(response.contains("connection: close"));
}

#[tokio::test]
async fn pipelined_requests_get_responses_in_order() {
    let (_tx, shutdown) = watch::channel(ShutdownPhase::Serving);
    let address = echo_server(shutdown).await;
    let mut stream = TcpStream::connect(address).await.unwrap();
    let first = b"POST /1 HTTP/1.1\r\ntransfer-encoding: chunked\r\n\r\n3\r\none\r\n0\r\n\r\n";
    let second = b"GET /2 HTTP/1.1\r\nconnection: close\r\n\r\n";
    stream
        .write_all(&[first.as_slice(), second].concat())
        .await
        .unwrap();
    let mut text = String::new();
    tokio::time::timeout(TIMEOUT, stream.read_to_string(&mut text))
        .await
        .unwrap()
        .unwrap();
    let one = text.find("POST /1 one").unwrap();
    let two = text.find("GET /2 ").unwrap();
    assert!(one < two);
}

#[tokio::test]
async fn the_handler_is_dropped_when_the_client_disconnects() {
    struct Dropped(Arc<AtomicUsize>);
    impl Drop for Dropped {
        fn drop(&mut self) {
            self.0.fetch_add(1, Ordering::SeqCst);
        }
    }
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let (started, dropped) = (Arc::new(AtomicUsize::new(0)), Arc::new(AtomicUsize::new(0)));
    let (_tx, shutdown) = watch::channel(ShutdownPhase::Serving);
    let (started_count, dropped_count) = (started.clone(), dropped.clone());
    let context = ServerContext {
        handler: move |_: Request, _: SocketAddr| {
            started_count.fetch_add(1, Ordering::SeqCst);
            let guard = Dropped(dropped_count.clone());
            async move {
                let _guard = guard;
                std::future::pending::<Reply>().await
            }
        },
        limits: Box::new(limits),
        shutdown,
    };
    let serving = tokio::spawn(async move {
        let (stream, peer) = listener.accept().await.unwrap();
        server::serve(stream, peer, &context).await;
    });
    let mut stream = TcpStream::connect(address).await.unwrap();
    stream.write_all(GET).await.unwrap();
    while started.load(Ordering::SeqCst) == 0 {
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
    drop(stream);
    tokio::time::timeout(TIMEOUT, serving)
        .await
        .unwrap()
        .unwrap();
    assert_eq!(dropped.load(Ordering::SeqCst), 1);
}

#[tokio::test]
async fn a_shutdown_closes_connections_after_their_responses_and_then_idle_ones() {
    let (tx, shutdown) = watch::channel(ShutdownPhase::Serving);
    let address = echo_server(shutdown).await;
    let mut busy = TcpStream::connect(address).await.unwrap();
    let mut idle = TcpStream::connect(address).await.unwrap();
    idle.write_all(GET).await.unwrap();
    let mut buf = vec![0; 1024];
    assert!(idle.read(&mut buf).await.unwrap() > 0);
    tx.send_replace(ShutdownPhase::Draining);
    busy.write_all(GET).await.unwrap();
    let mut text = String::new();
    tokio::time::timeout(TIMEOUT, busy.read_to_string(&mut text))
        .await
        .unwrap()
        .unwrap();
    assert!(text.contains("200 OK") && text.contains("connection: close"));
    tx.send_replace(ShutdownPhase::Closing);
    let end = tokio::time::timeout(TIMEOUT, idle.read(&mut buf))
        .await
        .unwrap();
    assert_eq!(end.unwrap(), 0);
}
