use super::*;

fn after(outcomes: &[AttemptOutcome]) -> AttemptHistory {
    let mut history = AttemptHistory::default();
    for outcome in outcomes {
        history.record(*outcome);
    }
    history
}

fn last(outcomes: &[AttemptOutcome], repeat: Repeat) -> NextStep {
    next(*outcomes.last().unwrap(), repeat, after(outcomes), 2)
}

#[test]
fn a_request_that_may_have_run_is_repeated_only_when_it_is_idempotent() {
    use AttemptOutcome::{Lost, NotRun, NotSent, TargetFailed};
    for outcome in [Lost, TargetFailed] {
        assert_eq!(last(&[outcome], Repeat::Safe), NextStep::RetryWithinBudget);
        assert!(!matches!(
            last(&[outcome], Repeat::Never),
            NextStep::Retry | NextStep::RetryWithinBudget | NextStep::Refuse
        ));
    }
    for repeat in [Repeat::Safe, Repeat::Never] {
        assert_eq!(last(&[NotSent], repeat), NextStep::Retry);
        assert_eq!(last(&[NotRun], repeat), NextStep::RetryWithinBudget);
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
        let repeat = if u.arbitrary()? {
            Repeat::Safe
        } else {
            Repeat::Never
        };
        let said = [
            last(&outcomes, repeat),
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
    assert_eq!(last(&[Lost, Lost], Repeat::Safe), NextStep::Fail);
    assert_eq!(last(&[NotSent; 4], Repeat::Safe), NextStep::Refuse);
    assert_eq!(last(&[NotRun; 4], Repeat::Never), NextStep::Refuse);
    assert_eq!(
        last(&[Lost, NotRun, NotRun, NotRun], Repeat::Safe),
        NextStep::Fail
    );
}
