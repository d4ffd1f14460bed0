//! The tables that the worker threads and the control thread share.
//!
//! Lock order: `config`, `directory`, `peer_observations`, `shards`, one [`OwnedShard`],
//! `lease`, `capacities`, `connection_limits`.
//! A thread that holds a lock takes only later ones; no lock is held over an
//! await.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError, RwLock};
use std::time::Duration;

use indexmap::{IndexMap, IndexSet};
use tokio::sync::oneshot;

use crate::admission::borrower_demand::{BorrowerDemand, LENT_PERMIT_TTL};
use crate::admission::capacity::ShardCapacities;
use crate::admission::permit::{
    CallReport, GrantedPermit, LentPermit, Permit, PermitId, Refusal, SlotOutcome, SlotRequest,
};
use crate::admission::shard::{Decision, Shard, ShardSettings};
use crate::dispatch::route::Routes;
use crate::membership::heartbeat::{KnownRevisions, PeerObservations};
use crate::membership::{Claim, Member, RunId};
use crate::names::{InstanceId, ShardId};
use crate::ownership::authority::{Authority, RuleSettings};
use crate::resource::ResourceSet;
use crate::settings::Settings;
use crate::units::{Clock, Time};

/// Everything that the threads of one instance share.
#[derive(Debug)]
pub struct Tables {
    /// Settings of this instance.
    pub settings: Settings,
    /// What this instance says of itself.
    pub member: Member,
    /// This process's clock.
    pub clock: Clock,
    /// Whether the instance is stopping.
    pub stopping: AtomicBool,
    /// Whether a stopping instance has left its claims to others.
    pub released_claims: AtomicBool,
    /// Whether the store answered the last time that it was asked.
    pub store_reachable: AtomicBool,
    config: RwLock<InForce>,
    directory: RwLock<Arc<Directory>>,
    lease: Mutex<Authority>,
    peer_observations: Mutex<PeerObservations>,
    shards: RwLock<IndexMap<ShardId, Arc<OwnedShard>>>,
    capacities: Mutex<ShardCapacities>,
    connection_limits: RwLock<IndexMap<SocketAddr, u32>>,
}

/// The configuration in force, and what is built from it.
#[derive(Debug, Default)]
struct InForce {
    set: Arc<ResourceSet>,
    routes: Arc<Routes>,
}

/// Which instances exist and which shards they own.
#[derive(Debug, Clone, Default)]
pub struct Directory {
    /// The members, this instance included.
    pub members: IndexMap<InstanceId, Member>,
    /// The claims by shard.
    pub claims: IndexMap<ShardId, Claim>,
    /// The store's revision of each claim's last change.
    pub revisions: IndexMap<ShardId, i64>,
    /// Since when each claim has been seen without its owner's member key.
    pub lapsed_since: IndexMap<ShardId, Time>,
    /// The owners that still have claims and no member key.
    pub previous_owners: IndexMap<RunId, Member>,
    /// The latest change of any member or claim.
    pub revision: i64,
    /// The store's revision when this was read.
    pub store_revision: i64,
}

impl Directory {
    /// The owner of a shard, when it is a known member.
    #[must_use]
    pub fn owner(&self, shard: &ShardId) -> Option<&Member> {
        let claim = self.claims.get(shard).filter(|claim| !claim.released)?;
        self.member_of_run(&claim.run())
    }

    /// One run of a member; an owner whose lease has lapsed may still go on.
    #[must_use]
    pub fn member_of_run(&self, run: &RunId) -> Option<&Member> {
        let member = self.members.get(&run.instance);
        member
            .filter(|member| member.start == run.start)
            .or_else(|| self.previous_owners.get(run))
    }

    /// The runs whose claims have outlived their member keys.
    #[must_use]
    pub fn lapsed_runs(&self) -> Vec<RunId> {
        let claims = self
            .lapsed_since
            .keys()
            .filter_map(|id| self.claims.get(id));
        let runs: IndexSet<RunId> = claims.map(Claim::run).collect();
        runs.into_iter().collect()
    }
}

impl Tables {
    /// Builds the tables of an instance that knows nothing yet.
    #[must_use]
    pub fn new(settings: Settings, member: Member) -> Self {
        Self {
            lease: Mutex::new(Authority::new(RuleSettings::from(&settings.membership))),
            settings,
            member,
            clock: Clock::start(),
            stopping: AtomicBool::new(false),
            released_claims: AtomicBool::new(false),
            store_reachable: AtomicBool::new(false),
            peer_observations: Mutex::default(),
            config: RwLock::default(),
            directory: RwLock::default(),
            shards: RwLock::default(),
            capacities: Mutex::default(),
            connection_limits: RwLock::default(),
        }
    }

    /// The configuration in force on this instance.
    #[must_use]
    pub fn config(&self) -> Arc<ResourceSet> {
        let config = self.config.read().unwrap_or_else(PoisonError::into_inner);
        Arc::clone(&config.set)
    }

    /// What calls are looked up in, by the configuration in force.
    #[must_use]
    pub fn routes(&self) -> Arc<Routes> {
        let config = self.config.read().unwrap_or_else(PoisonError::into_inner);
        Arc::clone(&config.routes)
    }

    /// Puts a configuration in force unless a newer one is; returns whether it did.
    pub fn adopt_config(&self, config: ResourceSet) -> bool {
        let mut current = self.config.write().unwrap_or_else(PoisonError::into_inner);
        if config.revision <= current.set.revision {
            return false;
        }
        *current = InForce {
            routes: Arc::new(Routes::build(&config)),
            set: Arc::new(config),
        };
        true
    }

    /// The members and claims that this instance knows.
    #[must_use]
    pub fn directory(&self) -> Arc<Directory> {
        Arc::clone(
            &self
                .directory
                .read()
                .unwrap_or_else(PoisonError::into_inner),
        )
    }

    /// Replaces the members and claims.
    pub fn set_directory(&self, directory: Directory) {
        *self
            .directory
            .write()
            .unwrap_or_else(PoisonError::into_inner) = Arc::new(directory);
    }

    /// Locks the authority to act as an owner.
    pub fn lease(&self) -> MutexGuard<'_, Authority> {
        self.lease.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Whether this instance may act as an owner at `now`.
    #[must_use]
    pub fn may_grant(&self, now: Time) -> bool {
        self.lease().is_valid(now)
    }

    /// Locks what this instance has learnt from the heartbeats of the others.
    pub fn peer_observations(&self) -> MutexGuard<'_, PeerObservations> {
        self.peer_observations
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// The latest revisions that this instance has read from the store.
    #[must_use]
    pub fn known_revisions(&self) -> KnownRevisions {
        KnownRevisions {
            config: self.config().revision,
            directory: self.directory().revision,
            store: self.store_reachable.load(Ordering::Relaxed),
        }
    }

    /// Locks the capacities that the owners of shards have reported.
    pub fn capacities(&self) -> MutexGuard<'_, ShardCapacities> {
        self.capacities
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Connections that this instance may have open to a target; `None` for one
    /// that is not listed.
    #[must_use]
    pub fn connection_limit(&self, target: SocketAddr) -> Option<u32> {
        let limits = self.connection_limits.read();
        let limits = limits.unwrap_or_else(PoisonError::into_inner);
        limits.get(&target).copied()
    }

    /// Replaces the connections that this instance may have open, by target.
    pub fn set_connection_limits(&self, shares: IndexMap<SocketAddr, u32>) {
        let mut limits = self
            .connection_limits
            .write()
            .unwrap_or_else(PoisonError::into_inner);
        *limits = shares;
    }

    /// The shard, when this instance owns it.
    #[must_use]
    pub fn owned_shard(&self, shard: &ShardId) -> Option<Arc<OwnedShard>> {
        let shards = self.shards.read().unwrap_or_else(PoisonError::into_inner);
        shards.get(shard).cloned()
    }

    /// Whether `owned` is still this instance's; a shard that was given up and taken
    /// again is another one.
    #[must_use]
    pub fn still_owns(&self, shard: &ShardId, owned: &Arc<OwnedShard>) -> bool {
        let present = self.owned_shard(shard);
        present.is_some_and(|present| Arc::ptr_eq(&present, owned))
    }

    /// Every shard that this instance owns.
    #[must_use]
    pub fn owned_shards(&self) -> Vec<(ShardId, Arc<OwnedShard>)> {
        let shards = self.shards.read().unwrap_or_else(PoisonError::into_inner);
        shards
            .iter()
            .map(|(id, shard)| (id.clone(), Arc::clone(shard)))
            .collect()
    }

    /// Begins to own a shard; `None` when it is owned already.
    pub fn add_owned_shard(&self, id: ShardId, settings: ShardSettings) -> Option<Arc<OwnedShard>> {
        let mut shards = self.shards.write().unwrap_or_else(PoisonError::into_inner);
        if shards.contains_key(&id) {
            return None;
        }
        let owned = Arc::new(OwnedShard::new(settings));
        shards.insert(id, Arc::clone(&owned));
        Some(owned)
    }

    /// Ceases to own a shard; calls that wait there are refused.
    pub fn remove_owned_shard(&self, id: &ShardId) {
        let mut shards = self.shards.write().unwrap_or_else(PoisonError::into_inner);
        let removed = shards.swap_remove(id);
        drop(shards);
        if let Some(owned) = removed {
            owned.refuse_waiting();
        }
    }
}

static NEXT_PERMIT: AtomicU64 = AtomicU64::new(1);

/// A number for the next ask.
///
/// It is unique within this process, so that a permit that comes back late
/// frees nothing of a shard that was given up and taken again.
pub fn next_permit_id() -> PermitId {
    PermitId(NEXT_PERMIT.fetch_add(1, Ordering::Relaxed))
}

/// A shard that this instance owns, with the calls that wait for its slots.
#[derive(Debug)]
pub struct OwnedShard {
    desk: Mutex<Desk>,
}

#[derive(Debug)]
struct Desk {
    shard: Shard,
    waiters: IndexMap<PermitId, oneshot::Sender<SlotOutcome>>,
    demand: BorrowerDemand,
}

impl OwnedShard {
    fn new(settings: ShardSettings) -> Self {
        Self {
            desk: Mutex::new(Desk {
                shard: Shard::new(settings),
                waiters: IndexMap::new(),
                demand: BorrowerDemand::default(),
            }),
        }
    }

    /// Asks for a slot and waits for the decision.
    ///
    /// # Errors
    /// The reason why the call was not admitted.
    pub async fn request_slot(
        &self,
        tables: &Tables,
        request: SlotRequest,
    ) -> Result<Permit, Refusal> {
        let id = request.id;
        let rx = {
            let mut desk = self.desk();
            let now = tables.clock.now();
            if !tables.may_grant(now) {
                return Err(Refusal::NotOwner);
            }
            let (outcome, decisions) = desk.shard.request_slot(now, request);
            desk.deliver(decisions, now, tables);
            match outcome {
                SlotOutcome::Granted(permit) => return Ok(permit),
                SlotOutcome::Refused(refusal) => return Err(refusal),
                SlotOutcome::Queued => desk.wait_for(id),
            }
        };
        let mut wait = Wait {
            owned: self,
            tables,
            id,
            rx,
        };
        match (&mut wait.rx).await {
            Ok(SlotOutcome::Granted(permit)) => Ok(permit),
            Ok(SlotOutcome::Refused(refusal)) => Err(refusal),
            Ok(SlotOutcome::Queued) | Err(_) => Err(Refusal::NotOwner),
        }
    }

    /// Takes a permit back.
    pub fn release(&self, tables: &Tables, id: PermitId, report: &CallReport) {
        let mut desk = self.desk();
        let now = tables.clock.now();
        let decisions = desk.shard.release(now, id, report);
        desk.deliver(decisions, now, tables);
    }

    /// Lends permits ahead to a borrower that has ended `calls` calls.
    pub fn lend(
        &self,
        tables: &Tables,
        id: &ShardId,
        borrower: &InstanceId,
        calls: u32,
    ) -> Vec<LentPermit> {
        let mut desk = self.desk();
        let now = tables.clock.now();
        desk.demand.record(now, borrower, calls);
        if !tables.may_grant(now) {
            return Vec::new();
        }
        let held = u32::try_from(desk.shard.held_by(borrower)).unwrap_or(u32::MAX);
        let free = desk.shard.capacity(now, id).free;
        let count = desk.demand.permits_to_lend(now, borrower, held, free);
        let lend = |_| {
            let permit = desk.shard.lend(now, next_permit_id(), borrower);
            permit.map(|permit| lent(now, id, permit))
        };
        (0..count).map_while(lend).collect()
    }

    /// Ends what is past its time and grants free slots.
    pub fn advance(&self, tables: &Tables) {
        let mut desk = self.desk();
        let now = tables.clock.now();
        let decisions = desk.shard.advance(now);
        desk.deliver(decisions, now, tables);
    }

    /// Reads or changes the shard under its lock.
    pub fn with<R>(&self, f: impl FnOnce(&mut Shard) -> R) -> R {
        f(&mut self.desk().shard)
    }

    fn refuse_waiting(&self) {
        let waiters = std::mem::take(&mut self.desk().waiters);
        for (_, tx) in waiters {
            let _ = tx.send(SlotOutcome::Refused(Refusal::NotOwner));
        }
    }

    fn desk(&self) -> MutexGuard<'_, Desk> {
        self.desk.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Desk {
    fn wait_for(&mut self, id: PermitId) -> oneshot::Receiver<SlotOutcome> {
        let (tx, rx) = oneshot::channel();
        self.waiters.insert(id, tx);
        rx
    }

    /// Hands decisions to those who wait; a grant that nobody takes is freed.
    fn deliver(&mut self, decisions: Vec<Decision>, now: Time, tables: &Tables) {
        let mut pending = decisions;
        while let Some(decision) = pending.pop() {
            let Some(tx) = self.waiters.swap_remove(&decision.id) else {
                continue;
            };
            let granted = matches!(decision.outcome, SlotOutcome::Granted(_));
            let outcome = if granted && !tables.may_grant(now) {
                SlotOutcome::Refused(Refusal::NotOwner)
            } else {
                decision.outcome
            };
            let refused = granted && matches!(outcome, SlotOutcome::Refused(_));
            if tx.send(outcome).is_err() || refused {
                pending.extend(self.shard.release(now, decision.id, &CallReport::unsent()));
            }
        }
    }
}

fn lent(now: Time, shard: &ShardId, permit: Permit) -> LentPermit {
    let micros = |time: Duration| u64::try_from(time.as_micros()).unwrap_or(u64::MAX);
    LentPermit {
        use_within_us: micros(LENT_PERMIT_TTL),
        end_within_us: micros(permit.deadline.since(now)),
        granted: GrantedPermit {
            shard: shard.clone(),
            permit: permit.id,
            target: permit.target,
            address: permit.address,
        },
    }
}

/// A call that waits; dropped early, it withdraws and frees what it was granted.
struct Wait<'a> {
    owned: &'a OwnedShard,
    tables: &'a Tables,
    id: PermitId,
    rx: oneshot::Receiver<SlotOutcome>,
}

impl Drop for Wait<'_> {
    fn drop(&mut self) {
        {
            let mut desk = self.owned.desk();
            desk.waiters.swap_remove(&self.id);
            desk.shard.withdraw(self.id);
        }
        if let Ok(SlotOutcome::Granted(_)) = self.rx.try_recv() {
            self.owned
                .release(self.tables, self.id, &CallReport::unsent());
        }
    }
}
