//! The heartbeats to peers, and what those of peers change.

use std::net::SocketAddr;
use std::time::Duration;

use indexmap::IndexMap;

use super::State;
use crate::dispatch::quarantine::{Audience, Evidence, PassOn};
use crate::entry::fleet::members::{InstanceStatus, PendingUpdates};
use crate::entry::fleet::message::{
    Heartbeat, MAX_CASES, MAX_EVIDENCE, MAX_LEAVING, MAX_LIMITS, MAX_REPORTS, RelayedStatus,
    TargetReport,
};
use crate::names::ZoneName;
use crate::units::Time;

/// One in this many heartbeats includes the address of another peer, so that all
/// instances learn of a new one within seconds.
const MEMBER_EVERY: usize = 4;
/// Maximum records that are sent as news at a time.
const MAX_NEWS: usize = 4 * MAX_EVIDENCE;
/// Maximum age of this instance's own probe results in a heartbeat.
const OWN_REPORT_AGE: Duration = Duration::from_millis(500);

/// A heartbeat and the peers to send it to.
#[derive(Debug)]
pub(crate) struct DueHeartbeat {
    /// The heartbeat.
    pub heartbeat: Heartbeat,
    /// Statuses of other zones' instances, for the peers in the same zone only.
    pub relayed: Vec<RelayedStatus>,
    /// Peers in the same zone.
    pub same_zone: Vec<SocketAddr>,
    /// Peers in other zones.
    pub other_zones: Vec<SocketAddr>,
}

/// Result of an own probe.
#[derive(Debug, Clone, Copy)]
pub(super) struct OwnReport {
    pub report: TargetReport,
    pub at: Time,
    /// Number of the heartbeat that last contained it; 0 before the first.
    pub sent_in: usize,
}

impl State {
    /// The next heartbeat and the peers to send it to. With `all`, these are all live
    /// peers; see [`Members::due_heartbeats`](crate::entry::fleet::members::Members::due_heartbeats).
    pub(crate) fn next_heartbeat(&mut self, now: Time, all: bool) -> DueHeartbeat {
        self.reports
            .retain(|_, own| now.since(own.at) < OWN_REPORT_AGE);
        self.sent_same_zone
            .retain(|target, _| self.reports.contains_key(target));
        self.sent_other_zones
            .retain(|target, _| self.reports.contains_key(target));
        let known_of_store = (self.status.store, self.freshness.own_answer());
        let updates = PendingUpdates {
            same_zone: self.has_unsent_changes(&self.sent_same_zone),
            other_zones: self.has_unsent_changes(&self.sent_other_zones),
            store: self.told_of_store != known_of_store,
            all,
        };
        self.told_of_store = known_of_store;
        let zone = self.settings.zone.clone();
        let (same_zone, other_zones) = self.members.due_heartbeats(now, &zone, updates);
        self.heartbeats_sent += 1;
        let targets = self.reports_to_send();
        let mut reports = Vec::with_capacity(targets.len());
        for target in targets {
            let Some(own) = self.reports.get_mut(&target) else {
                continue;
            };
            own.sent_in = self.heartbeats_sent;
            if !same_zone.is_empty() {
                self.sent_same_zone.insert(target, own.report);
            }
            if !other_zones.is_empty() {
                self.sent_other_zones.insert(target, own.report);
            }
            reports.push(TargetReport {
                age_ms: age_ms(now, own.at),
                ..own.report
            });
        }
        let reaches_all = !other_zones.is_empty() || !self.members.has_other_zones(&zone);
        let (cases, evidence) = self.quarantine.next_report(now, MAX_CASES, reaches_all);
        let heartbeat = Heartbeat {
            zone,
            status: InstanceStatus {
                store_answer_age_ms: known_of_store.1.map(|at| age_ms(now, at)),
                ..self.status.clone()
            },
            reports,
            member: self.member_to_share(now),
            cases,
            evidence,
            limits: in_turn(
                self.targets.named_limits(now),
                MAX_LIMITS,
                self.heartbeats_sent,
            ),
            leaving: in_turn(
                self.targets.leaving_to_tell(now),
                MAX_LEAVING,
                self.heartbeats_sent,
            ),
        };
        DueHeartbeat {
            relayed: self.members.statuses_to_relay(now, &heartbeat.zone),
            heartbeat,
            same_zone,
            other_zones,
        }
    }

    /// The targets whose reports the next heartbeat contains: first those that changed,
    /// then those that were sent longest ago, so that none is left out for long.
    fn reports_to_send(&self) -> Vec<u64> {
        let is_unchanged = |own: &OwnReport| {
            let is_known = |sent: Option<&TargetReport>| {
                sent.is_some_and(|sent| !own.report.is_significant_change(sent))
            };
            let target = &own.report.target;
            is_known(self.sent_same_zone.get(target)) && is_known(self.sent_other_zones.get(target))
        };
        let mut order: Vec<&OwnReport> = self.reports.values().collect();
        if order.len() > MAX_REPORTS {
            order.sort_by_key(|own| (is_unchanged(own), own.sent_in));
        }
        let targets = order.into_iter().map(|own| own.report.target);
        targets.take(MAX_REPORTS).collect()
    }

    /// Whether the current reports differ significantly from those last sent.
    fn has_unsent_changes(&self, sent: &IndexMap<u64, TargetReport>) -> bool {
        let mut reports = self.reports.values();
        reports.any(|own| {
            sent.get(&own.report.target)
                .is_none_or(|sent| own.report.is_significant_change(sent))
        })
    }

    /// One of the live peers in turn, in every [`MEMBER_EVERY`]th heartbeat.
    fn member_to_share(&self, now: Time) -> Option<(SocketAddr, ZoneName)> {
        if !self.heartbeats_sent.is_multiple_of(MEMBER_EVERY) {
            return None;
        }
        let live: Vec<_> = self.members.live(now).collect();
        let index = (self.heartbeats_sent / MEMBER_EVERY).checked_rem(live.len())?;
        let (address, member) = live.get(index)?;
        Some((*address, member.zone.clone()))
    }

    /// Applies a peer's heartbeat.
    pub(crate) fn receive_heartbeat(&mut self, now: Time, from: SocketAddr, heartbeat: &Heartbeat) {
        if self.members.record_heartbeat(now, from, heartbeat) {
            tracing::info!(peer = %from, zone = %heartbeat.zone, "peer is live");
        }
        if let Some((address, zone)) = &heartbeat.member {
            self.members.add(now, *address, zone);
        }
        for report in &heartbeat.reports {
            self.targets.apply_report(now, report);
            self.record_crash_if_unreachable(now, report);
        }
        for limit in &heartbeat.limits {
            let at = now.before(Duration::from_millis(limit.age_ms.into()));
            self.record_limit(now, at, limit.target, limit.per_second);
        }
        for run in &heartbeat.leaving {
            self.record_leaving(now, *run, "peer");
        }
        self.receive_evidence(now, from, &heartbeat.evidence);
        for case in &heartbeat.cases {
            self.quarantine.merge(now, case);
        }
    }

    /// News of requests suspected of crashing targets, and the peers to send them to: all
    /// live ones, or in a large membership those of the own zone and a few of each other
    /// zone, picked by `draw` in `0.0..1.0`, which pass them on in their zone.
    pub(crate) fn next_news(
        &mut self,
        now: Time,
        draw: f64,
    ) -> Vec<(Vec<Evidence>, Vec<SocketAddr>)> {
        if self.quarantine.is_empty() {
            return Vec::new();
        }
        let (own_zone, other_zones) = self.members.news_receivers(now, &self.settings.zone, draw);
        let receivers = [
            (Audience::OwnZone, own_zone),
            (Audience::OtherZones, other_zones),
        ];
        let mut news = Vec::new();
        for (audience, peers) in receivers {
            let is_other_zone = audience == Audience::OtherZones;
            let mut known = self.members.known();
            let zone = &self.settings.zone;
            if peers.is_empty() && known.any(|(_, member)| (member.zone != *zone) == is_other_zone)
            {
                // They are silent, and get the news once they are live.
                continue;
            }
            let evidence = self.quarantine.next_news(audience, MAX_NEWS);
            if peers.is_empty() {
                continue;
            }
            let parts = evidence.chunks(MAX_EVIDENCE);
            news.extend(parts.map(|part| (part.to_vec(), peers.clone())));
        }
        news
    }

    /// Applies a peer's evidence on requests suspected of crashing targets.
    pub(crate) fn receive_evidence(&mut self, now: Time, from: SocketAddr, evidence: &[Evidence]) {
        let pass_on = if self
            .members
            .is_told_through_relays(from, &self.settings.zone)
        {
            PassOn::OwnZone
        } else {
            PassOn::No
        };
        for evidence in evidence {
            let before = self.quarantine.crashes(evidence.fingerprint);
            if self.quarantine.merge_evidence(now, evidence, pass_on) {
                tracing::info!(
                    fingerprint = %evidence.fingerprint,
                    peer = %from,
                    before,
                    deaths = self.quarantine.crashes(evidence.fingerprint),
                    "crashes reported by a peer"
                );
            }
        }
    }

    /// Applies statuses that a peer in the same zone relays.
    pub(crate) fn receive_relayed(&mut self, now: Time, relayed: &[RelayedStatus]) {
        for status in relayed {
            self.members.record_relayed(now, status);
        }
    }
}

/// Milliseconds since `at`, or the most that a heartbeat can tell.
fn age_ms(now: Time, at: Time) -> u16 {
    u16::try_from(now.since(at).as_millis()).unwrap_or(u16::MAX)
}

/// At most `max` items for a heartbeat: those whose turn it is by the number of heartbeats.
fn in_turn<T: Clone>(items: Vec<T>, max: usize, heartbeats: usize) -> Vec<T> {
    let first = (heartbeats * max).checked_rem(items.len());
    let count = max.min(items.len());
    let from_first = items.into_iter().cycle().skip(first.unwrap_or_default());
    from_first.take(count).collect()
}

#[cfg(test)]
mod tests;
