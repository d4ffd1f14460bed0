//! The answer to "which address to use", which steers callers to owners.

use std::net::SocketAddr;
use std::sync::atomic::Ordering;
use std::time::Duration;

use indexmap::IndexMap;

use crate::macros::data;
use crate::membership::Member;
use crate::names::{InstanceId, ServiceName, ShardId, ZoneName};
use crate::tables::Tables;

/// How long a caller may keep an answer.
const KEEP: Duration = Duration::from_secs(5);

data! {
    /// Which addresses a caller may use for a service.
    pub struct AddressesResponse {
        /// The service that was asked for.
        pub service: ServiceName,
        /// The addresses, most preferred first.
        pub addresses: Vec<Address>,
        /// Whether the instance that answers is stopping.
        pub stopping: bool,
        /// How long the answer may be kept, in milliseconds.
        pub keep_ms: u64,
    }

    /// One address of an [`AddressesResponse`].
    pub struct Address {
        /// Where to connect.
        pub callers: SocketAddr,
        /// The instance that listens there.
        pub instance: InstanceId,
        /// Its availability zone.
        pub zone: ZoneName,
        /// Whether it owns targets of the service.
        pub owner: bool,
        /// Share of calls to send there, by the slots free at its own targets;
        /// zero for an instance that owns none.
        pub weight: u32,
    }
}

/// The addresses for `service`, for a caller in `zone`.
pub(crate) fn answer(tables: &Tables, service: &ServiceName, zone: &ZoneName) -> AddressesResponse {
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
        keep_ms: u64::try_from(KEEP.as_millis()).unwrap_or(u64::MAX),
    }
}

/// Slots free in a shard as far as this instance knows, one at least.
fn weight(tables: &Tables, shard: &ShardId) -> u32 {
    let now = tables.clock.now();
    let own = tables
        .owned_shard(shard)
        .map(|owned| owned.with(|state| state.capacity(now, shard).free));
    own.or_else(|| tables.capacities().free(now, shard))
        .unwrap_or_default()
        .max(1)
}
