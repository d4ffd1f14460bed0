//! How a request ends: the closed list of outcomes, and the answer to each.

use std::time::Duration;

use http::HeaderValue;

use super::choice::NoTarget;
use super::verdict::History;
use crate::http1::client::Response;
use crate::http1::server::Reply;

/// When to come back after a refusal that no load explains; targets come back and
/// configurations arrive within fractions of a second.
pub(crate) const COME_BACK: Duration = Duration::from_millis(250);
/// When to come back after targets shed a request while the repeat budget was used up:
/// others may take it at once, and the caller's own repeat is a new request.
const COME_BACK_SHED: Duration = Duration::from_millis(50);
/// Shortest and longest time to come back that is told to a caller.
const COME_BACK_RANGE: (Duration, Duration) = (Duration::from_millis(50), Duration::from_secs(2));

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
    pub wait: Duration,
}

impl Refusal {
    pub(crate) fn new(reason: NoTarget, wait: Duration) -> Self {
        Self { reason, wait }
    }

    /// There is no target that could take it, after what it has been through.
    pub(crate) fn after(history: History, reason: NoTarget) -> Self {
        let wait = if history.shed > 0 {
            COME_BACK_SHED
        } else {
            COME_BACK
        };
        Self::new(reason, wait)
    }
}

/// Statuses by which callers know that a request was not run.
pub(crate) fn is_promise(status: u16) -> bool {
    matches!(status, 408 | 421 | 429 | 503)
}

/// An own answer, with the time to come back where it was not run.
pub(crate) fn reply(outcome: Outcome, wait: Duration) -> Reply {
    let mut reply = Reply::empty(outcome.status());
    if reply.status == 503 {
        let wait = wait.clamp(COME_BACK_RANGE.0, COME_BACK_RANGE.1);
        let text = format!("{:.3}", wait.as_secs_f64());
        if let Ok(value) = HeaderValue::from_str(&text) {
            reply.headers.insert(http::header::RETRY_AFTER, value);
        }
    }
    reply
}

/// A target's answer as its caller gets it.
pub(crate) fn pass_on(answer: Response) -> Reply {
    Reply {
        status: answer.status,
        headers: answer.headers,
        body: answer.body,
    }
}
