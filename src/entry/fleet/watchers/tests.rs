use super::*;
use crate::entry::fleet::sync::{BACKOFF_RANGE, FIRST_ATTEMPT_BACKOFF};

const WANTED: usize = 4;
const STEP: Duration = Duration::from_millis(100);
/// Age of the instances' views of each other, in steps.
const VIEW_AGE: usize = 3;
/// Steps in which the store is unavailable.
const OUTAGE: std::ops::Range<usize> = 10..115;

fn watcher(weight: u64, access: StoreAccess) -> Watcher {
    Watcher { weight, access }
}

#[test]
fn the_next_in_the_order_replace_lost_watchers() {
    let others: Vec<Watcher> = [9, 8, 7]
        .map(|weight| watcher(weight, StoreAccess::Watching))
        .into_iter()
        .chain([6, 5].map(|weight| watcher(weight, StoreAccess::Unused)))
        .collect();
    let should = |own, others: &[Watcher], waited| should_watch(own, others, WANTED, waited);
    let last = watcher(1, StoreAccess::Unused);
    assert!(
        !should(last, &others, TAKEOVER_DELAY),
        "two instances precede it"
    );
    assert!(
        should(last, &others[..3], TAKEOVER_DELAY),
        "it is the next one"
    );
    assert!(
        !should(last, &others[..3], STEP),
        "not before the takeover delay"
    );
    let with_failed = [&others[..3], &[watcher(6, StoreAccess::Lost)]].concat();
    assert!(
        should(last, &with_failed, TAKEOVER_DELAY),
        "the call of the preceding one failed"
    );
    let first = watcher(10, StoreAccess::Unused);
    let enough = others[..3]
        .iter()
        .copied()
        .chain([watcher(4, StoreAccess::Watching)]);
    let enough: Vec<Watcher> = enough.collect();
    assert!(
        !should(first, &enough, TAKEOVER_DELAY),
        "four instances watch already, wherever they are in the order"
    );
}

#[test]
fn surplus_watchers_stop() {
    let others = [9, 8, 7, 6].map(|weight| watcher(weight, StoreAccess::Watching));
    let own = watcher(1, StoreAccess::Watching);
    assert!(!should_watch(own, &others, WANTED, Duration::ZERO));
    let own = watcher(8, StoreAccess::Watching);
    assert!(should_watch(own, &others, WANTED, Duration::ZERO));
}

/// One simulated instance.
#[derive(Debug, Clone, Copy)]
struct Instance {
    access: StoreAccess,
    lacking: Duration,
    failures: u32,
    retry_at: usize,
}

/// Simulates `steps` of `count` instances, each of which reaches the store if `reaches`
/// returns true; returns the calls in each step, and how many instances watch at the
/// end.
fn simulate(
    count: usize,
    steps: usize,
    reaches: impl Fn(usize, usize) -> bool,
) -> (Vec<usize>, usize) {
    let fresh = Instance {
        access: StoreAccess::Unused,
        lacking: Duration::ZERO,
        failures: 0,
        retry_at: 0,
    };
    let mut history = vec![vec![fresh; count]];
    let mut calls_per_step = Vec::new();
    for step in 0..steps {
        let view = history[history.len().saturating_sub(VIEW_AGE)].clone();
        let mut now = history.last().unwrap().clone();
        let mut calls = 0;
        for (at, own) in now.iter_mut().enumerate() {
            let others: Vec<Watcher> = (0..count)
                .filter(|other| *other != at)
                .map(|other| watcher((count - other) as u64, view[other].access))
                .collect();
            if own.access == StoreAccess::Lost && step >= own.retry_at {
                own.access = StoreAccess::Unused;
            }
            let enough = watching(&others) >= WANTED;
            own.lacking = if enough {
                Duration::ZERO
            } else {
                own.lacking + STEP
            };
            let me = watcher((count - at) as u64, own.access);
            let may = own.access != StoreAccess::Lost;
            if !may || !should_watch(me, &others, WANTED, own.lacking) {
                if own.access == StoreAccess::Watching {
                    own.access = StoreAccess::Unused;
                }
                continue;
            }
            if own.access != StoreAccess::Watching {
                calls += 1;
            }
            if reaches(at, step) {
                own.access = StoreAccess::Watching;
                own.failures = 0;
            } else {
                let watched = own.access == StoreAccess::Watching;
                let first = if watched {
                    BACKOFF_RANGE.0
                } else {
                    FIRST_ATTEMPT_BACKOFF
                };
                own.access = StoreAccess::Lost;
                let wait = (first * 2_u32.pow(own.failures.min(5))).min(BACKOFF_RANGE.1);
                let steps = wait.as_millis() / STEP.as_millis();
                own.retry_at = step + usize::try_from(steps).unwrap();
                own.failures += 1;
            }
        }
        calls_per_step.push(calls);
        history.push(now);
    }
    let last = history.last().unwrap();
    let watch = last
        .iter()
        .filter(|own| own.access == StoreAccess::Watching);
    (calls_per_step, watch.count())
}

/// Maximum number of calls in a second of an outage with `count` instances. Checks that
/// some of them watch again soon after its end.
fn most_calls_in_a_second(count: usize) -> usize {
    let (calls_per_step, watching) = simulate(count, 130, |_, step| !OUTAGE.contains(&step));
    assert!(
        (1..=6).contains(&watching),
        "{count} instances: {watching} watch"
    );
    let seconds = calls_per_step[OUTAGE]
        .windows(10)
        .map(|calls| calls.iter().sum());
    seconds.max().unwrap()
}

#[test]
fn calls_during_an_outage_do_not_grow_with_instances() {
    let few = most_calls_in_a_second(30);
    for count in [136, 1000] {
        let most = most_calls_in_a_second(count);
        assert!(
            most <= few,
            "{count} instances: {most} calls in a second, {few} of 30"
        );
    }
}

/// Guards against refused instances that keep trying or keep others from watching:
/// every third instance is refused, and so are the first ones, which watched before.
#[test]
fn refused_instances_leave_watching_to_others() {
    for count in [14, 136] {
        let (calls_per_step, watching) = simulate(count, 60, |at, _| at >= WANTED && at % 3 != 0);
        assert!(
            (4..=6).contains(&watching),
            "{count} instances: {watching} watch"
        );
        let late: usize = calls_per_step[50..].iter().sum();
        assert_eq!(late, 0, "{count} instances: no more calls");
    }
}

/// Guards against watches that all end at the same time after each change: the copies would
/// count as up to date for long, though no watch may reach the store any more.
#[test]
fn watches_end_one_after_the_other() {
    let interval = Duration::from_millis(700);
    let latency = Duration::from_millis(8);
    for (watching, since_change) in (1..=4).flat_map(|count| [0, 250, 900].map(|ms| (count, ms))) {
        let mut answers = Vec::new();
        for ahead in 0..watching {
            let schedule = WatchSchedule {
                interval,
                max_wait: Duration::from_millis(2800),
                ahead,
                watching,
            };
            let mut at = Duration::from_millis(since_change);
            while at < Duration::from_secs(30) {
                let wait = schedule.wait(at);
                assert!(wait <= schedule.max_wait);
                at += wait + latency;
                answers.push(at);
            }
        }
        answers.sort_unstable();
        let longest = answers
            .windows(2)
            .map(|pair| pair[1].saturating_sub(pair[0]))
            .max();
        let expected = interval + latency * 2;
        assert!(longest <= Some(expected), "{watching}: {longest:?}");
        let calls = answers.len();
        assert!(calls <= 30_000 / 700 + 4 * watching, "{watching}: {calls}");
    }
}

#[test]
fn surplus_watchers_wait_no_longer_than_others() {
    let schedule = WatchSchedule {
        interval: Duration::from_millis(700),
        max_wait: Duration::from_millis(2800),
        ahead: 13,
        watching: 14,
    };
    assert_eq!(schedule.wait(Duration::ZERO), Duration::from_millis(2800));
}
