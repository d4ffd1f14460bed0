//! Which instances get the next heartbeat, and news.

use std::net::SocketAddr;
use std::time::Duration;

use indexmap::IndexMap;

use super::{LARGE_MEMBERSHIP, Members, PendingUpdates, hash};
use crate::entry::target::placement::index_for_draw;
use crate::names::ZoneName;
use crate::units::Time;

/// Interval of heartbeats to an instance in another zone, where traffic is expensive; a
/// third of the silence timeout.
const OTHER_ZONE_INTERVAL: Duration = Duration::from_millis(400);
/// The same intervals in a large membership. [`LARGE_SILENCE_TIMEOUT`] is more than
/// three times either.
const LARGE_SAME_ZONE_INTERVAL: Duration = Duration::from_millis(300);
const LARGE_OTHER_ZONE_INTERVAL: Duration = Duration::from_secs(1);
/// Instances of each other zone that get a heartbeat in that interval in a large
/// membership, in turn; they relay it in their zone. With two, the loss of a datagram
/// rarely delays what a zone knows of an instance.
pub(super) const RELAYS_PER_ZONE: usize = 2;
/// Interval of heartbeats to a peer that is silent.
const SILENT_PEER_INTERVAL: Duration = Duration::from_secs(1);

impl Members {
    /// Returns the instances in `zone` and those in other zones that are due a
    /// heartbeat, and records it as sent; see [`heartbeat_interval`]. In a large
    /// membership only a few in each other zone are, which relay it there.
    pub fn due_heartbeats(
        &mut self,
        now: Time,
        zone: &ZoneName,
        updates: PendingUpdates,
    ) -> (Vec<SocketAddr>, Vec<SocketAddr>) {
        let (mut same_zone, mut other_zones) = (Vec::new(), Vec::new());
        let count = self.by_address.len();
        let silence_timeout = self.silence_timeout();
        let is_relayed = self.is_large() && !updates.all;
        if is_relayed {
            other_zones = self.due_relays(now, zone, updates.store);
        }
        for (address, member) in &mut self.by_address {
            if is_relayed && member.zone != *zone {
                continue;
            }
            let live = member
                .last_heartbeat
                .is_some_and(|at| now.since(at) < silence_timeout);
            let is_same_zone = member.zone == *zone;
            let interval = if live && updates.all {
                Duration::ZERO
            } else if live {
                heartbeat_interval(
                    count,
                    is_same_zone,
                    updates.store
                        || if is_same_zone {
                            updates.same_zone
                        } else {
                            updates.other_zones
                        },
                )
            } else {
                SILENT_PEER_INTERVAL
            };
            if member.last_sent.is_none_or(|at| now.since(at) >= interval) {
                member.last_sent = Some(now);
                if is_same_zone {
                    &mut same_zone
                } else {
                    &mut other_zones
                }
                .push(*address);
            }
        }
        (same_zone, other_zones)
    }

    /// Picks instances in each other zone that relay the next heartbeat there, and records
    /// it as sent to them: those that were sent one longest ago. The order of the others
    /// differs between senders. With `has_updates`, each zone is due one.
    fn due_relays(&mut self, now: Time, own_zone: &ZoneName, has_updates: bool) -> Vec<SocketAddr> {
        let own = self.own;
        let mut zones: IndexMap<ZoneName, Vec<(Option<Time>, u64, SocketAddr)>> = IndexMap::new();
        for (address, member) in &self.by_address {
            if member.zone != *own_zone {
                let order = (member.last_sent, hash(&(own, *address)), *address);
                zones.entry(member.zone.clone()).or_default().push(order);
            }
        }
        let mut due = Vec::new();
        for instances in zones.values_mut() {
            instances.sort_unstable();
            let last = instances
                .iter()
                .filter_map(|(last_sent, ..)| *last_sent)
                .max();
            if has_updates || last.is_none_or(|at| now.since(at) >= LARGE_OTHER_ZONE_INTERVAL) {
                due.extend(
                    instances
                        .iter()
                        .take(RELAYS_PER_ZONE)
                        .map(|(.., address)| *address),
                );
            }
        }
        for address in &due {
            if let Some(member) = self.by_address.get_mut(address) {
                member.last_sent = Some(now);
            }
        }
        due
    }

    /// The live instances to send news to, in the own zone and in others. In a large
    /// membership only a few in each other zone, picked by `draw` in `0.0..1.0`, get them.
    #[must_use]
    pub fn news_receivers(
        &self,
        now: Time,
        own_zone: &ZoneName,
        draw: f64,
    ) -> (Vec<SocketAddr>, Vec<SocketAddr>) {
        let mut zones: IndexMap<&ZoneName, Vec<SocketAddr>> = IndexMap::new();
        for (address, member) in self.live(now) {
            zones.entry(&member.zone).or_default().push(address);
        }
        let own = zones.swap_remove(own_zone).unwrap_or_default();
        let limit = if self.is_large() {
            RELAYS_PER_ZONE
        } else {
            usize::MAX
        };
        let others = zones.into_values().flat_map(|instances| {
            let first = index_for_draw(instances.len(), draw);
            let count = limit.min(instances.len());
            instances.into_iter().cycle().skip(first).take(count)
        });
        (own, others.collect())
    }

    /// Whether an instance tells only a few instances in the own zone, which pass it on.
    #[must_use]
    pub fn is_told_through_relays(&self, from: SocketAddr, own_zone: &ZoneName) -> bool {
        let member = self.by_address.get(&from);
        self.is_large() && member.is_none_or(|member| member.zone != *own_zone)
    }
}

/// Minimum time between two heartbeats to a live instance, among `count` others.
///
/// A target's slowness matters most to the instances in its zone, which send it most of
/// its requests. In a large membership, this is the interval in the own zone alone.
fn heartbeat_interval(count: usize, is_same_zone: bool, has_updates: bool) -> Duration {
    if has_updates {
        return Duration::ZERO;
    }
    match (count >= LARGE_MEMBERSHIP, is_same_zone) {
        (false, true) => Duration::ZERO,
        (false, false) => OTHER_ZONE_INTERVAL,
        (true, _) => LARGE_SAME_ZONE_INTERVAL,
    }
}
