//! Whether this instance reaches the targets at all.
//!
//! A partition may separate an instance from all targets while callers, the store and its
//! peers still reach it. From one instance, that looks like a crash of all targets. What
//! tells them apart are targets that peers report as reachable: a few of them are checked
//! over new connections. Open connections may live on.

use std::time::Duration;

use indexmap::IndexSet;

use crate::units::Time;

/// Targets that are checked at a time.
pub const CHECKED_TARGETS: usize = 3;
/// Failed checks, without a success, after which the instance counts as cut off; fewer if
/// peers vouch for fewer targets.
const MIN_FAILED_CHECKS: usize = 2;
/// Targets that could not be connected to from which the others are checked.
const MIN_FAILING: usize = 2;
/// Interval of checks while the result is open.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Interval of checks while cut off.
const CUT_OFF_CHECK_INTERVAL: Duration = Duration::from_millis(300);
/// Minimum time for which an instance counts as cut off. It doubles, up to the maximum, each
/// time when the targets are lost again within [`RELAPSE_WINDOW`], so that callers are not
/// sent to and fro when a partition comes and goes.
const MIN_CUT_OFF: Duration = Duration::from_secs(1);
/// Maximum of that time.
const MAX_MIN_CUT_OFF: Duration = Duration::from_secs(8);
/// Time after a return to the targets in which their loss is a relapse.
const RELAPSE_WINDOW: Duration = Duration::from_secs(10);

/// Results of the connects of this instance.
#[derive(Debug, Clone, Default)]
pub struct Reach {
    /// Runs of targets that could not be connected to since a new connection last worked.
    failing: IndexSet<u64>,
    /// When a connection last could not be opened.
    failed_at: Option<Time>,
    /// When a target last responded, or no peer reported any as reachable: failures before
    /// say something of their targets.
    confirmed_at: Option<Time>,
    cut_off_since: Option<Time>,
    /// When the targets were last reached again, and the minimum time before that.
    regained: Option<(Time, Duration)>,
    is_checking: bool,
    next_check: Time,
}

/// Change of [`Reach::is_cut_off`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReachChange {
    /// The instance no longer reaches the targets.
    Lost,
    /// It reaches them again.
    Regained,
}

impl Reach {
    /// Whether no target can be reached that others reach.
    #[must_use]
    pub fn is_cut_off(&self) -> bool {
        self.cut_off_since.is_some()
    }

    /// Records that no connection to a run of a target could be opened, or that it answered
    /// nothing.
    pub fn record_failure(&mut self, now: Time, run: u64) {
        self.failing.insert(run);
        self.failed_at = Some(now);
    }

    /// Records a response over a connection that was opened at `opened`.
    pub fn record_response(&mut self, now: Time, opened: Time) {
        self.confirmed_at = Some(now);
        if self.failed_at.is_some_and(|at| opened >= at) {
            self.failing.clear();
        }
    }

    /// Whether a failure that began at `started` says something of its target: another
    /// one has responded since, or peers reach none either.
    #[must_use]
    pub fn is_confirmed_since(&self, started: Time) -> bool {
        !self.is_cut_off() && self.confirmed_at.is_some_and(|at| at >= started)
    }

    /// Whether to check some targets now, and records that they are checked.
    pub fn try_begin_check(&mut self, now: Time) -> bool {
        let is_open = self.failing.len() >= MIN_FAILING
            || self
                .failed_at
                .is_some_and(|at| !self.is_confirmed_since(at));
        let is_due = !self.is_checking && now >= self.next_check;
        if !is_due || !(is_open || self.is_cut_off()) {
            return false;
        }
        self.is_checking = true;
        true
    }

    /// Whether a run of a target could not be connected to since a new connection worked.
    #[must_use]
    pub fn is_failing(&self, run: u64) -> bool {
        self.failing.contains(&run)
    }

    /// Minimum time for which the instance counts as cut off that lost the targets at `since`.
    fn min_cut_off(&self, since: Time) -> Duration {
        match self.regained {
            Some((at, before)) if since.since(at) <= RELAPSE_WINDOW => {
                (before * 2).min(MAX_MIN_CUT_OFF)
            }
            _ => MIN_CUT_OFF,
        }
    }

    /// Records the results of a check of targets that peers report as reachable.
    pub fn finish_check(
        &mut self,
        now: Time,
        responded: usize,
        failed: usize,
    ) -> Option<ReachChange> {
        self.is_checking = false;
        let checked = responded + failed;
        let change = match self.cut_off_since {
            None if responded > 0 => {
                self.failing.clear();
                self.failed_at = None;
                None
            }
            None if checked == 0 => {
                self.confirmed_at = Some(now);
                None
            }
            None if failed >= MIN_FAILED_CHECKS.min(checked) => {
                self.cut_off_since = Some(now);
                Some(ReachChange::Lost)
            }
            Some(since) if responded > 0 && failed == 0 => {
                let min_cut_off = self.min_cut_off(since);
                (now.since(since) >= min_cut_off).then(|| {
                    *self = Self {
                        regained: Some((now, min_cut_off)),
                        ..Self::default()
                    };
                    ReachChange::Regained
                })
            }
            _ => None,
        };
        let interval = if self.is_cut_off() {
            CUT_OFF_CHECK_INTERVAL
        } else {
            CHECK_INTERVAL
        };
        self.next_check = now.after(interval);
        change
    }
}

#[cfg(test)]
mod tests;
