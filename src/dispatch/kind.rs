//! The error kinds of calls and the response to each.

use std::time::Duration;

use http::StatusCode;

use crate::admission::permit::Refusal;
use crate::macros::data;

data! {
    /// Whether a target ran the call.
    #[serde(rename_all = "lowercase")]
    #[derive(Eq, Copy)]
    pub enum Ran {
        /// The call has provably not run.
        No,
        /// The call may have run.
        Unknown,
        /// The call has run.
        Yes,
    }

    /// Reasons why a call ends without its target's response.
    #[serde(rename_all = "snake_case")]
    #[derive(Eq, Copy, Hash)]
    pub enum ErrorKind {
        /// The request is malformed.
        BadRequest,
        /// No service declares the host.
        UnknownService,
        /// No caller declares the API key, or calls without a key are not allowed.
        UnknownCaller,
        /// The key does not permit the operation.
        Forbidden,
        /// The request body exceeds the size limit.
        TooLarge,
        /// The caller exceeds its limits.
        CallerLimit,
        /// All slots are in use and the queue is full.
        Overloaded,
        /// The call cannot start before its deadline.
        DeadlineUnmet,
        /// No target accepts calls at the moment.
        NoTarget,
        /// The instance that owns the shard cannot be reached.
        OwnerUnreachable,
        /// No connection to the target could be opened, or it failed before the call was sent.
        TargetRefused,
        /// The target shed the call because of its load.
        TargetShed,
        /// The connection failed after a part of the call may have been sent.
        TargetBroken,
        /// The connection stalled after the call was sent.
        TargetSilent,
        /// Reading the request body failed after a part of it was sent.
        BodyBroken,
        /// The call is nested too deeply.
        TooDeep,
        /// The deadline passed after the call was sent.
        TargetTimeout,
        /// The request is blocked because it has crashed targets.
        Quarantined,
        /// A call with the same idempotency key was accepted before; its response is not recorded.
        AlreadyAccepted,
        /// The idempotency key was used for a different request.
        KeyReused,
        /// The call could not be recorded under its idempotency key.
        RecordUnavailable,
        /// The instance is stopping or not ready.
        Unavailable,
    }
}

/// Response to a caller whose call ended with an [`ErrorKind`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ErrorResponse {
    /// HTTP status.
    pub status: StatusCode,
    /// Whether a target ran the call.
    pub ran: Ran,
    /// Whether this instance may retry the call on another target.
    pub instance_may_retry: bool,
    /// Whether the caller may retry the call unchanged.
    pub caller_may_retry: bool,
    /// Value of the `Retry-After` header; `None` if there is none.
    pub retry_after: Option<Duration>,
    /// Human-readable description, without a period at the end.
    pub detail: &'static str,
}

const SOON: Option<Duration> = Some(Duration::from_secs(1));
const LATER: Option<Duration> = Some(Duration::from_secs(5));

impl ErrorKind {
    /// All kinds, in the order of the table in the documentation.
    pub const ALL: [Self; 22] = [
        Self::BadRequest,
        Self::UnknownService,
        Self::UnknownCaller,
        Self::Forbidden,
        Self::TooLarge,
        Self::CallerLimit,
        Self::Overloaded,
        Self::DeadlineUnmet,
        Self::NoTarget,
        Self::OwnerUnreachable,
        Self::TargetRefused,
        Self::TargetShed,
        Self::TargetBroken,
        Self::TargetSilent,
        Self::BodyBroken,
        Self::TooDeep,
        Self::TargetTimeout,
        Self::Quarantined,
        Self::AlreadyAccepted,
        Self::KeyReused,
        Self::RecordUnavailable,
        Self::Unavailable,
    ];

    /// Name of the kind in JSON and in metrics.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::BadRequest => "bad_request",
            Self::UnknownService => "unknown_service",
            Self::UnknownCaller => "unknown_caller",
            Self::Forbidden => "forbidden",
            Self::TooLarge => "too_large",
            Self::CallerLimit => "caller_limit",
            Self::Overloaded => "overloaded",
            Self::DeadlineUnmet => "deadline_unmet",
            Self::NoTarget => "no_target",
            Self::OwnerUnreachable => "owner_unreachable",
            Self::TargetRefused => "target_refused",
            Self::TargetShed => "target_shed",
            Self::TargetBroken => "target_broken",
            Self::TargetSilent => "target_silent",
            Self::BodyBroken => "body_broken",
            Self::TooDeep => "too_deep",
            Self::TargetTimeout => "target_timeout",
            Self::Quarantined => "quarantined",
            Self::AlreadyAccepted => "already_accepted",
            Self::KeyReused => "key_reused",
            Self::RecordUnavailable => "record_unavailable",
            Self::Unavailable => "unavailable",
        }
    }

    /// The table from kind to response.
    #[must_use]
    #[rustfmt::skip]
    pub fn response(self) -> ErrorResponse {
        use StatusCode as S;
        match self {
            Self::BadRequest => response(S::BAD_REQUEST, Ran::No, false, false, None, "the request is not well formed"),
            Self::UnknownService => response(S::NOT_FOUND, Ran::No, false, false, None, "no service answers to this host"),
            Self::UnknownCaller => response(S::UNAUTHORIZED, Ran::No, false, false, None, "the caller's key is not known"),
            Self::Forbidden => response(S::FORBIDDEN, Ran::No, false, false, None, "the key does not allow this"),
            Self::TooLarge => response(S::PAYLOAD_TOO_LARGE, Ran::No, false, false, None, "the request body is larger than allowed"),
            Self::CallerLimit => response(S::TOO_MANY_REQUESTS, Ran::No, false, true, SOON, "the caller is over its limit"),
            Self::Overloaded => response(S::SERVICE_UNAVAILABLE, Ran::No, true, true, SOON, "every slot is taken and the queue is full"),
            Self::DeadlineUnmet => response(S::SERVICE_UNAVAILABLE, Ran::No, false, true, SOON, "the call could not start before its deadline"),
            Self::NoTarget => response(S::SERVICE_UNAVAILABLE, Ran::No, true, true, LATER, "no target may be given work now"),
            Self::OwnerUnreachable => response(S::SERVICE_UNAVAILABLE, Ran::No, true, true, SOON, "the instance that grants the slots can't be reached"),
            Self::TargetRefused => response(S::SERVICE_UNAVAILABLE, Ran::No, true, true, SOON, "the target refused the connection"),
            Self::TargetShed => response(S::SERVICE_UNAVAILABLE, Ran::No, true, true, SOON, "the target refused the call for load"),
            Self::TargetBroken => response(S::BAD_GATEWAY, Ran::Unknown, true, false, None, "the connection to the target failed after the call was sent"),
            Self::TargetSilent => response(S::BAD_GATEWAY, Ran::Unknown, true, false, None, "the connection to the target fell silent after the call was sent"),
            Self::BodyBroken => response(S::BAD_REQUEST, Ran::Unknown, false, false, None, "the request body broke off or grew too large after a part of it was sent"),
            Self::TooDeep => response(S::LOOP_DETECTED, Ran::No, false, false, None, "the call has passed through too many services"),
            Self::TargetTimeout => response(S::GATEWAY_TIMEOUT, Ran::Unknown, false, false, None, "the deadline passed while the target had the call"),
            Self::Quarantined => response(S::UNPROCESSABLE_ENTITY, Ran::No, false, false, LATER, "this request has crashed targets and is held back"),
            Self::AlreadyAccepted => response(S::CONFLICT, Ran::Unknown, false, false, None, "a call with this idempotency key was accepted before"),
            Self::KeyReused => response(S::UNPROCESSABLE_ENTITY, Ran::No, false, false, None, "this idempotency key was used for another request"),
            Self::RecordUnavailable => response(S::SERVICE_UNAVAILABLE, Ran::No, false, true, LATER, "the record of keyed calls can't be reached"),
            Self::Unavailable => response(S::SERVICE_UNAVAILABLE, Ran::No, false, true, SOON, "this instance is stopping or not ready"),
        }
    }
}

/// Returns the table of kinds and responses in Markdown, as it stands in the documentation.
#[must_use]
pub fn table() -> String {
    let yes_no = |yes| if yes { "yes" } else { "no" };
    let mut text =
        "| kind | status | ran | we may repeat | caller may repeat | retry after | meaning |\n\
                    |---|---|---|---|---|---|---|\n"
            .to_owned();
    for kind in ErrorKind::ALL {
        let response = kind.response();
        let wait = response
            .retry_after
            .map_or_else(|| "-".to_owned(), |wait| format!("{} s", wait.as_secs()));
        let row = format!(
            "| `{}` | {} | {} | {} | {} | {wait} | {} |\n",
            kind.name(),
            response.status.as_u16(),
            response.ran.name(),
            yes_no(response.instance_may_retry),
            yes_no(response.caller_may_retry),
            response.detail,
        );
        text.push_str(&row);
    }
    text
}

impl Ran {
    /// Name of the value in JSON and in the outcome header.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::No => "no",
            Self::Unknown => "unknown",
            Self::Yes => "yes",
        }
    }
}

const fn response(
    status: StatusCode,
    ran: Ran,
    instance_may_retry: bool,
    caller_may_retry: bool,
    retry_after: Option<Duration>,
    detail: &'static str,
) -> ErrorResponse {
    ErrorResponse {
        status,
        ran,
        instance_may_retry,
        caller_may_retry,
        retry_after,
        detail,
    }
}

impl From<Refusal> for ErrorKind {
    fn from(refusal: Refusal) -> Self {
        match refusal {
            Refusal::NotOwner | Refusal::OwnerUnreachable => Self::OwnerUnreachable,
            Refusal::NoTarget => Self::NoTarget,
            Refusal::Full => Self::Overloaded,
            Refusal::TooLate => Self::DeadlineUnmet,
        }
    }
}

#[cfg(test)]
mod tests;
