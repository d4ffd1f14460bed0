//! Callers that keep connections open and query the directory like the users' scripts.

use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;
use std::time::{Duration, Instant};

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use standin::faults::Shared;
use standin::prepared::settings::{CALLER_PORT, DIRECTORY_PORT};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

use crate::check::{Call, CallOutcome};

/// Timeout of connecting, and of a whole request to a directory or dump endpoint.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Deadline of each call.
const DEADLINE: Duration = Duration::from_secs(2);
/// Time to wait for a response; exceeds the deadline by the time that an instance may
/// be paused.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(5);
/// Upper bound of the pause between two calls of one caller.
const MAX_PAUSE: Duration = Duration::from_millis(40);
/// Mean number of calls on one connection before a new one is opened.
const MEAN_CALLS_PER_CONNECTION: u32 = 30;

/// State shared by all callers.
#[derive(Debug)]
pub(crate) struct CallerContext {
    /// Time at which the callers started.
    pub start: Instant,
    /// Addresses of the instances.
    pub instances: Vec<IpAddr>,
    /// Calls that have ended.
    pub calls: Shared<Vec<Call>>,
    /// Set to make the callers return.
    pub stop: Shared<bool>,
}

/// Sends calls until `stop` is set.
pub(crate) async fn run_caller(cx: Arc<CallerContext>, index: usize, seed: u64) {
    let mut rng = StdRng::seed_from_u64(seed ^ index as u64);
    let mut open: Option<(IpAddr, TcpStream)> = None;
    for count in 0_u32.. {
        if cx.stop.get() {
            return;
        }
        if rng.random_ratio(1, MEAN_CALLS_PER_CONNECTION) {
            open = None;
        }
        let at_most_once = rng.random_bool(0.5);
        let id = format!("{index}-{count}");
        let sent = cx.start.elapsed();
        let connected = match open.take() {
            Some(open) => Some(open),
            None => connect(&cx, &mut rng).await,
        };
        let Some((instance, mut stream)) = connected else {
            tokio::time::sleep(MAX_PAUSE).await;
            continue;
        };
        let (outcome, keep) = exchange(&mut stream, &id, at_most_once).await;
        if keep {
            open = Some((instance, stream));
        }
        let call = Call {
            id,
            at_most_once,
            instance,
            sent,
            ended: cx.start.elapsed(),
            outcome,
        };
        cx.calls.change(|calls| calls.push(call));
        tokio::time::sleep(rng.random_range(Duration::ZERO..MAX_PAUSE)).await;
    }
}

/// Queries the directory of a random instance and connects to one of the addresses in it.
async fn connect(cx: &CallerContext, rng: &mut StdRng) -> Option<(IpAddr, TcpStream)> {
    let directory = cx.instances[rng.random_range(0..cx.instances.len())];
    let addresses = addresses(SocketAddr::new(directory, DIRECTORY_PORT)).await?;
    let address = *addresses.get(rng.random_range(0..addresses.len().max(1)))?;
    debug_assert_eq!(address.port(), CALLER_PORT);
    let connecting = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(address));
    Some((address.ip(), connecting.await.ok()?.ok()?))
}

async fn addresses(directory: SocketAddr) -> Option<Vec<SocketAddr>> {
    let body = get(directory, "/api/resolve?name=x.example&zone=a").await?;
    let body: serde_json::Value = serde_json::from_str(&body).ok()?;
    let addresses = body["addresses"].as_array()?.iter();
    Some(
        addresses
            .filter_map(|name| name.as_str()?.parse().ok())
            .collect(),
    )
}

/// Sends a GET request on a new connection; returns the body if the status is 200.
pub(crate) async fn get(address: SocketAddr, path: &str) -> Option<String> {
    let fetching = async {
        let mut stream = TcpStream::connect(address).await.ok()?;
        let req = format!("GET {path} HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n");
        stream.write_all(req.as_bytes()).await.ok()?;
        let mut buf = Vec::new();
        stream.read_to_end(&mut buf).await.ok()?;
        HttpResponse::parse(&buf).filter(|response| response.status == 200)
    };
    let response = tokio::time::timeout(CONNECT_TIMEOUT, fetching)
        .await
        .ok()??;
    Some(response.body)
}

/// Sends one call; returns its outcome and whether the connection can be reused.
async fn exchange(stream: &mut TcpStream, id: &str, at_most_once: bool) -> (CallOutcome, bool) {
    let path = if at_most_once { "once" } else { "safe" };
    let deadline = DEADLINE.as_millis();
    let req = format!(
        "GET /{path}/{id}/ HTTP/1.1\r\nhost: x.example\r\nx-request-id: {id}\r\n\
         x-deadline-ms: {deadline}\r\n\r\n"
    );
    if stream.write_all(req.as_bytes()).await.is_err() {
        return (CallOutcome::ConnectionLost, false);
    }
    match tokio::time::timeout(RESPONSE_TIMEOUT, read_response(stream)).await {
        Err(_) => (CallOutcome::TimedOut, false),
        Ok(None) => (CallOutcome::ConnectionLost, false),
        Ok(Some(response)) => {
            let keep = !response.closes_connection;
            let matches_request = response.matches(id, path);
            let status = response.status;
            (
                CallOutcome::Responded {
                    status,
                    matches_request,
                },
                keep,
            )
        }
    }
}

async fn read_response(stream: &mut TcpStream) -> Option<HttpResponse> {
    let mut buf = Vec::new();
    loop {
        if let Some(response) = HttpResponse::parse(&buf) {
            return Some(response);
        }
        if stream.read_buf(&mut buf).await.ok()? == 0 {
            return None;
        }
    }
}

/// A complete response with a `content-length`.
struct HttpResponse {
    status: u16,
    id: Option<String>,
    closes_connection: bool,
    body: String,
}

impl HttpResponse {
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
            closes_connection: header("connection").is_some_and(|value| value == "close"),
            body,
        })
    }

    /// Whether the response belongs to this call and, if successful, is complete.
    fn matches(&self, id: &str, path: &str) -> bool {
        let id_matches = self.id.as_deref().is_none_or(|known| known == id);
        let body_matches =
            self.status != 200 || self.body.contains(&format!(" /{path}/{id}/ with 0"));
        id_matches && body_matches
    }
}
