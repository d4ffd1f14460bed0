use super::*;

fn history_of(outcomes: &[AttemptOutcome]) -> AttemptHistory {
    let mut history = AttemptHistory::default();
    for outcome in outcomes {
        history.record(*outcome);
    }
    history
}

fn next_step(outcomes: &[AttemptOutcome], retry_safety: RetrySafety) -> NextStep {
    next(
        *outcomes.last().unwrap(),
        retry_safety,
        history_of(outcomes),
        2,
    )
}

#[test]
fn a_request_that_may_have_run_is_retried_only_if_idempotent() {
    use AttemptOutcome::{Lost, NotRun, NotSent, TargetFailed};
    for outcome in [Lost, TargetFailed] {
        assert_eq!(
            next_step(&[outcome], RetrySafety::Safe),
            NextStep::RetryWithinBudget
        );
        assert!(!matches!(
            next_step(&[outcome], RetrySafety::Never),
            NextStep::Retry | NextStep::RetryWithinBudget | NextStep::Refuse
        ));
    }
    for retry_safety in [RetrySafety::Safe, RetrySafety::Never] {
        assert_eq!(next_step(&[NotSent], retry_safety), NextStep::Retry);
        assert_eq!(
            next_step(&[NotRun], retry_safety),
            NextStep::RetryWithinBudget
        );
    }
}

#[test]
fn a_request_is_refused_only_if_no_target_can_have_run_it() {
    use AttemptOutcome::{Answered, Blocked, Declined, Lost, NotRun, NotSent, TargetFailed};
    arbtest::arbtest(|u| {
        let all = [
            NotSent,
            Declined,
            Blocked,
            NotRun,
            Answered,
            TargetFailed,
            Lost,
        ];
        let mut outcomes = Vec::new();
        for _ in 0..u.int_in_range(1..=6_u8)? {
            outcomes.push(*u.choose(&all)?);
        }
        let retry_safety = if u.arbitrary()? {
            RetrySafety::Safe
        } else {
            RetrySafety::Never
        };
        let next_steps = [
            next_step(&outcomes, retry_safety),
            without_retry(*outcomes.last().unwrap(), history_of(&outcomes)),
        ];
        let may_have_run = outcomes
            .iter()
            .any(|outcome| !matches!(outcome, NotSent | Declined | Blocked | NotRun));
        assert!(
            !next_steps.contains(&NextStep::Refuse) || !may_have_run,
            "{outcomes:?}"
        );
        Ok(())
    });
}

#[test]
fn retries_are_limited() {
    use AttemptOutcome::{Lost, NotRun, NotSent};
    assert_eq!(next_step(&[Lost, Lost], RetrySafety::Safe), NextStep::Fail);
    assert_eq!(
        next_step(&[NotSent; 4], RetrySafety::Safe),
        NextStep::Refuse
    );
    assert_eq!(
        next_step(&[NotRun; 4], RetrySafety::Never),
        NextStep::Refuse
    );
    assert_eq!(
        next_step(&[Lost, NotRun, NotRun, NotRun], RetrySafety::Safe),
        NextStep::Fail
    );
}
