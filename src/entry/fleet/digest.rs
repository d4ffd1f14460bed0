//! Load reports of targets in other zones, requested while the own zone lacks capacity.
//!
//! When the targets of a zone are evacuated or its callers become many, its instances
//! send requests to targets in other zones. In a large membership, the infrequent
//! heartbeats between zones are too old to show which of those targets are slow. All
//! reports on such a zone are then requested from one peer in it, a different one each
//! time.

use std::net::SocketAddr;
use std::time::Duration;

use indexmap::{IndexMap, IndexSet};

use crate::entry::fleet::message::{MAX_REPORTS, TargetReport};
use crate::entry::state::State;
use crate::names::{ServiceName, ZoneName};
use crate::units::Time;

/// Utilization of the own zone's slots from which reports of other zones are requested.
/// Above it, with a quarter of the targets slow, a request finds the fast ones full.
const HIGH_UTILIZATION: f64 = 0.6;

/// Interval of requests to a zone. Target load changes several times a second, and
/// traffic between zones is expensive.
pub(crate) const DIGEST_INTERVAL: Duration = Duration::from_millis(200);

/// Capacity of a service's usable targets in one zone.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct ZoneCapacity {
    /// Total number of slots.
    pub slots: f64,
    /// Requests that run or wait there.
    pub occupied: f64,
}

/// The zones whose reports are worth requesting, by the capacity of each service in
/// each zone: zones with capacity when the own zone is busy, and all zones when the own
/// zone has no target.
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
    /// The peers to request a digest from now; `draw` in `0.0..1.0` picks one in each
    /// zone.
    pub(crate) fn digest_peers(&mut self, now: Time, draw: f64) -> Vec<SocketAddr> {
        if !self.members.is_large() || now.since(self.last_digest_request) < DIGEST_INTERVAL {
            return Vec::new();
        }
        self.last_digest_request = now;
        let zones = zones_to_query(&self.settings.zone, &self.targets.zone_capacities(now));
        if zones != self.digest_zones {
            tracing::info!(?zones, "requesting target reports of other zones");
            self.digest_zones.clone_from(&zones);
        }
        let pick = |zone| self.members.pick_in_zone(now, zone, draw);
        zones.iter().filter_map(pick).collect()
    }

    /// Reports on the targets of this instance's zone, in parts that fit a datagram.
    pub(crate) fn digest(&self, now: Time) -> Vec<Vec<TargetReport>> {
        let reports = self.targets.reports(now, &self.settings.zone);
        reports.chunks(MAX_REPORTS).map(<[_]>::to_vec).collect()
    }

    /// Applies the reports of a peer on its zone.
    pub(crate) fn apply_digest(&mut self, now: Time, reports: &[TargetReport]) {
        for report in reports {
            self.targets.apply_report(now, report);
        }
    }
}

#[cfg(test)]
mod tests;
