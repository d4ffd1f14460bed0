//! Baseline load-balancing policies for comparison. Each instance decides on its
//! own and shares no state with the others.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicUsize, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use rand::Rng;
use serde::{Deserialize, Serialize};
use standin::list::ListedTarget;
use tokio::sync::oneshot;

/// Calls per service that may wait in one instance. Fourteen instances together
/// queue about as many calls as the owners of a service's three shards.
const QUEUE_LENGTH: usize = 55;
/// Longest time that a call waits for a slot in one instance.
const QUEUE_WAIT: Duration = Duration::from_secs(2);

/// Policy by which a baseline instance selects a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum Policy {
    /// Selects the targets in turn.
    RoundRobin,
    /// Selects the less loaded of two random targets. A target's load is the higher
    /// of the load that it last reported and the calls that this instance has on it.
    PowerOfTwo,
    /// Gives each instance a fixed share of every target's slots and queues calls
    /// while the share is in use.
    FixedShares,
}

impl Policy {
    /// Row name in reports.
    pub(crate) fn name(self) -> &'static str {
        match self {
            Self::RoundRobin => "round robin",
            Self::PowerOfTwo => "power of two",
            Self::FixedShares => "fixed shares",
        }
    }
}

/// State of one baseline instance: its policy, targets and queue.
#[derive(Debug)]
pub(crate) struct Balancer {
    policy: Policy,
    targets: Vec<Target>,
    next: AtomicUsize,
    queue: Mutex<Queue>,
}

/// One target, with the calls of this baseline instance only.
#[derive(Debug)]
pub(crate) struct Target {
    /// Address that the target listens on.
    pub(crate) address: SocketAddr,
    /// Calls in flight that the target last reported, over all instances.
    pub(crate) reported: AtomicU32,
    host: String,
    zone: String,
    in_flight: AtomicU32,
    share: u32,
    evacuated: AtomicBool,
}

#[derive(Debug, Default)]
struct Queue {
    waiting: Vec<WaitingCall>,
}

#[derive(Debug)]
struct WaitingCall {
    host: String,
    rank: u8,
    tx: oneshot::Sender<usize>,
}

impl Balancer {
    /// Creates the state of instance `instance_index` of `instances`. Under
    /// [`Policy::FixedShares`], the slots of all targets are assigned to the
    /// instances in turn.
    pub(crate) fn new(
        policy: Policy,
        listed: Vec<ListedTarget>,
        slots: u32,
        (instance_index, instances): (usize, usize),
    ) -> Self {
        let slots = slots as usize;
        let target = |(index, listed): (usize, ListedTarget)| {
            let own_slots =
                (0..slots).filter(|slot| (index * slots + slot) % instances == instance_index);
            Target {
                address: listed.address,
                reported: AtomicU32::new(0),
                host: crate::deployment::host(&listed.service),
                zone: listed.zone,
                in_flight: AtomicU32::new(0),
                share: u32::try_from(own_slots.count()).unwrap_or(u32::MAX),
                evacuated: AtomicBool::new(false),
            }
        };
        Self {
            policy,
            targets: listed.into_iter().enumerate().map(target).collect(),
            next: AtomicUsize::new(instance_index),
            queue: Mutex::default(),
        }
    }

    /// All targets, evacuated ones included.
    pub(crate) fn targets(&self) -> &[Target] {
        &self.targets
    }

    /// Evacuates `zone` and returns every other zone to service.
    pub(crate) fn set_evacuated_zone(&self, zone: Option<&str>) {
        for target in &self.targets {
            let evacuated = Some(target.zone.as_str()) == zone;
            target.evacuated.store(evacuated, Ordering::Relaxed);
        }
    }

    /// Selects a target for a call and counts the call as in flight on it. Returns
    /// `None` when no target is usable or the queue is full.
    pub(crate) async fn acquire(&self, host: &str, rank: u8) -> Option<usize> {
        match self.policy {
            Policy::RoundRobin => Some(self.count(self.next_in_turn(host)?)),
            Policy::PowerOfTwo => Some(self.count(self.less_loaded_of_two(host)?)),
            Policy::FixedShares => self.take_share_or_wait(host, rank).await,
        }
    }

    /// Ends a call on the target at `index`.
    pub(crate) fn release(&self, index: usize) {
        if self.policy == Policy::FixedShares && self.reassign_slot(index) {
            return;
        }
        self.targets[index]
            .in_flight
            .fetch_sub(1, Ordering::Relaxed);
    }

    fn count(&self, index: usize) -> usize {
        self.targets[index]
            .in_flight
            .fetch_add(1, Ordering::Relaxed);
        index
    }

    fn candidates(&self, host: &str) -> impl Iterator<Item = usize> {
        let is_candidate = move |(_, target): &(usize, &Target)| {
            target.host == host && !target.evacuated.load(Ordering::Relaxed)
        };
        self.targets
            .iter()
            .enumerate()
            .filter(is_candidate)
            .map(|(index, _)| index)
    }

    fn next_in_turn(&self, host: &str) -> Option<usize> {
        let count = self.candidates(host).count();
        let turn = self.next.fetch_add(1, Ordering::Relaxed);
        self.candidates(host).nth(turn.checked_rem(count)?)
    }

    fn less_loaded_of_two(&self, host: &str) -> Option<usize> {
        let count = self.candidates(host).count();
        if count == 0 {
            return None;
        }
        let random_candidate = || {
            let index = rand::rng().random_range(0..count);
            self.candidates(host).nth(index)
        };
        let load = |index: &usize| {
            let target = &self.targets[*index];
            let reported = target.reported.load(Ordering::Relaxed);
            reported.max(target.in_flight.load(Ordering::Relaxed))
        };
        [random_candidate(), random_candidate()]
            .into_iter()
            .flatten()
            .min_by_key(load)
    }

    async fn take_share_or_wait(&self, host: &str, rank: u8) -> Option<usize> {
        let rx = {
            let mut queue = self.queue();
            if let Some(index) = self.find_free_share(host) {
                return Some(self.count(index));
            }
            let length = queue.waiting.iter().filter(|waiting| waiting.host == host);
            if length.count() >= QUEUE_LENGTH {
                return None;
            }
            let (tx, rx) = oneshot::channel();
            let index = queue.waiting.partition_point(|other| other.rank <= rank);
            let host = host.to_owned();
            queue.waiting.insert(index, WaitingCall { host, rank, tx });
            rx
        };
        tokio::time::timeout(QUEUE_WAIT, rx).await.ok()?.ok()
    }

    fn find_free_share(&self, host: &str) -> Option<usize> {
        self.candidates(host)
            .filter(|index| {
                let target = &self.targets[*index];
                target.in_flight.load(Ordering::Relaxed) < target.share
            })
            .min_by_key(|index| self.targets[*index].in_flight.load(Ordering::Relaxed))
    }

    /// Gives the slot of a finished call to the first waiting call of the same
    /// service. Returns whether there was one.
    fn reassign_slot(&self, index: usize) -> bool {
        let target = &self.targets[index];
        if target.evacuated.load(Ordering::Relaxed) {
            return false;
        }
        let mut queue = self.queue();
        while let Some(first) = queue
            .waiting
            .iter()
            .position(|waiting| waiting.host == target.host)
        {
            if queue.waiting.remove(first).tx.send(index).is_ok() {
                return true;
            }
        }
        false
    }

    fn queue(&self) -> MutexGuard<'_, Queue> {
        self.queue.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
