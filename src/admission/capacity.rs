//! Capacities that the owners of shards have reported, and the order in which a
//! call tries shards.

use std::time::Duration;

use indexmap::IndexMap;

use super::permit::ShardCapacity;
use crate::names::ShardId;
use crate::resource::Rank;
use crate::units::Time;

/// Time for which a reported capacity affects the order for calls.
const ORDER_TTL: Duration = Duration::from_millis(200);
/// Time for which a reported capacity affects the choice of instance for
/// callers.
const REPORT_TTL: Duration = Duration::from_secs(5);
/// Expected round trip to a target or an owner in another zone.
const OTHER_ZONE_RTT: Duration = Duration::from_millis(2);
/// Expected round trip to an owner in the same zone.
const OWNER_RTT: Duration = Duration::from_micros(300);
/// Cost of a shard whose owner can't be reached.
const UNREACHABLE_COST: Duration = Duration::from_secs(1);

/// Last known capacities of shards: those that other owners have reported, and
/// those of this instance's shards when they were last found full. `None` for a
/// shard whose owner could not be reached.
#[derive(Debug, Default)]
pub struct ShardCapacities(IndexMap<ShardId, (Time, Option<ShardCapacity>)>);

/// A shard to which a call may be sent.
#[derive(Debug, Clone, PartialEq)]
pub struct Candidate {
    /// Shard of the called service.
    pub shard: ShardId,
    /// Whether its targets are in this instance's zone.
    pub same_zone: bool,
    /// Source of a permit for it.
    pub source: PermitSource,
}

/// Source of a permit for a shard.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PermitSource {
    /// This instance, which owns the shard.
    Local,
    /// A permit that the owner has lent in advance.
    Lent,
    /// An owner in this instance's zone.
    SameZoneOwner,
    /// An owner in another zone.
    OtherZoneOwner,
}

/// A shard with its expected cost, in the order in which a call tries them.
#[derive(Debug, Clone, PartialEq)]
pub struct RankedShard {
    /// Shard of the called service.
    pub shard: ShardId,
    /// Expected time until the call has a slot, and the additional round trip
    /// to its target.
    pub cost: Duration,
    /// Whether a slot is expected to be free.
    pub free: bool,
}

impl ShardCapacities {
    /// Records the capacity of a shard.
    pub fn update(&mut self, now: Time, capacity: ShardCapacity) {
        self.0.insert(capacity.shard.clone(), (now, Some(capacity)));
    }

    /// Records that a shard's owner can't be reached.
    pub fn unreachable(&mut self, now: Time, shard: &ShardId) {
        self.0.insert(shard.clone(), (now, None));
    }

    /// Returns the number of free slots in the last report of the shard's
    /// owner, `None` when it is unknown or too old.
    #[must_use]
    pub fn free(&self, now: Time, shard: &ShardId) -> Option<u32> {
        let (at, capacity) = self.0.get(shard)?;
        let capacity = capacity.as_ref().filter(|_| now < at.after(REPORT_TTL))?;
        Some(capacity.free)
    }

    /// Orders the candidates as a call of `rank` tries them: shards of the same
    /// zone first, as long as waiting there costs less than the round trip to
    /// another zone.
    #[must_use]
    pub fn order(&self, now: Time, rank: Rank, candidates: Vec<Candidate>) -> Vec<RankedShard> {
        let mut ranked: Vec<_> = candidates
            .into_iter()
            .map(|candidate| self.rank_shard(now, rank, candidate))
            .collect();
        ranked.sort_by_key(|shard| shard.cost);
        ranked
    }

    fn rank_shard(&self, now: Time, rank: Rank, candidate: Candidate) -> RankedShard {
        let report = self.0.get(&candidate.shard);
        let report = report.filter(|(at, _)| now < at.after(ORDER_TTL));
        let mut cost = Duration::ZERO;
        if !candidate.same_zone {
            cost += OTHER_ZONE_RTT;
        }
        cost += match candidate.source {
            PermitSource::Local | PermitSource::Lent => Duration::ZERO,
            PermitSource::SameZoneOwner => OWNER_RTT,
            PermitSource::OtherZoneOwner => OTHER_ZONE_RTT,
        };
        let mut free = true;
        match report {
            _ if candidate.source == PermitSource::Lent => {}
            None => {}
            Some((_, None)) => cost += UNREACHABLE_COST,
            Some((_, Some(capacity))) => {
                let slots = if rank == Rank::URGENT {
                    capacity.urgent_free
                } else {
                    capacity.free
                };
                free = slots > 0;
                if !free {
                    cost += Duration::from_micros(capacity.wait_us);
                }
            }
        }
        RankedShard {
            shard: candidate.shard,
            cost,
            free,
        }
    }
}

#[cfg(test)]
mod tests;
