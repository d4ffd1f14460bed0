//! Running and finished calls of a target, for cancellation.

use std::sync::Arc;

use indexmap::{IndexMap, IndexSet};
use serde::Serialize;
use tokio::sync::Notify;

use crate::faults::Shared;

/// Finished calls that are remembered; the oldest is dropped first.
const MAX_FINISHED_CALLS: usize = 4096;

/// Outcome of a cancellation request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum CancelState {
    /// The call was running and has been cancelled.
    Cancelled,
    /// The call had already finished.
    Finished,
    /// The call is not known.
    Unknown,
}

#[derive(Debug, Default, Clone)]
struct CallTable {
    running: IndexMap<String, Arc<Notify>>,
    finished: IndexSet<String>,
}

/// The running and finished calls of one target.
#[derive(Debug, Default)]
pub(crate) struct CallRegistry(Shared<CallTable>);

impl CallRegistry {
    /// Registers a running call; the returned notification cancels it.
    pub(crate) fn begin(&self, call: &str) -> Arc<Notify> {
        let cancel = Arc::new(Notify::new());
        self.0
            .change(|state| state.running.insert(call.to_owned(), Arc::clone(&cancel)));
        cancel
    }

    /// Marks a call as finished.
    pub(crate) fn end(&self, call: &str) {
        self.0.change(|state| {
            state.running.swap_remove(call);
            if state.finished.len() >= MAX_FINISHED_CALLS {
                state.finished.shift_remove_index(0);
            }
            state.finished.insert(call.to_owned());
        });
    }

    /// Cancels a call if it is running.
    pub(crate) fn cancel(&self, call: &str) -> CancelState {
        self.0.change(|state| {
            if let Some(cancel) = state.running.swap_remove(call) {
                cancel.notify_one();
                return CancelState::Cancelled;
            }
            if state.finished.contains(call) {
                CancelState::Finished
            } else {
                CancelState::Unknown
            }
        })
    }

    /// Cancels every running call and forgets the finished ones, as in a crash.
    pub(crate) fn cancel_all(&self) {
        self.0.change(|state| {
            for (_, cancel) in state.running.drain(..) {
                cancel.notify_one();
            }
            state.finished.clear();
        });
    }
}
