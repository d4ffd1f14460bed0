use super::*;

const SERVICE_TIME: Duration = Duration::from_millis(220);
const OBJECTIVE: Duration = Duration::from_millis(600);
const TICK: Duration = Duration::from_millis(50);

/// Simulates an attempt whose target has the given slowness in each tick; returns when
/// a hedge to a target of usual speed becomes worthwhile.
fn first_hedge(slowness: impl Fn(u32) -> f64) -> Option<Duration> {
    let mut progress = Progress::default();
    (1..12).find_map(|tick| {
        let now = slowness(tick);
        progress.advance(TICK, SERVICE_TIME, now);
        let elapsed = TICK * tick;
        let left = OBJECTIVE.checked_sub(elapsed)?;
        let current = progress.remaining(SERVICE_TIME, now);
        is_worthwhile(current, SERVICE_TIME, left).then_some(elapsed)
    })
}

#[test]
fn a_target_that_becomes_slow_early_is_hedged_at_the_next_check() {
    let slows_at = |start| move |tick| if tick >= start { 7.0 } else { 1.0 };
    assert_eq!(first_hedge(slows_at(1)), Some(TICK));
    assert_eq!(first_hedge(slows_at(3)), Some(TICK * 3));
}

#[test]
fn an_attempt_that_is_fast_or_nearly_done_is_not_hedged() {
    assert_eq!(first_hedge(|tick| if tick >= 5 { 2.0 } else { 1.0 }), None);
    let mut progress = Progress::default();
    progress.advance(SERVICE_TIME.mul_f64(0.9), SERVICE_TIME, 1.0);
    let current = progress.remaining(SERVICE_TIME, 7.0);
    assert!(!is_worthwhile(
        current,
        SERVICE_TIME,
        Duration::from_millis(400)
    ));
}

#[test]
fn an_attempt_without_a_response_is_hedged_while_there_is_time() {
    let stalled = first_hedge(|_| 1.0).unwrap();
    assert_eq!(stalled, TICK * 7);
}

#[test]
fn no_hedge_is_sent_if_it_would_also_be_late() {
    assert!(!is_worthwhile(
        None,
        SERVICE_TIME,
        Duration::from_millis(200)
    ));
}
