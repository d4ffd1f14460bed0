use super::*;
use crate::entry::fleet::message::{Health, Heartbeat};
use crate::entry::fleet::replica::Delta;
use crate::entry::model::{Change, Record, Registration, Target};
use crate::entry::settings::Tuning;
use crate::entry::testing::settings;

const NOW: Time = Time::from_secs(10);

fn capacity(slots: f64, occupied: f64) -> ZoneCapacity {
    ZoneCapacity { slots, occupied }
}

fn queried_zones(capacities: &[(&str, ZoneCapacity)]) -> Vec<String> {
    let zones = capacities
        .iter()
        .map(|(zone, capacity)| (ZoneName::from(*zone), *capacity))
        .collect();
    let services = IndexMap::from([(ServiceName::from("s"), zones)]);
    let zones = zones_to_query(&"a".into(), &services);
    zones.iter().map(ToString::to_string).collect()
}

#[test]
fn other_zones_are_queried_only_while_the_own_zone_lacks_capacity() {
    let elsewhere = [("b", capacity(12.0, 2.0)), ("c", capacity(6.0, 6.0))];
    let with_own = |own| queried_zones(&[&[("a", own)], &elsewhere[..]].concat());
    assert!(with_own(capacity(12.0, 3.0)).is_empty());
    assert_eq!(with_own(capacity(12.0, 7.5)), ["b"], "zone c is busy too");
    assert_eq!(
        queried_zones(&elsewhere),
        ["b", "c"],
        "no target in the own zone"
    );
    assert!(
        queried_zones(&[("a", capacity(6.0, 6.0))]).is_empty(),
        "no other zone has targets"
    );
}

/// A heartbeat of a peer without reports.
fn heartbeat_from(zone: &str) -> Heartbeat {
    Heartbeat {
        zone: zone.into(),
        status: crate::entry::fleet::members::InstanceStatus::default(),
        reports: Vec::new(),
        member: None,
        cases: Vec::new(),
        evidence: Vec::new(),
        limits: Vec::new(),
        leaving: Vec::new(),
    }
}

/// State that knows a target in each of the zones `a` and `b`, 60 instances in `b` and
/// one in `c`, and an evacuation of `a`.
fn state(ip: [u8; 4], zone: &str) -> State {
    let mut state = State::new(settings(ip, zone), Tuning::default(), NOW);
    let target = |id: &str, zone: &str| Target {
        id: id.into(),
        service: "s".into(),
        address: ([10, 0, 1, 1], 80).into(),
        zone: zone.into(),
        slots: 6,
        leaving: false,
        cold_for: Duration::ZERO,
        started_ms: 1,
        version: None,
    };
    let mut records = vec![
        Record::Target(target("ta", "a")),
        Record::Target(target("tb", "b")),
        Record::Evacuation("a".into()),
    ];
    records.extend((1..=60).map(|number| {
        Record::Instance(Registration {
            address: ([10, 2, 0, number], 7000).into(),
            zone: "b".into(),
        })
    }));
    let changes = records
        .into_iter()
        .enumerate()
        .map(|(index, record)| Change {
            key: index.to_string().into(),
            revision: index as u64 + 1,
            record: Some(record),
        });
    let delta = Delta {
        era: 0,
        revision: 100,
        complete: true,
        changes: changes.collect(),
    };
    state.apply(NOW, delta, "store");
    let heartbeat = heartbeat_from("b");
    for number in 1..=60 {
        state.receive_heartbeat(NOW, ([10, 2, 0, number], 7000).into(), &heartbeat);
    }
    let elsewhere = heartbeat_from("c");
    state.receive_heartbeat(NOW, ([10, 3, 0, 1], 7000).into(), &elsewhere);
    state
}

fn report(state: &State, slowness_percent: u32) -> TargetReport {
    TargetReport {
        target: state.targets.get(&"tb".into()).unwrap().key,
        load: Some(crate::entry::target::load::Load {
            running: 2,
            waiting: 0,
            slots: 6,
            slowness_percent,
        }),
        cold_ms: 0,
        health: Health::Good,
        age_ms: 0,
    }
}

/// Guards against a change that is lost because the target is slow for less than the
/// heartbeat interval to other zones: peers in the own zone get each change at once,
/// whatever was last sent to other zones.
#[test]
fn each_change_is_sent_to_the_own_zone_at_once() {
    let mut state = state([10, 2, 0, 1], "b");
    for (heartbeat, slowness_percent) in [700, 100, 700, 100].into_iter().enumerate() {
        let now = NOW.after(Duration::from_millis(100 * heartbeat as u64));
        state.record_probe(now, report(&state, slowness_percent), now);
        let peers = state.next_heartbeat(now, false).same_zone.len();
        assert!(
            peers >= 59,
            "heartbeat {heartbeat} is sent to {peers} peers"
        );
    }
}

/// One heartbeat holds at most [`MAX_REPORTS`] reports. An instance that probes more
/// targets must not send those on the same ones each time, as its peers would never get
/// the load and health of the others.
#[test]
fn heartbeats_in_turn_hold_the_reports_on_all_probed_targets() {
    const HEARTBEATS: u32 = 4;
    let targets = 0..MAX_REPORTS as u64 + 20;
    let peer = ([10, 2, 0, 2], 7000).into();
    let mut state = State::new(settings([10, 2, 0, 1], "b"), Tuning::default(), NOW);
    state.members.add(NOW, peer, &"b".into());
    let mut sent = IndexSet::new();
    for heartbeat in 0..HEARTBEATS {
        let now = NOW.after(Tuning::default().heartbeat_interval * heartbeat);
        state.receive_heartbeat(now, peer, &heartbeat_from("b"));
        for target in targets.clone() {
            let report = TargetReport {
                target,
                load: None,
                cold_ms: 0,
                health: Health::Good,
                age_ms: 0,
            };
            state.record_probe(now, report, now);
        }
        let due = state.next_heartbeat(now, false);
        assert_eq!(due.same_zone, [peer]);
        sent.extend(due.heartbeat.reports.iter().map(|report| report.target));
    }
    let missing: Vec<u64> = targets.filter(|target| !sent.contains(target)).collect();
    assert!(
        missing.is_empty(),
        "not in any of {HEARTBEATS} heartbeats: {missing:?}"
    );
}

/// Guards against requests to slow targets during an evacuation: an instance whose zone
/// has no targets left learns from one digest which target in another zone is slow.
#[test]
fn an_instance_of_an_evacuated_zone_learns_slowness_from_a_digest() {
    let mut peer = state([10, 2, 0, 1], "b");
    let slow = report(&peer, 700);
    peer.record_probe(NOW, slow, NOW);
    let later = NOW.after(Duration::from_millis(50));

    let mut own = state([10, 1, 0, 1], "a");
    let peers = own.digest_peers(later, 0.5);
    assert_eq!(
        peers.len(),
        1,
        "one peer of the only other zone with targets"
    );
    assert_eq!(peers[0].ip(), std::net::IpAddr::from([10, 2, 0, 31]));
    assert!(own.slowness(later, &"tb".into()) < 1.5);
    for part in peer.digest(later) {
        own.apply_digest(later, &part);
    }
    assert!((own.slowness(later, &"tb".into()) - 7.0).abs() < f64::EPSILON);
    let age = later.since(
        own.targets
            .get(&"tb".into())
            .unwrap()
            .load_report
            .unwrap()
            .at,
    );
    assert_eq!(age, Duration::from_millis(50), "age at the receiver");

    assert!(
        peer.digest_peers(later, 0.5).is_empty(),
        "its own zone has capacity"
    );
}
