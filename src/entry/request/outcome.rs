//! The outcomes of a request, and the response to each.

use std::time::Duration;

use http::HeaderValue;

use crate::entry::target::selection::NoTarget;
use crate::http1::body::BodyError;
use crate::http1::client::Response;
use crate::http1::server::Reply;

/// Retry-After where nothing is known of when a request may succeed: the shortest time that
/// every caller understands, as some read whole seconds only.
pub(crate) const DEFAULT_RETRY_AFTER: Duration = Duration::from_secs(1);
/// Retry-After of an instance that reaches no target or shuts down. The directory names
/// others.
pub(crate) const RETRY_AFTER_ELSEWHERE: Duration = Duration::from_millis(50);
/// Minimum Retry-After sent to a caller: one that returns at once finds what it has just found.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(50);

/// Outcome of a request, for the log and the metrics.
#[derive(Debug, Clone, Copy, PartialEq, Eq, derive_more::Display)]
pub(crate) enum Outcome {
    /// A target's response was forwarded.
    #[display("answered")]
    Answered,
    /// A target's failure was forwarded.
    #[display("target_failed")]
    TargetFailed,
    /// No configuration is known yet.
    #[display("no_configuration")]
    NoConfiguration,
    /// The configuration gives it no route or account, and a newer one is known.
    #[display("configuration_outdated")]
    ConfigurationOutdated,
    /// No route matches.
    #[display("no_route")]
    NoRoute,
    /// It has no key of a client account.
    #[display("key_rejected")]
    KeyRejected,
    /// It needs a key, and it is not known which keys are valid.
    #[display("keys_unknown")]
    KeysUnknown,
    /// The request is suspected of crashing targets and is blocked.
    #[display("quarantined")]
    Quarantined,
    /// Its account has no token left, and it was not run.
    #[display("over_limit")]
    OverLimit,
    /// It was not run, and was refused.
    #[display("refused")]
    Refused,
    /// It may have run, and no response arrived.
    #[display("lost")]
    Lost,
    /// Its deadline passed while it may have been running.
    #[display("timed_out")]
    TimedOut,
    /// Its body has a malformed framing.
    #[display("body_malformed")]
    BodyMalformed,
    /// Its body is longer than the configuration allows.
    #[display("body_too_large")]
    BodyTooLarge,
    /// Its body did not arrive in time, and nothing was sent to a target.
    #[display("body_timed_out")]
    BodyTimedOut,
}

impl Outcome {
    /// The outcome of a request whose body can't be received whole. The status for one
    /// that did not arrive in time promises that it was not run.
    pub(crate) fn of_body_failure(err: &BodyError, not_run: bool) -> Self {
        match err {
            BodyError::Malformed(_) => Self::BodyMalformed,
            BodyError::TooLarge(_) => Self::BodyTooLarge,
            BodyError::Stalled(_) | BodyError::Truncated(_) | BodyError::NoMemory if not_run => {
                Self::BodyTimedOut
            }
            BodyError::Stalled(_) | BodyError::Truncated(_) | BodyError::NoMemory => Self::Lost,
        }
    }

    /// Status of the response if no target's response is forwarded.
    fn status(self) -> u16 {
        match self {
            Self::NoRoute => 404,
            Self::KeyRejected => 401,
            Self::NoConfiguration
            | Self::ConfigurationOutdated
            | Self::KeysUnknown
            | Self::Refused
            | Self::Quarantined => 503,
            Self::OverLimit => 429,
            Self::TimedOut => 504,
            Self::BodyMalformed => 400,
            Self::BodyTooLarge => 413,
            Self::BodyTimedOut => 408,
            Self::Answered | Self::TargetFailed | Self::Lost => 502,
        }
    }
}

/// Why a request is refused, and when its caller may retry.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Refusal {
    /// Reason, for the log.
    pub reason: NoTarget,
    /// Time after which to retry.
    pub retry_after: Duration,
}

/// When there will be room for a request, by the load.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Room {
    /// Expected time until a slot is free behind the requests that wait already.
    pub wait: Duration,
    /// Expected time that the request runs.
    pub run_time: Duration,
}

impl Refusal {
    pub(crate) fn new(reason: NoTarget, retry_after: Duration) -> Self {
        Self {
            reason,
            retry_after,
        }
    }

    /// Refusal because this instance shuts down before the request would have ended.
    pub(crate) fn stopping() -> Self {
        Self::new(NoTarget::Stopping, RETRY_AFTER_ELSEWHERE)
    }

    /// Refusal because no target could take the request, which some may have `shed`; `room` is
    /// `None` if it is not known how long requests run.
    ///
    /// The time follows from the load alone, so that equal requests are told the same,
    /// however long their callers wait. `draw`, in `0.0..1.0`, spreads them over the time of
    /// one run, since not all that return together find a free slot.
    pub(crate) fn without_target(
        reason: NoTarget,
        shed: bool,
        room: Option<Room>,
        draw: f64,
    ) -> Self {
        let earliest = match reason {
            NoTarget::Paused { left } => Some(left),
            // The targets that shed it are full until something that they run has ended.
            _ if shed => room.map(|room| room.wait.max(room.run_time)),
            NoTarget::NoCapacity | NoTarget::TooLate => room.map(|room| room.wait),
            _ => None,
        };
        let spread = room.map_or(Duration::ZERO, |room| room.run_time.mul_f64(draw));
        let retry_after = earliest.map(|earliest| earliest.saturating_add(spread));
        Self::new(reason, retry_after.unwrap_or(DEFAULT_RETRY_AFTER))
    }
}

/// Whether callers conclude from this status that a request was not run.
pub(crate) fn implies_not_run(status: u16) -> bool {
    matches!(status, 408 | 421 | 429 | 503)
}

/// A response of this instance, with Retry-After if the request was not run.
pub(crate) fn reply(outcome: Outcome, retry_after: Duration) -> Reply {
    let mut reply = Reply::empty(outcome.status());
    if reply.status == 401 {
        let scheme = HeaderValue::from_static("Bearer");
        reply.headers.insert(http::header::WWW_AUTHENTICATE, scheme);
    }
    if matches!(reply.status, 429 | 503) {
        let retry_after = retry_after.max(MIN_RETRY_AFTER);
        let text = format!("{:.3}", retry_after.as_secs_f64());
        if let Ok(value) = HeaderValue::from_str(&text) {
            reply.headers.insert(http::header::RETRY_AFTER, value);
        }
    }
    reply
}

/// Converts a target's response to the reply for the caller.
pub(crate) fn forward_response(response: Response) -> Reply {
    Reply {
        status: response.status.as_u16(),
        headers: response.headers,
        body: response.body,
    }
}

#[cfg(test)]
mod tests;
