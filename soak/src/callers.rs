//! Callers that keep connections open and query the directory like the users' scripts.

use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;
use std::time::{Duration, Instant};

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use standin::faults::Shared;
use standin::prepared::settings::{CALLER_PORT, DIRECTORY_PORT};
use standin::prepared::target::checksum;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

use crate::check::{Call, CallKey, CallOutcome};
use crate::cluster::{self, HOT_ACCOUNT, ROTATING_ACCOUNT, STEADY_ACCOUNT};

/// Timeout of connecting, and of a whole request to a directory or dump endpoint.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Deadline of each call.
const DEADLINE: Duration = Duration::from_secs(2);
/// Time to wait for a response; exceeds the deadline by the time that an instance may
/// be paused.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(5);
/// Upper bound of the pause between two calls of one caller.
const MAX_PAUSE: Duration = Duration::from_millis(40);
/// Upper bound of the size of an upload.
const MAX_UPLOAD_BYTES: usize = 300_000;
/// Bytes of an upload that are written at once.
const UPLOAD_PIECE_BYTES: usize = 20_000;
/// Caller that makes no pauses.
const HOT_CALLER: usize = 0;
/// Account that every caller claims to be.
const OTHER_NAME: &str = "other";
/// Mean number of calls on one connection before a new one is opened.
const MEAN_CALLS_PER_CONNECTION: u32 = 30;

/// State shared by all callers.
#[derive(Debug)]
pub(crate) struct CallerContext {
    /// Time at which the callers started.
    pub start: Instant,
    /// Addresses of the instances.
    pub instances: Vec<IpAddr>,
    /// Version of the configuration that was written last.
    pub version: Shared<u64>,
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
        let kind = CallKind::draw(&mut rng);
        let id = format!("{index}-{count}");
        let key = choose_key(index, count, cx.version.get());
        let sent = cx.start.elapsed();
        let connected = match open.take() {
            Some(open) => Ok(open),
            None => connect(&cx, &mut rng).await,
        };
        let (instance, outcome) = match connected {
            Ok((instance, mut stream)) => {
                let (outcome, keep) = exchange(&mut stream, &id, &key, kind, &mut rng).await;
                if keep {
                    open = Some((instance, stream));
                }
                (instance, outcome)
            }
            Err(instance) => (instance, CallOutcome::NotConnected),
        };
        let call = Call {
            id,
            key,
            at_most_once: kind != CallKind::Safe,
            instance,
            sent,
            ended: cx.start.elapsed(),
            outcome,
        };
        cx.calls.change(|calls| calls.push(call));
        let pause = rng.random_range(Duration::ZERO..MAX_PAUSE);
        if index != HOT_CALLER {
            tokio::time::sleep(pause).await;
        }
    }
}

/// The key for a call: mostly one that every version has, and of the account whose keys
/// change either the present or a withdrawn one.
fn choose_key(caller: usize, count: u32, version: u64) -> CallKey {
    match (caller, count % 10) {
        (HOT_CALLER, _) => cluster::lasting_key(HOT_ACCOUNT),
        (_, 0..=5) => cluster::lasting_key(STEADY_ACCOUNT),
        (_, 6..=8) => cluster::rotating_key(ROTATING_ACCOUNT, version),
        _ => cluster::rotating_key(ROTATING_ACCOUNT, version.saturating_sub(2)),
    }
}

/// Queries the directory of a random instance and connects to one of the addresses in it.
///
/// # Errors
/// The instance that could not be reached.
async fn connect(cx: &CallerContext, rng: &mut StdRng) -> Result<(IpAddr, TcpStream), IpAddr> {
    let directory = cx.instances[rng.random_range(0..cx.instances.len())];
    let addresses = addresses(SocketAddr::new(directory, DIRECTORY_PORT)).await;
    let addresses = addresses.ok_or(directory)?;
    let index = rng.random_range(0..addresses.len().max(1));
    let address = *addresses.get(index).ok_or(directory)?;
    debug_assert_eq!(address.port(), CALLER_PORT);
    let connecting = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(address));
    match connecting.await {
        Ok(Ok(stream)) => Ok((address.ip(), stream)),
        Ok(Err(_)) | Err(_) => Err(address.ip()),
    }
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

/// Kind of a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum CallKind {
    Safe,
    Once,
    Upload,
}

impl CallKind {
    fn draw(rng: &mut StdRng) -> Self {
        match rng.random_range(0..6) {
            0..=2 => Self::Safe,
            3 | 4 => Self::Once,
            _ => Self::Upload,
        }
    }

    fn path(self) -> &'static str {
        match self {
            Self::Safe => "safe",
            Self::Once => "once",
            Self::Upload => "upload",
        }
    }
}

/// Sends one call; returns its outcome and whether the connection can be reused.
async fn exchange(
    stream: &mut TcpStream,
    id: &str,
    key: &CallKey,
    kind: CallKind,
    rng: &mut StdRng,
) -> (CallOutcome, bool) {
    let (path, deadline) = (kind.path(), DEADLINE.as_millis());
    let mut body = Vec::new();
    if kind == CallKind::Upload {
        body.resize(rng.random_range(1..MAX_UPLOAD_BYTES), 0);
        rng.fill(&mut body[..]);
    }
    let method = if body.is_empty() { "GET" } else { "POST" };
    let head = format!(
        "{method} /{path}/{id}/ HTTP/1.1\r\nhost: x.example\r\nx-request-id: {id}\r\n\
         x-deadline-ms: {deadline}\r\nauthorization: Bearer {}\r\nx-tenant: {OTHER_NAME}\r\n\
         content-length: {}\r\n\r\n",
        key.text,
        body.len()
    );
    let sending = async {
        stream.write_all(head.as_bytes()).await?;
        for piece in body.chunks(UPLOAD_PIECE_BYTES) {
            stream.write_all(piece).await?;
            tokio::task::yield_now().await;
        }
        Ok::<_, std::io::Error>(())
    };
    if !matches!(
        tokio::time::timeout(RESPONSE_TIMEOUT, sending).await,
        Ok(Ok(()))
    ) {
        return (CallOutcome::ConnectionLost, false);
    }
    match tokio::time::timeout(RESPONSE_TIMEOUT, read_response(stream)).await {
        Err(_) => (CallOutcome::TimedOut, false),
        Ok(None) => (CallOutcome::ConnectionLost, false),
        Ok(Some(response)) => {
            let keep = !response.closes_connection;
            let matches_request = response.matches(id, path, &body);
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
    /// Checksum of the request's body as the target received it.
    checksum: Option<u64>,
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
            checksum: header("x-body-checksum").and_then(|value| value.parse().ok()),
            closes_connection: header("connection").is_some_and(|value| value == "close"),
            body,
        })
    }

    /// Whether the response belongs to this call and, if successful, is complete.
    fn matches(&self, id: &str, path: &str, sent: &[u8]) -> bool {
        let id_matches = self.id.as_deref().is_none_or(|known| known == id);
        let ran = format!(" /{path}/{id}/ with {}", sent.len());
        let body_matches = self.body.ends_with(&ran) && self.checksum == Some(checksum(sent));
        id_matches && (self.status != 200 || body_matches)
    }
}
