//! The usual time of a route's requests.

use std::sync::Arc;
use std::time::Duration;

use indexmap::IndexMap;

/// Answers after which the usual time of a route is known well enough.
const MIN_SAMPLES: u32 = 10;
/// Step of the estimate towards one more answer, as a part of it. Equal steps up and
/// down make it follow the median, which a few slow answers don't move.
const ADJUSTMENT: f64 = 0.03;
#[derive(Debug, Clone, Copy, Default)]
struct Estimate {
    seconds: f64,
    samples: u32,
}

/// Usual times by route.
#[derive(Debug, Clone, Default)]
pub struct ServiceTimes {
    routes: IndexMap<Arc<str>, Estimate>,
}

impl ServiceTimes {
    /// Notes an answer that took `took` at a target that had a free slot and whose work
    /// took `slowness` times as long as usual.
    pub fn record(&mut self, route: &Arc<str>, took: Duration, slowness: f64) {
        let estimate = self.routes.entry(route.clone()).or_default();
        let seconds = took.as_secs_f64() / slowness.max(1.0);
        estimate.samples = estimate.samples.saturating_add(1);
        if estimate.samples <= MIN_SAMPLES {
            estimate.seconds += (seconds - estimate.seconds) / f64::from(estimate.samples);
        } else if seconds > estimate.seconds {
            estimate.seconds *= 1.0 + ADJUSTMENT;
        } else {
            estimate.seconds *= 1.0 - ADJUSTMENT;
        }
    }

    /// The usual time of a route; `None` until enough answers came.
    #[must_use]
    pub fn get(&self, route: &str) -> Option<Duration> {
        let estimate = self.routes.get(route)?;
        (estimate.samples >= MIN_SAMPLES).then(|| Duration::from_secs_f64(estimate.seconds))
    }
}

#[cfg(test)]
mod tests;
