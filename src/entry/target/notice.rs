//! What a run of a target says in its responses about further requests: that it is leaving,
//! or that it wants a pause. See `docs/design/leaving-and-pauses.md`.

use std::time::Duration;

use indexmap::IndexMap;

use crate::units::Time;

/// Longest pause that a target is granted. It covers an overload or a restart behind the
/// target; a mistaken value must not remove the target until it is started again.
pub const MAX_PAUSE: Duration = Duration::from_secs(5 * 60);
/// Time for which peers are told that a target is leaving. Its record says so by then.
const TOLD_FOR: Duration = Duration::from_secs(60);
/// Runs without a registration whose notices are kept: those of some minutes.
const MAX_UNREGISTERED: usize = 1024;

/// What a run of a target says about further requests.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct TargetNotice {
    /// When this instance learned that the run is leaving.
    leaving_since: Option<Time>,
    /// End of the pause that it wants from this instance.
    paused_until: Time,
}

impl TargetNotice {
    /// Whether the run says that it is leaving.
    #[must_use]
    pub fn is_leaving(&self) -> bool {
        self.leaving_since.is_some()
    }

    /// Records that the run is leaving; returns whether that is new.
    pub fn record_leaving(&mut self, now: Time) -> bool {
        let is_new = !self.is_leaving();
        self.leaving_since.get_or_insert(now);
        is_new
    }

    /// Whether to tell peers that the run is leaving.
    #[must_use]
    pub fn is_to_be_told(&self, now: Time) -> bool {
        self.leaving_since
            .is_some_and(|since| now.since(since) < TOLD_FOR)
    }

    /// Rest of the pause; `None` without one.
    #[must_use]
    pub fn pause_left(&self, now: Time) -> Option<Duration> {
        let left = self.paused_until.since(now);
        (!left.is_zero()).then_some(left)
    }

    /// Records that the run wants nothing from this instance for a time; returns whether a
    /// pause begins. Each response counts for itself, so a shorter time ends no earlier
    /// pause.
    pub fn record_pause(&mut self, now: Time, wanted: Duration) -> bool {
        let was_paused = self.pause_left(now).is_some();
        let until = now.after(wanted.min(MAX_PAUSE));
        self.paused_until = self.paused_until.max(until);
        !was_paused && self.pause_left(now).is_some()
    }
}

/// Notices of runs that are not registered, or not any more, by the runs' keys.
#[derive(Debug, Clone, Default)]
pub(super) struct UnregisteredNotices {
    by_run: IndexMap<u64, TargetNotice>,
}

impl UnregisteredNotices {
    /// Takes what is known of a run that registers.
    pub fn take(&mut self, run: u64) -> TargetNotice {
        self.by_run.shift_remove(&run).unwrap_or_default()
    }

    /// Keeps the notice of a run whose registration ended.
    pub fn keep(&mut self, run: u64, notice: TargetNotice) {
        if notice != TargetNotice::default() {
            self.by_run.insert(run, notice);
        }
        while self.by_run.len() > MAX_UNREGISTERED {
            self.by_run.shift_remove_index(0);
        }
    }

    /// Records that a run is leaving whose registration has not arrived.
    pub fn record_leaving(&mut self, now: Time, run: u64) {
        let mut notice = self.take(run);
        notice.record_leaving(now);
        self.keep(run, notice);
    }
}

#[cfg(test)]
mod tests;
