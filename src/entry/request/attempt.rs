//! One attempt of a request at one target.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use crate::entry::request::fingerprint::RequestFingerprints;
use crate::entry::request::outbound::{DeclaredLength, OutboundRequest};
use crate::entry::request::pool::TargetConn;
use crate::entry::request::retry::AttemptOutcome;
use crate::entry::rollout::observed::{Conditions, ObservedAttempt};
use crate::entry::shared::Shared;
use crate::entry::target::placement::Requirements;
use crate::entry::target::probe;
use crate::entry::target::selection::{ChosenTarget, Reserved};
use crate::http1::client::{Conn, ExchangeError, OutgoingBody, OutgoingRequest, Response};
use crate::names::TargetId;
use crate::platform::prepared::wire;
use crate::rollout::evidence::Side;

/// Maximum body of a response, in bytes: some times the largest downloads.
const MAX_RESPONSE_BYTES: usize = 8 << 20;
/// Result of an attempt.
#[derive(Debug)]
pub(crate) struct CompletedAttempt {
    /// The target and the data that its selection used.
    pub choice: ChosenTarget,
    /// Outcome of the attempt.
    pub outcome: AttemptOutcome,
    /// The target's response, if it may be forwarded.
    pub response: Option<Response>,
}

/// How an attempt is made.
#[derive(Debug)]
pub(crate) struct AttemptPlan {
    /// Whether the request must not run more than once.
    pub at_most_once: bool,
    /// Identifies equal requests for the quarantine.
    pub fingerprints: RequestFingerprints,
    /// Path of the health check to send first; `None` to send the request at once.
    pub check_path: Option<Arc<str>>,
    /// What the request requires of its target.
    pub requirements: Requirements,
    /// Targets that the request does not go to instead.
    pub tried: Vec<TargetId>,
    /// Set once the request may run because of a running attempt.
    pub may_run: Arc<AtomicBool>,
}

/// Why an attempt has no response.
#[derive(Debug, derive_more::From)]
enum AttemptError {
    /// The exchange failed.
    Exchange(ExchangeError),
    /// The target was checked, and the request was not sent.
    #[from(ignore)]
    Declined(String),
    /// The request was found to crash targets after its target was chosen.
    #[from(ignore)]
    Blocked,
}

/// Sends a request to a target and records the result.
pub(crate) async fn run(
    shared: Arc<Shared>,
    outbound: Arc<OutboundRequest>,
    mut choice: ChosenTarget,
    plan: AttemptPlan,
) -> CompletedAttempt {
    let in_flight = InFlightGuard {
        shared: &shared,
        reserved: choice.reserved(),
    };
    let started = Instant::now();
    let mut observed = None;
    let result = exchange(&shared, &outbound, &mut choice, &plan, &mut observed).await;
    let (outcome, response) = shared.record_result(
        &outbound,
        &choice,
        started,
        plan.fingerprints,
        result,
        observed,
    );
    drop(in_flight);
    if outcome == AttemptOutcome::Lost {
        shared.record_broken_call(&choice, plan.fingerprints);
    }
    CompletedAttempt {
        choice,
        outcome,
        response,
    }
}

/// Counts a request as in flight at a target until it ends or is cancelled.
struct InFlightGuard<'a> {
    shared: &'a Shared,
    reserved: Reserved,
}

impl Drop for InFlightGuard<'_> {
    fn drop(&mut self) {
        self.shared.state().release(self.reserved);
        self.shared.capacity_freed.notify_waiters();
    }
}

async fn exchange<'a>(
    shared: &'a Shared,
    outbound: &OutboundRequest,
    choice: &mut ChosenTarget,
    plan: &AttemptPlan,
    observed: &mut Option<ObservedAttempt<'a>>,
) -> Result<Response, AttemptError> {
    let started = shared.now();
    let mut conn = acquire(shared, choice, plan.at_most_once).await?;
    if let Some(path) = &plan.check_path {
        shared.confirm_sending(choice)?;
        conn = check(shared, choice, conn, path, plan).await?;
    }
    // Connecting and the check took some time.
    if shared.state().is_blocked(shared.now(), plan.fingerprints) {
        shared.pool.put(shared.now(), &choice.id, conn, None);
        return Err(AttemptError::Blocked);
    }
    shared.confirm_sending(choice)?;
    let length = outbound.declared_length();
    let head = outbound.encode_head(&choice.id, length);
    let outgoing = OutgoingRequest {
        bytes: &head,
        body: (length != DeclaredLength::None).then(|| OutgoingBody {
            body: &outbound.body,
            chunked: length == DeclaredLength::Chunked,
        }),
        is_head: outbound.is_head,
        max_response_bytes: MAX_RESPONSE_BYTES,
        memory: Some(&shared.response_memory),
    };
    let follows_check = conn.is_checked;
    let matches_request = |response: &Response| {
        match wire::response_meta(response.status, &response.headers).id {
            Some(id) => *id == *outbound.id,
            // A late copy of the response to a health check.
            None => !(follows_check && response.status == 200),
        }
    };
    if choice.side.is_some() {
        let conditions = Conditions {
            proven_connection: plan.check_path.is_some() || conn.opened >= started,
            ..Conditions::of(&choice.candidate, plan.requirements.service_time)
        };
        *observed = ObservedAttempt::start(shared, &outbound.route, choice.run, conditions);
    }
    plan.may_run.store(true, Ordering::Relaxed);
    let response = conn.conn.exchange(&outgoing, matches_request).await?;
    let meta = wire::response_meta(response.status, &response.headers);
    let now = shared.now();
    {
        let mut state = shared.state();
        state.record_open_path(now, choice.run, conn.opened);
        state.record_notice(now, choice.run, &meta);
    }
    // A late copy of a response without an id could be taken for the next one.
    if meta.id.is_some() {
        shared.pool.put(now, &choice.id, conn, meta.idle_for);
    }
    Ok(response)
}

async fn acquire(
    shared: &Shared,
    choice: &ChosenTarget,
    at_most_once: bool,
) -> Result<TargetConn, ExchangeError> {
    let pooled = shared.pool.take(shared.now(), &choice.id, at_most_once);
    match pooled {
        Some(conn) => Ok(conn),
        None => connect(shared, choice).await,
    }
}

/// Sends a health check over the request's connection, and returns the connection if the
/// request is to be sent to the target.
async fn check(
    shared: &Shared,
    choice: &mut ChosenTarget,
    mut conn: TargetConn,
    path: &str,
    plan: &AttemptPlan,
) -> Result<TargetConn, AttemptError> {
    let timeout = shared.state().tuning.precheck.timeout;
    shared.metrics.prechecks.inc();
    conn.is_checked = true;
    let started = Instant::now();
    let checking = probe::check(&mut conn.conn, choice.address, path);
    let response = match tokio::time::timeout(timeout, checking).await {
        Ok(Ok(response)) => response,
        Ok(Err(err)) => {
            // The connection was gone, which says little about the target.
            let cause = err.to_string();
            drop(conn);
            shared.metrics.declined.inc();
            return Err(AttemptError::Declined(cause));
        }
        Err(_) => {
            let now = shared.now();
            shared.state().record_path_failure(now, choice.run);
            // The others hang too.
            shared.pool.remove(&choice.id);
            shared.metrics.declined.inc();
            return Err(AttemptError::Declined("no response to the check".into()));
        }
    };
    shared.record_round_trip(choice, started.elapsed());
    let now = shared.now();
    let meta = wire::response_meta(response.status, &response.headers);
    if meta
        .target
        .as_deref()
        .is_some_and(|id| id != choice.id.as_str())
    {
        if let Some(view) = shared.state().targets.run_mut(choice.run) {
            view.mark_down(now);
        }
        shared.metrics.declined.inc();
        return Err(AttemptError::Declined(
            "another target has the address".into(),
        ));
    }
    let confirmed = {
        let mut state = shared.state();
        if let Some(view) = state.targets.run_mut(choice.run) {
            view.record_response(now);
            if let Some(load) = meta.load {
                view.record_load_before(now, load, 1);
            }
            if let Some(left) = meta.cold_for {
                view.set_cold_for(now, left);
            }
        }
        state.record_open_path(now, choice.run, conn.opened);
        state.record_limit(now, now, choice.run, meta.limit);
        state.record_notice(now, choice.run, &meta);
        state.confirm_choice(now, choice, &plan.requirements, &plan.tried)
    };
    // A late copy of another status could be taken for the response to the request.
    let is_distinct = response.status == 200;
    if confirmed && !is_distinct {
        return Ok(connect(shared, choice).await?);
    }
    if confirmed && conn.conn.is_reusable() {
        return Ok(conn);
    }
    let cause = format!("the check reports {:?}", meta.load);
    if is_distinct {
        shared.pool.put(now, &choice.id, conn, meta.idle_for);
    }
    shared.metrics.declined.inc();
    Err(AttemptError::Declined(cause))
}

async fn connect(shared: &Shared, choice: &ChosenTarget) -> Result<TargetConn, ExchangeError> {
    let (limit, token) = {
        let mut state = shared.state();
        let token = state
            .targets
            .run_mut(choice.run)
            .map(|view| view.connections.clone());
        (state.tuning.connect_timeout, token)
    };
    let token = token.ok_or_else(|| ExchangeError::NotSent("the target was removed".into()))?;
    shared.metrics.connects.inc();
    let started = Instant::now();
    let opened = Conn::connect(choice.address, limit).await;
    if opened.is_ok() {
        shared.record_round_trip(choice, started.elapsed());
    } else {
        shared.metrics.connect_failures.inc();
        let now = shared.now();
        shared.state().record_path_failure(now, choice.run);
    }
    Ok(TargetConn {
        conn: opened?,
        opened: shared.now(),
        is_checked: false,
        _token: token,
    })
}

impl Shared {
    /// Confirms that the target was not found to be leaving or paused since it was chosen,
    /// and that no roll-out ended the requests to its version.
    fn confirm_sending(&self, choice: &ChosenTarget) -> Result<(), AttemptError> {
        let now = self.now();
        let mut state = self.state();
        if !state.may_send(now, choice.run) {
            let cause = "a roll-out ended the requests to its version";
            return Err(AttemptError::Declined(cause.into()));
        }
        let view = state.targets.run_mut(choice.run);
        match view.and_then(|view| view.sending_refusal(now)) {
            Some(reason) => Err(AttemptError::Declined(format!("{reason:?}"))),
            None => Ok(()),
        }
    }

    /// Records how long a target took to accept a connection or answer a check.
    fn record_round_trip(&self, choice: &ChosenTarget, took: Duration) {
        if let Some(view) = self.state().targets.run_mut(choice.run) {
            view.record_round_trip(took);
        }
    }

    /// Records that a call broke off on a target, and checks whether the target crashed.
    fn record_broken_call(
        self: &Arc<Self>,
        choice: &ChosenTarget,
        fingerprints: RequestFingerprints,
    ) {
        let now = self.now();
        let mut state = self.state();
        let is_first =
            state
                .quarantine
                .record_broken_call(now, choice.address, fingerprints.each());
        if is_first {
            let checking = probe::check_after_broken_call(self.clone(), choice.id.clone());
            tokio::spawn(checking);
        }
    }

    /// Classifies the result of an exchange and records what it says about the target.
    fn record_result(
        &self,
        outbound: &OutboundRequest,
        choice: &ChosenTarget,
        started: Instant,
        fingerprints: RequestFingerprints,
        result: Result<Response, AttemptError>,
        observed: Option<ObservedAttempt<'_>>,
    ) -> (AttemptOutcome, Option<Response>) {
        let now = self.now();
        let (outcome, response, cause) = classify(&outbound.id, result);
        let mut state = self.state();
        if let (Some(view), Some(response)) = (state.targets.run_mut(choice.run), &response) {
            let meta = wire::response_meta(response.status, &response.headers);
            view.record_response(now);
            if let Some(load) = meta.load {
                view.record_load(now, load);
            }
            if response.status == 421 {
                view.mark_down(now);
            } else {
                state.record_limit(now, now, choice.run, meta.limit);
            }
        }
        if let Some(view) = state.targets.run_mut(choice.run)
            && !matches!(
                outcome,
                AttemptOutcome::NotSent
                    | AttemptOutcome::Declined
                    | AttemptOutcome::Blocked
                    | AttemptOutcome::Discarded
                    | AttemptOutcome::BodyFailed
            )
        {
            view.record_outcome(now, outcome != AttemptOutcome::Answered);
        }
        if outcome == AttemptOutcome::Answered {
            for fingerprint in fingerprints.each() {
                state.quarantine.record_response(now, fingerprint);
            }
            if choice.side != Some(Side::New) {
                let service = &choice.service;
                let took = started.elapsed();
                state.record_service_time(&outbound.route, service, &choice.candidate, took);
            }
        }
        let is_elsewhere = response
            .as_ref()
            .is_some_and(|response| response.status == 421);
        if let Some(observed) = observed {
            observed.finish(&mut state, (!is_elsewhere).then_some(outcome));
        }
        let reported = state.targets.run_mut(choice.run).map(|view| {
            let age = view.probed_at.map(|at| now.since(at));
            (view.health, age)
        });
        drop(state);
        if outcome == AttemptOutcome::Answered {
            self.metrics.record_attempt(started.elapsed());
        } else {
            tracing::info!(
                request = &*outbound.id,
                path = &*outbound.path,
                fingerprint = %fingerprints.path(),
                target = %choice.id,
                address = %choice.address,
                fact = ?outcome,
                cause,
                health = ?reported.map(|(health, _)| health),
                probe_age_ms = reported.and_then(|(_, age)| age).map(millis),
                took_ms = millis(started.elapsed()),
                "attempt failed"
            );
        }
        (outcome, response)
    }
}

fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}

/// Returns the outcome of an exchange, the response if it may be forwarded, and the
/// cause of a failure.
fn classify(
    id: &str,
    result: Result<Response, AttemptError>,
) -> (AttemptOutcome, Option<Response>, String) {
    let response = match result {
        Ok(response) => response,
        Err(AttemptError::Declined(cause)) => return (AttemptOutcome::Declined, None, cause),
        Err(AttemptError::Blocked) => {
            let cause = "the request has crashed targets".into();
            return (AttemptOutcome::Blocked, None, cause);
        }
        Err(AttemptError::Exchange(err)) => {
            let outcome = match err {
                ExchangeError::NotSent(_) => AttemptOutcome::NotSent,
                ExchangeError::RequestBody(_) => AttemptOutcome::BodyFailed,
                ExchangeError::NoMemory => AttemptOutcome::Discarded,
                ExchangeError::Lost(_)
                | ExchangeError::TooLarge(_)
                | ExchangeError::Malformed(_) => AttemptOutcome::Lost,
            };
            return (outcome, None, err.to_string());
        }
    };
    let meta = wire::response_meta(response.status, &response.headers);
    let status = response.status.as_u16();
    let cause = format!("status {status}");
    if meta.not_run {
        return (AttemptOutcome::NotRun, Some(response), cause);
    }
    let matches_request = meta.id.as_deref() == Some(id);
    let is_encoded = response
        .headers
        .contains_key(http::header::CONTENT_ENCODING);
    // A middlebox or a faulty server may have made it while the request runs.
    let is_unproven = !meta.proven && (200..500).contains(&status);
    if !matches_request || is_encoded || is_unproven {
        return (
            AttemptOutcome::Lost,
            None,
            "the response does not match the request, is encoded or is not signed".into(),
        );
    }
    if status >= 500 || matches!(status, 408 | 429) {
        return (AttemptOutcome::TargetFailed, Some(response), cause);
    }
    (AttemptOutcome::Answered, Some(response), cause)
}

#[cfg(test)]
mod tests;
