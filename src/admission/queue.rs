//! Queue of the requests that wait for a slot.
//!
//! Requests are served by rank; within a rank, callers take turns; within a
//! caller, the earliest deadline comes first.

use std::time::Duration;

use indexmap::IndexMap;

use super::permit::{PermitId, SlotRequest};
use crate::names::CallerName;
use crate::resource::Rank;
use crate::units::Time;

/// Number of queued requests by which a caller must lead another caller of the
/// same rank before it loses a place in a full queue to that caller.
const MIN_DISPLACE_LEAD: usize = 2;

/// A queued request.
#[derive(Debug, Clone, PartialEq)]
pub struct QueuedRequest {
    /// The request.
    pub request: SlotRequest,
    /// Time at which the request is removed from the queue unserved.
    pub expires_at: Time,
}

/// The queued requests of one rank.
#[derive(Debug, Clone)]
struct Lane {
    rank: Rank,
    /// Highest turn that has been served.
    turn: u64,
    lines: IndexMap<CallerName, CallerLine>,
}

/// The queued requests of one caller and rank, by deadline.
#[derive(Debug, Clone, Default)]
struct CallerLine {
    /// Turn at which the caller is served next.
    turn: u64,
    queued: Vec<QueuedRequest>,
}

/// Queue of the requests that wait for a slot.
#[derive(Debug, Clone)]
pub struct Queue {
    lanes: Vec<Lane>,
    len: usize,
    /// Lower bound of `expires_at` of the queued requests; avoids scans that
    /// would find nothing.
    earliest_expiry: Time,
    take_turns: bool,
}

impl Default for Queue {
    fn default() -> Self {
        Self {
            lanes: Vec::new(),
            len: 0,
            earliest_expiry: Time::MAX,
            take_turns: true,
        }
    }
}

impl Queue {
    /// Creates an empty queue; without turns a rank is served by deadline
    /// alone.
    #[must_use]
    pub fn new(take_turns: bool) -> Self {
        Self {
            take_turns,
            ..Self::default()
        }
    }

    /// Number of queued requests.
    #[must_use]
    pub fn len(&self) -> usize {
        self.len
    }

    /// Whether no request is queued.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Number of requests that are served before a new one with this rank,
    /// caller and deadline.
    #[must_use]
    pub fn ahead(&self, request: &SlotRequest) -> usize {
        let more_urgent = self.lanes.iter().filter(|lane| lane.rank < request.rank);
        let before: usize = more_urgent.map(Lane::len).sum();
        let same = self.lanes.iter().find(|lane| lane.rank == request.rank);
        before + same.map_or(0, |lane| lane.ahead(request, self.take_turns))
    }

    /// Adds a request.
    pub fn push(&mut self, queued: QueuedRequest) {
        let rank = queued.request.rank;
        let index = self.lanes.partition_point(|lane| lane.rank < rank);
        if self.lanes.get(index).is_none_or(|lane| lane.rank != rank) {
            self.lanes.insert(index, Lane::new(rank));
        }
        self.earliest_expiry = self.earliest_expiry.min(queued.expires_at);
        self.lanes[index].push(queued);
        self.len += 1;
    }

    /// Removes the next request for which `fits` holds, the most urgent first.
    pub fn take(&mut self, mut fits: impl FnMut(&SlotRequest) -> bool) -> Option<QueuedRequest> {
        let take_turns = self.take_turns;
        let taken = self
            .lanes
            .iter_mut()
            .find_map(|lane| lane.take(take_turns, &mut fits))?;
        self.len -= 1;
        Some(taken)
    }

    /// Removes the request that must give its place to `request` in a full queue,
    /// if any.
    ///
    /// That is the last request of the least urgent rank; within one rank, it
    /// is the last request of the caller with the most queued requests.
    pub fn displace(&mut self, request: &SlotRequest) -> Option<QueuedRequest> {
        let lane = self.lanes.iter_mut().rev().find(|lane| lane.len() > 0)?;
        if lane.rank < request.rank {
            return None;
        }
        let own = lane
            .lines
            .get(&request.caller)
            .map_or(0, |l| l.queued.len());
        let longest = lane
            .lines
            .values_mut()
            .max_by_key(|line| line.queued.len())?;
        if lane.rank == request.rank && longest.queued.len() < own + MIN_DISPLACE_LEAD {
            return None;
        }
        let displaced = longest.queued.pop()?;
        self.len -= 1;
        Some(displaced)
    }

    /// Removes a request by its identifier.
    pub fn remove(&mut self, id: PermitId) -> Option<QueuedRequest> {
        let lines = self.lanes.iter_mut().flat_map(|lane| &mut lane.lines);
        for (_, line) in lines {
            if let Some(position) = line.queued.iter().position(|w| w.request.id == id) {
                self.len -= 1;
                return Some(line.queued.remove(position));
            }
        }
        None
    }

    /// Removes the requests that have waited too long at `now` or can't finish
    /// in time; `service` is the shortest time that a call takes once it has
    /// started.
    pub fn expire(&mut self, now: Time, service: Duration) -> Vec<QueuedRequest> {
        let horizon = now.after(service);
        if self.is_empty() || horizon < self.earliest_expiry {
            return Vec::new();
        }
        let is_late = |w: &mut QueuedRequest| now >= w.expires_at || horizon > w.request.deadline;
        let mut expired = Vec::new();
        for line in self.lanes.iter_mut().flat_map(|l| l.lines.values_mut()) {
            expired.extend(line.queued.extract_if(.., is_late));
        }
        self.len -= expired.len();
        let lines = self.lanes.iter().flat_map(|lane| lane.lines.values());
        let expiries = lines.flat_map(|line| line.queued.iter().map(|w| w.expires_at));
        self.earliest_expiry = expiries.min().unwrap_or(Time::MAX);
        expired
    }

    /// Removes every request.
    pub fn clear(&mut self) -> Vec<QueuedRequest> {
        self.len = 0;
        let lanes = std::mem::take(&mut self.lanes);
        lanes
            .into_iter()
            .flat_map(|lane| lane.lines.into_values())
            .flat_map(|line| line.queued)
            .collect()
    }
}

impl Lane {
    fn new(rank: Rank) -> Self {
        Self {
            rank,
            turn: 0,
            lines: IndexMap::new(),
        }
    }

    fn len(&self) -> usize {
        self.lines.values().map(|line| line.queued.len()).sum()
    }

    fn ahead(&self, request: &SlotRequest, take_turns: bool) -> usize {
        if !take_turns {
            let queued = self.lines.values().flat_map(|line| &line.queued);
            return queued
                .filter(|w| w.request.deadline <= request.deadline)
                .count();
        }
        let own = self.lines.get(&request.caller).map_or(0, |line| {
            line.queued
                .partition_point(|w| w.request.deadline <= request.deadline)
        });
        // Each other caller gets at most one turn for each turn of this caller.
        let others = self
            .lines
            .iter()
            .filter(|(name, _)| **name != request.caller);
        own + others
            .map(|(_, line)| line.queued.len().min(own + 1))
            .sum::<usize>()
    }

    fn push(&mut self, queued: QueuedRequest) {
        let turn = self.turn;
        let line = self.lines.entry(queued.request.caller.clone()).or_default();
        line.turn = line.turn.max(turn);
        let index = line
            .queued
            .partition_point(|w| w.request.deadline <= queued.request.deadline);
        line.queued.insert(index, queued);
    }

    fn take(
        &mut self,
        take_turns: bool,
        fits: &mut impl FnMut(&SlotRequest) -> bool,
    ) -> Option<QueuedRequest> {
        let mut best: Option<(u64, Time, usize, usize)> = None;
        for (index, line) in self.lines.values().enumerate() {
            let Some(position) = line.queued.iter().position(|w| fits(&w.request)) else {
                continue;
            };
            let turn = if take_turns { line.turn } else { 0 };
            let key = (
                turn,
                line.queued[position].request.deadline,
                index,
                position,
            );
            best = Some(best.map_or(key, |best| best.min(key)));
        }
        let (_, _, index, position) = best?;
        let (_, line) = self.lines.get_index_mut(index)?;
        let taken = line.queued.remove(position);
        let turn = line.turn;
        line.turn += 1;
        self.turn = self.turn.max(turn);
        // An empty line is kept until every other line has had the same turn,
        // so that its caller gains no extra turn by leaving and returning.
        self.lines
            .retain(|_, line| !line.queued.is_empty() || line.turn > turn);
        Some(taken)
    }
}

#[cfg(test)]
mod tests;
