//! HTTP/1.1 on one connection, for the entry's own traffic.
//!
//! Written on the parser library directly, because the forwarder must know
//! whether any byte of a request was sent, and whether bytes arrived that belong
//! to no request; a pooled client hides both.

pub(crate) mod body;
pub(crate) mod client;
pub(crate) mod server;

use bytes::BytesMut;
use http::{HeaderMap, HeaderName, HeaderValue};

/// Most headers that a message may have.
const MAX_HEADERS: usize = 96;
/// Bytes asked from the socket at a time; one read takes a usual message whole.
const READ_BYTES: usize = 4096;

/// Copies parsed headers into a map.
fn header_map(headers: &[httparse::Header<'_>]) -> Option<HeaderMap> {
    let mut map = HeaderMap::with_capacity(headers.len());
    for header in headers {
        let name = HeaderName::from_bytes(header.name.as_bytes()).ok()?;
        let value = HeaderValue::from_bytes(header.value).ok()?;
        map.append(name, value);
    }
    Some(map)
}

/// Whether a `Connection` header lists `token`.
fn connection_lists(headers: &HeaderMap, token: &str) -> bool {
    headers
        .get_all(http::header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .any(|part| part.trim().eq_ignore_ascii_case(token))
}

/// Appends `Name: value` lines, leaving out what concerns one connection only.
pub(crate) fn write_headers(buf: &mut BytesMut, headers: &HeaderMap) {
    for (name, value) in headers {
        if is_hop_by_hop(name) || connection_lists(headers, name.as_str()) {
            continue;
        }
        buf.extend_from_slice(name.as_str().as_bytes());
        buf.extend_from_slice(b": ");
        buf.extend_from_slice(value.as_bytes());
        buf.extend_from_slice(b"\r\n");
    }
}

/// Headers that each connection sets for itself (RFC 9110, section 7.6.1).
fn is_hop_by_hop(name: &HeaderName) -> bool {
    matches!(
        name.as_str(),
        "connection"
            | "keep-alive"
            | "proxy-connection"
            | "te"
            | "trailer"
            | "transfer-encoding"
            | "upgrade"
            | "content-length"
            | "expect"
    )
}

#[cfg(test)]
mod tests;
