//! Status codes of received responses.

use http::{Response, StatusCode};

/// Highest status code of HTTP (RFC 9110, section 15). [`StatusCode`] also holds those up to 999.
const MAX_STATUS: u16 = 599;

/// A response has a status code that HTTP does not have, or an informational one where it ends an
/// exchange. Like any response that can't be parsed, it says nothing of the request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, derive_more::Display, derive_more::Error)]
#[display("invalid status code {_0:03}")]
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

/// Like [`parse_status`], for the response that ends an exchange.
///
/// # Errors
/// HTTP does not have this status code, or it is an informational one.
pub(crate) fn parse_final_status(code: u16) -> Result<StatusCode, InvalidStatus> {
    let status = parse_status(code)?;
    if status.is_informational() {
        return Err(InvalidStatus(code));
    }
    Ok(status)
}

/// Returns a response that an HTTP library has received, if its status code is valid. The library
/// skips informational ones but 101, and no request asks for another protocol.
///
/// # Errors
/// See [`parse_final_status`].
pub(crate) fn with_valid_status<T>(resp: Response<T>) -> Result<Response<T>, InvalidStatus> {
    parse_final_status(resp.status().as_u16())?;
    Ok(resp)
}
