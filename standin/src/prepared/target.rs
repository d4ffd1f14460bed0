//! A target of the prepared platform, with fault injection.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use http::{HeaderMap, HeaderValue, Request, Response, StatusCode};
use http_body_util::{BodyExt, StreamBody};
use hyper::body::{Frame, Incoming};
use indexmap::IndexMap;
use serde_json::json;
use tokio::sync::Notify;
use tokio::time::Instant;

use crate::faults::Shared;
use crate::http::{self as web, Body, Server};

/// Parts of a body that is sent in chunks.
const CHUNKS: usize = 4;

/// How a target handles requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum Behaviour {
    /// Runs the request and responds.
    #[default]
    Serving,
    /// Rejects the request and states that it did not run.
    Shedding,
    /// Runs the request and responds with status 500.
    Failing,
    /// Runs the request and closes the connection without a response.
    Losing,
    /// Runs the request and never responds.
    Hanging,
    /// Runs the request and responds without the signature that proves it.
    Unproven,
    /// Responds with status 500 before it has read the body.
    Early,
    /// Closes the connection once some of the body has arrived.
    BreakingOff,
}

/// Behaviour and reported state of a target; tests change them.
#[derive(Debug, Clone)]
pub struct State {
    /// How requests are handled.
    pub behaviour: Behaviour,
    /// Processing time of a request.
    pub work: Duration,
    /// Processing time that the target reports, in percent of the usual one.
    pub slowness_percent: u32,
    /// Whether its health check succeeds.
    pub healthy: bool,
    /// Pause after each part of a body that is read.
    pub read_pause: Duration,
    /// Requests that were shed at their first arrival, shared by some targets; `None` if
    /// that is not done.
    pub shed_first: Option<Shared<Vec<String>>>,
    /// Time for which the target is down after it began to run a request whose path
    /// contains `crash`; zero if such requests run like others.
    pub crash_duration: Duration,
    /// Limit in requests a second that every response names; `None` for none.
    pub limit: Option<f64>,
    /// Whether every response says that the target is about to leave.
    pub names_leaving: bool,
    /// Version of the target's software.
    pub version: &'static str,
    /// Start of the paths of the requests that fail; `None` if none do.
    pub failing_route: Option<&'static str>,
    /// Length of the body of responses to paths that contain `large`, in bytes.
    pub large_bytes: usize,
    /// Pause before each part of a response's body, which is then sent in chunks; zero for a
    /// body with a length.
    pub chunk_pause: Duration,
    /// Seconds for which requests and health checks are turned away, with this time to
    /// retry after; `None` if none are.
    pub pause: Option<u32>,
}

/// Counts of the requests that a target received, by their identifiers.
#[derive(Debug, Clone, Default)]
pub struct Record {
    /// Number of runs of each request.
    pub runs: IndexMap<String, u32>,
    /// Number of arrivals of each request, whether it was run or not.
    pub arrivals: IndexMap<String, u32>,
    /// Values of the account header of each request that arrived, in order of arrival.
    pub accounts: IndexMap<String, Vec<String>>,
    /// Requests that arrived with an `Authorization` header.
    pub with_authorization: Vec<String>,
    /// Number of requests run to completion.
    pub finished: u32,
    /// Value of `x-deadline-ms` of the last request, in milliseconds; 0 if it had none.
    pub last_deadline_ms: u64,
    /// Number of health checks.
    pub probes: u32,
    /// Number of requests whose body did not arrive whole.
    pub broken_bodies: u32,
    /// Number of crashes.
    pub crashes: u32,
    /// When requests and health checks arrived, in order.
    pub arrival_times: Vec<Instant>,
}

/// A running target; it stops when it is dropped.
#[derive(Debug)]
pub struct TargetStandin {
    /// Identifier of the target.
    pub id: String,
    /// Service that the target runs.
    pub service: String,
    /// Behaviour, read at the start of each request.
    pub state: Shared<State>,
    /// Counts of the requests and health checks so far.
    pub record: Shared<Record>,
    server: Server,
}

struct TargetContext {
    id: String,
    state: Shared<State>,
    record: Shared<Record>,
    down_until: Shared<Option<Instant>>,
    crashed: Notify,
}

impl TargetContext {
    fn is_down(&self) -> bool {
        self.down_until
            .get()
            .is_some_and(|until| Instant::now() < until)
    }

    /// Ends the running requests and answers nothing for a while.
    fn crash(&self, duration: Duration) {
        self.record.change(|record| record.crashes += 1);
        self.down_until.set(Some(Instant::now() + duration));
        self.crashed.notify_waiters();
    }
}

impl TargetStandin {
    /// Starts a target on a port chosen by the operating system.
    ///
    /// # Errors
    /// The operating system's error when no port can be bound.
    pub async fn start(id: &str, service: &str) -> std::io::Result<Self> {
        let state = Shared::default();
        let record = Shared::default();
        let cx = Arc::new(TargetContext {
            id: id.into(),
            state: Shared::clone(&state),
            record: Shared::clone(&record),
            down_until: Shared::default(),
            crashed: Notify::new(),
        });
        let server = web::serve(move |req| {
            let cx = cx.clone();
            async move { handle(&cx, req).await }
        })
        .await?;
        Ok(Self {
            id: id.into(),
            service: service.into(),
            state,
            record,
            server,
        })
    }

    /// Address that the target listens on.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.server.address
    }

    /// Returns the target's record in the store, with `zone` as its availability zone. Each
    /// crash starts a new run.
    #[must_use]
    pub fn target_record(&self, zone: &str, leaving: bool) -> Vec<u8> {
        let state = if leaving { "draining" } else { "ready" };
        json!({
            "service": self.service, "address": self.address(), "zone": zone,
            "version": self.state.get().version, "slots": 6, "state": state, "warmup_left_ms": 0,
            "sequence": 1, "born": 1 + self.record.get().crashes,
        })
        .to_string()
        .into_bytes()
    }
}

impl Default for State {
    fn default() -> Self {
        Self {
            behaviour: Behaviour::Serving,
            work: Duration::from_millis(2),
            slowness_percent: 100,
            healthy: true,
            read_pause: Duration::ZERO,
            shed_first: None,
            crash_duration: Duration::ZERO,
            limit: None,
            names_leaving: false,
            version: "v1",
            failing_route: None,
            large_bytes: 0,
            chunk_pause: Duration::ZERO,
            pause: None,
        }
    }
}

/// Checksum of a body that depends on the order of its bytes.
#[must_use]
pub fn checksum(body: &[u8]) -> u64 {
    body.iter().fold(body.len() as u64, |sum, byte| {
        sum.wrapping_mul(1_000_003).wrapping_add(u64::from(*byte))
    })
}

async fn handle(cx: &TargetContext, req: Request<Incoming>) -> Option<Response<Body>> {
    if cx.is_down() {
        return None;
    }
    cx.record
        .change(|record| record.arrival_times.push(Instant::now()));
    let state = cx.state.get();
    let mut resp = match state.pause {
        Some(_) => response(503, &[("x-not-executed", "1")], String::new()),
        None => respond(cx, req).await?,
    };
    if let Some(pause) = state.pause {
        resp.headers_mut().insert("retry-after", pause.into());
    }
    if state.names_leaving {
        let value = HeaderValue::from_static("1");
        resp.headers_mut().insert("server-leaving", value);
    }
    if let Some(limit) = cx.state.get().limit
        && let Ok(value) = HeaderValue::from_str(&limit.to_string())
    {
        resp.headers_mut().insert("server-limit", value);
    }
    if state.chunk_pause.is_zero() {
        return Some(resp);
    }
    in_chunks(resp, state.chunk_pause).await
}

/// Sends the body of a response in some chunks, with a pause before each.
async fn in_chunks(resp: Response<Body>, pause: Duration) -> Option<Response<Body>> {
    let (head, body) = resp.into_parts();
    let body = body.collect().await.ok()?.to_bytes();
    let chunk_bytes = body.len().div_ceil(CHUNKS).max(1);
    let chunks = futures_util::stream::unfold(body, move |mut rest| async move {
        if rest.is_empty() {
            return None;
        }
        tokio::time::sleep(pause).await;
        let chunk = rest.split_to(chunk_bytes.min(rest.len()));
        Some((Ok(Frame::data(chunk)), rest))
    });
    Some(Response::from_parts(
        head,
        StreamBody::new(chunks).boxed_unsync(),
    ))
}

async fn respond(cx: &TargetContext, req: Request<Incoming>) -> Option<Response<Body>> {
    let state = cx.state.get();
    let load = format!("0,0,6,{}", state.slowness_percent);
    if req.uri().path() == "/health" {
        cx.record.change(|record| record.probes += 1);
        let status = if state.healthy { 200 } else { 503 };
        let headers = [("x-instance-id", &*cx.id), ("x-server-load", &load)];
        return Some(response(status, &headers, String::new()));
    }
    let header = |name: &str| header_value(req.headers(), name);
    let id = header("x-request-id");
    cx.record.change(|record| {
        *record.arrivals.entry(id.clone()).or_default() += 1;
        let accounts = req.headers().get_all("x-tenant").iter();
        let accounts = accounts.map(|value| String::from_utf8_lossy(value.as_bytes()).into_owned());
        record
            .accounts
            .entry(id.clone())
            .or_default()
            .extend(accounts);
        if req.headers().contains_key("authorization") {
            record.with_authorization.push(id.clone());
        }
        record.last_deadline_ms = header("x-deadline-ms").parse().unwrap_or(0);
    });
    let expected = header("x-expected-instance");
    if !expected.is_empty() && expected != cx.id {
        return Some(response(421, &[("x-instance-id", &*cx.id)], String::new()));
    }
    if state.behaviour == Behaviour::Shedding || is_shed_first(&state, &id) {
        return Some(response(503, &[("x-not-executed", "1")], String::new()));
    }
    let (method, path) = (req.method().clone(), req.uri().path().to_owned());
    cx.record
        .change(|record| *record.runs.entry(id.clone()).or_default() += 1);
    if path.contains("crash") && !state.crash_duration.is_zero() {
        cx.crash(state.crash_duration);
        return None;
    }
    if state.behaviour == Behaviour::Early {
        let proof = [("x-request-id", &*id), ("x-server-signature", "proof")];
        return Some(response(500, &proof, String::new()));
    }
    let mut guard = BodyGuard {
        record: cx.record.clone(),
        is_whole: false,
    };
    let body = read_body(req.into_body(), &state).await?;
    guard.is_whole = true;
    drop(guard);
    tokio::select! {
        () = tokio::time::sleep(state.work) => {}
        () = cx.crashed.notified() => return None,
    }
    cx.record.change(|record| record.finished += 1);
    let sum = checksum(&body).to_string();
    let proof = [
        ("x-request-id", &*id),
        ("x-server-signature", "proof"),
        ("x-server-load", &load),
        ("x-body-checksum", &sum),
    ];
    let mut text = format!("{} ran {method} {path} with {}", cx.id, body.len());
    if path.contains("large") {
        text = text.repeat(state.large_bytes.div_ceil(text.len()));
    }
    if state
        .failing_route
        .is_some_and(|route| path.starts_with(route))
    {
        return Some(response(500, &proof, String::new()));
    }
    match state.behaviour {
        Behaviour::Serving | Behaviour::Shedding => Some(response(200, &proof, text)),
        Behaviour::Failing | Behaviour::Early => Some(response(500, &proof, String::new())),
        Behaviour::Unproven => Some(response(200, &proof[..1], text)),
        Behaviour::Losing | Behaviour::BreakingOff => None,
        Behaviour::Hanging => std::future::pending().await,
    }
}

/// Whether a request arrives for the first time at any of the targets that shed it then.
fn is_shed_first(state: &State, id: &str) -> bool {
    let Some(known) = &state.shed_first else {
        return false;
    };
    let mut is_first = false;
    known.change(|known| {
        is_first = !known.iter().any(|other| other == id);
        if is_first {
            known.push(id.to_owned());
        }
    });
    is_first
}

/// Counts a body that is dropped before it was read whole.
struct BodyGuard {
    record: Shared<Record>,
    is_whole: bool,
}

impl Drop for BodyGuard {
    fn drop(&mut self) {
        if !self.is_whole {
            self.record.change(|record| record.broken_bodies += 1);
        }
    }
}

/// Reads a body part by part; `None` if it does not arrive whole or the connection is to
/// be closed.
async fn read_body(mut body: Incoming, state: &State) -> Option<Vec<u8>> {
    let mut read = Vec::new();
    while let Some(frame) = body.frame().await {
        if let Ok(data) = frame.ok()?.into_data() {
            read.extend_from_slice(&data);
        }
        if state.behaviour == Behaviour::BreakingOff {
            return None;
        }
        tokio::time::sleep(state.read_pause).await;
    }
    Some(read)
}

fn header_value(headers: &HeaderMap, name: &str) -> String {
    headers
        .get(name)
        .and_then(|value| value.to_str().ok())
        .unwrap_or_default()
        .to_owned()
}

fn response(status: u16, headers: &[(&'static str, &str)], body: String) -> Response<Body> {
    let status = StatusCode::from_u16(status).unwrap_or(StatusCode::BAD_GATEWAY);
    let mut resp = web::response(status, body);
    for (name, value) in headers {
        if let Ok(value) = HeaderValue::from_str(value) {
            resp.headers_mut().insert(*name, value);
        }
    }
    resp
}
