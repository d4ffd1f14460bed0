//! How recent the copy of the store's records is known to be.
//!
//! A watch that waits looks the same whether the store has no news or its response will never
//! arrive. Instances therefore tell each other the age of the store's last answer.

use std::time::Duration;

use crate::units::Time;

/// Fraction of the propagation limit between two answers in calm. With the time until all have
/// heard of an answer, 0.2 s, or 0.5 s through relays in a large membership, it must stay below
/// [`DOUBT_FRACTION`] at limits of 2, 2.5 and 3 s.
const ANSWER_INTERVAL_FRACTION: f64 = 0.35;
/// Fraction of the propagation limit after which the copy is in doubt. The rest, 0.8 s at 2 s and
/// 1 s at 2.5 s, is for others to ask (0.1 s, and one step of more that ask) and for what they find
/// to reach all, which takes 0.4 s, or 0.7 s through relays.
const DOUBT_FRACTION: f64 = 0.6;

/// Times that follow from the limit within which changes must be in force everywhere.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FreshnessLimits {
    /// Time between two answers of the store to any of the watchers, unless it has changes.
    pub answer_interval: Duration,
    /// Age of the last answer from which the copy is in doubt.
    pub doubt_after: Duration,
    /// Age of the last answer from which the store counts as unavailable: a store that
    /// serves any instance would have answered.
    pub outage_after: Duration,
}

impl FreshnessLimits {
    /// The times for a propagation limit.
    #[must_use]
    pub fn new(propagation_limit: Duration) -> Self {
        Self {
            answer_interval: propagation_limit.mul_f64(ANSWER_INTERVAL_FRACTION),
            doubt_after: propagation_limit.mul_f64(DOUBT_FRACTION),
            outage_after: propagation_limit,
        }
    }
}

/// When the store last answered, as far as this instance knows.
#[derive(Debug, Clone, Copy)]
pub struct Freshness {
    started: Time,
    own: Option<Time>,
    /// The last one whose content the copy has.
    last: Option<Time>,
    /// The last one to any instance.
    any: Option<Time>,
}

impl Freshness {
    /// Of an instance that starts now.
    #[must_use]
    pub fn new(now: Time) -> Self {
        Self {
            started: now,
            own: None,
            last: None,
            any: None,
        }
    }

    /// Records an answer to this instance that brought its copy up to date.
    pub fn record_own(&mut self, now: Time) {
        self.own = Some(now);
        self.record(now);
    }

    /// Records an answer to any instance whose content the copy has.
    pub fn record(&mut self, at: Time) {
        self.last = self.last.max(Some(at));
        self.record_elsewhere(at);
    }

    /// Records an answer to another instance whose content the copy may lack.
    pub fn record_elsewhere(&mut self, at: Time) {
        self.any = self.any.max(Some(at));
    }

    /// When the store last answered this instance.
    #[must_use]
    pub fn own_answer(&self) -> Option<Time> {
        self.own
    }

    /// When the store last answered any instance; what it had acknowledged by then is in the
    /// copy. `None` before the first.
    #[must_use]
    pub fn last_answer(&self) -> Option<Time> {
        self.last
    }

    /// Time since the last answer whose content the copy has, or since the start.
    #[must_use]
    pub fn age(&self, now: Time) -> Duration {
        now.since(self.last.unwrap_or(self.started))
    }

    /// Time since the store last answered at all, or since the start.
    #[must_use]
    pub fn silence(&self, now: Time) -> Duration {
        now.since(self.any.unwrap_or(self.started))
    }
}
