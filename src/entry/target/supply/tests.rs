use super::*;
use crate::entry::shared::Shared;
use crate::entry::target::load::Load;
use crate::entry::testing::instance_with;
use crate::names::TargetId;

const SERVICE_TIME: Duration = Duration::from_millis(100);

/// An instance without peers, with two targets of six slots each.
fn two_targets() -> std::sync::Arc<Shared> {
    let address = ([127, 0, 0, 1], 9).into();
    instance_with(&[("t0", address), ("t1", address)])
}

fn supply(shared: &Shared, now: Time) -> Supply {
    shared.state().supply(now, &"s".into(), SERVICE_TIME)
}

fn change(shared: &Shared, id: &str, change: impl FnOnce(&mut TargetState)) {
    change(shared.state().targets.get_mut(&TargetId::from(id)).unwrap());
}

fn report(view: &mut TargetState, now: Time, slowness_percent: u32) {
    let load = Load {
        running: 6,
        waiting: 0,
        slots: 6,
        slowness_percent,
    };
    view.record_load(now, load);
}

/// Slots of usual speed.
fn usual_slots(supply: &Supply) -> f64 {
    as_f64(supply.free_in.len()) * supply.speed
}

#[test]
fn an_instance_counts_on_the_slots_of_targets_that_take_requests() {
    let shared = two_targets();
    let now = Time::from_secs(100);
    assert_eq!(supply(&shared, now).free_in.len(), 12);
    change(&shared, "t0", |view| view.mark_down(now));
    assert_eq!(supply(&shared, now).free_in.len(), 6);
    change(&shared, "t1", |view| view.mark_down(now));
    assert_eq!(supply(&shared, now).free_in, []);
}

/// Requests of a burst start, and end, together.
#[test]
fn own_slots_become_free_when_their_requests_should_end() {
    let shared = two_targets();
    let now = Time::from_secs(100);
    let end = now.after(Duration::from_millis(70));
    change(&shared, "t0", |view| view.ends = vec![end; 12]);
    assert_eq!(
        supply(&shared, now).free_in,
        [Duration::from_millis(70); 12]
    );
    let later = end.after(Duration::from_millis(10));
    let overdue = [Duration::from_millis(10); 12];
    assert_eq!(supply(&shared, later).free_in, overdue);
}

#[test]
fn all_targets_that_want_a_pause_open_when_the_first_one_ends() {
    let shared = two_targets();
    let now = Time::from_secs(100);
    for (id, seconds) in [("t0", 3), ("t1", 2)] {
        let pause = Duration::from_secs(seconds);
        change(&shared, id, |view| {
            view.notice.record_pause(now, pause);
        });
    }
    let supply = supply(&shared, now);
    assert_eq!(supply.opens_in, Duration::from_secs(2));
    assert_eq!(supply.free_in.len(), 12);
}

/// A slow spell lasts shorter than requests wait.
#[test]
fn a_wait_meets_the_mean_speed_and_a_request_the_fastest_target() {
    let shared = two_targets();
    let start = Time::from_secs(100);
    let report_both = |now, percents: [u32; 2]| {
        for (id, percent) in ["t0", "t1"].into_iter().zip(percents) {
            change(&shared, id, |view| report(view, now, percent));
        }
        let supply = supply(&shared, now);
        (usual_slots(&supply), supply.slowdown)
    };
    let is_near = |seen: f64, expected: f64| (seen - expected).abs() < 0.1;
    let (slots, _) = report_both(start, [100, 100]);
    assert!(is_near(slots, 12.0), "{slots}");
    let soon = start.after(Duration::from_millis(100));
    let (slots, slowdown) = report_both(soon, [400, 400]);
    assert!((10.0..12.0).contains(&slots), "{slots}");
    assert!(is_near(slowdown, 4.0), "{slowdown}");
    let (slots, slowdown) = report_both(soon.after(Duration::from_secs(10)), [400, 100]);
    assert!(is_near(slots, 7.5), "{slots}");
    assert!(is_near(slowdown, 1.0), "{slowdown}");
}

#[test]
fn a_cold_target_counts_by_the_rate_that_it_takes() {
    let shared = two_targets();
    let now = Time::from_secs(100);
    change(&shared, "t0", |view| view.mark_down(now));
    change(&shared, "t1", |view| {
        view.set_cold_for(now, Duration::from_secs(5));
    });
    let cold = supply(&shared, now);
    // This instance may send it five in each window of 1.15 s, which take 0.1 s each.
    assert!(cold.opens_in.is_zero(), "{cold:?}");
    assert!((usual_slots(&cold) - 0.5 / 1.15).abs() < 0.01, "{cold:?}");
}

/// They counted as stopped, so that requests were refused once targets had warmed up.
#[test]
fn cold_targets_say_nothing_of_the_speed_of_others() {
    let shared = two_targets();
    let now = Time::from_secs(100);
    for id in ["t0", "t1"] {
        change(&shared, id, |view| {
            view.set_cold_for(now, Duration::from_millis(100));
        });
    }
    supply(&shared, now);
    let warm = supply(&shared, now.after(Duration::from_millis(200)));
    assert!((usual_slots(&warm) - 12.0).abs() < 0.01, "{warm:?}");
}
