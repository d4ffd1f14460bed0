//! An instance that has no path to any target, while callers and peers reach it, as in a
//! partition.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use http::HeaderName;
use tokio::net::{TcpListener, UdpSocket};

use crate::dispatch::quarantine::Fingerprint;
use crate::entry::fleet::members::InstanceStatus;
use crate::entry::fleet::message::{
    Datagram, Health, Heartbeat, TargetReport, decode_datagram, encode_heartbeat,
};
use crate::entry::fleet::peers;
use crate::entry::request::forward;
use crate::entry::settings::Tuning;
use crate::entry::shared::Shared;
use crate::entry::state::State;
use crate::entry::target::load::Load;
use crate::entry::testing::{instance_with, request, settings};
use crate::units::Time;

/// Targets of the service.
const IDS: [&str; 6] = ["t0", "t1", "t2", "t3", "t4", "t5"];
/// Address of the peer that reaches the targets, which is in the same zone.
const PEER: ([u8; 4], u16) = ([127, 0, 0, 2], 7000);
/// Age of the peer's reports: targets are checked before they get a request.
const REPORT_AGE_MS: u16 = 40;
/// Longest wait for a condition.
const WAIT_LIMIT: Duration = Duration::from_secs(10);

/// How connections to the targets fail.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Cut {
    /// They are refused.
    Refused,
    /// They are accepted, and nothing is ever answered.
    Silent,
}

/// An instance without a path to its targets, and a peer that reports all of them as good.
struct CutInstance {
    shared: Arc<Shared>,
    _listeners: Vec<Arc<TcpListener>>,
}

impl CutInstance {
    async fn start(cut: Cut) -> Self {
        let mut listeners = Vec::new();
        let mut targets = Vec::new();
        for id in IDS {
            let listener = Arc::new(TcpListener::bind("127.0.0.1:0").await.unwrap());
            targets.push((id, listener.local_addr().unwrap()));
            listeners.push(listener);
        }
        match cut {
            Cut::Refused => listeners.clear(),
            Cut::Silent => {
                for listener in &listeners {
                    tokio::spawn(accept_and_keep(listener.clone()));
                }
            }
        }
        let shared = instance_with(&targets);
        let socket = Arc::new(UdpSocket::bind("127.0.0.1:0").await.unwrap());
        tokio::spawn(report_as_good(shared.clone()));
        tokio::spawn(peers::run_heartbeats(shared.clone(), socket));
        Self {
            shared,
            _listeners: listeners,
        }
    }

    /// Addresses that the directory gives to callers of the zone.
    fn addresses(&self) -> Vec<SocketAddr> {
        let now = self.shared.now();
        self.shared.state().addresses(now, Some("a"))
    }

    /// The next heartbeat, as peers decode it.
    fn heartbeat(&self) -> Heartbeat {
        let now = self.shared.now();
        let due = self.shared.state().next_heartbeat(now, true);
        let bytes = encode_heartbeat(due.heartbeat, &[]).unwrap();
        match decode_datagram(&bytes).unwrap().0 {
            Datagram::Heartbeat(heartbeat) => *heartbeat,
            other => panic!("{other:?}"),
        }
    }

    async fn wait_until(&self, is_met: impl Fn(&Self) -> bool) -> bool {
        let waiting = async {
            while !is_met(self) {
                tokio::time::sleep(Duration::from_millis(10)).await;
            }
        };
        tokio::time::timeout(WAIT_LIMIT, waiting).await.is_ok()
    }

    /// Sends requests with this deadline as callers do, and returns the statuses of the
    /// responses.
    async fn send_requests(&self, count: usize, deadline_ms: u16) -> Vec<u16> {
        let mut statuses = Vec::new();
        for number in 0..count {
            let mut req = request(&format!("/{number}"), "r");
            let name = HeaderName::from_static("x-deadline-ms");
            req.headers.insert(name, deadline_ms.into());
            statuses.push(forward::serve(self.shared.clone(), req).await.status);
        }
        statuses
    }
}

async fn accept_and_keep(listener: Arc<TcpListener>) {
    let mut streams = Vec::new();
    while let Ok((stream, _)) = listener.accept().await {
        streams.push(stream);
    }
}

/// Sends the heartbeats of a peer that reaches all targets.
async fn report_as_good(shared: Arc<Shared>) {
    loop {
        receive_good_reports(&shared);
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
}

fn receive_good_reports(shared: &Shared) {
    let now = shared.now();
    let mut state = shared.state();
    let reports = state.targets.views().map(|view| TargetReport {
        target: view.key,
        load: Some(Load {
            running: 0,
            waiting: 0,
            slots: 6,
            slowness_percent: 100,
        }),
        cold_ms: 0,
        health: Health::Good,
        age_ms: REPORT_AGE_MS,
    });
    let heartbeat = Heartbeat {
        zone: "a".into(),
        status: InstanceStatus {
            callers: Some(peer_callers()),
            ready: true,
            ..InstanceStatus::default()
        },
        reports: reports.collect(),
        member: None,
        cases: Vec::new(),
        evidence: Vec::new(),
        limits: Vec::new(),
        leaving: Vec::new(),
    };
    state.receive_heartbeat(now, PEER.into(), &heartbeat);
}

fn peer_callers() -> SocketAddr {
    (PEER.0, 80).into()
}

/// What a peer that reaches the targets gives to callers of its zone after this heartbeat.
fn addresses_at_peer(heartbeat: &Heartbeat) -> Vec<SocketAddr> {
    let now = Time::from_secs(100);
    let mut state = State::new(settings(PEER.0, "a"), Tuning::default(), now);
    state.status.ready = true;
    state.receive_heartbeat(now, ([127, 0, 0, 1], 7000).into(), heartbeat);
    state.addresses(now, Some("a"))
}

#[tokio::test]
async fn callers_are_not_sent_to_an_instance_without_a_path_to_the_targets() {
    for cut in [Cut::Refused, Cut::Silent] {
        let instance = CutInstance::start(cut).await;
        instance.send_requests(3, 600).await;
        let only_peer = |instance: &CutInstance| instance.addresses() == [peer_callers()];
        let has_left = instance.wait_until(only_peer).await;
        assert!(has_left, "{cut:?}: {:?}", instance.addresses());
        let heartbeat = instance.heartbeat();
        assert_eq!(addresses_at_peer(&heartbeat), [peer_callers()], "{cut:?}");
    }
}

/// Targets that only this instance doesn't reach would be down for all.
#[tokio::test]
async fn failed_probes_of_an_instance_without_paths_are_not_told() {
    for cut in [Cut::Refused, Cut::Silent] {
        let instance = CutInstance::start(cut).await;
        for _ in 0..20 {
            let reports = instance.heartbeat().reports;
            let mut unreachable = reports.iter().map(|report| report.health);
            assert!(
                unreachable.all(|health| health != Health::Unreachable),
                "{cut:?}"
            );
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    }
}

/// The targets are alive, so that nothing crashed.
#[tokio::test]
async fn calls_that_break_off_in_a_partition_are_not_attributed_to_crashes() {
    for cut in [Cut::Refused, Cut::Silent] {
        let instance = CutInstance::start(cut).await;
        let now = instance.shared.now();
        {
            let mut state = instance.shared.state();
            let addresses = state.targets.views().map(|view| view.target.address);
            for (number, address) in (0..).zip(addresses.collect::<Vec<_>>()) {
                let fingerprint = Fingerprint(number);
                state
                    .quarantine
                    .record_broken_call(now, address, [fingerprint]);
            }
        }
        tokio::time::sleep(Duration::from_millis(1200)).await;
        let size = instance.shared.state().quarantine.size();
        assert_eq!(size.records, 0, "{cut:?}");
    }
}

/// Only the prober of a target that names a limit may send to it.
#[tokio::test]
async fn targets_that_name_a_limit_are_not_checked_for_a_path() {
    let targets = IDS.map(|id| (id, ([127, 0, 0, 1], 1).into()));
    let shared = instance_with(&targets);
    receive_good_reports(&shared);
    let now = shared.now();
    let mut state = shared.state();
    let runs: Vec<u64> = state.targets.views().map(|view| view.key).collect();
    for run in &runs[..2] {
        state.record_path_failure(now, *run);
    }
    for run in &runs[2..5] {
        state.record_limit(now, now, *run, Some(2.4));
    }
    let checked = state.begin_reach_check(now, 0.0).unwrap();
    let checked: Vec<u64> = checked.iter().map(|check| check.run).collect();
    assert_eq!(checked, runs[5..]);
}

/// As when many requests arrive right after the links to the targets were cut.
#[tokio::test]
async fn an_instance_whose_requests_failed_at_every_target_checks_its_reach() {
    let targets = IDS.map(|id| (id, ([127, 0, 0, 1], 1).into()));
    let shared = instance_with(&targets);
    receive_good_reports(&shared);
    let now = shared.now();
    let mut state = shared.state();
    let runs: Vec<u64> = state.targets.views().map(|view| view.key).collect();
    for run in runs {
        state.record_path_failure(now, run);
    }
    let checked = state.begin_reach_check(now, 0.0).unwrap();
    assert_eq!(checked.len(), 3);
}

/// An instance that probes a single target checks its reach after each failed probe, and the
/// next probe starts before the result is looked at.
#[tokio::test]
async fn a_probe_that_keeps_failing_is_confirmed_by_a_response_in_between() {
    let targets = IDS.map(|id| (id, ([127, 0, 0, 1], 1).into()));
    let shared = instance_with(&targets);
    let now = shared.now();
    let mut state = shared.state();
    let runs: Vec<u64> = state.targets.views().map(|view| view.key).collect();
    let failed = TargetReport {
        target: runs[0],
        load: None,
        cold_ms: 0,
        health: Health::Unreachable,
        age_ms: 0,
    };
    let at = |ms| now.after(Duration::from_millis(ms));
    state.record_probe(at(1), failed, at(0));
    state.record_open_path(at(14), runs[1], at(12));
    state.record_probe(at(101), failed, at(100));
    state.record_confirmed_probes(at(112));
    let view = state.targets.run_mut(runs[0]).unwrap();
    assert_eq!(view.health, Health::Unreachable);
}

/// Requests and health checks count together in a pause.
#[tokio::test]
async fn targets_that_want_a_pause_are_not_checked() {
    let targets = IDS.map(|id| (id, ([127, 0, 0, 1], 1).into()));
    let shared = instance_with(&targets);
    receive_good_reports(&shared);
    let now = shared.now();
    let mut state = shared.state();
    let runs: Vec<u64> = state.targets.views().map(|view| view.key).collect();
    for run in &runs[..2] {
        state.record_path_failure(now, *run);
    }
    for run in &runs[1..5] {
        let view = state.targets.run_mut(*run).unwrap();
        view.notice.record_pause(now, Duration::from_secs(3));
        assert!(
            !state.try_check(now, *run),
            "probes and checks after a call"
        );
    }
    let checked = state.begin_reach_check(now, 0.0).unwrap();
    let checked: Vec<u64> = checked.iter().map(|check| check.run).collect();
    assert_eq!(checked, runs[5..]);
    let due = now.after(Duration::from_secs(2));
    let checked = state.failed_paths_to_check(due, IDS.len());
    let checked: Vec<u64> = checked.iter().map(|check| check.run).collect();
    assert_eq!(checked, runs[..1]);
}

#[tokio::test]
async fn targets_that_peers_report_as_good_are_not_connected_to_for_each_request() {
    let instance = CutInstance::start(Cut::Refused).await;
    let statuses = instance.send_requests(40, 600).await;
    assert!(statuses.iter().all(|status| *status == 503), "{statuses:?}");
    let connects = instance.shared.metrics.connects.get();
    let targets = IDS.len() as u64;
    assert!(
        connects <= 2 * targets,
        "{connects} connects to {targets} targets"
    );
}

#[tokio::test]
async fn a_request_that_no_target_got_before_its_deadline_is_refused_as_not_run() {
    let instance = CutInstance::start(Cut::Silent).await;
    // Three targets are checked one after the other, each until the check times out.
    let statuses = instance.send_requests(3, 200).await;
    assert_eq!(statuses, [503; 3]);
}
