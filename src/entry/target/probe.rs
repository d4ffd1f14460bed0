//! Probes the targets for which this instance is the prober.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use indexmap::{IndexMap, IndexSet};

use crate::entry::fleet::message::{Health, TargetReport};
use crate::entry::fleet::reach::ReachChange;
use crate::entry::request::pool::TargetConn;
use crate::entry::shared::Shared;
use crate::entry::state::{PathCheck, State};
use crate::entry::target::targets::TargetState;
use crate::http1::client::{Conn, ExchangeError, OutgoingRequest, Response};
use crate::names::TargetId;
use crate::platform::prepared::wire;
use crate::units::Time;

/// Maximum body of a health check's response, in bytes.
const MAX_RESPONSE_BYTES: usize = 64 << 10;

/// Failed paths that are checked at a time.
const MAX_PATH_CHECKS: usize = 8;
/// Delay of a check after a call broke off.
const BROKEN_CALL_CHECK_DELAY: Duration = Duration::from_millis(10);

/// Starts the probes of one instance.
#[derive(Debug)]
pub(crate) struct Prober {
    shared: Arc<Shared>,
    connections: Arc<ProbeConnections>,
    timeout: Duration,
    min_interval: Duration,
    last_round: Option<Time>,
}

/// Probe connections, one for each target, and the targets that are being probed.
#[derive(Debug, Default)]
struct ProbeConnections {
    conns: Mutex<IndexMap<TargetId, Conn>>,
    running: Mutex<IndexSet<TargetId>>,
}

impl Prober {
    pub(crate) fn new(shared: &Arc<Shared>) -> Self {
        let state = shared.state();
        // At half the permitted rate: while views of the members differ, a target may
        // have two probers.
        let min_interval = Duration::from_secs_f64(2.0 / state.settings.max_probe_rate.max(1.0));
        let timeout = state.tuning.probe_timeout;
        drop(state);
        Self {
            shared: shared.clone(),
            connections: Arc::default(),
            timeout,
            min_interval,
            last_round: None,
        }
    }

    /// Starts a probe of every own target that is not being probed already.
    pub(crate) fn start_round(&mut self) {
        let now = self.shared.now();
        if self
            .last_round
            .is_some_and(|last_round| now.since(last_round) < self.min_interval)
        {
            return;
        }
        self.last_round = Some(now);
        let targets = {
            let mut state = self.shared.state();
            let targets = state.targets_to_probe(now);
            let probed = targets.iter().map(|(id, ..)| id.clone()).collect();
            state.targets.set_probed(now, &probed);
            targets
        };
        self.connections.retain_own(&targets);
        for (id, address, path) in targets {
            if self.connections.try_start(&id) {
                let (shared, connections, timeout) =
                    (self.shared.clone(), self.connections.clone(), self.timeout);
                tokio::spawn(async move {
                    probe(&shared, &connections, &id, address, &path, timeout).await;
                    connections.finish(&id);
                });
            }
        }
    }
}

async fn probe(
    shared: &Shared,
    connections: &ProbeConnections,
    id: &TargetId,
    address: SocketAddr,
    path: &str,
    timeout: Duration,
) {
    let key = {
        let mut state = shared.state();
        let Some(key) = state.targets.get(id).map(|view| view.key) else {
            return;
        };
        if !state.try_check(shared.now(), key) {
            return;
        }
        key
    };
    shared.metrics.probes.inc();
    let conn = connections.take(id);
    let (is_new, started) = (conn.is_none(), shared.now());
    let result =
        tokio::time::timeout(timeout, check_or_connect(conn, address, path, timeout)).await;
    // A kept connection may have been closed by the target.
    let has_failed = result.is_err() || is_new && !matches!(result, Ok(Ok(_)));
    let (response, conn) = match result {
        Ok(Ok((response, conn))) => (Some(response), Some(conn)),
        Ok(Err(_)) | Err(_) => (None, None),
    };
    let report = target_report(key, id, response.as_ref());
    let now = shared.now();
    let mut state = shared.state();
    let is_turned_away = record_answer_meta(&mut state, now, &report, response.as_ref());
    if has_failed {
        state.record_path_failure(now, key);
    } else if response.is_some() {
        let opened = if is_new { started } else { Time::ZERO };
        state.record_open_path(now, key, opened);
    }
    let before = state.targets.get(id).map(|view| view.health);
    if !is_turned_away {
        state.record_probe(now, report, started);
    }
    drop(state);
    if !is_turned_away && before != Some(report.health) {
        tracing::info!(target_id = %id, %address, health = ?report.health, "health changed");
    }
    if let Some(conn) = conn.filter(Conn::is_reusable) {
        connections.put(id.clone(), conn);
    }
}

/// Checks the targets that this instance could not connect to and that are due, a few at a
/// time.
pub(crate) fn check_failed_paths(shared: &Arc<Shared>) {
    let now = shared.now();
    let due = shared.state().failed_paths_to_check(now, MAX_PATH_CHECKS);
    for target in due {
        let shared = shared.clone();
        tokio::spawn(async move {
            check_path(&shared, &target).await;
        });
    }
}

/// Checks whether any of these targets, which peers reach, responds to this instance;
/// returns how that changes what the peers must know.
pub(crate) async fn check_reach(shared: &Shared, targets: &[PathCheck]) -> Option<ReachChange> {
    let checks = targets.iter().map(|target| check_path(shared, target));
    let results = futures_util::future::join_all(checks).await;
    let count = |kind| results.iter().filter(|result| **result == kind).count();
    let responded = count(PathState::Open);
    let now = shared.now();
    let change = shared
        .state()
        .finish_reach_check(now, responded, results.len() - responded);
    if change == Some(ReachChange::Lost) && count(PathState::Silent) > 0 {
        // Open connections hang too.
        shared.pool.clear();
    }
    shared.capacity_freed.notify_waiters();
    change
}

/// Result of a check of the path to a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum PathState {
    /// The target responded.
    Open,
    /// The connection was refused or broke off.
    Refused,
    /// There was no response in time.
    Silent,
}

/// Checks a target over a new connection, which is kept for requests.
async fn check_path(shared: &Shared, target: &PathCheck) -> PathState {
    shared.metrics.probes.inc();
    let opened = shared.now();
    let checking = check_or_connect(None, target.address, &target.path, target.timeout);
    let checked = tokio::time::timeout(target.timeout, checking).await;
    let now = shared.now();
    let mut state = shared.state();
    let (response, conn) = match checked {
        Ok(Ok(checked)) => checked,
        Ok(Err(err)) => {
            state.record_path_failure(now, target.run);
            let is_timeout =
                matches!(err, ExchangeError::NotSent(_)) && now.since(opened) >= target.timeout;
            return if is_timeout {
                PathState::Silent
            } else {
                PathState::Refused
            };
        }
        Err(_) => {
            state.record_path_failure(now, target.run);
            return PathState::Silent;
        }
    };
    state.record_open_path(now, target.run, opened);
    let report = target_report(target.run, &target.id, Some(&response));
    if !record_answer_meta(&mut state, now, &report, Some(&response)) {
        state.targets.apply_report(now, &report);
    }
    drop(state);
    let conn = TargetConn {
        conn,
        opened,
        is_checked: true,
        _token: target.token.clone(),
    };
    let meta = wire::response_meta(response.status, &response.headers);
    if response.status == 200 {
        shared.pool.put(now, &target.id, conn, meta.idle_for);
    }
    shared.capacity_freed.notify_waiters();
    PathState::Open
}

/// Checks a target on which a call of this instance broke off, so that a crash is found
/// without a report of the target's prober.
pub(crate) async fn check_after_broken_call(shared: Arc<Shared>, id: TargetId) {
    let target = {
        let state = shared.state();
        let timeout = state.tuning.probe_timeout;
        let path = |view: &TargetState| state.health_path(&view.target.service);
        let view = state.targets.get(&id);
        view.and_then(|view| Some((view.key, view.target.address, path(view)?, timeout)))
    };
    let Some((key, address, path, timeout)) = target else {
        return;
    };
    // Other calls on a crashed target break off too.
    tokio::time::sleep(BROKEN_CALL_CHECK_DELAY).await;
    if !shared.state().try_check(shared.now(), key) {
        return;
    }
    shared.metrics.probes.inc();
    let started = shared.now();
    let checking = check_or_connect(None, address, &path, timeout);
    let response = match tokio::time::timeout(timeout, checking).await {
        Ok(Ok((response, _))) => Some(response),
        Ok(Err(_)) | Err(_) => None,
    };
    let report = target_report(key, &id, response.as_ref());
    let now = shared.now();
    let mut state = shared.state();
    let is_turned_away = record_answer_meta(&mut state, now, &report, response.as_ref());
    if response.is_some() {
        state.record_open_path(now, key, started);
    } else {
        state.record_path_failure(now, key);
    }
    if !is_turned_away {
        state.record_probe(now, report, started);
    }
}

async fn check_or_connect(
    conn: Option<Conn>,
    address: SocketAddr,
    path: &str,
    timeout: Duration,
) -> Result<(Response, Conn), ExchangeError> {
    let mut conn = match conn {
        Some(conn) => conn,
        None => Conn::connect(address, timeout).await?,
    };
    let response = check(&mut conn, address, path).await?;
    Ok((response, conn))
}

/// Sends a health check over a connection.
///
/// # Errors
/// No response arrived; the connection must then be dropped.
pub(crate) async fn check(
    conn: &mut Conn,
    address: SocketAddr,
    path: &str,
) -> Result<Response, ExchangeError> {
    let req = format!("GET {path} HTTP/1.1\r\nhost: {address}\r\n\r\n");
    let outgoing = OutgoingRequest {
        bytes: req.as_bytes(),
        body: None,
        is_head: false,
        max_response_bytes: MAX_RESPONSE_BYTES,
        memory: None,
    };
    // A response with an id is a late copy of one to a request.
    let matches_check = |response: &Response| {
        wire::response_meta(response.status, &response.headers)
            .id
            .is_none()
    };
    conn.exchange(&outgoing, matches_check).await
}

/// Records what a target says of itself in the response to a health check; returns whether
/// it turned the check away, which says nothing of its health.
fn record_answer_meta(
    state: &mut State,
    now: Time,
    report: &TargetReport,
    response: Option<&Response>,
) -> bool {
    let Some(response) = response.filter(|_| report.health != Health::Unreachable) else {
        return false;
    };
    let meta = wire::response_meta(response.status, &response.headers);
    state.record_limit(now, now, report.target, meta.limit);
    state.record_notice(now, report.target, &meta);
    meta.pause.is_some()
}

fn target_report(key: u64, id: &TargetId, response: Option<&Response>) -> TargetReport {
    let mut report = TargetReport {
        target: key,
        load: None,
        cold_ms: 0,
        health: Health::Unreachable,
        age_ms: 0,
    };
    let Some(response) = response else {
        return report;
    };
    let meta = wire::response_meta(response.status, &response.headers);
    // Another target uses the address by now.
    if meta.target.is_some_and(|target| target != id.as_str()) {
        return report;
    }
    report.load = meta.load;
    report.cold_ms = meta
        .cold_for
        .and_then(|left| u32::try_from(left.as_millis()).ok())
        .unwrap_or(0);
    report.health = if response.status == 200 {
        Health::Good
    } else {
        Health::Bad
    };
    report
}

impl ProbeConnections {
    fn try_start(&self, id: &TargetId) -> bool {
        let mut running = self.running.lock().unwrap_or_else(PoisonError::into_inner);
        running.insert(id.clone())
    }

    fn finish(&self, id: &TargetId) {
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

    /// Closes connections to targets that this instance no longer probes.
    fn retain_own(&self, own: &[(TargetId, SocketAddr, Arc<str>)]) {
        let mut conns = self.conns.lock().unwrap_or_else(PoisonError::into_inner);
        conns.retain(|id, _| own.iter().any(|(known, _, _)| known == id));
    }
}
