use super::*;

const TYPICAL: Duration = Duration::from_millis(220);
const OBJECTIVE: Duration = Duration::from_millis(600);
const TICK: Duration = Duration::from_millis(50);

/// Replays an attempt whose target has the given slowness in each tick; returns the
/// time at which a second attempt at a target of usual speed pays.
fn first_hedge(slowness: impl Fn(u32) -> f64) -> Option<Duration> {
    let mut progress = Progress::default();
    (1..12).find_map(|tick| {
        let now = slowness(tick);
        progress.advance(TICK, TYPICAL, now);
        let elapsed = TICK * tick;
        let left = OBJECTIVE.checked_sub(elapsed)?;
        let current = progress.remaining(TYPICAL, now);
        is_worthwhile(current, TYPICAL, left).then_some(elapsed)
    })
}

#[test]
fn a_target_that_slows_down_early_is_hedged_as_soon_as_it_is_known() {
    let slows_at = |start| move |tick| if tick >= start { 7.0 } else { 1.0 };
    assert_eq!(first_hedge(slows_at(1)), Some(TICK));
    assert_eq!(first_hedge(slows_at(3)), Some(TICK * 3));
}

#[test]
fn an_attempt_that_goes_well_or_is_nearly_done_is_left_alone() {
    assert_eq!(first_hedge(|tick| if tick >= 5 { 2.0 } else { 1.0 }), None);
    let mut progress = Progress::default();
    progress.advance(TYPICAL.mul_f64(0.9), TYPICAL, 1.0);
    let current = progress.remaining(TYPICAL, 7.0);
    assert!(!is_worthwhile(current, TYPICAL, Duration::from_millis(400)));
}

#[test]
fn an_attempt_that_never_answers_is_hedged_while_there_is_time() {
    let stuck = first_hedge(|_| 1.0).unwrap();
    assert_eq!(stuck, TICK * 7);
}

#[test]
fn no_second_attempt_is_sent_when_it_would_be_late_too() {
    assert!(!is_worthwhile(None, TYPICAL, Duration::from_millis(200)));
}
