//! How a request ends: the closed list of outcomes, and the answer to each.

use std::time::Duration;

use http::HeaderValue;

use super::retry::AttemptHistory;
use super::selection::NoTarget;
use crate::http1::client::Answer;
use crate::http1::server::Reply;

/// When to come back after a refusal that no load explains; targets come back and
/// configurations arrive within fractions of a second.
pub(crate) const DEFAULT_RETRY_AFTER: Duration = Duration::from_millis(250);
/// When to come back after targets shed a request while the repeat budget was used up:
/// others may take it at once, and the caller's own repeat is a new request.
const RETRY_AFTER_SHED: Duration = Duration::from_millis(50);
/// Shortest and longest time to come back that is told to a caller.
const RETRY_AFTER_RANGE: (Duration, Duration) = (Duration::from_millis(50), Duration::from_secs(2));

/// How a request ended, for the log and the counters.
#[derive(Debug, Clone, Copy, PartialEq, Eq, derive_more::Display)]
pub(crate) enum Outcome {
    /// A target's answer was passed on.
    #[display("answered")]
    Answered,
    /// A target's failure was passed on.
    #[display("target_failed")]
    TargetFailed,
    /// No configuration is known yet.
    #[display("no_configuration")]
    NoConfiguration,
    /// No route matches.
    #[display("no_route")]
    NoRoute,
    /// The request is held to crash targets.
    #[display("quarantined")]
    Quarantined,
    /// It was not run, and was refused.
    #[display("refused")]
    Refused,
    /// It may have run, and no answer came.
    #[display("lost")]
    Lost,
    /// Its time was up while it may have been running.
    #[display("timed_out")]
    TimedOut,
}

impl Outcome {
    /// The answer's status where no target's answer is passed on.
    fn status(self) -> u16 {
        match self {
            Self::NoRoute => 404,
            Self::NoConfiguration | Self::Refused | Self::Quarantined => 503,
            Self::TimedOut => 504,
            Self::Answered | Self::TargetFailed | Self::Lost => 502,
        }
    }
}

/// Why a request is refused, and after what time its caller should come back.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Refusal {
    /// Why.
    pub reason: NoTarget,
    /// When to come back.
    pub retry_after: Duration,
}

impl Refusal {
    pub(crate) fn new(reason: NoTarget, retry_after: Duration) -> Self {
        Self {
            reason,
            retry_after,
        }
    }

    /// There is no target that could take it, after what it has been through.
    pub(crate) fn without_target(history: AttemptHistory, reason: NoTarget) -> Self {
        let retry_after = if history.shed > 0 {
            RETRY_AFTER_SHED
        } else {
            DEFAULT_RETRY_AFTER
        };
        Self::new(reason, retry_after)
    }
}

/// Statuses by which callers know that a request was not run.
pub(crate) fn implies_not_run(status: u16) -> bool {
    matches!(status, 408 | 421 | 429 | 503)
}

/// An own answer, with the time to come back where it was not run.
pub(crate) fn reply(outcome: Outcome, retry_after: Duration) -> Reply {
    let mut reply = Reply::empty(outcome.status());
    if reply.status == 503 {
        let retry_after = retry_after.clamp(RETRY_AFTER_RANGE.0, RETRY_AFTER_RANGE.1);
        let text = format!("{:.3}", retry_after.as_secs_f64());
        if let Ok(value) = HeaderValue::from_str(&text) {
            reply.headers.insert(http::header::RETRY_AFTER, value);
        }
    }
    reply
}

/// A target's answer as its caller gets it.
pub(crate) fn forward_answer(answer: Answer) -> Reply {
    Reply {
        status: answer.status,
        headers: answer.headers,
        body: answer.body,
    }
}
