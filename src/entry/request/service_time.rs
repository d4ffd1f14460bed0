//! Typical service times of routes.

use std::sync::Arc;
use std::time::Duration;

use indexmap::IndexMap;

/// Number of responses whose mean is the estimate; it then follows further ones.
const MEAN_SAMPLES: u32 = 10;
/// Relative step of the estimate towards each further response. Equal steps up and down
/// make it follow the median, which a few slow responses do not move.
const ADJUSTMENT: f64 = 0.03;
#[derive(Debug, Clone, Copy, Default)]
struct Estimate {
    seconds: f64,
    samples: u32,
}

/// Typical service times by route.
#[derive(Debug, Clone, Default)]
pub struct ServiceTimes {
    routes: IndexMap<Arc<str>, Estimate>,
}

impl ServiceTimes {
    /// Records a response that took `took` at a target that had a free slot and whose
    /// work took `slowness` times as long as usual.
    pub fn record(&mut self, route: &Arc<str>, took: Duration, slowness: f64) {
        let estimate = self.routes.entry(route.clone()).or_default();
        let seconds = took.as_secs_f64() / slowness.max(1.0);
        estimate.samples = estimate.samples.saturating_add(1);
        if estimate.samples <= MEAN_SAMPLES {
            estimate.seconds += (seconds - estimate.seconds) / f64::from(estimate.samples);
        } else if seconds > estimate.seconds {
            estimate.seconds *= 1.0 + ADJUSTMENT;
        } else {
            estimate.seconds *= 1.0 - ADJUSTMENT;
        }
    }

    /// The typical service time of a route; `None` until the first response.
    #[must_use]
    pub fn get(&self, route: &str) -> Option<Duration> {
        let estimate = self.routes.get(route)?;
        Some(Duration::from_secs_f64(estimate.seconds))
    }

    /// The same, `None` until the estimate no longer depends on a few responses.
    #[must_use]
    pub fn settled(&self, route: &str) -> Option<Duration> {
        let estimate = self.routes.get(route)?;
        let estimate = (estimate.samples >= MEAN_SAMPLES).then_some(estimate)?;
        Some(Duration::from_secs_f64(estimate.seconds))
    }
}

#[cfg(test)]
mod tests;
