//! The request rate that a target accepts from all instances together, as its responses
//! name it while it is overloaded.

use std::time::Duration;

use super::window::SlidingWindow;
use crate::units::Time;

/// Window in which requests and health checks are counted: the 4 s of the rule and a
/// margin, since a delayed request counts when it arrives.
pub const LIMIT_WINDOW: Duration = Duration::from_millis(4300);

/// What an instance knows of a target's limit, and what it has sent there.
#[derive(Debug, Clone, Default)]
pub struct TargetLimit {
    per_second: Option<f64>,
    named_at: Time,
    sent: SlidingWindow,
}

impl TargetLimit {
    /// The limit in requests a second; `None` if the target names none.
    #[must_use]
    pub fn per_second(&self) -> Option<f64> {
        self.per_second
    }

    /// Records the limit that a response of the target named at `at`, unless a later one is
    /// known; returns whether it changed.
    pub fn record_named(&mut self, at: Time, per_second: Option<f64>) -> bool {
        if at < self.named_at {
            return false;
        }
        self.named_at = at;
        let changed = self.per_second != per_second;
        self.per_second = per_second;
        changed
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
}
