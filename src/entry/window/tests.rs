#![expect(clippy::cast_precision_loss, reason = "small counts")]

use super::*;

/// Window of the platform's limit on retries.
const WINDOW: Duration = Duration::from_secs(10);

fn rule(slack: f64) -> RetryBudgetRule {
    RetryBudgetRule {
        ratio: 0.2,
        window: WINDOW,
        slack,
    }
}

/// Whether retries exceed `ratio * requests + slack` in some window of ten seconds,
/// counting requests as documented for [`RetryBudget`].
fn exceeds_limit(requests: &[Time], retries: &[Time], slack: f64) -> bool {
    let window = 10_000_000_u64;
    let within = |times: &[Time], end: u64| {
        let from = end.saturating_sub(window);
        let inside = |at: &&Time| (from..=end).contains(&at.as_micros());
        times.iter().filter(inside).count() as f64
    };
    let last = retries.last().map_or(0, |at| at.as_micros());
    (0..=last + window).step_by(100_000).any(|end| {
        let counted = [0, window / 2, window]
            .map(|back| {
                end.checked_sub(back)
                    .map_or(0.0, |end| within(requests, end))
            })
            .into_iter()
            .fold(0.0, f64::max);
        within(retries, end) > 0.2 * counted + slack + 1e-9
    })
}

/// Guards against a window in which retries exceed the share after the request rate has
/// changed: requests arrive and pause at random, and the instance retries whenever it may.
#[test]
fn an_instance_keeps_its_share_in_every_window() {
    arbtest::arbtest(|u| {
        let mut budget = RetryBudget::default();
        let (mut requests, mut retries) = (Vec::new(), Vec::new());
        let mut now = Time::ZERO;
        for _ in 0..u.int_in_range(1..=400_u32)? {
            let pause = u.int_in_range(0..=1200_u64)?;
            now = now.after(Duration::from_millis(if u.ratio(1, 8)? {
                pause
            } else {
                30
            }));
            if u.ratio(1, 2)? {
                budget.record_request(now, WINDOW);
                requests.push(now);
            } else if budget.try_take(now, rule(1.5)) {
                retries.push(now);
            }
        }
        assert!(!exceeds_limit(&requests, &retries, 1.5));
        Ok(())
    });
}

/// Guards against instances that forget their use of the budget: eight instances are
/// stopped for two seconds in turn under steady traffic, lose their state, and their
/// callers move to the next one. All retry whenever they may.
#[test]
fn all_instances_together_keep_the_limit_during_a_rolling_restart() {
    let mut budgets = vec![RetryBudget::default(); 8];
    let mut started = [Time::ZERO; 8];
    let (mut requests, mut retries) = (Vec::new(), Vec::new());
    for tick in 0..6_000_u64 {
        let now = Time::from_millis(tick * 10);
        let stopped = usize::try_from(tick / 200 % 8).unwrap();
        if tick % 200 == 0 {
            budgets[stopped] = RetryBudget::default();
            started[stopped] = now;
        }
        let mut own = usize::try_from(tick % 8).unwrap();
        if own == stopped {
            own = (own + 1) % 8;
        }
        budgets[own].record_request(now, WINDOW);
        requests.push(now);
        let is_first = started[own] == Time::ZERO;
        let age = now.since(started[own]);
        let share = RetryBudgetRule {
            ratio: 0.2 * 0.85,
            ..rule(slack_share(
                8.0,
                8.0,
                age,
                Duration::from_secs(10),
                is_first,
            ))
        };
        if budgets[own].try_take(now, share) {
            retries.push(now);
        }
    }
    assert!(retries.len() > requests.len() / 10, "{}", retries.len());
    assert!(!exceeds_limit(&requests, &retries, 8.0));
}

/// Guards against a slack that is used again after a restart: targets fail briefly after a
/// first start, and once more after every instance was restarted. The whole slack is used
/// each time, and no more.
#[test]
fn the_slack_is_not_used_twice_across_a_restart() {
    let window = Duration::from_secs(10);
    let taken = |budgets: &mut [RetryBudget], now: Time, started: Time, first_start| -> usize {
        let share = slack_share(16.0, 8.0, now.since(started), window, first_start);
        budgets
            .iter_mut()
            .map(|budget| {
                (0..20)
                    .filter(|_| budget.try_take(now, rule(share)))
                    .count()
            })
            .sum()
    };
    let mut budgets = vec![RetryBudget::default(); 8];
    assert_eq!(
        taken(&mut budgets, Time::from_secs(5), Time::ZERO, true),
        16
    );
    let restart = Time::from_secs(6);
    let mut budgets = vec![RetryBudget::default(); 8];
    assert_eq!(taken(&mut budgets, Time::from_secs(15), restart, false), 0);
    assert_eq!(taken(&mut budgets, Time::from_secs(18), restart, false), 16);
}

#[test]
fn steady_traffic_may_use_nearly_the_whole_ratio() {
    let mut budget = RetryBudget::default();
    let mut retries = 0;
    for tick in 0..3_000_u64 {
        let now = Time::from_millis(tick * 10);
        budget.record_request(now, WINDOW);
        retries += u32::from(budget.try_take(now, rule(0.0)));
    }
    assert!(f64::from(retries) > 0.2 * 0.9 * 2_000.0, "{retries}");
}

#[test]
fn without_requests_only_the_slack_is_available() {
    let mut budget = RetryBudget::default();
    let taken = (0..10)
        .filter(|_| budget.try_take(Time::ZERO, rule(3.0)))
        .count();
    assert_eq!(taken, 3);
    let later = Time::from_secs(11);
    assert!(budget.try_take(later, rule(3.0)));
}

#[test]
fn cold_allowances_use_at_most_half_of_the_limit() {
    for limit in [0.0, 1.0, 4.0, 11.3, 36.5, 100.0] {
        let sum: usize = (0..50).map(|rank| cold_allowance(limit, rank)).sum();
        assert!(sum as f64 <= limit / 2.0, "{sum} of {limit}");
    }
    assert!(cold_allowance(11.3, 0) >= 1);
    assert_eq!(cold_allowance(36.5, MAX_COLD_SENDERS), 0);
    assert_eq!(cold_allowance(f64::INFINITY, 0), usize::MAX);
}

#[test]
fn events_leave_the_window() {
    let mut window = SlidingWindow::default();
    window.record(Time::from_millis(0));
    window.record(Time::from_millis(600));
    assert_eq!(
        window.count(Time::from_millis(900), Duration::from_secs(1)),
        2
    );
    assert_eq!(
        window.count(Time::from_millis(1001), Duration::from_secs(1)),
        1
    );
}

/// Guards against a service without retries, whose requests were kept for ever.
#[test]
fn requests_outside_of_every_window_are_forgotten() {
    let mut budget = RetryBudget::default();
    for second in 0..100_000 {
        budget.record_request(Time::from_secs(second), WINDOW);
    }
    assert!(budget.requests.len() <= 21, "{}", budget.requests.len());
}
