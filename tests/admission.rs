//! Urgent and idle calls through three instances while one of them, which borrows permits, is killed.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use bytes::Bytes;
use http::Method;
use http_body_util::Full;
use serde_json::{Value, json};
use standin::platform::{Platform, TargetGroup};
use testing::{
    HttpClient, Instance, basic_resources, eventually, request, start_instance, wait_for_claims,
};

const SLOTS: u32 = 3;
const HOST: &str = "readings.test";

/// Time that a target takes for each call.
const WORK: Duration = Duration::from_millis(5);

fn readings_service() -> Value {
    json!({
        "kind": "Service",
        "name": "readings",
        "spec": {
            "hosts": [HOST],
            "target": {"slots": SLOTS, "connections": 200},
            "warm_up": "0s",
            "priority": "idle",
            "rules": [{"path": "/urgent", "priority": "urgent"}],
            "queue_length": 16,
            "urgent_reserve_percent": 20,
        },
    })
}

/// Starts targets in two zones and three instances; the zone of the last one has no targets, so it
/// owns no shard and borrows every permit.
async fn start() -> (Platform, Vec<Instance>, HttpClient) {
    let group = |zone: &str| TargetGroup {
        service: "readings".to_owned(),
        zone: zone.to_owned(),
        count: 2,
        work: WORK,
    };
    let platform = Platform::start(&[group("a"), group("b")])
        .await
        .expect("platform");
    let instances: Vec<_> = [("one", "a"), ("two", "b"), ("three", "c")]
        .map(|(name, zone)| start_instance(&platform, name, zone))
        .into();
    let http = HttpClient::new();
    let mut resources = basic_resources(&["a", "b"]);
    resources.push(readings_service());
    http.declare(instances[0].addresses.admin, &resources).await;
    for instance in &instances {
        wait_for_claims(&http, instance, 2).await;
    }
    for instance in &instances {
        eventually("calls are served", || async {
            let callers = instance.addresses.callers;
            let response = http.get(callers, HOST, "/urgent").await.ok()?;
            (response.status == 200).then_some(())
        })
        .await;
    }
    (platform, instances, http)
}

/// A counter on the metrics page of an instance.
async fn counter(http: &HttpClient, instance: &Instance, name: &str) -> u64 {
    let page = http
        .get(instance.addresses.admin, "admin.test", "/metrics")
        .await;
    let body = page.expect("metrics").body;
    let line = body
        .lines()
        .find_map(|line| line.strip_prefix(name)?.strip_prefix(' '));
    line.and_then(|value| value.parse().ok())
        .unwrap_or_default()
}

/// What a caller got for one request; `response` is `None` after a connection error.
#[derive(Debug)]
struct FinishedCall {
    id: String,
    urgent: bool,
    survives: bool,
    response: Option<(u16, Value)>,
}

/// Sends requests one after the other until `stop` is set or the connection fails.
async fn run_client(number: usize, endpoint: Endpoint, stop: Arc<AtomicBool>) -> Vec<FinishedCall> {
    let http = HttpClient::new();
    let urgent = number.is_multiple_of(4);
    let path = if urgent { "/urgent" } else { "/idle" };
    let mut calls = Vec::new();
    while !stop.load(Ordering::Relaxed) {
        let id = format!("{number}-{}", calls.len());
        let mut req = request(Method::POST, endpoint.callers, HOST, path, "");
        let header = id.parse().expect("header value");
        req.headers_mut().insert("x-request-id", header);
        let response = send(&http, req).await;
        let connection_failed = response.is_none();
        calls.push(FinishedCall {
            id,
            urgent,
            survives: endpoint.survives,
            response,
        });
        if connection_failed {
            break;
        }
    }
    calls
}

async fn send(http: &HttpClient, req: http::Request<Full<Bytes>>) -> Option<(u16, Value)> {
    let response = http.send(req).await.ok()?;
    let problem = response.json();
    Some((response.status, problem))
}

/// Address of an instance, and whether it runs until the end of the test.
#[derive(Clone, Copy)]
struct Endpoint {
    callers: std::net::SocketAddr,
    survives: bool,
}

/// Highest number of calls that any target ran at a time.
fn peak(platform: &Platform) -> u32 {
    let peaks = platform
        .targets
        .iter()
        .map(|t| t.record.peak.load(Ordering::Relaxed));
    peaks.max().unwrap_or_default()
}

/// How often all targets together ran a request.
fn runs(platform: &Platform, id: &str) -> u32 {
    platform
        .targets
        .iter()
        .map(|target| target.record.runs_of(id))
        .sum()
}

/// Sends urgent and idle calls through every instance, and kills the last instance meanwhile.
async fn run_and_kill(instances: &mut [Instance]) -> Vec<FinishedCall> {
    let stop = Arc::new(AtomicBool::new(false));
    let clients: Vec<_> = (0..48)
        .map(|number| {
            let instance = number % 3;
            let endpoint = Endpoint {
                callers: instances[instance].addresses.callers,
                survives: instance != 2,
            };
            tokio::spawn(run_client(number, endpoint, Arc::clone(&stop)))
        })
        .collect();
    tokio::time::sleep(Duration::from_secs(1)).await;
    instances[2].process.kill().expect("killed with SIGKILL");
    tokio::time::sleep(Duration::from_secs(1)).await;
    stop.store(true, Ordering::Relaxed);

    let mut calls = Vec::new();
    for client in clients {
        calls.extend(client.await.expect("client"));
    }
    calls
}

#[tokio::test(flavor = "multi_thread")]
async fn no_target_is_overloaded_while_a_borrower_is_killed() {
    let (platform, mut instances, http) = start().await;
    let calls = run_and_kill(&mut instances).await;
    for call in &calls {
        check_call(&platform, call);
    }
    let is_served = |call: &&FinishedCall| matches!(call.response, Some((200, _)));
    let served = calls.iter().filter(is_served).count();
    let refused = calls.len() - served;
    assert!(served > 100, "served {served}, refused {refused}");
    let peak = peak(&platform);
    assert!(
        peak <= SLOTS,
        "a target with {SLOTS} slots ran {peak} calls at a time"
    );
    eventually("every permit is released", || async {
        let mut held_permits = 0;
        for instance in &instances[..2] {
            let dump = http.dump(instance.addresses.admin).await;
            let shards = dump["shards"].as_array()?.clone();
            held_permits += shards
                .iter()
                .map(|s| s["permits"].as_array().map_or(0, Vec::len))
                .sum::<usize>();
        }
        (held_permits == 0).then_some(())
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn urgent_calls_are_served_while_a_borrower_is_killed() {
    let (_platform, mut instances, _http) = start().await;
    for call in run_and_kill(&mut instances).await {
        let refused = !matches!(call.response, Some((200, _)));
        assert!(!(call.urgent && call.survives && refused), "{call:?}");
    }
}

/// Checks that a call ran at most once, as reported to its caller, and that only callers of the
/// killed instance got no response.
fn check_call(platform: &Platform, call: &FinishedCall) {
    let runs = runs(platform, &call.id);
    assert!(runs <= 1, "ran {runs} times: {call:?}");
    match &call.response {
        Some((200, _)) => assert_eq!(runs, 1, "{call:?}"),
        Some((_, problem)) => {
            assert_eq!(problem["ran"], "no", "{call:?}");
            assert_eq!(runs, 0, "{call:?}");
        }
        None => assert!(
            !call.survives,
            "no response through a running instance: {call:?}"
        ),
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn steady_borrowed_calls_use_permits_lent_in_advance() {
    let (_platform, instances, http) = start().await;
    let borrower = &instances[2];
    // The owner lends permits in advance to a steady borrower; how many of the calls use one varies.
    eventually("calls use permits that were lent in advance", || async {
        for _ in 0..20 {
            http.get(borrower.addresses.callers, HOST, "/idle")
                .await
                .ok()?;
        }
        let lent = counter(&http, borrower, "wagtailsaddle_permits_lent_total").await;
        (lent >= 20).then_some(())
    })
    .await;
    let count = async |name| counter(&http, borrower, name).await;
    println!(
        "{} borrowed, {} of them lent in advance, {} requests to owners",
        count("wagtailsaddle_permits_borrowed_total").await,
        count("wagtailsaddle_permits_lent_total").await,
        count("wagtailsaddle_permit_requests_total").await,
    );
}
