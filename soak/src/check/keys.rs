//! Checks of the keys of client accounts.

use std::net::IpAddr;
use std::time::Duration;

use indexmap::IndexMap;

use super::{Call, CallOutcome, Observations, runs};

/// Returns one message for each violated guarantee.
pub(super) fn violations(observations: &Observations) -> Vec<String> {
    let in_force = VersionsInForce::new(observations);
    let calls = observations.calls.iter();
    let mut found: Vec<String> = calls
        .flat_map(|call| {
            [
                wrong_account(observations, call),
                denied(observations, &in_force, call),
                served_after_withdrawal(observations, &in_force, call),
            ]
        })
        .flatten()
        .collect();
    let leaked = observations.with_authorization.iter();
    found.extend(leaked.map(|id| format!("the key of {id} was passed on to a target")));
    found
}

/// The lowest version in force at any instance, over time.
struct VersionsInForce(Vec<(Duration, u64)>);

impl VersionsInForce {
    fn new(observations: &Observations) -> Self {
        let mut latest: IndexMap<IpAddr, u64> = IndexMap::new();
        let mut lowest = Vec::new();
        for observed in &observations.versions {
            latest.insert(observed.instance, observed.version);
            if latest.len() == observations.instances {
                let version = latest.values().min().copied().unwrap_or_default();
                lowest.push((observed.at, version));
            }
        }
        Self(lowest)
    }

    /// The lowest version at a time; 0 while that of some instance is not known.
    fn lowest(&self, at: Duration) -> u64 {
        let known = self.0.partition_point(|(time, _)| *time <= at);
        known.checked_sub(1).map_or(0, |index| self.0[index].1)
    }
}

fn wrong_account(observations: &Observations, call: &Call) -> Option<String> {
    let names = observations.accounts.get(&call.id)?;
    let arrivals = observations.arrivals.get(&call.id).copied();
    let is_right = names.iter().all(|name| name == call.key.account)
        && arrivals.is_none_or(|arrivals| names.len() == arrivals as usize);
    (!is_right).then(|| {
        format!(
            "{} of account {} arrived as of {names:?}",
            call.id, call.key.account
        )
    })
}

/// A key that is in every version that may be in force must not be rejected.
fn denied(observations: &Observations, in_force: &VersionsInForce, call: &Call) -> Option<String> {
    let CallOutcome::Responded { status: 401, .. } = call.outcome else {
        return None;
    };
    let written = observations.written.iter();
    let newest = written
        .filter(|(at, _)| *at <= call.ended)
        .map(|(_, version)| *version)
        .max();
    let is_valid =
        call.key.first <= in_force.lowest(call.sent) && newest.unwrap_or_default() <= call.key.last;
    is_valid.then(|| format!("{} got status 401 although its key is valid", call.id))
}

/// Once a version without the key was in force everywhere, nothing is run with it.
fn served_after_withdrawal(
    observations: &Observations,
    in_force: &VersionsInForce,
    call: &Call,
) -> Option<String> {
    let is_withdrawn = in_force.lowest(call.sent) > call.key.last;
    (is_withdrawn && runs(observations, call) > 0)
        .then(|| format!("{} ran although its key was withdrawn", call.id))
}
