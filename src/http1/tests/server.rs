//! The server side of connections.

use super::*;

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
        may_run_ahead: Box::new(|_, _| false),
        rejected: Box::new(Rejection::reply),
        body_memory: memory(),
        shutdown,
    });
    tokio::spawn(async move {
        while let Ok((stream, peer)) = listener.accept().await {
            let context = context.clone();
            tokio::spawn(async move { serve(stream, peer, &context).await });
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
            "chunked, of HTTP/1.0",
            "POST / HTTP/1.0\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\n".into(),
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
        may_run_ahead: Box::new(|_, _| false),
        rejected: Box::new(Rejection::reply),
        body_memory: memory(),
        shutdown,
    };
    let serving = tokio::spawn(async move {
        let (stream, peer) = listener.accept().await.unwrap();
        serve(stream, peer, &context).await;
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
        rejected: Box::new(Rejection::reply),
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
        may_run_ahead: Box::new(|_, _| false),
        body_memory: memory,
        shutdown,
    };
    tokio::spawn(async move {
        let (stream, peer) = listener.accept().await.unwrap();
        serve(stream, peer, &context).await;
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

#[tokio::test]
async fn rejected_requests_are_reported_with_their_reason() {
    let (_tx, shutdown) = watch::channel(ShutdownPhase::Serving);
    let reasons = Arc::new(std::sync::Mutex::new(Vec::new()));
    let reported = reasons.clone();
    let context = ServerContext {
        handler: |_: Request, _: SocketAddr| async { Reply::empty(204) },
        rejected: Box::new(move |rejection| {
            let line = (rejection.reason.to_string(), rejection.requests_before);
            reported.lock().unwrap().push(line);
            rejection.reply()
        }),
        limits: Box::new(limits),
        may_run_ahead: Box::new(|_, _| false),
        body_memory: memory(),
        shutdown,
    };
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let client = send_bytes(address, b"GET / HTTP/1.1\r\n\r\nnot a request\r\n\r\n");
    let serving = async {
        let (stream, peer) = listener.accept().await.unwrap();
        serve(stream, peer, &context).await;
    };
    tokio::join!(client, serving);
    let expected = ("malformed head: invalid HTTP version".to_owned(), 1);
    assert_eq!(*reasons.lock().unwrap(), [expected]);
}

/// The limit on a head is in bytes, and short headers are proper.
#[tokio::test]
async fn a_request_with_many_headers_is_rejected_only_for_its_bytes() {
    const LINE: &str = "a: b\r\n";
    let (_tx, shutdown) = watch::channel(ShutdownPhase::Serving);
    let address = echo_server(shutdown).await;
    let max = limits().max_header_bytes;
    let (start, end) = ("GET / HTTP/1.1\r\n", "\r\n");
    let fitting = (max - start.len() - end.len()) / LINE.len();
    for (count, status) in [(fitting, "200"), (fitting + 1, "431")] {
        let head = [start, &LINE.repeat(count), end].concat();
        let response = send_bytes(address, head.as_bytes()).await;
        assert_eq!(response.split(' ').nth(1), Some(status), "{count} headers");
    }
}

/// The limits change while the connection is idle.
#[tokio::test]
async fn a_request_on_an_idle_connection_is_not_judged_by_earlier_limits() {
    let is_served = Arc::new(AtomicUsize::new(0));
    let (set_served, asked) = (is_served.clone(), AtomicUsize::new(0));
    let (_tx, shutdown) = watch::channel(ShutdownPhase::Serving);
    let context = ServerContext {
        handler: move |req: Request, _: SocketAddr| {
            let set_served = set_served.clone();
            async move {
                collect(&req.body).await.unwrap();
                set_served.store(1, Ordering::SeqCst);
                Reply::empty(200)
            }
        },
        limits: Box::new(move || {
            let is_idle = is_served.load(Ordering::SeqCst) == 1;
            match is_idle && asked.fetch_add(1, Ordering::SeqCst) == 0 {
                // They end the connection before its next request.
                true => RequestLimits {
                    idle_timeout: Duration::from_millis(1),
                    ..limits()
                },
                false if is_idle => RequestLimits {
                    max_body_bytes: limits().max_body_bytes + 1,
                    ..limits()
                },
                false => limits(),
            }
        }),
        rejected: Box::new(Rejection::reply),
        may_run_ahead: Box::new(|_, _| false),
        body_memory: memory(),
        shutdown,
    };
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        let (stream, peer) = listener.accept().await.unwrap();
        serve(stream, peer, &context).await;
    });
    let mut stream = TcpStream::connect(address).await.unwrap();
    stream.write_all(GET).await.unwrap();
    read_until(&mut stream, "\r\n\r\n").await;
    let length = limits().max_body_bytes + 1;
    let head = format!("POST / HTTP/1.1\r\ncontent-length: {length}\r\n\r\n");
    let request = head + &"x".repeat(length);
    stream.write_all(request.as_bytes()).await.unwrap();
    let response = read_until(&mut stream, "\r\n\r\n").await;
    assert!(response.starts_with("HTTP/1.1 200 "), "{response}");
}
