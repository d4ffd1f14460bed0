//! Claims on shards: decides which to make, to take over and to hand over.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use indexmap::{IndexMap, IndexSet};

use super::directory::{CLAIM_PREFIX, member_key};
use super::{Control, encode};
use crate::admission::borrower_demand::LENT_PERMIT_TTL;
use crate::membership::{Claim, InheritedPermits, TargetPermits};
use crate::names::{ShardId, TargetId};
use crate::ownership::electorate::Electorate;
use crate::ownership::placement;
use crate::ownership::takeover::{LapsedClaim, SilenceReport, may_take_over};
use crate::platform::store::{Compare, StoreError, Txn, Write};
use crate::tables::{Directory, OwnedShard};
use crate::units::Time;

/// Maximum number of claims that one step makes or takes over, and of claims that it rewrites.
const CLAIMS_PER_STEP: usize = 8;

impl Control {
    /// Claims the shards that placement prefers this instance for and whose previous owner,
    /// if any, has stopped.
    pub(super) async fn update_claims(&mut self) -> Result<(), StoreError> {
        let tables = &self.instance.tables;
        let now = tables.clock.now();
        if tables.stopping.load(Ordering::Relaxed) || !tables.lease().is_lease_valid(now) {
            return Ok(());
        }
        let directory = tables.directory();
        let own_run = tables.member.run();
        let claimable = self.claimable_shards();
        let preferred = |shard: &&ShardId| {
            let order = placement::preference(shard, directory.members.values());
            order.first().is_some_and(|member| member.run() == own_run)
        };
        let free = |shard: &&ShardId| self.may_claim(&directory, shard);
        let mut chosen: Vec<ShardId> = claimable
            .iter()
            .filter(preferred)
            .filter(free)
            .cloned()
            .collect();
        chosen.truncate(CLAIMS_PER_STEP);
        let wrote = !chosen.is_empty();
        for shard in chosen {
            self.write_claim(&directory, shard).await?;
        }
        if wrote {
            self.refresh_directory().await?;
        }
        self.update_electorates().await?;
        self.hand_over_one().await
    }

    /// Releases one claim that placement prefers another member for, once the set of members
    /// is stable. At most one claim is handed over per lease TTL.
    async fn hand_over_one(&mut self) -> Result<(), StoreError> {
        let tables = &self.instance.tables;
        let now = tables.clock.now();
        let directory = tables.directory();
        let lease = tables.settings.membership.lease;
        let recent = self
            .last_handover
            .is_some_and(|last| now.since(last) < lease);
        if recent || !self.members_stable(&directory, now) {
            return Ok(());
        }
        let tables = &self.instance.tables;
        let own_run = tables.member.run();
        let own_claims = directory.claims.values();
        let own_claims = own_claims.filter(|claim| claim.run() == own_run && !claim.released);
        let mut own_claims = own_claims;
        let misplaced = own_claims.find(|claim| {
            if self.releasing.contains_key(&claim.shard) {
                return true;
            }
            // Permits in use would be withheld from the next owner until they end.
            let owned = tables.owned_shard(&claim.shard);
            let idle = |owned: Arc<OwnedShard>| {
                owned.with(|shard| shard.outstanding().is_empty() && shard.waiting() == 0)
            };
            let order = placement::preference(&claim.shard, directory.members.values());
            let elsewhere = order.first().is_some_and(|member| member.run() != own_run);
            elsewhere && owned.is_none_or(idle)
        });
        let Some(claim) = misplaced else {
            return Ok(());
        };
        self.last_handover = Some(now);
        // This read fails while the store is down, so the shard is then kept.
        self.refresh_directory().await?;
        self.release_claim(&directory, claim).await?;
        self.refresh_directory().await?;
        super::heartbeat::send_all(&self.instance);
        Ok(())
    }

    /// Returns the shards of declared services that have at least one listed target.
    fn claimable_shards(&self) -> IndexSet<ShardId> {
        let config = self.instance.tables.config();
        let declared = |shard: &ShardId| config.service(&shard.service).is_some();
        let listed = self.list.shards().cloned();
        listed.filter(declared).collect()
    }

    /// Returns whether no other instance may act as the shard's owner any more.
    fn may_claim(&self, directory: &Directory, shard: &ShardId) -> bool {
        let Some(claim) = directory.claims.get(shard) else {
            return true;
        };
        if claim.released {
            return true;
        }
        let Some(since) = directory.lapsed_since.get(shard) else {
            return false;
        };
        let tables = &self.instance.tables;
        let now = tables.clock.now();
        let owner = claim.run();
        let peers = tables.peer_observations();
        let own_report = SilenceReport {
            requested_at: now,
            received_at: now,
            silent_for: peers.silent_for(now, &owner),
        };
        let lapsed = LapsedClaim {
            electorate: &claim.electorate,
            since: *since,
            owner_stopped: peers.stopped_at(&owner),
        };
        let report = |member: &_| {
            if *member == tables.member.instance {
                return Some(own_report);
            }
            peers.report(&owner, member)
        };
        may_take_over(&self.rules, now, &lapsed, report)
    }

    /// Writes this run as the shard's owner. The write fails when the claim has changed since
    /// it was read or the previous owner's member key exists again.
    async fn write_claim(&self, directory: &Directory, shard: ShardId) -> Result<(), StoreError> {
        let tables = &self.instance.tables;
        let own_member = &tables.member;
        let previous = directory.claims.get(&shard);
        let key = format!("{CLAIM_PREFIX}{shard}");
        let revision = directory.revisions.get(&shard).copied();
        let mut compare = vec![Compare {
            key: key.clone(),
            mod_revision: revision.unwrap_or_default(),
        }];
        if let Some(previous) = previous.filter(|claim| !claim.released) {
            compare.push(Compare {
                key: member_key(&previous.run()),
                mod_revision: 0,
            });
        }
        let claim = Claim {
            electorate: Electorate::of(&own_member.instance, directory.members.keys()),
            shard: shard.clone(),
            owner: own_member.instance.clone(),
            start: own_member.start.clone(),
            released: false,
            inherited: previous.map_or(InheritedPermits::Nothing, inherited_permits),
        };
        let txn = Txn {
            compare,
            writes: vec![Write::Put {
                key,
                value: encode(&claim)?,
                lease: None,
            }],
        };
        if (self.instance.store.txn)(txn).await?.succeeded {
            let from = previous.map(|claim| claim.owner.as_str());
            tracing::info!(%shard, from, "shard claimed");
        }
        Ok(())
    }

    /// Writes the current electorate into this run's claims after the members have changed,
    /// a limited number of claims per step.
    async fn update_electorates(&mut self) -> Result<(), StoreError> {
        let tables = &self.instance.tables;
        let directory = tables.directory();
        let own_run = tables.member.run();
        let current = Electorate::of(&own_run.instance, directory.members.keys());
        let outdated: Vec<Claim> = directory
            .claims
            .values()
            .filter(|claim| {
                claim.run() == own_run && !claim.released && claim.electorate != current
            })
            .take(CLAIMS_PER_STEP)
            .cloned()
            .collect();
        let stable = self.members_stable(&directory, tables.clock.now());
        if outdated.is_empty() || !stable {
            return Ok(());
        }
        let mut txn = Txn::default();
        for claim in outdated {
            let key = format!("{CLAIM_PREFIX}{}", claim.shard);
            let revision = directory.revisions.get(&claim.shard);
            txn.compare.push(Compare {
                key: key.clone(),
                mod_revision: revision.copied().unwrap_or_default(),
            });
            let updated = Claim {
                electorate: current.clone(),
                ..claim
            };
            txn.writes.push(Write::Put {
                key,
                value: encode(&updated)?,
                lease: None,
            });
        }
        // The old and the new electorate both count until the write's outcome is known.
        self.pending_electorates.insert(current);
        self.refresh_directory().await?;
        (self.instance.store.txn)(txn).await?;
        self.pending_electorates.clear();
        self.refresh_directory().await
    }

    /// Returns whether the set of members has been unchanged for one lease TTL.
    fn members_stable(&mut self, directory: &Directory, now: Time) -> bool {
        let members: Vec<_> = directory.members.keys().cloned().collect();
        if self.member_set.0 != members {
            self.member_set = (members, now);
        }
        now.since(self.member_set.1) >= self.instance.tables.settings.membership.lease
    }

    /// Stops granting permits for a shard, then marks its claim as released.
    ///
    /// The response to the write may be lost, so the shard is not owned again until a read
    /// of the directory shows the state of the claim.
    async fn release_claim(
        &mut self,
        directory: &Directory,
        claim: &Claim,
    ) -> Result<(), StoreError> {
        let tables = &self.instance.tables;
        let known = self.releasing.get(&claim.shard).cloned();
        let permits = known.unwrap_or_else(|| {
            let owned = tables.owned_shard(&claim.shard);
            tables.remove_owned_shard(&claim.shard);
            let now = tables.clock.now();
            owned.map_or_else(Vec::new, |owned| outstanding_permits(&owned, now))
        });
        self.releasing.insert(claim.shard.clone(), permits.clone());
        let key = format!("{CLAIM_PREFIX}{}", claim.shard);
        let released = Claim {
            released: true,
            inherited: InheritedPermits::Known { permits },
            ..claim.clone()
        };
        let revision = directory.revisions.get(&claim.shard);
        let txn = Txn {
            compare: vec![Compare {
                key: key.clone(),
                mod_revision: revision.copied().unwrap_or_default(),
            }],
            writes: vec![Write::Put {
                key,
                value: encode(&released)?,
                lease: None,
            }],
        };
        if (self.instance.store.txn)(txn).await?.succeeded {
            tracing::info!(shard = %claim.shard, "claim released");
        } else {
            tracing::info!(shard = %claim.shard, "claim not released: it was changed meanwhile");
        }
        Ok(())
    }

    /// Releases this run's claims and revokes its lease at a planned stop. Each claim records
    /// the permits that are still in use.
    pub(super) async fn release_all_claims(&mut self) -> Result<(), StoreError> {
        let instance = Arc::clone(&self.instance);
        let tables = &instance.tables;
        let directory = tables.directory();
        let own_run = tables.member.run();
        let claims = directory.claims.values();
        for claim in claims.filter(|claim| claim.run() == own_run && !claim.released) {
            self.release_claim(&directory, claim).await?;
        }
        tables.lease().revoke();
        if let Some(lease) = self.lease.take() {
            (self.instance.store.revoke)(lease).await?;
        }
        Ok(())
    }
}

/// Returns the permits of previous owners that the new owner must assume to be in use.
fn inherited_permits(previous: &Claim) -> InheritedPermits {
    if previous.released {
        previous.inherited.clone()
    } else {
        InheritedPermits::Unknown
    }
}

/// Sums up the permits in use by target, for the next owner.
fn outstanding_permits(owned: &OwnedShard, now: Time) -> Vec<TargetPermits> {
    let mut by_target: IndexMap<TargetId, TargetPermits> = IndexMap::new();
    owned.with(|shard| {
        for permit in shard.outstanding().values() {
            let remaining = permit.deadline.since(now).as_millis();
            let left_ms = u64::try_from(remaining).unwrap_or(u64::MAX);
            let entry = by_target
                .entry(permit.target.clone())
                .or_insert(TargetPermits {
                    target: permit.target.clone(),
                    count: 0,
                    left_ms: 0,
                });
            entry.count += 1;
            entry.left_ms = entry.left_ms.max(left_ms);
        }
    });
    by_target.into_values().collect()
}

/// Returns the longest time for which a permit of a previous owner may still be in use:
/// the time for which it may be lent plus the call's deadline, with a margin of 10% and 200 ms.
pub(super) fn max_permit_lifetime(deadline: Duration) -> Duration {
    let lifetime = LENT_PERMIT_TTL + deadline;
    lifetime + lifetime / 10 + Duration::from_millis(200)
}
