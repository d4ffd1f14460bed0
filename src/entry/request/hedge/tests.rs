use super::*;

const SERVICE_TIME: Duration = Duration::from_millis(220);
const OBJECTIVE: Duration = Duration::from_millis(600);
/// Time that the caller has.
const PATIENCE: Duration = Duration::from_secs(2);
const TICK: Duration = Duration::from_millis(50);

/// Simulates an attempt whose target has the given slowness in each tick; returns when
/// a hedge to a target of usual speed becomes worthwhile. It ends with its work if it
/// `responds`.
fn first_hedge(responds: bool, slowness: impl Fn(u32) -> f64) -> Option<Duration> {
    let mut progress = Progress::default();
    (1..40).find_map(|tick| {
        let now = slowness(tick);
        progress.advance(TICK, SERVICE_TIME, now);
        if responds && progress.done >= 1.0 {
            return None;
        }
        let elapsed = TICK * tick;
        let deadline_left = PATIENCE.checked_sub(elapsed)?;
        let objective_left = OBJECTIVE.saturating_sub(elapsed);
        let current = progress.remaining(SERVICE_TIME, now);
        is_worthwhile(current, SERVICE_TIME, objective_left, deadline_left).then_some(elapsed)
    })
}

#[test]
fn a_target_that_becomes_slow_early_is_hedged_at_the_next_check() {
    let slows_at = |start| move |tick| if tick >= start { 7.0 } else { 1.0 };
    assert_eq!(first_hedge(true, slows_at(1)), Some(TICK));
    assert_eq!(first_hedge(true, slows_at(3)), Some(TICK * 3));
}

#[test]
fn an_attempt_that_is_fast_or_nearly_done_is_not_hedged() {
    assert_eq!(
        first_hedge(true, |tick| if tick >= 5 { 2.0 } else { 1.0 }),
        None
    );
    let mut progress = Progress::default();
    progress.advance(SERVICE_TIME.mul_f64(0.9), SERVICE_TIME, 1.0);
    let current = progress.remaining(SERVICE_TIME, 7.0);
    assert!(!is_worthwhile(
        current,
        SERVICE_TIME,
        Duration::from_millis(400),
        PATIENCE
    ));
}

#[test]
fn an_attempt_without_a_response_is_hedged_while_there_is_time() {
    let stalled = first_hedge(false, |_| 1.0).unwrap();
    assert_eq!(stalled, TICK * 7);
}

/// Callers wait until their deadlines, so a late response still helps them.
#[test]
fn a_request_is_hedged_after_its_objective_if_that_answers_it_sooner() {
    let slow = |tick| if tick >= 3 { 40.0 } else { 1.0 };
    let mut progress = Progress::default();
    for tick in 1..20 {
        progress.advance(TICK, SERVICE_TIME, slow(tick));
    }
    let current = progress.remaining(SERVICE_TIME, slow(20));
    let hedge = |alternative_ms, deadline_left_ms| {
        is_worthwhile(
            current,
            Duration::from_millis(alternative_ms),
            Duration::ZERO,
            Duration::from_millis(deadline_left_ms),
        )
    };
    assert!(hedge(220, 1_050));
    assert!(!hedge(220, 219), "it would end after the deadline");
    assert!(!hedge(9_000, 20_000), "the other target is no faster");
}
