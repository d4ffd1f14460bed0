//! Faults that tests inject into a stand-in.

use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

/// A value that a running stand-in shares with the test that controls it.
#[derive(Debug, Default)]
pub struct Shared<T>(Arc<Mutex<T>>);

impl<T> Clone for Shared<T> {
    fn clone(&self) -> Self {
        Self(Arc::clone(&self.0))
    }
}

impl<T: Clone> Shared<T> {
    /// Returns a copy of the value.
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

    /// Changes the value under the lock and returns the result of `f`.
    pub fn change<R>(&self, f: impl FnOnce(&mut T) -> R) -> R {
        f(&mut self.0.lock().unwrap_or_else(PoisonError::into_inner))
    }
}

/// Faults of the key-value service.
#[expect(
    clippy::struct_excessive_bools,
    reason = "each flag is an independent fault"
)]
#[derive(Debug, Clone, Default)]
pub struct StoreFaults {
    /// Connections are closed without a response; requests have no effect.
    pub down: bool,
    /// Time added to each call.
    pub delay: Duration,
    /// Number of further writes that take effect but get no response; counts down.
    pub lost_responses: u32,
    /// Watches deliver every event twice.
    pub duplicate_events: bool,
    /// Watches deliver each pair of events in reverse order.
    pub reorder_events: bool,
    /// Watches stay open and deliver nothing.
    pub silent_watches: bool,
}

/// Faults of a target.
#[derive(Debug, Clone, Default)]
#[expect(
    clippy::struct_excessive_bools,
    reason = "each flag is an independent fault"
)]
pub struct TargetFaults {
    /// Time added to each call.
    pub delay: Duration,
    /// Calls are rejected with status 503 and the shed header, without running.
    pub shed: bool,
    /// Calls run, then the connection is closed without a response.
    pub close_after_run: bool,
    /// Calls fail immediately with status 500, without running.
    pub fail_fast: bool,
    /// The health check reports `draining`; calls are still served.
    pub draining: bool,
    /// Load reported instead of the actual load.
    pub reported_load: Option<Load>,
    /// Health reported instead of the actual health.
    pub reported_health: Option<Health>,
    /// Faults of the next calls, in order; each is used once.
    pub next_responses: Vec<ResponseFault>,
    /// Fault of every call while `next_responses` is empty.
    pub response: ResponseFault,
    /// The target crashes on a call whose path or body contains this text.
    pub crash_on: Option<String>,
    /// Time between such a crash and the restart.
    pub down_for: Duration,
}

impl TargetFaults {
    /// Returns the fault for the next call and consumes it if it was queued.
    pub(crate) fn take_response_fault(&mut self) -> ResponseFault {
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
    /// Calls currently running.
    pub in_flight: u32,
    /// Calls that may run concurrently.
    pub slots: u32,
}

/// State that a target reports in its health check.
#[derive(Debug, Clone, Copy, PartialEq, Eq, serde::Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Health {
    /// Accepts as many concurrent calls as it has slots.
    Ready,
    /// Warming up: accepts fewer concurrent calls than it has slots.
    Cold,
    /// Shutting down: takes no new calls.
    Draining,
}

/// Fault in the response to one call.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum ResponseFault {
    /// No fault.
    #[default]
    None,
    /// Sheds the call without running it.
    Shed,
    /// Resets the connection without running the call.
    ResetNotRun,
    /// Runs the call and resets the connection before the first byte.
    ResetBeforeFirstByte,
    /// Runs the call and resets the connection after the first bytes.
    ResetAfterFirstByte,
    /// Runs the call, sends a part of the response's head and closes.
    TruncatedHead,
    /// Runs the call, sends half of the declared length and closes.
    TruncatedBody,
    /// Runs the call, sends half of a chunked body and closes.
    TruncatedChunkedBody,
    /// Runs the call and never responds.
    Stall,
    /// Runs the call and never sends the second half of the body.
    StallMidBody,
    /// Runs the call and responds after this delay.
    Late(Duration),
    /// Runs the call and sends extra bytes after the end of the response.
    TrailingBytes,
    /// Runs the call and sends an extra response, as if to an earlier call, before its own.
    LeadingResponse,
    /// Runs the call, sends these bytes with the call's id in place of `CALL`, and closes.
    Raw(&'static str),
}

/// A cold start: reduced concurrency for some time, and the behaviour above it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ColdStart {
    /// Calls that the target runs concurrently without degrading.
    pub slots: u32,
    /// Time until the target is warm.
    pub duration: Duration,
    /// Behaviour above `slots` concurrent calls.
    pub overload: Overload,
}

/// Behaviour of a cold target that is given more calls than it has slots.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Overload {
    /// Each call takes this much longer.
    Slow(Duration),
    /// Each call runs, then its connection is closed without a response.
    Close,
}
