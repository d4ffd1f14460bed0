//! Requests that are rejected before they reach the handler.

use http::HeaderMap;

use super::server::Reply;

/// Why a request is rejected.
#[derive(Debug, Clone, PartialEq, Eq, derive_more::Display)]
pub(crate) enum RejectReason {
    /// Its head is not valid HTTP/1.
    #[display("malformed head: {_0}")]
    HeadMalformed(String),
    /// Its head is longer than this many bytes.
    #[display("the head exceeds the limit of {_0} bytes")]
    HeadTooLarge(usize),
    /// Its head has more headers than can be parsed.
    #[display("too many headers")]
    TooManyHeaders,
    /// Its head did not arrive in time.
    #[display("the head did not arrive in time")]
    HeadTimedOut,
    /// It declares a body of this many bytes, which is longer than allowed.
    #[display("the declared body of {_0} bytes exceeds the limit")]
    BodyTooLarge(usize),
    /// It has an `Expect` header with an unknown value.
    #[display("unknown expectation")]
    UnknownExpectation,
}

impl RejectReason {
    /// Status of the response.
    pub(crate) fn status(&self) -> u16 {
        match self {
            Self::HeadMalformed(_) => 400,
            Self::HeadTimedOut => 408,
            Self::BodyTooLarge(_) => 413,
            Self::UnknownExpectation => 417,
            Self::HeadTooLarge(_) | Self::TooManyHeaders => 431,
        }
    }

    /// Whether a limit of the configuration is the reason.
    pub(crate) fn is_over_limit(&self) -> bool {
        matches!(self, Self::HeadTooLarge(_) | Self::BodyTooLarge(_))
    }

    /// Name of the outcome, for the metrics.
    pub(crate) fn outcome(&self) -> &'static str {
        match self {
            Self::HeadMalformed(_) => "head_malformed",
            Self::HeadTimedOut => "head_timed_out",
            Self::BodyTooLarge(_) => "body_too_large",
            Self::UnknownExpectation => "unknown_expectation",
            Self::HeadTooLarge(_) | Self::TooManyHeaders => "head_too_large",
        }
    }
}

/// A rejected request, with what tells a malformed request from one that was read at the
/// wrong position of its connection.
#[derive(Debug)]
pub(crate) struct Rejection {
    /// Why it is rejected.
    pub reason: RejectReason,
    /// Its headers; empty if its head was not parsed.
    pub headers: HeaderMap,
    /// Bytes received and not taken by an earlier request.
    pub buffered: usize,
    /// Requests of the connection that were handled before.
    pub requests_before: u64,
}

impl Rejection {
    /// The response that the reason implies.
    pub(crate) fn reply(&self) -> Reply {
        Reply::empty(self.reason.status())
    }
}
