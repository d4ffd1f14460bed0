//! Estimates the wait for a slot from the time for which slots are held.

use std::time::Duration;

use crate::admission::permit::CallResult;

/// Number of observed calls from which the estimate is used.
const MIN_CALLS: u32 = 16;
/// Divisor of the moving average: each call contributes one part in this many.
const MEAN_DIVISOR: u64 = 16;
/// Rate at which the minimum rises: by one part in this many of the difference
/// for each completed call.
const MIN_RISE_DIVISOR: u64 = 64;

/// Statistics of the time for which slots are held.
#[derive(Debug, Clone, Default)]
pub(super) struct Estimate {
    calls: u32,
    mean_us: u64,
    min_us: u64,
}

impl Estimate {
    /// Records for how long a call held its slot.
    pub(super) fn record(&mut self, result: CallResult, hold_time: Duration) {
        let hold_us = u64::try_from(hold_time.as_micros()).unwrap_or(u64::MAX);
        if self.calls == 0 {
            self.mean_us = hold_us;
            self.min_us = hold_us;
        }
        self.calls = self.calls.saturating_add(1);
        self.mean_us = (self.mean_us * (MEAN_DIVISOR - 1)).saturating_add(hold_us) / MEAN_DIVISOR;
        if result == CallResult::Completed {
            let rise = hold_us.saturating_sub(self.min_us) / MIN_RISE_DIVISOR;
            self.min_us = hold_us.min(self.min_us + rise);
        }
    }

    /// Estimates the wait of a request with `ahead` requests before it on
    /// `slots` slots; `None` until enough calls have been observed.
    pub(super) fn wait(&self, ahead: usize, slots: u32) -> Option<Duration> {
        if self.calls < MIN_CALLS {
            return None;
        }
        let ahead = u64::try_from(ahead).unwrap_or(u64::MAX);
        let wait = self.mean_us.saturating_mul(ahead.saturating_add(1));
        Some(Duration::from_micros(wait / u64::from(slots.max(1))))
    }

    /// Estimates the shortest time that a call takes once it has a slot; zero
    /// until enough calls have been observed.
    pub(super) fn min_hold(&self) -> Duration {
        if self.calls < MIN_CALLS {
            return Duration::ZERO;
        }
        Duration::from_micros(self.min_us)
    }
}
