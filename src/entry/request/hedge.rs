//! Decides when to send a hedge, a second attempt beside a running one.
//!
//! A target may become several times slower while a request runs there. Its probes show
//! this within a fraction of the request's duration, and another target may then answer
//! the caller sooner. A hedge costs another run, so it is only sent for a request that
//! would miss the objective that its route names, or that has stalled.

use std::time::Duration;

/// Multiple of the typical service time after which an attempt counts as stalled.
/// Service times vary by a third of their mean.
const STALLED_AFTER: f64 = 1.5;
/// Minimum fraction of the work that is assumed to remain while there is no response.
const MIN_REMAINING: f64 = 0.15;

/// Estimated progress of an attempt, from the reported slowness of its target.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Progress {
    /// Completed work, in units of usual work.
    done: f64,
}

impl Progress {
    /// Adds the progress of `time` at a target that takes `slowness` times as long as
    /// usual.
    pub fn advance(&mut self, time: Duration, service_time: Duration, slowness: f64) {
        let usual = service_time.as_secs_f64().max(f64::EPSILON);
        self.done += time.as_secs_f64() / (usual * slowness.max(1.0));
    }

    /// Expected time until the attempt ends; `None` when it appears stalled.
    #[must_use]
    pub fn remaining(self, service_time: Duration, slowness: f64) -> Option<Duration> {
        let left = (1.0 - self.done).max(MIN_REMAINING);
        (self.done < STALLED_AFTER).then(|| service_time.mul_f64(left * slowness.max(1.0)))
    }
}

/// Whether a hedge is worthwhile: the `current` attempt has stalled or is not expected to end
/// within the objective, and one that ends after `alternative` answers the caller sooner and
/// before its deadline.
#[must_use]
pub fn is_worthwhile(
    current: Option<Duration>,
    alternative: Duration,
    objective_left: Duration,
    deadline_left: Duration,
) -> bool {
    let is_sooner = |current| current > objective_left && alternative < current;
    current.is_none_or(is_sooner) && alternative <= deadline_left
}

#[cfg(test)]
mod tests;
