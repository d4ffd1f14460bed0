//! Requests that wait for capacity, in the order in which they are sent.
//!
//! For short times every target of a service may be full or cold.

use std::collections::BTreeSet;
use std::time::Duration;

use indexmap::IndexMap;

use crate::account::FairShares;
use crate::names::CallerName;
use crate::units::Time;

/// Whose requests go in order of their due times.
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
    cost: Duration,
}

/// Order of the requests of a flow.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Place {
    /// When a response is due.
    due: Time,
    /// Distinguishes requests of the same due time.
    number: u64,
}

/// The first request of a flow, in the order among flows: by priority, then by what their
/// accounts have had, then by due time.
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
    places: BTreeSet<Place>,
    /// Sum of their costs.
    cost: Duration,
}

impl Waiting {
    fn head(&self, priority: u32) -> Option<Head> {
        let place = *self.places.first()?;
        let start = self.start;
        Some(Head {
            priority,
            start,
            place,
        })
    }

    /// Number of its requests that precede one with this virtual start.
    fn count_before(&self, start: Duration) -> usize {
        let Some(later) = start.checked_sub(self.start) else {
            return 0;
        };
        let count = self.places.len();
        let mean_cost = self.cost.div_f64(count_as_f64(count).max(1.0));
        let mut next = Duration::ZERO;
        (0..count)
            .take_while(|_| {
                let precedes = next <= later;
                next += mean_cost;
                precedes
            })
            .count()
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
}

impl WaitQueue {
    /// Adds a request that takes `cost` of a target's time, and returns its ticket.
    pub fn enqueue(&mut self, flow: Flow, due: Time, cost: Duration) -> Ticket {
        self.next_number += 1;
        let place = Place {
            due,
            number: self.next_number,
        };
        let start = self.start_of(&flow);
        self.change(&flow, |waiting| {
            waiting.start = start;
            waiting.places.insert(place);
            waiting.cost += cost;
        });
        Ticket { flow, place, cost }
    }

    /// Removes a request.
    pub fn remove(&mut self, ticket: &Ticket) {
        self.change(&ticket.flow, |waiting| {
            if waiting.places.remove(&ticket.place) {
                waiting.cost = waiting.cost.saturating_sub(ticket.cost);
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

    /// Number of requests that precede a new one.
    #[must_use]
    pub fn ahead_of(&self, flow: &Flow) -> usize {
        let own = self.waiting.get(flow);
        let start = self.start_of(flow) + own.map(|own| own.cost).unwrap_or_default();
        let ahead = self.waiting.iter().map(|(other, waiting)| {
            if other.priority < flow.priority || other == flow {
                waiting.places.len()
            } else if other.priority > flow.priority {
                0
            } else {
                waiting.count_before(start)
            }
        });
        ahead.sum()
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

/// Expected time until a new request is sent: the requests ahead and itself, divided by
/// the slots that this instance may use, each taking the typical service time.
#[must_use]
pub fn expected_wait(ahead: usize, slots: f64, service_time: Duration) -> Duration {
    service_time.mul_f64((count_as_f64(ahead) + 1.0) / slots.max(1.0))
}

#[expect(clippy::cast_precision_loss, reason = "some thousand requests at most")]
fn count_as_f64(count: usize) -> f64 {
    count as f64
}

#[cfg(test)]
mod tests;
