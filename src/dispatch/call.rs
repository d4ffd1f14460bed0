//! Runs one call: attempts, retries and hedging.

use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::time::Duration;

use futures_util::future::{Either, select};

use super::attempt::{TargetResponse, attempt};
use super::body::CallBody;
use super::crash;
use super::headers::Head;
use super::kind::ErrorKind;
use super::permits::{self, CallRequirements, HeldPermit};
use super::quarantine::{Fingerprint, QuarantineStatus};
use super::retry::{Progress, RetryDecision};
use crate::admission::permit::{CallReport, Refusal};
use crate::instance::Instance;
use crate::names::TargetId;

/// Longest wait for the permit of an attempt after the first.
const RETRY_PERMIT_TIMEOUT: Duration = Duration::from_millis(100);

/// A call that is ready to be dispatched.
pub(crate) struct Call {
    /// What the call requires of a permit.
    pub(crate) requirements: CallRequirements,
    /// Whether the call may run more than once.
    pub(crate) repeatable: bool,
    /// Whether the call has the most urgent priority; only such calls are hedged.
    pub(crate) urgent: bool,
    /// Caller's request without its body.
    pub(crate) head: Head,
    /// Largest request body to forward, in bytes.
    pub(crate) body_limit: u64,
}

/// Runs a call up to the head of its response.
///
/// # Errors
/// The kind of the last failure, or of an earlier one after which the call may have run.
pub(crate) async fn run(
    instance: &Arc<Instance>,
    mut call: Call,
    mut body: CallBody,
) -> Result<TargetResponse, ErrorKind> {
    let mut progress = Progress {
        attempts: 0,
        repeatable: call.repeatable,
        replayable: body.replayable(),
        depth: call.head.depth,
        deadline: call.requirements.deadline,
    };
    let mut reported = None;
    loop {
        let failure = match try_attempt(instance, &mut call, &mut body, &mut progress).await {
            Ok(response) => return Ok(response),
            Err(AttemptError::NotStarted(kind)) => return Err(reported.unwrap_or(kind)),
            Err(AttemptError::Failed(failure)) => failure,
        };
        if failure.kind == ErrorKind::TargetBroken {
            let fingerprint = crash::fingerprint(&call, &body);
            crash::check_after_broken_call(instance, failure.target, fingerprint).await;
        }
        let error = failure.kind.merge_earlier(reported);
        reported = Some(error);
        match instance
            .dispatch
            .decide_retry(instance, &call, &progress, failure.kind)
        {
            RetryDecision::GiveUp => return Err(error),
            RetryDecision::Retry { after } => {
                instance.metrics.retries.inc();
                tokio::time::sleep(after).await;
            }
        }
    }
}

/// Why an attempt returned no response.
enum AttemptError {
    /// It was not started; the call ends.
    NotStarted(ErrorKind),
    /// It failed; the call may be retried.
    Failed(Failure),
}

/// An attempt that failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Failure {
    kind: ErrorKind,
    target: SocketAddr,
}

impl Failure {
    /// The failure of a call after two attempts: its target is the one whose failure is
    /// reported.
    fn merge_earlier(self, earlier: Self) -> Self {
        let kind = self.kind.merge_earlier(Some(earlier.kind));
        let target = if kind == self.kind {
            self.target
        } else {
            earlier.target
        };
        Self { kind, target }
    }
}

async fn try_attempt(
    instance: &Arc<Instance>,
    call: &mut Call,
    body: &mut CallBody,
    progress: &mut Progress,
) -> Result<TargetResponse, AttemptError> {
    let suspect = check_quarantine(instance, call, body)?;
    progress.attempts += 1;
    let held = acquire_permit(instance, &call.requirements, progress.attempts).await?;
    call.requirements.excluded.push(held.target.clone());
    let target = held.address;
    let failed = |kind| AttemptError::Failed(Failure { kind, target });
    let Some(fingerprint) = suspect else {
        let delay = hedge_delay(instance, call, progress);
        let attempt_body = body.take(call.body_limit);
        let mut hedge_target = None;
        let response = {
            let first = attempt(instance, call, held, progress.attempts, attempt_body);
            let mut first =
                std::pin::pin!(async { first.await.map_err(|kind| Failure { kind, target }) });
            match delay {
                None => first.await,
                Some(delay) => {
                    let first = first.as_mut();
                    hedged(
                        instance,
                        call,
                        body,
                        progress,
                        delay,
                        first,
                        &mut hedge_target,
                    )
                    .await
                }
            }
        };
        // A later retry goes to neither of the two targets.
        call.requirements.excluded.extend(hedge_target);
        return response.map_err(AttemptError::Failed);
    };
    let Some(_guard) = SuspectGuard::begin(instance, target, fingerprint) else {
        held.release(instance, CallReport::unsent());
        return Err(failed(ErrorKind::NoTarget));
    };
    let body = body.take(call.body_limit);
    let response = Box::pin(attempt(instance, call, held, progress.attempts, body)).await;
    if response.is_ok() {
        let now = instance.tables.clock.now();
        instance
            .dispatch
            .quarantine()
            .record_response(now, fingerprint);
    }
    response.map_err(failed)
}

/// Returns the call's fingerprint if it is suspected of crashing targets.
fn check_quarantine(
    instance: &Instance,
    call: &Call,
    body: &CallBody,
) -> Result<Option<Fingerprint>, AttemptError> {
    if instance.dispatch.quarantine().is_empty() {
        return Ok(None);
    }
    let fingerprint = crash::fingerprint(call, body);
    let now = instance.tables.clock.now();
    match instance.dispatch.quarantine().status(now, fingerprint) {
        QuarantineStatus::Clear => Ok(None),
        QuarantineStatus::Suspect => Ok(Some(fingerprint)),
        QuarantineStatus::Blocked => Err(AttemptError::NotStarted(ErrorKind::Quarantined)),
    }
}

/// Keeps other suspects off a target until dropped.
struct SuspectGuard<'a> {
    instance: &'a Instance,
    target: SocketAddr,
}

impl<'a> SuspectGuard<'a> {
    fn begin(instance: &'a Instance, target: SocketAddr, fingerprint: Fingerprint) -> Option<Self> {
        let started = instance
            .dispatch
            .quarantine()
            .try_start_suspect(target, fingerprint);
        started.then_some(Self { instance, target })
    }
}

impl Drop for SuspectGuard<'_> {
    fn drop(&mut self) {
        self.instance
            .dispatch
            .quarantine()
            .finish_suspect(self.target);
    }
}

/// Acquires a permit; attempts after the first wait at most [`RETRY_PERMIT_TIMEOUT`].
async fn acquire_permit(
    instance: &Arc<Instance>,
    requirements: &CallRequirements,
    attempt: u32,
) -> Result<HeldPermit, AttemptError> {
    let started = instance.tables.clock.now();
    let acquire = permits::acquire(instance, requirements);
    let held = if attempt == 1 {
        acquire.await
    } else {
        tokio::time::timeout(RETRY_PERMIT_TIMEOUT, acquire)
            .await
            .unwrap_or(Err(Refusal::Full))
    };
    let waited = instance.tables.clock.now().since(started);
    instance.metrics.record_permit_wait(waited);
    held.map_err(|refusal| AttemptError::NotStarted(refusal.into()))
}

/// Returns the delay after which the first attempt is hedged, `None` if the call is
/// not eligible.
fn hedge_delay(instance: &Instance, call: &Call, progress: &Progress) -> Option<Duration> {
    let eligible = call.urgent
        && progress.repeatable
        && progress.replayable
        && progress.depth == 0
        && progress.attempts == 1;
    eligible
        .then(|| instance.dispatch.hedge_delay(&call.requirements.service))
        .flatten()
}

/// Waits for the first attempt and, if it is slow, runs a second one in parallel.
///
/// The attempt that responds later is dropped, which cancels it. `hedge_target` is set to
/// the target of the second one.
async fn hedged(
    instance: &Arc<Instance>,
    call: &Call,
    body: &mut CallBody,
    progress: &mut Progress,
    delay: Duration,
    mut first: Pin<&mut impl Future<Output = Result<TargetResponse, Failure>>>,
    hedge_target: &mut Option<TargetId>,
) -> Result<TargetResponse, Failure> {
    tokio::select! {
        response = &mut first => return response,
        () = tokio::time::sleep(delay) => {}
    }
    if !instance.dispatch.take_retry_budget(instance, call) {
        return first.await;
    }
    progress.attempts += 1;
    instance.metrics.hedges.inc();
    let second = async {
        let held = acquire_permit(instance, &call.requirements, progress.attempts).await;
        let held = held.map_err(|_| None)?;
        let target = held.address;
        *hedge_target = Some(held.target.clone());
        let body = body.take(call.body_limit);
        let response = attempt(instance, call, held, progress.attempts, body).await;
        response.map_err(|kind| Some(Failure { kind, target }))
    };
    match select(first, Box::pin(second)).await {
        Either::Left((Ok(response), _)) | Either::Right((Ok(response), _)) => Ok(response),
        Either::Left((Err(failure), second)) => second
            .await
            .map_err(|other| other.map_or(failure, |other| other.merge_earlier(failure))),
        Either::Right((Err(other), first)) => first
            .await
            .map_err(|failure| other.map_or(failure, |other| failure.merge_earlier(other))),
    }
}

#[cfg(test)]
mod tests;
