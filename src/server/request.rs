//! Validation of request heads before requests are handled as calls.

use http::{HeaderMap, Method, Request, Version, header};

/// The reason why a request head is refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, derive_more::Display)]
pub(super) enum HeadError {
    /// There is more than one host, or none.
    #[display("the request must name exactly one host")]
    Host,
    /// There is more than one content length, or it is not a plain number.
    #[display("the request must declare at most one plain content-length")]
    ContentLength,
    /// The transfer coding is not `chunked`, or stands beside a content length.
    #[display("the only transfer-encoding is chunked, without a content-length")]
    TransferEncoding,
    /// The request asks for another protocol or a tunnel.
    #[display("connections can't be upgraded or tunnelled")]
    Upgrade,
}

/// Validates the head of a request.
pub(super) fn check<B>(req: &Request<B>) -> Result<(), HeadError> {
    let headers = req.headers();
    check_host(req)?;
    check_length(headers)?;
    check_transfer_encoding(headers)?;
    if req.method() == Method::CONNECT || (requests_upgrade(headers) && !may_ignore_upgrade(req)) {
        return Err(HeadError::Upgrade);
    }
    Ok(())
}

/// Whether a request asks for another protocol on its connection.
pub(super) fn requests_upgrade(headers: &HeaderMap) -> bool {
    headers.contains_key(header::UPGRADE)
}

/// Whether an offered upgrade is ignored: some clients offer HTTP/2 with their first
/// request. Without a body such a request is served over HTTP/1.1.
fn may_ignore_upgrade<B>(req: &Request<B>) -> bool {
    let headers = req.headers();
    let offers_http2 = headers
        .get(header::UPGRADE)
        .is_some_and(|value| value.as_bytes().eq_ignore_ascii_case(b"h2c"));
    let has_body = headers.contains_key(header::CONTENT_LENGTH)
        || headers.contains_key(header::TRANSFER_ENCODING);
    offers_http2 && !has_body && req.method().is_safe()
}

/// Returns the host of a request, without its port.
pub(super) fn host<B>(req: &Request<B>) -> Option<&str> {
    let host = match req.uri().host() {
        Some(host) => host,
        None => req.headers().get(header::HOST)?.to_str().ok()?,
    };
    Some(host.split_once(':').map_or(host, |(name, _)| name))
}

fn check_host<B>(req: &Request<B>) -> Result<(), HeadError> {
    let count = req.headers().get_all(header::HOST).iter().count();
    let named = host(req).is_some_and(|host| !host.is_empty() && host.bytes().all(is_host_byte));
    let http2 = req.version() == Version::HTTP_2;
    if count > 1 || (count == 0 && !http2) || !named {
        return Err(HeadError::Host);
    }
    Ok(())
}

fn is_host_byte(byte: u8) -> bool {
    byte.is_ascii_alphanumeric() || b"-._[]:".contains(&byte)
}

fn check_length(headers: &HeaderMap) -> Result<(), HeadError> {
    let mut lengths = headers.get_all(header::CONTENT_LENGTH).iter();
    let Some(length) = lengths.next() else {
        return Ok(());
    };
    let plain = !length.is_empty() && length.as_bytes().iter().all(u8::is_ascii_digit);
    if lengths.next().is_some() || !plain {
        return Err(HeadError::ContentLength);
    }
    Ok(())
}

fn check_transfer_encoding(headers: &HeaderMap) -> Result<(), HeadError> {
    let mut codings = headers.get_all(header::TRANSFER_ENCODING).iter();
    let Some(coding) = codings.next() else {
        return Ok(());
    };
    let chunked = coding.as_bytes().eq_ignore_ascii_case(b"chunked");
    if codings.next().is_some() || !chunked || headers.contains_key(header::CONTENT_LENGTH) {
        return Err(HeadError::TransferEncoding);
    }
    Ok(())
}
