//! Takes one request from its caller to a target and back.

use std::future::Future;
use std::pin::Pin;
use std::sync::Arc;
use std::time::{Duration, Instant};

use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;

use super::attempt::{Attempted, Outbound};
use super::choice::{Choice, NoTarget};
use super::hedge::{self, Progress};
use super::model::{Repeat, Route};
use super::outcome::{COME_BACK, Outcome, Refusal, is_promise, pass_on, reply};
use super::placement::{self, Need};
use super::shared::Shared;
use super::verdict::{self, Fact, History, Next};
use super::waiting::{Ticket, expected_wait};
use crate::dispatch::quarantine::{Fingerprint, QuarantineStatus};
use crate::http1::client::Response;
use crate::http1::server::{Reply, Request};
use crate::names::{ServiceName, TargetId};
use crate::platform::prepared::wire;
use crate::units::Time;

/// Time between two looks for room where no end of a request announces it.
const LOOK_AGAIN: Duration = Duration::from_millis(20);
/// Time between two looks at whether a second attempt pays; figures of targets come
/// with the beats, about twice as far apart.
const HEDGE_LOOK: Duration = Duration::from_millis(50);
/// Part of the latency objective that work is assumed to take before it is known.
const ASSUMED_TYPICAL: f64 = 0.35;

/// Serves one request of a caller.
pub(crate) async fn serve(shared: Arc<Shared>, req: Request) -> Reply {
    let meta = wire::request_meta(&req.headers);
    let id: Arc<str> = meta.id.as_deref().unwrap_or_default().into();
    let began = req.received;
    let (outcome, reply) = match shared.admit(&req) {
        Ok(admitted) => {
            let left = meta.deadline.unwrap_or(admitted.route.timeout);
            let kept = left.min(admitted.route.timeout);
            let mut call = Call {
                shared: &shared,
                out: Arc::new(Outbound::new(
                    req,
                    meta,
                    admitted.route.name.clone(),
                    began + kept,
                )),
                until: began + kept,
                admitted,
                history: History::default(),
                tried: Vec::new(),
                hedged: false,
                progress: Progress::default(),
            };
            call.run().await
        }
        Err(outcome) => (outcome, reply(outcome, COME_BACK)),
    };
    shared
        .metrics
        .request(&outcome.to_string(), began.elapsed());
    if !matches!(outcome, Outcome::Answered) {
        tracing::info!(
            request = &*id,
            %outcome,
            status = reply.status,
            took_ms = millis(began.elapsed()),
            "request ended without success"
        );
    }
    reply
}

/// A request whose route is known.
#[derive(Debug)]
pub(crate) struct Admitted {
    /// The route.
    pub route: Arc<Route>,
    /// The service that takes it.
    pub service: ServiceName,
    /// What makes it the same request again.
    pub fingerprint: Fingerprint,
    /// Version of the configuration that it was admitted by.
    pub version: u64,
}

type Running<'a> = FuturesUnordered<Pin<Box<dyn Future<Output = Attempted> + Send + 'a>>>;

struct Call<'a> {
    shared: &'a Arc<Shared>,
    out: Arc<Outbound>,
    admitted: Admitted,
    until: Instant,
    history: History,
    tried: Vec<TargetId>,
    hedged: bool,
    /// How far the last attempt has come.
    progress: Progress,
}

impl Call<'_> {
    async fn run(&mut self) -> (Outcome, Reply) {
        let mut running = Running::new();
        let mut failure: Option<Response> = None;
        let mut look = tokio::time::interval(HEDGE_LOOK);
        look.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            if running.is_empty() {
                match self.place().await {
                    Ok(choice) => {
                        running.push(self.start(choice));
                        look.reset();
                    }
                    Err(refusal) => return self.end_without_target(failure, refusal),
                }
            }
            let may_hedge = running.len() == 1 && self.may_hedge();
            tokio::select! {
                biased;
                Some(done) = running.next() => {
                    self.history.note(done.fact);
                    let next = verdict::next(
                        done.fact,
                        self.admitted.route.repeat,
                        self.history,
                        self.admitted.route.max_attempts,
                    );
                    let next = if running.is_empty() { self.within_budget(next, done.fact) } else { next };
                    match next {
                        Next::Deliver if done.fact == Fact::Answered => return self.deliver(done),
                        _ if !running.is_empty() => failure = done.answer.or(failure),
                        Next::Deliver => return self.deliver(done),
                        Next::Again | Next::AgainWithinBudget => failure = done.answer.or(failure),
                        Next::Refuse | Next::Fail => {
                            return self.end_without_target(failure, Refusal::after(self.history, NoTarget::Tried));
                        }
                    }
                }
                _ = look.tick(), if may_hedge => running.extend(self.hedge()),
                () = tokio::time::sleep_until(self.until.into()) => return self.time_out(),
            }
        }
    }

    /// Whether the request may run twice, and hasn't yet.
    fn may_hedge(&self) -> bool {
        let route = &self.admitted.route;
        route.repeat == Repeat::Safe && !self.hedged && self.history.ran + 1 < route.max_attempts
    }

    fn within_budget(&self, next: Next, fact: Fact) -> Next {
        if next != Next::AgainWithinBudget || self.take_repeat() {
            return next;
        }
        verdict::without_repeat(fact, self.history)
    }

    fn take_repeat(&self) -> bool {
        let now = self.shared.now();
        let taken = self.shared.state().take_repeat(now, &self.admitted.service);
        if taken {
            self.shared.metrics.repeats.inc();
        } else {
            tracing::info!(
                request = &*self.out.id,
                service = %self.admitted.service,
                "no repeat: the budget is used up"
            );
        }
        taken
    }

    /// Sends a second attempt beside the running one if it pays.
    fn hedge<'b>(&mut self) -> Option<Pin<Box<dyn Future<Output = Attempted> + Send + 'b>>>
    where
        Self: 'b,
    {
        let now = self.shared.now();
        let typical = self.typical();
        let need = self.need(typical);
        let mut state = self.shared.state();
        let slowness = state.slowness(now, self.tried.last()?);
        self.progress.advance(HEDGE_LOOK, typical, slowness);
        let here = self.progress.remaining(typical, slowness);
        if !hedge::pays(here, typical, need.objective_left) {
            return None;
        }
        let service = &self.admitted.service;
        let choice = state.choose(now, service, &need, &self.tried).ok()?;
        let there = placement::expected_end(&choice.candidate, typical, &state.tuning.placement);
        if !hedge::pays(here, there, need.objective_left) {
            state.cancel(&choice.id);
            return None;
        }
        if !state.take_repeat(now, service) {
            state.cancel(&choice.id);
            self.hedged = true;
            tracing::info!(
                request = &*self.out.id,
                "no second attempt: the budget is used up"
            );
            return None;
        }
        drop(state);
        self.hedged = true;
        self.shared.metrics.hedges.inc();
        tracing::info!(
            request = &*self.out.id,
            target = %choice.id,
            slowness,
            expected_here_ms = here.map(millis),
            expected_there_ms = millis(there),
            "second attempt"
        );
        Some(self.start(choice))
    }

    fn start<'b>(
        &mut self,
        choice: Choice,
    ) -> Pin<Box<dyn Future<Output = Attempted> + Send + 'b>> {
        self.tried.push(choice.id.clone());
        self.progress = Progress::default();
        let once = self.admitted.route.repeat == Repeat::Never;
        let attempt = super::attempt::run(
            self.shared.clone(),
            self.out.clone(),
            choice,
            once,
            self.admitted.fingerprint,
        );
        Box::pin(attempt)
    }

    /// Chooses a target, waiting in line while there is no room.
    async fn place(&self) -> Result<Choice, Refusal> {
        let mut ticket = Waiting {
            call: self,
            ticket: None,
        };
        loop {
            let room = self.shared.room.notified();
            match ticket.try_place() {
                Ok(choice) => return Ok(choice),
                Err(NoTarget::Full) => ticket.join_or_give_up()?,
                Err(reason @ (NoTarget::None | NoTarget::Tried)) => {
                    return Err(Refusal::after(self.history, reason));
                }
            }
            tokio::select! {
                () = room => {}
                () = tokio::time::sleep(LOOK_AGAIN) => {}
                () = tokio::time::sleep_until(self.until.into()) => {
                    return Err(Refusal::new(NoTarget::Full, COME_BACK));
                }
            }
        }
    }

    fn typical(&self) -> Duration {
        let route = &self.admitted.route;
        let typical = self.shared.state().typical.of(&route.name);
        typical.unwrap_or_else(|| route.objective.mul_f64(ASSUMED_TYPICAL))
    }

    fn need(&self, typical: Duration) -> Need {
        let elapsed = self.out.began.elapsed();
        Need {
            typical,
            objective_left: self.admitted.route.objective.saturating_sub(elapsed),
            left: self.until.saturating_duration_since(Instant::now()),
        }
    }

    fn deliver(&self, done: Attempted) -> (Outcome, Reply) {
        let Some(answer) = done.answer else {
            return (Outcome::Lost, reply(Outcome::Lost, COME_BACK));
        };
        tracing::info!(
            request = &*self.out.id,
            route = &*self.admitted.route.name,
            version = self.admitted.version,
            service = %self.admitted.service,
            target = %done.choice.id,
            status = answer.status,
            slowness_percent = done.choice.candidate.slowness_percent,
            occupied = done.choice.candidate.occupied,
            slots = done.choice.candidate.slots,
            report_age_ms = done.choice.report_age.map(millis),
            attempts = self.tried.len(),
            hedged = self.hedged,
            took_ms = millis(self.out.began.elapsed()),
            "answered"
        );
        if done.fact == Fact::TargetFailed && is_promise(answer.status) {
            return (Outcome::Lost, reply(Outcome::Lost, COME_BACK));
        }
        let outcome = if done.fact == Fact::Answered {
            Outcome::Answered
        } else {
            Outcome::TargetFailed
        };
        (outcome, pass_on(answer))
    }

    fn refuse(&self, refusal: Refusal) -> (Outcome, Reply) {
        let now = self.shared.now();
        let service = &self.admitted.service;
        let census = self.shared.state().census(now, service);
        tracing::info!(
            request = &*self.out.id,
            route = &*self.admitted.route.name,
            version = self.admitted.version,
            %service,
            reason = %refusal.reason,
            ?census,
            unsent = self.history.unsent,
            shed = self.history.shed,
            come_back_ms = millis(refusal.wait),
            "refused: not run"
        );
        (Outcome::Refused, reply(Outcome::Refused, refusal.wait))
    }

    fn end_without_target(&self, failure: Option<Response>, refusal: Refusal) -> (Outcome, Reply) {
        if self.history.not_run() {
            return self.refuse(refusal);
        }
        match failure {
            Some(answer) if !is_promise(answer.status) => (Outcome::TargetFailed, pass_on(answer)),
            _ => (Outcome::Lost, reply(Outcome::Lost, refusal.wait)),
        }
    }

    /// Ends a request at its deadline; its attempts are cancelled.
    fn time_out(&self) -> (Outcome, Reply) {
        let now = self.shared.now();
        let last = self.tried.last();
        let slowness = last.map(|target| self.shared.state().slowness(now, target));
        tracing::info!(
            request = &*self.out.id,
            route = &*self.admitted.route.name,
            service = %self.admitted.service,
            target = self.tried.last().map(TargetId::as_str),
            slowness,
            attempts = self.tried.len(),
            deadline_ms = millis(self.until.duration_since(self.out.began)),
            "deadline passed"
        );
        (Outcome::TimedOut, reply(Outcome::TimedOut, COME_BACK))
    }
}

/// A request's place in the line; it leaves the line when it is dropped.
struct Waiting<'a, 'b> {
    call: &'a Call<'b>,
    ticket: Option<Ticket>,
}

impl Waiting<'_, '_> {
    fn try_place(&self) -> Result<Choice, NoTarget> {
        let call = self.call;
        let now = call.shared.now();
        let need = call.need(call.typical());
        let mut state = call.shared.state();
        let service = &call.admitted.service;
        let priority = call.admitted.route.priority;
        let may_go = state
            .waiting
            .get(service)
            .is_none_or(|line| line.may_go(self.ticket.as_ref(), priority));
        if !may_go {
            return Err(NoTarget::Full);
        }
        state.choose(now, service, &need, &call.tried)
    }

    /// Joins the line, or says when to come back once the request can't end within
    /// its objective any more.
    fn join_or_give_up(&mut self) -> Result<(), Refusal> {
        let call = self.call;
        let typical = call.typical();
        let left = call.need(typical).objective_left;
        if self.ticket.is_some() {
            return if typical > left {
                Err(Refusal::new(NoTarget::Full, typical))
            } else {
                Ok(())
            };
        }
        let mut state = call.shared.state();
        let slots = state.own_slots(&call.admitted.service);
        let line = state
            .waiting
            .entry(call.admitted.service.clone())
            .or_default();
        let priority = call.admitted.route.priority;
        let wait = expected_wait(line.ahead(priority), slots, typical);
        if wait + typical > left {
            return Err(Refusal::new(NoTarget::Full, wait));
        }
        let until = call.shared.now().after(left);
        self.ticket = Some(line.join(priority, until));
        tracing::info!(
            request = &*call.out.id,
            service = %call.admitted.service,
            expected_ms = millis(wait),
            "waits for room"
        );
        Ok(())
    }
}

impl Drop for Waiting<'_, '_> {
    fn drop(&mut self) {
        let Some(ticket) = self.ticket else {
            return;
        };
        let mut state = self.call.shared.state();
        if let Some(line) = state.waiting.get_mut(&self.call.admitted.service) {
            line.leave(&ticket);
        }
        drop(state);
        self.call.shared.room.notify_waiters();
    }
}

impl Shared {
    /// Finds the route and service of a request.
    fn admit(&self, req: &Request) -> Result<Admitted, Outcome> {
        let now: Time = self.now();
        let host = req
            .headers
            .get(http::header::HOST)
            .and_then(|host| host.to_str().ok())
            .unwrap_or_default();
        let path = req.target.split('?').next().unwrap_or_default();
        let mut state = self.state();
        let version = state.standing.version;
        if version == 0 {
            return Err(Outcome::NoConfiguration);
        }
        let route = state
            .routes
            .find(host, path)
            .cloned()
            .ok_or(Outcome::NoRoute)?;
        let fingerprint = super::attempt::fingerprint(host, req);
        if state.quarantine.status(now, fingerprint) == QuarantineStatus::Blocked {
            return Err(Outcome::Quarantined);
        }
        let service = state.deal(&route).ok_or(Outcome::NoRoute)?;
        state.note_request(now, &service);
        Ok(Admitted {
            route,
            service,
            fingerprint,
            version,
        })
    }
}

fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
