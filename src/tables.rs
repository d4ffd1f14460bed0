//! State shared by the worker threads and the control threads of an instance.
//!
//! Lock order: `config`, `directory`, `peer_observations`, `shards`, one [`OwnedShard`],
//! `lease`, `capacities`, `connection_limits`.
//! A thread that holds a lock acquires only later ones; no lock is held across
//! an `await`.

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

/// The state that all threads of one instance share.
#[derive(Debug)]
pub struct Tables {
    /// Settings of this instance, fixed at the start.
    pub settings: Settings,
    /// Membership record that this instance publishes.
    pub member: Member,
    /// Monotonic clock that every [`Time`] of this process refers to.
    pub clock: Clock,
    /// Whether the instance is shutting down.
    pub stopping: AtomicBool,
    /// Whether the instance has released its claims while shutting down.
    pub released_claims: AtomicBool,
    /// Whether the store answered the latest request.
    pub store_reachable: AtomicBool,
    config: RwLock<InForce>,
    directory: RwLock<Arc<Directory>>,
    lease: Mutex<Authority>,
    peer_observations: Mutex<PeerObservations>,
    shards: RwLock<IndexMap<ShardId, Arc<OwnedShard>>>,
    capacities: Mutex<ShardCapacities>,
    connection_limits: RwLock<IndexMap<SocketAddr, u32>>,
}

/// The configuration in force and the routes built from it.
#[derive(Debug, Default)]
struct InForce {
    set: Arc<ResourceSet>,
    routes: Arc<Routes>,
}

/// The known instances and the shards that they own.
#[derive(Debug, Clone, Default)]
pub struct Directory {
    /// The members, this instance included.
    pub members: IndexMap<InstanceId, Member>,
    /// The claim of each owned shard.
    pub claims: IndexMap<ShardId, Claim>,
    /// Store revision of each claim's last change.
    pub revisions: IndexMap<ShardId, i64>,
    /// Time at which each claim was first seen without its owner's member key.
    pub lapsed_since: IndexMap<ShardId, Time>,
    /// Owners that still have claims but no member key.
    pub previous_owners: IndexMap<RunId, Member>,
    /// Store revision of the latest change of any member or claim.
    pub revision: i64,
    /// Store revision at which the directory was read.
    pub store_revision: i64,
}

impl Directory {
    /// Returns the owner of a shard; `None` when the shard is unclaimed, released,
    /// or claimed by an unknown run.
    #[must_use]
    pub fn owner(&self, shard: &ShardId) -> Option<&Member> {
        let claim = self.claims.get(shard).filter(|claim| !claim.released)?;
        self.member_of_run(&claim.run())
    }

    /// Returns the member of a run, also when it is among the previous owners: an
    /// owner whose member key has expired may still be running.
    #[must_use]
    pub fn member_of_run(&self, run: &RunId) -> Option<&Member> {
        let member = self.members.get(&run.instance);
        member
            .filter(|member| member.start == run.start)
            .or_else(|| self.previous_owners.get(run))
    }

    /// Returns the runs that have claims but no member key.
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
    /// Creates the tables of a starting instance: no configuration, members or shards.
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

    /// Returns the configuration in force on this instance.
    #[must_use]
    pub fn config(&self) -> Arc<ResourceSet> {
        let config = self.config.read().unwrap_or_else(PoisonError::into_inner);
        Arc::clone(&config.set)
    }

    /// Returns the routes of the configuration in force.
    #[must_use]
    pub fn routes(&self) -> Arc<Routes> {
        let config = self.config.read().unwrap_or_else(PoisonError::into_inner);
        Arc::clone(&config.routes)
    }

    /// Puts a configuration in force if its revision is newer than the current
    /// one's; returns whether it did.
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

    /// Returns a snapshot of the known members and claims.
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

    /// Locks the lease state that permits this instance to act as an owner.
    pub fn lease(&self) -> MutexGuard<'_, Authority> {
        self.lease.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Whether this instance's lease allows it to grant permits at `now`.
    #[must_use]
    pub fn may_grant(&self, now: Time) -> bool {
        self.lease().is_valid(now)
    }

    /// Locks the observations taken from the heartbeats of the other instances.
    pub fn peer_observations(&self) -> MutexGuard<'_, PeerObservations> {
        self.peer_observations
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the latest revisions that this instance has read from the store.
    #[must_use]
    pub fn known_revisions(&self) -> KnownRevisions {
        KnownRevisions {
            config: self.config().revision,
            directory: self.directory().revision,
            store: self.store_reachable.load(Ordering::Relaxed),
        }
    }

    /// Locks the capacities reported by the owners of shards.
    pub fn capacities(&self) -> MutexGuard<'_, ShardCapacities> {
        self.capacities
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the maximum number of connections that this instance may have open
    /// to a target; `None` for a target that is not listed.
    #[must_use]
    pub fn connection_limit(&self, target: SocketAddr) -> Option<u32> {
        let limits = self.connection_limits.read();
        let limits = limits.unwrap_or_else(PoisonError::into_inner);
        limits.get(&target).copied()
    }

    /// Replaces the connection limits of all targets.
    pub fn set_connection_limits(&self, shares: IndexMap<SocketAddr, u32>) {
        let mut limits = self
            .connection_limits
            .write()
            .unwrap_or_else(PoisonError::into_inner);
        *limits = shares;
    }

    /// Returns the shard if this instance owns it.
    #[must_use]
    pub fn owned_shard(&self, shard: &ShardId) -> Option<Arc<OwnedShard>> {
        let shards = self.shards.read().unwrap_or_else(PoisonError::into_inner);
        shards.get(shard).cloned()
    }

    /// Whether `owned` is still the current state of the shard; a shard that was
    /// released and claimed again has a new state.
    #[must_use]
    pub fn still_owns(&self, shard: &ShardId, owned: &Arc<OwnedShard>) -> bool {
        let present = self.owned_shard(shard);
        present.is_some_and(|present| Arc::ptr_eq(&present, owned))
    }

    /// Returns every shard that this instance owns.
    #[must_use]
    pub fn owned_shards(&self) -> Vec<(ShardId, Arc<OwnedShard>)> {
        let shards = self.shards.read().unwrap_or_else(PoisonError::into_inner);
        shards
            .iter()
            .map(|(id, shard)| (id.clone(), Arc::clone(shard)))
            .collect()
    }

    /// Adds a newly owned shard; `None` when it is owned already.
    pub fn add_owned_shard(&self, id: ShardId, settings: ShardSettings) -> Option<Arc<OwnedShard>> {
        let mut shards = self.shards.write().unwrap_or_else(PoisonError::into_inner);
        if shards.contains_key(&id) {
            return None;
        }
        let owned = Arc::new(OwnedShard::new(settings));
        shards.insert(id, Arc::clone(&owned));
        Some(owned)
    }

    /// Removes an owned shard and refuses the calls queued in it.
    pub fn remove_owned_shard(&self, id: &ShardId) {
        let mut shards = self.shards.write().unwrap_or_else(PoisonError::into_inner);
        let removed = shards.swap_remove(id);
        drop(shards);
        if let Some(owned) = removed {
            owned.refuse_waiters();
        }
    }
}

static NEXT_PERMIT_ID: AtomicU64 = AtomicU64::new(1);

/// Returns the identifier of the next slot request.
///
/// It is unique within this process, so that a late return of a permit can't
/// free a slot of a shard that was released and claimed again in the meantime.
pub fn next_permit_id() -> PermitId {
    PermitId(NEXT_PERMIT_ID.fetch_add(1, Ordering::Relaxed))
}

/// A shard that this instance owns, with the requests queued for its slots.
#[derive(Debug)]
pub struct OwnedShard {
    state: Mutex<OwnedShardState>,
}

#[derive(Debug)]
struct OwnedShardState {
    shard: Shard,
    waiters: IndexMap<PermitId, oneshot::Sender<SlotOutcome>>,
    demand: BorrowerDemand,
}

impl OwnedShard {
    fn new(settings: ShardSettings) -> Self {
        Self {
            state: Mutex::new(OwnedShardState {
                shard: Shard::new(settings),
                waiters: IndexMap::new(),
                demand: BorrowerDemand::default(),
            }),
        }
    }

    /// Requests a slot and waits for the decision.
    ///
    /// # Errors
    /// [`Refusal`] with the reason why no slot was granted.
    pub async fn request_slot(
        &self,
        tables: &Tables,
        request: SlotRequest,
    ) -> Result<Permit, Refusal> {
        let id = request.id;
        let rx = {
            let mut state = self.state();
            let now = tables.clock.now();
            if !tables.may_grant(now) {
                return Err(Refusal::NotOwner);
            }
            let (outcome, decisions) = state.shard.request_slot(now, request);
            state.deliver(decisions, now, tables);
            match outcome {
                SlotOutcome::Granted(permit) => return Ok(permit),
                SlotOutcome::Refused(refusal) => return Err(refusal),
                SlotOutcome::Queued => state.add_waiter(id),
            }
        };
        let mut queued = QueuedRequest {
            owned: self,
            tables,
            id,
            rx,
        };
        match (&mut queued.rx).await {
            Ok(SlotOutcome::Granted(permit)) => Ok(permit),
            Ok(SlotOutcome::Refused(refusal)) => Err(refusal),
            Ok(SlotOutcome::Queued) | Err(_) => Err(Refusal::NotOwner),
        }
    }

    /// Releases a permit and grants the freed slot to a queued request.
    pub fn release(&self, tables: &Tables, id: PermitId, report: &CallReport) {
        let mut state = self.state();
        let now = tables.clock.now();
        let decisions = state.shard.release(now, id, report);
        state.deliver(decisions, now, tables);
    }

    /// Lends permits in advance to a borrower that has finished `calls` calls since
    /// its previous request.
    pub fn lend(
        &self,
        tables: &Tables,
        id: &ShardId,
        borrower: &InstanceId,
        calls: u32,
    ) -> Vec<LentPermit> {
        let mut state = self.state();
        let now = tables.clock.now();
        state.demand.record(now, borrower, calls);
        if !tables.may_grant(now) {
            return Vec::new();
        }
        let held = u32::try_from(state.shard.held_by(borrower)).unwrap_or(u32::MAX);
        let free = state.shard.capacity(now, id).free;
        let count = state.demand.permits_to_lend(now, borrower, held, free);
        let lend = |_| {
            let permit = state.shard.lend(now, next_permit_id(), borrower);
            permit.map(|permit| lent_permit(now, id, permit))
        };
        (0..count).map_while(lend).collect()
    }

    /// Ends expired permits and requests, and grants free slots to queued requests.
    pub fn advance(&self, tables: &Tables) {
        let mut state = self.state();
        let now = tables.clock.now();
        let decisions = state.shard.advance(now);
        state.deliver(decisions, now, tables);
    }

    /// Runs `f` on the shard while holding its lock.
    pub fn with<R>(&self, f: impl FnOnce(&mut Shard) -> R) -> R {
        f(&mut self.state().shard)
    }

    fn refuse_waiters(&self) {
        let waiters = std::mem::take(&mut self.state().waiters);
        for (_, tx) in waiters {
            let _ = tx.send(SlotOutcome::Refused(Refusal::NotOwner));
        }
    }

    fn state(&self) -> MutexGuard<'_, OwnedShardState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl OwnedShardState {
    fn add_waiter(&mut self, id: PermitId) -> oneshot::Receiver<SlotOutcome> {
        let (tx, rx) = oneshot::channel();
        self.waiters.insert(id, tx);
        rx
    }

    /// Sends decisions to the queued requests. A grant whose receiver is gone, or
    /// that arrives after the lease expired, is released at once.
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

fn lent_permit(now: Time, shard: &ShardId, permit: Permit) -> LentPermit {
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

/// A queued request. Dropping it withdraws the request and releases a permit that
/// was granted but not received.
struct QueuedRequest<'a> {
    owned: &'a OwnedShard,
    tables: &'a Tables,
    id: PermitId,
    rx: oneshot::Receiver<SlotOutcome>,
}

impl Drop for QueuedRequest<'_> {
    fn drop(&mut self) {
        {
            let mut state = self.owned.state();
            state.waiters.swap_remove(&self.id);
            state.shard.withdraw(self.id);
        }
        if let Ok(SlotOutcome::Granted(_)) = self.rx.try_recv() {
            self.owned
                .release(self.tables, self.id, &CallReport::unsent());
        }
    }
}
