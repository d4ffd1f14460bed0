//! Which instances watch the store, and which try to while it can't be reached.
//!
//! Load pattern: the store is away, or refuses a part of the instances, and each of
//! many instances would try to reach it; every call counts, also one that fails.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Time for which too few instances must watch before another begins: three beats,
/// so that a watcher that only renews its watch is not replaced.
const TAKEOVER_DELAY: Duration = Duration::from_millis(300);
/// Instances whose calls have just failed that are passed over at most. When as many
/// fail, the store is away; were a third of all refused, so many in a row would not be.
const MAX_SKIPPED_FAILURES: usize = 12;

/// An instance's way to the store, as it tells its peers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum StoreAccess {
    /// It has not needed to watch lately.
    #[default]
    Unused,
    /// Its own watch is up to date.
    Watching,
    /// Its last call failed; it waits before the next.
    Lost,
}

/// An instance as a watcher.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Watcher {
    /// Its place in the order, the highest first; the same at every instance.
    pub weight: u64,
    /// Its way to the store.
    pub access: StoreAccess,
}

/// Whether `own` is to watch, or go on watching, beside the live `others`, when
/// `wanted` are to and too few have for the time `lacking`. Those whose call has just
/// failed are passed over, so that the next in the order try.
#[must_use]
pub fn should_watch(own: Watcher, others: &[Watcher], wanted: usize, lacking: Duration) -> bool {
    let ahead = |access| {
        others
            .iter()
            .filter(|other| other.access == access && other.weight > own.weight)
            .count()
    };
    if own.access == StoreAccess::Watching {
        return ahead(StoreAccess::Watching) < wanted;
    }
    let missing = wanted.saturating_sub(watching(others));
    let not_passed_over = ahead(StoreAccess::Lost).saturating_sub(MAX_SKIPPED_FAILURES);
    lacking >= TAKEOVER_DELAY && ahead(StoreAccess::Unused) + not_passed_over < missing
}

/// How many of `instances` watch.
#[must_use]
pub fn watching(instances: &[Watcher]) -> usize {
    let watches = |watcher: &&Watcher| watcher.access == StoreAccess::Watching;
    instances.iter().filter(watches).count()
}

#[cfg(test)]
mod tests;
