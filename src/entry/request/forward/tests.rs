use standin::prepared::target::{Behaviour, TargetStandin};

use super::*;
use crate::dispatch::quarantine::CrashId;
use crate::entry::target::load::Load;
use crate::entry::testing::{instance, request};

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

async fn wait_until(is_met: impl Fn() -> bool) {
    while !is_met() {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
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
    let is_queued = || {
        let state = shared.state();
        let queue = state.wait_queues.get(&ServiceName::from("s"));
        let later = Flow {
            priority: u32::MAX,
            account: None,
        };
        queue.is_some_and(|queue| queue.ahead_of(&later) > 0)
    };
    wait_until(is_queued).await;
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
