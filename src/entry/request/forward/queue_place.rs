//! A request's place in the queue of those that wait for capacity.

use std::time::Instant;

use rand::Rng;

use super::{Call, millis};
use crate::entry::request::outcome::{Refusal, return_after};
use crate::entry::request::retry::AttemptHistory;
use crate::entry::request::wait_queue::{Ticket, expected_wait};
use crate::entry::target::selection::{ChosenTarget, NoTarget};

/// A request's place in the wait queue. Dropping it removes the request from the queue.
pub(super) struct QueuePlace<'a, 'b> {
    call: &'a Call<'b>,
    ticket: Option<Ticket>,
    /// Whether it was drawn whether the request goes to a new version; only the first
    /// attempt is.
    is_drawn: bool,
}

impl<'a, 'b> QueuePlace<'a, 'b> {
    pub(super) fn new(call: &'a Call<'b>) -> Self {
        Self {
            call,
            ticket: None,
            is_drawn: call.history != AttemptHistory::default(),
        }
    }

    /// Selects a target if it is this request's turn.
    pub(super) fn try_acquire(&mut self) -> Result<ChosenTarget, NoTarget> {
        let call = self.call;
        let now = call.shared.now();
        let requirements = call.requirements(call.service_time());
        let mut state = call.shared.state();
        if state.is_blocked(now, call.fingerprints) {
            return Err(NoTarget::Blocked);
        }
        let service = &call.admitted.service;
        let flow = call.admitted.flow();
        // A request that left its target after a check keeps its turn.
        let has_turn = call.history.declined > 0 && self.ticket.is_none();
        let may_proceed = has_turn
            || state
                .wait_queues
                .get(service)
                .is_none_or(|queue| queue.may_proceed(self.ticket.as_ref(), &flow));
        if !may_proceed {
            return Err(NoTarget::NoCapacity);
        }
        let preference = state.preference(now, service, !self.is_drawn);
        self.is_drawn = true;
        let choice = state.select_target(now, service, &requirements, &call.tried, preference)?;
        if !has_turn {
            let queue = state.wait_queues.entry(service.clone()).or_default();
            queue.record_sent(&flow, requirements.service_time);
        }
        Ok(choice)
    }

    /// Joins the queue, or refuses the request with a time to retry after if it can no
    /// longer finish within its objective.
    pub(super) fn enqueue_or_refuse(&mut self) -> Result<(), Refusal> {
        let call = self.call;
        let service_time = call.service_time();
        let left = call.requirements(service_time).objective_left;
        if self.ticket.is_some() {
            return if service_time > left {
                Err(self.refuse())
            } else {
                Ok(())
            };
        }
        let now = call.shared.now();
        let mut state = call.shared.state();
        let slots = state.slot_share(&call.admitted.service);
        let queue = state
            .wait_queues
            .entry(call.admitted.service.clone())
            .or_default();
        let flow = call.admitted.flow();
        let wait = expected_wait(queue.ahead_of(&flow), slots, service_time);
        if wait + service_time > left {
            drop(state);
            return Err(self.refuse());
        }
        let due = now.after(left);
        self.ticket = Some(queue.enqueue(flow, due, service_time));
        tracing::info!(
            request = &*call.outbound.id,
            service = %call.admitted.service,
            account = call.admitted.account_name(),
            expected_ms = millis(wait),
            "request queued"
        );
        Ok(())
    }

    /// Refuses the request, which will be late whenever its caller returns.
    fn refuse(&self) -> Refusal {
        let left = self.call.deadline.saturating_duration_since(Instant::now());
        let retry_after = return_after(left, rand::rng().random());
        Refusal::new(NoTarget::NoCapacity, retry_after)
    }
}

impl Drop for QueuePlace<'_, '_> {
    fn drop(&mut self) {
        let Some(ticket) = self.ticket.take() else {
            return;
        };
        let mut state = self.call.shared.state();
        if let Some(queue) = state.wait_queues.get_mut(&self.call.admitted.service) {
            queue.remove(&ticket);
        }
        drop(state);
        self.call.shared.capacity_freed.notify_waiters();
    }
}
