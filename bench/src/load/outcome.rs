//! What became of the calls.

use std::time::Duration;

use hdrhistogram::Histogram;
use indexmap::IndexMap;

use super::plan::Class;

/// Longest latency that is told apart, in microseconds.
const MAX_LATENCY_US: u64 = 60_000_000;
/// Significant digits of a latency.
const SIGNIFICANT_DIGITS: u8 = 3;

/// What became of one call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum Outcome {
    /// The whole answer came.
    Answered,
    /// The caller was told that the call was not run, and why.
    Refused(String),
    /// It is not known whether the call ran.
    Unknown(String),
}

/// What became of the calls of one class.
#[derive(Debug, Clone)]
pub(crate) struct ClassResult {
    /// Latency of the answered calls, in microseconds.
    pub(crate) latency: Histogram<u64>,
    /// Calls answered.
    pub(crate) answered: u64,
    /// Calls refused as not run.
    pub(crate) refused: u64,
    /// Calls of which it is not known whether they ran.
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
    /// Calls offered.
    pub(crate) fn offered(&self) -> u64 {
        self.answered + self.refused + self.unknown
    }

    /// The latency below which the share `quantile` of the answered calls lies.
    pub(crate) fn quantile_ms(&self, quantile: f64) -> f64 {
        let micros = self.latency.value_at_quantile(quantile);
        Duration::from_micros(micros).as_secs_f64() * 1e3
    }

    fn merge(&mut self, other: &Self) {
        // Both sides have the same bounds.
        let _ = self.latency.add(&other.latency);
        self.answered += other.answered;
        self.refused += other.refused;
        self.unknown += other.unknown;
    }
}

/// What became of a run's calls.
#[derive(Debug, Clone, Default)]
pub(crate) struct Results {
    /// By class.
    pub(crate) classes: IndexMap<Class, ClassResult>,
    /// How often each outcome other than an answer was seen.
    pub(crate) failures: IndexMap<String, u64>,
    /// Numbers of the calls whose callers were told that they were not run.
    pub(crate) reported_not_run: Vec<u64>,
    /// Numbers of the calls that may not be repeated.
    pub(crate) at_most_once: Vec<u64>,
    /// Numbers of the calls that were answered.
    pub(crate) reported_answered: Vec<u64>,
}

impl Results {
    /// Records one call.
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

    /// Records what the caller of a numbered call was told.
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

    /// Adds another run's calls.
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

    /// The results of one class, empty when none of its calls was offered.
    pub(crate) fn class(&self, class: Class) -> ClassResult {
        self.classes.get(&class).cloned().unwrap_or_default()
    }

    /// The results of every class together.
    pub(crate) fn total(&self) -> ClassResult {
        let mut total = ClassResult::default();
        for result in self.classes.values() {
            total.merge(result);
        }
        total
    }
}
