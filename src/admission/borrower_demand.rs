//! Decides how many permits an owner lends in advance, by the recent demand of
//! its borrowers.

use std::time::Duration;

use indexmap::IndexMap;

use crate::names::InstanceId;
use crate::units::Time;

/// Time within which the use of a lent permit must begin.
pub const LENT_PERMIT_TTL: Duration = Duration::from_millis(200);
/// Length of a period over which demand is counted.
const WINDOW: Duration = Duration::from_millis(200);
/// Number of calls in a window from which a borrower is lent permits.
const MIN_CALLS: u32 = 2;
/// Number of calls in a window for each of which one permit is lent.
const CALLS_PER_PERMIT: u32 = 8;

/// The recent demand of a shard's borrowers.
#[derive(Debug, Clone, Default)]
pub struct BorrowerDemand {
    borrowers: IndexMap<InstanceId, CallCounts>,
}

/// Number of calls of one borrower in the current and the previous window.
#[derive(Debug, Clone, Copy)]
struct CallCounts {
    since: Time,
    current: u32,
    previous: u32,
}

impl BorrowerDemand {
    /// Records calls that a borrower has made.
    pub fn record(&mut self, now: Time, borrower: &InstanceId, calls: u32) {
        let is_recent = |calls: &CallCounts| now < calls.since.after(WINDOW * 2);
        if !self.borrowers.contains_key(borrower) {
            self.borrowers.retain(|_, calls| is_recent(calls));
        }
        let entry = self
            .borrowers
            .entry(borrower.clone())
            .or_insert(CallCounts {
                since: now,
                current: 0,
                previous: 0,
            });
        if now >= entry.since.after(WINDOW) {
            let previous = if is_recent(entry) { entry.current } else { 0 };
            *entry = CallCounts {
                since: now,
                current: 0,
                previous,
            };
        }
        entry.current += calls;
    }

    /// Returns the number of permits to lend to a borrower that holds `held`
    /// when `free` slots are free beyond the reserve.
    ///
    /// Half of the free slots stay with the owner; the borrowers share the
    /// rest.
    #[must_use]
    pub fn permits_to_lend(&self, now: Time, borrower: &InstanceId, held: u32, free: u32) -> u32 {
        let is_active = |calls: &&CallCounts| {
            now < calls.since.after(WINDOW * 2) && calls.current.max(calls.previous) >= MIN_CALLS
        };
        let Some(calls) = self.borrowers.get(borrower).filter(is_active) else {
            return 0;
        };
        let active = self.borrowers.values().filter(is_active).count();
        let active = u32::try_from(active).unwrap_or(u32::MAX).max(1);
        let wanted = calls.current.max(calls.previous).div_ceil(CALLS_PER_PERMIT);
        let share = (free / 2).div_ceil(active).min(free / 2);
        wanted.saturating_sub(held).min(share)
    }
}

#[cfg(test)]
mod tests;
