//! Figures of other zones' targets, asked for while the own zone's don't suffice.
//!
//! Load pattern: a zone's targets are taken out, or its callers grow many, and its
//! instances send their requests to targets elsewhere. Among many instances the
//! seldom beats between zones are too old to tell which of those are slow. One peer in
//! each such zone, another each time, is then asked for all that it knows.

use std::net::SocketAddr;
use std::time::Duration;

use indexmap::{IndexMap, IndexSet};

use super::message::{MAX_REPORTS, TargetReport};
use super::state::State;
use crate::names::{ServiceName, ZoneName};
use crate::units::Time;

/// Part of the own zone's slots in use beyond which other zones are asked: beyond it
/// a request finds the targets that are not slow full, with a quarter being slow.
const HIGH_UTILIZATION: f64 = 0.6;

/// Time between two questions to a zone: targets' figures change several times a second,
/// and bytes between zones are dear.
pub(crate) const DIGEST_INTERVAL: Duration = Duration::from_millis(200);

/// Slots of a service's usable targets in one zone.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct ZoneCapacity {
    /// Slots in all.
    pub slots: f64,
    /// Requests that run or wait there.
    pub occupied: f64,
}

/// The zones whose figures are worth asking for, by what each service has in each:
/// those with room, where the own zone has none to spare or none at all.
#[must_use]
pub fn zones_to_query(
    own: &ZoneName,
    services: &IndexMap<ServiceName, IndexMap<ZoneName, ZoneCapacity>>,
) -> IndexSet<ZoneName> {
    let is_busy = |capacity: &ZoneCapacity| capacity.occupied >= capacity.slots * HIGH_UTILIZATION;
    services
        .values()
        .filter(|zones| zones.get(own).is_none_or(is_busy))
        .flat_map(|zones| {
            let needed = !zones.contains_key(own);
            zones
                .iter()
                .filter(move |(_, capacity)| needed || !is_busy(capacity))
        })
        .map(|(zone, _)| zone)
        .filter(|zone| *zone != own)
        .cloned()
        .collect()
}

impl State {
    /// The peers to ask for their zone's figures now; `draw` in `0.0..1.0` picks one
    /// in each zone.
    pub(crate) fn digest_peers(&mut self, now: Time, draw: f64) -> Vec<SocketAddr> {
        if !self.members.is_large() || now.since(self.last_digest_request) < DIGEST_INTERVAL {
            return Vec::new();
        }
        self.last_digest_request = now;
        let zones = zones_to_query(&self.settings.zone, &self.targets.zone_capacities(now));
        if zones != self.digest_zones {
            tracing::info!(?zones, "zones whose targets' figures are asked for");
            self.digest_zones.clone_from(&zones);
        }
        let pick = |zone| self.members.pick_in_zone(now, zone, draw);
        zones.iter().filter_map(pick).collect()
    }

    /// What this instance knows of its zone's targets, in parts that fit a datagram.
    pub(crate) fn digest(&self, now: Time) -> Vec<Vec<TargetReport>> {
        let reports = self.targets.reports(now, &self.settings.zone);
        reports.chunks(MAX_REPORTS).map(<[_]>::to_vec).collect()
    }

    /// Takes in what a peer knows of its zone's targets.
    pub(crate) fn apply_digest(&mut self, now: Time, reports: &[TargetReport]) {
        for report in reports {
            self.targets.apply_report(now, report);
        }
    }
}

#[cfg(test)]
mod tests;
