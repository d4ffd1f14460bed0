use super::*;

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
    }
}

fn fleet(target: Target) -> Fleet {
    let mut fleet = Fleet::default();
    fleet.put(NOW, target);
    fleet
}

fn unusable(fleet: &mut Fleet, now: Time) -> Option<Unusable> {
    let evacuated = fleet.evacuated().clone();
    let view = fleet.get_mut(&"t".into())?;
    view.unusable(now, &evacuated, |_| 2)
}

fn load(running: u32, slowness_percent: u32) -> Load {
    Load {
        running,
        waiting: 0,
        slots: 6,
        slowness_percent,
    }
}

#[test]
fn a_leaving_or_removed_target_takes_nothing_at_once() {
    let mut fleet = fleet(Target {
        leaving: true,
        ..target("t")
    });
    assert_eq!(unusable(&mut fleet, NOW), Some(Unusable::Leaving));
    fleet.put(NOW, target("t"));
    assert_eq!(unusable(&mut fleet, NOW), None);
    fleet.remove(NOW, &"t".into(), false);
    assert_eq!(unusable(&mut fleet, NOW), Some(Unusable::Leaving));
}

#[test]
fn a_target_that_lapsed_with_the_store_is_kept_until_it_should_be_back() {
    let mut fleet = fleet(target("t"));
    fleet.remove(NOW, &"t".into(), true);
    assert_eq!(
        unusable(&mut fleet, NOW.after(Duration::from_secs(2))),
        None
    );
    let late = NOW.after(Duration::from_millis(2300));
    assert_eq!(unusable(&mut fleet, late), Some(Unusable::Leaving));
    fleet.put(late, target("t"));
    assert_eq!(unusable(&mut fleet, late), None);
}

#[test]
fn an_evacuated_zone_takes_nothing_until_it_is_taken_back() {
    let mut fleet = fleet(target("t"));
    fleet.evacuate("a".into(), true);
    assert_eq!(unusable(&mut fleet, NOW), Some(Unusable::Evacuated));
    fleet.evacuate("a".into(), false);
    assert_eq!(unusable(&mut fleet, NOW), None);
}

#[test]
fn a_cold_target_takes_its_allowance_in_a_window() {
    let mut fleet = fleet(Target {
        cold_for: Duration::from_secs(3),
        ..target("t")
    });
    for _ in 0..2 {
        assert_eq!(unusable(&mut fleet, NOW), None);
        fleet.get_mut(&"t".into()).unwrap().note_cold_send(NOW);
    }
    assert_eq!(unusable(&mut fleet, NOW), Some(Unusable::Cold));
    let second_later = NOW.after(Duration::from_secs(1));
    assert_eq!(unusable(&mut fleet, second_later), Some(Unusable::Cold));
    assert_eq!(
        unusable(&mut fleet, NOW.after(Duration::from_millis(1200))),
        None
    );
}

#[test]
fn a_target_that_two_probes_missed_is_down_unless_it_answers_here() {
    let mut fleet = fleet(target("t"));
    let view = fleet.get_mut(&"t".into()).unwrap();
    view.note_health(NOW, Health::Unreachable);
    assert_eq!(unusable(&mut fleet, NOW), None);
    let view = fleet.get_mut(&"t".into()).unwrap();
    view.note_health(NOW, Health::Unreachable);
    assert_eq!(unusable(&mut fleet, NOW), Some(Unusable::Down));
    fleet.get_mut(&"t".into()).unwrap().note_answer(NOW);
    assert_eq!(unusable(&mut fleet, NOW), None);
}

#[test]
fn occupancy_follows_own_requests_since_the_report() {
    let mut fleet = fleet(target("t"));
    let view = fleet.get_mut(&"t".into()).unwrap();
    view.in_flight = 2;
    view.note_load(NOW, load(5, 100));
    view.in_flight = 4;
    assert!((view.occupied() - 7.0).abs() < f64::EPSILON);
    view.in_flight = 1;
    assert!((view.occupied() - 4.0).abs() < f64::EPSILON);
}

#[test]
fn an_old_report_says_nothing_of_slowness() {
    let mut fleet = fleet(target("t"));
    let view = fleet.get_mut(&"t".into()).unwrap();
    view.note_load(NOW, load(1, 700));
    let slowness = |view: &View, now| view.candidate(now, &"a".into()).slowness_percent;
    assert_eq!(slowness(view, NOW), Some(700.0));
    assert_eq!(slowness(view, NOW.after(Duration::from_secs(1))), None);
    view.note_load(NOW.before(Duration::from_millis(50)), load(0, 100));
    assert_eq!(slowness(view, NOW), Some(700.0));
}

#[test]
fn a_new_run_of_a_target_begins_anew() {
    let mut fleet = fleet(target("t"));
    fleet.get_mut(&"t".into()).unwrap().in_flight = 3;
    fleet.put(
        NOW,
        Target {
            started_ms: 2,
            ..target("t")
        },
    );
    assert_eq!(fleet.get(&"t".into()).unwrap().in_flight, 0);
}

#[test]
fn half_of_a_services_targets_removed_at_once_have_lapsed() {
    let mut fleet = Fleet::default();
    let targets: Vec<_> = (0..5).map(|number| target(&format!("t{number}"))).collect();
    for target in &targets {
        fleet.put(NOW, target.clone());
    }
    let removed = |count: usize| -> Vec<Applied> {
        targets[..count]
            .iter()
            .map(|target| Applied::Removed("key".into(), Record::Target(target.clone())))
            .collect()
    };
    assert!(fleet.lapsed_services(&removed(2)).is_empty());
    assert_eq!(fleet.lapsed_services(&removed(3)).len(), 1);
    let mut pair = Fleet::default();
    pair.put(NOW, target("t0"));
    assert!(pair.lapsed_services(&removed(1)).is_empty());
}
