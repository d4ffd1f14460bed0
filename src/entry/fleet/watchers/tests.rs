use super::*;
use crate::entry::fleet::freshness::FreshnessLimits;
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
    let should = |own, others: &[Watcher], waited| should_watch(own, others, WANTED, waited, None);
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
    assert!(!should_watch(own, &others, WANTED, Duration::ZERO, None));
    let own = watcher(8, StoreAccess::Watching);
    assert!(should_watch(own, &others, WANTED, Duration::ZERO, None));
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
            if !may || !should_watch(me, &others, WANTED, own.lacking, None) {
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

#[test]
fn in_doubt_instances_ask_a_few_at_a_time() {
    let watchers = [20, 19, 18, 17].map(|weight| watcher(weight, StoreAccess::Watching));
    let asking = |doubt| {
        let asks = |own: &u64| {
            let own = watcher(*own, StoreAccess::Unused);
            let unused = (1..=16).map(|weight| watcher(weight, StoreAccess::Unused));
            let others: Vec<Watcher> = watchers.into_iter().chain(unused).collect();
            let others: Vec<Watcher> = others
                .into_iter()
                .filter(|other| other.weight != own.weight)
                .collect();
            should_watch(own, &others, WANTED, Duration::ZERO, doubt)
        };
        (1..=16).filter(asks).count()
    };
    assert_eq!(asking(None), 0);
    assert_eq!(asking(Some(Duration::ZERO)), WANTED);
    assert_eq!(asking(Some(DOUBT_STEP)), WANTED * 2);
    let most = WANTED + MAX_SKIPPED_FAILURES - watchers.len();
    assert_eq!(asking(Some(Duration::from_secs(600))), most);
}

/// Instances of which the first four watch, while the store answers only some.
struct PartialSilence {
    count: usize,
    limit: Duration,
    /// Age of the instances' views of each other, in steps.
    view_age: usize,
    /// Whether the store doesn't answer an instance.
    is_silent: fn(usize) -> bool,
    asks_in_doubt: bool,
}

/// Steps from a peer's news of a change until it is fetched.
const FETCH: usize = 2;
/// Steps until a call without a response is given up: a short one, and that of a watcher.
const CALL_TIMEOUT: usize = 8;
const WATCH_TIMEOUT: usize = 35;

impl PartialSilence {
    /// Time until all instances that the store answers have a change that was acknowledged
    /// right after the last answer.
    fn time_until_known(&self) -> Duration {
        let doubt_after = FreshnessLimits::new(self.limit).doubt_after;
        let access = |at| {
            if at < WANTED {
                StoreAccess::Watching
            } else {
                StoreAccess::Unused
            }
        };
        // Access, and the step of the last answer.
        let start: Vec<_> = (0..self.count).map(|at| (access(at), 0)).collect();
        let mut history = vec![start];
        let mut given_up: Vec<usize> = vec![WATCH_TIMEOUT; self.count];
        let mut lacking = vec![Duration::ZERO; self.count];
        let mut known: Vec<Option<usize>> = vec![None; self.count];
        for step in 0..100 {
            let view = history[history.len().saturating_sub(self.view_age)].clone();
            let mut now = history[history.len() - 1].clone();
            let all: Vec<Watcher> = (0..self.count)
                .map(|other| watcher((self.count - other) as u64, view[other].0))
                .collect();
            for at in 0..self.count {
                let mut others = all.clone();
                others.swap_remove(at);
                let told = view.iter().map(|(_, answer)| *answer).max();
                let answer = told.max(Some(now[at].1)).unwrap();
                let age = STEP * u32::try_from(step - answer).unwrap();
                let doubt = age.checked_sub(doubt_after).filter(|_| self.asks_in_doubt);
                if (self.is_silent)(at) {
                    if step >= given_up[at] {
                        now[at].0 = StoreAccess::Lost;
                    }
                    given_up[at] = given_up[at].min(if at < WANTED {
                        WATCH_TIMEOUT
                    } else {
                        step + CALL_TIMEOUT
                    });
                }
                lacking[at] = if watching(&others) >= WANTED {
                    Duration::ZERO
                } else {
                    lacking[at] + STEP
                };
                let own = watcher((self.count - at) as u64, now[at].0);
                let asks = now[at].0 == StoreAccess::Unused
                    && should_watch(own, &others, WANTED, lacking[at], doubt);
                if asks && !(self.is_silent)(at) {
                    now[at] = (StoreAccess::Watching, step);
                    known[at] = Some(step);
                }
            }
            history.push(now);
            let heard =
                |at: &Option<usize>| at.is_some_and(|at| at + self.view_age + FETCH <= step);
            let is_told = known.iter().any(heard);
            let mut served = (0..self.count).filter(|at| !(self.is_silent)(*at));
            if served.all(|at| is_told || known[at].is_some()) {
                return STEP * u32::try_from(step).unwrap();
            }
        }
        STEP * 100
    }
}

/// Guards against instances that wait for the timeouts of hanging watches with an outdated
/// configuration, although the store would answer them; see [`FreshnessLimits`].
#[test]
fn a_change_is_known_in_time_though_no_watcher_is_answered() {
    // Instances and limits of the deployments. A view is a heartbeat and the way old, 0.2 s; in a
    // large membership a relay's heartbeat, each 0.3 s, comes in addition.
    const SMALL: (usize, Duration, usize) = (14, Duration::from_secs(2), 2);
    const GROWN: (usize, Duration, usize) = (131, Duration::from_millis(2500), 5);
    const LARGE: (usize, Duration, usize) = (313, Duration::from_secs(3), 5);
    // The watchers alone; with the next two in the order; with a zone.
    let silent: [fn(usize) -> bool; 3] = [
        |at| at < WANTED,
        |at| at < WANTED + 2,
        |at| at < WANTED || at.is_multiple_of(3),
    ];
    for (count, limit, view_age) in [SMALL, GROWN, LARGE] {
        for (case, is_silent) in silent.into_iter().enumerate() {
            let silence = |asks_in_doubt| PartialSilence {
                count,
                limit,
                view_age,
                is_silent,
                asks_in_doubt,
            };
            let took = silence(true).time_until_known();
            assert!(took <= limit, "{count}, case {case}: {took:?}");
            let before = silence(false).time_until_known();
            assert!(before > limit, "{count}, case {case}: {before:?}");
        }
    }
}

/// In calm no instance may be in doubt: the youngest answer that it knows is of the last watch
/// that ended, told with the next heartbeat, and one may be lost.
#[test]
fn answers_in_calm_are_younger_than_a_doubtful_one() {
    let tick = Duration::from_millis(100);
    // With the heartbeat in the own zone of a relay in a large membership.
    let (small, large) = (tick * 2, tick * 2 + Duration::from_millis(300));
    for (limit_ms, lag) in [(2000, small), (2500, large), (3000, large)] {
        let limits = FreshnessLimits::new(Duration::from_millis(limit_ms));
        assert!(
            limits.answer_interval + lag < limits.doubt_after,
            "{limit_ms}"
        );
    }
}
