use super::*;
use crate::entry::fleet::replica::Delta;
use crate::entry::model::{Change, Record};
use crate::entry::settings::EntrySettings;
use crate::entry::target::placement::Requirements;
use crate::entry::testing::instance_with;
use crate::rollout::{RolloutDecision, RolloutLimits, RolloutOrder, Stage};

const REQUESTS: usize = 60;

/// An instance of which half of the requests go to a version with two targets.
fn sampling(now: Time) -> std::sync::Arc<crate::entry::shared::Shared> {
    let addresses = ["old", "new-0", "new-1"].map(|id| (id, ([127, 0, 0, 1], 1).into()));
    let shared = instance_with(&addresses);
    let mut state = shared.state();
    state.settings = std::sync::Arc::new(EntrySettings {
        rollouts: Some(RolloutLimits {
            share: 0.1,
            slack: 50.0,
            rollback_time: Duration::from_secs(5),
        }),
        ..(*state.settings).clone()
    });
    state.status.store = crate::entry::fleet::watchers::StoreAccess::Watching;
    let mut records: Vec<Record> = state
        .targets
        .views()
        .map(|view| {
            let version = if view.target.id.as_str() == "old" {
                "v1"
            } else {
                "v2"
            };
            let mut target = view.target.clone();
            target.version = Some(version.into());
            Record::Target(target)
        })
        .collect();
    records.push(Record::RolloutOrder(RolloutOrder {
        service: "s".into(),
        version: "v2".into(),
        duration: Duration::from_secs(60),
    }));
    records.push(Record::RolloutDecision(RolloutDecision {
        service: "s".into(),
        version: "v2".into(),
        previous: vec!["v1".into()],
        stage: Stage::Running(50),
        ordered_ms: 1,
    }));
    let changes = (100..).zip(records).map(|(revision, record)| Change {
        key: revision.to_string().into(),
        revision,
        record: Some(record),
    });
    let delta = Delta {
        era: 0,
        revision: 200,
        complete: false,
        changes: changes.collect(),
    };
    state.apply(now, delta, "store");
    drop(state);
    shared
}

/// An open connection makes its target the cheapest, but one target alone says little of a
/// version.
#[test]
fn the_sample_reaches_several_targets_though_one_has_a_connection() {
    let now = Time::from_secs(100);
    let shared = sampling(now);
    let mut state = shared.state();
    let view = state.targets.get(&"new-0".into()).unwrap();
    let _connection = view.connections.clone();
    let requirements = Requirements {
        service_time: Duration::from_millis(10),
        deadline_left: Duration::from_secs(2),
        slot_share: 1.0,
        suspicion: 0,
    };
    let mut counts = [0; 2];
    for _ in 0..REQUESTS {
        let preference = state.preference(now, &"s".into(), true);
        let chosen = state
            .select_target(now, &"s".into(), &requirements, &[], preference)
            .unwrap();
        state.release(chosen.reserved());
        for (number, count) in counts.iter_mut().enumerate() {
            *count += usize::from(chosen.id.as_str() == format!("new-{number}"));
        }
    }
    assert!(
        counts.iter().all(|count| (10..=20).contains(count)),
        "{counts:?}"
    );
}
