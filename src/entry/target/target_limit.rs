//! The request rate that a target accepts from all instances together, as its responses
//! name it while it is overloaded.
//!
//! One instance, the target's prober, may send to it; see `docs/design/target-limits.md`.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::entry::window::SlidingWindow;
use crate::units::Time;

/// Window of the rule.
const RULE_WINDOW: Duration = Duration::from_secs(4);
/// Window in which requests and health checks are counted: that of the rule and a margin,
/// since a delayed request counts when it arrives.
pub const LIMIT_WINDOW: Duration = Duration::from_millis(4300);
/// Factor on the limit, and number of requests in addition, that the rule allows.
const RULE_FACTOR: f64 = 1.5;
const RULE_SLACK: f64 = 5.0;
/// Fraction of what the rule allows that the prober uses. The rest allows for two probers
/// while views of the members differ.
const PROBER_FRACTION: f64 = 0.5;
/// Time by which an instance may learn later than another that the prober has changed.
const VIEW_LAG: Duration = Duration::from_millis(1500);
/// Minimum time between two health checks of a limited target.
const CHECK_INTERVAL: Duration = Duration::from_secs(1);
/// Time for which a limit holds that no instance has confirmed.
const RETENTION: Duration = Duration::from_secs(60);

/// A target's limit, as told to peers.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct NamedLimit {
    /// Key of the target's run; see [`crate::entry::fleet::members::target_key`].
    pub target: u64,
    /// Requests a second; `None` if it names no limit any more.
    pub per_second: Option<f64>,
    /// Milliseconds since the response that named it.
    pub age_ms: u16,
}

/// Whether a limit lets this instance send a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LimitDecision {
    /// There is no limit, or it is not used up.
    Send,
    /// It is used up for now.
    UsedUp,
    /// Another instance may use it.
    Elsewhere,
}

/// What an instance knows of a target's limit, and what it has sent there.
#[derive(Debug, Clone, Default)]
pub struct TargetLimit {
    per_second: Option<f64>,
    named_at: Time,
    /// When it was last known to be limited.
    limited_at: Option<Time>,
    sent: SlidingWindow,
    checked_at: Option<Time>,
    prober_since: Option<Time>,
}

impl TargetLimit {
    /// The limit in requests a second; `None` if the target names none.
    #[must_use]
    pub fn per_second(&self, now: Time) -> Option<f64> {
        self.per_second
            .filter(|_| now.since(self.named_at) < RETENTION)
    }

    /// Records the limit that a response of the target named at `at`, unless a later one is
    /// known; returns whether it changed.
    pub fn record_named(&mut self, at: Time, per_second: Option<f64>) -> bool {
        if at < self.named_at {
            return false;
        }
        self.named_at = at;
        let changed = self.per_second != per_second;
        if per_second.is_some() || changed {
            self.limited_at = Some(at);
        }
        self.per_second = per_second;
        changed
    }

    /// What to tell peers of the run `target`; `None` if it was not limited lately.
    #[must_use]
    pub fn named(&self, now: Time, target: u64) -> Option<NamedLimit> {
        let age = now.since(self.named_at);
        let is_recent = self.limited_at.is_some_and(|at| now.since(at) < RETENTION);
        (is_recent && age < RETENTION).then(|| NamedLimit {
            target,
            per_second: self.per_second,
            age_ms: u16::try_from(age.as_millis()).unwrap_or(u16::MAX),
        })
    }

    /// Sets whether this instance is the target's prober, according to its own view.
    pub fn set_prober(&mut self, now: Time, is_prober: bool) {
        if is_prober {
            self.prober_since.get_or_insert(now);
        } else {
            self.prober_since = None;
        }
    }

    /// Records a request or a health check to the target.
    pub fn record_sent(&mut self, now: Time) {
        self.sent.record(now);
        self.sent.count(now, LIMIT_WINDOW);
    }

    /// Requests and health checks of this instance in the last [`LIMIT_WINDOW`].
    pub fn sent(&mut self, now: Time) -> usize {
        self.sent.count(now, LIMIT_WINDOW)
    }

    /// Whether a request may be sent now.
    pub fn decide(&mut self, now: Time) -> LimitDecision {
        let Some(per_second) = self.per_second(now) else {
            return LimitDecision::Send;
        };
        if !self.is_settled(now) {
            return LimitDecision::Elsewhere;
        }
        if self.sent(now) < allowance(per_second) {
            LimitDecision::Send
        } else {
            LimitDecision::UsedUp
        }
    }

    /// Whether a health check may be sent now; records it if so. Checks of a limited target
    /// take at most half of the allowance. A new prober sends none while an earlier one may
    /// still send, and then one until it is settled.
    pub fn try_check(&mut self, now: Time) -> bool {
        if let Some(per_second) = self.per_second(now) {
            let is_due = self
                .checked_at
                .is_none_or(|at| now.since(at) >= CHECK_INTERVAL);
            let max = if self.is_settled(now) {
                allowance(per_second).div_ceil(2)
            } else {
                1
            };
            if !is_due || !self.is_prober_for(now, VIEW_LAG) || self.sent(now) >= max {
                return false;
            }
        }
        self.checked_at = Some(now);
        self.record_sent(now);
        true
    }

    /// Whether this instance has been the prober for so long that what an earlier one sent
    /// has left the window, even if that one learned of the change late.
    fn is_settled(&self, now: Time) -> bool {
        self.is_prober_for(now, VIEW_LAG + LIMIT_WINDOW)
    }

    fn is_prober_for(&self, now: Time, time: Duration) -> bool {
        self.prober_since
            .is_some_and(|since| now.since(since) >= time)
    }
}

/// Requests and health checks that the prober may send in a [`LIMIT_WINDOW`].
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "a positive number of requests"
)]
fn allowance(per_second: f64) -> usize {
    let allowed = RULE_FACTOR * per_second * RULE_WINDOW.as_secs_f64() + RULE_SLACK;
    (allowed * PROBER_FRACTION) as usize
}

#[cfg(test)]
mod tests;
