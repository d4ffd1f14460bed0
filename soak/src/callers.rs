//! Callers that keep connections open and ask the directory like the users' scripts.

use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;
use std::time::{Duration, Instant};

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use standin::faults::Shared;
use standin::prepared::settings::{CALLER_PORT, DIRECTORY_PORT};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

use crate::check::{Call, Ended};

/// Time that a caller gives an instance to take a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Deadline of each call.
const DEADLINE: Duration = Duration::from_secs(2);
/// Time after which an answer is not waited for; beyond the deadline by a pause that an
/// instance may stand still.
const PATIENCE: Duration = Duration::from_secs(5);
/// Longest time between two calls of one caller.
const LONGEST_PAUSE: Duration = Duration::from_millis(40);
/// Calls on one connection, on average, before another is opened.
const CALLS_A_CONNECTION: u32 = 30;

/// What all callers share.
#[derive(Debug)]
pub(crate) struct Field {
    /// When they started.
    pub start: Instant,
    /// The instances.
    pub instances: Vec<IpAddr>,
    /// The calls that have ended.
    pub calls: Shared<Vec<Call>>,
    /// Set once callers are to end.
    pub over: Shared<bool>,
}

/// Calls again and again until the run is over.
pub(crate) async fn call_again_and_again(field: Arc<Field>, number: usize, seed: u64) {
    let mut rng = StdRng::seed_from_u64(seed ^ number as u64);
    let mut open: Option<(IpAddr, TcpStream)> = None;
    for count in 0_u32.. {
        if field.over.get() {
            return;
        }
        if rng.random_ratio(1, CALLS_A_CONNECTION) {
            open = None;
        }
        let once = rng.random_bool(0.5);
        let id = format!("{number}-{count}");
        let sent = field.start.elapsed();
        let connected = match open.take() {
            Some(open) => Some(open),
            None => connect(&field, &mut rng).await,
        };
        let Some((instance, mut stream)) = connected else {
            tokio::time::sleep(LONGEST_PAUSE).await;
            continue;
        };
        let (how, keep) = exchange(&mut stream, &id, once).await;
        if keep {
            open = Some((instance, stream));
        }
        let call = Call {
            id,
            once,
            instance,
            sent,
            ended: field.start.elapsed(),
            how,
        };
        field.calls.change(|calls| calls.push(call));
        tokio::time::sleep(rng.random_range(Duration::ZERO..LONGEST_PAUSE)).await;
    }
}

/// Asks some instance's directory, and connects to an address that it names.
async fn connect(field: &Field, rng: &mut StdRng) -> Option<(IpAddr, TcpStream)> {
    let asked = field.instances[rng.random_range(0..field.instances.len())];
    let names = addresses(SocketAddr::new(asked, DIRECTORY_PORT)).await?;
    let chosen = *names.get(rng.random_range(0..names.len().max(1)))?;
    debug_assert_eq!(chosen.port(), CALLER_PORT);
    let connecting = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(chosen));
    Some((chosen.ip(), connecting.await.ok()?.ok()?))
}

async fn addresses(directory: SocketAddr) -> Option<Vec<SocketAddr>> {
    let body = get(directory, "/api/resolve?name=x.example&zone=a").await?;
    let body: serde_json::Value = serde_json::from_str(&body).ok()?;
    let names = body["addresses"].as_array()?.iter();
    Some(
        names
            .filter_map(|name| name.as_str()?.parse().ok())
            .collect(),
    )
}

/// The body of an answer to a question on a connection of its own.
pub(crate) async fn get(address: SocketAddr, path: &str) -> Option<String> {
    let asking = async {
        let mut stream = TcpStream::connect(address).await.ok()?;
        let req = format!("GET {path} HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n");
        stream.write_all(req.as_bytes()).await.ok()?;
        let mut buf = Vec::new();
        stream.read_to_end(&mut buf).await.ok()?;
        Answer::parse(&buf).filter(|answer| answer.status == 200)
    };
    let answer = tokio::time::timeout(CONNECT_TIMEOUT, asking).await.ok()??;
    Some(answer.body)
}

/// Sends one call; says how it ended and whether the connection can be used again.
async fn exchange(stream: &mut TcpStream, id: &str, once: bool) -> (Ended, bool) {
    let path = if once { "once" } else { "safe" };
    let deadline = DEADLINE.as_millis();
    let req = format!(
        "GET /{path}/{id}/ HTTP/1.1\r\nhost: x.example\r\nx-request-id: {id}\r\n\
         x-deadline-ms: {deadline}\r\n\r\n"
    );
    if stream.write_all(req.as_bytes()).await.is_err() {
        return (Ended::Cut, false);
    }
    match tokio::time::timeout(PATIENCE, read_answer(stream)).await {
        Err(_) => (Ended::TimedOut, false),
        Ok(None) => (Ended::Cut, false),
        Ok(Some(answer)) => {
            let keep = !answer.closes;
            let own = answer.belongs_to(id, path);
            let status = answer.status;
            (Ended::Answered { status, own }, keep)
        }
    }
}

async fn read_answer(stream: &mut TcpStream) -> Option<Answer> {
    let mut buf = Vec::new();
    loop {
        if let Some(answer) = Answer::parse(&buf) {
            return Some(answer);
        }
        if stream.read_buf(&mut buf).await.ok()? == 0 {
            return None;
        }
    }
}

/// A whole answer that states its length.
struct Answer {
    status: u16,
    id: Option<String>,
    closes: bool,
    body: String,
}

impl Answer {
    fn parse(buf: &[u8]) -> Option<Self> {
        let text = String::from_utf8_lossy(buf);
        let (head, rest) = text.split_once("\r\n\r\n")?;
        let mut lines = head.lines();
        let status = lines.next()?.split(' ').nth(1)?.parse().ok()?;
        let header = |name: &str| {
            let lines = head.lines().skip(1);
            let mut pairs = lines.filter_map(|line| line.split_once(": "));
            let found = pairs.find(|(known, _)| known.eq_ignore_ascii_case(name));
            found.map(|(_, value)| value.to_owned())
        };
        let length: usize = header("content-length")?.parse().ok()?;
        let body = rest.get(..length)?.to_owned();
        Some(Self {
            status,
            id: header("x-request-id"),
            closes: header("connection").is_some_and(|value| value == "close"),
            body,
        })
    }

    /// Whether nothing in it is another call's, and a success is whole.
    fn belongs_to(&self, id: &str, path: &str) -> bool {
        let named = self.id.as_deref().is_none_or(|named| named == id);
        let whole = self.status != 200 || self.body.contains(&format!(" /{path}/{id}/ with 0"));
        named && whole
    }
}
