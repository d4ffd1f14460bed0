//! When a second attempt beside a running one pays.
//!
//! Load pattern: a target becomes several times slower while a request runs there.
//! Its home's probes tell so within a fraction of the request's time, and another
//! target may still finish the request within its objective.

use std::time::Duration;

/// Usual times of work after which an attempt counts as stuck: work varies by a third
/// of its mean.
const STALLED_AFTER: f64 = 1.5;
/// Least part of the work that is taken to remain while an attempt has no answer.
const MIN_REMAINING: f64 = 0.15;

/// How far an attempt has come, as its target's reported slowness lets expect.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Progress {
    /// Work done, in units of usual work.
    done: f64,
}

impl Progress {
    /// Notes that `time` has passed at a target that works `slowness` times as long.
    pub fn advance(&mut self, time: Duration, service_time: Duration, slowness: f64) {
        let usual = service_time.as_secs_f64().max(f64::EPSILON);
        self.done += time.as_secs_f64() / (usual * slowness.max(1.0));
    }

    /// Expected time until the attempt ends; `None` when it seems stuck.
    #[must_use]
    pub fn remaining(self, service_time: Duration, slowness: f64) -> Option<Duration> {
        let left = (1.0 - self.done).max(MIN_REMAINING);
        (self.done < STALLED_AFTER).then(|| service_time.mul_f64(left * slowness.max(1.0)))
    }
}

/// Whether a second attempt pays: the first is not expected to end within the
/// objective, and the second, which would end after `there`, is.
#[must_use]
pub fn is_worthwhile(
    current: Option<Duration>,
    alternative: Duration,
    objective_left: Duration,
) -> bool {
    current.is_none_or(|current| current > objective_left) && alternative <= objective_left
}

#[cfg(test)]
mod tests;
