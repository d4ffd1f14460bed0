//! Roll-outs of good and bad versions.

use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

use serde_json::{Value, json};
use standin::prepared::store::{Faults, Mode};
use standin::prepared::target::Behaviour;
use tokio::task::JoinSet;

use crate::entry_cluster::{EntryCluster, send};

const INSTANCES: usize = 3;
const OLD_TARGETS: usize = 4;
/// Targets of the new version.
const NEW_TARGETS: usize = 3;
/// Callers at each instance, which send one request after the other.
const CALLERS: usize = 3;
/// Pause of a caller after a request.
const CALLER_PAUSE: Duration = Duration::from_millis(10);
/// Time that the roll-outs may take, in seconds.
const DURATION_S: u32 = 12;
const ORDER_KEY: &str = "op/rollout/s";
/// Requests that a bad version may get beside its share, in tests that are far from the
/// limit.
const SLACK: u32 = 50;

/// Requests to all instances until it is dropped.
struct Load {
    callers: JoinSet<()>,
    sent: Arc<AtomicU32>,
}

impl Load {
    fn start(cluster: &EntryCluster) -> Self {
        let sent = Arc::<AtomicU32>::default();
        let mut callers = JoinSet::new();
        for caller in 0..INSTANCES * CALLERS {
            let address = cluster.caller_address(caller % INSTANCES);
            let sent = sent.clone();
            callers.spawn(async move {
                for number in 0.. {
                    let path = if number % 4 == 0 {
                        "/once/x"
                    } else {
                        "/safe/x"
                    };
                    sent.fetch_add(1, Ordering::Relaxed);
                    send(address, path, &format!("{caller}-{number}")).await;
                    tokio::time::sleep(CALLER_PAUSE).await;
                }
            });
        }
        Self { callers, sent }
    }

    fn sent(&self) -> u32 {
        self.sent.load(Ordering::Relaxed)
    }

    fn stop(&mut self) {
        self.callers.abort_all();
    }
}

/// Starts instances with roll-outs, targets of the old version `v1` and of `v2`.
async fn start() -> EntryCluster {
    let cluster = EntryCluster::start(INSTANCES, OLD_TARGETS).await;
    for instance in 0..INSTANCES {
        cluster.rewrite_settings(
            instance,
            "\"probes_per_s\": 60",
            "\"probes_per_s\": 60, \"expose_share\": 0.1, \"expose_slack\": 50, \"rollback_ms\": 5000",
        );
        cluster.send_sighup(instance);
    }
    for instance in 0..INSTANCES {
        cluster.wait_for_log(instance, "settings reloaded", 1).await;
    }
    cluster.wait_for_watchers(INSTANCES).await;
    cluster
}

impl EntryCluster {
    /// Orders `v2`, and starts its targets.
    async fn roll_out(&mut self, duration_s: u32) {
        self.order("v2", duration_s);
        for _ in 0..NEW_TARGETS {
            self.add_target("v2").await;
        }
    }

    fn order(&self, version: &str, duration_s: u32) {
        let order = json!({
            "service": "s", "target_version": version, "duration_s": duration_s,
        });
        self.store.put(ORDER_KEY, order.to_string().as_bytes());
    }

    fn rollout_status(&self) -> Option<Value> {
        let value = self.store.value("status/rollout/s")?;
        serde_json::from_slice(&value).ok()
    }

    async fn wait_for_state(&self, version: &str, state: &str) {
        let expected = json!({ "state": state, "target_version": version });
        let status = || async { self.rollout_status() };
        self.wait_until(status, |status| *status == expected).await;
    }

    fn arrivals_at(&self, targets: std::ops::Range<usize>) -> u32 {
        let records = self.targets()[targets]
            .iter()
            .map(|target| target.record.get());
        records
            .map(|record| record.arrivals.values().sum::<u32>())
            .sum()
    }

    fn new_arrivals(&self) -> u32 {
        self.arrivals_at(OLD_TARGETS..self.targets().len())
    }

    fn set_new(&self, change: impl Fn(&mut standin::prepared::target::State)) {
        for target in &self.targets()[OLD_TARGETS..] {
            target.state.change(&change);
        }
    }

    /// Checks that the new version got few requests, and that it gets none any more.
    async fn check_rolled_back(&self, load: &Load) {
        // What was in flight arrives.
        tokio::time::sleep(Duration::from_millis(300)).await;
        let (got, sent) = (self.new_arrivals(), load.sent());
        assert!(got <= sent / 10 + SLACK, "{got} of {sent}");
        tokio::time::sleep(Duration::from_secs(1)).await;
        assert_eq!(self.new_arrivals(), got);
    }
}

#[tokio::test]
async fn a_good_version_is_completed_and_gets_all_requests() {
    let mut cluster = start().await;
    let load = Load::start(&cluster);
    cluster.roll_out(DURATION_S).await;
    cluster.wait_for_state("v2", "running").await;
    cluster.wait_for_state("v2", "completed").await;
    for instance in 0..INSTANCES {
        let log = "\"stage\":\"Some(Completed)\"";
        cluster.wait_for_log(instance, log, 1).await;
    }
    tokio::time::sleep(Duration::from_millis(300)).await;
    let (old, new) = (cluster.arrivals_at(0..OLD_TARGETS), cluster.new_arrivals());
    let resp = cluster.get(0, "/safe/x", "after").await;
    assert_eq!(resp.status, 200, "{resp:?}");
    tokio::time::sleep(Duration::from_millis(300)).await;
    assert_eq!(cluster.arrivals_at(0..OLD_TARGETS), old);
    assert!(cluster.new_arrivals() > new);
    drop(load);
}

#[tokio::test]
async fn versions_that_fail_or_are_slow_are_rolled_back() {
    for bad in ["failing", "slow", "one route"] {
        let mut cluster = start().await;
        cluster.set_work(Duration::from_millis(10));
        let load = Load::start(&cluster);
        cluster.roll_out(DURATION_S).await;
        cluster.set_new(|state| match bad {
            "failing" => state.behaviour = Behaviour::Failing,
            "slow" => state.work = Duration::from_millis(120),
            _ => state.failing_route = Some("/once/"),
        });
        cluster.wait_for_state("v2", "rolled_back").await;
        cluster.check_rolled_back(&load).await;
    }
}

#[tokio::test]
async fn a_version_that_turns_bad_later_is_rolled_back() {
    let mut cluster = start().await;
    let load = Load::start(&cluster);
    cluster.roll_out(DURATION_S).await;
    cluster.wait_for_state("v2", "running").await;
    tokio::time::sleep(Duration::from_secs(2)).await;
    cluster.set_new(|state| state.behaviour = Behaviour::Failing);
    cluster.wait_for_state("v2", "rolled_back").await;
    cluster.check_rolled_back(&load).await;
}

#[tokio::test]
async fn a_roll_out_goes_on_when_the_instance_that_decides_is_killed() {
    let mut cluster = start().await;
    let mut load = Load::start(&cluster);
    cluster.roll_out(DURATION_S).await;
    cluster.wait_for_state("v2", "running").await;
    let decider = cluster
        .wait_for_first_log("decision of a roll-out written")
        .await;
    cluster.kill(decider);
    cluster.set_new(|state| state.behaviour = Behaviour::Failing);
    cluster.wait_for_state("v2", "rolled_back").await;
    cluster.check_rolled_back(&load).await;
    // It learns the decision from the store.
    cluster.launch(decider);
    cluster.wait_for_directory(decider, INSTANCES).await;
    let got = cluster.new_arrivals();
    tokio::time::sleep(Duration::from_millis(500)).await;
    assert_eq!(cluster.new_arrivals(), got);
    load.stop();
}

#[tokio::test]
async fn a_version_is_rolled_back_while_the_store_is_down() {
    let mut cluster = start().await;
    let load = Load::start(&cluster);
    cluster.roll_out(DURATION_S).await;
    cluster.wait_for_state("v2", "running").await;
    cluster.store.faults.set(Faults {
        mode: Mode::Refusing(503),
        ..Faults::default()
    });
    cluster.set_new(|state| state.behaviour = Behaviour::Failing);
    for instance in 0..INSTANCES {
        let log = "\"stage\":\"Some(RolledBack)\"";
        cluster.wait_for_log(instance, log, 1).await;
    }
    cluster.check_rolled_back(&load).await;
    cluster.store.faults.set(Faults::default());
    cluster.wait_for_state("v2", "rolled_back").await;
}

#[tokio::test]
async fn a_withdrawn_order_rolls_back_and_stays_so_in_a_restored_store() {
    let mut cluster = start().await;
    let load = Load::start(&cluster);
    cluster.roll_out(DURATION_S).await;
    cluster.wait_for_state("v2", "running").await;
    let copy = cluster.store.copy();
    cluster.store.remove(ORDER_KEY);
    cluster.wait_for_state("v2", "rolled_back").await;
    cluster.check_rolled_back(&load).await;
    cluster.store.restore(&copy);
    cluster.wait_for_state("v2", "rolled_back").await;
    cluster.check_rolled_back(&load).await;
}

#[tokio::test]
async fn an_order_for_a_version_without_targets_changes_nothing_and_ends_rolled_back() {
    let cluster = start().await;
    let load = Load::start(&cluster);
    cluster.order("v2", 4);
    cluster.wait_for_state("v2", "rolled_back").await;
    let resp = cluster.get(0, "/safe/x", "after").await;
    assert_eq!(resp.status, 200, "{resp:?}");
    drop(load);
}

#[tokio::test]
async fn a_version_is_rolled_out_although_another_writer_left_an_odd_decision() {
    let mut cluster = start().await;
    cluster.store.put("rollouts/s", b"odd");
    cluster
        .wait_for_first_log("skipped an invalid record")
        .await;
    let _load = Load::start(&cluster);
    cluster.roll_out(DURATION_S).await;
    cluster.wait_for_state("v2", "running").await;
}
