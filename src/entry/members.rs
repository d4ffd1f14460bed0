//! The other entry instances, and which instance looks after which target.

use std::hash::{Hash, Hasher};
use std::net::SocketAddr;
use std::time::Duration;

use indexmap::IndexMap;
use siphasher::sip::SipHasher13;

use super::message::Heartbeat;
use super::model::Target;
use super::placement::index_for_draw;
use super::watchers::{StoreAccess, Watcher};
use crate::names::{TargetId, ZoneName};
use crate::units::Time;

/// Keys of the rendezvous hash; every instance must use the same.
const HASH_KEYS: (u64, u64) = (0x656e_7472_795f_686f, 0x6d65_5f6f_665f_7461);
/// Instances from which on beats are spared: each tells all others, so their number
/// grows with the square.
const LARGE_MEMBERSHIP: usize = 48;
/// Longest time between two beats to an instance in another zone, where bytes are
/// dear; a third of the silence that counts as gone.
const OTHER_ZONE_INTERVAL: Duration = Duration::from_millis(400);
/// The same among many instances, in the own zone and elsewhere; the silence that
/// counts as gone is more than three of either.
const LARGE_SAME_ZONE_INTERVAL: Duration = Duration::from_millis(300);
const LARGE_OTHER_ZONE_INTERVAL: Duration = Duration::from_secs(1);
/// Silence that counts as gone among many instances.
const LARGE_SILENCE_TIMEOUT: Duration = Duration::from_millis(3200);
/// Silence after which an instance's registration is removed from the store; regions
/// lose each other for minutes, and a removal too early costs a write.
const DEREGISTER_AFTER: Duration = Duration::from_secs(30 * 60);
/// Time between two beats to an instance that is not heard.
const SILENT_PEER_INTERVAL: Duration = Duration::from_secs(1);

/// What is known of one other instance.
#[derive(Debug, Clone, PartialEq)]
pub struct Member {
    /// Its availability zone.
    pub zone: ZoneName,
    /// When it was registered or first heard.
    pub known_since: Time,
    /// When it was last heard.
    pub last_heartbeat: Option<Time>,
    /// When a beat was last sent to it.
    pub last_sent: Option<Time>,
    /// Its last beat without reports.
    pub status: InstanceStatus,
}

/// What an instance says of itself in each beat.
#[derive(Debug, Clone, PartialEq, Eq, Default, serde::Serialize, serde::Deserialize)]
pub struct InstanceStatus {
    /// Where its callers connect.
    pub callers: Option<SocketAddr>,
    /// Whether it takes callers.
    pub ready: bool,
    /// Whether it is stopping.
    pub leaving: bool,
    /// Its way to the store.
    pub store: StoreAccess,
    /// Revision of its replica.
    pub revision: u64,
    /// Version of its configuration; 0 before any.
    pub version: u64,
}

/// Whether the next beat has news for the peers in the own zone, and for the others.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PendingUpdates {
    /// For those in the own zone.
    pub same_zone: bool,
    /// For those elsewhere.
    pub other_zones: bool,
}

/// The other instances by peer address.
#[derive(Debug, Clone)]
pub struct Members {
    own: SocketAddr,
    silence_timeout: Duration,
    forget_after: Duration,
    by_address: IndexMap<SocketAddr, Member>,
}

impl Members {
    /// Knows only this instance.
    #[must_use]
    pub fn new(own: SocketAddr, silence_timeout: Duration, forget_after: Duration) -> Self {
        Self {
            own,
            silence_timeout,
            forget_after,
            by_address: IndexMap::new(),
        }
    }

    /// Notes an instance that the store, a seed or a peer names.
    pub fn add(&mut self, now: Time, address: SocketAddr, zone: &ZoneName) {
        if address == self.own {
            return;
        }
        self.by_address.entry(address).or_insert_with(|| Member {
            zone: zone.clone(),
            known_since: now,
            last_heartbeat: None,
            last_sent: None,
            status: InstanceStatus::default(),
        });
    }

    /// Notes a beat; true when the sender was not live before.
    pub fn record_heartbeat(
        &mut self,
        now: Time,
        address: SocketAddr,
        heartbeat: &Heartbeat,
    ) -> bool {
        if address == self.own {
            return false;
        }
        self.add(now, address, &heartbeat.zone);
        let was_live = self.is_live(now, address);
        if let Some(member) = self.by_address.get_mut(&address) {
            member.zone = heartbeat.zone.clone();
            member.last_heartbeat = Some(now);
            member.status = heartbeat.status.clone();
        }
        !was_live
    }

    /// Forgets instances that have been silent for long and that the store doesn't name.
    pub fn remove_silent(&mut self, now: Time, is_registered: impl Fn(&SocketAddr) -> bool) {
        let forget_after = self.forget_after;
        self.by_address.retain(|address, member| {
            let since = member.last_heartbeat.unwrap_or(member.known_since);
            is_registered(address) || now.since(since) < forget_after
        });
    }

    /// Whether an instance was heard lately.
    #[must_use]
    pub fn is_live(&self, now: Time, address: SocketAddr) -> bool {
        self.by_address
            .get(&address)
            .is_some_and(|member| self.is_member_live(now, member))
    }

    /// The instances heard lately.
    pub fn live(&self, now: Time) -> impl Iterator<Item = (SocketAddr, &Member)> {
        self.by_address
            .iter()
            .filter(move |(_, member)| self.is_member_live(now, member))
            .map(|(address, member)| (*address, member))
    }

    /// Every known instance, this one left out.
    pub fn known(&self) -> impl Iterator<Item = (SocketAddr, &Member)> {
        self.by_address
            .iter()
            .map(|(address, member)| (*address, member))
    }

    /// The instances that are due a beat, which is noted as sent, in `zone` and
    /// elsewhere; see [`pause`].
    pub fn due_heartbeats(
        &mut self,
        now: Time,
        zone: &ZoneName,
        news: PendingUpdates,
    ) -> (Vec<SocketAddr>, Vec<SocketAddr>) {
        let (mut same_zone, mut other_zones) = (Vec::new(), Vec::new());
        let count = self.by_address.len();
        let silence_timeout = self.silence_timeout();
        for (address, member) in &mut self.by_address {
            let live = member
                .last_heartbeat
                .is_some_and(|at| now.since(at) < silence_timeout);
            let is_same_zone = member.zone == *zone;
            let heartbeat_interval = if live {
                heartbeat_interval(
                    count,
                    is_same_zone,
                    if is_same_zone {
                        news.same_zone
                    } else {
                        news.other_zones
                    },
                )
            } else {
                SILENT_PEER_INTERVAL
            };
            if member
                .last_sent
                .is_none_or(|at| now.since(at) >= heartbeat_interval)
            {
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

    /// Whether this instance, in `own_zone`, is the one that probes a target, as far as
    /// it knows. Instances in the target's zone come first.
    #[must_use]
    pub fn is_prober(&self, now: Time, own_zone: &ZoneName, target: &Target) -> bool {
        let order = |address, zone: &ZoneName| (*zone == target.zone, weight(address, &target.id));
        let own = order(self.own, own_zone);
        self.live(now)
            .filter(|(_, member)| !member.status.leaving)
            .all(|(address, member)| order(address, &member.zone) < own)
    }

    /// This instance's rank for a target among all known instances, live or not, so
    /// that a cut does not give instances on both sides the same rank.
    #[must_use]
    pub fn rank(&self, target: &TargetId) -> usize {
        let own = weight(self.own, target);
        self.by_address
            .keys()
            .filter(|address| weight(**address, target) > own)
            .count()
    }

    /// This instance as a watcher, when its way to the store is `access`.
    #[must_use]
    pub fn own_watcher(&self, access: StoreAccess) -> Watcher {
        Watcher {
            weight: watch_weight(self.own),
            access,
        }
    }

    /// The other live instances as watchers; those that stop are left out.
    #[must_use]
    pub fn watchers(&self, now: Time) -> Vec<Watcher> {
        self.live(now)
            .filter(|(_, member)| !member.status.leaving)
            .map(|(address, member)| Watcher {
                weight: watch_weight(address),
                access: member.status.store,
            })
            .collect()
    }

    /// Whether this instance comes first in the order of watchers among the live ones.
    #[must_use]
    pub fn is_first_watcher(&self, now: Time) -> bool {
        let own = watch_weight(self.own);
        self.live(now)
            .all(|(address, _)| watch_weight(address) < own)
    }

    /// Whether an instance other than this one has not been heard for long.
    #[must_use]
    pub fn is_long_silent(&self, now: Time, address: SocketAddr) -> bool {
        self.by_address.get(&address).is_some_and(|member| {
            now.since(member.last_heartbeat.unwrap_or(member.known_since)) >= DEREGISTER_AFTER
        })
    }

    /// Whether any live instance watches the store.
    #[must_use]
    pub fn is_store_watched(&self, now: Time) -> bool {
        self.live(now)
            .any(|(_, member)| member.status.store == StoreAccess::Watching)
    }

    /// Whether so many instances are known that beats between them are spared.
    #[must_use]
    pub fn is_large(&self) -> bool {
        self.by_address.len() >= LARGE_MEMBERSHIP
    }

    /// One of the live instances of a zone; `draw` in `0.0..1.0` picks it.
    #[must_use]
    pub fn pick_in_zone(&self, now: Time, zone: &ZoneName, draw: f64) -> Option<SocketAddr> {
        let of_zone: Vec<SocketAddr> = self
            .live(now)
            .filter(|(_, member)| member.zone == *zone)
            .map(|(address, _)| address)
            .collect();
        of_zone.get(index_for_draw(of_zone.len(), draw)).copied()
    }

    /// Silence after which an instance counts as gone.
    fn silence_timeout(&self) -> Duration {
        if self.is_large() {
            LARGE_SILENCE_TIMEOUT.max(self.silence_timeout)
        } else {
            self.silence_timeout
        }
    }

    fn is_member_live(&self, now: Time, member: &Member) -> bool {
        member
            .last_heartbeat
            .is_some_and(|at| now.since(at) < self.silence_timeout())
    }
}

/// Least time between two beats to a live instance, among `count` others.
///
/// Load pattern: a target's slowness matters most to the instances in its zone, which
/// send it most requests; among many instances those elsewhere do without its news.
fn heartbeat_interval(count: usize, is_same_zone: bool, is_significant_change: bool) -> Duration {
    let many = count >= LARGE_MEMBERSHIP;
    let regular = match (many, is_same_zone) {
        (false, true) => Duration::ZERO,
        (false, false) => OTHER_ZONE_INTERVAL,
        (true, true) => LARGE_SAME_ZONE_INTERVAL,
        (true, false) => LARGE_OTHER_ZONE_INTERVAL,
    };
    if is_significant_change && (is_same_zone || !many) {
        Duration::ZERO
    } else {
        regular
    }
}

fn weight(instance: SocketAddr, target: &TargetId) -> u64 {
    hash(&(instance, target.as_str()))
}

fn watch_weight(instance: SocketAddr) -> u64 {
    hash(&(instance, "watch"))
}

fn hash(value: &impl Hash) -> u64 {
    let mut hasher = SipHasher13::new_with_keys(HASH_KEYS.0, HASH_KEYS.1);
    value.hash(&mut hasher);
    hasher.finish()
}

/// A short name of one run of a target, for datagrams.
#[must_use]
pub fn target_key(id: &TargetId, started_ms: u64) -> u64 {
    hash(&(id.as_str(), started_ms))
}

#[cfg(test)]
mod tests;
