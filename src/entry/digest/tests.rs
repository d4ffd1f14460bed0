use super::*;
use crate::entry::message::{Beat, Health};
use crate::entry::model::{Change, Record, Registration, Target};
use crate::entry::replica::Delta;
use crate::entry::settings::{EntrySettings, Tuning};

const NOW: Time = Time::from_secs(10);

fn room(slots: f64, occupied: f64) -> ZoneRoom {
    ZoneRoom { slots, occupied }
}

fn asked(rooms: &[(&str, ZoneRoom)]) -> Vec<String> {
    let zones = rooms
        .iter()
        .map(|(zone, room)| (ZoneName::from(*zone), *room))
        .collect();
    let services = IndexMap::from([(ServiceName::from("s"), zones)]);
    let zones = zones_to_ask(&"a".into(), &services);
    zones.iter().map(ToString::to_string).collect()
}

#[test]
fn other_zones_are_asked_only_while_the_own_one_does_not_suffice() {
    let elsewhere = [("b", room(12.0, 2.0)), ("c", room(6.0, 6.0))];
    let with_own = |own| asked(&[&[("a", own)], &elsewhere[..]].concat());
    assert!(with_own(room(12.0, 3.0)).is_empty());
    assert_eq!(with_own(room(12.0, 7.5)), ["b"], "the other is as crowded");
    assert_eq!(asked(&elsewhere), ["b", "c"], "no target in the own zone");
    assert!(asked(&[("a", room(6.0, 6.0))]).is_empty(), "nowhere else");
}

fn settings(ip: [u8; 4], zone: &str) -> EntrySettings {
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
        leave_within: Duration::from_secs(2),
        repeat_ratio: 0.2,
        repeat_window: Duration::from_secs(10),
        repeat_slack: 50.0,
        cold_factor: 1.5,
        cold_slack: 5.0,
        max_directory_ttl: Duration::from_secs(5),
        max_probe_rate: 60.0,
    }
}

/// A state that knows a target in zone `b`, 60 instances there and one in zone `c`, and
/// an evacuation of zone `a`.
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
        revision: 100,
        complete: true,
        changes: changes.collect(),
    };
    state.apply(NOW, delta, "store");
    let beat = Beat {
        zone: "b".into(),
        standing: crate::entry::members::Standing::default(),
        findings: Vec::new(),
        member: None,
        cases: Vec::new(),
    };
    for number in 1..=60 {
        state.heard(NOW, ([10, 2, 0, number], 7000).into(), &beat);
    }
    let elsewhere = Beat {
        zone: "c".into(),
        ..beat
    };
    state.heard(NOW, ([10, 3, 0, 1], 7000).into(), &elsewhere);
    state
}

fn finding(state: &State, slowness_percent: u32) -> Finding {
    Finding {
        target: state.fleet.get(&"tb".into()).unwrap().key,
        load: Some(crate::entry::load::Load {
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

/// Replays spells shorter than the time between two beats to other zones.
#[test]
fn the_own_zone_hears_of_each_change_at_once_whatever_others_were_told() {
    let mut state = state([10, 2, 0, 1], "b");
    for (beat, slowness_percent) in [700, 100, 700, 100].into_iter().enumerate() {
        let now = NOW.after(Duration::from_millis(100 * beat as u64));
        state.note_probe(now, finding(&state, slowness_percent));
        let (_, peers) = state.beat(now, false);
        assert!(
            peers.len() >= 59,
            "beat {beat} goes to {} peers",
            peers.len()
        );
    }
}

/// Replays an evacuation: an instance whose zone has nothing left learns which
/// target elsewhere is slow from one question.
#[test]
fn an_instance_of_an_evacuated_zone_learns_what_is_slow_elsewhere() {
    let mut near = state([10, 2, 0, 1], "b");
    let slow = finding(&near, 700);
    near.note_probe(NOW, slow);
    let later = NOW.after(Duration::from_millis(50));

    let mut far = state([10, 1, 0, 1], "a");
    let peers = far.peers_to_ask(later, 0.5);
    assert_eq!(peers.len(), 1, "one peer of the only other zone");
    assert_eq!(peers[0].ip(), std::net::IpAddr::from([10, 2, 0, 31]));
    assert!(far.slowness(later, &"tb".into()) < 1.5);
    for part in near.digest(later) {
        far.take_digest(later, &part);
    }
    assert!((far.slowness(later, &"tb".into()) - 7.0).abs() < f64::EPSILON);
    let age = later.since(far.fleet.get(&"tb".into()).unwrap().report.unwrap().at);
    assert_eq!(age, Duration::from_millis(50), "as old as it is");

    assert!(
        near.peers_to_ask(later, 0.5).is_empty(),
        "its own zone has room"
    );
}
