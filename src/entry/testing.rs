//! Instances, their settings and requests in tests.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use http::{HeaderName, HeaderValue};
use standin::prepared::target::TargetStandin;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;

use crate::entry::fleet::replica::Delta;
use crate::entry::metrics::EntryMetrics;
use crate::entry::model::{
    CallerLimits, Change, Configuration, Record, RetrySafety, Route, ServiceLimits, Target,
    WeightedService,
};
use crate::entry::settings::{EntrySettings, Tuning};
use crate::entry::shared::Shared;
use crate::entry::state::State;
use crate::http1::request_body::{BodyMemory, RequestBody};
use crate::http1::server::Request;
use crate::units::Clock;

/// Requests that an instance has served before.
const EARLIER_REQUESTS: usize = 100;
/// Requests that a target runs at a time.
const SLOTS: u32 = 6;

/// Settings of an instance at `ip` in `zone`, with some limits.
pub(crate) fn settings(ip: [u8; 4], zone: &str) -> EntrySettings {
    EntrySettings {
        name: "entry".into(),
        ip: ip.into(),
        zone: zone.into(),
        callers: (ip, 80).into(),
        readiness: None,
        directory: None,
        peers: (ip, 7000).into(),
        seeds: Vec::new(),
        first_start: true,
        store: ([10, 9, 9, 9], 1).into(),
        grace: Duration::from_secs(6),
        propagation_limit: Duration::from_secs(2),
        repeat_ratio: 0.2,
        repeat_window: Duration::from_secs(10),
        repeat_slack: 50.0,
        cold_factor: 1.5,
        cold_slack: 5.0,
        max_directory_ttl: Duration::from_secs(5),
        max_probe_rate: 60.0,
        body_memory: 16 << 20,
        response_memory: 32 << 20,
        rollouts: None,
        accounts: None,
    }
}

/// An instance that knows these targets of the service `s`, and one route to it for all
/// paths of `x.example`, whose requests may run more than once.
pub(crate) fn instance(targets: &[&TargetStandin]) -> Arc<Shared> {
    let targets = targets.iter().map(|target| (&*target.id, target.address()));
    instance_with(&targets.collect::<Vec<_>>())
}

/// Like [`instance`], with targets of these ids and addresses.
pub(crate) fn instance_with(targets: &[(&str, SocketAddr)]) -> Arc<Shared> {
    let clock = Clock::start();
    let now = clock.now();
    let mut state = State::new(settings([127, 0, 0, 1], "a"), Tuning::default(), now);
    let mut records = vec![Record::Configuration(Arc::new(configuration()))];
    records.extend(targets.iter().map(|(id, address)| {
        Record::Target(Target {
            id: (*id).into(),
            service: "s".into(),
            address: *address,
            zone: "a".into(),
            slots: SLOTS,
            leaving: false,
            cold_for: Duration::ZERO,
            started_ms: 1,
            version: None,
        })
    }));
    let revision = records.len() as u64;
    let changes = (1..).zip(records).map(|(revision, record)| Change {
        key: revision.to_string().into(),
        revision,
        record: Some(record),
    });
    let delta = Delta {
        era: 0,
        revision,
        complete: true,
        changes: changes.collect(),
    };
    state.apply(now, delta, "store");
    // An instance that has just started may only retry by the ratio of its requests.
    for _ in 0..EARLIER_REQUESTS {
        state.record_request(now, &"s".into());
    }
    Arc::new(Shared::new(state, clock, EntryMetrics::new().unwrap()))
}

/// A configuration with one route of the service `s`.
pub(crate) fn configuration() -> Configuration {
    let route = Route {
        name: "r".into(),
        host: "x.example".into(),
        prefix: "/".into(),
        retry_safety: RetrySafety::Safe,
        timeout: Duration::from_secs(20),
        objective: Duration::from_secs(10),
        priority: 1,
        max_attempts: 3,
        parts: vec![WeightedService {
            service: "s".into(),
            weight: 1.0,
        }],
        public: false,
    };
    let limits = ServiceLimits {
        health_path: "/health".into(),
        max_connections: 100,
        cold_rate: 20.0,
    };
    Configuration {
        version: 1,
        routes: vec![route],
        services: [("s".into(), limits)].into_iter().collect(),
        bounds: CallerLimits::default(),
        unknown_kinds: Vec::new(),
        accounts: Some(Vec::new()),
    }
}

/// A request without a body, as a caller sends it.
pub(crate) fn request(target: &str, id: &str) -> Request {
    let memory = Arc::new(BodyMemory::new(0, 0));
    let body = RequestBody::new(Some(0), memory);
    body.end(Ok(()));
    let headers = [("host", "x.example"), ("x-request-id", id)];
    Request {
        method: "GET".into(),
        target: target.into(),
        headers: headers
            .into_iter()
            .map(|(name, value)| {
                let name = HeaderName::from_static(name);
                (name, HeaderValue::from_str(value).unwrap())
            })
            .collect(),
        body: Arc::new(body),
        received: Instant::now(),
        chunked: false,
    }
}

/// Starts a server that sends a response byte by byte, and only `sent` bytes of it.
pub(crate) async fn slow_server(body: &str, sent: usize, pause: Duration) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let length = body.len();
    let response = format!("HTTP/1.1 200 OK\r\ncontent-length: {length}\r\n\r\n{body}");
    tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.unwrap();
        stream.set_nodelay(true).unwrap();
        let _ = stream.read(&mut [0; 1024]).await;
        for byte in response.as_bytes().iter().take(sent) {
            let _ = stream.write_all(&[*byte]).await;
            tokio::time::sleep(pause).await;
        }
        std::future::pending::<()>().await;
    });
    address
}
