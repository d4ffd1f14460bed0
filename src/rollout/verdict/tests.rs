use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use super::*;

const RULE: Rule = Rule {
    chance: 1e-4,
    rest_chance: Some(0.01),
    difference: 0.1,
    slow_difference: 0.1,
    bad: 4,
};
const SECOND: Duration = Duration::from_secs(1);

fn tally(good: u32, slow: u32, failed: u32) -> Tally {
    Tally { good, slow, failed }
}

fn matched(slices: &[(Tally, Tally)]) -> Matched {
    let mut matched = Matched::default();
    for (old, new) in slices {
        matched.add(*old, *new, SECOND);
    }
    matched
}

fn by_target(tallies: &[Tally]) -> IndexMap<u64, Tally> {
    (1..).zip(tallies.iter().copied()).collect()
}

#[test]
fn the_test_is_exact() {
    // Counted by hand: choose(4, 3) * choose(4, 1) + choose(4, 4) of choose(8, 4).
    assert!((exact_test(3, 4, 1, 4) - 17.0 / 70.0).abs() < 1e-9);
    // 1 / choose(40, 20), in the range of the series.
    assert!((exact_test(20, 20, 0, 20) * 137_846_528_820.0 - 1.0).abs() < 1e-6);
    assert!((exact_test(1, 10, 10, 100) - 1.0).abs() < 1e-9);
    assert!((exact_test(0, 0, 0, 0) - 1.0).abs() < 1e-9);
}

#[test]
fn equal_versions_differ_no_more_often_than_stated() {
    let mut rng = StdRng::seed_from_u64(5);
    let mut draw = |count: u64, share: f64| (0..count).filter(|_| rng.random_bool(share)).count();
    for share in [0.02, 0.2, 0.6] {
        let rejected = (0..2000)
            .filter(|_| exact_test(draw(40, share) as u64, 40, draw(400, share) as u64, 400) < 0.01)
            .count();
        assert!(rejected <= 32, "{rejected} of 2000 below 0.01 at {share}");
    }
}

#[test]
fn half_of_the_responses_fail_or_are_slow() {
    let old = tally(200, 6, 1);
    let targets = || by_target(&[tally(3, 0, 3); 4]);
    let found = find_difference(matched(&[(old, tally(12, 0, 12))]), RULE, targets).unwrap();
    assert_eq!(
        (found.fault, found.bad, found.total),
        (Fault::Failed, 12, 24)
    );
    let text = found.to_string();
    assert!(
        text.starts_with("12 of 24 responses failed (50.0 %), of the old version 0.5 %"),
        "{text}"
    );
    let targets = || by_target(&[tally(1, 1, 0); 12]);
    let found = find_difference(matched(&[(old, tally(12, 12, 0))]), RULE, targets).unwrap();
    assert_eq!(found.fault, Fault::Slow);
}

#[test]
fn one_bad_target_does_not_count_and_two_do() {
    let new = matched(&[(tally(200, 6, 1), tally(12, 0, 12))]);
    let fine = tally(4, 0, 0);
    let crashed = [fine, fine, fine, tally(0, 0, 12)];
    assert_eq!(find_difference(new, RULE, || by_target(&crashed)), None);
    let two = [fine, fine, tally(2, 0, 6), tally(2, 0, 6)];
    assert!(find_difference(new, RULE, || by_target(&two)).is_some());
    let alone = Rule {
        rest_chance: None,
        ..RULE
    };
    assert!(find_difference(new, alone, || by_target(&crashed)).is_some());
}

#[test]
fn versions_are_compared_at_the_same_time() {
    let targets = || by_target(&[tally(1, 1, 0); 80]);
    // Both are slow in the second slice, in which the new version's share is larger.
    let slices = [
        (tally(900, 10, 0), tally(60, 1, 0)),
        (tally(60, 240, 0), tally(20, 80, 0)),
    ];
    assert_eq!(find_difference(matched(&slices), RULE, targets), None);
    let (old, new) = (tally(960, 250, 0), tally(80, 81, 0));
    assert!(find_difference(matched(&[(old, new)]), RULE, targets).is_some());
}

#[test]
fn slow_spells_of_few_targets_do_not_count() {
    let new = matched(&[(tally(240, 60, 0), tally(10, 14, 0))]);
    let two = by_target(&[tally(5, 7, 0); 2]);
    assert_eq!(find_difference(new, RULE, || two), None);
    let many = by_target(&[tally(1, 1, 0); 12]);
    assert!(find_difference(new, RULE, || many).is_some());
}

#[test]
fn a_slice_without_the_old_version_is_not_compared() {
    let failed = matched(&[(Tally::default(), tally(0, 0, 100))]);
    assert_eq!(failed, Matched::default());
    assert_eq!(find_difference(failed, RULE, IndexMap::new), None);
}
