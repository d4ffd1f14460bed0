//! The address lookup, which directs callers to the owners of a service's shards.

use std::net::SocketAddr;
use std::sync::atomic::Ordering;
use std::time::Duration;

use indexmap::IndexMap;

use crate::macros::data;
use crate::membership::Member;
use crate::names::{InstanceId, ServiceName, ShardId, ZoneName};
use crate::tables::Tables;

/// Time for which a caller may cache a response.
const CACHE_TTL: Duration = Duration::from_secs(5);

data! {
    /// The addresses that a caller may use for a service.
    pub struct AddressesResponse {
        /// The requested service.
        pub service: ServiceName,
        /// The addresses, most preferred first.
        pub addresses: Vec<Address>,
        /// Whether the responding instance is shutting down.
        pub stopping: bool,
        /// Time for which the response may be cached, in milliseconds.
        pub keep_ms: u64,
    }

    /// One address of an [`AddressesResponse`].
    pub struct Address {
        /// Address of the instance's callers' interface.
        pub callers: SocketAddr,
        /// The instance that listens on the address.
        pub instance: InstanceId,
        /// Availability zone of the instance.
        pub zone: ZoneName,
        /// Whether the instance owns a shard of the service.
        pub owner: bool,
        /// Relative share of calls to send there: the free slots of the instance's
        /// own shards, or zero if it owns none.
        pub weight: u32,
    }
}

/// Builds the response for a caller of `service` in `zone`: owners come before other
/// instances, and instances in `zone` before those in other zones.
pub(crate) fn build(tables: &Tables, service: &ServiceName, zone: &ZoneName) -> AddressesResponse {
    let config = tables.config();
    let directory = tables.directory();
    let mut owners = IndexMap::<&InstanceId, u32>::new();
    for declared in config.zones().filter(|declared| declared.spec.in_service) {
        let shard = ShardId::from((service, &declared.name));
        if let Some(owner) = directory.owner(&shard) {
            *owners.entry(&owner.instance).or_default() += weight(tables, &shard);
        }
    }
    let stopping = tables.stopping.load(Ordering::Relaxed);
    let mut members: Vec<&Member> = directory
        .members
        .values()
        .filter(|member| !stopping || member.start != tables.member.start)
        .collect();
    members.sort_by_cached_key(|member| {
        let owner = owners.contains_key(&member.instance);
        (!owner, &member.zone != zone, member.instance.clone())
    });
    AddressesResponse {
        service: service.clone(),
        stopping,
        addresses: members
            .into_iter()
            .map(|member| Address {
                callers: member.callers,
                instance: member.instance.clone(),
                zone: member.zone.clone(),
                owner: owners.contains_key(&member.instance),
                weight: owners.get(&member.instance).copied().unwrap_or_default(),
            })
            .collect(),
        keep_ms: u64::try_from(CACHE_TTL.as_millis()).unwrap_or(u64::MAX),
    }
}

/// Returns the known free slots of a shard, at least one so that every owner gets
/// some calls.
fn weight(tables: &Tables, shard: &ShardId) -> u32 {
    let now = tables.clock.now();
    let own = tables
        .owned_shard(shard)
        .map(|owned| owned.with(|state| state.capacity(now, shard).free));
    own.or_else(|| tables.capacities().free(now, shard))
        .unwrap_or_default()
        .max(1)
}
