//! Runs a keyed call on the instance that received it.

use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use base64::engine::general_purpose::STANDARD;
use base64::{DecodeError, Engine};
use bytes::{Bytes, BytesMut};
use http::{HeaderMap, StatusCode, header};
use xitca_web::body::{Body, Frame};

use super::{KeyedBegin, KeyedEnd, KeyedResponse, RecordKey, RecordedOutcome, Token, coordinator};
use crate::dispatch::InFlightGuard;
use crate::dispatch::attempt::TargetResponse;
use crate::dispatch::body::{CallBody, DownstreamBody};
use crate::dispatch::call::{self, Call};
use crate::dispatch::crash;
use crate::dispatch::kind::{ErrorKind, Ran};
use crate::http1::status::{InvalidStatus, parse_final_status};
use crate::instance::Instance;

/// Header with the idempotency key of a call that must run at most once.
pub(crate) const KEY_HEADER: &str = "idempotency-key";
/// Longest idempotency key, in bytes.
const MAX_KEY_BYTES: usize = 256;
/// Largest response body that is recorded, in bytes.
const MAX_RECORDED_BYTES: u64 = 1024;
/// Longest wait for the coordinator's response.
const COORDINATOR_TIMEOUT: Duration = Duration::from_secs(2);

static NEXT_TOKEN: AtomicU64 = AtomicU64::new(1);

/// Result of a keyed call.
pub(crate) enum KeyedResult {
    /// The target's response, too large to be recorded.
    Stream(Box<TargetResponse>, InFlightGuard),
    /// The target's response, head and complete body; it is being recorded.
    Whole(Box<http::response::Parts>, Bytes),
    /// The recorded response of an earlier call with the same key.
    Recorded(RecordedOutcome),
}

/// Returns the idempotency key of a call, if it has one.
///
/// # Errors
/// [`ErrorKind::BadRequest`] if the key is empty, too long or given more than once.
pub(crate) fn key(headers: &HeaderMap) -> Result<Option<Bytes>, ErrorKind> {
    let mut keys = headers.get_all(KEY_HEADER).iter();
    let Some(key) = keys.next() else {
        return Ok(None);
    };
    if key.is_empty() || key.len() > MAX_KEY_BYTES || keys.next().is_some() {
        return Err(ErrorKind::BadRequest);
    }
    Ok(Some(Bytes::copy_from_slice(key.as_bytes())))
}

/// Records a keyed call, runs it, and records its response.
///
/// # Errors
/// The kind of error if no response is available.
pub(crate) async fn run(
    instance: &Arc<Instance>,
    call: Call,
    body: CallBody,
    key: &[u8],
    in_flight: InFlightGuard,
) -> Result<KeyedResult, ErrorKind> {
    let fingerprint = crash::fingerprint(&call, &body);
    let number = NEXT_TOKEN.fetch_add(1, Ordering::Relaxed);
    let deadline = call.requirements.deadline;
    let begin = KeyedBegin {
        key: RecordKey::of(&call.requirements.service, &call.requirements.caller, key),
        token: Token(format!("{}-{number}", instance.tables.member.start)),
        fingerprint,
    };
    let end = |outcome| KeyedEnd {
        key: begin.key.clone(),
        token: begin.token.clone(),
        fingerprint,
        outcome,
    };
    let left = deadline.since(instance.tables.clock.now());
    match begin_at_coordinator(instance, &begin, left).await {
        KeyedResponse::Fresh => {}
        KeyedResponse::Accepted => return Err(ErrorKind::AlreadyAccepted),
        KeyedResponse::Done(outcome) => return Ok(KeyedResult::Recorded(outcome)),
        KeyedResponse::Reused => return Err(ErrorKind::KeyReused),
        KeyedResponse::Unavailable => {
            // The coordinator may have written the record nevertheless.
            instance
                .rt
                .spawn(finish_at_coordinator(Arc::clone(instance), end(None)));
            return Err(ErrorKind::RecordUnavailable);
        }
    }
    let response = match call::run(instance, call, body).await {
        Ok(response) => response,
        Err(kind) if kind.response().ran == Ran::No => {
            // The key is freed before the caller learns that the call did not run.
            finish_at_coordinator(Arc::clone(instance), end(None)).await;
            return Err(kind);
        }
        Err(kind) => return Err(kind),
    };
    let size = hyper::body::Body::size_hint(response.resp.body()).exact();
    if size.is_none_or(|size| size > MAX_RECORDED_BYTES) {
        return Ok(KeyedResult::Stream(Box::new(response), in_flight));
    }
    let (parts, body) = read(response, in_flight).await?;
    let outcome = RecordedOutcome {
        status: parts.status.as_u16(),
        content_type: content_type(&parts.headers),
        body: STANDARD.encode(&body),
    };
    let shared = Arc::clone(instance);
    instance
        .rt
        .spawn(finish_at_coordinator(shared, end(Some(outcome))));
    Ok(KeyedResult::Whole(Box::new(parts), body))
}

impl RecordedOutcome {
    /// Returns the status.
    ///
    /// # Errors
    /// It is none of a response.
    pub(crate) fn status(&self) -> Result<StatusCode, InvalidStatus> {
        parse_final_status(self.status)
    }

    /// Returns the decoded body.
    ///
    /// # Errors
    /// It is not base64.
    pub(crate) fn bytes(&self) -> Result<Bytes, DecodeError> {
        STANDARD.decode(&self.body).map(Bytes::from)
    }
}

fn content_type(headers: &HeaderMap) -> Option<String> {
    let value = headers.get(header::CONTENT_TYPE)?;
    value.to_str().ok().map(str::to_owned)
}

/// Reads the complete body of a small response.
async fn read(
    response: TargetResponse,
    in_flight: InFlightGuard,
) -> Result<(http::response::Parts, Bytes), ErrorKind> {
    let (parts, body) = response.resp.into_parts();
    let mut body = DownstreamBody::new(body, response.exchange, in_flight);
    let mut buf = BytesMut::new();
    while let Some(frame) = std::future::poll_fn(|cx| Pin::new(&mut body).poll_frame(cx)).await {
        if let Frame::Data(data) = frame.map_err(|_| ErrorKind::TargetBroken)? {
            buf.extend_from_slice(&data);
        }
    }
    Ok((parts, buf.freeze()))
}

async fn begin_at_coordinator(
    instance: &Arc<Instance>,
    begin: &KeyedBegin,
    left: Duration,
) -> KeyedResponse {
    let directory = instance.tables.directory();
    let Some(member) = super::coordinator(&begin.key, directory.members.values()) else {
        return KeyedResponse::Unavailable;
    };
    let request = async {
        if member.start == instance.tables.member.start {
            return coordinator::begin(instance, begin.clone()).await;
        }
        let response = instance
            .peers
            .call::<KeyedResponse>(member.peers, "keyed_begin", begin);
        response.await.unwrap_or(KeyedResponse::Unavailable)
    };
    tokio::time::timeout(left.min(COORDINATOR_TIMEOUT), request)
        .await
        .unwrap_or(KeyedResponse::Unavailable)
}

async fn finish_at_coordinator(instance: Arc<Instance>, end: KeyedEnd) {
    let directory = instance.tables.directory();
    let Some(member) = super::coordinator(&end.key, directory.members.values()) else {
        return;
    };
    let request = async {
        if member.start == instance.tables.member.start {
            return coordinator::finish(&instance, end).await;
        }
        let response = instance.peers.call::<bool>(member.peers, "keyed_end", &end);
        response.await.unwrap_or(false)
    };
    let recorded = tokio::time::timeout(COORDINATOR_TIMEOUT, request).await;
    if !matches!(recorded, Ok(true)) {
        tracing::warn!("the end of a keyed call could not be recorded; its key remains accepted");
    }
}
