//! Permits for this instance's calls: from its own shards, lent ahead, or from
//! their owners.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use indexmap::IndexSet;

use super::link::Link;
use crate::admission::capacity::{Candidate, PermitSource, RankedShard};
use crate::admission::permit::{
    CallReport, GrantedPermit, PermitId, PermitRequest, Refusal, SlotRequest,
};
use crate::admission::shard::MIN_BORROWED_TTL;
use crate::instance::Instance;
use crate::names::{CallerName, ServiceName, ShardId, TargetId};
use crate::resource::Rank;
use crate::tables::{OwnedShard, next_permit};
use crate::units::Time;

/// What a call needs of a permit.
#[derive(Debug, Clone)]
pub struct Need {
    /// Service that is called.
    pub service: ServiceName,
    /// Position among the priorities.
    pub rank: Rank,
    /// Who calls.
    pub caller: CallerName,
    /// When the call is no longer worth running.
    pub deadline: Time,
    /// Targets that have already been tried.
    pub avoid: Vec<TargetId>,
}

/// A permit in use; it must be given back with [`Held::release`].
#[derive(Debug)]
pub struct Held {
    /// The target to run the call on.
    pub target: TargetId,
    /// Where the target takes calls.
    pub address: SocketAddr,
    permit: PermitId,
    shard: ShardId,
    source: Source,
    end: Time,
}

#[derive(Debug)]
enum Source {
    Own(Arc<OwnedShard>),
    Peer(Arc<Link>),
}

/// Wait for a full shard in the first round, while others may be asked.
const FIRST_PATIENCE: Duration = Duration::from_millis(25);
/// Rounds over the shards before one is waited for without end.
const PATIENCE_ROUNDS: u32 = 5;

static NEXT_ASK: AtomicU64 = AtomicU64::new(1);

/// Gets a permit for one call.
///
/// The shard with the least expected cost is asked first; a full one is waited
/// for only when no other costs less than the wait.
///
/// # Errors
/// Why no shard admitted the call.
pub async fn acquire(instance: &Arc<Instance>, need: &Need) -> Result<Held, Refusal> {
    let mut search = Search::new(candidates(instance, &need.service));
    loop {
        let Some(choice) = search.next(instance, need) else {
            return Err(search.reason);
        };
        let may_wait = !choice.free || search.full.contains(&choice.shard);
        let asked = ask(instance, &choice.shard, need, may_wait);
        let Some(answer) = bounded(search.patience().filter(|_| may_wait), asked).await else {
            search.passed.insert(choice.shard);
            continue;
        };
        let refusal = match answer {
            Ok(held) if in_service(instance, &held.shard) => return Ok(held),
            Ok(held) => {
                held.release(instance, CallReport::unsent());
                Refusal::NoTarget
            }
            Err(refusal) => refusal,
        };
        if refusal == Refusal::TooLate {
            return Err(refusal);
        }
        if refusal == Refusal::Full && search.full.insert(choice.shard.clone()) && !may_wait {
            note_full(instance, &choice.shard);
            continue;
        }
        search.drop_shard(&choice.shard, refusal);
    }
}

/// Waits for an answer, at most `patience` when there is one.
async fn bounded<T>(patience: Option<Duration>, answer: impl Future<Output = T>) -> Option<T> {
    match patience {
        None => Some(answer.await),
        Some(patience) => tokio::time::timeout(patience, answer).await.ok(),
    }
}

/// The search of one call for a permit among its service's shards.
struct Search {
    /// The shards that may still be asked.
    left: Vec<Candidate>,
    /// The shards that had no free slot; they are waited for.
    full: IndexSet<ShardId>,
    /// The shards that were waited for in vain in this round.
    passed: IndexSet<ShardId>,
    round: u32,
    reason: Refusal,
}

impl Search {
    fn new(left: Vec<Candidate>) -> Self {
        Self {
            left,
            full: IndexSet::new(),
            passed: IndexSet::new(),
            round: 0,
            reason: Refusal::NoTarget,
        }
    }

    /// The shard to ask next.
    fn next(&mut self, instance: &Instance, need: &Need) -> Option<RankedShard> {
        if self.passed.len() >= self.left.len() {
            self.passed.clear();
            self.round += 1;
        }
        let passed = &self.passed;
        let open = self
            .left
            .iter()
            .filter(|candidate| !passed.contains(&candidate.shard));
        first_choice(instance, need, open.cloned().collect())
    }

    /// How long a shard is waited for before another one is looked at again; a
    /// shard may have less room than it was expected to have.
    fn patience(&self) -> Option<Duration> {
        let bounded = self.left.len() > 1 && self.round < PATIENCE_ROUNDS;
        bounded.then(|| FIRST_PATIENCE * 2_u32.pow(self.round))
    }

    fn drop_shard(&mut self, shard: &ShardId, refusal: Refusal) {
        self.left.retain(|candidate| candidate.shard != *shard);
        self.passed.swap_remove(shard);
        self.reason = worse(self.reason, refusal);
    }
}

/// Whether the shard's zone is still in service; it may have been taken out
/// while the permit was on its way, or its owner may not know yet.
fn in_service(instance: &Instance, shard: &ShardId) -> bool {
    instance.tables.config().zone_in_service(&shard.zone)
}

/// Of two refusals the one that tells the caller more.
fn worse(one: Refusal, other: Refusal) -> Refusal {
    if one == Refusal::Full { one } else { other }
}

/// The service's shards in zones that are in service and that have an owner.
fn candidates(instance: &Instance, service: &ServiceName) -> Vec<Candidate> {
    let tables = &instance.tables;
    let config = tables.config();
    let directory = tables.directory();
    let zone = &tables.settings.zone;
    let in_service = config.zones().filter(|declared| declared.spec.in_service);
    let candidate = |shard: ShardId| {
        let source = if tables.owned(&shard).is_some() {
            PermitSource::Local
        } else if instance.borrowing.has_lent(&shard) {
            PermitSource::Lent
        } else if directory.owner(&shard)?.zone == *zone {
            PermitSource::SameZoneOwner
        } else {
            PermitSource::OtherZoneOwner
        };
        Some(Candidate {
            same_zone: shard.zone == *zone,
            source,
            shard,
        })
    };
    in_service
        .map(|declared| ShardId::from((service, &declared.name)))
        .filter_map(candidate)
        .collect()
}

fn first_choice(instance: &Instance, need: &Need, open: Vec<Candidate>) -> Option<RankedShard> {
    let now = instance.tables.clock.now();
    let capacities = instance.tables.capacities();
    let order = capacities.order(now, need.rank, open);
    order.into_iter().next()
}

/// Makes this instance's own shard show how full it is; an owner that was
/// asked told it with its answer.
fn note_full(instance: &Instance, shard: &ShardId) {
    let tables = &instance.tables;
    if let Some(owned) = tables.owned(shard) {
        let now = tables.clock.now();
        let capacity = owned.with(|state| state.capacity(now, shard));
        tables.capacities().update(now, capacity);
    }
}

async fn ask(
    instance: &Arc<Instance>,
    shard: &ShardId,
    need: &Need,
    may_wait: bool,
) -> Result<Held, Refusal> {
    match instance.tables.owned(shard) {
        Some(owned) => ask_own(instance, owned, shard, need, may_wait).await,
        None => ask_peer(instance, shard, need, may_wait).await,
    }
}

async fn ask_own(
    instance: &Arc<Instance>,
    owned: Arc<OwnedShard>,
    shard: &ShardId,
    need: &Need,
    may_wait: bool,
) -> Result<Held, Refusal> {
    let ask = SlotRequest {
        id: next_permit(),
        rank: need.rank,
        caller: need.caller.clone(),
        deadline: need.deadline,
        borrower: None,
        may_wait,
        excluded: need.avoid.clone(),
    };
    let permit = owned.request_slot(&instance.tables, ask).await?;
    Ok(Held {
        target: permit.target,
        address: permit.address,
        permit: permit.id,
        shard: shard.clone(),
        source: Source::Own(owned),
        end: permit.deadline,
    })
}

async fn ask_peer(
    instance: &Arc<Instance>,
    shard: &ShardId,
    need: &Need,
    may_wait: bool,
) -> Result<Held, Refusal> {
    instance.metrics.permits_borrowed.inc();
    let now = instance.tables.clock.now();
    let borrowing = &instance.borrowing;
    if let Some((granted, link)) = borrowing.take_lent(now, shard, need.deadline, &need.avoid) {
        instance.metrics.permits_lent.inc();
        return Ok(Held::borrowed(instance, granted, link, need.deadline));
    }
    let directory = instance.tables.directory();
    let owner = directory.owner(shard).ok_or(Refusal::OwnerUnreachable)?;
    let left = need.deadline.since(now).as_micros();
    let ask = PermitRequest {
        shard: shard.clone(),
        number: NEXT_ASK.fetch_add(1, Ordering::Relaxed),
        rank: need.rank,
        caller: need.caller.clone(),
        left_us: u64::try_from(left).unwrap_or(u64::MAX),
        may_wait,
        excluded: need.avoid.clone(),
    };
    let link = borrowing.link(instance, owner);
    let granted = link.ask(instance, ask).await?;
    let end = need.deadline.max(now.after(MIN_BORROWED_TTL));
    Ok(Held::borrowed(instance, granted, link, end))
}

impl Held {
    /// A permit that its owner counts until `end` at the least.
    fn borrowed(
        instance: &Arc<Instance>,
        granted: GrantedPermit,
        link: Arc<Link>,
        end: Time,
    ) -> Self {
        link.hold(instance, &granted.shard, granted.permit, end);
        Self {
            target: granted.target,
            address: granted.address,
            permit: granted.permit,
            shard: granted.shard,
            source: Source::Peer(link),
            end,
        }
    }

    /// Until when the permit may be used: an own one while this instance may act
    /// as an owner, a borrowed one until its owner frees it.
    pub(crate) fn counts_until(&self, instance: &Instance) -> Time {
        match &self.source {
            Source::Own(owned) if instance.tables.owns(&self.shard, owned) => {
                instance.tables.lease().valid_until()
            }
            // The shard was given up after the permit was granted.
            Source::Own(_) => Time::ZERO,
            Source::Peer(_) => self.end,
        }
    }

    /// Gives the permit back.
    pub fn release(self, instance: &Arc<Instance>, report: CallReport) {
        match self.source {
            Source::Own(owned) => owned.release(&instance.tables, self.permit, &report),
            Source::Peer(link) => link.give_back(instance, self.shard, self.permit, report),
        }
    }
}
