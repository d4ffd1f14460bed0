//! Decides which instances watch the store, and which try to reach it while it is
//! unavailable.
//!
//! While the store is unavailable or refuses some instances, each of them would try to
//! reach it. Failed calls are load too, so their number must not grow with the number
//! of instances.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Time for which too few instances must watch before another one starts: three
/// heartbeats, so that a watcher that only renews its watch is not replaced.
const TAKEOVER_DELAY: Duration = Duration::from_millis(300);
/// Time after which as many instances more ask the store while the copies are in doubt. In a small
/// membership all have heard by then what the first ones learned; through relays it takes longer,
/// and more may ask than needed. All steps lie within the rest of the propagation limit.
const DOUBT_STEP: Duration = Duration::from_millis(200);
/// Maximum number of instances with recently failed calls that are skipped. If that
/// many fail, the store is unavailable: when it refuses a third of the instances, so
/// many do not fail in a row.
const MAX_SKIPPED_FAILURES: usize = 12;

/// An instance's access to the store, as reported to peers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum StoreAccess {
    /// It has not had to watch recently.
    #[default]
    Unused,
    /// Its own watch is up to date.
    Watching,
    /// Its last call failed, and it backs off before the next.
    Lost,
}

/// An instance in the order of watchers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Watcher {
    /// Position in the order, highest first; the same at every instance.
    pub weight: u64,
    /// Its access to the store.
    pub access: StoreAccess,
}

/// Whether `own` should start or continue to watch beside the live `others`, when
/// `wanted` instances should and too few have for the time `lacking`. Instances whose
/// last call failed are skipped so that the next ones in the order try.
///
/// If no instance has had an answer of the store for too long, which is given as the time since
/// then in `doubt`, watches that may never be answered count as failed calls, and more instances
/// try the longer it lasts.
#[must_use]
pub fn should_watch(
    own: Watcher,
    others: &[Watcher],
    wanted: usize,
    lacking: Duration,
    doubt: Option<Duration>,
) -> bool {
    let ahead = |access| {
        others
            .iter()
            .filter(|other| other.access == access && other.weight > own.weight)
            .count()
    };
    if let Some(doubt) = doubt {
        let failed = ahead(StoreAccess::Lost) + ahead(StoreAccess::Watching);
        let skipped = failed.min(MAX_SKIPPED_FAILURES);
        let steps = usize::try_from(doubt.as_millis() / DOUBT_STEP.as_millis());
        let more = steps.unwrap_or(usize::MAX).saturating_mul(wanted);
        let allowed = wanted + more.min(MAX_SKIPPED_FAILURES - skipped);
        return ahead(StoreAccess::Unused) + failed - skipped < allowed;
    }
    if own.access == StoreAccess::Watching {
        return ahead(StoreAccess::Watching) < wanted;
    }
    let missing = wanted.saturating_sub(watching(others));
    let not_skipped = ahead(StoreAccess::Lost).saturating_sub(MAX_SKIPPED_FAILURES);
    lacking >= TAKEOVER_DELAY && ahead(StoreAccess::Unused) + not_skipped < missing
}

/// When the watches of the present watchers end.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct WatchSchedule {
    /// Time between the ends of two watches, whichever watchers they are of.
    pub interval: Duration,
    /// Longest wait of a watch.
    pub max_wait: Duration,
    /// Watchers before this one in the order.
    pub ahead: usize,
    /// All watchers.
    pub watching: usize,
}

impl WatchSchedule {
    /// Wait of the next watch, `since_change` after the last change of the copy. Each change
    /// starts all watches at the same time, but they end one after the other: an answer
    /// without changes, too, shows that the copies are up to date.
    #[must_use]
    pub fn wait(&self, since_change: Duration) -> Duration {
        let count = u32::try_from(self.watching.max(1)).unwrap_or(u32::MAX);
        let turn = u32::try_from(self.ahead + 1).unwrap_or(u32::MAX).min(count);
        let cycle = self.interval.saturating_mul(count).min(self.max_wait);
        let end = cycle.mul_f64(f64::from(turn) / f64::from(count));
        let into_cycle = since_change.as_secs_f64() % cycle.as_secs_f64().max(f64::EPSILON);
        let into_cycle = Duration::from_secs_f64(into_cycle);
        let wait = if into_cycle < end {
            end.saturating_sub(into_cycle)
        } else {
            (end + cycle).saturating_sub(into_cycle)
        };
        // A watch that ended a little early is not followed by one for the rest of its turn.
        if wait < self.interval / 2 {
            (wait + cycle).min(self.max_wait)
        } else {
            wait
        }
    }
}

/// Number of `instances` that watch.
#[must_use]
pub fn watching(instances: &[Watcher]) -> usize {
    let watches = |watcher: &&Watcher| watcher.access == StoreAccess::Watching;
    instances.iter().filter(watches).count()
}

#[cfg(test)]
mod tests;
