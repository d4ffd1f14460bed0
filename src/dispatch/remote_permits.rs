//! Permits from other instances: the clients of their owners, and the permits lent in advance.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use indexmap::IndexMap;

use super::owner_client::OwnerClient;
use crate::admission::permit::{CallReport, GrantedPermit, LentPermit};
use crate::instance::Instance;
use crate::membership::Member;
use crate::names::{ShardId, StartId, TargetId};
use crate::units::Time;

/// Clients of shard owners, by run of the owner, and unused lent permits, by shard.
#[derive(Debug, Default)]
pub(crate) struct RemotePermits {
    clients: Mutex<IndexMap<StartId, Arc<OwnerClient>>>,
    lent: Mutex<IndexMap<ShardId, Vec<UnusedPermit>>>,
}

/// A permit that its owner lent in advance and that no call uses yet.
#[derive(Debug)]
struct UnusedPermit {
    granted: GrantedPermit,
    client: Arc<OwnerClient>,
    use_before: Time,
    end_before: Time,
}

impl RemotePermits {
    /// Returns the client for an owner's current run; drops those for runs that have ended.
    pub(crate) fn client(&self, instance: &Instance, owner: &Member) -> Arc<OwnerClient> {
        let mut clients = self.clients.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(client) = clients.get(&owner.start) {
            return Arc::clone(client);
        }
        let directory = instance.tables.directory();
        clients.retain(|start, _| directory.members.values().any(|m| m.start == *start));
        let client = Arc::new(OwnerClient::new(owner.clone()));
        clients.insert(owner.start.clone(), Arc::clone(&client));
        client
    }

    /// Whether an unused lent permit for the shard is available.
    pub(crate) fn has_lent_permit(&self, shard: &ShardId) -> bool {
        self.lent().get(shard).is_some_and(|lent| !lent.is_empty())
    }

    /// Takes a lent permit that a call with this deadline may use, on a target not in `excluded`.
    pub(crate) fn take_lent_permit(
        &self,
        now: Time,
        shard: &ShardId,
        deadline: Time,
        excluded: &[TargetId],
    ) -> Option<(GrantedPermit, Arc<OwnerClient>)> {
        let mut lent = self.lent();
        let permits = lent.get_mut(shard)?;
        let is_usable = |lent: &UnusedPermit| {
            now < lent.use_before
                && deadline <= lent.end_before
                && !excluded.contains(&lent.granted.target)
        };
        let index = permits.iter().rposition(is_usable)?;
        let taken = permits.swap_remove(index);
        Some((taken.granted, taken.client))
    }

    /// Stores a permit that was lent in the response to a batch sent at `sent`.
    ///
    /// Its lifetime counts from `sent`, so that it never outlasts the owner's count.
    pub(super) fn add(&self, sent: Time, client: &Arc<OwnerClient>, lent: LentPermit) {
        let permit = UnusedPermit {
            granted: lent.granted,
            client: Arc::clone(client),
            use_before: sent.after(Duration::from_micros(lent.use_within_us)),
            end_before: sent.after(Duration::from_micros(lent.end_within_us)),
        };
        let shard = permit.granted.shard.clone();
        self.lent().entry(shard).or_default().push(permit);
    }

    /// Returns the lent permits that have expired or whose zone is out of service.
    pub(crate) fn sweep(&self, instance: &Arc<Instance>) {
        let now = instance.tables.clock.now();
        let config = instance.tables.config();
        let mut unusable = Vec::new();
        for (shard, permits) in self.lent().iter_mut() {
            let out_of_service = !config.zone_in_service(&shard.zone);
            let removed = permits.extract_if(.., |lent| out_of_service || now >= lent.use_before);
            unusable.extend(removed.map(|lent| (shard.clone(), lent)));
        }
        for (shard, lent) in unusable {
            let report = CallReport::unsent();
            lent.client
                .return_permit(instance, shard, lent.granted.permit, report);
        }
    }

    fn lent(&self) -> MutexGuard<'_, IndexMap<ShardId, Vec<UnusedPermit>>> {
        self.lent.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
