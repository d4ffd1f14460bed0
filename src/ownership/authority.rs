//! The time until which this instance may act as an owner, on its own monotonic
//! clock.
//!
//! A lease renewal by the store extends the authority at any time; responses of
//! peers extend it only while it is still valid. Once it has expired, only the
//! store can restore it. A process that was paused or partitioned therefore
//! stops acting as an owner by itself, and late messages don't revive it.

#[cfg(test)]
mod tests;

use std::time::Duration;

use indexmap::{IndexMap, IndexSet};

use super::electorate::Electorate;
use crate::names::InstanceId;
use crate::settings::MembershipSettings;
use crate::units::Time;

/// Divisor of a lease's time to live; the quotient is subtracted to allow for
/// clocks that run at different rates.
const CLOCK_RATE_DIVISOR: u32 = 10;

/// Timing and rules of ownership; they must be the same on all instances.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RuleSettings {
    /// Time for which a peer's response allows an owner to continue past its
    /// lease.
    pub window: Duration,
    /// Time beyond the window for which an owner must have been silent before a
    /// takeover.
    pub margin: Duration,
    /// Longest time for which an owner may continue past its lease.
    pub max_outage: Duration,
    /// Rule that is disabled, in tests only.
    pub disabled: Option<Rule>,
}

/// Safety rules of ownership. Tests disable them one at a time to show that
/// each is needed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Rule {
    /// Responses of peers don't restore an authority that has expired.
    StayExpired,
    /// An owner past its lease needs responses of enough members of its
    /// electorate.
    ExtendByQuorum,
    /// A takeover needs confirmation by the owner that it has stopped, or
    /// silence of the owner towards its electorate.
    TakeOverOnEvidence,
    /// Evidence counts only if it was requested after the expiry of the owner's
    /// lease was seen.
    EvidenceAfterExpiry,
    /// A new owner withholds the slots that permits of previous owners may
    /// still use.
    WithholdSlots,
}

impl RuleSettings {
    /// Whether the rule is enabled.
    pub(super) fn is_enabled(&self, rule: Rule) -> bool {
        self.disabled != Some(rule)
    }
}

impl Default for RuleSettings {
    fn default() -> Self {
        Self {
            window: Duration::from_secs(2),
            margin: Duration::from_secs(1),
            max_outage: Duration::from_secs(60 * 60),
            disabled: None,
        }
    }
}

/// Length of the window of [`RuleSettings`], in heartbeat periods.
const WINDOW_HEARTBEATS: u32 = 4;
/// Length of the margin of [`RuleSettings`], in heartbeat periods.
const MARGIN_HEARTBEATS: u32 = 2;

impl From<&MembershipSettings> for RuleSettings {
    fn from(settings: &MembershipSettings) -> Self {
        Self {
            window: settings.heartbeat * WINDOW_HEARTBEATS,
            margin: settings.heartbeat * MARGIN_HEARTBEATS,
            ..Self::default()
        }
    }
}

/// The time until which this instance may act as an owner.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct Authority {
    settings: RuleSettings,
    electorates: IndexSet<Electorate>,
    pub(super) responses: IndexMap<InstanceId, Time>,
    lease_until: Time,
    valid_until: Time,
}

impl Authority {
    /// Creates an authority that is not valid.
    #[must_use]
    pub fn new(settings: RuleSettings) -> Self {
        Self {
            settings,
            ..Self::default()
        }
    }

    /// Records a lease renewal by the store that was sent at `sent` and granted
    /// `ttl`.
    ///
    /// The time to live counts from before the renewal was sent, so that the
    /// lease expires here before it expires in the store. The first grant of a
    /// lease must be recorded only after the store has confirmed every claim
    /// under it.
    pub fn lease_renewed(&mut self, sent: Time, ttl: Duration) {
        let until = sent.after(ttl.saturating_sub(ttl / CLOCK_RATE_DIVISOR));
        self.lease_until = self.lease_until.max(until);
        self.valid_until = self.valid_until.max(until);
    }

    /// Replaces the electorates of this instance's claims, including those of
    /// writes whose outcome is still unknown.
    pub fn set_electorates(&mut self, electorates: IndexSet<Electorate>) {
        self.electorates = electorates;
    }

    /// Records that `peer` responded to a heartbeat that was sent at `sent`.
    pub fn peer_responded(&mut self, now: Time, peer: InstanceId, sent: Time) {
        let latest = self.responses.entry(peer).or_default();
        *latest = sent.max(*latest);
        if now < self.valid_until || !self.settings.is_enabled(Rule::StayExpired) {
            self.valid_until = self.valid_until.max(self.peers_until(now));
        }
    }

    /// Revokes the authority; only the store can restore it.
    pub fn revoke(&mut self) {
        self.lease_until = Time::ZERO;
        self.valid_until = Time::ZERO;
    }

    /// Whether the instance may act as an owner at `now`.
    #[must_use]
    pub fn is_valid(&self, now: Time) -> bool {
        now < self.valid_until
    }

    /// Whether the lease in the store is valid at `now`.
    #[must_use]
    pub fn is_lease_valid(&self, now: Time) -> bool {
        now < self.lease_until
    }

    /// Time at which the authority expires unless it is extended.
    #[must_use]
    pub fn valid_until(&self) -> Time {
        self.valid_until
    }

    /// Returns the time until which the responses of peers allow this instance
    /// to continue: the earliest over all electorates.
    fn peers_until(&self, now: Time) -> Time {
        if !self.settings.is_enabled(Rule::ExtendByQuorum) {
            return now.after(self.settings.window);
        }
        let limit = self.lease_until.after(self.settings.max_outage);
        let extended = |electorate| self.extended_until(electorate);
        let until = self.electorates.iter().map(extended).min();
        until.unwrap_or_default().min(limit)
    }

    fn extended_until(&self, electorate: &Electorate) -> Time {
        let mut sent: Vec<_> = electorate
            .members()
            .iter()
            .filter_map(|member| self.responses.get(member).copied())
            .collect();
        sent.sort_by(|a, b| b.cmp(a));
        let last_index = electorate.extension_quorum() - 1;
        sent.get(last_index)
            .map_or(Time::ZERO, |sent| sent.after(self.settings.window))
    }
}
