//! Whether this instance can open connections to a target.
//!
//! Health as reported by a target's prober holds for all instances. A partition may cut one
//! of them off, so a failed connect is kept apart, until a check of this instance succeeds.

use std::time::Duration;

use crate::entry::fleet::message::Health;
use crate::units::Time;

/// Delay of the first check after a failure, doubled with each check.
const FIRST_CHECK_DELAY: Duration = Duration::from_millis(200);
/// Maximum delay of a check.
const MAX_CHECK_DELAY: Duration = Duration::from_secs(2);
/// Age up to which a report that a target is unreachable makes an own check pointless.
const FRESH_REPORT: Duration = Duration::from_secs(1);

/// Path of this instance to one target.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct TargetPath {
    failure: Option<Failure>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Failure {
    /// When the last connection failed.
    at: Time,
    /// Delay of the next check after it.
    delay: Duration,
    /// When the next check is due.
    check_at: Time,
}

impl TargetPath {
    /// Whether no connection could be opened the last time.
    #[must_use]
    pub fn has_failed(&self) -> bool {
        self.failure.is_some()
    }

    /// Records that no connection could be opened, or that the target answered nothing.
    pub fn record_failure(&mut self, now: Time) {
        let delay = self.failure.map_or(FIRST_CHECK_DELAY, |known| known.delay);
        self.failure = Some(Failure {
            at: now,
            delay,
            check_at: now.after(delay),
        });
    }

    /// Records a response over a connection that was opened at `opened`; returns whether
    /// the path had failed before.
    pub fn record_response(&mut self, opened: Time) -> bool {
        let is_later = self.failure.is_some_and(|failure| opened >= failure.at);
        if is_later {
            self.failure = None;
        }
        is_later
    }

    /// Whether to check the path now, and records that it is checked. `reported` is what
    /// the target's prober found last, and when. A target that is unreachable for it too is
    /// left alone.
    pub fn try_check(&mut self, now: Time, reported: Option<(Health, Time)>) -> bool {
        let is_down = reported.is_some_and(|(health, at)| {
            health == Health::Unreachable && now.since(at) < FRESH_REPORT
        });
        let Some(failure) = &mut self.failure else {
            return false;
        };
        if is_down || now < failure.check_at {
            return false;
        }
        failure.delay = (failure.delay * 2).min(MAX_CHECK_DELAY);
        failure.check_at = now.after(failure.delay);
        true
    }
}

#[cfg(test)]
mod tests;
