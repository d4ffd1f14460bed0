use arbtest::arbitrary::Unstructured;
use arbtest::arbtest;

use super::*;

const DEADLINE: Time = Time::from_secs(10);

fn progress() -> Progress {
    Progress {
        attempts: 1,
        repeatable: true,
        replayable: true,
        depth: 0,
        deadline: DEADLINE,
    }
}

fn names() -> (ServiceName, CallerName) {
    (ServiceName::from("orders"), CallerName::from("lab"))
}

#[test]
fn retries_only_safe_calls_with_attempts_budget_and_time_left() {
    use ErrorKind::{DeadlineUnmet, TargetBroken, TargetRefused, TargetShed, TargetTimeout};
    let settings = RetrySettings::default();
    let once = Progress {
        repeatable: false,
        ..progress()
    };
    let rows = [
        ("repeatable, broken", progress(), TargetBroken, true),
        ("not repeatable, broken", once, TargetBroken, false),
        ("not repeatable, refused", once, TargetRefused, true),
        ("not repeatable, shed", once, TargetShed, true),
        ("timeout", progress(), TargetTimeout, false),
        ("deadline unmet", progress(), DeadlineUnmet, false),
        (
            "third attempt failed",
            Progress {
                attempts: 3,
                ..progress()
            },
            TargetShed,
            false,
        ),
        (
            "streamed body",
            Progress {
                replayable: false,
                ..progress()
            },
            TargetShed,
            false,
        ),
        (
            "inner call",
            Progress {
                depth: 1,
                ..progress()
            },
            TargetShed,
            false,
        ),
    ];
    for (name, progress, kind, expected) in rows {
        let next = settings.decide(Time::ZERO, &progress, kind, 0.5, || true);
        assert_eq!(next != RetryDecision::GiveUp, expected, "{name}");
    }
    let no_budget = settings.decide(Time::ZERO, &progress(), TargetShed, 0.5, || false);
    assert_eq!(no_budget, RetryDecision::GiveUp, "budget used up");
    let late = settings.decide(DEADLINE, &progress(), TargetShed, 0.5, || true);
    assert_eq!(late, RetryDecision::GiveUp, "no time left");
}

#[test]
fn retries_without_successes_stop_at_the_reserve() {
    let mut budgets = RetryBudgets::default();
    let (service, caller) = names();
    let retries = (0..10_000)
        .filter(|call| budgets.take(Time::from_millis(*call), &service, &caller))
        .count();
    assert_eq!(retries, 10);
}

#[test]
fn budget_is_a_share_of_recent_successes() {
    let mut budgets = RetryBudgets::default();
    let (service, caller) = names();
    for _ in 0..1_000 {
        budgets.record_success(Time::ZERO, &service, &caller);
    }
    let taken = |budgets: &mut RetryBudgets, now| {
        (0..1_000)
            .filter(|_| budgets.take(now, &service, &caller))
            .count()
    };
    assert_eq!(taken(&mut budgets, Time::ZERO), 110);
    assert_eq!(
        taken(&mut budgets, Time::from_secs(60)),
        10,
        "successes older than two windows do not count"
    );
}

#[test]
fn callers_have_separate_budgets() {
    let mut budgets = RetryBudgets::new(RetrySettings::default());
    let (service, _) = names();
    let (noisy, quiet) = (CallerName::from("noisy"), CallerName::from("quiet"));
    for _ in 0..1_000 {
        budgets.record_success(Time::ZERO, &service, &quiet);
    }
    let noisy = (0..1_000)
        .filter(|_| budgets.take(Time::ZERO, &service, &noisy))
        .count();
    assert_eq!(noisy, 10);
    assert!(budgets.take(Time::ZERO, &service, &quiet));
}

/// Runs one call with random faults and returns how often it ran and which
/// [`Ran`] value was reported to its caller, `None` after a success.
fn run_call(
    settings: &RetrySettings,
    repeatable: bool,
    u: &mut Unstructured<'_>,
) -> (u32, Option<Ran>) {
    let mut progress = Progress {
        attempts: 0,
        repeatable,
        ..progress()
    };
    let mut runs = 0;
    let mut earlier = None;
    loop {
        progress.attempts += 1;
        let fault = u.int_in_range(0..=4).unwrap_or(0);
        let kind = match fault {
            0 => return (runs + 1, None),
            1 => ErrorKind::TargetRefused,
            2 => ErrorKind::TargetShed,
            3 => ErrorKind::TargetBroken,
            _ => ErrorKind::TargetTimeout,
        };
        // An attempt that broke off or timed out may or may not have run.
        if fault >= 3 && u.ratio(1, 2).unwrap_or(false) {
            runs += 1;
        }
        let reported = kind.merge_earlier(earlier);
        let random = f64::from(u.int_in_range(0..=100).unwrap_or(0)) / 100.0;
        if settings.decide(Time::ZERO, &progress, kind, random, || true) == RetryDecision::GiveUp {
            return (runs, Some(reported.response().ran));
        }
        earlier = Some(reported);
    }
}

fn violates_rule(settings: &RetrySettings, u: &mut Unstructured<'_>) -> bool {
    let repeatable = u.arbitrary().unwrap_or(false);
    let (runs, reported) = run_call(settings, repeatable, u);
    (runs > 1 && !repeatable) || (reported == Some(Ran::No) && runs > 0)
}

#[test]
fn no_call_runs_twice_or_is_wrongly_reported_as_not_run() {
    let settings = RetrySettings::default();
    arbtest(|u| {
        assert!(!violates_rule(&settings, u));
        Ok(())
    });
}

#[test]
fn check_detects_unprotected_non_repeatable_calls() {
    let settings = RetrySettings {
        protect_non_repeatable: false,
        ..RetrySettings::default()
    };
    let found = testing::search::finds(|u| Ok(violates_rule(&settings, u)));
    assert!(found, "no violation found");
}
