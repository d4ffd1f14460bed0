use std::fmt::Write;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

use super::client::{Answer, Conn, ExchangeError, Outgoing};
use super::server::{self, Bounds, Reply, Request, Service, Stop};

/// Long enough for anything on the loopback interface; only a hang takes as long.
const LIMIT: Duration = Duration::from_secs(20);

const GET: &[u8] = b"GET / HTTP/1.1\r\nhost: x\r\n\r\n";

/// A peer that answers each connection with fixed bytes after the first request, and
/// then closes it or keeps it open.
async fn fixed_peer(answer: &'static [u8], close: bool) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            tokio::spawn(async move {
                let mut buf = [0; 1024];
                let _ = stream.read(&mut buf).await;
                stream.write_all(answer).await.unwrap();
                if !close {
                    let _ = stream.read(&mut buf).await;
                }
            });
        }
    });
    address
}

async fn ask(address: SocketAddr, own_id: &str) -> (Result<Answer, ExchangeError>, bool) {
    let mut conn = Conn::open(address, LIMIT).await.unwrap();
    let out = Outgoing {
        bytes: GET,
        is_head: false,
        max_answer: 1 << 20,
    };
    let is_ours = |answer: &Answer| answer.headers.get("id").is_none_or(|id| id == own_id);
    let answer = tokio::time::timeout(LIMIT, conn.exchange(&out, is_ours))
        .await
        .unwrap();
    (answer, conn.is_reusable())
}

/// Bytes of a peer, and what is made of them: status and body or the kind of failure,
/// and whether the connection may be used again.
#[tokio::test]
async fn answers_are_whole_and_ours_or_failures() {
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
        let (answer, reusable) = ask(fixed_peer(bytes, close).await, "own").await;
        let text = match answer {
            Ok(answer) => format!("{} {:?}", answer.status, answer.body),
            Err(ExchangeError::NotSent(_)) => "not sent".into(),
            Err(ExchangeError::Lost(_)) => "lost".into(),
            Err(ExchangeError::Malformed(_)) => "malformed".into(),
        };
        let again = if reusable { "reusable" } else { "not reusable" };
        writeln!(seen, "{name}: {text}, {again}").unwrap();
    }
    insta::assert_snapshot!(seen);
}

#[tokio::test]
async fn a_refused_connection_means_that_nothing_was_sent() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    drop(listener);
    let opened = Conn::open(address, LIMIT).await;
    assert!(matches!(opened, Err(ExchangeError::NotSent(_))));
}

#[tokio::test]
async fn a_connection_on_which_something_arrived_unasked_is_not_used_again() {
    let (tx, rx) = tokio::sync::oneshot::channel();
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let peer = tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.unwrap();
        rx.await.unwrap();
        stream.write_all(b"late").await.unwrap();
        stream
    });
    let conn = Conn::open(address, LIMIT).await.unwrap();
    assert!(conn.is_reusable());
    tx.send(()).unwrap();
    let _stream = peer.await.unwrap();
    let unusable = async {
        while conn.is_reusable() {
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
    };
    tokio::time::timeout(LIMIT, unusable).await.unwrap();
}

#[tokio::test]
async fn an_early_answer_to_a_long_request_ends_the_connection() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let peer = tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.unwrap();
        let answer = b"HTTP/1.1 413 Too Large\r\ncontent-length: 0\r\n\r\n";
        stream.write_all(answer).await.unwrap();
        stream
    });
    let mut conn = Conn::open(address, LIMIT).await.unwrap();
    // More than the buffers of both ends hold, and nobody reads it.
    let body = vec![b'x'; 64 << 20];
    let out = Outgoing {
        bytes: &body,
        is_head: false,
        max_answer: 1024,
    };
    let answer = tokio::time::timeout(LIMIT, conn.exchange(&out, |_| true))
        .await
        .unwrap()
        .unwrap();
    assert_eq!(answer.status, 413);
    assert!(!conn.is_reusable());
    drop(peer.await.unwrap());
}

fn bounds() -> Bounds {
    Bounds {
        head_bytes: 1024,
        body_bytes: 64,
        head_time: LIMIT,
        idle_time: LIMIT,
    }
}

/// A server that answers with the request's line and body.
async fn echo_server(stop: watch::Receiver<Stop>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let service = Arc::new(Service {
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
        bounds: Box::new(bounds),
        stop,
    });
    tokio::spawn(async move {
        while let Ok((stream, peer)) = listener.accept().await {
            let service = service.clone();
            tokio::spawn(async move { server::serve(stream, peer, &service).await });
        }
    });
    address
}

async fn talk(address: SocketAddr, bytes: &[u8]) -> String {
    let mut stream = TcpStream::connect(address).await.unwrap();
    stream.write_all(bytes).await.unwrap();
    stream.shutdown().await.unwrap();
    let mut text = String::new();
    let reading = stream.read_to_string(&mut text);
    tokio::time::timeout(LIMIT, reading).await.unwrap().unwrap();
    text
}

#[tokio::test]
async fn requests_that_are_not_proper_are_refused_and_end_the_connection() {
    let (_tx, stop) = watch::channel(Stop::Serving);
    let address = echo_server(stop).await;
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
        let answer = talk(address, bytes.as_bytes()).await;
        let status = answer.lines().next().unwrap_or("nothing").to_owned();
        let closes = answer.contains("connection: close");
        writeln!(seen, "{name}: {status}, closes: {closes}").unwrap();
    }
    insta::assert_snapshot!(seen);
}

#[tokio::test]
async fn pipelined_requests_are_answered_in_order() {
    let (_tx, stop) = watch::channel(Stop::Serving);
    let address = echo_server(stop).await;
    let mut stream = TcpStream::connect(address).await.unwrap();
    let first = b"POST /1 HTTP/1.1\r\ntransfer-encoding: chunked\r\n\r\n3\r\none\r\n0\r\n\r\n";
    let second = b"GET /2 HTTP/1.1\r\nconnection: close\r\n\r\n";
    stream
        .write_all(&[first.as_slice(), second].concat())
        .await
        .unwrap();
    let mut text = String::new();
    tokio::time::timeout(LIMIT, stream.read_to_string(&mut text))
        .await
        .unwrap()
        .unwrap();
    let one = text.find("POST /1 one").unwrap();
    let two = text.find("GET /2 ").unwrap();
    assert!(one < two);
}

#[tokio::test]
async fn a_request_is_dropped_when_its_caller_leaves() {
    struct Dropped(Arc<AtomicUsize>);
    impl Drop for Dropped {
        fn drop(&mut self) {
            self.0.fetch_add(1, Ordering::SeqCst);
        }
    }
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let (started, dropped) = (Arc::new(AtomicUsize::new(0)), Arc::new(AtomicUsize::new(0)));
    let (_tx, stop) = watch::channel(Stop::Serving);
    let (began, ended) = (started.clone(), dropped.clone());
    let service = Service {
        handler: move |_: Request, _: SocketAddr| {
            began.fetch_add(1, Ordering::SeqCst);
            let guard = Dropped(ended.clone());
            async move {
                let _guard = guard;
                std::future::pending::<Reply>().await
            }
        },
        bounds: Box::new(bounds),
        stop,
    };
    let serving = tokio::spawn(async move {
        let (stream, peer) = listener.accept().await.unwrap();
        server::serve(stream, peer, &service).await;
    });
    let mut stream = TcpStream::connect(address).await.unwrap();
    stream.write_all(GET).await.unwrap();
    while started.load(Ordering::SeqCst) == 0 {
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
    drop(stream);
    tokio::time::timeout(LIMIT, serving).await.unwrap().unwrap();
    assert_eq!(dropped.load(Ordering::SeqCst), 1);
}

#[tokio::test]
async fn a_stop_ends_connections_after_their_answers_and_then_idle_ones() {
    let (tx, stop) = watch::channel(Stop::Serving);
    let address = echo_server(stop).await;
    let mut busy = TcpStream::connect(address).await.unwrap();
    let mut idle = TcpStream::connect(address).await.unwrap();
    idle.write_all(GET).await.unwrap();
    let mut buf = vec![0; 1024];
    assert!(idle.read(&mut buf).await.unwrap() > 0);
    tx.send_replace(Stop::Leaving);
    busy.write_all(GET).await.unwrap();
    let mut text = String::new();
    tokio::time::timeout(LIMIT, busy.read_to_string(&mut text))
        .await
        .unwrap()
        .unwrap();
    assert!(text.contains("200 OK") && text.contains("connection: close"));
    tx.send_replace(Stop::Closing);
    let end = tokio::time::timeout(LIMIT, idle.read(&mut buf))
        .await
        .unwrap();
    assert_eq!(end.unwrap(), 0);
}
