//! HTTP endpoints for readiness, the directory, metrics and the state dump.

use std::cmp::Reverse;
use std::sync::Arc;
use std::time::Duration;

use http::HeaderValue;

use crate::account::Account;
use crate::entry::model::UnknownKind;
use crate::entry::shared::Shared;
use crate::entry::state::State;
use crate::http1::server::{Reply, Request};
use crate::platform::prepared::wire;

/// Path of the metrics.
const METRICS_PATH: &str = "/metrics";
/// Path of the state dump.
const DUMP_PATH: &str = "/dump";
/// Accounts that the dump contains.
const MAX_DUMPED_ACCOUNTS: usize = 200;

/// Responds to a readiness check.
pub(crate) fn serve_readiness(shared: &Arc<Shared>, req: &Request) -> Reply {
    if path(req) != wire::READINESS_PATH {
        return Reply::empty(404);
    }
    let ready = shared.state().status.ready;
    Reply::empty(if ready { 200 } else { 503 })
}

/// Responds to a caller's directory request.
pub(crate) fn serve_directory(shared: &Arc<Shared>, req: &Request) -> Reply {
    if path(req) != wire::DIRECTORY_PATH {
        return Reply::empty(404);
    }
    let now = shared.now();
    let state = shared.state();
    let addresses = state.addresses(now, wire::directory_zone(&req.target));
    if addresses.is_empty() {
        return Reply::empty(503);
    }
    let ttl = state
        .tuning
        .directory_ttl
        .min(state.settings.max_directory_ttl);
    json(wire::directory_body(&addresses, ttl))
}

/// Responds to an operator's request for metrics or the state dump.
pub(crate) fn serve_operator(shared: &Arc<Shared>, req: &Request) -> Reply {
    match path(req) {
        METRICS_PATH => {
            let gauge = |value: usize| i64::try_from(value).unwrap_or(i64::MAX);
            let unknown_kinds = unknown_kinds(&shared.state()).len();
            shared.metrics.unknown_kinds.set(gauge(unknown_kinds));
            let body_bytes = shared.body_memory.total();
            shared.metrics.body_bytes.set(gauge(body_bytes));
            let running = shared.state().rollouts.running();
            shared.metrics.rollouts.set(gauge(running));
            let metrics = &shared.metrics;
            let state = shared.state();
            let quarantine = state.quarantine.size();
            metrics.set_accounts(&state.account_usage);
            drop(state);
            metrics.quarantine_records.set(gauge(quarantine.records));
            metrics.quarantine_unsent.set(gauge(quarantine.unsent));
            Reply {
                status: 200,
                body: shared.metrics.encode().into(),
                ..Reply::default()
            }
        }
        DUMP_PATH => json(dump(&shared.state(), shared.now()).to_string().into_bytes()),
        _ => Reply::empty(404),
    }
}

fn unknown_kinds(state: &State) -> &[UnknownKind] {
    let configuration = state.replica.configuration();
    configuration.map_or(&[], |configuration| &configuration.unknown_kinds)
}

fn dump(state: &State, now: crate::units::Time) -> serde_json::Value {
    let targets: Vec<_> = state
        .targets
        .views()
        .map(|view| {
            let curve = state.load_curve(&view.target.service);
            let candidate = view.candidate(now, &state.settings.zone, &curve);
            serde_json::json!({
                "id": view.target.id,
                "service": view.target.service,
                "address": view.target.address,
                "zone": view.target.zone,
                "version": view.target.version,
                "leaving": view.is_leaving(),
                "says_leaving": view.notice.is_leaving(),
                "pause_left_ms": view.notice.pause_left(now).map(millis),
                "cold": candidate.cold,
                "limit_per_second": view.limit.per_second(now),
                "healthy": candidate.healthy,
                "has_path": !view.path.has_failed(),
                "in_flight": view.in_flight,
                "occupied": candidate.occupied,
                "slowness_percent": candidate.slowness_percent,
                "load_factor": candidate.load_factor,
                "report_age_ms": view.load_report.map(|report| millis(now.since(report.at))),
            })
        })
        .collect();
    let peers: Vec<_> = state
        .members
        .known()
        .map(|(address, member)| {
            serde_json::json!({
                "address": address,
                "zone": member.zone,
                "live": state.members.is_live(now, address),
                "standing": member.status,
                "cut_off": member.status.cut_off,
            })
        })
        .collect();
    serde_json::json!({
        "instance": state.settings.name,
        "standing": state.status,
        "cut_off": state.status.cut_off,
        "revision": state.replica.revision(),
        "evacuated": state.targets.evacuated(),
        "unknown_kinds": unknown_kinds(state),
        "rejected_records": state.rejected.values().collect::<Vec<_>>(),
        "quarantine": state.quarantine.size(),
        "suspects": state.quarantine.cases(now).collect::<Vec<_>>(),
        "rollouts": state.rollouts.iter().map(|(service, rollout)| rollout.dump(service)).collect::<Vec<_>>(),
        "accounts": accounts(state),
        "account_limits": state.caps.dump(now),
        "targets": targets,
        "peers": peers,
    })
}

/// The accounts with the most requests, without their keys.
fn accounts(state: &State) -> serde_json::Value {
    let Some(table) = &state.accounts else {
        return serde_json::Value::Null;
    };
    let counts = |account: &Account| state.account_usage.get(&account.name);
    let mut accounts: Vec<&Arc<Account>> = table.accounts().iter().collect();
    accounts.sort_by_cached_key(|account| Reverse(counts(account).requests));
    accounts.truncate(MAX_DUMPED_ACCOUNTS);
    let busiest: Vec<_> = accounts
        .into_iter()
        .map(|account| {
            serde_json::json!({
                "name": account.name,
                "priority": account.priority,
                "limit": account.limit,
                "keys": account.keys.len(),
                "counts": counts(account),
            })
        })
        .collect();
    serde_json::json!({ "total": table.accounts().len(), "busiest": busiest })
}

fn path(req: &Request) -> &str {
    req.target.split('?').next().unwrap_or_default()
}

fn json(body: Vec<u8>) -> Reply {
    let mut reply = Reply {
        status: 200,
        body: body.into(),
        ..Reply::default()
    };
    let value = HeaderValue::from_static("application/json");
    reply.headers.insert(http::header::CONTENT_TYPE, value);
    reply
}

fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
