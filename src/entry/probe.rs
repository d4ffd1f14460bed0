//! Probes the targets that this instance is the home of.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use indexmap::{IndexMap, IndexSet};

use super::message::{Finding, Health};
use super::shared::Shared;
use crate::http1::client::{Answer, Conn, Outgoing};
use crate::names::TargetId;
use crate::platform::prepared::wire;

/// Largest body of a health check's answer, in bytes.
const MAX_ANSWER: usize = 64 << 10;

/// Connections for probes, one a target, and the probes that run.
#[derive(Debug, Default)]
struct Probes {
    conns: Mutex<IndexMap<TargetId, Conn>>,
    running: Mutex<IndexSet<TargetId>>,
}

/// Probes every own target once a beat, until the process ends.
pub(crate) async fn run(shared: Arc<Shared>) {
    let (beat, limit, max_rate) = {
        let state = shared.state();
        let tuning = &state.tuning;
        (
            tuning.beat,
            tuning.probe_timeout,
            state.settings.max_probe_rate,
        )
    };
    // Half the bound: while views of the members differ, a target may have two homes.
    let least = Duration::from_secs_f64(2.0 / max_rate.max(1.0));
    let probes = Arc::new(Probes::default());
    let mut tick = tokio::time::interval(beat.max(least));
    tick.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        tick.tick().await;
        let now = shared.now();
        let targets = shared.state().own_targets(now);
        probes.forget_others(&targets);
        for (id, address, path) in targets {
            if probes.begin(&id) {
                let (shared, probes) = (shared.clone(), probes.clone());
                tokio::spawn(async move {
                    probe(&shared, &probes, &id, address, &path, limit).await;
                    probes.end(&id);
                });
            }
        }
    }
}

async fn probe(
    shared: &Shared,
    probes: &Probes,
    id: &TargetId,
    address: SocketAddr,
    path: &str,
    limit: Duration,
) {
    let Some(key) = shared.state().fleet.get(id).map(|view| view.key) else {
        return;
    };
    shared.metrics.probes.inc();
    let conn = probes.take(id);
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
        probes.put(id.clone(), conn);
    }
}

async fn ask(
    conn: Option<Conn>,
    address: SocketAddr,
    path: &str,
    limit: Duration,
) -> Result<(Answer, Conn), crate::http1::client::ExchangeError> {
    let mut conn = match conn {
        Some(conn) => conn,
        None => Conn::open(address, limit).await?,
    };
    let req = format!("GET {path} HTTP/1.1\r\nhost: {address}\r\n\r\n");
    let out = Outgoing {
        bytes: req.as_bytes(),
        is_head: false,
        max_answer: MAX_ANSWER,
    };
    let answer = conn.exchange(&out, |_| true).await?;
    Ok((answer, conn))
}

fn finding(key: u64, id: &TargetId, answer: Option<&Answer>) -> Finding {
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
    let meta = wire::answer_meta(answer.status, &answer.headers);
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

impl Probes {
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
