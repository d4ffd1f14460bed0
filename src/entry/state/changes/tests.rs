use std::time::Duration;

use super::*;
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

fn remove(state: &mut State, now: Time, id: &str, revision: u64) {
    let removal = Change {
        key: id.into(),
        revision,
        record: None,
    };
    let delta = Delta {
        era: 0,
        revision,
        complete: false,
        changes: vec![removal],
    };
    state.apply(now, delta, "store");
}

/// Targets that left in order after an outage of the store were used for as long as those
/// whose leases had expired in it.
#[test]
fn a_removed_target_is_used_only_until_live_ones_are_back_after_an_outage() {
    let mut state = State::new(settings([127, 0, 0, 1], "a"), Tuning::default(), at(0));
    let targets = ["expired", "left", "left-later"];
    let delta = Delta {
        era: 0,
        revision: 1,
        complete: true,
        changes: targets.map(put).into(),
    };
    state.apply(at(0), delta, "store");
    let is_used = |state: &State, id: &str, now| {
        let view = state.targets.get(&TargetId::from(id));
        view.is_some_and(|view| view.sending_refusal(now).is_none())
    };
    state.status.store = StoreAccess::Watching;
    state.update_outage(at(100));
    state.status.store = StoreAccess::Lost;
    state.update_outage(at(5000));
    state.status.store = StoreAccess::Watching;
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
