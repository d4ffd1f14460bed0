//! A target of the prepared platform, with fault injection.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use http::{HeaderMap, HeaderValue, Request, Response, StatusCode};
use hyper::body::Incoming;
use indexmap::IndexMap;
use serde_json::json;

use crate::faults::Shared;
use crate::http::{self as web, Body, Server};

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
}

/// Counts of the requests that a target received, by their identifiers.
#[derive(Debug, Clone, Default)]
pub struct Record {
    /// Number of runs of each request.
    pub runs: IndexMap<String, u32>,
    /// Number of arrivals of each request, whether it was run or not.
    pub arrivals: IndexMap<String, u32>,
    /// Number of requests run to completion.
    pub finished: u32,
    /// Value of `x-deadline-ms` of the last request, in milliseconds; 0 if it had none.
    pub last_deadline_ms: u64,
    /// Number of health checks.
    pub probes: u32,
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

    /// Returns the target's record in the store, with `zone` as its availability zone.
    #[must_use]
    pub fn target_record(&self, zone: &str, leaving: bool) -> Vec<u8> {
        let state = if leaving { "draining" } else { "ready" };
        json!({
            "service": self.service, "address": self.address(), "zone": zone,
            "version": "v1", "slots": 6, "state": state, "warmup_left_ms": 0,
            "sequence": 1, "born": 1,
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
        }
    }
}

async fn handle(cx: &TargetContext, req: Request<Incoming>) -> Option<Response<Body>> {
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
        record.last_deadline_ms = header("x-deadline-ms").parse().unwrap_or(0);
    });
    let expected = header("x-expected-instance");
    if !expected.is_empty() && expected != cx.id {
        return Some(response(421, &[("x-instance-id", &*cx.id)], String::new()));
    }
    if state.behaviour == Behaviour::Shedding {
        return Some(response(503, &[("x-not-executed", "1")], String::new()));
    }
    cx.record
        .change(|record| *record.runs.entry(id.clone()).or_default() += 1);
    let (method, path) = (req.method().clone(), req.uri().path().to_owned());
    let body = web::read_body(req.into_body()).await;
    tokio::time::sleep(state.work).await;
    cx.record.change(|record| record.finished += 1);
    let proof = [
        ("x-request-id", &*id),
        ("x-server-signature", "proof"),
        ("x-server-load", &load),
    ];
    let text = format!("{} ran {method} {path} with {}", cx.id, body.len());
    match state.behaviour {
        Behaviour::Serving | Behaviour::Shedding => Some(response(200, &proof, text)),
        Behaviour::Failing => Some(response(500, &proof, String::new())),
        Behaviour::Unproven => Some(response(200, &proof[..1], text)),
        Behaviour::Losing => None,
        Behaviour::Hanging => std::future::pending().await,
    }
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
