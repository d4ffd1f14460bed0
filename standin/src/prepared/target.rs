//! A target of the prepared platform, with faults on demand.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use http::{HeaderMap, HeaderValue, Request, Response, StatusCode};
use hyper::body::Incoming;
use indexmap::IndexMap;
use serde_json::json;

use crate::faults::Shared;
use crate::http::{self as web, Body, Server};

/// What a target does with a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum Behaviour {
    /// It runs it and answers.
    #[default]
    Serving,
    /// It states that it did not run it.
    Shedding,
    /// It runs it and fails.
    Failing,
    /// It runs it and closes the connection without an answer.
    Disconnecting,
    /// It runs it and never answers.
    Hanging,
    /// It runs it and answers without its proof.
    Unproven,
}

/// What a target shows and does; changed by tests.
#[derive(Debug, Clone)]
pub struct State {
    /// What it does with requests.
    pub behaviour: Behaviour,
    /// Time that a request takes.
    pub work: Duration,
    /// How long work takes at the moment, in percent of the usual.
    pub slowness_percent: u32,
    /// Whether its health check succeeds.
    pub healthy: bool,
}

/// Runs and arrivals of requests, by their ids.
#[derive(Debug, Clone, Default)]
pub struct Record {
    /// Requests that were run, and how often.
    pub runs: IndexMap<String, u32>,
    /// Requests that arrived, run or not.
    pub arrivals: IndexMap<String, u32>,
    /// Requests that were run to their end.
    pub finished: u32,
    /// The deadline in milliseconds that the last request came with.
    pub last_deadline_ms: u64,
    /// Health checks.
    pub probes: u32,
}

/// A target.
#[derive(Debug)]
pub struct TargetStandin {
    /// Its id.
    pub id: String,
    /// Its service.
    pub service: String,
    /// What it does.
    pub state: Shared<State>,
    /// What it saw.
    pub record: Shared<Record>,
    server: Server,
}

struct TargetContext {
    id: String,
    state: Shared<State>,
    record: Shared<Record>,
}

impl TargetStandin {
    /// Starts a target on a port that the system chooses.
    ///
    /// # Errors
    /// The operating system's answer when no port can be had.
    pub async fn start(id: &str, service: &str) -> std::io::Result<Self> {
        let state = Shared::default();
        let record = Shared::default();
        let shared = Arc::new(TargetContext {
            id: id.into(),
            state: Shared::clone(&state),
            record: Shared::clone(&record),
        });
        let server = web::serve(move |req| {
            let shared = shared.clone();
            async move { answer(&shared, req).await }
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

    /// Where it listens.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.server.address
    }

    /// Its entry in the store, in `zone`.
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

async fn answer(shared: &TargetContext, req: Request<Incoming>) -> Option<Response<Body>> {
    let state = shared.state.get();
    let load = format!("0,0,6,{}", state.slowness_percent);
    if req.uri().path() == "/health" {
        shared.record.change(|record| record.probes += 1);
        let status = if state.healthy { 200 } else { 503 };
        let headers = [("x-instance-id", &*shared.id), ("x-server-load", &load)];
        return Some(reply(status, &headers, String::new()));
    }
    let header = |name: &str| header(req.headers(), name);
    let id = header("x-request-id");
    shared.record.change(|record| {
        *record.arrivals.entry(id.clone()).or_default() += 1;
        record.last_deadline_ms = header("x-deadline-ms").parse().unwrap_or(0);
    });
    let expected = header("x-expected-instance");
    if !expected.is_empty() && expected != shared.id {
        return Some(reply(421, &[("x-instance-id", &*shared.id)], String::new()));
    }
    if state.behaviour == Behaviour::Shedding {
        return Some(reply(503, &[("x-not-executed", "1")], String::new()));
    }
    shared
        .record
        .change(|record| *record.runs.entry(id.clone()).or_default() += 1);
    let (method, path) = (req.method().clone(), req.uri().path().to_owned());
    let body = web::read(req.into_body()).await;
    tokio::time::sleep(state.work).await;
    shared.record.change(|record| record.finished += 1);
    let proof = [
        ("x-request-id", &*id),
        ("x-server-signature", "proof"),
        ("x-server-load", &load),
    ];
    let text = format!("{} ran {method} {path} with {}", shared.id, body.len());
    match state.behaviour {
        Behaviour::Serving | Behaviour::Shedding => Some(reply(200, &proof, text)),
        Behaviour::Failing => Some(reply(500, &proof, String::new())),
        Behaviour::Unproven => Some(reply(200, &proof[..1], text)),
        Behaviour::Disconnecting => None,
        Behaviour::Hanging => std::future::pending().await,
    }
}

fn header(headers: &HeaderMap, name: &str) -> String {
    headers
        .get(name)
        .and_then(|value| value.to_str().ok())
        .unwrap_or_default()
        .to_owned()
}

fn reply(status: u16, headers: &[(&'static str, &str)], body: String) -> Response<Body> {
    let status = StatusCode::from_u16(status).unwrap_or(StatusCode::BAD_GATEWAY);
    let mut resp = web::answer(status, body);
    for (name, value) in headers {
        if let Ok(value) = HeaderValue::from_str(value) {
            resp.headers_mut().insert(*name, value);
        }
    }
    resp
}
