//! Decides what follows an attempt: deliver, retry, refuse or fail.

use crate::entry::model::RetrySafety;

/// Attempts that sent nothing, after which a request is refused.
pub const MAX_UNSENT: u32 = 4;
/// Targets beyond the route's own limit that may shed a request. A target that sheds a
/// request has not run it.
const EXTRA_SHED_ATTEMPTS: u32 = 2;

/// Outcome of one attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// Nothing was sent.
    NotSent,
    /// The target was checked first, and nothing was sent: it is slow or gone.
    Declined,
    /// Nothing was sent: the request was found to crash targets meanwhile.
    Blocked,
    /// The target states that it did not run the request.
    NotRun,
    /// A complete, signed response that reports success or an error of the request itself.
    Answered,
    /// The target failed to serve the request, which may have run.
    TargetFailed,
    /// No complete response arrived; the request may have run.
    Lost,
    /// The target responds, but this instance has no memory for the response. Another one would
    /// need as much.
    Discarded,
    /// The caller did not send the body whole; the part sent may have run.
    BodyFailed,
}

/// Outcomes of a request's attempts so far.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct AttemptHistory {
    /// Attempts that sent nothing.
    pub unsent: u32,
    /// Attempts that sent nothing after a check of the target.
    pub declined: u32,
    /// Attempts that a target shed.
    pub shed: u32,
    /// Attempts that may have run.
    pub ran: u32,
    /// Those of them without a complete response.
    pub lost: u32,
}

impl AttemptHistory {
    /// Records the outcome of an attempt.
    pub fn record(&mut self, outcome: AttemptOutcome) {
        self.lost += u32::from(outcome == AttemptOutcome::Lost);
        match outcome {
            AttemptOutcome::NotSent => self.unsent += 1,
            AttemptOutcome::Declined => self.declined += 1,
            AttemptOutcome::NotRun => self.shed += 1,
            AttemptOutcome::Blocked => {}
            AttemptOutcome::Answered
            | AttemptOutcome::TargetFailed
            | AttemptOutcome::Lost
            | AttemptOutcome::Discarded
            | AttemptOutcome::BodyFailed => self.ran += 1,
        }
    }

    /// Whether it is certain that no target ran the request.
    #[must_use]
    pub fn not_run(&self) -> bool {
        self.ran == 0
    }
}

/// The next step of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NextStep {
    /// Forward the target's response.
    Deliver,
    /// Send it to another target, without using the retry budget.
    Retry,
    /// Send it to another target if the retry budget allows it.
    RetryWithinBudget,
    /// Respond that it was not run.
    Refuse,
    /// Respond that it failed.
    Fail,
}

/// Decides the next step after an attempt that `history` includes.
///
/// Some targets may shed requests, lose responses or fail part of their requests while
/// others work.
#[must_use]
pub fn next(
    outcome: AttemptOutcome,
    retry_safety: RetrySafety,
    history: AttemptHistory,
    max_attempts: u32,
) -> NextStep {
    let may_run_again = retry_safety == RetrySafety::Safe && history.ran < max_attempts;
    match outcome {
        AttemptOutcome::Answered => NextStep::Deliver,
        AttemptOutcome::NotSent if history.unsent < MAX_UNSENT => NextStep::Retry,
        // The number of checks for a request is limited.
        AttemptOutcome::Declined => NextStep::Retry,
        AttemptOutcome::NotRun
            if history.shed + history.ran < max_attempts + EXTRA_SHED_ATTEMPTS =>
        {
            NextStep::RetryWithinBudget
        }
        AttemptOutcome::TargetFailed | AttemptOutcome::Lost if may_run_again => {
            NextStep::RetryWithinBudget
        }
        _ => without_retry(outcome, history),
    }
}

/// The next step when the request cannot be sent again.
#[must_use]
pub fn without_retry(outcome: AttemptOutcome, history: AttemptHistory) -> NextStep {
    match outcome {
        AttemptOutcome::Answered | AttemptOutcome::TargetFailed => NextStep::Deliver,
        _ if history.not_run() => NextStep::Refuse,
        AttemptOutcome::NotSent
        | AttemptOutcome::Declined
        | AttemptOutcome::Blocked
        | AttemptOutcome::NotRun
        | AttemptOutcome::Lost
        | AttemptOutcome::Discarded
        | AttemptOutcome::BodyFailed => NextStep::Fail,
    }
}

#[cfg(test)]
mod tests;
