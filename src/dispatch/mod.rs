//! Dispatch of one call: which shard, which connection, and what its caller is told.

pub(crate) mod attempt;
pub(crate) mod body;
pub(crate) mod borrow;
pub(crate) mod call;
pub(crate) mod callers;
mod cancel;
pub(crate) mod connection;
pub(crate) mod death;
pub(crate) mod gate;
pub(crate) mod headers;
pub mod keyed;
pub mod kind;
pub(crate) mod link;
pub(crate) mod permits;
pub mod quarantine;
pub mod retry;
pub mod route;
pub mod silence;

use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, OnceLock, PoisonError};
use std::time::Duration;

use tokio::sync::mpsc;

use crate::dispatch::call::Call;
use crate::dispatch::callers::Pass;
use crate::dispatch::keyed::home::Op;
use crate::dispatch::kind::ErrorKind;
use crate::dispatch::quarantine::{Quarantine, QuarantineSettings};
use crate::dispatch::retry::{Next, Progress, RetryBudgets, RetrySettings};
use crate::dispatch::silence::{FirstBytes, SilenceSettings};
use crate::instance::Instance;
use crate::names::ServiceName;
use crate::platform::http::{HttpClient, new_client};
use crate::units::Time;

/// What the calls of one instance share.
///
/// Its locks are taken one at a time, after every lock of the tables.
#[derive(Debug)]
pub(crate) struct Dispatch {
    retry: RetrySettings,
    budgets: Mutex<RetryBudgets>,
    first_bytes: Mutex<FirstBytes>,
    quarantine: Mutex<Quarantine>,
    in_flight: Arc<AtomicUsize>,
    keyed: OnceLock<mpsc::Sender<Op>>,
    /// Client for questions to targets that are not calls.
    http: HttpClient,
}

impl Default for Dispatch {
    fn default() -> Self {
        let retry = RetrySettings::default();
        Self {
            budgets: Mutex::new(RetryBudgets::new(retry.clone())),
            first_bytes: Mutex::new(FirstBytes::new(SilenceSettings::default())),
            quarantine: Mutex::new(Quarantine::new(QuarantineSettings::default())),
            retry,
            in_flight: Arc::default(),
            keyed: OnceLock::new(),
            http: new_client(),
        }
    }
}

/// Counts a caller's request as in flight until it is dropped.
#[derive(Debug)]
pub(crate) struct InFlight {
    count: Arc<AtomicUsize>,
    /// What its caller's limits admitted, when the caller has any.
    pub(crate) pass: Option<Pass>,
}

impl InFlight {
    /// Counts bytes of the answer against the caller's limits.
    fn charge(&self, bytes: usize) {
        if let Some(pass) = &self.pass {
            pass.charge(bytes);
        }
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        self.count.fetch_sub(1, Ordering::Relaxed);
    }
}

impl Dispatch {
    /// Counts a caller's request as in flight.
    pub(crate) fn begin(&self) -> InFlight {
        self.in_flight.fetch_add(1, Ordering::Relaxed);
        InFlight {
            count: Arc::clone(&self.in_flight),
            pass: None,
        }
    }

    /// The callers' requests in flight, their answers included.
    pub(crate) fn in_flight(&self) -> usize {
        self.in_flight.load(Ordering::Relaxed)
    }

    /// Forgets what is old.
    pub(crate) fn forget(&self, now: Time) {
        self.first_bytes().forget(now);
        self.quarantine().forget(now);
    }

    fn answered(&self, now: Time, call: &Call, target: SocketAddr, took: Duration) {
        let need = &call.need;
        self.first_bytes()
            .answered(now, &need.service, target, took);
        self.budgets().succeeded(now, &need.service, &need.caller);
    }

    fn next(&self, instance: &Instance, call: &Call, progress: &Progress, kind: ErrorKind) -> Next {
        let now = instance.tables.clock.now();
        let take = || self.take_retry(instance, call);
        self.retry.next(now, progress, kind, rand::random(), take)
    }

    fn take_retry(&self, instance: &Instance, call: &Call) -> bool {
        let now = instance.tables.clock.now();
        self.budgets()
            .take(now, &call.need.service, &call.need.caller)
    }

    fn hedge_after(&self, service: &ServiceName) -> Option<Duration> {
        self.first_bytes().hedge_after(service)
    }

    fn suspect_after(&self, target: SocketAddr) -> Duration {
        self.first_bytes().suspect_after(target)
    }

    fn is_own(&self, now: Time, target: SocketAddr, named: Option<bool>) -> bool {
        self.first_bytes().is_own(now, target, named)
    }

    fn replace_before(&self, target: SocketAddr, opened: Time) {
        self.first_bytes().replace_before(target, opened);
    }

    fn may_reuse(&self, target: SocketAddr, opened: Time) -> bool {
        self.first_bytes().may_reuse(target, opened)
    }

    /// The requests that crash targets.
    pub(crate) fn quarantine(&self) -> MutexGuard<'_, Quarantine> {
        self.quarantine
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    fn budgets(&self) -> MutexGuard<'_, RetryBudgets> {
        self.budgets.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn first_bytes(&self) -> MutexGuard<'_, FirstBytes> {
        self.first_bytes
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}
