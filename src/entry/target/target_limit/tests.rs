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
    assert_eq!(prober.decide(after_ms(4600)), LimitDecision::Elsewhere);
    assert_eq!(prober.decide(after_ms(8900)), LimitDecision::Send);
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

/// Instances that send to a limited target whenever they may. The prober changes, and each
/// instance learns of it up to 1.5 s later. Returns whether any window of the rule had more
/// than it allows; `all_probe` makes each instance take itself for the prober.
fn exceeds_rule(u: &mut Unstructured<'_>, all_probe: bool) -> Result<bool> {
    let per_second = f64::from(u.int_in_range(0..=80_u8)?) / 10.0;
    let mut instances = vec![TargetLimit::default(); u.int_in_range(2..=6)?];
    let mut prober = 0;
    let mut changed_at = Time::ZERO;
    let mut lags = vec![Duration::ZERO; instances.len()];
    let mut sent: Vec<Time> = Vec::new();
    for step in 0..250_u64 {
        let now = NOW.after(STEP * u32::try_from(step).unwrap_or_default());
        if now.since(changed_at) >= 15 * STEP && u.int_in_range(0..=15_u8)? == 0 {
            prober = u.choose_index(instances.len())?;
            changed_at = now;
            for lag in &mut lags {
                *lag = STEP * u.int_in_range(0..=15)?;
            }
        }
        for (index, limit) in instances.iter_mut().enumerate() {
            if step == 0 {
                limit.set_prober(now.before(2 * LIMIT_WINDOW), all_probe || index == prober);
                limit.record_named(now, Some(per_second));
            } else if now.since(changed_at) >= lags[index] {
                limit.set_prober(now, all_probe || index == prober);
            }
            if limit.try_check(now) {
                sent.push(now);
            }
            for _ in 0..u.int_in_range(0..=4_u8)? {
                if limit.decide(now) == LimitDecision::Send {
                    limit.record_sent(now);
                    sent.push(now);
                }
            }
        }
    }
    let allowed = RULE_FACTOR * per_second * RULE_WINDOW.as_secs_f64() + RULE_SLACK;
    Ok(sent.iter().any(|end| {
        let in_window = |at: &&Time| **at <= *end && end.since(**at) < RULE_WINDOW;
        let count = u32::try_from(sent.iter().filter(in_window).count());
        f64::from(count.unwrap_or(u32::MAX)) > allowed
    }))
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
    let mut found = false;
    arbtest::arbtest(|u| {
        found |= exceeds_rule(u, true)?;
        Ok(())
    });
    assert!(found);
}
