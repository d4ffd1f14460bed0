//! The other entry instances, their liveness, and which instance probes which target.

mod receivers;

use std::hash::{Hash, Hasher};
use std::net::SocketAddr;
use std::time::Duration;

use indexmap::{IndexMap, IndexSet};
use siphasher::sip::SipHasher13;

use crate::entry::fleet::message::{Heartbeat, MAX_RELAYED, RelayedStatus};
use crate::entry::fleet::replica::{Checksum, Position, Summary};
use crate::entry::fleet::watchers::{StoreAccess, Watcher};
use crate::entry::model::Target;
use crate::entry::target::placement::index_for_draw;
use crate::names::{TargetId, ZoneName};
use crate::units::Time;

/// Keys of the rendezvous hash; every instance must use the same.
const HASH_KEYS: (u64, u64) = (0x656e_7472_795f_686f, 0x6d65_5f6f_665f_7461);
/// Number of other instances from which heartbeats are sent less often. Every instance
/// sends to all others, so traffic grows with the square of their number.
const LARGE_MEMBERSHIP: usize = 48;
/// Time for which a status of an instance in another zone is relayed: two heartbeats in
/// the own zone.
const RELAY_WINDOW: Duration = Duration::from_millis(650);
/// Silence after which a peer counts as gone in a large membership.
const LARGE_SILENCE_TIMEOUT: Duration = Duration::from_millis(3200);
/// Silence after which an instance's registration is removed from the store. Regions
/// may be partitioned for minutes, and a premature removal costs a write.
const DEREGISTER_AFTER: Duration = Duration::from_secs(30 * 60);

/// What is known of one other instance.
#[derive(Debug, Clone, PartialEq)]
pub struct Member {
    /// Its availability zone.
    pub zone: ZoneName,
    /// When its address was first learned.
    pub known_since: Time,
    /// When its last heartbeat arrived here or at a relay; `None` before the first.
    pub last_heartbeat: Option<Time>,
    /// When its last heartbeat arrived here.
    pub last_direct: Option<Time>,
    /// When a heartbeat was last sent to it; `None` before the first.
    pub last_sent: Option<Time>,
    /// When the store last answered it, by its heartbeats.
    pub store_answer: Option<Time>,
    /// Status in its last heartbeat.
    pub status: InstanceStatus,
}

impl Member {
    /// Takes over a status that was sent at `at`.
    fn record_status(&mut self, at: Time, status: &InstanceStatus) {
        let answer = match status.store_answer_age_ms {
            Some(age_ms) => Some(at.before(Duration::from_millis(age_ms.into()))),
            // Earlier releases don't tell it.
            None => (status.store == StoreAccess::Watching).then_some(at),
        };
        self.store_answer = self.store_answer.max(answer);
        self.last_heartbeat = Some(at);
        self.status = status.clone();
    }

    /// Whether it may probe targets: it is not shutting down, and reaches them.
    fn may_probe(&self) -> bool {
        !self.status.leaving && !self.status.cut_off
    }
}

/// Status that an instance sends in each heartbeat.
#[derive(Debug, Clone, PartialEq, Eq, Default, serde::Serialize, serde::Deserialize)]
pub struct InstanceStatus {
    /// Address that its callers connect to.
    pub callers: Option<SocketAddr>,
    /// Whether it accepts callers.
    pub ready: bool,
    /// Whether it is shutting down.
    pub leaving: bool,
    /// State of its access to the store.
    pub store: StoreAccess,
    /// Whether it reaches no target that others reach. It is encoded apart, like `era`.
    #[serde(skip)]
    pub cut_off: bool,
    /// Era of `revision`. It is encoded apart, since earlier releases don't know it.
    #[serde(skip)]
    pub era: u64,
    /// Revision of the newest change in its replica.
    pub revision: u64,
    /// What identifies the records in its replica, encoded like `era`; `None` from earlier releases.
    #[serde(skip)]
    pub checksum: Option<Checksum>,
    /// Milliseconds since the store last answered it, in a message, encoded like `era`;
    /// `None` before the first answer and from earlier releases.
    #[serde(skip)]
    pub store_answer_age_ms: Option<u16>,
    /// Version of its configuration; 0 before the first one.
    pub version: u64,
}

impl InstanceStatus {
    /// Position of the newest change in its replica.
    #[must_use]
    pub fn position(&self) -> Position {
        Position {
            era: self.era,
            revision: self.revision,
        }
    }

    /// What it tells of its replica.
    #[must_use]
    pub fn summary(&self) -> Summary {
        Summary {
            position: self.position(),
            checksum: self.checksum,
        }
    }
}

/// When the store last answered other instances; `None` before the first answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct StoreAnswers {
    /// Any of them.
    pub any: Option<Time>,
    /// One that has no newer changes than this instance.
    pub reached: Option<Time>,
}

/// Whether the next heartbeat contains significant changes, by receiver.
#[expect(
    clippy::struct_excessive_bools,
    reason = "each flag is an independent reason to send"
)]
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PendingUpdates {
    /// For the peers in the same zone.
    pub same_zone: bool,
    /// For the peers in other zones.
    pub other_zones: bool,
    /// For the peers that are due the next regular heartbeat: what this instance knows of the
    /// store.
    pub store: bool,
    /// For every live peer at once, as at a shutdown.
    pub all: bool,
}

/// The other instances by peer address.
#[derive(Debug, Clone)]
pub struct Members {
    own: SocketAddr,
    silence_timeout: Duration,
    remove_after: Duration,
    by_address: IndexMap<SocketAddr, Member>,
    generation: u64,
    newest_version: u64,
}

impl Members {
    /// Creates an empty membership for the instance at `own`.
    #[must_use]
    pub fn new(own: SocketAddr, silence_timeout: Duration, remove_after: Duration) -> Self {
        Self {
            own,
            silence_timeout,
            remove_after,
            by_address: IndexMap::new(),
            generation: 0,
            newest_version: 0,
        }
    }

    /// Adds an instance that the store, a seed or a peer names; does nothing when it is
    /// known.
    pub fn add(&mut self, now: Time, address: SocketAddr, zone: &ZoneName) {
        if address == self.own || self.by_address.contains_key(&address) {
            return;
        }
        let member = Member {
            zone: zone.clone(),
            known_since: now,
            last_heartbeat: None,
            last_direct: None,
            last_sent: None,
            store_answer: None,
            status: InstanceStatus::default(),
        };
        self.by_address.insert(address, member);
        self.generation += 1;
    }

    /// The zones with a live instance that may probe targets.
    #[must_use]
    pub fn probing_zones(&self, now: Time) -> IndexSet<ZoneName> {
        let live = self.live(now).filter(|(_, member)| member.may_probe());
        live.map(|(_, member)| member.zone.clone()).collect()
    }

    /// Records a heartbeat; returns true when the sender was not live before.
    pub fn record_heartbeat(
        &mut self,
        now: Time,
        address: SocketAddr,
        heartbeat: &Heartbeat,
    ) -> bool {
        if address == self.own {
            return false;
        }
        self.newest_version = self.newest_version.max(heartbeat.status.version);
        self.add(now, address, &heartbeat.zone);
        let was_live = self.is_live(now, address);
        if let Some(member) = self.by_address.get_mut(&address) {
            member.zone = heartbeat.zone.clone();
            member.last_direct = Some(now);
            member.record_status(now, &heartbeat.status);
        }
        !was_live
    }

    /// Records a status that a peer in the own zone relays, unless a newer one is known.
    pub fn record_relayed(&mut self, now: Time, relayed: &RelayedStatus) {
        if relayed.address == self.own {
            return;
        }
        self.newest_version = self.newest_version.max(relayed.status.version);
        let at = now.before(Duration::from_millis(relayed.age_ms.into()));
        self.add(now, relayed.address, &relayed.zone);
        if let Some(member) = self.by_address.get_mut(&relayed.address)
            && member.last_heartbeat.is_none_or(|known| known < at)
        {
            member.zone = relayed.zone.clone();
            member.record_status(at, &relayed.status);
        }
    }

    /// The statuses of other zones' instances to relay in the own `zone`: those that
    /// arrived here last. None in a small membership, where every instance gets every
    /// heartbeat.
    #[must_use]
    pub fn statuses_to_relay(&self, now: Time, zone: &ZoneName) -> Vec<RelayedStatus> {
        if !self.is_large() {
            return Vec::new();
        }
        let mut recent: Vec<(Duration, SocketAddr, &Member)> = self
            .by_address
            .iter()
            .filter(|(_, member)| member.zone != *zone)
            .filter_map(|(address, member)| {
                Some((now.since(member.last_direct?), *address, member))
            })
            .filter(|(age, ..)| *age <= RELAY_WINDOW)
            .collect();
        recent.sort_by_key(|(age, address, _)| (*age, *address));
        let relayed = recent.into_iter().take(MAX_RELAYED);
        relayed
            .map(|(age, address, member)| RelayedStatus {
                address,
                zone: member.zone.clone(),
                status: member.status.clone(),
                age_ms: u16::try_from(age.as_millis()).unwrap_or(u16::MAX),
            })
            .collect()
    }

    /// Removes instances that have been silent for `remove_after`, unless they are
    /// registered in the store.
    pub fn remove_silent(&mut self, now: Time, is_registered: impl Fn(&SocketAddr) -> bool) {
        let (remove_after, count) = (self.remove_after, self.by_address.len());
        self.by_address.retain(|address, member| {
            let since = member.last_heartbeat.unwrap_or(member.known_since);
            now.since(since) < remove_after || is_registered(address)
        });
        if self.by_address.len() != count {
            self.generation += 1;
        }
    }

    /// Changes whenever the set of known instances does.
    #[must_use]
    pub fn generation(&self) -> u64 {
        self.generation
    }

    /// Newest version of the configuration that another instance had, live or not: the
    /// store has acknowledged it, and versions never regress.
    #[must_use]
    pub fn newest_version(&self) -> u64 {
        self.newest_version
    }

    /// Whether an instance sent a heartbeat within the silence timeout.
    #[must_use]
    pub fn is_live(&self, now: Time, address: SocketAddr) -> bool {
        self.by_address
            .get(&address)
            .is_some_and(|member| self.is_member_live(now, member))
    }

    /// The live instances.
    pub fn live(&self, now: Time) -> impl Iterator<Item = (SocketAddr, &Member)> {
        self.by_address
            .iter()
            .filter(move |(_, member)| self.is_member_live(now, member))
            .map(|(address, member)| (*address, member))
    }

    /// Every known instance except this one, live or not.
    pub fn known(&self) -> impl Iterator<Item = (SocketAddr, &Member)> {
        self.by_address
            .iter()
            .map(|(address, member)| (*address, member))
    }

    /// Whether any known instance is in another zone than `zone`.
    #[must_use]
    pub fn has_other_zones(&self, zone: &ZoneName) -> bool {
        self.by_address.values().any(|member| member.zone != *zone)
    }

    /// Whether this instance, in `own_zone`, is the prober of a target, according to
    /// its own view. Rendezvous hashing picks it among the live instances that reach the
    /// targets; those in the target's zone come first.
    #[must_use]
    pub fn is_prober(&self, now: Time, own_zone: &ZoneName, target: &Target) -> bool {
        let order = |address, zone: &ZoneName| (*zone == target.zone, weight(address, &target.id));
        let own = order(self.own, own_zone);
        self.live(now)
            .filter(|(_, member)| member.may_probe())
            .all(|(address, member)| order(address, &member.zone) < own)
    }

    /// This instance's rank for a target among all known instances. Silent instances
    /// count too, so that a network partition does not give the same rank to instances
    /// on both sides.
    #[must_use]
    pub fn rank(&self, target: &TargetId) -> usize {
        let own = weight(self.own, target);
        self.by_address
            .keys()
            .filter(|address| weight(**address, target) > own)
            .count()
    }

    /// This instance as a watcher whose access to the store is `access`.
    #[must_use]
    pub fn own_watcher(&self, access: StoreAccess) -> Watcher {
        Watcher {
            weight: watch_weight(self.own),
            access,
        }
    }

    /// The other live instances as watchers, without those that are shutting down.
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

    /// The live instances in the order in which they decide for all, this one included
    /// unless it is shutting down: those that watch the store come first.
    #[must_use]
    pub fn deciders(&self, now: Time, own: &InstanceStatus) -> Vec<SocketAddr> {
        let others = self
            .live(now)
            .map(|(address, member)| (address, &member.status));
        let all = others.chain([(self.own, own)]);
        let staying = all.filter(|(_, status)| !status.leaving);
        let mut order: Vec<(bool, u64, SocketAddr)> = staying
            .map(|(address, status)| {
                let watches = status.store == StoreAccess::Watching;
                (watches, watch_weight(address), address)
            })
            .collect();
        order.sort_unstable_by(|a, b| b.cmp(a));
        order.into_iter().map(|(.., address)| address).collect()
    }

    /// Whether this instance comes first among the live ones in the order of watchers.
    #[must_use]
    pub fn is_first_watcher(&self, now: Time) -> bool {
        let own = watch_weight(self.own);
        self.live(now)
            .all(|(address, _)| watch_weight(address) < own)
    }

    /// Whether another instance has been silent for [`DEREGISTER_AFTER`].
    #[must_use]
    pub fn is_long_silent(&self, now: Time, address: SocketAddr) -> bool {
        self.by_address.get(&address).is_some_and(|member| {
            now.since(member.last_heartbeat.unwrap_or(member.known_since)) >= DEREGISTER_AFTER
        })
    }

    /// When the store last answered the other instances, seen from one whose newest change is at
    /// `position`.
    #[must_use]
    pub fn store_answers(&self, position: Position) -> StoreAnswers {
        let mut answers = StoreAnswers::default();
        for member in self.by_address.values() {
            answers.any = answers.any.max(member.store_answer);
            if member.status.position() <= position {
                answers.reached = answers.reached.max(member.store_answer);
            }
        }
        answers
    }

    /// Whether so many instances are known that heartbeats are sent less often.
    #[must_use]
    pub fn is_large(&self) -> bool {
        self.by_address.len() >= LARGE_MEMBERSHIP
    }

    /// A live instance of a zone, picked by `draw` in `0.0..1.0`.
    #[must_use]
    pub fn pick_in_zone(&self, now: Time, zone: &ZoneName, draw: f64) -> Option<SocketAddr> {
        let in_zone: Vec<SocketAddr> = self
            .live(now)
            .filter(|(_, member)| member.zone == *zone)
            .map(|(address, _)| address)
            .collect();
        in_zone.get(index_for_draw(in_zone.len(), draw)).copied()
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

fn weight(instance: SocketAddr, target: &TargetId) -> u64 {
    hash(&(instance, target.as_str()))
}

fn watch_weight(instance: SocketAddr) -> u64 {
    hash(&(instance, "watch"))
}

pub(super) fn hash(value: &impl Hash) -> u64 {
    let mut hasher = SipHasher13::new_with_keys(HASH_KEYS.0, HASH_KEYS.1);
    value.hash(&mut hasher);
    hasher.finish()
}

/// Hash that identifies a route in datagrams.
#[must_use]
pub fn route_key(name: &str) -> u64 {
    hash(&(name, "route"))
}

/// Hash that identifies one run of a target in datagrams.
#[must_use]
pub fn target_key(id: &TargetId, started_ms: u64) -> u64 {
    hash(&(id.as_str(), started_ms))
}

#[cfg(test)]
mod tests;
