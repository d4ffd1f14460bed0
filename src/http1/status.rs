//! Status codes of received responses.

use http::StatusCode;

/// Highest status code of HTTP (RFC 9110, section 15). [`StatusCode`] also holds those up to 999.
const MAX_STATUS: u16 = 599;

/// A response has a status code that HTTP does not have. Like any response that can't be parsed,
/// it says nothing of the request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, derive_more::Display, derive_more::Error)]
#[display("status code {_0:03} is not between 100 and {MAX_STATUS}")]
pub(crate) struct InvalidStatus(#[error(not(source))] u16);

/// Converts the three digits of a status line.
///
/// # Errors
/// HTTP does not have this status code.
pub(crate) fn parse_status(code: u16) -> Result<StatusCode, InvalidStatus> {
    let status = StatusCode::from_u16(code).ok();
    status
        .filter(|_| code <= MAX_STATUS)
        .ok_or(InvalidStatus(code))
}
