//! The client side of connections.

use std::time::Instant;

use super::*;

/// For each response of a peer: the status and body or the kind of error, and whether
/// the connection may be reused.
#[tokio::test]
async fn responses_are_complete_and_matching_or_errors() {
    let cases: [(&str, &'static [u8], bool); 18] = [
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
        ("HTTP/1.0", b"HTTP/1.0 200 OK\r\ncontent-length: 2\r\n\r\nok", true),
        ("HTTP/1.0, chunked", b"HTTP/1.0 200 OK\r\ntransfer-encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", true),
        ("mixed line ends", b"HTTP/1.1 200 OK\r\ncontent-length: 2\n\nok", false),
        ("bytes after it", b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nokHTTP/1.1 200 OK\r\n\r\n", false),
        ("another's first", b"HTTP/1.1 200 OK\r\nid: old\r\ncontent-length: 3\r\n\r\noldHTTP/1.1 200 OK\r\nid: own\r\ncontent-length: 2\r\n\r\nok", false),
        ("only another's", b"HTTP/1.1 200 OK\r\nid: old\r\ncontent-length: 3\r\n\r\nold", true),
    ];
    let mut seen = String::new();
    for (name, bytes, close) in cases {
        let (result, reusable) = get(fixed_peer(bytes, close).await, "own").await;
        let text = match result {
            Ok(resp) => format!("{} {:?}", resp.status.as_u16(), resp.body),
            Err(ExchangeError::NotSent(_)) => "not sent".into(),
            Err(ExchangeError::Lost(_)) => "lost".into(),
            Err(ExchangeError::TooLarge(_)) => "too large".into(),
            Err(ExchangeError::NoMemory) => "no memory".to_owned(),
            Err(ExchangeError::Malformed(_)) => "malformed".into(),
            Err(ExchangeError::RequestBody(_)) => "body not sent".into(),
        };
        let reuse = if reusable { "reusable" } else { "not reusable" };
        writeln!(seen, "{name}: {text}, {reuse}").unwrap();
    }
    insta::assert_snapshot!(seen);
}

/// RFC 9110, section 15. Checks the first and last status codes inside and outside of the range.
#[tokio::test]
async fn a_response_needs_a_status_that_http_has() {
    for (status, is_valid) in [
        (0, false),
        (99, false),
        (200, true),
        (599, true),
        (600, false),
        (999, false),
    ] {
        let response = format!("HTTP/1.1 {status:03} S\r\ncontent-length: 0\r\n\r\n");
        let (result, reusable) =
            get(fixed_peer(response.leak().as_bytes(), false).await, "own").await;
        match &result {
            Ok(resp) => assert_eq!(resp.status, status),
            Err(err) => assert!(err.to_string().contains(&format!("{status:03}")), "{err}"),
        }
        assert_eq!((result.is_ok(), reusable), (is_valid, is_valid), "{status}");
    }
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

/// The thread does not poll for events meanwhile, as if it were busy.
#[tokio::test]
async fn a_busy_thread_does_not_reuse_a_connection_with_unsolicited_bytes() {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let conn = Conn::connect(address, TIMEOUT).await.unwrap();
    let (mut stream, _) = listener.accept().unwrap();
    assert!(conn.is_reusable());
    std::io::Write::write_all(&mut stream, b"H").unwrap();
    let deadline = Instant::now() + TIMEOUT;
    while conn.is_reusable() {
        assert!(Instant::now() < deadline, "the byte is not seen");
        std::thread::sleep(Duration::from_millis(1));
    }
    assert!(!conn.is_reusable(), "the byte is still there");
    let seen = async {
        while conn.seems_reusable() {
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
    };
    tokio::time::timeout(TIMEOUT, seen).await.unwrap();
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

/// Cuts responses behind each of their bytes, by a close and by a reset.
#[tokio::test]
async fn a_response_cut_anywhere_is_not_complete() {
    const HEAD: &str = "HTTP/1.1 200 OK\r\nid: own\r\nx-server-signature: 3e1b.07\r\n";
    const BODIES: [&str; 3] = [
        "content-length: 12\r\n\r\ntwelve bytes",
        "transfer-encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\nchecksum: 1\r\n\r\n",
        "\r\nuntil the close",
    ];
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let request = OutgoingRequest {
        bytes: GET,
        body: None,
        is_head: false,
        max_response_bytes: 1024,
        memory: None,
    };
    let mut responses = BODIES.map(|body| HEAD.to_owned() + body).to_vec();
    responses.push(HEAD.replace('\r', "") + "content-length: 2\n\nok");
    for response in responses {
        let until_close = response.find("\r\n\r\nuntil").map(|end| end + 4);
        for (length, by_reset) in (0..=response.len()).flat_map(|n| [(n, false), (n, true)]) {
            let mut conn = Conn::connect(address, TIMEOUT).await.unwrap();
            let (mut stream, _) = listener.accept().await.unwrap();
            let peer = async {
                read_until(&mut stream, "\r\n\r\n").await;
                let cut = &response.as_bytes()[..length];
                stream.write_all(cut).await.unwrap();
                if by_reset {
                    reset(stream);
                }
            };
            let exchange = tokio::time::timeout(TIMEOUT, conn.exchange(&request, |_| true));
            let (result, ()) = tokio::join!(exchange, peer);
            let is_whole = match until_close {
                Some(head) => length >= head && !by_reset,
                None => length == response.len(),
            };
            let result = result.unwrap();
            assert_eq!(result.is_ok(), is_whole, "{length} {by_reset}: {result:?}");
        }
    }
}

/// The write that finds a reset takes the socket's error; a read then sees a plain end.
#[tokio::test]
async fn a_response_without_length_that_is_reset_during_the_upload_is_not_complete() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.unwrap();
        stream
            .write_all(b"HTTP/1.1 200 OK\r\n\r\npart")
            .await
            .unwrap();
        reset(stream);
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
    let exchange = conn.exchange(&outgoing, |_| true);
    let result = tokio::time::timeout(TIMEOUT, exchange).await.unwrap();
    assert!(matches!(result, Err(ExchangeError::Lost(_))), "{result:?}");
}

/// The copy's length is that of a response to the other method.
#[tokio::test]
async fn a_late_copy_beside_a_head_request_does_not_hide_where_a_response_begins() {
    const ANSWER: &[u8] = b"HTTP/1.1 200 OK\r\nid: old\r\ncontent-length: 40\r\n\r\n\
        HTTP/1.1 503 Full\r\ncontent-length: 0\r\n\r\n";
    for methods in [&[true][..], &[true, false]] {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let count = methods.len();
        tokio::spawn(async move {
            let (mut stream, _) = listener.accept().await.unwrap();
            for number in 1..=count {
                read_until(&mut stream, "\r\n\r\n").await;
                let own = b"HTTP/1.1 204 No Content\r\nid: own\r\n\r\n";
                let response = if number == count { ANSWER } else { own };
                stream.write_all(response).await.unwrap();
            }
        });
        let mut conn = Conn::connect(address, TIMEOUT).await.unwrap();
        let mut last = None;
        for &is_head in methods {
            let outgoing = OutgoingRequest {
                bytes: GET,
                body: None,
                is_head,
                max_response_bytes: 1024,
                memory: None,
            };
            let is_match = |resp: &Response| resp.headers.get("id").is_none_or(|id| id == "own");
            let exchange = conn.exchange(&outgoing, is_match);
            last = Some(tokio::time::timeout(TIMEOUT, exchange).await.unwrap());
        }
        let Some(Err(ExchangeError::Lost(cause))) = last else {
            panic!("{methods:?}: {last:?}");
        };
        assert!(cause.contains("HEAD"), "{methods:?}: {cause}");
    }
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
