//! Checks of the guarantees against the observations of callers and targets.

mod keys;

use std::net::IpAddr;
use std::time::Duration;

use indexmap::IndexMap;

/// Time before and after a disturbance in which the instance may lose requests.
const DISTURBANCE_MARGIN: Duration = Duration::from_secs(1);

/// Outcome of a call as the caller observed it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CallOutcome {
    /// A complete response arrived.
    Responded {
        /// HTTP status.
        status: u16,
        /// Whether the response names this call and, if successful, has the expected body.
        matches_request: bool,
    },
    /// The connection closed without a complete response.
    ConnectionLost,
    /// No response arrived in time.
    TimedOut,
    /// No connection could be opened.
    NotConnected,
}

/// Key of a client account that a call had.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CallKey {
    /// Name of the account.
    pub account: &'static str,
    /// The key.
    pub text: String,
    /// First version of the configuration with the key.
    pub first: u64,
    /// Last version with the key.
    pub last: u64,
}

/// One call as the caller observed it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Call {
    /// Identifier of the request.
    pub id: String,
    /// Key that it had.
    pub key: CallKey,
    /// Whether the request must not run more than once.
    pub at_most_once: bool,
    /// Instance that the call was sent to.
    pub instance: IpAddr,
    /// Time at which the call was sent, since the start of the callers.
    pub sent: Duration,
    /// Time at which the call ended, since the start of the callers.
    pub ended: Duration,
    /// How the call ended.
    pub outcome: CallOutcome,
}

/// A period in which an instance was killed, paused or started.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Disturbance {
    /// Instance that was disturbed.
    pub instance: IpAddr,
    /// Start of the period, since the start of the callers.
    pub from: Duration,
    /// End of the period, since the start of the callers.
    pub until: Duration,
}

/// A configuration version that an instance reported.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ObservedVersion {
    /// Instance that reported the version.
    pub instance: IpAddr,
    /// Ordinal of the instance's process; a new process may report an older version.
    pub process: usize,
    /// Time of the report, since the start of the callers.
    pub at: Duration,
    /// Version of the configuration in force.
    pub version: u64,
}

/// Everything that was observed in a run.
#[derive(Debug, Clone, Default)]
pub struct Observations {
    /// Calls of all callers.
    pub calls: Vec<Call>,
    /// Number of runs of each request, over all targets.
    pub runs: IndexMap<String, u32>,
    /// Number of arrivals of each request, over all targets.
    pub arrivals: IndexMap<String, u32>,
    /// Names of accounts that targets were told, by request.
    pub accounts: IndexMap<String, Vec<String>>,
    /// Requests that arrived at a target with an `Authorization` header.
    pub with_authorization: Vec<String>,
    /// Number of instances.
    pub instances: usize,
    /// Versions of the configuration, and when they were written.
    pub written: Vec<(Duration, u64)>,
    /// Disturbances of instances.
    pub disturbances: Vec<Disturbance>,
    /// Versions in the order in which they were observed.
    pub versions: Vec<ObservedVersion>,
    /// Duration of the run, since the start of the callers.
    pub duration: Duration,
}

/// Retry budget, as in the instances' settings.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RetryBudget {
    /// Retries allowed per request.
    pub ratio: f64,
    /// Retries allowed in a window beyond the ratio.
    pub slack: f64,
    /// Length of a window.
    pub window: Duration,
}

/// Returns one message for each violated guarantee.
#[must_use]
pub fn violations(observations: &Observations, budget: RetryBudget) -> Vec<String> {
    let mut found = Vec::new();
    for call in &observations.calls {
        found.extend(wrong_response(observations, call));
        found.extend(lost_by_an_undisturbed_instance(observations, call));
    }
    found.extend(keys::violations(observations));
    found.extend(version_regressions(observations));
    found.extend(retries_over_budget(observations, budget));
    found
}

fn runs(observations: &Observations, call: &Call) -> u32 {
    observations.runs.get(&call.id).copied().unwrap_or_default()
}

fn wrong_response(observations: &Observations, call: &Call) -> Option<String> {
    let runs = runs(observations, call);
    if call.at_most_once && runs > 1 {
        return Some(format!(
            "{} must run at most once but ran {runs} times",
            call.id
        ));
    }
    let CallOutcome::Responded {
        status,
        matches_request,
    } = call.outcome
    else {
        return None;
    };
    let claims_not_run = matches!(status, 408 | 421 | 429 | 503);
    if call.at_most_once && claims_not_run && runs > 0 {
        return Some(format!(
            "{} ran, but its response was {status} (not run)",
            call.id
        ));
    }
    if status == 404 {
        return Some(format!(
            "{} got status 404 although its route exists",
            call.id
        ));
    }
    (!matches_request).then(|| {
        format!(
            "{} got the response of another call or a truncated one",
            call.id
        )
    })
}

fn lost_by_an_undisturbed_instance(observations: &Observations, call: &Call) -> Option<String> {
    if call.outcome != CallOutcome::ConnectionLost || runs(observations, call) == 0 {
        return None;
    }
    let is_excused = observations.disturbances.iter().any(|disturbance| {
        disturbance.instance == call.instance
            && disturbance.from <= call.ended + DISTURBANCE_MARGIN
            && call.sent <= disturbance.until + DISTURBANCE_MARGIN
    });
    (!is_excused).then(|| {
        format!(
            "{} ran, but {} closed its connection at {:?} without a fault of the instance",
            call.id, call.instance, call.ended
        )
    })
}

fn version_regressions(observations: &Observations) -> Vec<String> {
    let mut highest: IndexMap<(IpAddr, usize), u64> = IndexMap::new();
    let mut found = Vec::new();
    for observed in &observations.versions {
        let known = highest
            .entry((observed.instance, observed.process))
            .or_default();
        if observed.version < *known {
            let (from, to) = (*known, observed.version);
            found.push(format!(
                "{} went back from version {from} to {to}",
                observed.instance
            ));
        }
        *known = observed.version.max(*known);
    }
    found
}

/// Checks the retries of the whole run against the budget of all windows that it spans.
fn retries_over_budget(observations: &Observations, budget: RetryBudget) -> Option<String> {
    let retries: u32 = observations.arrivals.values().map(|count| count - 1).sum();
    let windows = (observations.duration.div_duration_f64(budget.window)).floor() + 1.0;
    let sent = |call: &&Call| call.outcome != CallOutcome::NotConnected;
    let requests = observations.calls.iter().filter(sent).count();
    let requests = f64::from(u32::try_from(requests).unwrap_or(u32::MAX));
    let allowed = budget.ratio * requests + budget.slack * windows;
    (f64::from(retries) > allowed)
        .then(|| format!("{retries} retries of {requests} requests, {allowed} allowed"))
}

#[cfg(test)]
mod tests;
