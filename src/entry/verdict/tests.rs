use super::*;

fn after(facts: &[Fact]) -> History {
    let mut history = History::default();
    for fact in facts {
        history.note(*fact);
    }
    history
}

fn last(facts: &[Fact], repeat: Repeat) -> Next {
    next(*facts.last().unwrap(), repeat, after(facts), 2)
}

#[test]
fn a_request_that_may_have_run_is_repeated_only_when_it_is_idempotent() {
    use Fact::{Lost, NotRun, NotSent, TargetFailed};
    for fact in [Lost, TargetFailed] {
        assert_eq!(last(&[fact], Repeat::Safe), Next::AgainWithinBudget);
        assert!(!matches!(
            last(&[fact], Repeat::Never),
            Next::Again | Next::AgainWithinBudget | Next::Refuse
        ));
    }
    for repeat in [Repeat::Safe, Repeat::Never] {
        assert_eq!(last(&[NotSent], repeat), Next::Again);
        assert_eq!(last(&[NotRun], repeat), Next::AgainWithinBudget);
    }
}

#[test]
fn not_run_is_said_only_when_no_target_can_have_run_it() {
    arbtest::arbtest(|u| {
        let all = [
            Fact::NotSent,
            Fact::NotRun,
            Fact::Answered,
            Fact::TargetFailed,
            Fact::Lost,
        ];
        let mut facts = Vec::new();
        for _ in 0..u.int_in_range(1..=6_u8)? {
            facts.push(*u.choose(&all)?);
        }
        let repeat = if u.arbitrary()? {
            Repeat::Safe
        } else {
            Repeat::Never
        };
        let said = [
            last(&facts, repeat),
            without_repeat(*facts.last().unwrap(), after(&facts)),
        ];
        let may_have_run = facts
            .iter()
            .any(|fact| !matches!(fact, Fact::NotSent | Fact::NotRun));
        assert!(!said.contains(&Next::Refuse) || !may_have_run, "{facts:?}");
        Ok(())
    });
}

#[test]
fn attempts_end() {
    use Fact::{Lost, NotRun, NotSent};
    assert_eq!(last(&[Lost, Lost], Repeat::Safe), Next::Fail);
    assert_eq!(last(&[NotSent; 4], Repeat::Safe), Next::Refuse);
    assert_eq!(last(&[NotRun; 4], Repeat::Never), Next::Refuse);
    assert_eq!(
        last(&[Lost, NotRun, NotRun, NotRun], Repeat::Safe),
        Next::Fail
    );
}
