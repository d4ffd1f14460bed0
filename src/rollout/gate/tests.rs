use std::collections::HashSet;
use std::time::Duration;

use arbtest::arbitrary::{Result, Unstructured};

use super::*;

const VERSIONS: [&str; 3] = ["v1", "v2", "v3"];

fn version(name: &str) -> VersionName {
    name.into()
}

fn order(name: &str) -> RolloutOrder {
    RolloutOrder {
        service: "s".into(),
        version: name.into(),
        duration: Duration::from_secs(20),
    }
}

fn decision(name: &str, stage: Stage) -> RolloutDecision {
    RolloutDecision {
        service: "s".into(),
        version: name.into(),
        previous: vec!["v1".into()],
        stage,
        ordered_ms: 1,
    }
}

/// The version that an order names, and a decision.
type Records<'a> = (Option<&'a str>, Option<(&'a str, Stage)>);

/// A gate after these orders and decisions, in turn.
fn gate(records: &[Records<'_>]) -> Gate {
    let mut gate = Gate::new(0.3);
    for (ordered, decided) in records {
        let decided = decided.map(|(name, stage)| decision(name, stage));
        gate.update(ordered.map(order).as_ref(), decided.as_ref());
    }
    gate
}

fn side(gate: &Gate, name: &str) -> Option<Side> {
    gate.side(1, Some(&version(name)))
}

#[test]
fn an_ordered_version_gets_nothing_before_a_decision() {
    let gate = gate(&[(Some("v2"), None)]);
    assert_eq!(side(&gate, "v2"), None);
    assert_eq!(side(&gate, "v1"), Some(Side::Old));
    assert_eq!(gate.side(1, None), Some(Side::Old));
    assert_eq!(gate.unfinished().unwrap().1, Stage::Running(0));
}

#[test]
fn a_running_version_gets_its_share_of_first_attempts_only() {
    let mut gate = gate(&[(Some("v2"), Some(("v2", Stage::Running(10))))]);
    assert_eq!(side(&gate, "v2"), Some(Side::New));
    let sampled = (0..1000).filter(|_| gate.prefer_first(true) == Preference::Sample);
    assert!(sampled.count().abs_diff(100) <= 2);
    assert_eq!(gate.prefer_later(true), Preference::Old);
    let mut without_news = (0..1000).map(|_| gate.prefer_first(false));
    assert!(without_news.all(|preference| preference == Preference::Old));
}

#[test]
fn all_requests_go_to_the_new_version_first_at_its_last_stage() {
    let mut gate = gate(&[(Some("v2"), Some(("v2", Stage::Running(100))))]);
    assert_eq!(gate.prefer_first(true), Preference::New);
    assert_eq!(gate.prefer_later(true), Preference::New);
    assert_eq!(gate.prefer_first(false), Preference::OldThenNew);
}

#[test]
fn a_version_whose_order_is_withdrawn_or_replaced_is_rolled_back() {
    let running = Some(("v2", Stage::Running(6)));
    for next in [None, Some("v3")] {
        let gate = gate(&[(Some("v2"), running), (next, running)]);
        assert_eq!(side(&gate, "v2"), None, "{next:?}");
        assert_eq!(gate.stage(&version("v2")), Some(Stage::RolledBack));
    }
    // Withdrawn before the first decision.
    let undecided = gate(&[(Some("v2"), None), (None, None)]);
    assert_eq!(side(&undecided, "v2"), None);
    assert_eq!(undecided.unrecorded(None).unwrap().stage, Stage::RolledBack);
    // An instance that starts later finds the decision without its order.
    assert_eq!(side(&gate(&[(None, running)]), "v2"), None);
}

#[test]
fn a_decision_that_a_restored_store_lacks_stays_in_force_and_is_written_again() {
    for stage in [Stage::Running(6), Stage::Completed, Stage::RolledBack] {
        let decided = Some(("v2", stage));
        let gate = gate(&[(Some("v2"), decided), (Some("v2"), None)]);
        assert_eq!(gate.stage(&version("v2")), Some(stage));
        let unrecorded = gate.unrecorded(None).unwrap();
        assert_eq!(
            (unrecorded.version, unrecorded.stage),
            (version("v2"), stage)
        );
        let recorded = decision("v2", stage);
        assert_eq!(gate.unrecorded(Some(&recorded)), None);
    }
}

#[test]
fn an_earlier_stage_in_a_restored_store_takes_no_completed_version_back() {
    let gate = gate(&[
        (Some("v2"), Some(("v2", Stage::Completed))),
        (Some("v2"), Some(("v2", Stage::Running(25)))),
    ]);
    assert_eq!(gate.stage(&version("v2")), Some(Stage::Completed));
    let stored = decision("v2", Stage::Running(25));
    assert_eq!(
        gate.unrecorded(Some(&stored)).unwrap().stage,
        Stage::Completed
    );
}

#[test]
fn targets_of_versions_before_get_nothing_once_completed_unless_they_start_later() {
    let mut gate = Gate::new(0.0);
    let completed = decision("v2", Stage::Completed);
    assert!(gate.update(Some(&order("v2")), Some(&completed)));
    gate.retire([7]);
    assert!(!gate.update(Some(&order("v2")), Some(&completed)));
    assert_eq!(gate.side(7, Some(&version("v1"))), None);
    assert_eq!(gate.side(8, Some(&version("v1"))), Some(Side::Old));
    assert_eq!(gate.side(9, Some(&version("v2"))), Some(Side::Old));
}

#[test]
fn a_completed_decision_of_the_store_goes_before_news_of_a_roll_back() {
    let mut gate = gate(&[(Some("v2"), Some(("v2", Stage::Running(100))))]);
    assert!(gate.roll_back(&version("v2")));
    assert_eq!(side(&gate, "v2"), None);
    gate.update(Some(&order("v2")), Some(&decision("v2", Stage::Completed)));
    assert_eq!(side(&gate, "v2"), Some(Side::Old));
    assert!(!gate.roll_back(&version("v2")));
}

#[test]
fn the_sample_goes_to_a_few_targets() {
    let gate = gate(&[(Some("v2"), Some(("v2", Stage::Running(6))))]);
    assert_eq!(gate.sample_targets(190), 6);
    assert_eq!(gate.sample_targets(3), 2);
}

/// The store's records as they may come: in order, lost and written again.
#[test]
fn a_version_that_the_store_rolled_back_gets_nothing_again() {
    arbtest::arbtest(|u| {
        let mut gate = Gate::new(0.5);
        let mut rolled_back = HashSet::new();
        for _ in 0..u.int_in_range(1..=20)? {
            let ordered = choose(u)?.map(order);
            let decided = arbitrary_decision(u, &rolled_back)?;
            if let Some(decided) = &decided
                && decided.stage == Stage::RolledBack
            {
                rolled_back.insert(decided.version.clone());
            }
            gate.update(ordered.as_ref(), decided.as_ref());
            if u.ratio(1, 4)? {
                gate.roll_back(&version(u.choose(&VERSIONS)?));
            }
            for version in &rolled_back {
                assert_eq!(gate.side(1, Some(version)), None, "{gate:?}");
            }
            if let Some(ordered) = gate.ordered()
                && gate.share() == 0
                && gate.stage(ordered) != Some(Stage::Completed)
            {
                assert_eq!(gate.side(1, Some(ordered)), None, "{gate:?}");
            }
        }
        Ok(())
    });
}

fn choose(u: &mut Unstructured<'_>) -> Result<Option<&'static str>> {
    Ok(if u.ratio(1, 4)? {
        None
    } else {
        Some(*u.choose(&VERSIONS)?)
    })
}

/// A decision that is possible after these versions were rolled back.
fn arbitrary_decision(
    u: &mut Unstructured<'_>,
    rolled_back: &HashSet<VersionName>,
) -> Result<Option<RolloutDecision>> {
    let Some(name) = choose(u)? else {
        return Ok(None);
    };
    let stage = match u.int_in_range(0..=4)? {
        0 => Stage::RolledBack,
        1 => Stage::Completed,
        _ => Stage::Running(u.int_in_range(1..=100)?),
    };
    let is_possible = stage != Stage::Completed || !rolled_back.contains(&version(name));
    Ok(is_possible.then(|| decision(name, stage)))
}

/// Restarted instances begin at other points; an old view only lowers the share.
#[test]
fn the_share_holds_as_a_sum_over_all_instances() {
    arbtest::arbtest(|u| {
        let percent: u8 = u.int_in_range(1..=30)?;
        let stage = Stage::Running(percent);
        let mut sampled = 0;
        let mut requests = 0;
        for _ in 0..150 {
            let mut gate = Gate::new(f64::from(u.int_in_range(0..=999_u32)?) / 1000.0);
            gate.update(Some(&order("v2")), Some(&decision("v2", stage)));
            for _ in 0..u.int_in_range(0..=200_u32)? {
                requests += 1;
                sampled += u32::from(gate.prefer_first(true) == Preference::Sample);
            }
        }
        let limit = f64::from(requests) * f64::from(percent) / 100.0 + 150.0;
        assert!(
            f64::from(sampled) <= limit,
            "{sampled} of {requests} at {percent} %"
        );
        Ok(())
    });
}

#[test]
fn the_targets_of_the_sample_take_turns() {
    for start in [0.0, 0.37, 0.999] {
        let mut gate = Gate::new(start);
        gate.update(
            Some(&order("v2")),
            Some(&decision("v2", Stage::Running(50))),
        );
        let mut turns = [0; 3];
        for _ in 0..120 {
            if gate.prefer_first(true) == Preference::Sample {
                turns[gate.sample_turn(3)] += 1;
            }
        }
        assert!(
            turns.iter().all(|count| (15..=25).contains(count)),
            "{turns:?}"
        );
    }
    assert_eq!(Gate::new(0.5).sample_turn(0), 0);
}
