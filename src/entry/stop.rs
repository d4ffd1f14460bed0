//! Decides which requests may still run while this instance shuts down.
//!
//! A request that is cut at the exit may have run, and its caller can't tell. What requests of
//! its kind usually take says nothing of this one. One whose deadline lies past the exit is
//! refused at once, since another instance can run it.

use std::time::Instant;

use tokio::sync::watch;

/// The end of this process, once it is known.
#[derive(Debug, Default)]
pub(crate) struct Stop(watch::Sender<Option<Instant>>);

impl Stop {
    /// Records that this process exits at `end`.
    pub(crate) fn begin(&self, end: Instant) {
        self.0.send_replace(Some(end));
    }

    /// Whether a request with this deadline, at which it is answered in any case, may start at
    /// a target.
    pub(crate) fn allows(&self, deadline: Instant) -> bool {
        let end = *self.0.borrow();
        end.is_none_or(|end| deadline <= end)
    }

    /// Returns once a request with this deadline may not start any more.
    pub(crate) async fn disallows(&self, deadline: Instant) {
        let mut end = self.0.subscribe();
        let known = end.wait_for(|end| end.is_some_and(|end| end < deadline));
        if known.await.is_err() {
            // No stop is left to come.
            std::future::pending::<()>().await;
        }
    }
}

#[cfg(test)]
mod tests;
