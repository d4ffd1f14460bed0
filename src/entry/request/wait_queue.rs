//! Requests that wait for capacity, in the order in which they are sent.
//!
//! For short times every target of a service may be full or cold.

use std::collections::BTreeSet;
use std::time::Duration;

use crate::units::Time;

/// Position of a request in the queue: by priority, then by due time.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Ticket {
    /// Priority of its route; 0 is the most urgent.
    pub priority: u32,
    /// When a response is due.
    pub due: Time,
    /// Distinguishes tickets of the same priority and due time.
    pub number: u64,
}

/// The queue of one service.
#[derive(Debug, Clone, Default)]
pub struct WaitQueue {
    tickets: BTreeSet<Ticket>,
    next_number: u64,
}

impl WaitQueue {
    /// Adds a request and returns its ticket.
    pub fn enqueue(&mut self, priority: u32, due: Time) -> Ticket {
        self.next_number += 1;
        let ticket = Ticket {
            priority,
            due,
            number: self.next_number,
        };
        self.tickets.insert(ticket);
        ticket
    }

    /// Removes a request.
    pub fn remove(&mut self, ticket: &Ticket) {
        self.tickets.remove(ticket);
    }

    /// Whether a request may take capacity now: `ticket` is first, or, without a
    /// ticket, no request of the same or a higher priority waits.
    #[must_use]
    pub fn may_proceed(&self, ticket: Option<&Ticket>, priority: u32) -> bool {
        let Some(first) = self.tickets.first() else {
            return true;
        };
        match ticket {
            Some(ticket) => first == ticket,
            None => priority < first.priority,
        }
    }

    /// Number of requests that precede a new one of `priority`.
    #[must_use]
    pub fn ahead_of(&self, priority: u32) -> usize {
        self.tickets
            .iter()
            .take_while(|ticket| ticket.priority <= priority)
            .count()
    }
}

/// Expected time until a new request is sent: the requests ahead and itself, divided by
/// the slots that this instance may use, each taking the typical service time.
#[must_use]
#[expect(clippy::cast_precision_loss, reason = "some thousand requests at most")]
pub fn expected_wait(ahead: usize, slots: f64, service_time: Duration) -> Duration {
    service_time.mul_f64((ahead as f64 + 1.0) / slots.max(1.0))
}

#[cfg(test)]
mod tests;
