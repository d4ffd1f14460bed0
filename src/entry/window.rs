//! Limits that hold in every sliding window, and their division among instances.

use std::collections::VecDeque;
use std::time::Duration;

use crate::units::Time;

/// Time after a start in which the other instances may not be known yet, so that this
/// instance's share of a common limit is unknown.
pub const MEMBER_DISCOVERY_TIME: Duration = Duration::from_millis(1200);

/// Events of one kind in a sliding window.
#[derive(Debug, Clone, Default)]
pub struct SlidingWindow {
    times: VecDeque<Time>,
}

impl SlidingWindow {
    /// Records an event.
    pub fn record(&mut self, now: Time) {
        self.times.push_back(now);
    }

    /// Number of events in the `length` before `now`.
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

/// This instance's share of the retry budget of one service.
///
/// In any window, all instances together may send `ratio * requests + slack` retries.
/// The requests are those of that window, of the window before it, or of the window
/// half a window earlier, whichever has most. Each instance keeps its own retries
/// within `ratio * own requests + own share of the slack` by the same rule, without
/// communication.
#[derive(Debug, Clone, Default)]
pub struct RetryBudget {
    requests: VecDeque<Time>,
    retries: SlidingWindow,
}

/// Parameters of a [`RetryBudget`].
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RetryBudgetRule {
    /// Retries allowed per request.
    pub ratio: f64,
    /// Length of the sliding window.
    pub window: Duration,
    /// Retries allowed in a window in addition to the ratio, for this instance alone.
    pub slack: f64,
}

/// Fraction of a window, beyond the whole window, for which a restarted instance uses
/// none of the slack: a retry counts when it arrives.
const ARRIVAL_MARGIN: f64 = 0.1;

/// This instance's share of a slack for all `instances` together, `age` after its
/// start.
///
/// A restarted instance does not know how much of the slack it has used, and uses none
/// of it until those retries have left every window. `first_start` says that all
/// instances started for the first time together, so that nothing was used before.
#[must_use]
pub fn slack_share(
    slack: f64,
    instances: f64,
    age: Duration,
    window: Duration,
    first_start: bool,
) -> f64 {
    let state_was_lost = !first_start && age < window.mul_f64(1.0 + ARRIVAL_MARGIN);
    if state_was_lost || age < MEMBER_DISCOVERY_TIME {
        return 0.0;
    }
    slack / instances
}

/// Number of cells into which the ends of the windows that contain a retry are sorted.
/// With `CELLS` cells, the budget loses one part in `CELLS`.
const CELLS: u32 = 20;

impl RetryBudget {
    /// Records a caller's request, and forgets those that are in no `window` that counts.
    pub fn record_request(&mut self, now: Time, window: Duration) {
        self.forget_requests(now, window);
        self.requests.push_back(now);
    }

    fn forget_requests(&mut self, now: Time, window: Duration) {
        let oldest = now.before(window * 2);
        while self.requests.front().is_some_and(|first| *first < oldest) {
            self.requests.pop_front();
        }
    }

    /// Takes one retry if the budget allows it.
    pub fn try_take(&mut self, now: Time, rule: RetryBudgetRule) -> bool {
        let remaining = self.remaining(now, rule) >= 1.0;
        if remaining {
            self.retries.record(now);
        }
        remaining
    }

    /// Number of retries that the budget allows now.
    #[expect(clippy::cast_precision_loss, reason = "counts of a few seconds")]
    pub fn remaining(&mut self, now: Time, rule: RetryBudgetRule) -> f64 {
        self.forget_requests(now, rule.window);
        let requests = self.min_counted_requests(now, rule.window) as f64;
        let retries = self.retries.count(now, rule.window) as f64;
        rule.ratio * requests + rule.slack - retries
    }

    /// The number of requests that count for a retry at `now`: the minimum over all
    /// windows that contain it, as far as requests are known.
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
/// the limit and a margin, since a delayed request counts when it arrives.
pub const COLD_WINDOW: Duration = Duration::from_millis(1150);
/// Number of instances that may send to a cold target, by rank.
pub const MAX_COLD_SENDERS: usize = 4;
/// Fraction of the limit that these instances share. The rest allows for instances that
/// know other members and therefore compute other ranks.
const COLD_SHARED_FRACTION: f64 = 0.5;

/// Requests in a [`COLD_WINDOW`] that an instance of `rank` may send to a cold target
/// that accepts `limit` requests from all instances together.
///
/// Targets of a zone may become cold together while there are many callers.
#[must_use]
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "a limit of a few dozen requests"
)]
pub fn cold_allowance(limit: f64, rank: usize) -> usize {
    if !limit.is_finite() {
        return usize::MAX;
    }
    let shared = (limit.max(0.0) * COLD_SHARED_FRACTION).floor() as usize;
    if rank >= MAX_COLD_SENDERS {
        return 0;
    }
    let base = shared / MAX_COLD_SENDERS;
    let remainder = shared % MAX_COLD_SENDERS;
    base + usize::from(rank < remainder)
}

#[cfg(test)]
mod tests;
