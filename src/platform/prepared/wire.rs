//! Names that the platform's messages use.

use std::time::Duration;

use bytes::BytesMut;
use http::HeaderMap;
use serde::Serialize;

use crate::entry::load::Load;

/// Header with the id of one attempt of a client.
const REQUEST_ID: &str = "x-request-id";
/// Header with the milliseconds that the sender waits.
const DEADLINE_MS: &str = "x-deadline-ms";
/// Header that proves which target answered.
const PROOF: &str = "x-server-signature";
/// Header that names the target that is meant.
const EXPECTED_TARGET: &str = "x-expected-instance";
/// Header with a target's load.
const LOAD: &str = "x-server-load";
/// Header that states that a request was not run.
const NOT_RUN: &str = "x-not-executed";
/// Header that names the target that answered.
const ANSWERED_BY: &str = "x-instance-id";
/// Header with the milliseconds that a target stays cold.
const COLD_MS: &str = "x-warmup-ms";

/// Path of the directory's answers.
pub(crate) const DIRECTORY_PATH: &str = "/api/resolve";
/// Path of the readiness check.
pub(crate) const READINESS_PATH: &str = "/api/readiness";

/// What an entry reads in a request.
#[derive(Debug, Clone, PartialEq)]
pub(crate) struct RequestMeta {
    /// Id of this attempt of the client.
    pub id: Option<String>,
    /// Time that the client waits.
    pub deadline: Option<Duration>,
}

/// What an entry reads in a target's answer.
#[derive(Debug, Clone, PartialEq)]
pub(crate) struct AnswerMeta {
    /// Id of the request that it answers.
    pub id: Option<String>,
    /// Whether it bears a target's proof.
    pub proven: bool,
    /// Whether the target states that it did not run the request.
    pub not_run: bool,
    /// The target that answered.
    pub target: Option<String>,
    /// The target's load.
    pub load: Option<Load>,
    /// How long the target stays cold.
    pub cold_for: Option<Duration>,
    /// How long the target keeps an idle connection.
    pub idle_for: Option<Duration>,
}

/// Reads a request's headers.
pub(crate) fn request_meta(headers: &HeaderMap) -> RequestMeta {
    RequestMeta {
        id: text(headers, REQUEST_ID),
        deadline: number(headers, DEADLINE_MS).map(Duration::from_millis),
    }
}

/// Reads an answer's headers.
pub(crate) fn answer_meta(status: u16, headers: &HeaderMap) -> AnswerMeta {
    AnswerMeta {
        id: text(headers, REQUEST_ID),
        proven: headers.contains_key(PROOF),
        not_run: status == 421 || headers.contains_key(NOT_RUN),
        target: text(headers, ANSWERED_BY),
        load: headers
            .get(LOAD)
            .and_then(|value| load(value.to_str().ok()?)),
        cold_for: number(headers, COLD_MS).map(Duration::from_millis),
        idle_for: text(headers, "keep-alive").and_then(|value| idle_time(&value)),
    }
}

/// Headers of a request to a target, as bytes after the forwarded ones.
pub(crate) fn write_target_headers(buf: &mut BytesMut, target: &str, left: Duration) {
    let left_ms = left.as_millis();
    let lines = format!("{EXPECTED_TARGET}: {target}\r\n{DEADLINE_MS}: {left_ms}\r\n");
    buf.extend_from_slice(lines.as_bytes());
}

/// Removes the headers that [`write_target_headers`] sets.
pub(crate) fn strip_target_headers(headers: &mut HeaderMap) {
    headers.remove(EXPECTED_TARGET);
    headers.remove(DEADLINE_MS);
}

/// Body of a directory's answer.
pub(crate) fn directory_body(addresses: &[std::net::SocketAddr], keep: Duration) -> Vec<u8> {
    #[derive(Serialize)]
    struct Body<'a> {
        addresses: &'a [std::net::SocketAddr],
        ttl_s: f64,
    }
    let ttl_s = keep.as_secs_f64();
    serde_json::to_vec(&Body { addresses, ttl_s }).unwrap_or_default()
}

/// The caller's availability zone in a directory query.
pub(crate) fn directory_zone(target: &str) -> Option<&str> {
    let (_, query) = target.split_once('?')?;
    query.split('&').find_map(|pair| pair.strip_prefix("zone="))
}

/// Reads `running,waiting,slots` and, where a fourth figure stands, the percentage
/// of the usual time that work takes.
fn load(text: &str) -> Option<Load> {
    let mut figures = text.split(',').map(|part| part.trim().parse::<u32>());
    let mut next = || figures.next()?.ok();
    Some(Load {
        running: next()?,
        waiting: next()?,
        slots: next()?,
        slowness_percent: next().unwrap_or(100),
    })
}

fn idle_time(keep_alive: &str) -> Option<Duration> {
    let seconds = keep_alive
        .split(',')
        .find_map(|part| part.trim().strip_prefix("timeout="))?;
    seconds.trim().parse().ok().map(Duration::from_secs)
}

fn text(headers: &HeaderMap, name: &str) -> Option<String> {
    Some(headers.get(name)?.to_str().ok()?.to_owned())
}

fn number(headers: &HeaderMap, name: &str) -> Option<u64> {
    headers.get(name)?.to_str().ok()?.trim().parse().ok()
}

#[cfg(test)]
mod tests;
