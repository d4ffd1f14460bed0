//! How a request ends: the response to it, and the log line that says why.

use std::sync::atomic::Ordering;
use std::time::Duration;

use rand::Rng;

use super::{Call, millis};
use crate::entry::request::attempt::CompletedAttempt;
use crate::entry::request::outcome::{
    DEFAULT_RETRY_AFTER, Outcome, Refusal, Room, forward_response, implies_not_run, reply,
};
use crate::entry::request::retry::AttemptOutcome;
use crate::entry::target::selection::NoTarget;
use crate::http1::client::Response;
use crate::http1::server::Reply;
use crate::names::TargetId;
use crate::platform::prepared::wire;

impl Call<'_> {
    pub(super) fn deliver(&self, completed: CompletedAttempt) -> (Outcome, Reply) {
        let Some(response) = completed.response else {
            return (Outcome::Lost, reply(Outcome::Lost, DEFAULT_RETRY_AFTER));
        };
        tracing::info!(
            request = &*self.outbound.id,
            route = &*self.admitted.route.name,
            account = self.admitted.account_name(),
            version = self.admitted.version,
            service = %self.admitted.service,
            target = %completed.choice.id,
            status = response.status.as_u16(),
            signed = wire::response_meta(response.status, &response.headers).proven,
            slowness_percent = completed.choice.candidate.slowness_percent,
            occupied = completed.choice.candidate.occupied,
            slots = completed.choice.candidate.slots,
            report_age_ms = completed.choice.report_age.map(millis),
            attempts = self.tried.len(),
            hedged = self.hedged,
            body_bytes = self.outbound.body.arrival().received,
            took_ms = millis(self.outbound.started.elapsed()),
            "answered"
        );
        if completed.outcome == AttemptOutcome::TargetFailed
            && implies_not_run(response.status.as_u16())
        {
            return (Outcome::Lost, reply(Outcome::Lost, DEFAULT_RETRY_AFTER));
        }
        let outcome = if completed.outcome == AttemptOutcome::Answered {
            Outcome::Answered
        } else {
            Outcome::TargetFailed
        };
        (outcome, forward_response(response))
    }

    pub(super) fn log_blocked(&self) {
        tracing::info!(
            request = &*self.outbound.id,
            fingerprint = %self.fingerprints.path(),
            "blocked: the request has crashed targets"
        );
    }

    /// A refusal for this reason, with the time when there will be room by the load.
    pub(super) fn refusal(&self, reason: NoTarget) -> Refusal {
        let room = self
            .service_time()
            .map(|service_time| self.room(service_time));
        let draw = rand::rng().random();
        Refusal::without_target(reason, self.history.shed > 0, room, draw)
    }

    /// When there will be room for a request that usually takes `service_time`.
    fn room(&self, service_time: Duration) -> Room {
        let now = self.shared.now();
        let service = &self.admitted.service;
        let mut state = self.shared.state();
        let supply = state.supply(now, service, service_time);
        let queue = state.wait_queues.entry(service.clone()).or_default();
        Room {
            wait: queue.expected_wait(&self.admitted.flow(), &supply),
            run_time: supply.run_time(service_time),
        }
    }

    pub(super) fn refuse(&self, refusal: Refusal) -> (Outcome, Reply) {
        self.give_back_token();
        if refusal.reason == NoTarget::Blocked {
            self.log_blocked();
            let outcome = Outcome::Quarantined;
            return (outcome, reply(outcome, refusal.retry_after));
        }
        let now = self.shared.now();
        let service = &self.admitted.service;
        let counts = self.shared.state().target_counts(now, service);
        tracing::info!(
            request = &*self.outbound.id,
            route = &*self.admitted.route.name,
            account = self.admitted.account_name(),
            version = self.admitted.version,
            %service,
            reason = %refusal.reason,
            census = ?counts,
            unsent = self.history.unsent,
            shed = self.history.shed,
            come_back_ms = millis(refusal.retry_after),
            "refused: not run"
        );
        (
            Outcome::Refused,
            reply(Outcome::Refused, refusal.retry_after),
        )
    }

    pub(super) fn end_without_target(
        &self,
        failure: Option<Response>,
        refusal: Refusal,
    ) -> (Outcome, Reply) {
        if let Some(err) = self.outbound.body.failure() {
            self.log_body_failure(&err);
            let outcome = self.body_outcome(&err, self.history.not_run());
            return (outcome, reply(outcome, refusal.retry_after));
        }
        if self.history.not_run() {
            return self.refuse(refusal);
        }
        match failure {
            Some(response) if !implies_not_run(response.status.as_u16()) => {
                (Outcome::TargetFailed, forward_response(response))
            }
            _ => (Outcome::Lost, reply(Outcome::Lost, refusal.retry_after)),
        }
    }

    /// Ends a request at its deadline; its attempts are cancelled. One that no target got
    /// is refused.
    pub(super) fn time_out(&self) -> (Outcome, Reply) {
        if self.history.not_run() && !self.may_run.load(Ordering::Relaxed) {
            return self.refuse(self.refusal(NoTarget::TooLate));
        }
        let now = self.shared.now();
        let last = self.tried.last();
        let slowness = last.map(|target| self.shared.state().slowness(now, target));
        tracing::info!(
            request = &*self.outbound.id,
            route = &*self.admitted.route.name,
            account = self.admitted.account_name(),
            service = %self.admitted.service,
            target = self.tried.last().map(TargetId::as_str),
            slowness,
            attempts = self.tried.len(),
            deadline_ms = millis(self.deadline.duration_since(self.outbound.started)),
            "deadline exceeded"
        );
        (
            Outcome::TimedOut,
            reply(Outcome::TimedOut, DEFAULT_RETRY_AFTER),
        )
    }

    pub(super) fn log_body_failure(&self, cause: &dyn std::fmt::Display) {
        let arrival = self.outbound.body.arrival();
        tracing::info!(
            request = &*self.outbound.id,
            route = &*self.admitted.route.name,
            account = self.admitted.account_name(),
            %cause,
            received_bytes = arrival.received,
            declared_bytes = arrival.declared,
            took_ms = millis(self.outbound.started.elapsed()),
            "body not received"
        );
    }
}
