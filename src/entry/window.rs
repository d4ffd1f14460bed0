//! Bounds that hold in every sliding window, and their split over instances.

use std::collections::VecDeque;
use std::time::Duration;

use crate::units::Time;

/// Time after a start in which other instances are not known yet, and parts of what
/// all instances share can't be told.
pub const MEMBER_DISCOVERY_TIME: Duration = Duration::from_millis(1200);

/// Events of one kind in a sliding window.
#[derive(Debug, Clone, Default)]
pub struct SlidingWindow {
    times: VecDeque<Time>,
}

impl SlidingWindow {
    /// Notes an event.
    pub fn record(&mut self, now: Time) {
        self.times.push_back(now);
    }

    /// Events in the `length` before `now`.
    pub fn count(&mut self, now: Time, length: Duration) -> usize {
        while self
            .times
            .front()
            .is_some_and(|first| now.since(*first) > length)
        {
            self.times.pop_front();
        }
        self.times.len()
    }
}

/// This instance's part of the budget for repeats of one service.
///
/// The bound of all instances in any window is `ratio * requests + slack`, with the
/// requests of that window, the one before it, or the one half a window before it,
/// whichever has most. Each instance keeps its own repeats within `ratio * own
/// requests + own part of the slack` by the same rule, without a message.
#[derive(Debug, Clone, Default)]
pub struct RetryBudget {
    requests: VecDeque<Time>,
    retries: SlidingWindow,
}

/// The rule of a [`RepeatBudget`].
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RetryBudgetRule {
    /// Repeats for each request.
    pub ratio: f64,
    /// Sliding window.
    pub window: Duration,
    /// Repeats beside the ratio, for this instance alone.
    pub slack: f64,
}

/// Part of a window, beyond the whole, for which an instance that was started again
/// leaves the slack alone: a repeat counts when it arrives.
const ARRIVAL_MARGIN: f64 = 0.1;

/// This instance's part of a slack for all `instances` together, `age` after its start.
///
/// One that was started again has forgotten what it used of the slack before, and
/// uses nothing of it until those repeats are in no window any more. `first_start`
/// says that the whole system started with it.
#[must_use]
pub fn slack_share(
    slack: f64,
    instances: f64,
    age: Duration,
    window: Duration,
    first_start: bool,
) -> f64 {
    let forgotten = !first_start && age < window.mul_f64(1.0 + ARRIVAL_MARGIN);
    if forgotten || age < MEMBER_DISCOVERY_TIME {
        return 0.0;
    }
    slack / instances
}

/// Cells into which the ends of the windows that hold a repeat are sorted. More cells
/// waste less of the budget: one part in as many.
const CELLS: u32 = 20;

impl RetryBudget {
    /// Notes a caller's request.
    pub fn record_request(&mut self, now: Time) {
        self.requests.push_back(now);
    }

    /// Takes one repeat if the rule leaves one.
    pub fn try_take(&mut self, now: Time, rule: RetryBudgetRule) -> bool {
        let remaining = self.remaining(now, rule) >= 1.0;
        if remaining {
            self.retries.record(now);
        }
        remaining
    }

    /// Repeats that the rule leaves now.
    #[expect(clippy::cast_precision_loss, reason = "counts of a few seconds")]
    pub fn remaining(&mut self, now: Time, rule: RetryBudgetRule) -> f64 {
        let oldest = now.before(rule.window * 2);
        while self.requests.front().is_some_and(|first| *first < oldest) {
            self.requests.pop_front();
        }
        let requests = self.min_counted_requests(now, rule.window) as f64;
        let retries = self.retries.count(now, rule.window) as f64;
        rule.ratio * requests + rule.slack - retries
    }

    /// The requests that the rule counts, as far as they are known, for that window
    /// around a repeat at `now` for which they are fewest.
    fn min_counted_requests(&self, now: Time, window: Duration) -> usize {
        let cell = window / CELLS;
        (0..CELLS)
            .map(|number| {
                let first_end = now.after(cell * number);
                let last_end = first_end.after(cell);
                [Duration::ZERO, window / 2, window]
                    .map(|back| {
                        let from = last_end.before(window + back);
                        self.count(from, first_end.before(back).min(now))
                    })
                    .into_iter()
                    .max()
                    .unwrap_or_default()
            })
            .min()
            .unwrap_or_default()
    }

    fn count(&self, from: Time, to: Time) -> usize {
        let end = self.requests.partition_point(|at| *at <= to);
        let start = self.requests.partition_point(|at| *at < from);
        end.saturating_sub(start)
    }
}

/// Window in which each instance counts its requests to a cold target: the second of
/// the bound and a little more, since a request that waited on its way
/// counts when it arrives.
pub const COLD_WINDOW: Duration = Duration::from_millis(1150);
/// Instances that may send to a cold target, by their rank for it.
pub const MAX_COLD_SENDERS: usize = 4;
/// Part of the bound that those instances share; the rest allows for instances that
/// know other members and so rank themselves otherwise.
const COLD_SHARED_FRACTION: f64 = 0.5;

/// Requests in a [`COLD_OWN_WINDOW`] that an instance of `rank` may send to a cold target
/// which bears `bound` from all instances together.
///
/// Load pattern: a zone's targets come back cold together while callers are many.
#[must_use]
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "a bound of a few dozen requests"
)]
pub fn cold_allowance(bound: f64, rank: usize) -> usize {
    if !bound.is_finite() {
        return usize::MAX;
    }
    let shared = (bound.max(0.0) * COLD_SHARED_FRACTION).floor() as usize;
    if rank >= MAX_COLD_SENDERS {
        return 0;
    }
    let even = shared / MAX_COLD_SENDERS;
    let rest = shared % MAX_COLD_SENDERS;
    even + usize::from(rank < rest)
}

#[cfg(test)]
mod tests;
