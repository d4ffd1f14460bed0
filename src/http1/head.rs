//! Heads of requests as they are received, and responses as they are sent.

use bytes::{Bytes, BytesMut};
use http::{HeaderMap, HeaderValue};

use super::body::{Framing, declared_framing};
use super::rejection::RejectReason;
use super::server::Reply;
use super::{MAX_HEADERS, connection_lists, header_map, write_headers};

/// Maximum number of headers in a request; a header map holds some more.
const MAX_REQUEST_HEADERS: usize = 16 << 10;
/// Largest body that is sent with the head in one write, in bytes.
const MAX_COPIED_BODY_BYTES: usize = 16 << 10;
/// Shortest line with a header, in bytes.
const MIN_HEADER_BYTES: usize = 3;

/// Head of a request.
pub(super) struct Head {
    pub(super) method: String,
    pub(super) target: String,
    pub(super) headers: HeaderMap,
    pub(super) framing: Framing,
    pub(super) is_http11: bool,
}

/// Whether a connection is kept open after a response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Persistence {
    /// It is, as the version implies.
    Keep,
    /// It is, and an HTTP/1.0 client that asked for it must be told.
    KeepAsAsked,
    /// It is closed.
    Close,
}

impl Head {
    pub(super) fn persistence(&self) -> Persistence {
        if connection_lists(&self.headers, "close") {
            Persistence::Close
        } else if self.is_http11 {
            Persistence::Keep
        } else if connection_lists(&self.headers, "keep-alive") {
            Persistence::KeepAsAsked
        } else {
            Persistence::Close
        }
    }

    /// Whether the client waits for an interim response before it sends the body.
    ///
    /// # Errors
    /// The expectation is unknown.
    pub(super) fn expects_continue(&self) -> Result<bool, RejectReason> {
        let Some(value) = self.headers.get(http::header::EXPECT) else {
            return Ok(false);
        };
        if !value.as_bytes().eq_ignore_ascii_case(b"100-continue") {
            return Err(RejectReason::UnknownExpectation);
        }
        Ok(self.is_http11)
    }
}

/// Parses a request head and returns it with its length; `None` if it is incomplete.
///
/// # Errors
/// Why the request must be rejected.
pub(super) fn parse_request(buf: &BytesMut) -> Result<Option<(Head, usize)>, RejectReason> {
    if buf.is_empty() {
        return Ok(None);
    }
    match parse_into(&mut [httparse::EMPTY_HEADER; MAX_HEADERS], buf) {
        Err(RejectReason::TooManyHeaders) => {
            let count = (buf.len() / MIN_HEADER_BYTES).min(MAX_REQUEST_HEADERS);
            parse_into(&mut vec![httparse::EMPTY_HEADER; count], buf)
        }
        parsed => parsed,
    }
}

fn parse_into<'a>(
    headers: &mut [httparse::Header<'a>],
    buf: &'a [u8],
) -> Result<Option<(Head, usize)>, RejectReason> {
    let mut req = httparse::Request::new(headers);
    match req.parse(buf) {
        Ok(httparse::Status::Complete(length)) => {
            let mut headers = header_map(req.headers)
                .ok_or_else(|| RejectReason::HeadMalformed("invalid header".into()))?;
            let is_http11 = req.version == Some(1);
            let framing = declared_framing(&headers, is_http11)
                .map_err(|problem| RejectReason::HeadMalformed(problem.into()))?;
            let method = req.method.unwrap_or_default();
            let mut target = req.path.unwrap_or_default().to_owned();
            if let Some((host, origin_form)) = split_absolute_form(method, &target) {
                let host = HeaderValue::from_str(host)
                    .map_err(|_| RejectReason::HeadMalformed("invalid host".into()))?;
                headers.insert(http::header::HOST, host);
                target = origin_form;
            }
            let head = Head {
                method: method.to_owned(),
                target,
                headers,
                framing: framing.unwrap_or(Framing::None),
                is_http11,
            };
            Ok(Some((head, length)))
        }
        Ok(httparse::Status::Partial) => Ok(None),
        Err(httparse::Error::TooManyHeaders) => Err(RejectReason::TooManyHeaders),
        Err(err) => Err(RejectReason::HeadMalformed(err.to_string())),
    }
}

/// Splits a request target in absolute form into its host, which goes before the `Host`
/// header, and the target without it (RFC 9112, section 3.2.2); `None` for other forms.
fn split_absolute_form<'a>(method: &str, target: &'a str) -> Option<(&'a str, String)> {
    let (scheme, rest) = target.split_once("://")?;
    if !scheme.eq_ignore_ascii_case("http") && !scheme.eq_ignore_ascii_case("https") {
        return None;
    }
    let (host, rest) = rest.split_at(rest.find(['/', '?']).unwrap_or(rest.len()));
    let origin_form = match rest {
        "" if method == "OPTIONS" => "*".to_owned(),
        path if path.starts_with('/') => path.to_owned(),
        query => format!("/{query}"),
    };
    (!host.is_empty()).then_some((host, origin_form))
}

/// An encoded response.
pub(super) struct EncodedReply {
    /// Its head, and a small body.
    pub(super) first: BytesMut,
    /// The body if it is large: it is not copied.
    pub(super) rest: Bytes,
}

/// Encodes a response. One to a HEAD request has no body, and declares the length that
/// the headers of `reply` declare, if any.
pub(super) fn encode(reply: &Reply, persistence: Persistence, is_head: bool) -> EncodedReply {
    let is_copied = reply.body.len() <= MAX_COPIED_BODY_BYTES;
    let copied = if is_copied { reply.body.len() } else { 0 };
    let mut buf = BytesMut::with_capacity(256 + copied);
    let reason = http::StatusCode::from_u16(reply.status)
        .ok()
        .and_then(|status| status.canonical_reason())
        .unwrap_or("Unknown");
    buf.extend_from_slice(format!("HTTP/1.1 {} {reason}\r\n", reply.status).as_bytes());
    write_headers(&mut buf, &reply.headers);
    if is_head {
        if let Some(length) = reply.headers.get(http::header::CONTENT_LENGTH) {
            buf.extend_from_slice(b"content-length: ");
            buf.extend_from_slice(length.as_bytes());
            buf.extend_from_slice(b"\r\n");
        }
    } else if reply.status != 204 && reply.status != 304 {
        buf.extend_from_slice(format!("content-length: {}\r\n", reply.body.len()).as_bytes());
    }
    match persistence {
        Persistence::Keep => {}
        Persistence::KeepAsAsked => buf.extend_from_slice(b"connection: keep-alive\r\n"),
        Persistence::Close => buf.extend_from_slice(b"connection: close\r\n"),
    }
    buf.extend_from_slice(b"\r\n");
    let mut rest = Bytes::new();
    if !is_head && is_copied {
        buf.extend_from_slice(&reply.body);
    } else if !is_head {
        rest = reply.body.clone();
    }
    EncodedReply { first: buf, rest }
}
