//! What follows from an attempt: deliver, repeat, refuse or fail.

use super::model::Repeat;

/// Attempts that reached no target, after which a request is refused.
pub const MAX_UNSENT: u32 = 4;
/// Targets beyond the route's own limit that may shed a request; these did not run it.
const EXTRA_SHED_ATTEMPTS: u32 = 2;

/// What one attempt came to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// Nothing was sent.
    NotSent,
    /// The target states that it did not run the request.
    NotRun,
    /// A whole, proven answer of success or of the request's own fault.
    Answered,
    /// The target failed to serve the request; it may have run.
    TargetFailed,
    /// No whole answer came; the request may have run.
    Lost,
}

/// What the request has been through so far.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct AttemptHistory {
    /// Attempts of which nothing was sent.
    pub unsent: u32,
    /// Attempts that a target shed.
    pub shed: u32,
    /// Attempts that may have run.
    pub ran: u32,
}

impl AttemptHistory {
    /// Notes an attempt.
    pub fn record(&mut self, outcome: AttemptOutcome) {
        match outcome {
            AttemptOutcome::NotSent => self.unsent += 1,
            AttemptOutcome::NotRun => self.shed += 1,
            AttemptOutcome::Answered | AttemptOutcome::TargetFailed | AttemptOutcome::Lost => {
                self.ran += 1;
            }
        }
    }

    /// Whether it is certain that no target ran the request.
    #[must_use]
    pub fn not_run(&self) -> bool {
        self.ran == 0
    }
}

/// What to do next.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NextStep {
    /// Pass the target's answer on.
    Deliver,
    /// Send it to another target, free of the repeat budget.
    Retry,
    /// Send it to another target if the repeat budget has room.
    RetryWithinBudget,
    /// Say that it was not run.
    Refuse,
    /// Say that it failed.
    Fail,
}

/// What follows after an attempt, `history` including it.
///
/// Load pattern: targets that shed, lose answers or fail a part of their requests
/// while others are well.
#[must_use]
pub fn next(
    outcome: AttemptOutcome,
    repeat: Repeat,
    history: AttemptHistory,
    max_attempts: u32,
) -> NextStep {
    let may_run_again = repeat == Repeat::Safe && history.ran < max_attempts;
    match outcome {
        AttemptOutcome::Answered => NextStep::Deliver,
        AttemptOutcome::NotSent if history.unsent < MAX_UNSENT => NextStep::Retry,
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

/// What is left when the request can't be sent again.
#[must_use]
pub fn without_retry(outcome: AttemptOutcome, history: AttemptHistory) -> NextStep {
    match outcome {
        AttemptOutcome::Answered | AttemptOutcome::TargetFailed => NextStep::Deliver,
        _ if history.not_run() => NextStep::Refuse,
        AttemptOutcome::NotSent | AttemptOutcome::NotRun | AttemptOutcome::Lost => NextStep::Fail,
    }
}

#[cfg(test)]
mod tests;
