//! Requests that wait for room, in the order in which they are to be sent.
//!
//! Load pattern: for a moment every target of a service is full or cold.

use std::collections::BTreeSet;
use std::time::Duration;

use crate::units::Time;

/// Place of a request in the line: the most urgent first, then by deadline.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Ticket {
    /// Rank of its route; 0 is the most urgent.
    pub priority: u32,
    /// When it must have been answered.
    pub due: Time,
    /// Tells tickets apart.
    pub number: u64,
}

/// The line of one service.
#[derive(Debug, Clone, Default)]
pub struct WaitQueue {
    tickets: BTreeSet<Ticket>,
    next_number: u64,
}

impl WaitQueue {
    /// Joins the line.
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

    /// Leaves the line.
    pub fn remove(&mut self, ticket: &Ticket) {
        self.tickets.remove(ticket);
    }

    /// Whether a request may take room now: `ticket` is first, or, without a ticket,
    /// nobody as urgent waits.
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

    /// Requests that go before a new one of `priority`.
    #[must_use]
    pub fn ahead_of(&self, priority: u32) -> usize {
        self.tickets
            .iter()
            .take_while(|ticket| ticket.priority <= priority)
            .count()
    }
}

/// Time until a new request would be sent: those ahead of it and itself, over the
/// slots that this instance's service has, each taking the usual time.
#[must_use]
#[expect(clippy::cast_precision_loss, reason = "some thousand requests at most")]
pub fn expected_wait(ahead_of: usize, slots: f64, service_time: Duration) -> Duration {
    service_time.mul_f64((ahead_of as f64 + 1.0) / slots.max(1.0))
}

#[cfg(test)]
mod tests;
