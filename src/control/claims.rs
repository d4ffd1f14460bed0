//! Claims on shards: which to make, to take over and to hand on.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use indexmap::{IndexMap, IndexSet};

use super::directory::{CLAIM_PREFIX, member_key};
use super::{Control, encode};
use crate::admission::lend::LEND_TIME;
use crate::membership::{Claim, LeftOver, LeftPermits};
use crate::names::{ShardId, TargetId};
use crate::ownership::electorate::Electorate;
use crate::ownership::placement;
use crate::ownership::takeover::{Lapsed, Report, may_take};
use crate::platform::store::{Compare, StoreError, Txn, Write};
use crate::tables::{Directory, OwnedShard};
use crate::units::Time;

/// Claims that one instance makes, takes or writes anew in one step.
const CLAIMS_PER_STEP: usize = 8;

impl Control {
    /// Makes the claims that prefer this instance and takes those over whose
    /// owner has stopped.
    pub(super) async fn update_claims(&mut self) -> Result<(), StoreError> {
        let tables = &self.instance.tables;
        let now = tables.clock.now();
        if tables.stopping.load(Ordering::Relaxed) || !tables.lease().lease_holds(now) {
            return Ok(());
        }
        let directory = tables.directory();
        let me = tables.member.run();
        let wanted = self.wanted_shards();
        let preferred = |shard: &&ShardId| {
            let order = placement::preference(shard, directory.members.values());
            order.first().is_some_and(|member| member.run() == me)
        };
        let takes = |shard: &&ShardId| self.free_to_take(&directory, shard);
        let mut chosen: Vec<ShardId> = wanted
            .iter()
            .filter(preferred)
            .filter(takes)
            .cloned()
            .collect();
        chosen.truncate(CLAIMS_PER_STEP);
        let wrote = !chosen.is_empty();
        for shard in chosen {
            self.claim(&directory, shard).await?;
        }
        if wrote {
            self.refresh_directory().await?;
        }
        self.renew_electorates().await?;
        self.move_one().await
    }

    /// Hands one claim on that placement prefers another member for, once the
    /// members have settled; at most one a lease.
    async fn move_one(&mut self) -> Result<(), StoreError> {
        let tables = &self.instance.tables;
        let now = tables.clock.now();
        let directory = tables.directory();
        let lease = tables.settings.membership.lease;
        let moved = self.moved.is_some_and(|last| now.since(last) < lease);
        if moved || !self.members_settled(&directory, now) {
            return Ok(());
        }
        let tables = &self.instance.tables;
        let me = tables.member.run();
        let mine = directory.claims.values();
        let mine = mine.filter(|claim| claim.run() == me && !claim.released);
        let mut mine = mine;
        let misplaced = mine.find(|claim| {
            if self.giving_up.contains_key(&claim.shard) {
                return true;
            }
            // What runs would keep the next owner's slots back until its end.
            let owned = tables.owned(&claim.shard);
            let quiet = |owned: Arc<OwnedShard>| {
                owned.with(|shard| shard.outstanding().is_empty() && shard.waiting() == 0)
            };
            let order = placement::preference(&claim.shard, directory.members.values());
            let elsewhere = order.first().is_some_and(|member| member.run() != me);
            elsewhere && owned.is_none_or(quiet)
        });
        let Some(claim) = misplaced else {
            return Ok(());
        };
        self.moved = Some(now);
        // The shard is given up only while the store answers.
        self.refresh_directory().await?;
        self.release(&directory, claim).await?;
        self.refresh_directory().await?;
        super::heartbeat::send_all(&self.instance);
        Ok(())
    }

    /// The shards of declared services that have at least one listed target.
    fn wanted_shards(&self) -> IndexSet<ShardId> {
        let config = self.instance.tables.config();
        let declared = |shard: &ShardId| config.service(&shard.service).is_some();
        let listed = self.list.shards().cloned();
        listed.filter(declared).collect()
    }

    /// Whether nobody may act as the shard's owner any more.
    fn free_to_take(&self, directory: &Directory, shard: &ShardId) -> bool {
        let Some(claim) = directory.claims.get(shard) else {
            return true;
        };
        if claim.released {
            return true;
        }
        let Some(since) = directory.lapsed.get(shard) else {
            return false;
        };
        let tables = &self.instance.tables;
        let now = tables.clock.now();
        let owner = claim.run();
        let words = tables.peer_words();
        let own = Report {
            asked: now,
            received: now,
            silent_for: words.silence(now, &owner),
        };
        let lapsed = Lapsed {
            electorate: &claim.electorate,
            since: *since,
            owner_stopped: words.stopped(&owner),
        };
        let report = |member: &_| {
            if *member == tables.member.instance {
                return Some(own);
            }
            words.report(&owner, member)
        };
        may_take(&self.rules, now, &lapsed, report)
    }

    /// Writes this run as the owner, unless the claim or its owner's lease has
    /// changed since it was read.
    async fn claim(&self, directory: &Directory, shard: ShardId) -> Result<(), StoreError> {
        let tables = &self.instance.tables;
        let me = &tables.member;
        let former = directory.claims.get(&shard);
        let key = format!("{CLAIM_PREFIX}{shard}");
        let revision = directory.revisions.get(&shard).copied();
        let mut compare = vec![Compare {
            key: key.clone(),
            mod_revision: revision.unwrap_or_default(),
        }];
        if let Some(former) = former.filter(|claim| !claim.released) {
            compare.push(Compare {
                key: member_key(&former.run()),
                mod_revision: 0,
            });
        }
        let claim = Claim {
            electorate: Electorate::of(&me.instance, directory.members.keys()),
            shard: shard.clone(),
            owner: me.instance.clone(),
            start: me.start.clone(),
            released: false,
            left_over: former.map_or(LeftOver::Nothing, left_over),
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
            let from = former.map(|claim| claim.owner.as_str());
            tracing::info!(%shard, from, "claimed");
        }
        Ok(())
    }

    /// Writes the members of today into this run's claims when they have
    /// changed, a few claims a step.
    async fn renew_electorates(&mut self) -> Result<(), StoreError> {
        let tables = &self.instance.tables;
        let directory = tables.directory();
        let me = tables.member.run();
        let current = Electorate::of(&me.instance, directory.members.keys());
        let outdated: Vec<Claim> = directory
            .claims
            .values()
            .filter(|claim| claim.run() == me && !claim.released && claim.electorate != current)
            .take(CLAIMS_PER_STEP)
            .cloned()
            .collect();
        let settled = self.members_settled(&directory, tables.clock.now());
        if outdated.is_empty() || !settled {
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
            let renewed = Claim {
                electorate: current.clone(),
                ..claim
            };
            txn.writes.push(Write::Put {
                key,
                value: encode(&renewed)?,
                lease: None,
            });
        }
        // Until the write's outcome is known both electorates count.
        self.pending.insert(current);
        self.refresh_directory().await?;
        (self.instance.store.txn)(txn).await?;
        self.pending.clear();
        self.refresh_directory().await
    }

    /// Whether the set of members has been the same for one lease.
    fn members_settled(&mut self, directory: &Directory, now: Time) -> bool {
        let members: Vec<_> = directory.members.keys().cloned().collect();
        if self.members.0 != members {
            self.members = (members, now);
        }
        now.since(self.members.1) >= self.instance.tables.settings.membership.lease
    }

    /// Stops granting a shard's slots, then leaves its claim to the next owner.
    ///
    /// An answer may be lost after the write, so the shard is not owned again
    /// until the store has told what became of the claim.
    async fn release(&mut self, directory: &Directory, claim: &Claim) -> Result<(), StoreError> {
        let tables = &self.instance.tables;
        let known = self.giving_up.get(&claim.shard).cloned();
        let permits = known.unwrap_or_else(|| {
            let owned = tables.owned(&claim.shard);
            tables.disown(&claim.shard);
            let now = tables.clock.now();
            owned.map_or_else(Vec::new, |owned| left_permits(&owned, now))
        });
        self.giving_up.insert(claim.shard.clone(), permits.clone());
        let key = format!("{CLAIM_PREFIX}{}", claim.shard);
        let left = Claim {
            released: true,
            left_over: LeftOver::Known { permits },
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
                value: encode(&left)?,
                lease: None,
            }],
        };
        (self.instance.store.txn)(txn).await?;
        tracing::info!(shard = %claim.shard, "claim left to the next owner");
        Ok(())
    }

    /// Leaves this run's claims to the next owners and its lease, at a planned
    /// stop. What it runs is named in the claims.
    pub(super) async fn release_claims(&mut self) -> Result<(), StoreError> {
        let instance = Arc::clone(&self.instance);
        let tables = &instance.tables;
        let directory = tables.directory();
        let me = tables.member.run();
        let mine = directory.claims.values();
        for claim in mine.filter(|claim| claim.run() == me && !claim.released) {
            self.release(&directory, claim).await?;
        }
        tables.lease().stop();
        if let Some(lease) = self.lease.take() {
            (self.instance.store.revoke)(lease).await?;
        }
        Ok(())
    }
}

/// What a taker must expect of the former owner's permits.
fn left_over(former: &Claim) -> LeftOver {
    if former.released {
        former.left_over.clone()
    } else {
        LeftOver::Unknown
    }
}

fn left_permits(owned: &OwnedShard, now: Time) -> Vec<LeftPermits> {
    let mut by_target: IndexMap<TargetId, LeftPermits> = IndexMap::new();
    owned.with(|shard| {
        for permit in shard.outstanding().values() {
            let left = permit.deadline.since(now).as_millis();
            let left_ms = u64::try_from(left).unwrap_or(u64::MAX);
            let entry = by_target
                .entry(permit.target.clone())
                .or_insert(LeftPermits {
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

/// Longest time for which a permit of a former owner may still be in use.
pub(super) fn longest_permit(deadline: Duration) -> Duration {
    let longest = LEND_TIME + deadline;
    longest + longest / 10 + Duration::from_millis(200)
}
