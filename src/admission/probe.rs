//! Decides when to probe a target for its health and load: only when calls have
//! given no recent evidence, and within a request budget for each target and
//! one for the instance.

use std::time::Duration;

use indexmap::IndexMap;

use crate::names::TargetId;
use crate::units::Time;

/// Number of requests of one probe: one for health, one for load.
pub const REQUESTS_PER_PROBE: u32 = 2;

/// Request budgets for probes.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ProbeSettings {
    /// Requests per second to one target.
    pub per_target: f64,
    /// Requests per second of this instance.
    pub per_instance: f64,
    /// Maximum age of the evidence from calls; a target with recent evidence is
    /// not probed.
    pub max_evidence_age: Duration,
    /// Whether the budgets are enforced. Tests disable it to prove that the
    /// property tests detect its absence.
    pub enforce_budget: bool,
}

impl Default for ProbeSettings {
    fn default() -> Self {
        Self {
            per_target: 0.4,
            per_instance: 20.0,
            max_evidence_age: Duration::from_secs(2),
            enforce_budget: true,
        }
    }
}

#[derive(Debug, Clone, Copy)]
struct TokenBucket {
    level: f64,
    last_refill: Time,
}

impl TokenBucket {
    fn full(now: Time, burst: f64) -> Self {
        Self {
            level: burst,
            last_refill: now,
        }
    }

    fn fill(&mut self, now: Time, rate: f64, burst: f64) {
        let filled = self.level + rate * now.since(self.last_refill).as_secs_f64();
        self.level = filled.min(burst);
        self.last_refill = now;
    }
}

/// Token buckets for the probe requests of this instance and of each target.
#[derive(Debug, Clone)]
pub struct ProbeBudget {
    settings: ProbeSettings,
    instance: TokenBucket,
    targets: IndexMap<TargetId, TokenBucket>,
}

impl ProbeBudget {
    /// Creates a full budget.
    #[must_use]
    pub fn new(now: Time, settings: ProbeSettings) -> Self {
        Self {
            instance: TokenBucket::full(now, settings.per_instance),
            targets: IndexMap::new(),
            settings,
        }
    }

    /// Number of requests that this instance may send at once.
    #[must_use]
    pub fn left(&self) -> f64 {
        self.instance.level
    }

    /// Decides whether to probe a target whose last evidence is from
    /// `evidence`, and charges the budgets if so.
    pub fn take(&mut self, now: Time, target: &TargetId, evidence: Time) -> bool {
        let settings = self.settings;
        let is_recent = evidence != Time::ZERO && now < evidence.after(settings.max_evidence_age);
        if is_recent {
            return false;
        }
        let cost = f64::from(REQUESTS_PER_PROBE);
        self.instance
            .fill(now, settings.per_instance, settings.per_instance);
        let full = TokenBucket::full(now, cost);
        let bucket = self.targets.entry(target.clone()).or_insert(full);
        bucket.fill(now, settings.per_target, cost);
        let affordable = bucket.level >= cost && self.instance.level >= cost;
        if settings.enforce_budget && !affordable {
            return false;
        }
        bucket.level -= cost;
        self.instance.level -= cost;
        true
    }

    /// Removes the targets that `keep` does not select.
    pub fn retain(&mut self, keep: impl Fn(&TargetId) -> bool) {
        self.targets.retain(|target, _| keep(target));
    }
}

#[cfg(test)]
mod tests;
