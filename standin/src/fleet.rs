//! Many targets in one process, each with an address of its own in 127.0.0.0/8.
//!
//! A call says by headers how long it works and how much it answers, so that
//! one fleet serves every shape of load. Calls above a target's slots wait
//! inside the target, and a bounded number of them; the rest is shed.

use std::net::{IpAddr, SocketAddr};
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, HeaderValue, Request, Response, StatusCode};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use serde_json::json;
use tokio::net::TcpListener;
use tokio::sync::Semaphore;
use tokio::task::JoinHandle;

use crate::http::{Body, answer, json as json_answer, read};
use crate::target::SHED_HEADER;

/// Header with the time that a call works, in microseconds.
pub const WORK_HEADER: &str = "x-bench-work-us";
/// Header with the length of a call's answer, in bytes.
pub const BYTES_HEADER: &str = "x-bench-bytes";
/// Header with the number of a call whose runs are counted.
pub const CALL_NUMBER_HEADER: &str = "x-bench-call";
/// Header with the availability zone that the call is sent from.
pub const ZONE_HEADER: &str = "x-bench-zone";
/// Header with the load on an answer.
pub const LOAD_HEADER: &str = "x-load";

/// Longest answer, in bytes.
const LONGEST_ANSWER: usize = 1 << 20;
/// Calls that wait inside a target, for each of its slots.
const WAITING_PER_SLOT: u32 = 8;

static ZEROS: [u8; LONGEST_ANSWER] = [0; LONGEST_ANSWER];

/// One target of a fleet.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct FleetTarget {
    /// Identifier of the target.
    pub id: String,
    /// Service that it runs.
    pub service: String,
    /// Availability zone that it stands in.
    pub zone: String,
    /// Address in 127.0.0.0/8; the system chooses the port.
    pub address: IpAddr,
}

/// What every target of a fleet is like.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(default)]
pub struct FleetOptions {
    /// Calls that one target runs at a time.
    pub slots: u32,
    /// Time that a new connection takes, in microseconds.
    pub connect_us: u64,
    /// One-way time between availability zones, in microseconds.
    pub zone_us: u64,
    /// Time by which the load endpoint and header lag, in microseconds.
    pub load_lag_us: u64,
}

impl Default for FleetOptions {
    fn default() -> Self {
        Self {
            slots: 6,
            connect_us: 1_000,
            zone_us: 0,
            load_lag_us: 100_000,
        }
    }
}

/// A running fleet; its targets end when it is dropped.
#[derive(Debug)]
pub struct Fleet {
    /// The targets in the order that was asked for.
    pub targets: Vec<Arc<TargetState>>,
    /// How often each numbered call ran, over the whole fleet.
    pub runs: Arc<Mutex<IndexMap<u64, u32>>>,
    tasks: Vec<JoinHandle<()>>,
}

impl Drop for Fleet {
    fn drop(&mut self) {
        for task in &self.tasks {
            task.abort();
        }
    }
}

/// One running target.
#[derive(Debug)]
pub struct TargetState {
    /// What the target is.
    pub target: FleetTarget,
    /// Where it listens.
    pub address: SocketAddr,
    /// Calls that it has been given and not yet answered.
    pub in_flight: AtomicU32,
    /// Most calls at a time since the last reset.
    pub peak: AtomicU32,
    /// Calls begun while as many as it bears were there.
    pub above_limit: AtomicU64,
    /// Calls run to their end.
    pub calls: AtomicU64,
    /// Calls shed.
    pub shed: AtomicU64,
    /// Questions about health or load.
    pub probes: AtomicU64,
    /// Open connections.
    pub connections: AtomicU32,
    /// Most open connections since the last reset.
    pub peak_connections: AtomicU32,
    /// Calls that it bears now.
    pub slot_limit: AtomicU32,
    /// Time that each call takes longer, in microseconds.
    pub delay_us: AtomicU64,
    /// Whether each call is shed.
    pub shedding: AtomicBool,
    /// Whether each call's connection closes after it has run.
    pub breaking: AtomicBool,
    /// Number of the process that the target pretends to be.
    pub start_id: AtomicU64,
    reported: AtomicU32,
    slots: Semaphore,
}

struct Context {
    options: FleetOptions,
    state: Arc<TargetState>,
    runs: Arc<Mutex<IndexMap<u64, u32>>>,
}

/// Starts a fleet.
///
/// # Errors
/// The operating system's answer when an address can't be had.
pub async fn start(options: &FleetOptions, targets: Vec<FleetTarget>) -> std::io::Result<Fleet> {
    let mut fleet = Fleet {
        targets: Vec::with_capacity(targets.len()),
        runs: Arc::default(),
        tasks: Vec::with_capacity(targets.len()),
    };
    for target in targets {
        let listener = TcpListener::bind((target.address, 0)).await?;
        let address = listener.local_addr()?;
        let state = Arc::new(TargetState::new(target, address, options.slots));
        let cx = Arc::new(Context {
            options: options.clone(),
            state: Arc::clone(&state),
            runs: Arc::clone(&fleet.runs),
        });
        fleet.targets.push(state);
        fleet.tasks.push(tokio::spawn(accept(listener, cx)));
    }
    Ok(fleet)
}

impl Fleet {
    /// The target with that identifier.
    #[must_use]
    pub fn target(&self, id: &str) -> Option<&Arc<TargetState>> {
        self.targets.iter().find(|state| state.target.id == id)
    }

    /// Starts the peaks and counts anew.
    pub fn reset(&self) {
        for state in &self.targets {
            state.reset();
        }
    }
}

impl TargetState {
    fn new(target: FleetTarget, address: SocketAddr, slots: u32) -> Self {
        Self {
            target,
            address,
            in_flight: AtomicU32::new(0),
            peak: AtomicU32::new(0),
            above_limit: AtomicU64::new(0),
            calls: AtomicU64::new(0),
            shed: AtomicU64::new(0),
            probes: AtomicU64::new(0),
            connections: AtomicU32::new(0),
            peak_connections: AtomicU32::new(0),
            slot_limit: AtomicU32::new(slots),
            delay_us: AtomicU64::new(0),
            shedding: AtomicBool::new(false),
            breaking: AtomicBool::new(false),
            start_id: AtomicU64::new(1),
            reported: AtomicU32::new(0),
            slots: Semaphore::new(slots as usize),
        }
    }

    fn reset(&self) {
        self.peak
            .store(self.in_flight.load(Ordering::Relaxed), Ordering::Relaxed);
        self.peak_connections
            .store(self.connections.load(Ordering::Relaxed), Ordering::Relaxed);
        for count in [&self.above_limit, &self.calls, &self.shed, &self.probes] {
            count.store(0, Ordering::Relaxed);
        }
    }

    fn begin(&self) {
        let running = self.in_flight.fetch_add(1, Ordering::Relaxed) + 1;
        self.peak.fetch_max(running, Ordering::Relaxed);
        if running > self.slot_limit.load(Ordering::Relaxed) {
            self.above_limit.fetch_add(1, Ordering::Relaxed);
        }
    }
}

async fn accept(listener: TcpListener, cx: Arc<Context>) {
    let mut connections = tokio::task::JoinSet::new();
    tokio::spawn(report_load(Arc::downgrade(&cx)));
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            continue;
        };
        while connections.try_join_next().is_some() {}
        tokio::time::sleep(Duration::from_micros(cx.options.connect_us)).await;
        let _ = stream.set_nodelay(true);
        let cx = Arc::clone(&cx);
        connections.spawn(async move {
            let open = cx.state.connections.fetch_add(1, Ordering::Relaxed) + 1;
            cx.state.peak_connections.fetch_max(open, Ordering::Relaxed);
            let shared = Arc::clone(&cx);
            let service = service_fn(move |req| {
                let cx = Arc::clone(&shared);
                async move { handle(&cx, req).await.ok_or("closed on demand") }
            });
            let _ = http1::Builder::new()
                .timer(TokioTimer::new())
                .serve_connection(TokioIo::new(stream), service)
                .await;
            cx.state.connections.fetch_sub(1, Ordering::Relaxed);
        });
    }
}

/// Copies the load to where it is reported, once in each lag.
async fn report_load(cx: std::sync::Weak<Context>) {
    loop {
        let Some(cx) = cx.upgrade() else { return };
        let load = cx.state.in_flight.load(Ordering::Relaxed);
        cx.state.reported.store(load, Ordering::Relaxed);
        let lag = Duration::from_micros(cx.options.load_lag_us.max(1_000));
        drop(cx);
        tokio::time::sleep(lag).await;
    }
}

async fn handle(cx: &Context, req: Request<Incoming>) -> Option<Response<Body>> {
    let path = req.uri().path();
    if let Some(question) = path.strip_prefix("/platform/") {
        cx.state.probes.fetch_add(1, Ordering::Relaxed);
        return Some(platform_answer(cx, question));
    }
    let resp = run(cx, req).await?;
    Some(resp)
}

fn platform_answer(cx: &Context, question: &str) -> Response<Body> {
    let state = &cx.state;
    let slots = cx.options.slots;
    let cold = state.slot_limit.load(Ordering::Relaxed) < slots;
    match question {
        "health" => json_answer(&json!({
            "state": if cold { "cold" } else { "ready" },
            "start": state.start_id.load(Ordering::Relaxed).to_string(),
        })),
        "load" => json_answer(&json!({
            "in_flight": state.reported.load(Ordering::Relaxed),
            "slots": slots,
        })),
        question if question.starts_with("cancel/") => json_answer(&json!({"state": "unknown"})),
        _ => answer(StatusCode::NOT_FOUND, "no such question"),
    }
}

async fn run(cx: &Context, req: Request<Incoming>) -> Option<Response<Body>> {
    let state = &cx.state;
    let headers = req.headers();
    let work = number(headers, WORK_HEADER).unwrap_or(0);
    let length = number(headers, BYTES_HEADER).unwrap_or(2);
    let call = number(headers, CALL_NUMBER_HEADER);
    let zone_time = zone_time(cx, headers);
    pause(zone_time).await;
    let waiting_limit = cx.options.slots * (1 + WAITING_PER_SLOT);
    let full = state.in_flight.load(Ordering::Relaxed) >= waiting_limit;
    if full || state.shedding.load(Ordering::Relaxed) {
        state.shed.fetch_add(1, Ordering::Relaxed);
        return Some(shed());
    }
    let running = Running::start(state);
    let _ = read(req.into_body()).await;
    let slot = state.slots.acquire().await.ok()?;
    if let Some(call) = call {
        let mut runs = cx.runs.lock().unwrap_or_else(PoisonError::into_inner);
        *runs.entry(call).or_default() += 1;
    }
    let delay = state.delay_us.load(Ordering::Relaxed);
    pause(Duration::from_micros(work + delay)).await;
    drop(slot);
    drop(running);
    state.calls.fetch_add(1, Ordering::Relaxed);
    if state.breaking.load(Ordering::Relaxed) {
        return None;
    }
    pause(zone_time).await;
    Some(whole_answer(cx, length))
}

fn whole_answer(cx: &Context, length: u64) -> Response<Body> {
    let length = usize::try_from(length).unwrap_or(0).min(LONGEST_ANSWER);
    let mut resp = answer(StatusCode::OK, Bytes::from_static(&ZEROS[..length]));
    let reported = cx.state.reported.load(Ordering::Relaxed);
    if let Ok(load) = HeaderValue::from_str(&format!("{reported}/{}", cx.options.slots)) {
        resp.headers_mut().insert(LOAD_HEADER, load);
    }
    resp
}

fn shed() -> Response<Body> {
    let mut resp = answer(StatusCode::SERVICE_UNAVAILABLE, "shed");
    resp.headers_mut()
        .insert(SHED_HEADER, HeaderValue::from_static("not-run"));
    resp
}

fn zone_time(cx: &Context, headers: &HeaderMap) -> Duration {
    let from = headers.get(ZONE_HEADER).map(HeaderValue::as_bytes);
    let away = from.is_some_and(|zone| zone != cx.state.target.zone.as_bytes());
    Duration::from_micros(if away { cx.options.zone_us } else { 0 })
}

async fn pause(time: Duration) {
    if !time.is_zero() {
        tokio::time::sleep(time).await;
    }
}

fn number(headers: &HeaderMap, name: &str) -> Option<u64> {
    headers.get(name)?.to_str().ok()?.parse().ok()
}

/// Counts a call as given to the target until it is dropped.
struct Running<'a>(&'a TargetState);

impl<'a> Running<'a> {
    fn start(state: &'a TargetState) -> Self {
        state.begin();
        Self(state)
    }
}

impl Drop for Running<'_> {
    fn drop(&mut self) {
        self.0.in_flight.fetch_sub(1, Ordering::Relaxed);
    }
}
