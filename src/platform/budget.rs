//! Rate limit on the store calls of one instance.
//!
//! Every call and every open watch counts. The last tokens are reserved for lease
//! calls, so that other work can't make an instance lose its lease.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};

use serde::{Deserialize, Serialize};

use super::store::{BoxFuture, Store, StoreError, StoreFn, Watch, WatchReq};
use crate::macros::data;
use crate::units::{Clock, Time};

/// Limits on the store calls of one instance.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct BudgetSettings {
    /// Reads per second, opened watches included.
    pub reads_per_second: f64,
    /// Writes per second, lease calls included.
    pub writes_per_second: f64,
    /// Size of the token buckets, in seconds of their rates.
    pub burst_seconds: f64,
    /// Write tokens reserved for lease calls.
    pub lease_reserve: f64,
    /// Watches that may be open at a time.
    pub watches: u64,
}

impl Default for BudgetSettings {
    fn default() -> Self {
        Self {
            reads_per_second: 60.0,
            writes_per_second: 20.0,
            burst_seconds: 2.0,
            lease_reserve: 5.0,
            watches: 2,
        }
    }
}

/// Kind of a store call; each kind has a counter of its own.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum CallKind {
    /// Reads a key or a range of keys.
    Range,
    /// Writes if its comparisons hold.
    Txn,
    /// Creates a lease.
    Grant,
    /// Renews a lease.
    KeepAlive,
    /// Ends a lease.
    Revoke,
    /// Opens a watch.
    Watch,
}

data! {
    /// Counts of the store calls of one instance since its start.
    #[derive(Eq, Copy, Default)]
    pub struct StoreCalls {
        /// Reads of a key or a range.
        pub range: u64,
        /// Transactions.
        pub txn: u64,
        /// Created leases.
        pub grant: u64,
        /// Lease renewals.
        pub keep_alive: u64,
        /// Revoked leases.
        pub revoke: u64,
        /// Opened watches.
        pub watch: u64,
        /// Watches that are open now.
        pub watches_waiting: u64,
        /// Calls that were refused because the budget was used up.
        pub over_budget: u64,
    }
}

/// Token bucket that refills at a constant rate.
#[derive(Debug, Clone)]
pub struct TokenBucket {
    /// Tokens per second.
    rate: f64,
    size: f64,
    tokens: f64,
    refilled_at: Time,
}

impl TokenBucket {
    /// Creates a full bucket that refills by `rate` tokens per second up to `size`.
    #[must_use]
    pub fn new(rate: f64, size: f64) -> Self {
        Self {
            rate,
            size,
            tokens: size,
            refilled_at: Time::ZERO,
        }
    }

    /// Takes one token if at least `reserve` tokens remain after it.
    pub fn try_take(&mut self, now: Time, reserve: f64) -> bool {
        let elapsed = now.since(self.refilled_at).as_secs_f64();
        self.tokens = (self.tokens + elapsed * self.rate).min(self.size);
        self.refilled_at = now.max(self.refilled_at);
        if self.tokens - 1.0 < reserve {
            return false;
        }
        self.tokens -= 1.0;
        true
    }
}

/// Budget and counters of the store calls of one instance.
#[derive(Debug)]
pub struct StoreBudget {
    settings: BudgetSettings,
    clock: Clock,
    reads: Mutex<TokenBucket>,
    writes: Mutex<TokenBucket>,
    /// Indexed by [`CallKind`].
    counts: [AtomicU64; 6],
    open_watches: AtomicU64,
    over_budget: AtomicU64,
}

/// Counts one open watch until it is dropped.
#[derive(Debug)]
pub(crate) struct WatchGuard(Arc<StoreBudget>);

impl Drop for WatchGuard {
    fn drop(&mut self) {
        self.0.open_watches.fetch_sub(1, Ordering::Relaxed);
    }
}

impl StoreBudget {
    /// Creates a budget with full buckets.
    #[must_use]
    pub fn new(settings: BudgetSettings) -> Self {
        let bucket = |rate: f64| Mutex::new(TokenBucket::new(rate, rate * settings.burst_seconds));
        Self {
            reads: bucket(settings.reads_per_second),
            writes: bucket(settings.writes_per_second),
            clock: Clock::start(),
            counts: Default::default(),
            open_watches: AtomicU64::new(0),
            over_budget: AtomicU64::new(0),
            settings,
        }
    }

    /// Returns the counts of the calls made so far.
    #[must_use]
    pub fn calls(&self) -> StoreCalls {
        let count = |kind: CallKind| self.counts[kind as usize].load(Ordering::Relaxed);
        StoreCalls {
            range: count(CallKind::Range),
            txn: count(CallKind::Txn),
            grant: count(CallKind::Grant),
            keep_alive: count(CallKind::KeepAlive),
            revoke: count(CallKind::Revoke),
            watch: count(CallKind::Watch),
            watches_waiting: self.open_watches.load(Ordering::Relaxed),
            over_budget: self.over_budget.load(Ordering::Relaxed),
        }
    }

    /// Counts a call, or refuses it when the budget is used up.
    fn admit(&self, kind: CallKind) -> Result<(), StoreError> {
        let (bucket, reserve) = match kind {
            CallKind::Range | CallKind::Watch => (&self.reads, 0.0),
            CallKind::Txn => (&self.writes, self.settings.lease_reserve),
            CallKind::Grant | CallKind::KeepAlive | CallKind::Revoke => (&self.writes, 0.0),
        };
        let now = self.clock.now();
        let mut bucket = bucket.lock().unwrap_or_else(PoisonError::into_inner);
        if !bucket.try_take(now, reserve) {
            self.over_budget.fetch_add(1, Ordering::Relaxed);
            return Err(StoreError::OverBudget);
        }
        self.counts[kind as usize].fetch_add(1, Ordering::Relaxed);
        Ok(())
    }

    fn admit_watch(self: &Arc<Self>) -> Result<WatchGuard, StoreError> {
        let open = self.open_watches.fetch_add(1, Ordering::Relaxed);
        let guard = WatchGuard(Arc::clone(self));
        if open >= self.settings.watches {
            self.over_budget.fetch_add(1, Ordering::Relaxed);
            return Err(StoreError::OverBudget);
        }
        self.admit(CallKind::Watch)?;
        Ok(guard)
    }
}

/// Wraps a store so that every call is charged to `budget`, and refused when it is
/// used up.
#[must_use]
pub fn with_budget(store: &Store, budget: &Arc<StoreBudget>) -> Store {
    Store {
        range: counted(&store.range, budget, CallKind::Range),
        txn: counted(&store.txn, budget, CallKind::Txn),
        grant: counted(&store.grant, budget, CallKind::Grant),
        keep_alive: counted(&store.keep_alive, budget, CallKind::KeepAlive),
        revoke: counted(&store.revoke, budget, CallKind::Revoke),
        watch: counted_watch(&store.watch, budget),
    }
}

fn counted<A: 'static, R: Send + 'static>(
    call: &StoreFn<A, R>,
    budget: &Arc<StoreBudget>,
    kind: CallKind,
) -> StoreFn<A, R> {
    let (call, budget) = (Arc::clone(call), Arc::clone(budget));
    Arc::new(move |arg| match budget.admit(kind) {
        Ok(()) => call(arg),
        Err(err) => refused(err),
    })
}

fn counted_watch(
    call: &StoreFn<WatchReq, Watch>,
    budget: &Arc<StoreBudget>,
) -> StoreFn<WatchReq, Watch> {
    let (call, budget) = (Arc::clone(call), Arc::clone(budget));
    Arc::new(move |req| match budget.admit_watch() {
        Ok(guard) => {
            let opening = call(req);
            Box::pin(async move { opening.await.map(|watch| watch.with_guard(guard)) })
        }
        Err(err) => refused(err),
    })
}

fn refused<R: Send + 'static>(err: StoreError) -> BoxFuture<Result<R, StoreError>> {
    Box::pin(std::future::ready(Err(err)))
}

#[cfg(test)]
mod tests;
