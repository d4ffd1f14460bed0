//! Outcomes of calls.

use std::time::Duration;

use hdrhistogram::Histogram;
use indexmap::IndexMap;

use super::plan::Class;

/// Highest latency of the histogram in microseconds; longer ones are recorded as this.
const MAX_LATENCY_US: u64 = 60_000_000;
/// Significant digits that the histogram keeps.
const SIGNIFICANT_DIGITS: u8 = 3;

/// Outcome of one call, as its caller knows it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum Outcome {
    /// The whole response arrived, with a success status.
    Answered,
    /// No target ran the call, for this reason.
    Refused(String),
    /// It is unknown whether a target ran the call.
    Unknown(String),
}

/// Outcomes of the calls of one class.
#[derive(Debug, Clone)]
pub(crate) struct ClassResult {
    /// Latency of answered calls, in microseconds.
    pub(crate) latency: Histogram<u64>,
    /// Number of calls that ended as [`Outcome::Answered`].
    pub(crate) answered: u64,
    /// Number of calls that ended as [`Outcome::Refused`].
    pub(crate) refused: u64,
    /// Number of calls that ended as [`Outcome::Unknown`].
    pub(crate) unknown: u64,
}

impl Default for ClassResult {
    fn default() -> Self {
        let latency = Histogram::new_with_bounds(1, MAX_LATENCY_US, SIGNIFICANT_DIGITS);
        Self {
            latency: latency.unwrap_or_else(|_| unreachable!("the bounds are constant and valid")),
            answered: 0,
            refused: 0,
            unknown: 0,
        }
    }
}

impl ClassResult {
    /// Number of calls with any outcome.
    pub(crate) fn offered(&self) -> u64 {
        self.answered + self.refused + self.unknown
    }

    /// Latency of answered calls at `quantile` (0 to 1), in milliseconds.
    pub(crate) fn quantile_ms(&self, quantile: f64) -> f64 {
        let micros = self.latency.value_at_quantile(quantile);
        Duration::from_micros(micros).as_secs_f64() * 1e3
    }

    fn merge(&mut self, other: &Self) {
        // Can't fail: both histograms have the same bounds.
        let _ = self.latency.add(&other.latency);
        self.answered += other.answered;
        self.refused += other.refused;
        self.unknown += other.unknown;
    }
}

/// Outcomes of the calls of one run.
#[derive(Debug, Clone, Default)]
pub(crate) struct Results {
    /// Outcomes by class. Calls of the warm-up are left out.
    pub(crate) classes: IndexMap<Class, ClassResult>,
    /// Number of calls for each failure reason.
    pub(crate) failures: IndexMap<String, u64>,
    /// Numbers of the calls that were reported to the caller as not run.
    pub(crate) reported_not_run: Vec<u64>,
    /// Numbers of the calls that must run at most once.
    pub(crate) at_most_once: Vec<u64>,
    /// Numbers of the calls that were answered.
    pub(crate) reported_answered: Vec<u64>,
}

impl Results {
    /// Records the outcome of one call after all its retries.
    pub(crate) fn record(&mut self, class: Class, outcome: &Outcome, latency: Duration) {
        let result = self.classes.entry(class).or_default();
        let micros = u64::try_from(latency.as_micros()).unwrap_or(MAX_LATENCY_US);
        let kind = match outcome {
            Outcome::Answered => {
                result.answered += 1;
                result.latency.saturating_record(micros);
                return;
            }
            Outcome::Refused(kind) => {
                result.refused += 1;
                kind
            }
            Outcome::Unknown(kind) => {
                result.unknown += 1;
                kind
            }
        };
        *self.failures.entry(kind.clone()).or_default() += 1;
    }

    /// Records the number and outcome of one attempt, to be compared with the
    /// targets' counts.
    pub(crate) fn record_call_number(&mut self, class: Class, call: u64, outcome: &Outcome) {
        if class == Class::Order {
            self.at_most_once.push(call);
        }
        match outcome {
            Outcome::Answered => self.reported_answered.push(call),
            Outcome::Refused(_) => self.reported_not_run.push(call),
            Outcome::Unknown(_) => {}
        }
    }

    /// Adds the calls of another load thread or run.
    pub(crate) fn merge(&mut self, other: Self) {
        for (class, result) in &other.classes {
            self.classes.entry(*class).or_default().merge(result);
        }
        for (kind, count) in other.failures {
            *self.failures.entry(kind).or_default() += count;
        }
        self.reported_not_run.extend(other.reported_not_run);
        self.at_most_once.extend(other.at_most_once);
        self.reported_answered.extend(other.reported_answered);
    }

    /// Results of one class; empty when none of its calls was offered.
    pub(crate) fn class(&self, class: Class) -> ClassResult {
        self.classes.get(&class).cloned().unwrap_or_default()
    }

    /// Results of all classes together.
    pub(crate) fn total(&self) -> ClassResult {
        let mut total = ClassResult::default();
        for result in self.classes.values() {
            total.merge(result);
        }
        total
    }
}
