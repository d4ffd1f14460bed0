use super::*;

const SINCE: Time = Time::from_secs(100);
const ACCOUNT: u64 = 7;

const SETTINGS: CapSettings = CapSettings {
    window: Duration::from_secs(5),
    over: 0.1,
    slack: 20.0,
    start_empty: true,
    divide_by_side: true,
};

fn share(rate: f64, burst: f64) -> HomeShare {
    HomeShare::new(AccountLimit { rate, burst }, &SETTINGS, 1.0)
}

fn after_ms(ms: u64) -> Time {
    SINCE.after(Duration::from_millis(ms))
}

#[test]
fn three_homes_stay_within_every_window() {
    for (rate, burst) in [
        (0.1, 0.0),
        (1.2, 1.2),
        (50.0, 0.0),
        (50.0, 50.0),
        (300.0, 900.0),
    ] {
        let share = share(rate, burst);
        let granted = 3.0 * (share.rate * 5.25 + share.size);
        let allowed = (rate * 5.0 + burst) * 1.1 + 20.0;
        assert!(granted <= allowed, "{rate} {burst}: {granted}, {allowed}");
        assert!(3.0 * share.rate >= 0.9 * rate);
        assert!(share.size >= 1.0);
    }
}

#[test]
fn a_limit_without_room_for_three_tokens_has_one_home() {
    let settings = CapSettings::default();
    let limit = AccountLimit {
        rate: 1.0,
        burst: 1.0,
    };
    let share = HomeShare::new(limit, &settings, 1.0);
    assert_eq!(share.homes, 1);
    assert!(share.rate * 5.25 + share.size <= 6.0);
    let limit = AccountLimit {
        burst: 4.0,
        ..limit
    };
    assert_eq!(HomeShare::new(limit, &settings, 1.0).homes, MAX_HOMES);
}

#[test]
fn the_sides_of_a_partition_share_a_limit() {
    for seen in 0..=10 {
        let seen = f64::from(seen) / 10.0;
        let sum = side_fraction(seen) + side_fraction(1.0 - seen);
        assert!((sum - 1.0).abs() < 1e-9);
    }
    assert!(side_fraction(0.75) > 0.8);
    let third = side_fraction(1.0 / 3.0);
    assert!(3.0 * third <= 1.0);
}

#[test]
fn a_new_home_starts_with_one_token() {
    let (mut buckets, share) = (HomeBuckets::default(), share(30.0, 30.0));
    let before = SINCE.before(Duration::from_millis(100));
    let early = buckets.grant(before, ACCOUNT, SINCE, &share, 5);
    assert_eq!(early.tokens, 0);
    assert_eq!(early.retry_after, Duration::from_millis(100));
    let first = buckets.grant(SINCE, ACCOUNT, SINCE, &share, 5);
    assert_eq!(first.tokens, 1);
    let full = buckets.grant(after_ms(60_000), ACCOUNT, SINCE, &share, 100);
    assert_eq!(full.tokens, 13, "30 / 3 + 20 * 0.15");
    // A home that was none for a while starts anew.
    let since = after_ms(61_000);
    assert_eq!(
        buckets
            .grant(after_ms(61_000), ACCOUNT, since, &share, 100)
            .tokens,
        1
    );
}

#[test]
fn changed_limits_hold_at_once() {
    let mut buckets = HomeBuckets::default();
    let now = after_ms(60_000);
    let (low, high) = (share(3.0, 3.0), share(300.0, 300.0));
    assert_eq!(buckets.grant(now, ACCOUNT, SINCE, &high, 1).tokens, 1);
    assert_eq!(buckets.grant(now, ACCOUNT, SINCE, &low, 100).tokens, 4);
    let soon = now.after(Duration::from_millis(100));
    assert_eq!(buckets.grant(soon, ACCOUNT, SINCE, &high, 100).tokens, 9);
}

#[test]
fn instances_are_told_different_times_to_come_back() {
    let (mut buckets, share) = (HomeBuckets::default(), share(30.0, 0.0));
    let now = after_ms(60_000);
    while buckets.grant(now, ACCOUNT, SINCE, &share, 100).tokens > 0 {}
    let mut times: Vec<Duration> = (0..4)
        .map(|_| buckets.grant(now, ACCOUNT, SINCE, &share, 1).retry_after)
        .collect();
    let first = now.after(times[0]).after(Duration::from_millis(1));
    times.dedup();
    assert_eq!(times.len(), 4);
    assert!(times.is_sorted());
    assert_eq!(buckets.grant(first, ACCOUNT, SINCE, &share, 1).tokens, 1);
}

#[test]
fn only_full_buckets_and_those_without_a_use_are_dropped() {
    let (mut buckets, share) = (HomeBuckets::default(), share(3.0, 30.0));
    let window = SETTINGS.window;
    buckets.grant(after_ms(60_000), ACCOUNT, SINCE, &share, 100);
    let mut dropped_after = |ms: u64, is_home: bool| {
        let now = after_ms(60_000 + ms);
        buckets.remove_expired(now, window, |_| is_home.then_some((SINCE, share)));
        buckets.level(now, ACCOUNT, &share).is_none()
    };
    assert!(!dropped_after(5_000, false));
    assert!(!dropped_after(5_000, true));
    assert!(dropped_after(30_000, true));
    buckets.grant(after_ms(100_000), ACCOUNT, SINCE, &share, 100);
    buckets.remove_expired(after_ms(106_000), window, |_| None);
    assert!(buckets.buckets.is_empty());
}
