//! The usual balancers that the bench compares with, each instance on its own view.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicUsize, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use rand::Rng;
use serde::{Deserialize, Serialize};
use standin::list::ListedTarget;
use tokio::sync::oneshot;

/// Calls that may wait for one service in one instance; fourteen instances hold
/// about as many as the owners of a service's three shards.
const QUEUE_LENGTH: usize = 55;
/// Longest wait in an instance.
const QUEUE_WAIT: Duration = Duration::from_secs(2);

/// How a baseline chooses a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum Policy {
    /// Each target in turn.
    RoundRobin,
    /// The less loaded of two random targets, by the load that they report.
    PowerOfTwo,
    /// A fixed part of each target's slots for each instance, with a queue.
    FixedShares,
}

impl Policy {
    /// Name in tables.
    pub(crate) fn name(self) -> &'static str {
        match self {
            Self::RoundRobin => "round robin",
            Self::PowerOfTwo => "power of two",
            Self::FixedShares => "fixed shares",
        }
    }
}

/// The targets as one baseline instance sees them.
#[derive(Debug)]
pub(crate) struct View {
    policy: Policy,
    targets: Vec<Target>,
    next: AtomicUsize,
    queue: Mutex<Queue>,
}

/// One target as a baseline instance sees it.
#[derive(Debug)]
pub(crate) struct Target {
    /// Where it takes calls.
    pub(crate) address: SocketAddr,
    /// Load that it reported last.
    pub(crate) reported: AtomicU32,
    host: String,
    zone: String,
    in_flight: AtomicU32,
    share: u32,
    out: AtomicBool,
}

#[derive(Debug, Default)]
struct Queue {
    waiting: Vec<Waiting>,
}

#[derive(Debug)]
struct Waiting {
    host: String,
    rank: u8,
    tx: oneshot::Sender<usize>,
}

impl View {
    /// Builds the view of instance `index` of `instances`.
    pub(crate) fn new(
        policy: Policy,
        listed: Vec<ListedTarget>,
        slots: u32,
        (index, instances): (usize, usize),
    ) -> Self {
        let slots = slots as usize;
        let target = |(at, listed): (usize, ListedTarget)| {
            let mine = (0..slots).filter(|slot| (at * slots + slot) % instances == index);
            Target {
                address: listed.address,
                reported: AtomicU32::new(0),
                host: crate::shape::host(&listed.service),
                zone: listed.zone,
                in_flight: AtomicU32::new(0),
                share: u32::try_from(mine.count()).unwrap_or(u32::MAX),
                out: AtomicBool::new(false),
            }
        };
        Self {
            policy,
            targets: listed.into_iter().enumerate().map(target).collect(),
            next: AtomicUsize::new(index),
            queue: Mutex::default(),
        }
    }

    /// The targets.
    pub(crate) fn targets(&self) -> &[Target] {
        &self.targets
    }

    /// Takes one zone out and brings every other one back.
    pub(crate) fn take_out(&self, zone: Option<&str>) {
        for target in &self.targets {
            let out = Some(target.zone.as_str()) == zone;
            target.out.store(out, Ordering::Relaxed);
        }
    }

    /// Chooses a target for a call and counts the call on it.
    pub(crate) async fn acquire(&self, host: &str, rank: u8) -> Option<usize> {
        match self.policy {
            Policy::RoundRobin => Some(self.count(self.in_turn(host)?)),
            Policy::PowerOfTwo => Some(self.count(self.less_loaded(host)?)),
            Policy::FixedShares => self.share_or_wait(host, rank).await,
        }
    }

    /// Ends a call on a target.
    pub(crate) fn release(&self, at: usize) {
        if self.policy == Policy::FixedShares && self.hand_over(at) {
            return;
        }
        self.targets[at].in_flight.fetch_sub(1, Ordering::Relaxed);
    }

    fn count(&self, at: usize) -> usize {
        self.targets[at].in_flight.fetch_add(1, Ordering::Relaxed);
        at
    }

    fn candidates(&self, host: &str) -> impl Iterator<Item = usize> {
        let fits = move |(_, target): &(usize, &Target)| {
            target.host == host && !target.out.load(Ordering::Relaxed)
        };
        self.targets
            .iter()
            .enumerate()
            .filter(fits)
            .map(|(at, _)| at)
    }

    fn in_turn(&self, host: &str) -> Option<usize> {
        let count = self.candidates(host).count();
        let turn = self.next.fetch_add(1, Ordering::Relaxed);
        self.candidates(host).nth(turn.checked_rem(count)?)
    }

    fn less_loaded(&self, host: &str) -> Option<usize> {
        let count = self.candidates(host).count();
        if count == 0 {
            return None;
        }
        let draw = || {
            let at = rand::rng().random_range(0..count);
            self.candidates(host).nth(at)
        };
        let load = |at: &usize| {
            let target = &self.targets[*at];
            let reported = target.reported.load(Ordering::Relaxed);
            reported.max(target.in_flight.load(Ordering::Relaxed))
        };
        [draw(), draw()].into_iter().flatten().min_by_key(load)
    }

    async fn share_or_wait(&self, host: &str, rank: u8) -> Option<usize> {
        let rx = {
            let mut queue = self.queue();
            if let Some(at) = self.free_share(host) {
                return Some(self.count(at));
            }
            let length = queue.waiting.iter().filter(|waiting| waiting.host == host);
            if length.count() >= QUEUE_LENGTH {
                return None;
            }
            let (tx, rx) = oneshot::channel();
            let at = queue.waiting.partition_point(|other| other.rank <= rank);
            let host = host.to_owned();
            queue.waiting.insert(at, Waiting { host, rank, tx });
            rx
        };
        tokio::time::timeout(QUEUE_WAIT, rx).await.ok()?.ok()
    }

    fn free_share(&self, host: &str) -> Option<usize> {
        self.candidates(host)
            .filter(|at| {
                let target = &self.targets[*at];
                target.in_flight.load(Ordering::Relaxed) < target.share
            })
            .min_by_key(|at| self.targets[*at].in_flight.load(Ordering::Relaxed))
    }

    /// Hands a slot to the first call that waits for it.
    fn hand_over(&self, at: usize) -> bool {
        let target = &self.targets[at];
        if target.out.load(Ordering::Relaxed) {
            return false;
        }
        let mut queue = self.queue();
        while let Some(first) = queue
            .waiting
            .iter()
            .position(|waiting| waiting.host == target.host)
        {
            if queue.waiting.remove(first).tx.send(at).is_ok() {
                return true;
            }
        }
        false
    }

    fn queue(&self) -> MutexGuard<'_, Queue> {
        self.queue.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
