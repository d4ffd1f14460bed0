//! Probes the targets that this instance is the home of.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use indexmap::{IndexMap, IndexSet};

use super::message::{Finding, Health};
use super::shared::Shared;
use crate::http1::client::{Conn, OutgoingRequest, Response};
use crate::names::TargetId;
use crate::platform::prepared::wire;
use crate::units::Time;

/// Largest body of a health check's answer, in bytes.
const MAX_ANSWER: usize = 64 << 10;

/// The probes of one instance.
#[derive(Debug)]
pub(crate) struct Probes {
    shared: Arc<Shared>,
    open: Arc<Open>,
    limit: Duration,
    least: Duration,
    last: Option<Time>,
}

/// Connections for probes, one a target, and the probes that run.
#[derive(Debug, Default)]
struct Open {
    conns: Mutex<IndexMap<TargetId, Conn>>,
    running: Mutex<IndexSet<TargetId>>,
}

impl Probes {
    pub(crate) fn new(shared: &Arc<Shared>) -> Self {
        let state = shared.state();
        // Half the bound: while views of the members differ, a target may have two homes.
        let least = Duration::from_secs_f64(2.0 / state.settings.max_probe_rate.max(1.0));
        let limit = state.tuning.probe_timeout;
        drop(state);
        Self {
            shared: shared.clone(),
            open: Arc::default(),
            limit,
            least,
            last: None,
        }
    }

    /// Begins to probe every own target that is not being probed already.
    pub(crate) fn start_round(&mut self) {
        let now = self.shared.now();
        if self.last.is_some_and(|last| now.since(last) < self.least) {
            return;
        }
        self.last = Some(now);
        let targets = self.shared.state().own_targets(now);
        self.open.forget_others(&targets);
        for (id, address, path) in targets {
            if self.open.begin(&id) {
                let (shared, open, limit) = (self.shared.clone(), self.open.clone(), self.limit);
                tokio::spawn(async move {
                    probe(&shared, &open, &id, address, &path, limit).await;
                    open.end(&id);
                });
            }
        }
    }
}

async fn probe(
    shared: &Shared,
    open: &Open,
    id: &TargetId,
    address: SocketAddr,
    path: &str,
    limit: Duration,
) {
    let Some(key) = shared.state().fleet.get(id).map(|view| view.key) else {
        return;
    };
    shared.metrics.probes.inc();
    let conn = open.take(id);
    let asked = tokio::time::timeout(limit, ask(conn, address, path, limit)).await;
    let (answer, conn) = match asked {
        Ok(Ok((answer, conn))) => (Some(answer), Some(conn)),
        Ok(Err(_)) | Err(_) => (None, None),
    };
    let finding = finding(key, id, answer.as_ref());
    let now = shared.now();
    let mut state = shared.state();
    let before = state.fleet.get(id).map(|view| view.health);
    state.note_probe(now, finding);
    drop(state);
    if before != Some(finding.health) {
        tracing::info!(target_id = %id, %address, health = ?finding.health, "health changed");
    }
    if let Some(conn) = conn.filter(Conn::is_reusable) {
        open.put(id.clone(), conn);
    }
}

async fn ask(
    conn: Option<Conn>,
    address: SocketAddr,
    path: &str,
    limit: Duration,
) -> Result<(Response, Conn), crate::http1::client::ExchangeError> {
    let mut conn = match conn {
        Some(conn) => conn,
        None => Conn::connect(address, limit).await?,
    };
    let req = format!("GET {path} HTTP/1.1\r\nhost: {address}\r\n\r\n");
    let out = OutgoingRequest {
        bytes: req.as_bytes(),
        is_head: false,
        max_response_bytes: MAX_ANSWER,
    };
    let answer = conn.exchange(&out, |_| true).await?;
    Ok((answer, conn))
}

fn finding(key: u64, id: &TargetId, answer: Option<&Response>) -> Finding {
    let mut finding = Finding {
        target: key,
        load: None,
        cold_ms: 0,
        health: Health::Unreachable,
        age_ms: 0,
    };
    let Some(answer) = answer else {
        return finding;
    };
    let meta = wire::response_meta(answer.status, &answer.headers);
    // The address belongs to another target by now.
    if meta.target.is_some_and(|target| target != id.as_str()) {
        return finding;
    }
    finding.load = meta.load;
    finding.cold_ms = meta
        .cold_for
        .and_then(|left| u32::try_from(left.as_millis()).ok())
        .unwrap_or(0);
    finding.health = if answer.status == 200 {
        Health::Good
    } else {
        Health::Bad
    };
    finding
}

impl Open {
    fn begin(&self, id: &TargetId) -> bool {
        let mut running = self.running.lock().unwrap_or_else(PoisonError::into_inner);
        running.insert(id.clone())
    }

    fn end(&self, id: &TargetId) {
        let mut running = self.running.lock().unwrap_or_else(PoisonError::into_inner);
        running.swap_remove(id);
    }

    fn take(&self, id: &TargetId) -> Option<Conn> {
        let mut conns = self.conns.lock().unwrap_or_else(PoisonError::into_inner);
        conns.swap_remove(id).filter(Conn::is_reusable)
    }

    fn put(&self, id: TargetId, conn: Conn) {
        let mut conns = self.conns.lock().unwrap_or_else(PoisonError::into_inner);
        conns.insert(id, conn);
    }

    /// Closes the connections to targets that another instance probes now.
    fn forget_others(&self, own: &[(TargetId, SocketAddr, Arc<str>)]) {
        let mut conns = self.conns.lock().unwrap_or_else(PoisonError::into_inner);
        conns.retain(|id, _| own.iter().any(|(known, _, _)| known == id));
    }
}
