use super::*;
use crate::entry::target::load::Load;
use crate::entry::target::load_curve::LoadCurve;

const NOW: Time = Time::from_secs(10);

fn target(id: &str) -> Target {
    Target {
        id: id.into(),
        service: "s".into(),
        address: ([10, 0, 0, 1], 80).into(),
        zone: "a".into(),
        slots: 6,
        leaving: false,
        cold_for: Duration::ZERO,
        started_ms: 1,
        version: None,
    }
}

fn table(target: Target) -> TargetTable {
    let mut table = TargetTable::default();
    table.put(NOW, target);
    table
}

fn unusable_reason(table: &mut TargetTable, now: Time) -> Option<UnusableReason> {
    let evacuated = table.evacuated().clone();
    let view = table.get_mut(&"t".into())?;
    view.unusable_reason(now, &evacuated, |_| 2)
}

fn load(running: u32, slowness_percent: u32) -> Load {
    Load {
        running,
        waiting: 0,
        slots: 6,
        slowness_percent,
    }
}

/// The store may lose a record for a while, or the instance may learn of it late.
#[test]
fn a_run_that_says_that_it_is_leaving_stays_left_out() {
    let mut table = TargetTable::default();
    let run = target_key(&"t".into(), 1);
    table.record_leaving(NOW, run);
    for _ in 0..2 {
        table.put(NOW, target("t"));
        let reason = unusable_reason(&mut table, NOW);
        assert_eq!(reason, Some(UnusableReason::Leaving));
        table.remove(NOW, &"t".into(), None);
        table.drop_removed(NOW);
    }
    table.put(
        NOW,
        Target {
            started_ms: 2,
            ..target("t")
        },
    );
    assert_eq!(unusable_reason(&mut table, NOW), None);
}

#[test]
fn a_pause_ends_with_its_time_or_with_the_run() {
    let mut table = table(target("t"));
    let wanted = Duration::from_secs(3);
    let view = table.get_mut(&"t".into()).unwrap();
    view.notice.record_pause(NOW, wanted);
    assert!(!view.try_check(NOW));
    table.remove(NOW, &"t".into(), None);
    table.drop_removed(NOW);
    table.put(NOW, target("t"));
    let reason = unusable_reason(&mut table, NOW);
    assert_eq!(reason, Some(UnusableReason::Paused(wanted)));
    assert_eq!(unusable_reason(&mut table, NOW.after(wanted)), None);
    table.put(
        NOW,
        Target {
            started_ms: 2,
            ..target("t")
        },
    );
    assert_eq!(unusable_reason(&mut table, NOW), None);
}

#[test]
fn a_leaving_or_removed_target_gets_no_requests() {
    let mut table = table(Target {
        leaving: true,
        ..target("t")
    });
    assert_eq!(
        unusable_reason(&mut table, NOW),
        Some(UnusableReason::Leaving)
    );
    table.put(NOW, target("t"));
    assert_eq!(unusable_reason(&mut table, NOW), None);
    table.remove(NOW, &"t".into(), None);
    assert_eq!(
        unusable_reason(&mut table, NOW),
        Some(UnusableReason::Leaving)
    );
}

#[test]
fn a_target_with_an_expired_lease_is_kept_until_it_could_register_again() {
    let mut table = table(target("t"));
    table.remove(NOW, &"t".into(), Some(NOW.after(LAPSED_RETENTION)));
    assert_eq!(
        unusable_reason(&mut table, NOW.after(Duration::from_secs(2))),
        None
    );
    let late = NOW.after(Duration::from_millis(2300));
    assert_eq!(
        unusable_reason(&mut table, late),
        Some(UnusableReason::Leaving)
    );
    table.put(late, target("t"));
    assert_eq!(unusable_reason(&mut table, late), None);
}

#[test]
fn targets_of_an_evacuated_zone_get_no_requests() {
    let mut table = table(target("t"));
    table.set_evacuated("a".into(), true);
    assert_eq!(
        unusable_reason(&mut table, NOW),
        Some(UnusableReason::Evacuated)
    );
    table.set_evacuated("a".into(), false);
    assert_eq!(unusable_reason(&mut table, NOW), None);
}

#[test]
fn a_cold_target_gets_its_allowance_per_window() {
    let mut table = table(Target {
        cold_for: Duration::from_secs(3),
        ..target("t")
    });
    for _ in 0..2 {
        assert_eq!(unusable_reason(&mut table, NOW), None);
        table.get_mut(&"t".into()).unwrap().record_cold_request(NOW);
    }
    assert_eq!(unusable_reason(&mut table, NOW), Some(UnusableReason::Cold));
    let second_later = NOW.after(Duration::from_secs(1));
    assert_eq!(
        unusable_reason(&mut table, second_later),
        Some(UnusableReason::Cold)
    );
    assert_eq!(
        unusable_reason(&mut table, NOW.after(Duration::from_millis(1200))),
        None
    );
}

#[test]
fn two_failed_probes_mark_a_target_down_unless_it_responds_to_this_instance() {
    let mut table = table(target("t"));
    let view = table.get_mut(&"t".into()).unwrap();
    view.record_health(NOW, Health::Unreachable);
    assert_eq!(unusable_reason(&mut table, NOW), None);
    let view = table.get_mut(&"t".into()).unwrap();
    view.record_health(NOW, Health::Unreachable);
    assert_eq!(unusable_reason(&mut table, NOW), Some(UnusableReason::Down));
    table.get_mut(&"t".into()).unwrap().record_response(NOW);
    assert_eq!(unusable_reason(&mut table, NOW), None);
}

#[test]
fn occupancy_includes_own_requests_since_the_report() {
    let mut table = table(target("t"));
    let view = table.get_mut(&"t".into()).unwrap();
    view.in_flight = 2;
    view.record_load(NOW, load(5, 100));
    view.in_flight = 4;
    assert!((view.occupied() - 7.0).abs() < f64::EPSILON);
    view.in_flight = 1;
    assert!((view.occupied() - 4.0).abs() < f64::EPSILON);
}

/// A busy instance reads a response late; such a time kept requests from the target, which
/// could have corrected it.
#[test]
fn the_shortest_round_trip_to_a_target_counts() {
    let mut table = table(target("t"));
    let view = table.get_mut(&"t".into()).unwrap();
    for (took_ms, expected_ms) in [(9, 9), (2, 2), (40, 2)] {
        view.record_round_trip(Duration::from_millis(took_ms));
        let candidate = view.candidate(NOW, &"a".into(), &LoadCurve::default());
        assert_eq!(candidate.round_trip, Duration::from_millis(expected_ms));
    }
}

#[test]
fn slowness_of_an_old_report_is_ignored() {
    let mut table = table(target("t"));
    let view = table.get_mut(&"t".into()).unwrap();
    view.record_load(NOW, load(1, 700));
    let slowness = |view: &TargetState, now| {
        let curve = LoadCurve::default();
        view.candidate(now, &"a".into(), &curve).slowness_percent
    };
    assert_eq!(slowness(view, NOW), Some(700.0));
    assert_eq!(slowness(view, NOW.after(Duration::from_secs(1))), None);
    view.record_load(NOW.before(Duration::from_millis(50)), load(0, 100));
    assert_eq!(slowness(view, NOW), Some(700.0));
}

#[test]
fn a_restarted_target_gets_a_new_view() {
    let mut table = table(target("t"));
    table.get_mut(&"t".into()).unwrap().in_flight = 3;
    table.put(
        NOW,
        Target {
            started_ms: 2,
            version: None,
            ..target("t")
        },
    );
    assert_eq!(table.get(&"t".into()).unwrap().in_flight, 0);
}

/// The requests of an earlier run end after the new run is registered.
#[test]
fn a_restart_leaves_one_key_for_each_target() {
    let mut table = table(target("t"));
    let earlier = table.get(&"t".into()).unwrap().key;
    for started_ms in 2..10 {
        let target = target("t");
        table.put(
            NOW,
            Target {
                started_ms,
                ..target
            },
        );
    }
    let run = table.get(&"t".into()).unwrap().key;
    table.run_mut(run).unwrap().in_flight = 1;
    assert!(table.run_mut(earlier).is_none());
    assert_eq!(table.by_key.len(), 1);
}

/// A probe of the earlier run may end, or a peer's heartbeat with its result arrive, after
/// the new run is registered.
#[test]
fn late_reports_on_an_earlier_run_leave_the_view_of_the_new_run_unchanged() {
    let mut table = table(target("t"));
    let earlier_key = table.get(&"t".into()).unwrap().key;
    table.put(
        NOW,
        Target {
            started_ms: 2,
            version: None,
            ..target("t")
        },
    );
    let report = |target: u64, health: Health| TargetReport {
        target,
        load: Some(load(5, 700)),
        cold_ms: 3000,
        health,
        age_ms: 0,
    };
    table.apply_report(NOW, &report(earlier_key, Health::Bad));
    table.apply_report(NOW, &report(earlier_key, Health::Unreachable));
    table.apply_report(NOW, &report(earlier_key, Health::Unreachable));
    let view = table.get(&"t".into()).unwrap();
    assert_eq!(
        (
            view.load_report.is_some(),
            view.is_cold(NOW),
            view.health,
            view.probed_at,
        ),
        (false, false, Health::Good, None),
        "load known, cold, health, time of the last probe"
    );
    assert_eq!(unusable_reason(&mut table, NOW), None);
    assert_eq!(table.address_by_key(earlier_key), None);

    let new_key = table.get(&"t".into()).unwrap().key;
    table.apply_report(NOW, &report(new_key, Health::Bad));
    let view = table.get(&"t".into()).unwrap();
    assert_eq!(view.health, Health::Bad, "reports on the new run count");
}

#[test]
fn a_service_is_emptied_by_the_removal_of_all_that_would_stay() {
    let mut table = TargetTable::default();
    let targets: Vec<_> = (0..3).map(|number| target(&format!("t{number}"))).collect();
    for target in &targets {
        table.put(NOW, target.clone());
    }
    let removed = |count: usize| -> Vec<Applied> {
        targets[..count]
            .iter()
            .map(|target| Applied::Removed("key".into(), Record::Target(target.clone())))
            .collect()
    };
    assert!(table.emptied_services(&removed(2)).is_empty());
    assert_eq!(table.emptied_services(&removed(3)).len(), 1);
    let mut replaced = removed(3);
    replaced.push(Applied::Put("t3".into(), Record::Target(target("t3"))));
    assert!(table.emptied_services(&replaced).is_empty());
    table.put(
        NOW,
        Target {
            leaving: true,
            ..target("t2")
        },
    );
    assert_eq!(table.emptied_services(&removed(2)).len(), 1);
}
