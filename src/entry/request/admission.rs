//! Decides before a request is forwarded what it is: its route, service and account, or why
//! it is denied.

use std::sync::Arc;

use http::HeaderMap;

use crate::account::{Account, AccountCounts};
use crate::entry::model::{RetrySafety, Route};
use crate::entry::request::outbound::logged_path;
use crate::entry::request::outcome::{DEFAULT_RETRY_AFTER, Outcome, reply};
use crate::entry::request::wait_queue::Flow;
use crate::entry::shared::Shared;
use crate::http1::rejection::Rejection;
use crate::http1::server::{Reply, Request};
use crate::names::ServiceName;
use crate::platform::prepared::wire;
use crate::units::Time;

/// A request with its route and service.
#[derive(Debug)]
pub(crate) struct AdmittedRequest {
    /// Route that matches the request.
    pub route: Arc<Route>,
    /// Service that gets it, by the traffic split.
    pub service: ServiceName,
    /// Version of the configuration in force at admission.
    pub version: u64,
    /// Whether requests need the key of an account, except on public routes.
    pub uses_accounts: bool,
    /// Client account whose key the request has. On a public route it may have none.
    pub account: Option<Arc<Account>>,
}

impl AdmittedRequest {
    /// Priority of the account, or else of the route; 0 is the most urgent.
    pub(super) fn priority(&self) -> u32 {
        let account = self.account.as_ref();
        let priority = account.and_then(|account| account.priority);
        priority.unwrap_or(self.route.priority)
    }

    /// Whose requests it takes turns with while it waits for capacity.
    pub(super) fn flow(&self) -> Flow {
        Flow {
            priority: self.priority(),
            account: self.account.as_ref().map(|account| account.name.clone()),
        }
    }

    /// Name of the account, for the log.
    pub(super) fn account_name(&self) -> Option<&str> {
        let account = self.account.as_ref();
        account.map(|account| account.name.as_str())
    }
}

impl Shared {
    /// Finds the route, account and service of a request. What is in force now holds for the
    /// request until its end.
    pub(super) fn admit(&self, req: &Request) -> Result<AdmittedRequest, Outcome> {
        let now: Time = self.now();
        let host = host(&req.headers);
        let path = req.target.split('?').next().unwrap_or_default();
        let mut state = self.state();
        let version = state.status.version;
        if version == 0 {
            return Err(Outcome::NoConfiguration);
        }
        let route = state
            .routes
            .find(host, path)
            .cloned()
            .ok_or_else(|| state.denial(Outcome::NoRoute))?;
        let uses_accounts = state.uses_accounts();
        let account = state.authenticate(now, &route, &req.headers)?;
        let service = state.next_service(&route).ok_or(Outcome::NoRoute)?;
        state.record_request(now, &service);
        if let Some(account) = &account {
            let counts = AccountCounts {
                requests: 1,
                ..AccountCounts::default()
            };
            state.account_usage.add(&account.name, counts);
        }
        Ok(AdmittedRequest {
            route,
            service,
            version,
            uses_accounts,
            account,
        })
    }

    /// Logs what tells an outdated configuration from a request that names no route.
    pub(super) fn log_denial(&self, id: &str, req: &Request, outcome: Outcome) {
        let state = self.state();
        let (host, path) = (host(&req.headers), &*logged_path(&req.target));
        let version = state.status.version;
        match outcome {
            Outcome::NoRoute => tracing::info!(
                request = id,
                host,
                path,
                version,
                revision = state.replica.revision(),
                routes = state.routes.count(),
                "no route matches"
            ),
            Outcome::ConfigurationOutdated => tracing::info!(
                request = id,
                host,
                path,
                version,
                newer = state.newer_configuration().map(tracing::field::display),
                "configuration outdated: not run"
            ),
            _ => {}
        }
    }
}

/// Counts and logs a request that was rejected before it was routed, and returns the response.
pub(crate) fn reject(shared: &Shared, rejection: &Rejection) -> Reply {
    let reason = &rejection.reason;
    let refusal = if reason.is_over_limit() {
        shared.state().refusal_over_limit()
    } else {
        None
    };
    let (outcome, reply) = match refusal {
        Some(refusal) => (refusal.to_string(), reply(refusal, DEFAULT_RETRY_AFTER)),
        None => (reason.outcome().to_owned(), rejection.reply()),
    };
    shared.metrics.record_rejection(&outcome);
    tracing::info!(
        request = wire::request_meta(&rejection.headers).id,
        outcome,
        status = reply.status,
        %reason,
        version = shared.state().status.version,
        buffered_bytes = rejection.buffered,
        requests_before = rejection.requests_before,
        "request rejected before routing"
    );
    reply
}

/// Whether a request may run before earlier ones of its connection are answered: it is
/// idempotent.
pub(crate) fn may_run_ahead(shared: &Shared, target: &str, headers: &HeaderMap) -> bool {
    let path = target.split('?').next().unwrap_or_default();
    let state = shared.state();
    state
        .routes
        .find(host(headers), path)
        .is_some_and(|route| route.retry_safety == RetrySafety::Safe)
}

/// Value of the `Host` header; empty if there is none.
pub(super) fn host(headers: &HeaderMap) -> &str {
    headers
        .get(http::header::HOST)
        .and_then(|host| host.to_str().ok())
        .unwrap_or_default()
}
