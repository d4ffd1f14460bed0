//! Many calls under mixed target faults. No call that may run once runs twice, no call that ran is
//! reported as not run, and every call gets a response.
//!
//! The environment variable `MIXED_CALLS` sets the number of calls; counts by outcome are printed.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::Method;
use http_body_util::{BodyExt, Full};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use indexmap::IndexMap;
use rand::rngs::StdRng;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use serde_json::json;
use standin::faults::ResponseFault;
use standin::platform::Platform;
use testing::{
    HttpClient, Instance, WAIT_LIMIT, basic_resources, eventually, group, request, service,
    start_instance_with,
};

const CALLS: usize = 2_000;
const WORKERS: usize = 24;
const TARGETS: usize = 6;
const SEED: u64 = 5;

#[derive(Debug, Clone, Copy, PartialEq)]
enum CallKind {
    /// A safe method.
    Status,
    /// A POST request, which may run at most once.
    Order,
    /// A POST request that a rule of the service declares repeatable.
    Repeatable,
    /// A POST request with an idempotency key.
    Keyed,
}

const CALL_KINDS: [CallKind; 4] = [
    CallKind::Status,
    CallKind::Order,
    CallKind::Repeatable,
    CallKind::Keyed,
];
const FAULTS: [ResponseFault; 10] = [
    ResponseFault::Shed,
    ResponseFault::ResetNotRun,
    ResponseFault::ResetBeforeFirstByte,
    ResponseFault::ResetAfterFirstByte,
    ResponseFault::TruncatedBody,
    ResponseFault::TruncatedChunkedBody,
    ResponseFault::Stall,
    ResponseFault::Late(Duration::from_millis(200)),
    ResponseFault::TrailingBytes,
    ResponseFault::LeadingResponse,
];

/// What a caller learned about one send of a call.
#[derive(Debug, Clone, PartialEq)]
struct SendOutcome {
    id: String,
    kind: CallKind,
    /// `answered`, `cut off` or the title of the error; `None` without any response.
    outcome: Option<String>,
    ran: Option<String>,
    /// Whether a successful response belongs to this call.
    is_own_response: bool,
}

type HttpSender = Client<HttpConnector, Full<Bytes>>;

async fn call(
    client: &HttpSender,
    instance: &Instance,
    kind: CallKind,
    id: &str,
    deadline_ms: u64,
) -> SendOutcome {
    let (method, path) = match kind {
        CallKind::Status => (Method::GET, "/status"),
        CallKind::Order | CallKind::Keyed => (Method::POST, "/order"),
        CallKind::Repeatable => (Method::POST, "/again"),
    };
    let mut req = request(method, instance.addresses.callers, "orders.test", path, id);
    let headers = req.headers_mut();
    headers.insert("x-request-id", id.parse().expect("identifier"));
    headers.insert("x-deadline-ms", deadline_ms.into());
    if kind == CallKind::Keyed {
        headers.insert("idempotency-key", id.parse().expect("key"));
    }
    let mut send_outcome = SendOutcome {
        id: id.to_owned(),
        kind,
        outcome: None,
        ran: None,
        is_own_response: true,
    };
    let Ok(Ok(resp)) = tokio::time::timeout(WAIT_LIMIT, client.request(req)).await else {
        return send_outcome;
    };
    let status = resp.status();
    let Ok(body) = resp.into_body().collect().await else {
        send_outcome.outcome = Some("cut off".to_owned());
        return send_outcome;
    };
    let text = String::from_utf8_lossy(&body.to_bytes()).into_owned();
    if status == 200 {
        send_outcome.is_own_response = text.contains(&format!("ran {id} "));
        send_outcome.outcome = Some("answered".to_owned());
        return send_outcome;
    }
    let problem: serde_json::Value = serde_json::from_str(&text).unwrap_or_default();
    send_outcome.outcome = problem["title"].as_str().map(str::to_owned);
    send_outcome.ran = problem["ran"].as_str().map(str::to_owned);
    send_outcome
}

/// Injects faults into random targets for as long as it is polled.
async fn inject_faults(platform: &Platform) {
    let mut rng = StdRng::seed_from_u64(SEED);
    for step in 0_u64.. {
        let target = platform.targets.choose(&mut rng).expect("target");
        let fault = *FAULTS.choose(&mut rng).expect("fault");
        target.faults.change(|faults| {
            if faults.next_responses.len() < 2 {
                faults.next_responses.push(fault);
            }
        });
        if step % 100 == 50 {
            target.restart(Duration::from_millis(rng.random_range(0..80)));
        }
        if step % 100 == 99 {
            target.silence_connections();
        }
        tokio::time::sleep(Duration::from_millis(rng.random_range(1..8))).await;
    }
}

/// Makes every [`WORKERS`]th call, and sends a keyed call again that was not answered.
async fn make_calls(instances: &[Instance], calls: usize, worker: usize) -> Vec<SendOutcome> {
    let mut rng = StdRng::seed_from_u64(SEED + worker as u64);
    let client = Client::builder(TokioExecutor::new()).build_http();
    let mut outcomes = Vec::new();
    for number in (worker..calls).step_by(WORKERS) {
        let kind = *CALL_KINDS.choose(&mut rng).expect("kind of call");
        let instance = instances.choose(&mut rng).expect("instance");
        let deadline_ms = rng.random_range(300..1_200);
        let id = format!("call-{number}");
        let first = call(&client, instance, kind, &id, deadline_ms).await;
        let send_again = kind == CallKind::Keyed && first.outcome.as_deref() != Some("answered");
        outcomes.push(first);
        if send_again {
            let instance = instances.choose(&mut rng).expect("instance");
            outcomes.push(call(&client, instance, kind, &id, deadline_ms).await);
        }
    }
    outcomes
}

/// Checks every outcome against the runs that the targets recorded.
fn check_outcomes(platform: &Platform, outcomes: &[SendOutcome]) {
    let mut by_id = IndexMap::<&str, Vec<&SendOutcome>>::new();
    for send_outcome in outcomes {
        by_id
            .entry(&send_outcome.id)
            .or_default()
            .push(send_outcome);
    }
    let runs = |id: &str| -> u32 {
        let targets = platform.targets.iter();
        targets.map(|target| target.record.runs_of(id)).sum()
    };
    for send_outcome in outcomes {
        let runs = runs(&send_outcome.id);
        let once = matches!(send_outcome.kind, CallKind::Order | CallKind::Keyed);
        assert!(
            send_outcome.outcome.is_some(),
            "no response: {send_outcome:?}"
        );
        assert!(
            send_outcome.is_own_response,
            "response of another call: {send_outcome:?}"
        );
        assert!(!once || runs <= 1, "ran {runs} times: {send_outcome:?}");
        // A keyed call that was not run the first time may run when it is sent again.
        let sends = by_id[send_outcome.id.as_str()].iter();
        let not_run = sends.copied().all(|send| send.ran.as_deref() == Some("no"));
        assert!(
            !not_run || runs == 0,
            "reported as not run, ran {runs} times: {send_outcome:?}"
        );
    }
}

fn print_counts(outcomes: &[SendOutcome]) {
    let mut counts = IndexMap::<String, u32>::new();
    for send_outcome in outcomes {
        let outcome = send_outcome.outcome.as_deref().unwrap_or("none");
        let ran = send_outcome.ran.as_deref().unwrap_or("-");
        *counts.entry(format!("{outcome}, ran {ran}")).or_default() += 1;
    }
    counts.sort_unstable_keys();
    println!("{} sends: {counts:#?}", outcomes.len());
}

#[tokio::test(flavor = "multi_thread")]
async fn calls_under_mixed_faults_get_correct_outcomes() {
    let calls = std::env::var("MIXED_CALLS").map_or(CALLS, |text| text.parse().expect("number"));
    let platform = Platform::start(&[group("orders", "a", TARGETS)])
        .await
        .expect("platform");
    let instances = ["one", "two"].map(|name| {
        let overrides = json!({"log": {"level": "error"}});
        start_instance_with(&platform, name, "a", &overrides)
    });
    let http = HttpClient::new();
    let mut resources = basic_resources(&["a"]);
    let mut orders = service("orders");
    orders["spec"]["priority"] = json!("urgent");
    orders["spec"]["rules"] = json!([{"path": "/again", "repeatable": true}]);
    resources.push(orders);
    for instance in &instances {
        eventually("calls are served", || async {
            let _ = http.apply(instance.addresses.admin, &resources).await;
            let callers = instance.addresses.callers;
            let resp = http.get(callers, "orders.test", "/").await.ok()?;
            (resp.status == 200).then_some(())
        })
        .await;
    }
    let instances = Arc::new(instances);
    let workers: Vec<_> = (0..WORKERS)
        .map(|worker| {
            let instances = Arc::clone(&instances);
            tokio::spawn(async move { make_calls(&instances[..], calls, worker).await })
        })
        .collect();
    let outcomes = tokio::select! {
        () = inject_faults(&platform) => Vec::new(),
        outcomes = futures_util::future::join_all(workers) => outcomes,
    };
    let outcomes: Vec<_> = outcomes
        .into_iter()
        .flat_map(|outcomes| outcomes.expect("worker"))
        .collect();
    print_counts(&outcomes);
    assert!(outcomes.len() >= calls);
    check_outcomes(&platform, &outcomes);
}
