use std::time::Duration;

use super::*;
use crate::entry::fleet::members::InstanceStatus;
use crate::entry::fleet::message::Heartbeat;
use crate::entry::fleet::watchers::StoreAccess;
use crate::entry::model::{Change, Target};
use crate::entry::settings::Tuning;
use crate::entry::testing::settings;
use crate::names::TargetId;

fn at(millis: u64) -> Time {
    Time::ZERO.after(Duration::from_millis(millis))
}

fn put(id: &str) -> Change {
    let target = Target {
        id: id.into(),
        service: "s".into(),
        address: ([127, 0, 0, 2], 9000).into(),
        zone: "a".into(),
        slots: 3,
        leaving: false,
        cold_for: Duration::ZERO,
        started_ms: 1,
        version: None,
    };
    Change {
        key: id.into(),
        revision: 1,
        record: Some(Record::Target(target)),
    }
}

/// An instance whose service has these targets.
fn state_with(targets: &[&str]) -> State {
    let mut state = State::new(settings([127, 0, 0, 1], "a"), Tuning::default(), at(0));
    let delta = Delta {
        era: 0,
        revision: 1,
        complete: true,
        changes: targets.iter().map(|id| put(id)).collect(),
    };
    state.apply(at(0), delta, "store");
    state
}

fn remove(state: &mut State, now: Time, id: &str, revision: u64) {
    remove_together(state, now, &[id], revision);
}

/// Applies the removals of some targets as one batch.
fn remove_together(state: &mut State, now: Time, ids: &[&str], revision: u64) {
    let removal = |id: &&str| Change {
        key: (*id).into(),
        revision,
        record: None,
    };
    let delta = Delta {
        era: 0,
        revision,
        complete: false,
        changes: ids.iter().map(removal).collect(),
    };
    state.apply(now, delta, "store");
}

fn is_used(state: &State, id: &str, now: Time) -> bool {
    let view = state.targets.get(&TargetId::from(id));
    view.is_some_and(|view| view.sending_refusal(now).is_none())
}

/// Targets that left in order after an outage of the store were used for as long as those
/// whose leases had expired in it.
#[test]
fn a_removed_target_is_used_only_until_live_ones_are_back_after_an_outage() {
    let mut state = state_with(&["expired", "left", "left-later"]);
    state.record_store_answer(at(100));
    state.update_outage(at(100));
    state.update_outage(at(5000));
    state.record_store_answer(at(5100));
    state.update_outage(at(5100));
    remove(&mut state, at(5200), "expired", 2);
    remove(&mut state, at(7100), "left", 3);
    remove(&mut state, at(7300), "left-later", 4);
    assert!(is_used(&state, "expired", at(7100)));
    assert!(is_used(&state, "left", at(7150)));
    assert!(!is_used(&state, "expired", at(7200)));
    assert!(!is_used(&state, "left", at(7200)));
    assert!(!is_used(&state, "left-later", at(7300)));
}

/// Targets that left got requests for 2.2 s more, beyond the limit, if half of their service
/// was removed in one batch.
#[test]
fn targets_that_leave_together_while_the_store_answers_are_not_used() {
    for removed in [&["t0"][..], &["t0", "t1"], &["t0", "t1", "t2"]] {
        let mut state = state_with(&["t0", "t1", "t2", "t3"]);
        state.record_store_answer(at(4500));
        state.update_outage(at(5000));
        remove_together(&mut state, at(5000), removed, 2);
        for id in removed {
            assert!(!is_used(&state, id, at(5000)), "{id} of {removed:?}");
        }
        assert!(is_used(&state, "t3", at(5000)));
    }
}

/// Guards against an instance that lags behind its peers, as by a large configuration on a narrow
/// link, and takes that for an outage of the store.
#[test]
fn a_removal_that_arrives_late_is_no_expired_lease_while_the_store_answers_peers() {
    let mut state = state_with(&["t0", "t1"]);
    for tick in 10..=60 {
        let now = at(tick * 100);
        let heartbeat = Heartbeat {
            zone: "a".into(),
            status: InstanceStatus {
                store: StoreAccess::Watching,
                store_answer_age_ms: Some(10),
                revision: 2,
                ..InstanceStatus::default()
            },
            reports: Vec::new(),
            member: None,
            cases: Vec::new(),
            evidence: Vec::new(),
            limits: Vec::new(),
            leaving: Vec::new(),
        };
        state.receive_heartbeat(now, ([127, 0, 0, 3], 7000).into(), &heartbeat);
        state.update_outage(now);
    }
    remove(&mut state, at(6100), "t0", 2);
    assert!(!is_used(&state, "t0", at(6100)));
}

/// A target that leaves serves on for the limit, which is 2 s here. It left after the last
/// answer without its removal.
#[test]
fn the_last_targets_of_a_service_are_used_while_they_certainly_serve() {
    for ids in [&["t0"][..], &["t0", "t1"], &["t0", "t1", "t2"]] {
        let mut state = state_with(ids);
        state.record_store_answer(at(4500));
        state.update_outage(at(5000));
        remove_together(&mut state, at(5000), ids, 2);
        for id in ids {
            assert!(is_used(&state, id, at(5999)), "{id} of {ids:?}");
            assert!(!is_used(&state, id, at(6000)), "{id} of {ids:?}");
        }
    }
    let mut state = state_with(&["t0", "t1"]);
    state.record_store_answer(at(4500));
    remove(&mut state, at(5000), "t0", 2);
    assert!(!is_used(&state, "t0", at(5000)));
    remove(&mut state, at(5200), "t1", 3);
    assert!(is_used(&state, "t1", at(5200)));
}
