//! What the tasks of an entry instance share.

use std::sync::{Mutex, MutexGuard, PoisonError};

use tokio::sync::Notify;

use super::metrics::EntryMetrics;
use super::pool::Pool;
use super::state::State;
use crate::units::{Clock, Time};

/// The tables, the connections and the counters. The lock of the pool is taken
/// alone, never while the state is locked.
#[derive(Debug)]
pub(crate) struct Shared {
    state: Mutex<State>,
    clock: Clock,
    /// Open connections to targets.
    pub pool: Pool,
    /// Told whenever a request at a target ends.
    pub capacity_freed: Notify,
    /// Counters and latencies.
    pub metrics: EntryMetrics,
}

impl Shared {
    pub(crate) fn new(state: State, clock: Clock, metrics: EntryMetrics) -> Self {
        Self {
            state: Mutex::new(state),
            clock,
            pool: Pool::default(),
            capacity_freed: Notify::new(),
            metrics,
        }
    }

    /// The tables, locked; never held over I/O.
    pub(crate) fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The present time.
    pub(crate) fn now(&self) -> Time {
        self.clock.now()
    }
}
