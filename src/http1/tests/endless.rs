//! Responses without end.

use super::*;

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
    let memory = Arc::new(ResponseMemory::new(1 << 20));
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
        assert!(matches!(result, Err(ExchangeError::NoMemory)), "{result:?}");
    }
    let short = fixed_peer(b"HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\nbody", false).await;
    assert_eq!(exchange(short).await.unwrap().body, "body");
}

/// Guards against idle connections that keep the buffers of the large bodies that came over them.
#[tokio::test]
async fn a_connection_keeps_no_large_body_that_it_has_read() {
    const LENGTH: usize = 1 << 20;
    let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {LENGTH}\r\n\r\n");
    let response = [head.as_bytes(), &vec![b'x'; LENGTH]].concat().leak();
    let address = fixed_peer(response, false).await;
    let mut conn = Conn::connect(address, TIMEOUT).await.unwrap();
    let outgoing = OutgoingRequest {
        bytes: GET,
        body: None,
        is_head: false,
        max_response_bytes: 2 * LENGTH,
        memory: None,
    };
    let resp = conn.exchange(&outgoing, |_| true).await.unwrap();
    assert!(conn.is_reusable());
    assert_eq!(resp.body.len(), LENGTH);
    assert!(
        resp.body.is_unique(),
        "the connection refers to the body's buffer"
    );
}

/// Memory counts until the last reference to a body is gone, not only while it is read.
#[tokio::test]
async fn a_body_holds_its_memory_until_it_is_dropped() {
    const LENGTH: usize = 300 << 10;
    let memory = Arc::new(ResponseMemory::new(800 << 10));
    for head in [
        format!("content-length: {LENGTH}\r\n\r\n"),
        "\r\n".to_owned(),
        format!("transfer-encoding: chunked\r\n\r\n{LENGTH:x}\r\n"),
    ] {
        let end = if head.contains("chunked") {
            "\r\n0\r\n\r\n"
        } else {
            ""
        };
        let head = format!("HTTP/1.1 200 OK\r\n{head}");
        let response = [head.as_bytes(), &vec![b'x'; LENGTH], end.as_bytes()].concat();
        let response: &'static [u8] = response.leak();
        let read = || async {
            let address = fixed_peer(response, true).await;
            let mut conn = Conn::connect(address, TIMEOUT).await.unwrap();
            let outgoing = OutgoingRequest {
                bytes: GET,
                body: None,
                is_head: false,
                max_response_bytes: 1 << 20,
                memory: Some(&memory),
            };
            conn.exchange(&outgoing, |_| true).await
        };
        let first = read().await.unwrap();
        let copy = first.body.clone();
        drop(first);
        let mut others = Vec::new();
        let err = loop {
            match read().await {
                Ok(resp) => others.push(resp),
                Err(err) => break err,
            }
        };
        assert!(matches!(err, ExchangeError::NoMemory), "{head:?}: {err}");
        assert!(others.len() <= 2, "{head:?}: {}", others.len());
        drop((copy, others));
        assert_eq!(read().await.unwrap().body.len(), LENGTH, "{head:?}");
    }
}
