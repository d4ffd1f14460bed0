//! Dispatches calls: permit, connection, attempts, retries, and the error reported to the caller.

pub(crate) mod attempt;
pub(crate) mod body;
pub(crate) mod call;
pub(crate) mod callers;
mod cancel;
pub(crate) mod connection;
pub(crate) mod crash;
pub mod first_byte;
pub(crate) mod headers;
pub mod keyed;
pub mod kind;
pub(crate) mod owner_client;
pub(crate) mod permits;
pub mod quarantine;
pub(crate) mod remote_permits;
pub mod retry;
pub mod route;
mod target_stream;
pub(crate) mod write_deadline;

use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, OnceLock, PoisonError};
use std::time::Duration;

use tokio::sync::mpsc;

use crate::dispatch::call::Call;
use crate::dispatch::callers::LimitGuard;
use crate::dispatch::first_byte::{FirstByteSettings, FirstByteTimes};
use crate::dispatch::keyed::coordinator::Op;
use crate::dispatch::kind::ErrorKind;
use crate::dispatch::quarantine::{Quarantine, QuarantineSettings};
use crate::dispatch::retry::{Progress, RetryBudgets, RetryDecision, RetrySettings};
use crate::instance::Instance;
use crate::names::ServiceName;
use crate::platform::http::{HttpClient, new_client};
use crate::units::Time;

/// State shared by all calls of one instance.
///
/// Lock order: at most one of these locks is held at a time, and it is taken
/// after any lock of the tables.
#[derive(Debug)]
pub(crate) struct Dispatch {
    retry: RetrySettings,
    budgets: Mutex<RetryBudgets>,
    first_byte_times: Mutex<FirstByteTimes>,
    quarantine: Mutex<Quarantine>,
    in_flight: Arc<AtomicUsize>,
    keyed: OnceLock<mpsc::Sender<Op>>,
    /// Client for requests to targets that are not calls, such as health checks and cancellations.
    http: HttpClient,
}

impl Default for Dispatch {
    fn default() -> Self {
        let retry = RetrySettings::default();
        Self {
            budgets: Mutex::new(RetryBudgets::new(retry.clone())),
            first_byte_times: Mutex::new(FirstByteTimes::new(FirstByteSettings::default())),
            quarantine: Mutex::new(Quarantine::new(QuarantineSettings::default())),
            retry,
            in_flight: Arc::default(),
            keyed: OnceLock::new(),
            http: new_client(),
        }
    }
}

/// Counts a caller's request as in flight until dropped.
#[derive(Debug)]
pub(crate) struct InFlightGuard {
    count: Arc<AtomicUsize>,
    /// Admission under the caller's limits; `None` for a caller without limits.
    pub(crate) limit_guard: Option<LimitGuard>,
}

impl InFlightGuard {
    /// Counts response bytes against the caller's limits.
    fn charge_response_bytes(&self, bytes: usize) {
        if let Some(limit_guard) = &self.limit_guard {
            limit_guard.charge_response_bytes(bytes);
        }
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.count.fetch_sub(1, Ordering::Relaxed);
    }
}

impl Dispatch {
    /// Counts a caller's request as in flight.
    pub(crate) fn track_request(&self) -> InFlightGuard {
        self.in_flight.fetch_add(1, Ordering::Relaxed);
        InFlightGuard {
            count: Arc::clone(&self.in_flight),
            limit_guard: None,
        }
    }

    /// Number of callers' requests in flight; a request ends with its response body.
    pub(crate) fn in_flight(&self) -> usize {
        self.in_flight.load(Ordering::Relaxed)
    }

    /// Drops expired quarantine records and the first-byte times of unused targets.
    pub(crate) fn remove_expired(&self, now: Time) {
        self.first_byte_times().remove_expired(now);
        self.quarantine().remove_expired(now);
    }

    fn record_response(&self, now: Time, call: &Call, target: SocketAddr, took: Duration) {
        let requirements = &call.requirements;
        self.first_byte_times()
            .record_response(now, &requirements.service, target, took);
        self.budgets()
            .record_success(now, &requirements.service, &requirements.caller);
    }

    fn decide_retry(
        &self,
        instance: &Instance,
        call: &Call,
        progress: &Progress,
        kind: ErrorKind,
    ) -> RetryDecision {
        let now = instance.tables.clock.now();
        let take_budget = || self.take_retry_budget(instance, call);
        self.retry
            .decide(now, progress, kind, rand::random(), take_budget)
    }

    fn take_retry_budget(&self, instance: &Instance, call: &Call) -> bool {
        let now = instance.tables.clock.now();
        self.budgets()
            .take(now, &call.requirements.service, &call.requirements.caller)
    }

    fn hedge_delay(&self, service: &ServiceName) -> Option<Duration> {
        self.first_byte_times().hedge_delay(service)
    }

    fn stall_timeout(&self, target: SocketAddr) -> Duration {
        self.first_byte_times().stall_timeout(target)
    }

    fn is_expected_response(
        &self,
        now: Time,
        target: SocketAddr,
        call_id_matches: Option<bool>,
    ) -> bool {
        self.first_byte_times()
            .is_expected_response(now, target, call_id_matches)
    }

    fn retire_before(&self, target: SocketAddr, opened: Time) {
        self.first_byte_times().retire_before(target, opened);
    }

    fn may_reuse(&self, target: SocketAddr, opened: Time) -> bool {
        self.first_byte_times().may_reuse(target, opened)
    }

    /// Requests that are suspected of crashing targets.
    pub(crate) fn quarantine(&self) -> MutexGuard<'_, Quarantine> {
        self.quarantine
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    fn budgets(&self) -> MutexGuard<'_, RetryBudgets> {
        self.budgets.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn first_byte_times(&self) -> MutexGuard<'_, FirstByteTimes> {
        self.first_byte_times
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}
