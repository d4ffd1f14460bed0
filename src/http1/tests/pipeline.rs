//! Requests that a client sends before earlier ones are answered.

use std::sync::Mutex;
use std::time::Instant;

use super::*;

/// A server whose handlers wait until the test releases them.
struct HeldServer {
    address: SocketAddr,
    requests: Arc<Requests>,
    phase: watch::Sender<ShutdownPhase>,
}

struct Requests {
    /// Targets of the requests whose handlers were started, with when they were received.
    started: Mutex<Vec<(String, Instant)>>,
    /// Targets of the requests whose handlers were dropped before they ended.
    dropped: Mutex<Vec<String>>,
    released: watch::Sender<Vec<String>>,
    /// Length of each response's body, in bytes.
    reply_bytes: usize,
}

struct DropNote<'a> {
    requests: &'a Requests,
    target: Option<String>,
}

impl Drop for DropNote<'_> {
    fn drop(&mut self) {
        let mut dropped = self.requests.dropped.lock().unwrap();
        dropped.extend(self.target.take());
    }
}

impl Requests {
    async fn handle(&self, req: Request) -> Reply {
        let mut note = DropNote {
            requests: self,
            target: Some(req.target.clone()),
        };
        self.started
            .lock()
            .unwrap()
            .push((req.target.clone(), req.received));
        assert!(req.body.read(0, 1).await.unwrap().is_empty());
        let mut released = self.released.subscribe();
        let is_released = |targets: &Vec<String>| targets.contains(&req.target);
        released.wait_for(is_released).await.unwrap();
        note.target = None;
        Reply {
            status: 200,
            body: format!("{}{}", req.target, " ".repeat(self.reply_bytes)).into(),
            ..Reply::default()
        }
    }
}

impl HeldServer {
    /// Requests whose targets begin with `/safe` may run ahead.
    async fn start(reply_bytes: usize) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let requests = Arc::new(Requests {
            started: Mutex::default(),
            dropped: Mutex::default(),
            released: watch::Sender::default(),
            reply_bytes,
        });
        let (phase, shutdown) = watch::channel(ShutdownPhase::Serving);
        let handled = requests.clone();
        let context = ServerContext {
            handler: move |req: Request, _: SocketAddr| {
                let handled = handled.clone();
                async move { handled.handle(req).await }
            },
            may_run_ahead: Box::new(|target, _| target.starts_with("/safe")),
            limits: Box::new(limits),
            rejected: Box::new(Rejection::reply),
            body_memory: memory(),
            shutdown,
        };
        tokio::spawn(async move {
            let (stream, peer) = listener.accept().await.unwrap();
            serve(stream, peer, &context).await;
        });
        Self {
            address,
            requests,
            phase,
        }
    }

    async fn connect(&self, targets: &[&str]) -> TcpStream {
        let mut stream = TcpStream::connect(self.address).await.unwrap();
        let requests: String = targets.iter().map(|target| request(target)).collect();
        stream.write_all(requests.as_bytes()).await.unwrap();
        stream
    }

    fn started(&self) -> Vec<String> {
        let started = self.requests.started.lock().unwrap();
        started.iter().map(|(target, _)| target.clone()).collect()
    }

    async fn wait_for_started(&self, targets: &[&str]) {
        self.wait_until(|| self.started() == targets).await;
    }

    async fn wait_until(&self, is_met: impl Fn() -> bool) {
        let waiting = async {
            while !is_met() {
                tokio::time::sleep(Duration::from_millis(1)).await;
            }
        };
        let waited = tokio::time::timeout(TIMEOUT, waiting).await;
        assert!(waited.is_ok(), "started: {:?}", self.started());
    }

    fn release(&self, target: &str) {
        let released = &self.requests.released;
        released.send_modify(|targets| targets.push(target.into()));
    }
}

fn request(target: &str) -> String {
    format!("GET {target} HTTP/1.1\r\nhost: x\r\n\r\n")
}

/// Reads until a text has arrived; returns everything received.
async fn read_until(stream: &mut TcpStream, end: &str) -> String {
    let mut text = String::new();
    let mut searched = 0;
    let reading = async {
        while !text[searched..].contains(end) {
            searched = text.len().saturating_sub(end.len());
            let mut buf = vec![0; 64 << 10];
            let count = stream.read(&mut buf).await.unwrap();
            assert!(count > 0, "closed after {text:?}");
            text.push_str(std::str::from_utf8(&buf[..count]).unwrap());
        }
    };
    tokio::time::timeout(TIMEOUT, reading).await.unwrap();
    text
}

async fn read_to_end(stream: &mut TcpStream) -> String {
    let mut text = String::new();
    let reading = stream.read_to_string(&mut text);
    tokio::time::timeout(TIMEOUT, reading)
        .await
        .unwrap()
        .unwrap();
    text
}

#[tokio::test]
async fn requests_behind_a_slow_one_run_beside_it_and_are_answered_in_order() {
    let server = HeldServer::start(0).await;
    let mut stream = server.connect(&["/safe/1", "/safe/2", "/safe/3"]).await;
    server
        .wait_for_started(&["/safe/1", "/safe/2", "/safe/3"])
        .await;
    server.release("/safe/3");
    server.release("/safe/2");
    let mut byte = [0; 1];
    let early = tokio::time::timeout(Duration::from_millis(50), stream.peek(&mut byte));
    assert!(early.await.is_err(), "a response before the first one's");
    server.release("/safe/1");
    let text = read_until(&mut stream, "/safe/3").await;
    let order = ["/safe/1", "/safe/2", "/safe/3"].map(|target| text.find(target).unwrap());
    assert!(order.is_sorted(), "{text}");
}

/// The time that a request waited in the connection's buffer counts for its deadline.
#[tokio::test]
async fn a_request_that_waits_for_earlier_ones_was_received_when_it_arrived() {
    let server = HeldServer::start(0).await;
    let stream = server.connect(&["/safe/1", "/once/2"]).await;
    server.wait_for_started(&["/safe/1"]).await;
    let released = Instant::now();
    server.release("/safe/1");
    server.wait_for_started(&["/safe/1", "/once/2"]).await;
    let started = server.requests.started.lock().unwrap().clone();
    assert!(started[1].1 <= released);
    drop(stream);
}

#[tokio::test]
async fn the_requests_of_a_connection_that_run_at_a_time_are_bounded() {
    for (reply_bytes, bound) in [(0, 8), (1 << 19, 3)] {
        let server = HeldServer::start(reply_bytes).await;
        let targets: Vec<String> = (0..20).map(|number| format!("/safe/{number}")).collect();
        let targets: Vec<&str> = targets.iter().map(String::as_str).collect();
        // The first response shows how large they are.
        let mut stream = server.connect(&targets[..1]).await;
        server.release(targets[0]);
        read_until(&mut stream, "/safe/0").await;
        let rest: String = targets[1..].iter().map(|target| request(target)).collect();
        stream.write_all(rest.as_bytes()).await.unwrap();
        server.wait_for_started(&targets[..=bound]).await;
        tokio::time::sleep(Duration::from_millis(20)).await;
        assert_eq!(server.started(), targets[..=bound]);
        for target in &targets[1..] {
            server.release(target);
        }
        read_until(&mut stream, "/safe/19").await;
    }
}

#[tokio::test]
async fn a_request_that_must_run_at_most_once_waits_for_earlier_responses() {
    let server = HeldServer::start(0).await;
    let mut stream = server
        .connect(&["/safe/1", "/safe/2", "/once/3", "/safe/4"])
        .await;
    server.wait_for_started(&["/safe/1", "/safe/2"]).await;
    server.release("/safe/1");
    read_until(&mut stream, "/safe/1").await;
    assert_eq!(server.started(), ["/safe/1", "/safe/2"]);
    server.release("/safe/2");
    let all = ["/safe/1", "/safe/2", "/once/3", "/safe/4"];
    server.wait_for_started(&all).await;
}

#[tokio::test]
async fn a_malformed_request_is_rejected_after_the_earlier_responses() {
    let server = HeldServer::start(0).await;
    let mut stream = server.connect(&["/safe/1"]).await;
    stream.write_all(b"gibberish\r\n\r\n").await.unwrap();
    stream
        .write_all(request("/safe/2").as_bytes())
        .await
        .unwrap();
    server.wait_for_started(&["/safe/1"]).await;
    server.release("/safe/1");
    let text = read_to_end(&mut stream).await;
    assert!(text.find("/safe/1").unwrap() < text.find("HTTP/1.1 400").unwrap());
    assert_eq!(server.started(), ["/safe/1"]);
}

/// Its client sends again what is behind a response that closes the connection.
#[tokio::test]
async fn nothing_runs_behind_a_request_that_closes_the_connection() {
    let server = HeldServer::start(0).await;
    let mut stream = server.connect(&["/safe/1"]).await;
    let last = "GET /safe/2 HTTP/1.1\r\nconnection: close\r\n\r\n";
    let rest = format!("{last}{}", request("/safe/3"));
    stream.write_all(rest.as_bytes()).await.unwrap();
    server.wait_for_started(&["/safe/1", "/safe/2"]).await;
    for target in ["/safe/3", "/safe/2", "/safe/1"] {
        server.release(target);
    }
    let text = read_to_end(&mut stream).await;
    assert!(text.contains("/safe/2"));
    assert_eq!(server.started(), ["/safe/1", "/safe/2"]);
}

#[tokio::test]
async fn a_shutdown_answers_what_was_started_and_starts_nothing_behind_it() {
    let server = HeldServer::start(0).await;
    let mut stream = server.connect(&["/safe/1", "/safe/2"]).await;
    server.wait_for_started(&["/safe/1", "/safe/2"]).await;
    server.phase.send_replace(ShutdownPhase::Draining);
    stream
        .write_all(request("/safe/3").as_bytes())
        .await
        .unwrap();
    server.release("/safe/2");
    server.release("/safe/1");
    let text = read_to_end(&mut stream).await;
    assert!(text.find("/safe/1").unwrap() < text.find("/safe/2").unwrap());
    assert_eq!(text.matches("connection: close").count(), 1);
    assert_eq!(server.started(), ["/safe/1", "/safe/2"]);
}

#[tokio::test]
async fn all_requests_of_a_client_that_leaves_are_dropped() {
    let server = HeldServer::start(0).await;
    let stream = server.connect(&["/safe/1", "/safe/2", "/safe/3"]).await;
    server
        .wait_for_started(&["/safe/1", "/safe/2", "/safe/3"])
        .await;
    drop(stream);
    let dropped = || server.requests.dropped.lock().unwrap().len();
    server.wait_until(|| dropped() == 3).await;
}
