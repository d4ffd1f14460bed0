//! Decides whether a claim whose owner's lease has expired may be taken over.
//!
//! A compare-and-swap in the store decides between the instances that try. The
//! rule here makes sure that the previous owner has stopped before any of them
//! does.

#[cfg(test)]
mod tests;

use std::time::Duration;

use super::authority::{Rule, RuleSettings};
use super::electorate::Electorate;
use crate::names::InstanceId;
use crate::units::Time;

/// Report of one member on how long the owner has been silent, in the clock of
/// the instance that requested it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct SilenceReport {
    /// Time at which the report was requested.
    pub requested_at: Time,
    /// Time at which the report arrived.
    pub received_at: Time,
    /// Time since the member's last heartbeat from the owner, at most the
    /// member's uptime.
    pub silent_for: Duration,
}

/// What an instance knows of a claim whose owner's member key is gone from the
/// store.
#[derive(Debug, Clone, PartialEq)]
pub struct LapsedClaim<'a> {
    /// Members whose reports count.
    pub electorate: &'a Electorate,
    /// Time at which this version of the claim was first seen without its
    /// owner's member key.
    pub since: Time,
    /// Time of the request to which the previous owner responded that it has
    /// stopped.
    pub owner_stopped: Option<Time>,
}

/// Returns whether the claim may be taken over at `now`.
///
/// `report` returns the latest report of a member of the electorate.
pub fn may_take_over(
    settings: &RuleSettings,
    now: Time,
    lapsed: &LapsedClaim<'_>,
    report: impl Fn(&InstanceId) -> Option<SilenceReport>,
) -> bool {
    if !settings.is_enabled(Rule::TakeOverOnEvidence) {
        return true;
    }
    let since = if settings.is_enabled(Rule::EvidenceAfterExpiry) {
        lapsed.since
    } else {
        Time::ZERO
    };
    if lapsed
        .owner_stopped
        .is_some_and(|requested_at| requested_at >= since)
    {
        return true;
    }
    let max_outage = settings.max_outage;
    if now.since(lapsed.since) > max_outage + max_outage / 10 + settings.margin {
        return true;
    }
    let members = lapsed.electorate.members().iter();
    let reports = members.filter_map(report);
    let valid: Vec<_> = reports
        .filter(|report| report.requested_at >= since)
        .collect();
    common_silence(settings, lapsed.electorate.takeover_quorum(), &valid)
}

/// Returns whether `quorum` members received nothing from the owner during one
/// common window.
///
/// A report that was requested at `q`, arrived at `r` and states a silence of `s`
/// covers the time from `r - s` to `q`. The window ends at the earliest of the
/// requests.
fn common_silence(settings: &RuleSettings, quorum: usize, reports: &[SilenceReport]) -> bool {
    if quorum == 0 {
        return true;
    }
    let window = settings.window + settings.margin;
    reports.iter().map(|report| report.requested_at).any(|end| {
        let covers = |report: &&SilenceReport| {
            let required = report.received_at.since(end) + window;
            report.requested_at >= end && report.silent_for >= required
        };
        reports.iter().filter(covers).count() >= quorum
    })
}
