#![expect(clippy::cast_precision_loss, reason = "small counts")]

use super::*;

fn rule(slack: f64) -> RepeatRule {
    RepeatRule {
        ratio: 0.2,
        window: Duration::from_secs(10),
        slack,
    }
}

/// Plays instances that take requests and repeat whenever they may, and returns the
/// times of all requests and repeats.
fn play(
    u: &mut arbtest::arbitrary::Unstructured<'_>,
    instances: usize,
    slack: f64,
) -> arbtest::arbitrary::Result<(Vec<Time>, Vec<Time>)> {
    let mut budgets = vec![RepeatBudget::default(); instances];
    let (mut requests, mut repeats) = (Vec::new(), Vec::new());
    let mut now = Time::ZERO;
    for _ in 0..u.int_in_range(1..=300_u32)? {
        now = now.after(Duration::from_millis(u.int_in_range(0..=200_u64)?));
        let budget = &mut budgets[u.choose_index(instances)?];
        if u.ratio(2, 3)? {
            budget.request(now);
            requests.push(now);
        } else if budget.take(now, rule(slack)) {
            repeats.push(now);
        }
    }
    Ok((requests, repeats))
}

#[test]
fn repeats_of_all_instances_stay_within_the_bound_in_every_window() {
    arbtest::arbtest(|u| {
        let instances = u.int_in_range(1..=6_usize)?;
        let (requests, repeats) = play(u, instances, 2.0)?;
        let window = 10_000_000_u64;
        let within = |times: &[Time], end: u64| {
            let from = end.saturating_sub(window);
            let inside = |at: &&Time| (from..=end).contains(&at.as_micros());
            times.iter().filter(inside).count() as f64
        };
        let last = repeats.last().map_or(0, |at| at.as_micros());
        for end in (0..=last + window).step_by(250_000) {
            let requests = [0, window / 2, window]
                .map(|back| {
                    end.checked_sub(back)
                        .map_or(0.0, |end| within(&requests, end))
                })
                .into_iter()
                .fold(0.0, f64::max);
            let bound = 0.2 * requests + 2.0 * instances as f64;
            assert!(within(&repeats, end) <= bound + 1e-9);
        }
        Ok(())
    });
}

#[test]
fn without_requests_only_the_slack_is_left() {
    let mut budget = RepeatBudget::default();
    let taken = (0..10)
        .filter(|_| budget.take(Time::ZERO, rule(3.0)))
        .count();
    assert_eq!(taken, 3);
    let later = Time::from_secs(11);
    assert!(budget.take(later, rule(3.0)));
}

#[test]
fn cold_senders_leave_half_of_the_bound_for_views_that_differ() {
    for bound in [0.0, 1.0, 4.0, 11.3, 36.5, 100.0] {
        let sum: usize = (0..50).map(|rank| cold_allowance(bound, rank)).sum();
        assert!(sum as f64 <= bound / 2.0, "{sum} of {bound}");
    }
    assert!(cold_allowance(11.3, 0) >= 1);
    assert_eq!(cold_allowance(36.5, COLD_SENDERS), 0);
    assert_eq!(cold_allowance(f64::INFINITY, 0), usize::MAX);
}

#[test]
fn a_window_slides() {
    let mut window = Window::default();
    window.note(Time::from_millis(0));
    window.note(Time::from_millis(600));
    assert_eq!(
        window.count(Time::from_millis(900), Duration::from_secs(1)),
        2
    );
    assert_eq!(
        window.count(Time::from_millis(1001), Duration::from_secs(1)),
        1
    );
}
