//! Many calls under mixed faults: none runs twice against its caller's intent,
//! none is told `not run` that ran, none is left without an answer.
//!
//! `MIXED_CALLS` sets how many calls are made; their counts by outcome are
//! printed.

mod common;

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use common::{Http, Instance, PATIENCE, basics, eventually, group, request, service, start_with};
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

const CALLS: usize = 2_000;
const WORKERS: usize = 24;
const TARGETS: usize = 6;
const SEED: u64 = 5;

#[derive(Debug, Clone, Copy, PartialEq)]
enum Form {
    /// A safe method.
    Status,
    /// A method that may run once.
    Order,
    /// The same, allowed to run again by the operator's rule.
    Again,
    /// The same with an idempotency key.
    Keyed,
}

const FORMS: [Form; 4] = [Form::Status, Form::Order, Form::Again, Form::Keyed];
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

/// What a caller was left with.
#[derive(Debug, Clone, PartialEq)]
struct Told {
    id: String,
    form: Form,
    /// The kind, `answered` or `cut off`; `None` without any answer.
    outcome: Option<String>,
    ran: Option<String>,
    own: bool,
}

type Sender = Client<HttpConnector, Full<Bytes>>;

async fn call(
    sender: &Sender,
    instance: &Instance,
    form: Form,
    id: &str,
    deadline_ms: u64,
) -> Told {
    let (method, path) = match form {
        Form::Status => (Method::GET, "/status"),
        Form::Order | Form::Keyed => (Method::POST, "/order"),
        Form::Again => (Method::POST, "/again"),
    };
    let mut req = request(method, instance.addresses.callers, "orders.test", path, id);
    let headers = req.headers_mut();
    headers.insert("x-request-id", id.parse().expect("identifier"));
    headers.insert("x-deadline-ms", deadline_ms.into());
    if form == Form::Keyed {
        headers.insert("idempotency-key", id.parse().expect("key"));
    }
    let mut told = Told {
        id: id.to_owned(),
        form,
        outcome: None,
        ran: None,
        own: true,
    };
    let Ok(Ok(resp)) = tokio::time::timeout(PATIENCE, sender.request(req)).await else {
        return told;
    };
    let status = resp.status();
    let Ok(body) = resp.into_body().collect().await else {
        told.outcome = Some("cut off".to_owned());
        return told;
    };
    let text = String::from_utf8_lossy(&body.to_bytes()).into_owned();
    if status == 200 {
        told.own = text.contains(&format!("ran {id} "));
        told.outcome = Some("answered".to_owned());
        return told;
    }
    let problem: serde_json::Value = serde_json::from_str(&text).unwrap_or_default();
    told.outcome = problem["title"].as_str().map(str::to_owned);
    told.ran = problem["ran"].as_str().map(str::to_owned);
    told
}

/// Shows faults on random targets for as long as it is polled.
async fn show_faults(platform: &Platform) {
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

async fn make_calls(instances: &[Instance], calls: usize, worker: usize) -> Vec<Told> {
    let mut rng = StdRng::seed_from_u64(SEED + worker as u64);
    let sender = Client::builder(TokioExecutor::new()).build_http();
    let mut told = Vec::new();
    for number in (worker..calls).step_by(WORKERS) {
        let form = *FORMS.choose(&mut rng).expect("form");
        let instance = instances.choose(&mut rng).expect("instance");
        let deadline_ms = rng.random_range(300..1_200);
        let id = format!("call-{number}");
        let first = call(&sender, instance, form, &id, deadline_ms).await;
        let again = form == Form::Keyed && first.outcome.as_deref() != Some("answered");
        told.push(first);
        if again {
            let instance = instances.choose(&mut rng).expect("instance");
            told.push(call(&sender, instance, form, &id, deadline_ms).await);
        }
    }
    told
}

fn check(platform: &Platform, told: &[Told]) {
    let mut by_id = IndexMap::<&str, Vec<&Told>>::new();
    for one in told {
        by_id.entry(&one.id).or_default().push(one);
    }
    let runs = |id: &str| -> u32 {
        let targets = platform.targets.iter();
        targets.map(|target| target.record.runs_of(id)).sum()
    };
    for one in told {
        let runs = runs(&one.id);
        let once = matches!(one.form, Form::Order | Form::Keyed);
        assert!(one.outcome.is_some(), "without an answer: {one:?}");
        assert!(one.own, "answer to another call: {one:?}");
        assert!(!once || runs <= 1, "ran {runs} times: {one:?}");
        // A keyed call that was not run may run when it is sent again.
        let sends = by_id[one.id.as_str()].iter();
        let not_run = sends.copied().all(|send| send.ran.as_deref() == Some("no"));
        assert!(
            !not_run || runs == 0,
            "told not run, ran {runs} times: {one:?}"
        );
    }
}

fn print_counts(told: &[Told]) {
    let mut counts = IndexMap::<String, u32>::new();
    for one in told {
        let outcome = one.outcome.as_deref().unwrap_or("none");
        let ran = one.ran.as_deref().unwrap_or("-");
        *counts.entry(format!("{outcome}, ran {ran}")).or_default() += 1;
    }
    counts.sort_unstable_keys();
    println!("{} sends: {counts:#?}", told.len());
}

#[tokio::test(flavor = "multi_thread")]
async fn mixed_faults_leave_every_promise_kept() {
    let calls = std::env::var("MIXED_CALLS").map_or(CALLS, |text| text.parse().expect("number"));
    let platform = Platform::start(&[group("orders", "a", TARGETS)])
        .await
        .expect("platform");
    let instances = ["one", "two"].map(|name| {
        let change = json!({"log": {"level": "error"}});
        start_with(&platform, name, "a", &change)
    });
    let http = Http::new();
    let mut resources = basics(&["a"]);
    let mut orders = service("orders");
    orders["spec"]["priority"] = json!("urgent");
    orders["spec"]["rules"] = json!([{"path": "/again", "repeatable": true}]);
    resources.push(orders);
    for instance in &instances {
        eventually("calls are served", || async {
            let _ = http.apply(instance.addresses.admin, &resources).await;
            let callers = instance.addresses.callers;
            let answer = http.get(callers, "orders.test", "/").await.ok()?;
            (answer.status == 200).then_some(())
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
    let told = tokio::select! {
        () = show_faults(&platform) => Vec::new(),
        told = futures_util::future::join_all(workers) => told,
    };
    let told: Vec<_> = told
        .into_iter()
        .flat_map(|told| told.expect("worker"))
        .collect();
    print_counts(&told);
    assert!(told.len() >= calls);
    check(&platform, &told);
}
