//! Updates the owned shards after changes of the claims, the configuration and the instance list.

use std::sync::Arc;
use std::time::Duration;

use indexmap::IndexMap;

use super::Control;
use super::claims::max_permit_lifetime;
use crate::admission::connections;
use crate::admission::shard::ShardSettings;
use crate::instance::Instance;
use crate::membership::{Claim, InheritedPermits};
use crate::tables::OwnedShard;
use crate::units::Time;

/// Interval between two checks for calls that have waited too long and permits that have ended.
const ADVANCE_PERIOD: Duration = Duration::from_millis(10);

/// Times out queued calls and frees the slots of ended permits at regular intervals, also
/// while no call arrives or ends.
pub(crate) async fn advance_periodically(instance: Arc<Instance>) {
    let mut ticks = tokio::time::interval(ADVANCE_PERIOD);
    ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        for (_, owned) in instance.tables.owned_shards() {
            owned.advance(&instance.tables);
        }
    }
}

impl Control {
    /// Applies the claims, the configuration and the instance list to the owned shards.
    pub(super) fn update_shards(&self) {
        if self.releasing_all {
            return;
        }
        let tables = &self.instance.tables;
        let directory = tables.directory();
        let config = tables.config();
        let is_own = |claim: &Claim| claim.start == tables.member.start && !claim.released;
        for claim in directory.claims.values().filter(|claim| is_own(claim)) {
            let predates_lease = directory.revisions.get(&claim.shard) < Some(&self.lease_revision);
            if predates_lease || self.releasing.contains_key(&claim.shard) {
                continue;
            }
            if let Some(service) = config.service(&claim.shard.service) {
                let settings = ShardSettings::from(&service.spec);
                let newly_owned = tables.add_owned_shard(claim.shard.clone(), settings);
                if let Some(owned) = newly_owned {
                    withhold_slots(&owned, claim, tables.clock.now(), service.spec.deadline);
                }
            }
        }
        for (id, owned) in tables.owned_shards() {
            if !directory.claims.get(&id).is_some_and(is_own) {
                tables.remove_owned_shard(&id);
                continue;
            }
            let Some(service) = config.service(&id.service) else {
                continue;
            };
            let in_service = config.zone_in_service(&id.zone);
            let now = tables.clock.now();
            owned.with(|shard| {
                shard.configure(now, ShardSettings::from(&service.spec), in_service);
                let listed = self.list.targets(&id);
                shard.set_targets(
                    now,
                    listed.map(|target| (target.id.clone(), target.address, target.leaving)),
                );
            });
            owned.advance(tables);
        }
        self.update_connections();
    }

    /// Sets this instance's share of the connections that each listed target accepts.
    fn update_connections(&self) {
        let tables = &self.instance.tables;
        let config = tables.config();
        let members = tables.directory().members.len();
        let members = u32::try_from(members).unwrap_or(u32::MAX);
        let mut shares = IndexMap::new();
        for target in self.list.all() {
            if let Some(service) = config.service(&target.service) {
                let owner = tables.owned_shard(&target.shard()).is_some();
                let declared = service.spec.target.connections;
                let share = connections::share(declared, members, owner);
                shares.insert(target.address, share);
            }
        }
        tables.set_connection_limits(shares);
    }
}

/// Withholds the slots that permits of previous owners may still use.
fn withhold_slots(owned: &OwnedShard, claim: &Claim, now: Time, deadline: Duration) {
    owned.with(|shard| match &claim.inherited {
        InheritedPermits::Nothing => (),
        InheritedPermits::Known { permits } => {
            for entry in permits {
                let until = now.after(Duration::from_millis(entry.left_ms));
                shard.withhold_slots(entry.target.clone(), entry.count, until);
            }
        }
        InheritedPermits::Unknown => {
            shard.withhold_all_slots(now.after(max_permit_lifetime(deadline)));
        }
    });
}
