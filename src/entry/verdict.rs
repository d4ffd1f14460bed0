//! What follows from an attempt: deliver, repeat, refuse or fail.

use super::model::Repeat;

/// Attempts that reached no target, after which a request is refused.
pub const MAX_UNSENT: u32 = 4;
/// Targets beyond the route's own limit that may shed a request; these did not run it.
const EXTRA_SHEDS: u32 = 2;

/// What one attempt came to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fact {
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
pub struct History {
    /// Attempts of which nothing was sent.
    pub unsent: u32,
    /// Attempts that a target shed.
    pub shed: u32,
    /// Attempts that may have run.
    pub ran: u32,
}

impl History {
    /// Notes an attempt.
    pub fn note(&mut self, fact: Fact) {
        match fact {
            Fact::NotSent => self.unsent += 1,
            Fact::NotRun => self.shed += 1,
            Fact::Answered | Fact::TargetFailed | Fact::Lost => self.ran += 1,
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
pub enum Next {
    /// Pass the target's answer on.
    Deliver,
    /// Send it to another target, free of the repeat budget.
    Again,
    /// Send it to another target if the repeat budget has room.
    AgainWithinBudget,
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
pub fn next(fact: Fact, repeat: Repeat, history: History, max_attempts: u32) -> Next {
    let may_run_again = repeat == Repeat::Safe && history.ran < max_attempts;
    match fact {
        Fact::Answered => Next::Deliver,
        Fact::NotSent if history.unsent < MAX_UNSENT => Next::Again,
        Fact::NotRun if history.shed + history.ran < max_attempts + EXTRA_SHEDS => {
            Next::AgainWithinBudget
        }
        Fact::TargetFailed | Fact::Lost if may_run_again => Next::AgainWithinBudget,
        _ => without_repeat(fact, history),
    }
}

/// What is left when the request can't be sent again.
#[must_use]
pub fn without_repeat(fact: Fact, history: History) -> Next {
    match fact {
        Fact::Answered | Fact::TargetFailed => Next::Deliver,
        _ if history.not_run() => Next::Refuse,
        Fact::NotSent | Fact::NotRun | Fact::Lost => Next::Fail,
    }
}

#[cfg(test)]
mod tests;
