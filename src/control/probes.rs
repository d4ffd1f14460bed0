//! Probes the targets of owned shards for which no call has reported health and load lately.

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

/// Timeout of one request to a target.
const PROBE_TIMEOUT: Duration = Duration::from_millis(500);

/// A target that is due for a probe.
struct Probe {
    owned: Arc<OwnedShard>,
    target: TargetId,
    address: SocketAddr,
}

impl Control {
    /// Probes the targets of owned shards that are due, within the probe budgets.
    pub(super) fn probe_targets(&mut self) {
        let tables = &self.instance.tables;
        let now = tables.clock.now();
        if !tables.may_grant(now) {
            return;
        }
        let shards = tables.owned_shards();
        let list = &self.list;
        self.probe_budget.retain(|target| list.contains(target));
        for (id, owned) in shards {
            for probe in self.due_probes(&id, &owned) {
                let shared = Arc::clone(&self.instance);
                let http = self.http.clone();
                self.instance
                    .metrics
                    .probes
                    .inc_by(u64::from(REQUESTS_PER_PROBE));
                self.instance.rt.spawn(run_probe(shared, http, probe));
            }
        }
        self.instance
            .metrics
            .probe_budget
            .set(self.probe_budget.left());
    }

    fn due_probes(&mut self, id: &ShardId, owned: &Arc<OwnedShard>) -> Vec<Probe> {
        let tables = &self.instance.tables;
        if !tables.config().zone_in_service(&id.zone) {
            return Vec::new();
        }
        let now = tables.clock.now();
        let budget = &mut self.probe_budget;
        owned.with(|shard| {
            let not_leaving = shard.targets().iter().filter(|(_, target)| !target.leaving);
            let due = not_leaving
                .filter(|(id, target)| budget.take(now, id, target.limit.last_evidence_at()))
                .map(|(id, target)| Probe {
                    owned: Arc::clone(owned),
                    target: id.clone(),
                    address: target.address,
                });
            due.collect()
        })
    }
}

async fn run_probe(instance: Arc<Instance>, http: HttpClient, probe: Probe) {
    let health: Option<Health> = get(&http, probe.address, "/platform/health").await;
    let load: Option<Load> = get(&http, probe.address, "/platform/load").await;
    let now = instance.tables.clock.now();
    probe.owned.with(|shard| {
        if let Some(health) = &health {
            shard.apply_health(now, &probe.target, health);
        }
        if let Some(load) = load {
            shard.apply_load(now, &probe.target, load);
        }
    });
}

/// Requests `path` from a target and decodes the JSON response; `None` on any failure.
async fn get<T: DeserializeOwned>(http: &HttpClient, address: SocketAddr, path: &str) -> Option<T> {
    let resp = send(
        http,
        Method::GET,
        address,
        path,
        Bytes::new(),
        PROBE_TIMEOUT,
    )
    .await;
    match resp {
        Ok(resp) => serde_json::from_slice(&resp.body).ok(),
        Err(err) => {
            tracing::debug!(%address, %err, "target probe failed");
            None
        }
    }
}
