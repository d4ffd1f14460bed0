use std::fmt::Write;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

use super::body::{BodyDecoder, BodyError, Decoded, Framing, ResponseMemory};
use super::client::{Conn, ExchangeError, OutgoingBody, OutgoingRequest, Response};
use super::request_body::{BodyMemory, RequestBody};
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
            Err(ExchangeError::RequestBody(_)) => "body not sent".into(),
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
        body: None,
        is_head: false,
        max_response_bytes: 1024,
        memory: None,
    };
    let resp = tokio::time::timeout(TIMEOUT, conn.exchange(&outgoing, |_| true))
        .await
        .unwrap()
        .unwrap();
    assert_eq!(resp.status, 413);
    assert!(!conn.is_reusable());
    drop(peer.await.unwrap());
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

/// Starts a server whose responses repeat the method, target and body of the request.
async fn echo_server(shutdown: watch::Receiver<ShutdownPhase>) -> SocketAddr {
    echo_server_with(shutdown, limits()).await
}

async fn echo_server_with(
    shutdown: watch::Receiver<ShutdownPhase>,
    limits: RequestLimits,
) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let context = Arc::new(ServerContext {
        handler: |req: Request, _: SocketAddr| async move {
            if req.target == "/early" {
                return Reply::empty(404);
            }
            let Ok(body) = collect(&req.body).await else {
                return match req.body.failure() {
                    Some(BodyError::TooLarge(_)) => Reply::empty(413),
                    Some(BodyError::Stalled(_)) => Reply::empty(408),
                    _ => Reply::empty(400),
                };
            };
            let body = format!(
                "{} {} {}",
                req.method,
                req.target,
                String::from_utf8_lossy(&body)
            );
            Reply {
                status: 200,
                body: body.into(),
                ..Reply::default()
            }
        },
        limits: Box::new(move || limits),
        body_memory: memory(),
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
        body_memory: memory(),
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

#[tokio::test]
async fn an_http10_connection_is_kept_open_only_if_asked() {
    let (_tx, shutdown) = watch::channel(ShutdownPhase::Serving);
    let address = echo_server(shutdown).await;
    let mut stream = TcpStream::connect(address).await.unwrap();
    stream.write_all(b"GET /1 HTTP/1.0\r\n\r\n").await.unwrap();
    let mut text = String::new();
    let reading = stream.read_to_string(&mut text);
    tokio::time::timeout(TIMEOUT, reading)
        .await
        .unwrap()
        .unwrap();
    assert!(text.contains("connection: close"), "{text}");

    let mut stream = TcpStream::connect(address).await.unwrap();
    let kept = b"GET /2 HTTP/1.0\r\nconnection: keep-alive\r\n\r\n";
    stream.write_all(kept).await.unwrap();
    let text = read_until(&mut stream, "GET /2 ").await;
    assert!(text.contains("connection: keep-alive"), "{text}");
    stream.write_all(kept).await.unwrap();
    read_until(&mut stream, "GET /2 ").await;
}

#[tokio::test]
async fn expectations_are_met_or_rejected() {
    let (_tx, shutdown) = watch::channel(ShutdownPhase::Serving);
    let address = echo_server(shutdown).await;
    let head = |target: &str, expect: &str| {
        format!("POST {target} HTTP/1.1\r\nexpect: {expect}\r\ncontent-length: 2\r\n\r\n")
    };
    let unknown = send_bytes(address, head("/", "miracles").as_bytes()).await;
    assert!(unknown.starts_with("HTTP/1.1 417 "), "{unknown}");

    let mut stream = TcpStream::connect(address).await.unwrap();
    let request = head("/", "100-Continue");
    stream.write_all(request.as_bytes()).await.unwrap();
    let interim = read_until(&mut stream, "\r\n\r\n").await;
    assert_eq!(interim, "HTTP/1.1 100 Continue\r\n\r\n");
    stream.write_all(b"ok").await.unwrap();
    read_until(&mut stream, "POST / ok").await;

    // The client may not send a body that was refused, so the connection can't be reused.
    let refused = send_bytes(address, head("/early", "100-continue").as_bytes()).await;
    assert!(refused.starts_with("HTTP/1.1 404 "), "{refused}");
    assert!(refused.contains("connection: close"), "{refused}");
}

/// The body takes longer than the idle timeout, but no pause in it does.
#[tokio::test]
async fn a_slow_but_steady_body_is_received() {
    let (_tx, shutdown) = watch::channel(ShutdownPhase::Serving);
    let idle_timeout = Duration::from_secs(2);
    let limits = RequestLimits {
        idle_timeout,
        ..limits()
    };
    let address = echo_server_with(shutdown, limits).await;
    let mut stream = TcpStream::connect(address).await.unwrap();
    let head = b"POST / HTTP/1.1\r\ncontent-length: 30\r\n\r\n";
    stream.write_all(head).await.unwrap();
    for _ in 0..30 {
        tokio::time::sleep(idle_timeout / 20).await;
        stream.write_all(b"x").await.unwrap();
    }
    read_until(&mut stream, &"x".repeat(30)).await;
}

#[tokio::test]
async fn a_body_that_stops_arriving_is_rejected() {
    let (_tx, shutdown) = watch::channel(ShutdownPhase::Serving);
    let limits = RequestLimits {
        idle_timeout: Duration::from_millis(50),
        ..limits()
    };
    let address = echo_server_with(shutdown, limits).await;
    let mut stream = TcpStream::connect(address).await.unwrap();
    let head = b"POST / HTTP/1.1\r\ncontent-length: 30\r\n\r\nx";
    stream.write_all(head).await.unwrap();
    let mut text = String::new();
    let reading = stream.read_to_string(&mut text);
    tokio::time::timeout(TIMEOUT, reading)
        .await
        .unwrap()
        .unwrap();
    assert!(text.starts_with("HTTP/1.1 408 "), "{text}");
}

#[tokio::test]
async fn a_chunked_body_over_the_limit_is_rejected_while_it_arrives() {
    let (_tx, shutdown) = watch::channel(ShutdownPhase::Serving);
    let address = echo_server(shutdown).await;
    let chunk = format!("20\r\n{}\r\n", "y".repeat(32));
    let request =
        format!("POST / HTTP/1.1\r\ntransfer-encoding: chunked\r\n\r\n{chunk}{chunk}{chunk}");
    let response = send_bytes(address, request.as_bytes()).await;
    assert!(response.starts_with("HTTP/1.1 413 "), "{response}");
    assert!(response.contains("connection: close"), "{response}");
}

/// The rest of a body whose request was answered early is not read as a request.
#[tokio::test]
async fn the_rest_of_a_body_after_an_early_response_is_dropped() {
    let (_tx, shutdown) = watch::channel(ShutdownPhase::Serving);
    let address = echo_server(shutdown).await;
    let mut stream = TcpStream::connect(address).await.unwrap();
    let head = b"POST /early HTTP/1.1\r\ncontent-length: 40\r\n\r\n";
    stream.write_all(head).await.unwrap();
    let early = read_until(&mut stream, "\r\n\r\n").await;
    assert!(early.starts_with("HTTP/1.1 404 "), "{early}");
    let body = b"GET /smuggled HTTP/1.1\r\nhost: x\r\n\r\n.....";
    assert_eq!(body.len(), 40);
    stream.write_all(body).await.unwrap();
    stream
        .write_all(b"GET /next HTTP/1.1\r\n\r\n")
        .await
        .unwrap();
    let next = read_until(&mut stream, "GET /").await;
    assert!(next.contains("GET /next"), "{next}");
}

/// A body passes through as it arrives, and no more of it is read than is held.
#[tokio::test]
async fn a_long_body_is_passed_on_with_bounded_memory() {
    const LENGTH: usize = 8 << 20;
    const HELD: usize = 64 << 10;
    let memory = Arc::new(BodyMemory::new(HELD, HELD));
    let (used_memory, shutdown) = (memory.clone(), watch::channel(ShutdownPhase::Serving).1);
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let context = ServerContext {
        handler: |req: Request, _: SocketAddr| async move {
            let mut read = 0;
            loop {
                let data = req.body.read(read, 8 << 10).await.unwrap();
                assert!(data.iter().all(|byte| *byte == b'b'));
                if data.is_empty() {
                    break;
                }
                read += data.len();
            }
            assert!(!req.body.is_replayable());
            Reply {
                status: 200,
                body: format!("read {read}").into(),
                ..Reply::default()
            }
        },
        limits: Box::new(|| RequestLimits {
            max_body_bytes: LENGTH,
            ..limits()
        }),
        body_memory: memory,
        shutdown,
    };
    tokio::spawn(async move {
        let (stream, peer) = listener.accept().await.unwrap();
        server::serve(stream, peer, &context).await;
    });
    let mut stream = TcpStream::connect(address).await.unwrap();
    let head = format!("POST / HTTP/1.1\r\ncontent-length: {LENGTH}\r\n\r\n");
    stream.write_all(head.as_bytes()).await.unwrap();
    let piece = vec![b'b'; 64 << 10];
    for _ in 0..LENGTH / piece.len() {
        stream.write_all(&piece).await.unwrap();
        // One read of the connection may exceed the limit.
        assert!(
            used_memory.total() <= HELD + (16 << 10),
            "{}",
            used_memory.total()
        );
    }
    read_until(&mut stream, &format!("read {LENGTH}")).await;
    assert_eq!(used_memory.total(), 0);
}

/// Sends a body in two halves with a pause between them, in both transfer codings.
#[tokio::test]
async fn a_body_is_sent_as_it_arrives() {
    for chunked in [false, true] {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let body = Arc::new(RequestBody::new((!chunked).then_some(6), memory()));
        body.push(b"abc");
        let arriving = body.clone();
        let peer = tokio::spawn(async move {
            let (mut stream, _) = listener.accept().await.unwrap();
            let mut seen = read_until(&mut stream, "abc").await;
            arriving.push(b"def");
            arriving.end(Ok(()));
            seen += &read_until(&mut stream, if chunked { "0\r\n\r\n" } else { "def" }).await;
            let response = b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n";
            stream.write_all(response).await.unwrap();
            (seen, stream)
        });
        let mut conn = Conn::connect(address, TIMEOUT).await.unwrap();
        let outgoing = OutgoingRequest {
            bytes: b"POST / HTTP/1.1\r\n\r\n",
            body: Some(OutgoingBody {
                body: &body,
                chunked,
            }),
            is_head: false,
            max_response_bytes: 1024,
            memory: None,
        };
        let exchange = conn.exchange(&outgoing, |_| true);
        let resp = tokio::time::timeout(TIMEOUT, exchange).await.unwrap();
        assert_eq!(resp.unwrap().status, 200);
        let (seen, _stream) = peer.await.unwrap();
        let expected = if chunked {
            "POST / HTTP/1.1\r\n\r\n3\r\nabc\r\n3\r\ndef\r\n0\r\n\r\n"
        } else {
            "POST / HTTP/1.1\r\n\r\nabcdef"
        };
        assert_eq!(seen, expected);
        assert!(conn.is_reusable());
        assert!(body.is_held_whole(), "it may be sent to another target");
    }
}

#[tokio::test]
async fn a_request_whose_body_breaks_off_is_not_completed() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let body = RequestBody::new(Some(6), memory());
    body.push(b"abc");
    body.end(Err(BodyError::Stalled(TIMEOUT)));
    let mut conn = Conn::connect(address, TIMEOUT).await.unwrap();
    let outgoing = OutgoingRequest {
        bytes: b"POST / HTTP/1.1\r\n\r\n",
        body: Some(OutgoingBody {
            body: &body,
            chunked: false,
        }),
        is_head: false,
        max_response_bytes: 1024,
        memory: None,
    };
    let exchange = conn.exchange(&outgoing, |_| true);
    let result = tokio::time::timeout(TIMEOUT, exchange).await.unwrap();
    assert!(
        matches!(result, Err(ExchangeError::RequestBody(_))),
        "{result:?}"
    );
}

/// The result of decoding `bytes` that arrive in the given pieces.
fn decode(framing: Framing, pieces: &[&[u8]]) -> Result<(Vec<u8>, bool, Vec<u8>), BodyError> {
    let mut decoder = BodyDecoder::new(framing, 64)?;
    let (mut buf, mut body) = (bytes::BytesMut::new(), Vec::new());
    for piece in pieces {
        buf.extend_from_slice(piece);
        while let Decoded::Data(data) = decoder.decode(&mut buf, 7)? {
            body.extend_from_slice(&data);
        }
    }
    Ok((body, decoder.is_complete(), buf.to_vec()))
}

/// Bytes that are likely to be valid framing, or nearly so.
fn framing_bytes(
    u: &mut arbtest::arbitrary::Unstructured<'_>,
) -> arbtest::arbitrary::Result<Vec<u8>> {
    let parts: [&[u8]; 12] = [
        b"\r\n",
        b"0\r\n",
        b"3\r\nabc\r\n",
        b"2;x=y\r\nok\r\n",
        b"ffffffffffffffff\r\n",
        b"10000000000000000\r\n",
        b"a: b\r\n",
        b"\n",
        b"\r",
        b"40\r\n",
        b"-1\r\n",
        b"0\r\n\r\n",
    ];
    let mut bytes = Vec::new();
    for _ in 0..u.int_in_range(0..=8)? {
        if u.ratio(1, 5)? {
            bytes.extend(u.arbitrary::<[u8; 3]>()?);
        } else {
            bytes.extend_from_slice(u.choose(&parts)?);
        }
    }
    Ok(bytes)
}

#[test]
fn a_body_is_decoded_alike_however_its_bytes_are_split() {
    arbtest::arbtest(|u| {
        let framing = *u.choose(&[
            Framing::None,
            Framing::Length(5),
            Framing::Length(65),
            Framing::Length(usize::MAX),
            Framing::Chunked,
            Framing::UntilClose,
        ])?;
        let bytes = framing_bytes(u)?;
        let whole = decode(framing, &[&bytes]);
        let mut pieces = Vec::new();
        let mut rest = bytes.as_slice();
        while !rest.is_empty() {
            let (piece, left) = rest.split_at(u.int_in_range(1..=rest.len())?);
            pieces.push(piece);
            rest = left;
        }
        assert_eq!(decode(framing, &pieces), whole);
        if let Ok((body, ..)) = whole {
            assert!(body.len() <= 64);
        }
        Ok(())
    });
}

/// Whatever bytes arrive, a connection ends without a panic: one of a caller after its
/// responses, and one to a target with a result.
#[test]
fn arbitrary_bytes_end_a_connection_without_a_panic() {
    const HEADS: [&[u8]; 6] = [
        b"",
        b"POST / HTTP/1.1\r\ntransfer-encoding: chunked\r\n\r\n",
        b"POST / HTTP/1.0\r\ncontent-length: 5\r\nexpect: 100-continue\r\n\r\n",
        b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n",
        b"HTTP/1.1 200 OK\r\ncontent-length: 18446744073709551615\r\n\r\n",
        b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.0 200\r\n\r\n",
    ];
    let rt = tokio::runtime::Runtime::new().unwrap();
    arbtest::arbtest(|u| {
        let mut bytes = u.choose(&HEADS)?.to_vec();
        bytes.extend(framing_bytes(u)?);
        let split = u.int_in_range(0..=bytes.len())?;
        rt.block_on(async {
            let (_tx, shutdown) = watch::channel(ShutdownPhase::Serving);
            let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
            let address = listener.local_addr().unwrap();
            let context = ServerContext {
                handler: |req: Request, _: SocketAddr| async move {
                    let _ = collect(&req.body).await;
                    Reply::empty(200)
                },
                limits: Box::new(limits),
                body_memory: memory(),
                shutdown,
            };
            let serving = tokio::spawn(async move {
                let (stream, peer) = listener.accept().await.unwrap();
                server::serve(stream, peer, &context).await;
            });
            let mut stream = TcpStream::connect(address).await.unwrap();
            let _ = stream.write_all(&bytes[..split]).await;
            tokio::task::yield_now().await;
            let _ = stream.write_all(&bytes[split..]).await;
            let _ = stream.shutdown().await;
            let mut answer = Vec::new();
            let _ = stream.read_to_end(&mut answer).await;
            serving.await.unwrap();

            let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
            let address = listener.local_addr().unwrap();
            let response = bytes.clone();
            tokio::spawn(async move {
                let (mut stream, _) = listener.accept().await.unwrap();
                let _ = stream.write_all(&response).await;
            });
            let exchanged = tokio::spawn(get(address, "own"));
            let _ = exchanged.await.unwrap();
        });
        Ok(())
    })
    .budget_ms(2_000);
}

/// Starts a peer that writes `first` and then `rest` again and again until its connection
/// is closed; the counter has the bytes written.
async fn endless_peer(first: &'static [u8], rest: &'static [u8]) -> (SocketAddr, Arc<AtomicUsize>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let written = Arc::new(AtomicUsize::new(0));
    let counter = written.clone();
    tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.unwrap();
        let mut buf = [0; 1024];
        let _ = stream.read(&mut buf).await;
        let many = rest.repeat(64);
        let mut next: &[u8] = first;
        while stream.write_all(next).await.is_ok() {
            counter.fetch_add(next.len(), Ordering::Relaxed);
            next = &many;
        }
    });
    (address, written)
}

/// Most bytes that an endless peer may write: the largest response, and what the buffers of
/// the sockets take.
const MAX_ENDLESS_BYTES: usize = 24 << 20;

#[tokio::test]
async fn a_response_without_end_is_given_up() {
    let cases: [(&str, &'static [u8], &'static [u8]); 8] = [
        ("no HTTP", b"\x16\x03\x01", b"\x00garbage"),
        ("a status line", b"HTTP/1.1 200 ", b"OK"),
        ("headers", b"HTTP/1.1 200 OK\r\n", b"a: b\r\n"),
        ("a body until close", b"HTTP/1.1 200 OK\r\n\r\n", b"body"),
        (
            "chunks",
            b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n",
            b"4\r\nbody\r\n",
        ),
        (
            "a chunk size",
            b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n",
            b"0",
        ),
        (
            "informational responses",
            b"",
            b"HTTP/1.1 103 Hints\r\n\r\n",
        ),
        (
            "responses to other requests",
            b"",
            b"HTTP/1.1 200 OK\r\nid: other\r\ncontent-length: 0\r\n\r\n",
        ),
    ];
    for (name, first, rest) in cases {
        let (address, written) = endless_peer(first, rest).await;
        let (result, reusable) = get(address, "own").await;
        assert!(result.is_err(), "{name}: {result:?}");
        assert!(!reusable, "{name}");
        let written = written.load(Ordering::Relaxed);
        assert!(written <= MAX_ENDLESS_BYTES, "{name}: {written} bytes");
    }
}

#[tokio::test]
async fn responses_without_end_share_one_memory_and_short_ones_are_still_read() {
    let memory = ResponseMemory::new(1 << 20);
    let exchange = |address: SocketAddr| {
        let memory = &memory;
        async move {
            let mut conn = Conn::connect(address, TIMEOUT).await.unwrap();
            let outgoing = OutgoingRequest {
                bytes: GET,
                body: None,
                is_head: false,
                max_response_bytes: 1 << 30,
                memory: Some(memory),
            };
            tokio::time::timeout(TIMEOUT, conn.exchange(&outgoing, |_| true))
                .await
                .unwrap()
        }
    };
    let mut endless = Vec::new();
    for _ in 0..4 {
        let (address, _) = endless_peer(b"HTTP/1.1 200 OK\r\n\r\n", b"body").await;
        endless.push(exchange(address));
    }
    for result in futures_util::future::join_all(endless).await {
        assert!(
            matches!(&result, Err(ExchangeError::Lost(cause)) if cause.contains("memory")),
            "{result:?}"
        );
    }
    let short = fixed_peer(b"HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\nbody", false).await;
    assert_eq!(exchange(short).await.unwrap().body, "body");
}
