//! HTTP/1.1 client and server connections for the traffic of entry instances.
//!
//! They use the parser library directly, because the forwarder must know whether any
//! byte of a request was sent, and whether bytes arrived that belong to no request. A
//! pooled client hides both.

pub(crate) mod body;
pub(crate) mod client;
mod connection;
mod head;
mod incoming;
pub(crate) mod line_ends;
mod pipeline;
pub(crate) mod progress;
pub(crate) mod rejection;
pub(crate) mod request_body;
pub(crate) mod server;
mod socket;
pub(crate) mod status;

use bytes::BytesMut;
use http::{HeaderMap, HeaderName, HeaderValue};

/// Maximum number of headers in a response, and in a request that is parsed without
/// allocating memory.
const MAX_HEADERS: usize = 96;
/// Buffer space for each read from a socket; a typical message fits in one read.
const READ_BYTES: usize = 4096;

/// Copies parsed headers into a map; `None` if one is invalid.
fn header_map(headers: &[httparse::Header<'_>]) -> Option<HeaderMap> {
    let mut map = HeaderMap::with_capacity(headers.len());
    for header in headers {
        let name = HeaderName::from_bytes(header.name.as_bytes()).ok()?;
        let value = HeaderValue::from_bytes(header.value).ok()?;
        map.append(name, value);
    }
    Some(map)
}

/// Returns whether a `Connection` header lists `token`.
fn connection_lists(headers: &HeaderMap, token: &str) -> bool {
    headers
        .get_all(http::header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .any(|part| part.trim().eq_ignore_ascii_case(token))
}

/// Appends headers as `name: value` lines, without the hop-by-hop ones.
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

/// Returns whether a header applies to one connection only (RFC 9110, section 7.6.1),
/// or is written anew for each message, as `content-length` is.
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
