//! Counters of a target.

use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};

use indexmap::IndexMap;

use crate::faults::Shared;

/// Counts of the calls, connections and probes of a target.
#[derive(Debug, Default)]
pub struct Record {
    /// Calls currently running.
    pub in_flight: AtomicU32,
    /// Maximum number of concurrent calls.
    pub peak: AtomicU32,
    /// Connections accepted.
    pub connections: AtomicU32,
    /// Health and load requests.
    pub probes: AtomicU32,
    /// Calls cancelled while running.
    pub cancelled: AtomicU32,
    /// Number of runs of each request, by its identifier.
    pub runs: Shared<IndexMap<String, u32>>,
}

impl Record {
    /// Returns how often the request with this identifier ran.
    #[must_use]
    pub fn runs_of(&self, request: &str) -> u32 {
        self.runs
            .change(|runs| runs.get(request).copied().unwrap_or_default())
    }

    pub(crate) fn running(&self) -> u32 {
        self.in_flight.load(Ordering::Relaxed)
    }

    pub(crate) fn count_run(&self, request: &str) {
        self.runs
            .change(|runs| *runs.entry(request.to_owned()).or_default() += 1);
    }
}

/// Counts a call in `in_flight` until it is dropped.
pub(crate) struct InFlightGuard(Arc<Record>);

impl InFlightGuard {
    pub(crate) fn start(record: &Arc<Record>) -> Self {
        let running = record.in_flight.fetch_add(1, Ordering::Relaxed) + 1;
        record.peak.fetch_max(running, Ordering::Relaxed);
        Self(Arc::clone(record))
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.0.in_flight.fetch_sub(1, Ordering::Relaxed);
    }
}
