//! What an attempt says of the version of its target.
//!
//! The same rule holds for both versions. What has another cause than the version is left
//! out: a target that was full or cold, a connection that had gone, a spell in which its
//! machine is slow.

use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::entry::request::retry::AttemptOutcome;
use crate::entry::shared::Shared;
use crate::entry::state::State;
use crate::entry::target::placement::Candidate;
use crate::names::ServiceName;
use crate::rollout::evidence::{Response, Side};

/// Multiple of the expected duration above which a response is slow. Service times vary by
/// a third of their mean; a slow version takes several times as long.
const SLOW_FACTOR: f64 = 3.0;

/// What is known of a target while an attempt runs there.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct Conditions {
    /// Typical service time of the route; zero until it is known, and then nothing is slow.
    pub service_time: Duration,
    /// Factor by which the target reports that work takes longer.
    pub slowness: f64,
    /// Requests that ran or waited there before this one.
    pub occupied: f64,
    /// Requests that it runs at a time.
    pub slots: f64,
    /// Whether it is warming up.
    pub cold: bool,
    /// Whether the connection was opened or checked right before.
    pub proven_connection: bool,
}

impl Conditions {
    /// Those of a target over a connection that is not known to be open.
    pub(crate) fn of(target: &Candidate, service_time: Duration) -> Self {
        Self {
            service_time,
            slowness: target
                .slowness_percent
                .map_or(1.0, |percent| percent / 100.0),
            occupied: target.occupied,
            slots: target.slots,
            cold: target.cold,
            proven_connection: false,
        }
    }

    fn is_full(&self) -> bool {
        self.occupied >= self.slots
    }

    /// Whether `took` is longer than the target's load and machine explain.
    fn is_slow(&self, took: Duration) -> bool {
        let waiting = (self.occupied + 1.0 - self.slots).max(0.0) / self.slots.max(1.0);
        if self.service_time.is_zero() {
            return false;
        }
        // As seconds, since loads may be absurd.
        let expected = self.service_time.as_secs_f64() * self.slowness.max(1.0) * (1.0 + waiting);
        took.as_secs_f64() > expected * SLOW_FACTOR
    }

    /// What an attempt that ended after `took` says; `None` if it says nothing.
    pub(crate) fn judge(&self, outcome: AttemptOutcome, took: Duration) -> Option<Response> {
        match outcome {
            AttemptOutcome::Answered if !self.is_slow(took) => Some(Response::Good),
            AttemptOutcome::Answered => (!self.cold).then_some(Response::Slow),
            AttemptOutcome::TargetFailed => Some(Response::Failed),
            AttemptOutcome::Lost => self.proven_connection.then_some(Response::Failed),
            AttemptOutcome::NotRun => (!self.is_full() && !self.cold).then_some(Response::Failed),
            AttemptOutcome::NotSent
            | AttemptOutcome::Declined
            | AttemptOutcome::Blocked
            | AttemptOutcome::Discarded
            | AttemptOutcome::BodyFailed => None,
        }
    }

    /// What an attempt that was cancelled after `took` says: one whose request was answered
    /// elsewhere, or has ended, is slow if it would have been.
    fn judge_cancelled(&self, took: Duration) -> Option<Response> {
        (self.is_slow(took) && !self.cold).then_some(Response::Slow)
    }
}

/// An attempt at a service whose roll-out is unfinished, from when it is sent. Dropping it
/// records a cancelled attempt.
#[derive(Debug)]
pub(crate) struct ObservedAttempt<'a> {
    shared: &'a Shared,
    service: ServiceName,
    route: Arc<str>,
    side: Side,
    /// Key of the target's run.
    run: u64,
    conditions: Conditions,
    sent: Instant,
    is_recorded: bool,
}

impl<'a> ObservedAttempt<'a> {
    /// Starts when the request is sent; `None` if its service has no unfinished roll-out.
    pub(crate) fn start(
        shared: &'a Shared,
        route: &Arc<str>,
        run: u64,
        conditions: Conditions,
    ) -> Option<Self> {
        let state = shared.state();
        let view = state.targets.run(run)?;
        let side = state.compared_side(view)?;
        Some(Self {
            shared,
            service: view.target.service.clone(),
            route: route.clone(),
            side,
            run,
            conditions,
            sent: Instant::now(),
            is_recorded: false,
        })
    }

    /// Records how the attempt ended; `None` if another target had the address.
    pub(crate) fn finish(mut self, state: &mut State, outcome: Option<AttemptOutcome>) {
        self.is_recorded = true;
        let conditions = self.conditions_now(state);
        let took = self.sent.elapsed();
        if let Some(response) = outcome.and_then(|outcome| conditions.judge(outcome, took)) {
            self.record(state, response);
        }
    }

    /// The worse of the conditions when it was sent and now.
    fn conditions_now(&self, state: &State) -> Conditions {
        let now = self.shared.now();
        let mut conditions = self.conditions;
        if let Some(view) = state.targets.run(self.run) {
            let curve = state.load_curve(&view.target.service);
            let at = view.candidate(now, &state.settings.zone, &curve);
            let slowness = at.slowness_percent.unwrap_or_default() / 100.0;
            conditions.slowness = conditions.slowness.max(slowness);
            conditions.cold |= at.cold;
        }
        conditions
    }

    fn record(&self, state: &mut State, response: Response) {
        state.record_version_response(&self.service, self.side, &self.route, self.run, response);
        let label = match self.side {
            Side::Old => "old",
            Side::New => "new",
        };
        let attempts = &self.shared.metrics.rollout_attempts;
        attempts.with_label_values(&[label]).inc();
    }
}

impl Drop for ObservedAttempt<'_> {
    fn drop(&mut self) {
        if self.is_recorded {
            return;
        }
        let mut state = self.shared.state();
        let conditions = self.conditions_now(&state);
        if let Some(response) = conditions.judge_cancelled(self.sent.elapsed()) {
            self.record(&mut state, response);
        }
    }
}

#[cfg(test)]
mod tests;
