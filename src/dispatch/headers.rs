//! Headers of forwarded requests and responses.

use std::time::Duration;

use http::{HeaderMap, HeaderName, HeaderValue, Method, Request, Uri, header};

use super::body::UpstreamBody;

/// API key that identifies a caller; it is not forwarded.
pub(crate) static API_KEY: HeaderName = HeaderName::from_static("x-api-key");
/// Remaining time until the call's deadline, in milliseconds.
pub(crate) static DEADLINE: HeaderName = HeaderName::from_static("x-deadline-ms");
/// Identifier of one attempt; the target may return it with its response.
pub(crate) static CALL: HeaderName = HeaderName::from_static("x-call-id");
/// Identifier of a caller's request; it is forwarded unchanged.
pub(crate) static REQUEST: HeaderName = HeaderName::from_static("x-request-id");
/// Marks a target's response that sheds the call.
pub(crate) static SHED: HeaderName = HeaderName::from_static("x-shed");
/// Value of [`SHED`] that guarantees that the call was not run.
pub(crate) const SHED_NOT_RUN: &str = "not-run";
/// Load of a target, as calls in flight and slots.
pub(crate) const LOAD: &str = "x-load";
/// Number of nested calls between the original caller and this call.
pub(crate) static DEPTH: HeaderName = HeaderName::from_static("x-call-depth");
/// Number of the attempt, starting at one.
pub(crate) static ATTEMPT: HeaderName = HeaderName::from_static("x-attempt");

/// Hop-by-hop headers, which are not forwarded.
static HOP_BY_HOP_HEADERS: [HeaderName; 9] = [
    header::CONNECTION,
    HeaderName::from_static("keep-alive"),
    header::PROXY_AUTHENTICATE,
    header::PROXY_AUTHORIZATION,
    HeaderName::from_static("proxy-connection"),
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
];

/// The part of a caller's request that is the same in every attempt.
#[derive(Debug, Clone)]
pub(crate) struct Head {
    /// Request method.
    pub(crate) method: Method,
    /// Request target as the caller sent it.
    pub(crate) uri: Uri,
    /// Headers to forward.
    pub(crate) headers: HeaderMap,
    /// Number of nested calls between the original caller and this call.
    pub(crate) depth: u32,
}

/// The part of a request that differs between the attempts of one call.
#[derive(Debug, Clone)]
pub(crate) struct AttemptHead {
    /// Identifier of the attempt, unique over all instances.
    pub(crate) call_id: String,
    /// Number of the attempt, starting at one.
    pub(crate) number: u32,
    /// Remaining time until the call's deadline.
    pub(crate) time_left: Duration,
}

/// Returns the caller's headers that are forwarded to targets.
pub(crate) fn to_target(headers: HeaderMap) -> HeaderMap {
    let mut kept = remove_hop_by_hop(headers);
    // The size of the forwarded body decides, not the length that the caller declared.
    kept.remove(header::CONTENT_LENGTH);
    kept.remove(header::EXPECT);
    kept.remove(&API_KEY);
    if let Some(call_id) = kept.remove(&CALL)
        && !kept.contains_key(&REQUEST)
    {
        kept.insert(&REQUEST, call_id);
    }
    kept
}

/// Returns the headers of a target's response that are forwarded to the caller.
pub(crate) fn to_caller(headers: HeaderMap) -> HeaderMap {
    let mut kept = remove_hop_by_hop(headers);
    kept.remove(&CALL);
    kept
}

/// Builds the request of one attempt; `None` if a header value is not valid.
pub(crate) fn upstream(
    head: &Head,
    attempt: &AttemptHead,
    body: UpstreamBody,
) -> Option<Request<UpstreamBody>> {
    let mut req = Request::new(body);
    *req.method_mut() = head.method.clone();
    *req.uri_mut() = match head.uri.path_and_query() {
        Some(path) => Uri::from(path.clone()),
        None => Uri::from_static("/"),
    };
    let headers = req.headers_mut();
    headers.clone_from(&head.headers);
    if !headers.contains_key(header::HOST) {
        headers.insert(header::HOST, HeaderValue::from_str(head.uri.host()?).ok()?);
    }
    headers.insert(&CALL, HeaderValue::from_str(&attempt.call_id).ok()?);
    let left_ms = u64::try_from(attempt.time_left.as_millis()).unwrap_or(u64::MAX);
    headers.insert(&DEADLINE, HeaderValue::from(left_ms));
    headers.insert(&DEPTH, HeaderValue::from(head.depth + 1));
    headers.insert(&ATTEMPT, HeaderValue::from(attempt.number));
    Some(req)
}

/// Removes the hop-by-hop headers.
fn remove_hop_by_hop(mut headers: HeaderMap) -> HeaderMap {
    for name in listed_in_connection(&headers) {
        headers.remove(name);
    }
    for name in &HOP_BY_HOP_HEADERS {
        headers.remove(name);
    }
    headers
}

/// Returns the headers listed in `Connection`, which are hop-by-hop headers too.
fn listed_in_connection(headers: &HeaderMap) -> Vec<HeaderName> {
    headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .filter(|name| name != header::HOST)
        .collect()
}

/// Parses a header that holds a non-negative integer.
pub(crate) fn number(headers: &HeaderMap, name: &HeaderName) -> Option<u64> {
    headers.get(name)?.to_str().ok()?.parse().ok()
}
