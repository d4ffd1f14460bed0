//! Allocates shares of a caller's limits to the instances by their demand, on
//! the caller's quota coordinator.
//!
//! A share expires by itself. The coordinator counts each share until it has
//! expired or the instance reports a later one, so that the sum of all shares
//! stays within the limit even when responses are lost.

use std::time::Duration;

use indexmap::IndexMap;

use super::caller::{CallerLimits, Demand, Share, even_share};
use crate::names::InstanceId;
use crate::units::Time;

/// Time for which an instance may use a share, counted from its request.
pub const SHARE_TTL: Duration = Duration::from_secs(2);
/// Time for which the coordinator counts a share, counted from its allocation.
const COUNTED_TTL: Duration = Duration::from_millis(2_100);

/// Shares of one caller's limits.
#[derive(Debug, Clone)]
pub struct ShareAllocator {
    /// Time of the first request for this caller.
    created_at: Time,
    holders: IndexMap<InstanceId, Holder>,
    /// Number of the last share allocated.
    number: u64,
    count_until_expiry: bool,
}

#[derive(Debug, Clone, Default)]
struct Holder {
    demand: Demand,
    /// Shares that the instance may still use, and until when they count.
    allocated: Vec<(Share, Time)>,
}

impl ShareAllocator {
    /// Creates the state of a caller for which no share has been requested.
    ///
    /// Without `count_until_expiry`, only the last share of each instance
    /// counts. Tests disable it to prove that the property test detects the
    /// excess.
    #[must_use]
    pub fn new(now: Time, count_until_expiry: bool) -> Self {
        Self {
            created_at: now,
            holders: IndexMap::new(),
            // Exceeds every number that this run allocated before it dropped
            // the caller's state.
            number: now.as_micros(),
            count_until_expiry,
        }
    }

    /// Allocates a share to an instance by its demand and that of the others.
    pub fn allocate(
        &mut self,
        now: Time,
        from: &InstanceId,
        demand: Demand,
        limits: &CallerLimits,
        members: usize,
    ) -> Share {
        for holder in self.holders.values_mut() {
            holder.allocated.retain(|(_, until)| now < *until);
        }
        self.holders
            .retain(|name, holder| name == from || !holder.allocated.is_empty());
        let holder = self.holders.entry(from.clone()).or_default();
        holder.demand = demand;
        holder
            .allocated
            .retain(|(share, _)| share.number >= demand.have);
        let mut share = self.demanded_share(from, limits);
        // A previous coordinator may have allocated shares that are still
        // valid.
        if members > 1 && now < self.created_at.after(COUNTED_TTL) {
            share = share.min(even_share(limits, members));
        }
        let mut share = share.min(self.remaining(from, limits));
        self.number += 1;
        share.number = self.number;
        if let Some(holder) = self.holders.get_mut(from) {
            if !self.count_until_expiry {
                holder.allocated.clear();
            }
            holder.allocated.push((share, now.after(COUNTED_TTL)));
        }
        share
    }

    /// Returns the share by demand alone.
    fn demanded_share(&self, from: &InstanceId, limits: &CallerLimits) -> Share {
        let fair_share = |limit: Option<f64>, demand: fn(&Demand) -> f64| {
            let demands: Vec<_> = self.holders.values().map(|h| demand(&h.demand)).collect();
            let index = self.holders.get_index_of(from).unwrap_or_default();
            max_min_fair_share(limit.unwrap_or_default(), &demands, index)
        };
        let in_flight = fair_share(limits.in_flight.map(f64::from), |demand| {
            f64::from(demand.wanted_in_flight)
        });
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "a share of a u32 limit"
        )]
        let in_flight = in_flight.ceil() as u32;
        Share {
            number: 0,
            calls_per_second: fair_share(limits.calls_per_second, |demand| demand.calls_per_second),
            in_flight,
            bytes_per_second: fair_share(limits.bytes_per_second, |demand| demand.bytes_per_second),
        }
    }

    /// Returns what the shares of the other instances leave of the limits.
    fn remaining(&self, from: &InstanceId, limits: &CallerLimits) -> Share {
        let mut remaining = Share {
            number: 0,
            calls_per_second: limits.calls_per_second.unwrap_or_default(),
            in_flight: limits.in_flight.unwrap_or_default(),
            bytes_per_second: limits.bytes_per_second.unwrap_or_default(),
        };
        let others = self.holders.iter().filter(|(name, _)| *name != from);
        for (_, holder) in others {
            let allocated = holder.allocated.iter().map(|(share, _)| *share);
            let mut held = allocated.reduce(Share::max).unwrap_or_default();
            // Calls in flight continue when a share is lowered.
            held.in_flight = held.in_flight.max(holder.demand.in_flight);
            remaining.calls_per_second =
                (remaining.calls_per_second - held.calls_per_second).max(0.0);
            remaining.in_flight = remaining.in_flight.saturating_sub(held.in_flight);
            remaining.bytes_per_second =
                (remaining.bytes_per_second - held.bytes_per_second).max(0.0);
        }
        remaining
    }

    /// Whether no allocated share counts any more.
    #[must_use]
    pub fn is_idle(&self, now: Time) -> bool {
        let mut allocated = self.holders.values().flat_map(|holder| &holder.allocated);
        allocated.all(|(_, until)| now >= *until)
    }
}

impl Share {
    fn min(self, other: Self) -> Self {
        Self {
            number: self.number,
            calls_per_second: self.calls_per_second.min(other.calls_per_second),
            in_flight: self.in_flight.min(other.in_flight),
            bytes_per_second: self.bytes_per_second.min(other.bytes_per_second),
        }
    }

    fn max(self, other: Self) -> Self {
        Self {
            number: self.number,
            calls_per_second: self.calls_per_second.max(other.calls_per_second),
            in_flight: self.in_flight.max(other.in_flight),
            bytes_per_second: self.bytes_per_second.max(other.bytes_per_second),
        }
    }
}

/// Returns the max-min fair share of `limit` for the demand at `index`: small
/// demands are met in full, larger ones share the rest evenly, and what is not
/// demanded is spread evenly.
fn max_min_fair_share(limit: f64, demands: &[f64], index: usize) -> f64 {
    let mut order: Vec<usize> = (0..demands.len()).collect();
    order.sort_by(|a, b| demands[*a].total_cmp(&demands[*b]));
    let mut remaining = limit;
    let mut unmet = f64::from(u32::try_from(demands.len()).unwrap_or(u32::MAX));
    let demand_count = unmet.max(1.0);
    let mut share = 0.0;
    for position in order {
        let met = demands[position].min(remaining / unmet);
        if position == index {
            share = met;
        }
        remaining -= met;
        unmet -= 1.0;
    }
    share + remaining / demand_count
}

#[cfg(test)]
mod tests;
