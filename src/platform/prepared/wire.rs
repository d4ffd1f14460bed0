//! Headers, paths and bodies of the platform's HTTP interfaces.

use std::time::Duration;

use bytes::BytesMut;
use http::{HeaderMap, StatusCode};
use serde::Serialize;

use crate::entry::target::load::Load;
use crate::names::CallerName;

/// Header with the id of one attempt of a client; responses repeat it.
const REQUEST_ID: &str = "x-request-id";
/// Header with the time that the sender waits for the response, in milliseconds.
const DEADLINE_MS: &str = "x-deadline-ms";
/// Header with the target's signature, which proves that the response is its own.
const SIGNATURE: &str = "x-server-signature";
/// Header with the id of the target that the request is meant for.
const EXPECTED_TARGET: &str = "x-expected-instance";
/// Header with the target's load.
const LOAD: &str = "x-server-load";
/// Header of a target that did not run the request.
const NOT_EXECUTED: &str = "x-not-executed";
/// Header with the id of the responding target.
const RESPONDING_TARGET: &str = "x-instance-id";
/// Header with the rest of the target's warm-up, in milliseconds.
const WARMUP_MS: &str = "x-warmup-ms";
/// Header with the requests a second that a target accepts from all instances together.
const LIMIT: &str = "server-limit";
/// Header of a target that is about to leave, with the value 1.
const LEAVING: &str = "server-leaving";
/// Header with the name of the client account whose request it is.
const ACCOUNT: &str = "x-tenant";
/// Header of the store's responses with the number of times that it was restored from a
/// copy.
const STORE_ERA: &str = "store-era";

/// Path of the directory, which returns the addresses that callers connect to.
pub(crate) const DIRECTORY_PATH: &str = "/api/resolve";
/// Path of the readiness check.
pub(crate) const READINESS_PATH: &str = "/api/readiness";

/// What an entry instance reads from the headers of a request.
#[derive(Debug, Clone, PartialEq)]
pub(crate) struct RequestMeta {
    /// Id of the client's attempt.
    pub id: Option<String>,
    /// Time that the client waits for the response.
    pub deadline: Option<Duration>,
}

/// What an entry instance reads from a target's response.
#[derive(Debug, Clone, PartialEq)]
pub(crate) struct AnswerMeta {
    /// Id of the attempt that the response belongs to.
    pub id: Option<String>,
    /// Whether the response has a target's signature; it is not verified.
    pub proven: bool,
    /// Whether the target reports that it did not run the request.
    pub not_run: bool,
    /// Id of the responding target.
    pub target: Option<String>,
    /// Load that the target reports.
    pub load: Option<Load>,
    /// Rest of the target's warm-up.
    pub cold_for: Option<Duration>,
    /// Requests a second that the target accepts from all instances together; `None` if
    /// it names no limit.
    pub limit: Option<f64>,
    /// Whether the target says that it is leaving. A response with status 421 is another
    /// target's.
    pub leaving: bool,
    /// Time for which the target wants nothing from this instance.
    pub pause: Option<Duration>,
    /// Time after which the target closes an idle connection.
    pub idle_for: Option<Duration>,
}

/// Extracts what an entry instance needs from the headers of a request.
pub(crate) fn request_meta(headers: &HeaderMap) -> RequestMeta {
    RequestMeta {
        id: text(headers, REQUEST_ID),
        deadline: number(headers, DEADLINE_MS).map(Duration::from_millis),
    }
}

/// Extracts what an entry instance needs from a response. Status 421 also means that
/// the request was not run.
///
/// A response cut in its head may run on into another one. Neither the id nor the statement
/// holds in one with several ids, or with the statement and a status of work that was tried.
pub(crate) fn response_meta(status: StatusCode, headers: &HeaderMap) -> AnswerMeta {
    let states_not_run = headers.contains_key(NOT_EXECUTED);
    let may_state_it = status.is_client_error() || status == 503;
    AnswerMeta {
        id: list(headers, REQUEST_ID).filter(|_| may_state_it || !states_not_run),
        proven: headers.contains_key(SIGNATURE),
        not_run: status == 421 || may_state_it && states_not_run,
        target: text(headers, RESPONDING_TARGET),
        load: headers
            .get(LOAD)
            .and_then(|value| parse_load(value.to_str().ok()?)),
        cold_for: number(headers, WARMUP_MS).map(Duration::from_millis),
        limit: text(headers, LIMIT).and_then(|value| parse_limit(&value)),
        leaving: status != 421 && text(headers, LEAVING).is_some_and(|value| value.trim() == "1"),
        pause: text(headers, http::header::RETRY_AFTER.as_str())
            .filter(|_| status == 503)
            .and_then(|value| parse_pause(&value)),
        idle_for: text(headers, "keep-alive").and_then(|value| parse_idle_timeout(&value)),
    }
}

/// Era of the store that sent a response; 0 if it names none.
pub(crate) fn store_era(headers: &HeaderMap) -> u64 {
    number(headers, STORE_ERA).unwrap_or(0)
}

/// Appends the headers that only requests to targets have: the intended target and
/// the time `left` until the deadline.
pub(crate) fn write_target_headers(buf: &mut BytesMut, target: &str, left: Duration) {
    let left_ms = left.as_millis();
    let lines = format!("{EXPECTED_TARGET}: {target}\r\n{DEADLINE_MS}: {left_ms}\r\n");
    buf.extend_from_slice(lines.as_bytes());
}

/// Removes the headers that [`write_target_headers`] writes.
pub(crate) fn strip_target_headers(headers: &mut HeaderMap) {
    headers.remove(EXPECTED_TARGET);
    headers.remove(DEADLINE_MS);
}

/// Appends the name of the request's account, which targets trust.
pub(crate) fn write_account(buf: &mut BytesMut, account: &CallerName) {
    buf.extend_from_slice(format!("{ACCOUNT}: {account}\r\n").as_bytes());
}

/// Removes the caller's key and what it says of its account. Targets get no key.
pub(crate) fn strip_account_headers(headers: &mut HeaderMap) {
    headers.remove(http::header::AUTHORIZATION);
    headers.remove(ACCOUNT);
}

/// Encodes the body of a directory response, which callers may cache for `ttl`.
pub(crate) fn directory_body(addresses: &[std::net::SocketAddr], ttl: Duration) -> Vec<u8> {
    #[derive(Serialize)]
    struct Body<'a> {
        addresses: &'a [std::net::SocketAddr],
        ttl_s: f64,
    }
    let ttl_s = ttl.as_secs_f64();
    serde_json::to_vec(&Body { addresses, ttl_s }).unwrap_or_default()
}

/// Returns the caller's availability zone from the request target of a directory query.
pub(crate) fn directory_zone(target: &str) -> Option<&str> {
    let (_, query) = target.split_once('?')?;
    query.split('&').find_map(|pair| pair.strip_prefix("zone="))
}

/// Parses `running,waiting,slots` and, optionally, a fourth number above 0: the time that
/// work takes in percent of the usual one.
fn parse_load(text: &str) -> Option<Load> {
    let mut numbers = text.split(',').map(|part| part.trim().parse::<u32>());
    let mut next = || numbers.next()?.ok();
    Some(Load {
        running: next()?,
        waiting: next()?,
        slots: next()?,
        slowness_percent: next().filter(|percent| *percent > 0).unwrap_or(100),
    })
}

/// Parses a rate; one that is not a number of at least 0 is none.
fn parse_limit(text: &str) -> Option<f64> {
    let rate: f64 = text.trim().parse().ok()?;
    (rate.is_finite() && rate >= 0.0).then_some(rate)
}

/// Parses a time in seconds, which may have a fraction; one too long to represent is as long
/// as possible.
fn parse_pause(text: &str) -> Option<Duration> {
    let seconds: f64 = text.trim().parse().ok()?;
    (seconds >= 0.0).then(|| Duration::try_from_secs_f64(seconds).unwrap_or(Duration::MAX))
}

/// Returns the `timeout` parameter of a `Keep-Alive` header.
fn parse_idle_timeout(keep_alive: &str) -> Option<Duration> {
    let seconds = keep_alive
        .split(',')
        .find_map(|part| part.trim().strip_prefix("timeout="))?;
    seconds.trim().parse().ok().map(Duration::from_secs)
}

fn text(headers: &HeaderMap, name: &str) -> Option<String> {
    Some(headers.get(name)?.to_str().ok()?.to_owned())
}

/// Returns the value of a header, or all of its values as a list if they differ.
fn list(headers: &HeaderMap, name: &str) -> Option<String> {
    let mut list = text(headers, name)?;
    let first = headers.get(name);
    for other in headers
        .get_all(name)
        .iter()
        .filter(|value| Some(*value) != first)
    {
        list += ", ";
        list += &String::from_utf8_lossy(other.as_bytes());
    }
    Some(list)
}

fn number(headers: &HeaderMap, name: &str) -> Option<u64> {
    headers.get(name)?.to_str().ok()?.trim().parse().ok()
}

#[cfg(test)]
mod tests;
