//! A request's place in the queue of those that wait for capacity.

use super::{Call, millis};
use crate::entry::request::outcome::Refusal;
use crate::entry::request::retry::AttemptHistory;
use crate::entry::request::wait_queue::Ticket;
use crate::entry::target::placement::Requirements;
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
        let requirements = call.requirements();
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

    /// Joins the queue, or refuses the request with a time to retry after if the work ahead of
    /// it and its own no longer end within its caller's time.
    pub(super) fn enqueue_or_refuse(&mut self) -> Result<(), Refusal> {
        let call = self.call;
        let Requirements {
            service_time,
            deadline_left: left,
            ..
        } = call.requirements();
        let now = call.shared.now();
        let service = &call.admitted.service;
        let mut state = call.shared.state();
        let supply = state.supply(now, service, service_time);
        let queue = state.wait_queues.entry(service.clone()).or_default();
        if let Some(ticket) = &self.ticket {
            queue.review(now, &supply);
            return if queue.contains(ticket) {
                Ok(())
            } else {
                drop(state);
                Err(call.refusal(NoTarget::NoCapacity))
            };
        }
        let flow = call.admitted.flow();
        let wait = queue.expected_wait(&flow, &supply);
        let deadline = now.after(left);
        self.ticket = queue.try_enqueue(now, flow, deadline, service_time, &supply);
        if self.ticket.is_none() {
            drop(state);
            return Err(call.refusal(NoTarget::NoCapacity));
        }
        tracing::info!(
            request = &*call.outbound.id,
            %service,
            account = call.admitted.account_name(),
            expected_ms = millis(wait),
            left_ms = millis(left),
            "request queued"
        );
        Ok(())
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
