//! Counts the slots of a shard's targets and selects the target of a grant.

use indexmap::IndexMap;

use super::TargetState;
use crate::admission::limit::LimitSettings;
use crate::names::TargetId;
use crate::units::Time;

/// Slots of the targets that may get calls.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Slots {
    /// Number of targets that are not leaving.
    pub targets: u32,
    /// Sum of their concurrency limits.
    pub total: u32,
    /// Calls that they can take beyond those in flight.
    pub free: u32,
}

type Targets = IndexMap<TargetId, TargetState>;

/// Counts the slots of the targets that are not leaving.
pub(super) fn count(targets: &Targets, now: Time, limit: &LimitSettings) -> Slots {
    let mut slots = Slots::default();
    for target in targets.values().filter(|target| !target.leaving) {
        let capacity = target.limit.max_in_flight(now, limit);
        slots.targets += 1;
        slots.total += capacity;
        slots.free += capacity.saturating_sub(target.in_flight);
    }
    slots
}

/// Returns the index of the target with the largest share of free slots; among
/// equals, the one whose last grant is the oldest.
pub(super) fn pick_target(
    targets: &Targets,
    now: Time,
    limit: &LimitSettings,
    excluded: &[TargetId],
) -> Option<usize> {
    let mut best: Option<(u64, u64, usize)> = None;
    for (index, (id, target)) in targets.iter().enumerate() {
        if target.leaving || excluded.contains(id) {
            continue;
        }
        let capacity = target.limit.max_in_flight(now, limit);
        if target.in_flight >= capacity {
            continue;
        }
        let used = (u64::from(target.in_flight) << 16) / u64::from(capacity);
        let key = (used, target.last_grant, index);
        best = Some(best.map_or(key, |best| best.min(key)));
    }
    best.map(|(_, _, index)| index)
}

/// Returns the median of the targets' recent latencies in microseconds, zero
/// when fewer than three are known.
pub(super) fn median_latency(targets: &Targets) -> u64 {
    let recent = targets
        .values()
        .map(|target| target.limit.recent_latency_us());
    let mut latencies: Vec<u64> = recent.filter(|recent| *recent != 0).collect();
    if latencies.len() < 3 {
        return 0;
    }
    let middle = latencies.len() / 2;
    *latencies.select_nth_unstable(middle).1
}
