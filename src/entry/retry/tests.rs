use super::*;

fn after(outcomes: &[AttemptOutcome]) -> AttemptHistory {
    let mut history = AttemptHistory::default();
    for outcome in outcomes {
        history.record(*outcome);
    }
    history
}

fn last(outcomes: &[AttemptOutcome], retry_safety: RetrySafety) -> NextStep {
    next(*outcomes.last().unwrap(), retry_safety, after(outcomes), 2)
}

#[test]
fn a_request_that_may_have_run_is_repeated_only_when_it_is_idempotent() {
    use AttemptOutcome::{Lost, NotRun, NotSent, TargetFailed};
    for outcome in [Lost, TargetFailed] {
        assert_eq!(
            last(&[outcome], RetrySafety::Safe),
            NextStep::RetryWithinBudget
        );
        assert!(!matches!(
            last(&[outcome], RetrySafety::Never),
            NextStep::Retry | NextStep::RetryWithinBudget | NextStep::Refuse
        ));
    }
    for retry_safety in [RetrySafety::Safe, RetrySafety::Never] {
        assert_eq!(last(&[NotSent], retry_safety), NextStep::Retry);
        assert_eq!(last(&[NotRun], retry_safety), NextStep::RetryWithinBudget);
    }
}

#[test]
fn not_run_is_said_only_when_no_target_can_have_run_it() {
    arbtest::arbtest(|u| {
        let all = [
            AttemptOutcome::NotSent,
            AttemptOutcome::NotRun,
            AttemptOutcome::Answered,
            AttemptOutcome::TargetFailed,
            AttemptOutcome::Lost,
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
        let said = [
            last(&outcomes, retry_safety),
            without_retry(*outcomes.last().unwrap(), after(&outcomes)),
        ];
        let may_have_run = outcomes
            .iter()
            .any(|outcome| !matches!(outcome, AttemptOutcome::NotSent | AttemptOutcome::NotRun));
        assert!(
            !said.contains(&NextStep::Refuse) || !may_have_run,
            "{outcomes:?}"
        );
        Ok(())
    });
}

#[test]
fn attempts_end() {
    use AttemptOutcome::{Lost, NotRun, NotSent};
    assert_eq!(last(&[Lost, Lost], RetrySafety::Safe), NextStep::Fail);
    assert_eq!(last(&[NotSent; 4], RetrySafety::Safe), NextStep::Refuse);
    assert_eq!(last(&[NotRun; 4], RetrySafety::Never), NextStep::Refuse);
    assert_eq!(
        last(&[Lost, NotRun, NotRun, NotRun], RetrySafety::Safe),
        NextStep::Fail
    );
}
