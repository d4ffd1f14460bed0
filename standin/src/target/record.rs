//! What a target has run.

use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};

use indexmap::IndexMap;

use crate::faults::Shared;

/// What a target has run.
#[derive(Debug, Default)]
pub struct Record {
    /// Calls that run now.
    pub in_flight: AtomicU32,
    /// Most calls that ran at a time.
    pub peak: AtomicU32,
    /// Connections that were opened.
    pub connections: AtomicU32,
    /// Questions for health or load.
    pub probes: AtomicU32,
    /// Calls that were cancelled while they ran.
    pub cancelled: AtomicU32,
    /// How often each request ran, by its identifier.
    pub runs: Shared<IndexMap<String, u32>>,
}

impl Record {
    /// How often the request with this identifier ran.
    #[must_use]
    pub fn runs_of(&self, request: &str) -> u32 {
        self.runs
            .change(|runs| runs.get(request).copied().unwrap_or_default())
    }

    pub(crate) fn running(&self) -> u32 {
        self.in_flight.load(Ordering::Relaxed)
    }

    pub(crate) fn ran(&self, request: &str) {
        self.runs
            .change(|runs| *runs.entry(request.to_owned()).or_default() += 1);
    }
}

/// Counts a call as running until it is dropped.
pub(crate) struct Running(Arc<Record>);

impl Running {
    pub(crate) fn start(record: &Arc<Record>) -> Self {
        let running = record.in_flight.fetch_add(1, Ordering::Relaxed) + 1;
        record.peak.fetch_max(running, Ordering::Relaxed);
        Self(Arc::clone(record))
    }
}

impl Drop for Running {
    fn drop(&mut self) {
        self.0.in_flight.fetch_sub(1, Ordering::Relaxed);
    }
}
