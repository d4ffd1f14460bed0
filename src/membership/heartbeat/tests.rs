use std::time::Duration;

use super::{Heartbeat, HeartbeatResponse, KnownRevisions, PeerObservations, Silence};
use crate::membership::RunId;
use crate::names::{InstanceId, StartId};
use crate::resource::Revision;
use crate::units::Time;

fn run(instance: &str, start: &str) -> RunId {
    RunId {
        instance: InstanceId::from(instance),
        start: StartId::from(start),
    }
}

fn response(from: RunId, may_grant: bool, silences: Vec<Silence>) -> HeartbeatResponse {
    HeartbeatResponse {
        from,
        known_revisions: KnownRevisions::default(),
        may_grant,
        silences,
    }
}

/// A heartbeat of a new run must not end the silence of an earlier run of the same
/// instance.
#[test]
fn heartbeats_are_recorded_per_run() {
    let mut peers = PeerObservations::default();
    peers.record_heartbeat(Time::from_secs(5), run("a", "1"), KnownRevisions::default());
    peers.record_heartbeat(Time::from_secs(8), run("a", "2"), KnownRevisions::default());
    let now = Time::from_secs(9);
    assert_eq!(
        peers.silent_for(now, &run("a", "1")),
        Duration::from_secs(4)
    );
    assert_eq!(
        peers.silent_for(now, &run("a", "2")),
        Duration::from_secs(1)
    );
}

/// A process must not report a silence for the time before it started.
#[test]
fn silence_is_at_most_the_uptime() {
    let peers = PeerObservations::default();
    let silence = peers.silent_for(Time::from_secs(3), &run("a", "1"));
    assert_eq!(silence, Duration::from_secs(3));
}

#[test]
fn responses_become_reports_in_the_senders_clock() {
    let mut peers = PeerObservations::default();
    let about = run("a", "1");
    let silences = vec![Silence {
        run: about.clone(),
        micros: 7_000_000,
    }];
    let (sent, now) = (Time::from_secs(10), Time::from_secs(11));
    peers.record_response(now, sent, &response(run("b", "1"), true, silences));
    let report = peers.report(&about, &InstanceId::from("b"));
    let report = report.expect("a report");
    assert_eq!((report.requested_at, report.received_at), (sent, now));
    assert_eq!(report.silent_for, Duration::from_secs(7));
    assert_eq!(peers.stopped_at(&run("b", "1")), None);
    peers.prune(now, &[]);
    assert!(peers.report(&about, &InstanceId::from("b")).is_none());
}

#[test]
fn stopped_owner_is_recorded_per_run() {
    let mut peers = PeerObservations::default();
    let sent = Time::from_secs(10);
    peers.record_response(sent, sent, &response(run("a", "2"), false, Vec::new()));
    assert_eq!(peers.stopped_at(&run("a", "2")), Some(sent));
    assert_eq!(peers.stopped_at(&run("a", "1")), None);
}

#[test]
fn latest_peer_that_reaches_the_store_is_selected() {
    let mut peers = PeerObservations::default();
    for (name, at, store) in [("a", 5, true), ("b", 7, true), ("c", 8, false)] {
        let known_revisions = KnownRevisions {
            store,
            ..KnownRevisions::default()
        };
        peers.record_heartbeat(Time::from_secs(at), run(name, "1"), known_revisions);
    }
    let recent = Duration::from_secs(2);
    let selected = |now| peers.peer_with_store(Time::from_secs(now), recent);
    assert_eq!(selected(9), Some(run("b", "1")));
    assert_eq!(selected(10), None);
}

#[test]
fn heartbeat_without_reports_is_small() {
    let run = || run("instance-01", "0123456789abcdef");
    let known_revisions = KnownRevisions {
        config: Revision(10_000),
        directory: 1_000_000,
        store: true,
    };
    let msg = Heartbeat {
        from: run(),
        to: run(),
        known_revisions,
        about: Vec::new(),
    };
    let size = |text: Result<String, _>| text.map(|text: String| text.len()).ok();
    let sizes = (
        size(serde_json::to_string(&msg)),
        size(serde_json::to_string(&response(run(), true, Vec::new()))),
    );
    assert_eq!(sizes, (Some(178), Some(123)));
}

#[test]
fn highest_revisions_are_kept() {
    let mut peers = PeerObservations::default();
    for (config, directory) in [(3, 8), (2, 9), (1, 1)] {
        let known_revisions = KnownRevisions {
            config: Revision(config),
            directory,
            store: true,
        };
        peers.record_heartbeat(Time::ZERO, run("a", "1"), known_revisions);
    }
    assert_eq!(peers.latest_revisions().config, Revision(3));
    assert_eq!(peers.latest_revisions().directory, 9);
}
