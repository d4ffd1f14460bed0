//! Applies a new configuration to the owned shards and the borrowed permits immediately, without
//! waiting for the control loop.

use std::sync::Arc;

use crate::admission::shard::ShardSettings;
use crate::instance::Instance;

/// Applies the configuration in force to the owned shards and the borrowed permits.
pub(super) fn apply(instance: &Arc<Instance>) {
    let tables = &instance.tables;
    let config = tables.config();
    for (id, owned) in tables.owned_shards() {
        let Some(service) = config.service(&id.service) else {
            continue;
        };
        let in_service = config.zone_in_service(&id.zone);
        let settings = ShardSettings::from(&service.spec);
        let now = tables.clock.now();
        owned.with(|shard| shard.configure(now, settings, in_service));
        owned.advance(tables);
    }
    instance.remote_permits.sweep(instance);
}
