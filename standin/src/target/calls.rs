//! The calls that a target runs and has run, so that they can be cancelled.

use std::sync::Arc;

use indexmap::{IndexMap, IndexSet};
use serde::Serialize;
use tokio::sync::Notify;

use crate::faults::Shared;

/// Ended calls that a target remembers.
const REMEMBERED: usize = 4096;

/// Answer to a cancellation.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum CancelState {
    /// The call ran and does so no longer.
    Cancelled,
    /// The call had ended before.
    Finished,
    /// No such call is known.
    Unknown,
}

#[derive(Debug, Default, Clone)]
struct State {
    running: IndexMap<String, Arc<Notify>>,
    ended: IndexSet<String>,
}

/// The calls of one target.
#[derive(Debug, Default)]
pub(crate) struct Calls(Shared<State>);

impl Calls {
    /// Notes that a call runs; the notification cancels it.
    pub(crate) fn begin(&self, call: &str) -> Arc<Notify> {
        let cancel = Arc::new(Notify::new());
        self.0
            .change(|state| state.running.insert(call.to_owned(), Arc::clone(&cancel)));
        cancel
    }

    /// Notes that a call has ended.
    pub(crate) fn end(&self, call: &str) {
        self.0.change(|state| {
            state.running.swap_remove(call);
            if state.ended.len() >= REMEMBERED {
                state.ended.shift_remove_index(0);
            }
            state.ended.insert(call.to_owned());
        });
    }

    /// Cancels a call.
    pub(crate) fn cancel(&self, call: &str) -> CancelState {
        self.0.change(|state| {
            if let Some(cancel) = state.running.swap_remove(call) {
                cancel.notify_one();
                return CancelState::Cancelled;
            }
            if state.ended.contains(call) {
                CancelState::Finished
            } else {
                CancelState::Unknown
            }
        })
    }

    /// Ends every call, as a crash does.
    pub(crate) fn crash(&self) {
        self.0.change(|state| {
            for (_, cancel) in state.running.drain(..) {
                cancel.notify_one();
            }
            state.ended.clear();
        });
    }
}
