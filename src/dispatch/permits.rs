//! Acquires permits for this instance's calls: from shards that it owns, from
//! permits lent in advance, or on request from other owners.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use indexmap::IndexSet;

use super::owner_client::OwnerClient;
use crate::admission::capacity::{Candidate, PermitSource, RankedShard};
use crate::admission::permit::{
    CallReport, GrantedPermit, PermitId, PermitRequest, Refusal, SlotRequest,
};
use crate::admission::shard::MIN_BORROWED_TTL;
use crate::instance::Instance;
use crate::names::{CallerName, ServiceName, ShardId, TargetId};
use crate::resource::Rank;
use crate::tables::{OwnedShard, next_permit_id};
use crate::units::Time;

/// What a call requires of a permit.
#[derive(Debug, Clone)]
pub struct CallRequirements {
    /// Called service.
    pub service: ServiceName,
    /// Rank of the call's priority.
    pub rank: Rank,
    /// Caller that the call is accounted to.
    pub caller: CallerName,
    /// Time after which the caller no longer needs the response.
    pub deadline: Time,
    /// Targets that earlier attempts have used and that must not be chosen again.
    pub excluded: Vec<TargetId>,
}

/// A permit in use; it must be returned with [`HeldPermit::release`].
#[derive(Debug)]
pub struct HeldPermit {
    /// Target to run the call on.
    pub target: TargetId,
    /// Address at which the target accepts calls.
    pub address: SocketAddr,
    permit: PermitId,
    shard: ShardId,
    source: Source,
    end: Time,
}

#[derive(Debug)]
enum Source {
    Own(Arc<OwnedShard>),
    Peer(Arc<OwnerClient>),
}

/// Longest wait for a full shard in the first round while there are other shards; it doubles
/// with each round.
const FIRST_SHARD_WAIT: Duration = Duration::from_millis(25);
/// Rounds over the shards before a wait for one shard is bounded only by the call's deadline.
const BOUNDED_WAIT_ROUNDS: u32 = 5;

static NEXT_REQUEST: AtomicU64 = AtomicU64::new(1);

/// Acquires a permit for one call.
///
/// The shard with the lowest expected cost is tried first; the call waits for a full
/// shard only if no other one costs less than the wait.
///
/// # Errors
/// The reason why no shard granted a permit.
pub async fn acquire(
    instance: &Arc<Instance>,
    requirements: &CallRequirements,
) -> Result<HeldPermit, Refusal> {
    let mut search = Search::new(candidates(instance, &requirements.service));
    loop {
        let Some(choice) = search.next(instance, requirements) else {
            return Err(search.reason);
        };
        let may_wait = !choice.free || search.full.contains(&choice.shard);
        let request = request_permit(instance, &choice.shard, requirements, may_wait);
        let Some(response) = with_limit(search.wait_limit().filter(|_| may_wait), request).await
        else {
            search.timed_out.insert(choice.shard);
            continue;
        };
        let refusal = match response {
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
            record_capacity(instance, &choice.shard);
            continue;
        }
        search.remove_shard(&choice.shard, refusal);
    }
}

/// Waits for a response, at most `limit` if there is one; `None` on timeout.
async fn with_limit<T>(limit: Option<Duration>, response: impl Future<Output = T>) -> Option<T> {
    match limit {
        None => Some(response.await),
        Some(limit) => tokio::time::timeout(limit, response).await.ok(),
    }
}

/// The search of one call for a permit among its service's shards.
struct Search {
    /// Shards that may still grant a permit.
    candidates: Vec<Candidate>,
    /// Shards that reported no free slot; the next request to them may be queued.
    full: IndexSet<ShardId>,
    /// Shards whose wait timed out in this round.
    timed_out: IndexSet<ShardId>,
    round: u32,
    reason: Refusal,
}

impl Search {
    fn new(candidates: Vec<Candidate>) -> Self {
        Self {
            candidates,
            full: IndexSet::new(),
            timed_out: IndexSet::new(),
            round: 0,
            reason: Refusal::NoTarget,
        }
    }

    /// Returns the shard to try next.
    fn next(
        &mut self,
        instance: &Instance,
        requirements: &CallRequirements,
    ) -> Option<RankedShard> {
        if self.timed_out.len() >= self.candidates.len() {
            self.timed_out.clear();
            self.round += 1;
        }
        let timed_out = &self.timed_out;
        let eligible = self
            .candidates
            .iter()
            .filter(|candidate| !timed_out.contains(&candidate.shard));
        cheapest(instance, requirements, eligible.cloned().collect())
    }

    /// Longest wait for one shard before the others are tried again, as a shard may
    /// have less capacity than expected. `None` if there is no other shard, or after
    /// the last bounded round.
    fn wait_limit(&self) -> Option<Duration> {
        let bounded = self.candidates.len() > 1 && self.round < BOUNDED_WAIT_ROUNDS;
        bounded.then(|| FIRST_SHARD_WAIT * 2_u32.pow(self.round))
    }

    fn remove_shard(&mut self, shard: &ShardId, refusal: Refusal) {
        self.candidates
            .retain(|candidate| candidate.shard != *shard);
        self.timed_out.swap_remove(shard);
        self.reason = reported_refusal(self.reason, refusal);
    }
}

/// Whether the shard's zone is still in service.
///
/// The zone may have been taken out of service while the permit was in transit, or
/// the owner may not have seen that configuration yet.
fn in_service(instance: &Instance, shard: &ShardId) -> bool {
    instance.tables.config().zone_in_service(&shard.zone)
}

/// Returns the refusal that tells the caller more: `Full` if that came first, else the
/// later one.
fn reported_refusal(earlier: Refusal, later: Refusal) -> Refusal {
    if earlier == Refusal::Full {
        earlier
    } else {
        later
    }
}

/// Returns the service's shards that have an owner and whose zone is in service.
fn candidates(instance: &Instance, service: &ServiceName) -> Vec<Candidate> {
    let tables = &instance.tables;
    let config = tables.config();
    let directory = tables.directory();
    let zone = &tables.settings.zone;
    let in_service = config.zones().filter(|declared| declared.spec.in_service);
    let candidate = |shard: ShardId| {
        let source = if tables.owned_shard(&shard).is_some() {
            PermitSource::Local
        } else if instance.remote_permits.has_lent_permit(&shard) {
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

fn cheapest(
    instance: &Instance,
    requirements: &CallRequirements,
    eligible: Vec<Candidate>,
) -> Option<RankedShard> {
    let now = instance.tables.clock.now();
    let capacities = instance.tables.capacities();
    let order = capacities.order(now, requirements.rank, eligible);
    order.into_iter().next()
}

/// Updates the known capacity of a shard that this instance owns. Other owners send
/// the capacity of their shards with each response.
fn record_capacity(instance: &Instance, shard: &ShardId) {
    let tables = &instance.tables;
    if let Some(owned) = tables.owned_shard(shard) {
        let now = tables.clock.now();
        let capacity = owned.with(|state| state.capacity(now, shard));
        tables.capacities().update(now, capacity);
    }
}

async fn request_permit(
    instance: &Arc<Instance>,
    shard: &ShardId,
    requirements: &CallRequirements,
    may_wait: bool,
) -> Result<HeldPermit, Refusal> {
    match instance.tables.owned_shard(shard) {
        Some(owned) => request_from_own_shard(instance, owned, shard, requirements, may_wait).await,
        None => request_from_owner(instance, shard, requirements, may_wait).await,
    }
}

async fn request_from_own_shard(
    instance: &Arc<Instance>,
    owned: Arc<OwnedShard>,
    shard: &ShardId,
    requirements: &CallRequirements,
    may_wait: bool,
) -> Result<HeldPermit, Refusal> {
    let request = SlotRequest {
        id: next_permit_id(),
        rank: requirements.rank,
        caller: requirements.caller.clone(),
        deadline: requirements.deadline,
        borrower: None,
        may_wait,
        excluded: requirements.excluded.clone(),
    };
    let permit = owned.request_slot(&instance.tables, request).await?;
    Ok(HeldPermit {
        target: permit.target,
        address: permit.address,
        permit: permit.id,
        shard: shard.clone(),
        source: Source::Own(owned),
        end: permit.deadline,
    })
}

async fn request_from_owner(
    instance: &Arc<Instance>,
    shard: &ShardId,
    requirements: &CallRequirements,
    may_wait: bool,
) -> Result<HeldPermit, Refusal> {
    instance.metrics.permits_borrowed.inc();
    let now = instance.tables.clock.now();
    let remote_permits = &instance.remote_permits;
    if let Some((granted, client)) =
        remote_permits.take_lent_permit(now, shard, requirements.deadline, &requirements.excluded)
    {
        instance.metrics.permits_lent.inc();
        return Ok(HeldPermit::borrowed(
            instance,
            granted,
            client,
            requirements.deadline,
        ));
    }
    let directory = instance.tables.directory();
    let owner = directory.owner(shard).ok_or(Refusal::OwnerUnreachable)?;
    let left = requirements.deadline.since(now).as_micros();
    let request = PermitRequest {
        shard: shard.clone(),
        number: NEXT_REQUEST.fetch_add(1, Ordering::Relaxed),
        rank: requirements.rank,
        caller: requirements.caller.clone(),
        left_us: u64::try_from(left).unwrap_or(u64::MAX),
        may_wait,
        excluded: requirements.excluded.clone(),
    };
    let client = remote_permits.client(instance, owner);
    let granted = client.request(instance, request).await?;
    let end = requirements.deadline.max(now.after(MIN_BORROWED_TTL));
    Ok(HeldPermit::borrowed(instance, granted, client, end))
}

impl HeldPermit {
    /// Wraps a permit of another owner, which counts it until `end` or later.
    fn borrowed(
        instance: &Arc<Instance>,
        granted: GrantedPermit,
        client: Arc<OwnerClient>,
        end: Time,
    ) -> Self {
        client.track_in_use(instance, &granted.shard, granted.permit, end);
        Self {
            target: granted.target,
            address: granted.address,
            permit: granted.permit,
            shard: granted.shard,
            source: Source::Peer(client),
            end,
        }
    }

    /// Time until which the permit may be used.
    ///
    /// A permit of this instance's own shard is valid while this instance holds its
    /// lease; a borrowed one until its owner may free it.
    pub(crate) fn valid_until(&self, instance: &Instance) -> Time {
        match &self.source {
            Source::Own(owned) if instance.tables.still_owns(&self.shard, owned) => {
                instance.tables.lease().valid_until()
            }
            // This instance released the shard after it granted the permit.
            Source::Own(_) => Time::ZERO,
            Source::Peer(_) => self.end,
        }
    }

    /// Returns the permit and reports how the call went.
    pub fn release(self, instance: &Arc<Instance>, report: CallReport) {
        match self.source {
            Source::Own(owned) => owned.release(&instance.tables, self.permit, &report),
            Source::Peer(client) => client.return_permit(instance, self.shard, self.permit, report),
        }
    }
}
