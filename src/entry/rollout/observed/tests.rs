use super::*;

const TYPICAL: Duration = Duration::from_millis(100);

fn conditions() -> Conditions {
    Conditions {
        service_time: TYPICAL,
        slowness: 1.0,
        occupied: 0.0,
        slots: 4.0,
        cold: false,
        proven_connection: true,
    }
}

fn after(conditions: &Conditions, outcome: AttemptOutcome, millis: u64) -> Option<Response> {
    conditions.judge(outcome, Duration::from_millis(millis))
}

#[test]
fn a_response_is_slow_beyond_what_load_and_machine_explain() {
    let idle = conditions();
    assert_eq!(
        after(&idle, AttemptOutcome::Answered, 290),
        Some(Response::Good)
    );
    assert_eq!(
        after(&idle, AttemptOutcome::Answered, 310),
        Some(Response::Slow)
    );
    let slow_machine = Conditions {
        slowness: 4.0,
        ..idle
    };
    assert_eq!(
        after(&slow_machine, AttemptOutcome::Answered, 1100),
        Some(Response::Good)
    );
    let queued = Conditions {
        occupied: 7.0,
        ..idle
    };
    assert_eq!(
        after(&queued, AttemptOutcome::Answered, 590),
        Some(Response::Good)
    );
    assert_eq!(
        after(&queued, AttemptOutcome::Answered, 610),
        Some(Response::Slow)
    );
}

#[test]
fn what_has_another_cause_than_the_version_says_nothing() {
    let cold = Conditions {
        cold: true,
        ..conditions()
    };
    assert_eq!(after(&cold, AttemptOutcome::Answered, 900), None);
    assert_eq!(after(&cold, AttemptOutcome::NotRun, 1), None);
    let full = Conditions {
        occupied: 4.0,
        ..conditions()
    };
    assert_eq!(after(&full, AttemptOutcome::NotRun, 1), None);
    let unproven = Conditions {
        proven_connection: false,
        ..conditions()
    };
    assert_eq!(after(&unproven, AttemptOutcome::Lost, 1), None);
    assert_eq!(after(&conditions(), AttemptOutcome::NotSent, 1), None);
}

#[test]
fn failures_and_refusals_with_free_slots_count() {
    for outcome in [
        AttemptOutcome::TargetFailed,
        AttemptOutcome::Lost,
        AttemptOutcome::NotRun,
    ] {
        assert_eq!(after(&conditions(), outcome, 1), Some(Response::Failed));
    }
}

#[test]
fn a_cancelled_attempt_counts_once_it_is_slow() {
    let cancelled = |millis| conditions().judge_cancelled(Duration::from_millis(millis));
    assert_eq!(cancelled(250), None);
    assert_eq!(cancelled(310), Some(Response::Slow));
}

/// Targets may report any numbers.
#[test]
fn absurd_loads_are_judged_without_overflow() {
    let absurd = Conditions {
        service_time: Duration::from_secs(3600),
        slowness: f64::from(u32::MAX),
        occupied: f64::from(u32::MAX),
        slots: 1.0,
        ..conditions()
    };
    let response = after(&absurd, AttemptOutcome::Answered, 100);
    assert_eq!(response, Some(Response::Good));
}
