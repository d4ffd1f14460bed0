use http::HeaderMap;
use standin::prepared::target::{Behaviour, TargetStandin};

use super::*;
use crate::account::{Account, AccountTable, KeyDigest};
use crate::dispatch::quarantine::CrashId;
use crate::entry::fleet::members::InstanceStatus;
use crate::entry::fleet::message::RelayedStatus;
use crate::entry::request::admission::reject;
use crate::entry::target::load::Load;
use crate::entry::testing::{instance, request};
use crate::http1::rejection::{RejectReason, Rejection};
use crate::http1::request_body::{BodyMemory, RequestBody};
use crate::names::ServiceName;

/// Path of a request that is found to crash targets while it is handled.
const PATH: &str = "/x";

/// Attributes three crashes to the requests with [`PATH`], as peers report them.
fn block(shared: &Shared) {
    let body = request(PATH, "").body;
    let fingerprints = RequestFingerprints::new("x.example", "GET", PATH, &body);
    let evidence = crate::dispatch::quarantine::Evidence {
        fingerprint: fingerprints.path(),
        crashes: (1..=3).map(CrashId::of_run).collect(),
        cleared: Vec::new(),
    };
    let from = ([127, 0, 0, 2], 7000).into();
    let now = shared.now();
    shared.state().receive_evidence(now, from, &[evidence]);
}

/// Reports that the target has this many requests for its 6 slots.
fn report_load(shared: &Shared, target: &TargetStandin, running: u32) {
    let load = Load {
        running,
        waiting: 0,
        slots: 6,
        slowness_percent: 100,
    };
    let now = shared.now();
    let mut state = shared.state();
    let view = state.targets.get_mut(&target.id.as_str().into()).unwrap();
    view.record_load(now, load);
    drop(state);
    shared.capacity_freed.notify_waiters();
}

/// Reports that a peer has this version of the configuration.
fn hear_of_version(shared: &Shared, version: u64) {
    let peer = RelayedStatus {
        address: ([127, 0, 0, 2], 7000).into(),
        zone: "a".into(),
        status: InstanceStatus {
            version,
            ..InstanceStatus::default()
        },
        age_ms: 0,
    };
    let now = shared.now();
    shared.state().receive_relayed(now, &[peer]);
}

async fn wait_until(is_met: impl Fn() -> bool) {
    while !is_met() {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
}

/// Whether a request waits for a target.
fn is_queued(shared: &Shared) -> bool {
    let state = shared.state();
    let queue = state.wait_queues.get(&ServiceName::from("s"));
    queue.is_some_and(|queue| !queue.is_empty())
}

fn arrivals(targets: &[&TargetStandin], id: &str) -> u32 {
    let records = targets.iter().map(|target| target.record.get());
    let counts = records.map(|record| record.arrivals.get(id).copied().unwrap_or(0));
    counts.sum()
}

#[tokio::test]
async fn a_request_that_is_blocked_while_it_waits_for_a_target_is_not_sent() {
    let target = TargetStandin::start("t", "s").await.unwrap();
    let shared = instance(&[&target]);
    report_load(&shared, &target, 12);
    let serving = tokio::spawn(serve(shared.clone(), request(PATH, "waits")));
    wait_until(|| is_queued(&shared)).await;
    block(&shared);
    report_load(&shared, &target, 0);
    let reply = serving.await.unwrap();
    assert_eq!(reply.status, 503);
    assert_eq!(arrivals(&[&target], "waits"), 0);
}

#[tokio::test]
async fn a_request_that_is_blocked_while_it_runs_is_not_retried() {
    let targets = [
        &TargetStandin::start("t0", "s").await.unwrap(),
        &TargetStandin::start("t1", "s").await.unwrap(),
    ];
    for target in targets {
        target.state.change(|state| {
            state.behaviour = Behaviour::Losing;
            state.work = Duration::from_millis(200);
        });
    }
    let shared = instance(&targets);
    serve(shared.clone(), request("/retried", "retried")).await;
    assert_eq!(arrivals(&targets, "retried"), 2, "without a block");
    let serving = tokio::spawn(serve(shared.clone(), request(PATH, "runs")));
    wait_until(|| arrivals(&targets, "runs") == 1).await;
    block(&shared);
    let reply = serving.await.unwrap();
    assert_eq!(reply.status, 502, "it may have run");
    assert_eq!(arrivals(&targets, "runs"), 1);
}

/// Each request is preceded by a health check of its target.
#[tokio::test]
async fn a_request_is_not_sent_to_a_target_that_its_check_finds_leaving_or_paused() {
    for (leaving, pause) in [(true, None), (false, Some(60))] {
        let target = TargetStandin::start("t", "s").await.unwrap();
        target.state.change(|state| {
            state.names_leaving = leaving;
            state.pause = pause;
        });
        let shared = instance(&[&target]);
        for id in ["first", "second"] {
            let reply = serve(shared.clone(), request("/x", id)).await;
            assert_eq!(reply.status, 503, "{id}");
            assert_eq!(arrivals(&[&target], id), 0);
        }
        let checks = target.record.get().arrival_times.len();
        assert_eq!(checks, 1, "leaving {leaving}: health checks");
    }
}

/// As after a start; a part of the latency objective, which is 10 s here, was taken for the
/// time of the work.
#[tokio::test]
async fn a_request_whose_work_is_not_known_is_sent_at_once_and_waits_by_its_callers_time() {
    let target = TargetStandin::start("t", "s").await.unwrap();
    let shared = instance(&[&target]);
    let hurried = |id| {
        let mut req = request("/x", id);
        let left = http::HeaderValue::from_static("300");
        req.headers.insert("x-deadline-ms", left);
        req
    };
    let fresh = instance(&[&target]);
    assert_eq!(serve(fresh, hurried("sent")).await.status, 200);
    report_load(&shared, &target, 12);
    let waiting = tokio::spawn(serve(shared.clone(), hurried("waits")));
    wait_until(|| is_queued(&shared)).await;
    report_load(&shared, &target, 0);
    assert_eq!(waiting.await.unwrap().status, 200);
}

#[tokio::test]
async fn a_request_waits_for_the_end_of_a_pause_and_is_refused_if_it_cannot() {
    let target = TargetStandin::start("t", "s").await.unwrap();
    target.state.change(|state| state.pause = Some(1));
    let shared = instance(&[&target]);
    let serving = tokio::spawn(serve(shared.clone(), request("/x", "waits")));
    wait_until(|| !target.record.get().arrival_times.is_empty()).await;
    target.state.change(|state| state.pause = None);
    assert_eq!(serving.await.unwrap().status, 200);
    let times = target.record.get().arrival_times;
    assert!(times[1] >= times[0] + Duration::from_secs(1));
    {
        let now = shared.now();
        let mut state = shared.state();
        let view = state.targets.get_mut(&"t".into()).unwrap();
        view.notice.record_pause(now, Duration::from_secs(60));
    }
    let reply = serve(shared.clone(), request("/x", "refused")).await;
    assert_eq!(reply.status, 503);
    let retry_after: f64 = reply.headers["retry-after"]
        .to_str()
        .unwrap()
        .parse()
        .unwrap();
    assert!(
        (59.0..65.0).contains(&retry_after),
        "{retry_after}: the rest of the pause"
    );
    assert_eq!(arrivals(&[&target], "refused"), 0);
}

/// The first attempt fails, and says that its target is leaving.
#[tokio::test]
async fn a_retry_goes_to_no_target_that_is_leaving_or_paused() {
    let targets = [
        &TargetStandin::start("t0", "s").await.unwrap(),
        &TargetStandin::start("t1", "s").await.unwrap(),
        &TargetStandin::start("t2", "s").await.unwrap(),
    ];
    let shared = instance(&targets);
    {
        let now = shared.now();
        let mut state = shared.state();
        let run = state.targets.get(&"t1".into()).unwrap().key;
        state.targets.record_leaving(now, run);
        let view = state.targets.get_mut(&"t2".into()).unwrap();
        view.notice.record_pause(now, Duration::from_secs(60));
    }
    targets[0]
        .state
        .change(|state| state.behaviour = Behaviour::Failing);
    let reply = serve(shared.clone(), request("/x", "retried")).await;
    assert_eq!(reply.status, 500);
    assert_eq!(arrivals(&targets, "retried"), 1);
}

/// A peer has a newer configuration, which this instance has not fetched yet.
#[tokio::test]
async fn an_instance_with_an_outdated_configuration_denies_no_request() {
    let shared = instance(&[]);
    let no_key = request(PATH, "no-key");
    let mut no_route = request(PATH, "no-route");
    let other_host = http::HeaderValue::from_static("new.example");
    no_route.headers.insert(http::header::HOST, other_host);
    let account = Account {
        name: "acme".into(),
        keys: vec![KeyDigest::of(b"k1")],
        priority: None,
        limit: None,
    };
    shared.state().accounts = Some(AccountTable::new(&[account]));
    let mut seen = Vec::new();
    for peer_version in [1, 2] {
        hear_of_version(&shared, peer_version);
        for req in [&no_route, &no_key] {
            let reply = serve(shared.clone(), req.clone()).await;
            seen.push((reply.status, reply.headers.contains_key("retry-after")));
        }
    }
    let current = [(404, false), (401, false)];
    assert_eq!(seen, [current, [(503, true); 2]].concat());
}

/// Those of a newer or the first configuration may be wider.
#[tokio::test]
async fn the_limits_of_an_outdated_configuration_deny_no_request() {
    for (own, of_peer, expected) in [
        (1, 1, [431, 431, 413]),
        (1, 2, [503, 431, 503]),
        (0, 0, [503, 431, 503]),
    ] {
        let shared = instance(&[]);
        hear_of_version(&shared, of_peer);
        shared.state().status.version = own;
        let mut seen = Vec::new();
        for reason in [RejectReason::HeadTooLarge(1), RejectReason::TooManyHeaders] {
            let rejection = Rejection {
                reason,
                headers: HeaderMap::new(),
                buffered: 0,
                requests_before: 0,
            };
            seen.push(reject(&shared, &rejection).status);
        }
        let mut long = request(PATH, "long");
        let body = RequestBody::new(None, Arc::new(BodyMemory::new(0, 0)));
        body.end(Err(BodyError::TooLarge(1)));
        long.body = body.into();
        seen.push(serve(shared.clone(), long).await.status);
        assert_eq!(seen, expected, "version {own}, {of_peer} of a peer");
    }
}

/// The process would exit before a target has answered.
#[tokio::test]
async fn a_request_that_waits_for_a_target_is_refused_when_the_instance_stops() {
    let target = TargetStandin::start("t", "s").await.unwrap();
    let shared = instance(&[&target]);
    report_load(&shared, &target, 12);
    let serving = tokio::spawn(serve(shared.clone(), request("/waits", "waits")));
    wait_until(|| is_queued(&shared)).await;
    shared.stop.begin(Instant::now());
    report_load(&shared, &target, 0);
    let reply = serving.await.unwrap();
    assert_eq!(reply.status, 503);
    assert!(reply.headers.contains_key("retry-after"));
    assert_eq!(arrivals(&[&target], "waits"), 0);
}

#[tokio::test]
async fn a_request_whose_body_still_arrives_is_refused_when_the_instance_stops() {
    let target = TargetStandin::start("t", "s").await.unwrap();
    let shared = instance(&[&target]);
    let body = RequestBody::new(None, Arc::new(BodyMemory::new(0, 0)));
    let req = Request {
        body: Arc::new(body),
        chunked: true,
        ..request("/upload", "arrives")
    };
    let serving = tokio::spawn(serve(shared.clone(), req));
    tokio::time::sleep(Duration::from_millis(50)).await;
    assert!(!serving.is_finished());
    shared.stop.begin(Instant::now());
    let reply = tokio::time::timeout(Duration::from_millis(500), serving).await;
    assert_eq!(reply.unwrap().unwrap().status, 503);
    assert_eq!(arrivals(&[&target], "arrives"), 0);
}

/// What a target runs is not broken off, and a further target gets nothing that could be.
#[tokio::test]
async fn a_request_that_runs_when_the_instance_stops_ends_whole_and_is_not_retried() {
    let targets = [
        &TargetStandin::start("t0", "s").await.unwrap(),
        &TargetStandin::start("t1", "s").await.unwrap(),
    ];
    let shared = instance(&targets);
    for (behaviour, status) in [(Behaviour::Serving, 200), (Behaviour::Losing, 502)] {
        for target in targets {
            target.state.change(|state| {
                state.behaviour = behaviour;
                state.work = Duration::from_millis(200);
            });
        }
        let id = format!("{behaviour:?}");
        let serving = tokio::spawn(serve(shared.clone(), request("/runs", &id)));
        wait_until(|| arrivals(&targets, &id) == 1).await;
        shared.stop.begin(Instant::now());
        assert_eq!(serving.await.unwrap().status, status);
        assert_eq!(arrivals(&targets, &id), 1);
        shared.stop.begin(Instant::now() + Duration::from_secs(60));
    }
}

/// Guards against targets that count as failing, and requests that count as crashing them, because
/// callers don't read.
#[tokio::test]
async fn a_response_without_memory_for_it_says_nothing_of_its_target() {
    let target = TargetStandin::start("t", "s").await.unwrap();
    target.state.change(|state| state.large_bytes = 7 << 20);
    let shared = instance(&[&target]);
    let mut held = Vec::new();
    let reply = loop {
        let id = format!("r{}", held.len());
        let reply = serve(shared.clone(), request("/large", &id)).await;
        if reply.status != 200 {
            break reply;
        }
        held.push(reply);
    };
    assert_eq!(reply.status, 502, "it has run");
    assert_eq!(arrivals(&[&target], &format!("r{}", held.len())), 1);
    let now = shared.now();
    let state = shared.state();
    assert_eq!(state.quarantine.broken_calls(target.address()), 0);
    let view = state.targets.get(&target.id.as_str().into()).unwrap();
    let candidate = view.candidate(now, &"a".into(), &state.load_curve(&"s".into()));
    assert!(candidate.failure_rate <= 0.0, "{candidate:?}");
}
