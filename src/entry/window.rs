//! Bounds that hold in every sliding window, and their split over instances.

use std::collections::VecDeque;
use std::time::Duration;

use crate::units::Time;

/// Events of one kind in a sliding window.
#[derive(Debug, Clone, Default)]
pub struct Window {
    times: VecDeque<Time>,
}

impl Window {
    /// Notes an event.
    pub fn note(&mut self, now: Time) {
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
/// whichever has most. Each instance keeps its repeats of a window within `ratio *
/// own requests of the last half window + own part of the slack`: those requests lie
/// whole in one of the three, wherever the window ends, so the sum keeps the bound
/// without a message.
#[derive(Debug, Clone, Default)]
pub struct RepeatBudget {
    requests: Window,
    repeats: Window,
}

/// The rule of a [`RepeatBudget`].
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RepeatRule {
    /// Repeats for each request.
    pub ratio: f64,
    /// Sliding window.
    pub window: Duration,
    /// Repeats beside the ratio, for this instance alone.
    pub slack: f64,
}

impl RepeatBudget {
    /// Notes a caller's request.
    pub fn request(&mut self, now: Time) {
        self.requests.note(now);
    }

    /// Takes one repeat if the rule leaves one.
    pub fn take(&mut self, now: Time, rule: RepeatRule) -> bool {
        let left = self.left(now, rule) >= 1.0;
        if left {
            self.repeats.note(now);
        }
        left
    }

    /// Repeats that the rule leaves now.
    #[expect(clippy::cast_precision_loss, reason = "counts of a few seconds")]
    pub fn left(&mut self, now: Time, rule: RepeatRule) -> f64 {
        let requests = self.requests.count(now, rule.window / 2) as f64;
        let repeats = self.repeats.count(now, rule.window) as f64;
        rule.ratio * requests + rule.slack - repeats
    }
}

/// Window in which each instance counts its requests to a cold target: the second of
/// the bound and a little more, since a request that waited on its way
/// counts when it arrives.
pub const COLD_OWN_WINDOW: Duration = Duration::from_millis(1150);
/// Instances that may send to a cold target, by their rank for it.
pub const COLD_SENDERS: usize = 4;
/// Part of the bound that those instances share; the rest allows for instances that
/// know other members and so rank themselves otherwise.
const COLD_SHARED: f64 = 0.5;

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
    let shared = (bound.max(0.0) * COLD_SHARED).floor() as usize;
    if rank >= COLD_SENDERS {
        return 0;
    }
    let even = shared / COLD_SENDERS;
    let rest = shared % COLD_SENDERS;
    even + usize::from(rank < rest)
}

#[cfg(test)]
mod tests;
