//! Many targets in one process, each with its own address in 127.0.0.0/8.
//!
//! Headers of a call set its processing time and the length of its response, so
//! that one fleet serves every shape of load. Each target queues a bounded number
//! of calls above its slots and sheds the rest.

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

use crate::http::{Body, json_response, read_body, response};
use crate::target::SHED_HEADER;

/// Header with the processing time of a call, in microseconds.
pub const WORK_HEADER: &str = "x-bench-work-us";
/// Header with the length of the response body, in bytes.
pub const BYTES_HEADER: &str = "x-bench-bytes";
/// Header with the number of a call; runs are counted per number.
pub const CALL_NUMBER_HEADER: &str = "x-bench-call";
/// Header with the availability zone that the call comes from.
pub const ZONE_HEADER: &str = "x-bench-zone";
/// Response header with the target's load, as `IN_FLIGHT/SLOTS`.
pub const LOAD_HEADER: &str = "x-load";

const MAX_RESPONSE_BYTES: usize = 1 << 20;
/// Calls that a target queues for each of its slots.
const QUEUED_PER_SLOT: u32 = 8;

static ZEROS: [u8; MAX_RESPONSE_BYTES] = [0; MAX_RESPONSE_BYTES];

/// One target of a fleet.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct FleetTarget {
    /// Identifier of the target.
    pub id: String,
    /// Service that it runs.
    pub service: String,
    /// Availability zone of the target.
    pub zone: String,
    /// Address in 127.0.0.0/8; the operating system chooses the port.
    pub address: IpAddr,
}

/// Properties that all targets of a fleet share.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(default)]
pub struct FleetOptions {
    /// Calls that one target runs concurrently.
    pub slots: u32,
    /// Delay before a new connection is served, in microseconds.
    pub connect_us: u64,
    /// One-way network delay between availability zones, in microseconds.
    pub zone_us: u64,
    /// Update interval of the reported load, and so its largest lag, in microseconds.
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

/// A running fleet; its targets stop when it is dropped.
#[derive(Debug)]
pub struct Fleet {
    /// The targets in the order that they were passed to [`start`].
    pub targets: Vec<Arc<TargetState>>,
    /// Number of runs of each numbered call over the whole fleet.
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
    /// Identity of the target, as it was passed to [`start`].
    pub target: FleetTarget,
    /// Address that the target listens on.
    pub address: SocketAddr,
    /// Calls running or queued.
    pub in_flight: AtomicU32,
    /// Maximum of `in_flight` since the last reset.
    pub peak: AtomicU32,
    /// Calls received while `slot_limit` or more were in flight.
    pub above_limit: AtomicU64,
    /// Calls completed since the last reset.
    pub calls: AtomicU64,
    /// Calls shed since the last reset.
    pub shed: AtomicU64,
    /// Health and load requests since the last reset.
    pub probes: AtomicU64,
    /// Connections currently open.
    pub connections: AtomicU32,
    /// Maximum of `connections` since the last reset.
    pub peak_connections: AtomicU32,
    /// Concurrent calls above which calls count as `above_limit`; below the number of
    /// slots the target reports that it is cold.
    pub slot_limit: AtomicU32,
    /// Time added to each call, in microseconds.
    pub delay_us: AtomicU64,
    /// Whether each call is shed.
    pub shedding: AtomicBool,
    /// Whether each call runs and its connection is closed without a response.
    pub breaking: AtomicBool,
    /// Identifies the simulated process; a change looks like a restart.
    pub start_id: AtomicU64,
    reported_in_flight: AtomicU32,
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
/// The operating system's error when an address can't be bound.
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
    /// Returns the target with this identifier.
    #[must_use]
    pub fn target(&self, id: &str) -> Option<&Arc<TargetState>> {
        self.targets.iter().find(|state| state.target.id == id)
    }

    /// Resets the counters of every target, and its maxima to the current values.
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
            reported_in_flight: AtomicU32::new(0),
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

    fn begin_call(&self) {
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
                async move { handle(&cx, req).await.ok_or("closed by an injected fault") }
            });
            let _ = http1::Builder::new()
                .timer(TokioTimer::new())
                .serve_connection(TokioIo::new(stream), service)
                .await;
            cx.state.connections.fetch_sub(1, Ordering::Relaxed);
        });
    }
}

/// Updates the reported load every `load_lag_us`.
async fn report_load(cx: std::sync::Weak<Context>) {
    loop {
        let Some(cx) = cx.upgrade() else { return };
        let load = cx.state.in_flight.load(Ordering::Relaxed);
        cx.state.reported_in_flight.store(load, Ordering::Relaxed);
        let lag = Duration::from_micros(cx.options.load_lag_us.max(1_000));
        drop(cx);
        tokio::time::sleep(lag).await;
    }
}

async fn handle(cx: &Context, req: Request<Incoming>) -> Option<Response<Body>> {
    let path = req.uri().path();
    if let Some(endpoint) = path.strip_prefix("/platform/") {
        cx.state.probes.fetch_add(1, Ordering::Relaxed);
        return Some(platform_response(cx, endpoint));
    }
    let resp = run(cx, req).await?;
    Some(resp)
}

fn platform_response(cx: &Context, endpoint: &str) -> Response<Body> {
    let state = &cx.state;
    let slots = cx.options.slots;
    let cold = state.slot_limit.load(Ordering::Relaxed) < slots;
    match endpoint {
        "health" => json_response(&json!({
            "state": if cold { "cold" } else { "ready" },
            "start": state.start_id.load(Ordering::Relaxed).to_string(),
        })),
        "load" => json_response(&json!({
            "in_flight": state.reported_in_flight.load(Ordering::Relaxed),
            "slots": slots,
        })),
        endpoint if endpoint.starts_with("cancel/") => json_response(&json!({"state": "unknown"})),
        _ => response(StatusCode::NOT_FOUND, "unknown endpoint"),
    }
}

async fn run(cx: &Context, req: Request<Incoming>) -> Option<Response<Body>> {
    let state = &cx.state;
    let headers = req.headers();
    let work = header_number(headers, WORK_HEADER).unwrap_or(0);
    let length = header_number(headers, BYTES_HEADER).unwrap_or(2);
    let call = header_number(headers, CALL_NUMBER_HEADER);
    let cross_zone_delay = cross_zone_delay(cx, headers);
    sleep_nonzero(cross_zone_delay).await;
    let max_in_flight = cx.options.slots * (1 + QUEUED_PER_SLOT);
    let full = state.in_flight.load(Ordering::Relaxed) >= max_in_flight;
    if full || state.shedding.load(Ordering::Relaxed) {
        state.shed.fetch_add(1, Ordering::Relaxed);
        return Some(shed());
    }
    let in_flight = InFlightGuard::start(state);
    let _ = read_body(req.into_body()).await;
    let slot = state.slots.acquire().await.ok()?;
    if let Some(call) = call {
        let mut runs = cx.runs.lock().unwrap_or_else(PoisonError::into_inner);
        *runs.entry(call).or_default() += 1;
    }
    let delay = state.delay_us.load(Ordering::Relaxed);
    sleep_nonzero(Duration::from_micros(work + delay)).await;
    drop(slot);
    drop(in_flight);
    state.calls.fetch_add(1, Ordering::Relaxed);
    if state.breaking.load(Ordering::Relaxed) {
        return None;
    }
    sleep_nonzero(cross_zone_delay).await;
    Some(success_response(cx, length))
}

fn success_response(cx: &Context, length: u64) -> Response<Body> {
    let length = usize::try_from(length).unwrap_or(0).min(MAX_RESPONSE_BYTES);
    let mut resp = response(StatusCode::OK, Bytes::from_static(&ZEROS[..length]));
    let reported = cx.state.reported_in_flight.load(Ordering::Relaxed);
    if let Ok(load) = HeaderValue::from_str(&format!("{reported}/{}", cx.options.slots)) {
        resp.headers_mut().insert(LOAD_HEADER, load);
    }
    resp
}

fn shed() -> Response<Body> {
    let mut resp = response(StatusCode::SERVICE_UNAVAILABLE, "shed");
    resp.headers_mut()
        .insert(SHED_HEADER, HeaderValue::from_static("not-run"));
    resp
}

fn cross_zone_delay(cx: &Context, headers: &HeaderMap) -> Duration {
    let from = headers.get(ZONE_HEADER).map(HeaderValue::as_bytes);
    let other_zone = from.is_some_and(|zone| zone != cx.state.target.zone.as_bytes());
    Duration::from_micros(if other_zone { cx.options.zone_us } else { 0 })
}

async fn sleep_nonzero(time: Duration) {
    if !time.is_zero() {
        tokio::time::sleep(time).await;
    }
}

fn header_number(headers: &HeaderMap, name: &str) -> Option<u64> {
    headers.get(name)?.to_str().ok()?.parse().ok()
}

/// Counts a call in the target's `in_flight` until it is dropped.
struct InFlightGuard<'a>(&'a TargetState);

impl<'a> InFlightGuard<'a> {
    fn start(state: &'a TargetState) -> Self {
        state.begin_call();
        Self(state)
    }
}

impl Drop for InFlightGuard<'_> {
    fn drop(&mut self) {
        self.0.in_flight.fetch_sub(1, Ordering::Relaxed);
    }
}
