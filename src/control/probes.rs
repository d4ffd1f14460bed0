//! Looks at the owned targets of which calls tell nothing.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::Method;
use serde::de::DeserializeOwned;

use super::Control;
use crate::admission::limit::{Health, Load};
use crate::admission::probe::REQUESTS_PER_PROBE;
use crate::instance::Instance;
use crate::names::{ShardId, TargetId};
use crate::platform::http::{HttpClient, send};
use crate::tables::OwnedShard;

/// Longest wait for a target's answer.
const PROBE_TIMEOUT: Duration = Duration::from_millis(500);

/// One target to look at.
struct Look {
    owned: Arc<OwnedShard>,
    target: TargetId,
    address: SocketAddr,
}

impl Control {
    /// Looks at targets of owned shards as far as the budgets allow.
    pub(super) fn probe_targets(&mut self) {
        let tables = &self.instance.tables;
        let now = tables.clock.now();
        if !tables.may_grant(now) {
            return;
        }
        let shards = tables.owned_shards();
        let list = &self.list;
        self.probes.retain(|target| list.contains(target));
        for (id, owned) in shards {
            for look in self.due_looks(&id, &owned) {
                let shared = Arc::clone(&self.instance);
                let http = self.http.clone();
                self.instance
                    .metrics
                    .probes
                    .inc_by(u64::from(REQUESTS_PER_PROBE));
                self.instance.rt.spawn(run(shared, http, look));
            }
        }
        self.instance.metrics.probe_budget.set(self.probes.left());
    }

    fn due_looks(&mut self, id: &ShardId, owned: &Arc<OwnedShard>) -> Vec<Look> {
        let tables = &self.instance.tables;
        if !tables.config().zone_in_service(&id.zone) {
            return Vec::new();
        }
        let now = tables.clock.now();
        let budget = &mut self.probes;
        owned.with(|shard| {
            let staying = shard.targets().iter().filter(|(_, target)| !target.leaving);
            let due = staying
                .filter(|(id, target)| budget.take(now, id, target.limit.last_evidence_at()))
                .map(|(id, target)| Look {
                    owned: Arc::clone(owned),
                    target: id.clone(),
                    address: target.address,
                });
            due.collect()
        })
    }
}

async fn run(instance: Arc<Instance>, http: HttpClient, look: Look) {
    let health: Option<Health> = ask(&http, look.address, "/platform/health").await;
    let load: Option<Load> = ask(&http, look.address, "/platform/load").await;
    let now = instance.tables.clock.now();
    look.owned.with(|shard| {
        if let Some(health) = &health {
            shard.apply_health(now, &look.target, health);
        }
        if let Some(load) = load {
            shard.apply_load(now, &look.target, load);
        }
    });
}

async fn ask<T: DeserializeOwned>(http: &HttpClient, address: SocketAddr, path: &str) -> Option<T> {
    let asked = send(
        http,
        Method::GET,
        address,
        path,
        Bytes::new(),
        PROBE_TIMEOUT,
    )
    .await;
    match asked {
        Ok(answer) => serde_json::from_slice(&answer.body).ok(),
        Err(err) => {
            tracing::debug!(%address, %err, "target not looked at");
            None
        }
    }
}
