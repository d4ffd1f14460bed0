//! Faults that a stand-in shows on demand.

use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

/// A value that tests change while a stand-in reads it.
#[derive(Debug, Default)]
pub struct Shared<T>(Arc<Mutex<T>>);

impl<T> Clone for Shared<T> {
    fn clone(&self) -> Self {
        Self(Arc::clone(&self.0))
    }
}

impl<T: Clone> Shared<T> {
    /// Reads the value.
    #[must_use]
    pub fn get(&self) -> T {
        self.0
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }

    /// Replaces the value.
    pub fn set(&self, value: T) {
        *self.0.lock().unwrap_or_else(PoisonError::into_inner) = value;
    }

    /// Changes the value in place.
    pub fn change<R>(&self, f: impl FnOnce(&mut T) -> R) -> R {
        f(&mut self.0.lock().unwrap_or_else(PoisonError::into_inner))
    }
}

/// Faults of the key-value service.
#[expect(clippy::struct_excessive_bools, reason = "each is a fault of its own")]
#[derive(Debug, Clone, Default)]
pub struct StoreFaults {
    /// Connections are closed without an answer and without effect.
    pub down: bool,
    /// Time that each call takes longer.
    pub delay: Duration,
    /// Writes that take effect and whose answers are lost; counts down.
    pub lost_responses: u32,
    /// Watches tell every change twice.
    pub duplicate_events: bool,
    /// Watches tell each pair of changes in the wrong order.
    pub reorder_events: bool,
    /// Watches stay open and tell nothing.
    pub silent_watches: bool,
}

/// Faults of a target.
#[derive(Debug, Clone, Default)]
#[expect(
    clippy::struct_excessive_bools,
    reason = "each fault is switched on its own"
)]
pub struct TargetFaults {
    /// Time that each call takes longer.
    pub delay: Duration,
    /// Calls are shed with status 503 and the shed header, without running.
    pub shed: bool,
    /// Calls run and the connection closes without an answer.
    pub close_after_run: bool,
    /// Calls are answered at once with status 500.
    pub fail_fast: bool,
    /// Health says that the target is draining; calls are served all the same.
    pub draining: bool,
    /// Load that is reported in place of the true one.
    pub reported_load: Option<Load>,
    /// Health that is reported in place of the true one.
    pub reported_health: Option<Health>,
    /// What each of the next calls shows, first one first.
    pub next_responses: Vec<ResponseFault>,
    /// What every further call shows.
    pub response: ResponseFault,
    /// The target crashes on a call whose path or body holds this text.
    pub crash_on: Option<String>,
    /// Time that the target is gone after such a crash.
    pub down_for: Duration,
}

impl TargetFaults {
    /// Takes the fault that the next call shows.
    pub(crate) fn take_answer(&mut self) -> ResponseFault {
        if self.next_responses.is_empty() {
            self.response
        } else {
            self.next_responses.remove(0)
        }
    }
}

/// Load that a target reports.
#[derive(Debug, Clone, Copy, PartialEq, Eq, serde::Serialize)]
pub struct Load {
    /// Calls that run.
    pub in_flight: u32,
    /// Calls that may run at a time.
    pub slots: u32,
}

/// State that a target reports.
#[derive(Debug, Clone, Copy, PartialEq, Eq, serde::Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Health {
    /// It bears its slots.
    Ready,
    /// It bears only a little.
    Cold,
    /// It is leaving.
    Draining,
}

/// How a target fails to answer one call.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum ResponseFault {
    /// It answers.
    #[default]
    None,
    /// It sheds the call without running it.
    Shed,
    /// It resets the connection without running the call.
    ResetNotRun,
    /// It runs the call and resets the connection before the first byte.
    ResetBeforeFirstByte,
    /// It runs the call and resets the connection after the first bytes.
    ResetAfterFirstByte,
    /// It runs the call, sends half of the declared length and closes.
    TruncatedBody,
    /// It runs the call, sends half of a chunked answer and closes.
    TruncatedChunkedBody,
    /// It runs the call and never answers.
    Stall,
    /// It runs the call and never sends the second half of its answer.
    StallMidBody,
    /// It runs the call and answers after this long.
    Late(Duration),
    /// It runs the call and sends bytes after the end of its answer.
    TrailingBytes,
    /// It runs the call and sends a late answer to another call before its own.
    LeadingResponse,
}

/// A cold start: how much a target bears, for how long, and how it falls over.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ColdStart {
    /// Calls that the target bears at a time.
    pub slots: u32,
    /// How long it stays cold.
    pub duration: Duration,
    /// What happens to each call when it is given more.
    pub overload: Overload,
}

/// What a cold target does with calls beyond what it bears.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Overload {
    /// Every call takes this much longer.
    Slow(Duration),
    /// Every call runs and its connection closes without an answer.
    Close,
}
