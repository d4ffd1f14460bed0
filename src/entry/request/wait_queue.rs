//! Requests that wait for capacity, in the order in which they are sent.
//!
//! For short times every target of a service may be full or cold. A request waits as long as
//! the work ahead of it and its own end within its caller's time, and is refused as soon as
//! they don't.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};
use std::time::Duration;

use indexmap::IndexMap;

use crate::account::FairShares;
use crate::entry::target::supply::Supply;
use crate::names::CallerName;
use crate::units::Time;

/// Minimum time between two searches for waiting requests that no longer end in time, so that
/// not each of them searches when a slot becomes free.
const REVIEW_INTERVAL: Duration = Duration::from_millis(20);

/// Whose requests go in order of the times by which they must start.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Flow {
    /// Priority of the requests; 0 is the most urgent.
    pub priority: u32,
    /// Their account; `None` for all requests without one.
    pub account: Option<CallerName>,
}

/// Place of a request in the queue.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Ticket {
    flow: Flow,
    place: Place,
}

/// Order of the requests of a flow.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Place {
    /// When it must start to end within its caller's time.
    latest_start: Time,
    /// Distinguishes requests that must start at the same time.
    number: u64,
}

/// The first request of a flow, in the order among flows: by priority, then by what their
/// accounts have had, then by when they must start.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Head {
    priority: u32,
    start: Duration,
    place: Place,
}

/// Waiting requests of a flow; at least one.
#[derive(Debug, Clone, Default)]
struct Waiting {
    /// Virtual start of the first one; see [`FairShares`].
    start: Duration,
    /// Their costs.
    places: BTreeMap<Place, Duration>,
    /// Sum of their costs.
    cost: Duration,
}

impl Waiting {
    fn head(&self, priority: u32) -> Option<Head> {
        let (place, _) = self.places.first_key_value()?;
        let start = self.start;
        Some(Head {
            priority,
            start,
            place: *place,
        })
    }
}

/// The queue of one service.
#[derive(Debug, Clone, Default)]
pub struct WaitQueue {
    waiting: IndexMap<Flow, Waiting>,
    heads: BTreeSet<Head>,
    /// By priority. The urgent requests of an account don't count for its others, which
    /// wait for them anyway.
    shares: IndexMap<u32, FairShares>,
    next_number: u64,
    reviewed_at: Time,
}

impl WaitQueue {
    /// Adds a request that takes `cost` of a target's time, unless it would end after its
    /// `deadline`, or would make one of its flow that waits already do so: the work of both
    /// doesn't fit, and the one that has just come can best go elsewhere.
    pub fn try_enqueue(
        &mut self,
        now: Time,
        flow: Flow,
        deadline: Time,
        cost: Duration,
        supply: &Supply,
    ) -> Option<Ticket> {
        self.remove_hopeless(now, supply);
        let ticket = self.enqueue(flow, deadline, cost);
        let hopeless = self.hopeless(now, supply);
        if hopeless.iter().any(|other| other.flow == ticket.flow) {
            self.remove(&ticket);
            return None;
        }
        Some(ticket)
    }

    /// Adds a request that takes `cost` of a target's time, and returns its ticket.
    fn enqueue(&mut self, flow: Flow, deadline: Time, cost: Duration) -> Ticket {
        self.next_number += 1;
        let place = Place {
            latest_start: deadline.before(cost),
            number: self.next_number,
        };
        let start = self.start_of(&flow);
        self.change(&flow, |waiting| {
            waiting.start = start;
            waiting.places.insert(place, cost);
            waiting.cost += cost;
        });
        Ticket { flow, place }
    }

    /// Removes the requests that would end after their deadlines by what the targets can run
    /// now; each finds out by [`Self::contains`].
    pub fn review(&mut self, now: Time, supply: &Supply) {
        if now.since(self.reviewed_at) >= REVIEW_INTERVAL {
            self.remove_hopeless(now, supply);
        }
    }

    fn remove_hopeless(&mut self, now: Time, supply: &Supply) {
        self.reviewed_at = now;
        for ticket in self.hopeless(now, supply) {
            self.remove(&ticket);
        }
    }

    /// The requests that would end after their deadlines. Those behind them don't wait for
    /// them.
    fn hopeless(&self, now: Time, supply: &Supply) -> Vec<Ticket> {
        let mut starts = supply.starts();
        let mut hopeless = Vec::new();
        self.visit_in_order(|head, ticket, cost| {
            // Slower targets than usual take longer for its own work too.
            let end = now.after(starts.next()).after(supply.run_time(cost));
            let deadline = head.place.latest_start.after(cost);
            if end > deadline {
                hopeless.push(ticket());
                false
            } else {
                starts.send(cost);
                true
            }
        });
        hopeless
    }

    /// Expected time until a new request is sent, if its caller has as much time as any.
    #[must_use]
    pub fn expected_wait(&self, flow: &Flow, supply: &Supply) -> Duration {
        let own = self.waiting.get(flow);
        let start = self.start_of(flow) + own.map(|own| own.cost).unwrap_or_default();
        let mut starts = supply.starts();
        self.visit_in_order(|head, _, cost| {
            if (head.priority, head.start) <= (flow.priority, start) {
                starts.send(cost);
            }
            true
        });
        starts.next()
    }

    /// Calls `visit` for each request in the order in which they are sent, with its ticket and
    /// cost; it returns whether the request counts as sent.
    fn visit_in_order(&self, mut visit: impl FnMut(Head, &dyn Fn() -> Ticket, Duration) -> bool) {
        let mut flows: Vec<_> = self
            .waiting
            .iter()
            .map(|(flow, waiting)| (flow, waiting.start, waiting.places.iter().peekable()))
            .collect();
        let mut heads = BinaryHeap::new();
        for (index, (flow, start, places)) in flows.iter_mut().enumerate() {
            let first = places.peek().map(|(place, _)| **place);
            heads.extend(first.map(|place| Reverse((flow.priority, *start, place, index))));
        }
        while let Some(Reverse((_, _, _, index))) = heads.pop() {
            let (flow, start, places) = &mut flows[index];
            let Some((place, cost)) = places.next() else {
                continue;
            };
            let head = Head {
                priority: flow.priority,
                start: *start,
                place: *place,
            };
            let ticket = || Ticket {
                flow: (*flow).clone(),
                place: *place,
            };
            if visit(head, &ticket, *cost) {
                *start += *cost;
            }
            let next = places.peek().map(|(place, _)| **place);
            heads.extend(next.map(|place| Reverse((flow.priority, *start, place, index))));
        }
    }

    /// Whether no request waits.
    #[cfg(test)]
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Whether a request still waits.
    #[must_use]
    pub fn contains(&self, ticket: &Ticket) -> bool {
        let waiting = self.waiting.get(&ticket.flow);
        waiting.is_some_and(|waiting| waiting.places.contains_key(&ticket.place))
    }

    /// Removes a request.
    pub fn remove(&mut self, ticket: &Ticket) {
        self.change(&ticket.flow, |waiting| {
            if let Some(cost) = waiting.places.remove(&ticket.place) {
                waiting.cost = waiting.cost.saturating_sub(cost);
            }
        });
    }

    /// Records that a request is sent, whether it has waited or not, so that its account's
    /// next one goes after those of accounts that have had less.
    pub fn record_sent(&mut self, flow: &Flow, cost: Duration) {
        let start = self.start_of(flow);
        let shares = self.shares.entry(flow.priority).or_default();
        let next = shares.record(flow.account.as_ref(), start, cost);
        self.change(flow, |waiting| waiting.start = next);
    }

    /// Whether a request may take capacity now: `ticket` is first, or, without a
    /// ticket, the request precedes all that wait.
    #[must_use]
    pub fn may_proceed(&self, ticket: Option<&Ticket>, flow: &Flow) -> bool {
        let Some(first) = self.heads.first() else {
            return true;
        };
        match ticket {
            Some(ticket) => first.place == ticket.place,
            None => (flow.priority, self.start_of(flow)) < (first.priority, first.start),
        }
    }

    /// Virtual start of the flow's next request.
    fn start_of(&self, flow: &Flow) -> Duration {
        if let Some(waiting) = self.waiting.get(flow) {
            return waiting.start;
        }
        let shares = self.shares.get(&flow.priority);
        let start = shares.map(|shares| shares.start_of(flow.account.as_ref()));
        start.unwrap_or_default()
    }

    fn change(&mut self, flow: &Flow, change: impl FnOnce(&mut Waiting)) {
        let mut waiting = self.waiting.swap_remove(flow).unwrap_or_default();
        if let Some(head) = waiting.head(flow.priority) {
            self.heads.remove(&head);
        }
        change(&mut waiting);
        if let Some(head) = waiting.head(flow.priority) {
            self.heads.insert(head);
            self.waiting.insert(flow.clone(), waiting);
        }
    }
}

#[cfg(test)]
mod tests;
