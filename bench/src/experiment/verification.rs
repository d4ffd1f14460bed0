//! Checks reported outcomes against the calls that targets ran, and turns results
//! into figures.

use std::collections::HashMap;

use crate::Error;
use crate::load::{ClassResult, Results};
use crate::report::{Curve, Experiment, Figure, count, figure};
use crate::role::platform::Command;
use crate::testbed::Testbed;

/// Quantiles of a plotted latency curve.
const CURVE_QUANTILES: [f64; 9] = [0.0, 0.25, 0.5, 0.75, 0.9, 0.95, 0.99, 0.995, 0.999];

/// Number of calls that broke a rule, by rule. Only orders carry a number, so only
/// orders are checked.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Violations {
    /// Calls reported as not run that a target ran.
    pub(crate) ran_despite_refusal: u64,
    /// Calls that must run at most once and ran more often.
    pub(crate) ran_twice: u64,
    /// Calls reported as answered that no target ran.
    pub(crate) answered_not_run: u64,
}

impl Violations {
    pub(crate) fn total(self) -> u64 {
        self.ran_despite_refusal + self.ran_twice + self.answered_not_run
    }
}

/// Compares the outcomes that callers saw with the targets' counts of runs.
pub(crate) fn violations(testbed: &mut Testbed, results: &Results) -> Result<Violations, Error> {
    let runs: Vec<(u64, u32)> = testbed.platform.request(&Command::Runs)?;
    let runs: HashMap<u64, u32> = runs.into_iter().collect();
    let times = |call: &u64| runs.get(call).copied().unwrap_or(0);
    let counted = |calls: &[u64], is_violation: &dyn Fn(u32) -> bool| {
        calls
            .iter()
            .filter(|call| is_violation(times(call)))
            .count() as u64
    };
    let at_most_once: std::collections::HashSet<u64> =
        results.at_most_once.iter().copied().collect();
    let at_most_once_answered = results
        .reported_answered
        .iter()
        .filter(|call| at_most_once.contains(call));
    let answered: Vec<u64> = at_most_once_answered.copied().collect();
    Ok(Violations {
        ran_despite_refusal: counted(&results.reported_not_run, &|times| times > 0),
        ran_twice: counted(&results.at_most_once, &|times| times > 1),
        answered_not_run: counted(&answered, &|times| times == 0),
    })
}

/// Violations as figures.
pub(crate) fn figures(violations: Violations) -> Vec<Figure> {
    vec![
        count("told not run but ran", violations.ran_despite_refusal),
        count("ran more than once", violations.ran_twice),
        count("answered but not run", violations.answered_not_run),
    ]
}

/// Latency quantiles as figures, with `prefix` before their names.
pub(crate) fn latencies(prefix: &str, result: &ClassResult) -> Vec<Figure> {
    let quantile = |name: &str, share| {
        figure(
            format!("{prefix} {name}").trim(),
            result.quantile_ms(share),
            "ms",
        )
    };
    vec![
        quantile("p50", 0.5),
        quantile("p99", 0.99),
        quantile("p99.9", 0.999),
    ]
}

/// Adds a latency curve for the plot, unless no call was answered.
pub(crate) fn curve(experiment: &mut Experiment, name: String, result: &ClassResult) {
    if result.latency.is_empty() {
        return;
    }
    let points = CURVE_QUANTILES.map(|share| (share, result.quantile_ms(share)));
    experiment.curves.push(Curve {
        name,
        points: points.to_vec(),
    });
}

/// Failure reasons with their counts, most frequent first, as a note.
pub(crate) fn failure_summary(results: &Results) -> String {
    let mut failures: Vec<_> = results.failures.iter().collect();
    failures.sort_by_key(|(_, count)| std::cmp::Reverse(**count));
    let failures: Vec<_> = failures
        .iter()
        .map(|(kind, count)| format!("{kind}: {count}"))
        .collect();
    if failures.is_empty() {
        "every call was answered".to_owned()
    } else {
        failures.join(", ")
    }
}
