//! Forwards one request from its caller to a target, with retries, hedging and
//! queueing.

mod ending;
mod queue_place;
mod requirements;
mod token;

use std::future::Future;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;

use self::queue_place::QueuePlace;
use crate::account::AccountCounts;
use crate::account::lease::Token;
use crate::entry::model::RetrySafety;
use crate::entry::request::admission::{AdmittedRequest, host};
use crate::entry::request::attempt::{AttemptPlan, CompletedAttempt};
use crate::entry::request::fingerprint::RequestFingerprints;
use crate::entry::request::hedge::{self, Progress};
use crate::entry::request::outbound::OutboundRequest;
use crate::entry::request::outcome::{
    DEFAULT_RETRY_AFTER, Outcome, RETRY_AFTER_ELSEWHERE, Refusal, implies_not_run, reply,
};
use crate::entry::request::retry::{self, AttemptHistory, AttemptOutcome, NextStep};
use crate::entry::request::upload::{self, UploadSettings};
use crate::entry::shared::Shared;
use crate::entry::target::placement;
use crate::entry::target::selection::{ChosenTarget, NoTarget};
use crate::http1::body::BodyError;
use crate::http1::client::Response;
use crate::http1::server::{Reply, Request};
use crate::names::{CallerName, TargetId};
use crate::platform::prepared::wire;

/// Interval at which a queued request checks for capacity when no finished request
/// signals any.
const CAPACITY_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Interval at which a running attempt is checked for hedging. Target load arrives with
/// the heartbeats, about half as often.
const HEDGE_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Serves one request of a caller.
pub(crate) async fn serve(shared: Arc<Shared>, req: Request) -> Reply {
    let meta = wire::request_meta(&req.headers);
    let id: Arc<str> = meta.id.as_deref().unwrap_or_default().into();
    let started = req.received;
    let mut account = None;
    let (outcome, reply) = match shared.admit(&req) {
        Ok(admitted) => {
            account.clone_from(&admitted.account);
            let left = meta.deadline.unwrap_or(admitted.route.timeout);
            let timeout = left.min(admitted.route.timeout);
            let identity = RequestIdentity::of(&req);
            let mut call = Call {
                shared: &shared,
                identity,
                fingerprints: RequestFingerprints::default(),
                outbound: Arc::new(OutboundRequest::new(
                    req,
                    meta,
                    &admitted,
                    started + timeout,
                )),
                deadline: started + timeout,
                admitted,
                history: AttemptHistory::default(),
                tried: Vec::new(),
                hedged: false,
                may_run: Arc::default(),
                progress: Progress::default(),
                token: None,
            };
            match call.wait_for_body().await {
                Ok(()) => call.run().await,
                Err(NotReceived::Failed(outcome)) => (outcome, reply(outcome, DEFAULT_RETRY_AFTER)),
                Err(NotReceived::Stopping) => call.refuse(Refusal::stopping()),
            }
        }
        Err(outcome) => {
            shared.log_denial(&id, &req, outcome);
            (outcome, reply(outcome, DEFAULT_RETRY_AFTER))
        }
    };
    shared
        .metrics
        .record_request(&outcome.to_string(), started.elapsed());
    let account = account.as_ref().map(|account| &account.name);
    if let Some(account) = account {
        let counts = AccountCounts {
            requests: 0,
            answered: (outcome == Outcome::Answered).into(),
            refused: implies_not_run(reply.status).into(),
        };
        shared.state().account_usage.add(account, counts);
    }
    if !matches!(outcome, Outcome::Answered) {
        tracing::info!(
            request = &*id,
            %outcome,
            account = account.map(CallerName::as_str),
            status = reply.status,
            version = shared.state().status.version,
            took_ms = millis(started.elapsed()),
            "request ended without success"
        );
    }
    reply
}

type Running<'a> = FuturesUnordered<Pin<Box<dyn Future<Output = CompletedAttempt> + Send + 'a>>>;

/// What tells requests apart, beside the body.
#[derive(Debug)]
struct RequestIdentity {
    host: String,
    method: String,
    target: String,
}

impl RequestIdentity {
    fn of(req: &Request) -> Self {
        Self {
            host: host(&req.headers).to_owned(),
            method: req.method.clone(),
            target: req.target.clone(),
        }
    }
}

/// Why a body is not waited for any longer.
#[derive(Debug, derive_more::From)]
enum NotReceived {
    /// The request ends with this outcome.
    Failed(Outcome),
    /// This instance shuts down before the request would have ended.
    #[from(ignore)]
    Stopping,
}

struct Call<'a> {
    shared: &'a Arc<Shared>,
    outbound: Arc<OutboundRequest>,
    identity: RequestIdentity,
    /// Identifies equal requests for the quarantine; known once a target may be taken.
    fingerprints: RequestFingerprints,
    admitted: AdmittedRequest,
    deadline: Instant,
    history: AttemptHistory,
    tried: Vec<TargetId>,
    hedged: bool,
    /// Set by running attempts once they send the request.
    may_run: Arc<AtomicBool>,
    /// Estimated progress of the last attempt.
    progress: Progress,
    /// Token of a limited account, with the account's key.
    token: Option<(u64, Token)>,
}

impl Call<'_> {
    /// Waits until enough of the body has arrived to take a target, and checks the
    /// quarantine.
    async fn wait_for_body(&mut self) -> Result<(), NotReceived> {
        let body = self.outbound.body.clone();
        let settings = UploadSettings::default();
        let stopping = self.shared.stop.disallows(self.deadline);
        tokio::pin!(stopping);
        loop {
            let arrival = body.arrival();
            if let Some(err) = body.failure() {
                self.log_body_failure(&err);
                return Err(self.body_outcome(&err, true).into());
            }
            if upload::may_take_target(&arrival, self.outbound.started.elapsed(), &settings) {
                break;
            }
            tokio::select! {
                () = body.arrived_since(arrival) => {}
                () = tokio::time::sleep_until(self.deadline.into()) => {
                    self.log_body_failure(&"the deadline passed");
                    return Err(Outcome::BodyTimedOut.into());
                }
                () = &mut stopping => return Err(NotReceived::Stopping),
            }
        }
        let identity = &self.identity;
        self.fingerprints =
            RequestFingerprints::new(&identity.host, &identity.method, &identity.target, &body);
        let now = self.shared.now();
        let is_blocked = self.shared.state().is_blocked(now, self.fingerprints);
        if is_blocked {
            self.log_blocked();
            return Err(Outcome::Quarantined.into());
        }
        Ok(())
    }

    /// The outcome of a request whose body can't be received whole. A newer configuration may
    /// allow one that is too long here.
    fn body_outcome(&self, err: &BodyError, not_run: bool) -> Outcome {
        let outcome = Outcome::of_body_failure(err, not_run);
        if outcome != Outcome::BodyTooLarge {
            return outcome;
        }
        match self.shared.state().refusal_over_limit() {
            Some(_) if !not_run => Outcome::Lost,
            Some(refusal) => refusal,
            None => outcome,
        }
    }

    async fn run(&mut self) -> (Outcome, Reply) {
        if let Err(refused) = self.take_token().await {
            return refused;
        }
        let mut running = Running::new();
        let mut failure: Option<Response> = None;
        let mut hedge_check = tokio::time::interval(HEDGE_CHECK_INTERVAL);
        hedge_check.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            if running.is_empty() {
                match self.acquire_target().await {
                    Ok(choice) => {
                        running.push(self.start_attempt(choice));
                        hedge_check.reset();
                    }
                    Err(refusal) => return self.end_without_target(failure, refusal),
                }
            }
            let may_hedge = running.len() == 1 && self.may_hedge();
            tokio::select! {
                biased;
                Some(completed) = running.next() => {
                    self.history.record(completed.outcome);
                    if running.is_empty() {
                        // What was sent is in the history.
                        self.may_run.store(false, Ordering::Relaxed);
                    }
                    if completed.outcome == AttemptOutcome::Declined {
                        // It may be selected again once its report is better.
                        self.tried.retain(|id| *id != completed.choice.id);
                    }
                    let next = retry::next(
                        completed.outcome,
                        self.admitted.route.retry_safety,
                        self.history,
                        self.admitted.route.max_attempts,
                    );
                    let next = if running.is_empty() { self.permitted(next, completed.outcome) } else { next };
                    match next {
                        NextStep::Deliver if completed.outcome == AttemptOutcome::Answered => return self.deliver(completed),
                        _ if !running.is_empty() => failure = completed.response.or(failure),
                        NextStep::Deliver => return self.deliver(completed),
                        NextStep::Retry | NextStep::RetryWithinBudget => failure = completed.response.or(failure),
                        NextStep::Refuse | NextStep::Fail => {
                            let reason = match completed.outcome {
                                AttemptOutcome::Blocked => NoTarget::Blocked,
                                _ => NoTarget::AllTried,
                            };
                            return self.end_without_target(failure, self.refusal(reason));
                        }
                    }
                }
                _ = hedge_check.tick(), if may_hedge => running.extend(self.hedge()),
                () = tokio::time::sleep_until(self.deadline.into()) => return self.time_out(),
            }
        }
    }

    /// Whether the request may be hedged and has not been yet.
    fn may_hedge(&self) -> bool {
        let route = &self.admitted.route;
        route.retry_safety == RetrySafety::Safe
            && !self.hedged
            && self.outbound.body.is_held_whole()
            && self.history.ran + 1 < route.max_attempts
    }

    /// The next step, if the start of the body is still held and the retry budget allows it.
    fn permitted(&self, next: NextStep, outcome: AttemptOutcome) -> NextStep {
        let permitted = match next {
            NextStep::Retry => self.outbound.body.is_replayable(),
            NextStep::RetryWithinBudget => self.outbound.body.is_replayable() && self.take_retry(),
            NextStep::Deliver | NextStep::Refuse | NextStep::Fail => true,
        };
        if permitted {
            next
        } else {
            retry::without_retry(outcome, self.history)
        }
    }

    fn take_retry(&self) -> bool {
        let now = self.shared.now();
        let taken = self.shared.state().take_retry(now, &self.admitted.service);
        if taken {
            self.shared.metrics.retries.inc();
        } else {
            tracing::info!(
                request = &*self.outbound.id,
                service = %self.admitted.service,
                "retry not sent: retry budget exhausted"
            );
        }
        taken
    }

    /// Starts a hedge beside the running attempt if it is worthwhile and the retry
    /// budget allows it.
    fn hedge<'b>(&mut self) -> Option<Pin<Box<dyn Future<Output = CompletedAttempt> + Send + 'b>>>
    where
        Self: 'b,
    {
        let now = self.shared.now();
        // Without one, no request can be said to be slow.
        let service_time = self.service_time()?;
        let requirements = self.requirements();
        let objective_left = self.objective_left();
        let mut state = self.shared.state();
        let slowness = state.slowness(now, self.tried.last()?);
        self.progress
            .advance(HEDGE_CHECK_INTERVAL, service_time, slowness);
        let current = self.progress.remaining(service_time, slowness);
        let is_worthwhile = |alternative| {
            let deadline_left = requirements.deadline_left;
            hedge::is_worthwhile(current, alternative, objective_left, deadline_left)
        };
        if !is_worthwhile(service_time) {
            return None;
        }
        let service = &self.admitted.service;
        let preference = state.preference(now, service, false);
        let choice = state
            .select_target(now, service, &requirements, &self.tried, preference)
            .ok()?;
        let alternative =
            placement::expected_duration(&choice.candidate, service_time, &state.tuning.placement);
        if !is_worthwhile(alternative) {
            state.release(choice.reserved());
            return None;
        }
        if !state.take_retry(now, service) {
            state.release(choice.reserved());
            self.hedged = true;
            tracing::info!(
                request = &*self.outbound.id,
                "hedge not sent: retry budget exhausted"
            );
            return None;
        }
        drop(state);
        self.hedged = true;
        self.shared.metrics.hedges.inc();
        tracing::info!(
            request = &*self.outbound.id,
            target = %choice.id,
            slowness,
            expected_here_ms = current.map(millis),
            expected_there_ms = millis(alternative),
            "hedge sent"
        );
        Some(self.start_attempt(choice))
    }

    fn start_attempt<'b>(
        &mut self,
        choice: ChosenTarget,
    ) -> Pin<Box<dyn Future<Output = CompletedAttempt> + Send + 'b>> {
        let now = self.shared.now();
        let service_time = self.service_time();
        let checks = self.history.declined;
        let check_path = self
            .shared
            .state()
            .begin_check(now, &choice, service_time, checks);
        let plan = AttemptPlan {
            at_most_once: self.admitted.route.retry_safety == RetrySafety::Never,
            fingerprints: self.fingerprints,
            check_path,
            requirements: self.requirements(),
            tried: self.tried.clone(),
            may_run: self.may_run.clone(),
        };
        self.tried.push(choice.id.clone());
        self.progress = Progress::default();
        let attempt = crate::entry::request::attempt::run(
            self.shared.clone(),
            self.outbound.clone(),
            choice,
            plan,
        );
        Box::pin(attempt)
    }

    /// Selects a target, queueing while there is no capacity.
    async fn acquire_target(&self) -> Result<ChosenTarget, Refusal> {
        let mut place = QueuePlace::new(self);
        loop {
            let freed = self.shared.capacity_freed.notified();
            if !self.shared.stop.allows(self.deadline) {
                return Err(Refusal::stopping());
            }
            match place.try_acquire() {
                Ok(choice) => return Ok(choice),
                Err(NoTarget::NoCapacity) => place.enqueue_or_refuse()?,
                Err(reason) if self.shared.state().status.cut_off => {
                    return Err(Refusal::new(reason, RETRY_AFTER_ELSEWHERE));
                }
                Err(reason) => return Err(self.refusal(reason)),
            }
            tokio::select! {
                () = freed => {}
                () = tokio::time::sleep(CAPACITY_POLL_INTERVAL) => {}
                () = tokio::time::sleep_until(self.deadline.into()) => {
                    return Err(self.refusal(NoTarget::TooLate));
                }
            }
        }
    }
}

fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}

#[cfg(test)]
mod tests;
