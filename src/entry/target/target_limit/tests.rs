use arbtest::arbitrary::{Result, Unstructured};

use super::*;

const NOW: Time = Time::from_secs(100);
const STEP: Duration = Duration::from_millis(100);

fn after_ms(ms: u64) -> Time {
    NOW.after(Duration::from_millis(ms))
}

/// A limit of 2 a second, known to the prober for long.
fn settled() -> TargetLimit {
    let mut limit = TargetLimit::default();
    limit.set_prober(NOW.before(2 * LIMIT_WINDOW), true);
    limit.record_named(NOW, Some(2.0));
    limit
}

#[test]
fn the_prober_sends_half_of_what_the_rule_allows_and_others_nothing() {
    let mut prober = settled();
    let mut sent = 0;
    while prober.decide(NOW) == LimitDecision::Send {
        prober.record_sent(NOW);
        sent += 1;
    }
    assert_eq!(sent, 8, "half of 2 * 1.5 * 4 + 5");
    assert_eq!(prober.decide(NOW), LimitDecision::UsedUp);
    assert_eq!(prober.decide(after_ms(4400)), LimitDecision::Send);
    prober.set_prober(after_ms(4400), false);
    assert_eq!(prober.decide(after_ms(4400)), LimitDecision::Elsewhere);
    prober.set_prober(after_ms(4500), true);
    assert_eq!(prober.decide(after_ms(10_200)), LimitDecision::Elsewhere);
    assert_eq!(prober.decide(after_ms(10_300)), LimitDecision::Send);
}

#[test]
fn health_checks_take_at_most_half_and_are_a_second_apart() {
    let mut prober = settled();
    let checks = (0..40).filter(|step| prober.try_check(after_ms(step * 100)));
    assert_eq!(checks.count(), 4);
    let mut lowest = settled();
    lowest.record_named(NOW, Some(0.0));
    let checks = (0..40).filter(|step| lowest.try_check(after_ms(step * 100)));
    assert_eq!(checks.count(), 1);
    assert_eq!(lowest.decide(after_ms(4000)), LimitDecision::Send);
}

#[test]
fn a_limit_ends_by_a_later_response_or_without_any_for_long() {
    let mut limit = settled();
    assert!(!limit.record_named(NOW.before(STEP), None));
    assert_eq!(limit.per_second(NOW), Some(2.0));
    assert_eq!(limit.per_second(NOW.after(RETENTION)), None);
    assert!(limit.record_named(after_ms(100), None));
    assert_eq!(limit.decide(after_ms(100)), LimitDecision::Send);
    let told = limit.named(after_ms(300), 7).unwrap();
    assert_eq!((told.per_second, told.age_ms), (None, 200));
    assert_eq!(limit.named(NOW.after(2 * RETENTION), 7), None);
}

/// Whether any window of the rule has more than it allows.
fn is_exceeded(sent: &[Time], per_second: f64) -> bool {
    let allowed = RULE_FACTOR * per_second * RULE_WINDOW.as_secs_f64() + RULE_SLACK;
    sent.iter().any(|end| {
        let in_window = |at: &&Time| **at <= *end && end.since(**at) < RULE_WINDOW;
        let count = u32::try_from(sent.iter().filter(in_window).count());
        f64::from(count.unwrap_or(u32::MAX)) > allowed
    })
}

/// Sends a health check and up to `requests` requests as far as `limit` lets them through.
fn send(limit: &mut TargetLimit, now: Time, requests: u8, sent: &mut Vec<Time>) {
    if limit.try_check(now) {
        sent.push(now);
    }
    for _ in 0..requests {
        if limit.decide(now) == LimitDecision::Send {
            limit.record_sent(now);
            sent.push(now);
        }
    }
}

/// Instances that send to a limited target whenever they may. The prober changes, and each
/// instance learns of it up to 1.5 s later. Returns whether any window of the rule had more
/// than it allows; `all_probe` makes each instance take itself for the prober.
fn exceeds_rule(u: &mut Unstructured<'_>, all_probe: bool) -> Result<bool> {
    let per_second = f64::from(u.int_in_range(0..=80_u8)?) / 10.0;
    let mut instances = vec![TargetLimit::default(); u.int_in_range(2..=6)?];
    let (mut prober, mut earlier) = (0, 0);
    let mut changed_at = Time::ZERO;
    let mut lags = vec![Duration::ZERO; instances.len()];
    let mut sent = Vec::new();
    for limit in &mut instances {
        limit.record_named(NOW, Some(per_second));
    }
    instances[prober].set_prober(NOW.before(2 * LIMIT_WINDOW), true);
    for step in 0..250 {
        let now = NOW.after(STEP * step);
        if now.since(changed_at) >= 15 * STEP && u.int_in_range(0..=15_u8)? == 0 {
            earlier = prober;
            prober = u.choose_index(instances.len())?;
            changed_at = now;
            for lag in &mut lags {
                *lag = STEP * u.int_in_range(0..=15)?;
            }
        }
        for (index, limit) in instances.iter_mut().enumerate() {
            let is_known = now.since(changed_at) >= lags[index];
            let known = if is_known { prober } else { earlier };
            limit.set_prober(now, all_probe || index == known);
            send(limit, now, u.int_in_range(0..=4)?, &mut sent);
        }
    }
    Ok(is_exceeded(&sent, per_second))
}

/// Plays instances that are the prober from the first to the second of their times (ms) by
/// their own views, and send what they may from the third on.
fn exceeds_rule_with(per_second: f64, instances: &[(u64, u64, u64)]) -> bool {
    const START_MS: u64 = 10_000;
    let mut limits = vec![TargetLimit::default(); instances.len()];
    let mut sent = Vec::new();
    for ms in (0..2 * START_MS).step_by(100) {
        let now = after_ms(ms);
        for (limit, (from, until, sends_from)) in limits.iter_mut().zip(instances) {
            limit.record_named(now, Some(per_second));
            limit.set_prober(now, (*from..*until).contains(&ms));
            if ms >= *sends_from {
                send(limit, now, 4, &mut sent);
            }
        }
    }
    assert!(sent.len() > 2);
    is_exceeded(&sent, per_second)
}

/// Failed with arbtest seed `0xcc08373500000236`.
#[test]
fn a_new_prober_waits_for_what_a_prober_with_an_old_view_sent() {
    let old = (0, 11_500, 11_400);
    let new = (10_000, 14_500, 10_000);
    let next = (13_000, 20_000, 13_000);
    assert!(!exceeds_rule_with(0.2, &[old, new, next]));
}

#[test]
fn checks_of_many_new_probers_keep_the_lowest_limit() {
    let old = (0, 11_500, 11_400);
    let new = [10_000, 11_500, 13_000, 14_500].map(|at| (at, at + 3000, at.max(11_400)));
    assert!(!exceeds_rule_with(0.0, &[&[old][..], &new].concat()));
}

#[test]
fn all_instances_together_keep_the_limit_while_the_prober_changes() {
    arbtest::arbtest(|u| {
        assert!(!exceeds_rule(u, false)?);
        Ok(())
    });
}

#[test]
fn the_check_finds_instances_that_each_use_the_limit() {
    assert!(testing::search::finds(|u| exceeds_rule(u, true)));
}
