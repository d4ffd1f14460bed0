//! Decides whether a target is checked right before a request is sent to it, and whether
//! the request is then sent.
//!
//! Load pattern: a quarter of the targets run several times slower for half a second at a
//! time, and work that starts in such a spell ends late. A report of an earlier probe is
//! up to some tenths of a second old by then. A check on the connection of the request
//! takes one round trip; it also finds connections and targets that are gone before a
//! request that must run at most once is lost there.

use std::time::Duration;

use crate::entry::target::placement::{self, Candidate, PlacementSettings, Requirements};

/// Parameters of the decisions.
#[derive(Debug, Clone, PartialEq)]
pub struct PrecheckSettings {
    /// Minimum age of a target's report. The chance that a spell began or ended since
    /// grows with it.
    pub min_report_age: Duration,
    /// Minimum typical service time: a check must be short compared with it.
    pub min_service_time: Duration,
    /// Timeout of a check; several round trips between zones.
    pub timeout: Duration,
    /// Targets that a request is checked against at most.
    pub max_checks: u32,
    /// Difference in cost, in units of usual work, for which another target is preferred
    /// after a check: going there takes further round trips, and its report is older.
    pub switch_margin: f64,
    /// Window in which the checks of one target are limited.
    pub window: Duration,
    /// Fraction of the rate of health checks that a target may get which these checks
    /// use.
    pub rate_fraction: f64,
}

impl Default for PrecheckSettings {
    fn default() -> Self {
        Self {
            min_report_age: Duration::from_millis(20),
            min_service_time: Duration::from_millis(15),
            timeout: Duration::from_millis(80),
            max_checks: 3,
            switch_margin: 0.5,
            window: Duration::from_secs(10),
            rate_fraction: 0.5,
        }
    }
}

/// Whether a target whose report has this age is checked before a request that takes
/// `service_time`, if that is known; `checks` is the number of checks for the request so far.
#[must_use]
pub fn is_worthwhile(
    report_age: Option<Duration>,
    service_time: Option<Duration>,
    checks: u32,
    settings: &PrecheckSettings,
) -> bool {
    checks < settings.max_checks
        && service_time.is_none_or(|time| time >= settings.min_service_time)
        && report_age.is_none_or(|age| age >= settings.min_report_age)
}

/// Checks of one target that an instance may send in a window, of `max_rate` a second
/// that the target may get from all `instances`; at least one.
#[must_use]
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "a positive number of checks"
)]
pub fn allowance(max_rate: f64, instances: f64, settings: &PrecheckSettings) -> usize {
    let rate = max_rate * settings.rate_fraction / instances.max(1.0);
    ((rate * settings.window.as_secs_f64()) as usize).max(1)
}

/// Whether a request is sent to the target that was just checked, or another is selected:
/// `others` are the targets that could take it instead.
///
/// Load pattern: a burst while a third of the targets are silent. Most of the others are
/// full, and a slow one with a free slot is better than none: only a target with a free slot,
/// or one that is worth the wait for it, is preferred.
#[must_use]
pub fn confirms(
    checked: &Candidate,
    others: &[Candidate],
    requirements: &Requirements,
    placement: &PlacementSettings,
    settings: &PrecheckSettings,
) -> bool {
    if !placement::finishes_in_time(checked, requirements, placement)
        || placement::is_worth_waiting(checked, others, requirements, placement)
    {
        return false;
    }
    let cost = |target: &Candidate| placement::cost(target, requirements.service_time, placement);
    let limit = cost(checked) - settings.switch_margin;
    let is_better = |other: &Candidate| {
        placement::finishes_in_time(other, requirements, placement) && cost(other) < limit
    };
    !others.iter().any(is_better)
}

#[cfg(test)]
mod tests;
