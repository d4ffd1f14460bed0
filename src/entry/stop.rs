//! Decides which requests may still run while this instance shuts down.
//!
//! A request that is cut at the exit may have run, and its caller can't tell. One that might
//! be is refused at once, since another instance can run it.

use std::time::{Duration, Instant};

use tokio::sync::watch;

/// Factor by which a request may take longer than usual: what targets that are nearly full or
/// share a busy machine take.
const MAX_SLOWDOWN: u32 = 10;

/// The end of this process, once it is known.
#[derive(Debug, Default)]
pub(crate) struct Stop(watch::Sender<Option<Instant>>);

/// Longest time that a request may take from its start at a target.
#[derive(Debug, Clone, Copy)]
pub(crate) struct RunTime {
    /// Time left until its deadline, at which it is answered in any case.
    pub deadline_left: Duration,
    /// Time that it usually takes at a target; `None` until it is known.
    pub usual: Option<Duration>,
}

impl RunTime {
    /// The longest time that it may take.
    pub(crate) fn longest(self) -> Duration {
        let longest = self.usual.map(|usual| usual * MAX_SLOWDOWN);
        longest.map_or(self.deadline_left, |longest| {
            self.deadline_left.min(longest)
        })
    }
}

impl Stop {
    /// Records that this process exits at `end`.
    pub(crate) fn begin(&self, end: Instant) {
        self.0.send_replace(Some(end));
    }

    /// Whether a request that starts at a target now ends before this process does.
    pub(crate) fn allows(&self, now: Instant, run_time: RunTime) -> bool {
        let end = *self.0.borrow();
        end.is_none_or(|end| now + run_time.longest() <= end)
    }

    /// Returns once a request that takes this long at most could not start any more.
    pub(crate) async fn disallows(&self, run_time: Duration) {
        let mut end = self.0.subscribe();
        let known = end.wait_for(Option::is_some).await.map(|end| *end);
        if let Ok(Some(end)) = known {
            let last_start = end.checked_sub(run_time).unwrap_or_else(Instant::now);
            tokio::time::sleep_until(last_start.into()).await;
        }
    }
}

#[cfg(test)]
mod tests;
