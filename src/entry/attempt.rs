//! One attempt of a request at one target.

use std::hash::{Hash, Hasher};
use std::sync::Arc;
use std::time::Instant;

use bytes::BytesMut;
use siphasher::sip::SipHasher13;

use super::choice::Choice;
use super::pool::TargetConn;
use super::shared::Shared;
use super::verdict::Fact;
use crate::dispatch::quarantine::Fingerprint;
use crate::http1::client::{Conn, ExchangeError, OutgoingRequest, Response};
use crate::http1::server::Request;
use crate::http1::write_headers;
use crate::names::TargetId;
use crate::platform::prepared::wire::{self, RequestMeta};

/// Largest answer that is taken whole, in bytes.
const MAX_ANSWER: usize = 64 << 20;
/// Keys of the hash that tells requests apart; every instance must use the same.
const HASH_KEYS: (u64, u64) = (0x7265_7175_6573_745f, 0x6669_6e67_6572_7072);

/// A request as it goes out to targets.
#[derive(Debug)]
pub(crate) struct Outbound {
    /// Id of the caller's attempt.
    pub id: Arc<str>,
    /// Name of its route.
    pub route: Arc<str>,
    /// When its first byte came.
    pub began: Instant,
    until: Instant,
    head: BytesMut,
    body: bytes::Bytes,
    has_length: bool,
    is_head: bool,
}

impl Outbound {
    pub(crate) fn new(req: Request, meta: RequestMeta, route: Arc<str>, until: Instant) -> Self {
        let mut headers = req.headers;
        wire::strip_target_headers(&mut headers);
        let has_length = req.chunked || headers.contains_key(http::header::CONTENT_LENGTH);
        let mut head = BytesMut::with_capacity(512);
        head.extend_from_slice(req.method.as_bytes());
        head.extend_from_slice(b" ");
        head.extend_from_slice(req.target.as_bytes());
        head.extend_from_slice(b" HTTP/1.1\r\n");
        write_headers(&mut head, &headers);
        Self {
            id: meta.id.unwrap_or_default().into(),
            route,
            began: req.received,
            until,
            head,
            is_head: req.method == "HEAD",
            has_length,
            body: req.body,
        }
    }

    fn encode(&self, target: &TargetId) -> BytesMut {
        let left = self.until.saturating_duration_since(Instant::now());
        let mut buf = BytesMut::with_capacity(self.head.len() + self.body.len() + 128);
        buf.extend_from_slice(&self.head);
        wire::write_target_headers(&mut buf, target.as_str(), left);
        if self.has_length {
            buf.extend_from_slice(format!("content-length: {}\r\n", self.body.len()).as_bytes());
        }
        buf.extend_from_slice(b"\r\n");
        buf.extend_from_slice(&self.body);
        buf
    }
}

/// What makes two requests the same: host, method, path, query and body.
pub(crate) fn fingerprint(host: &str, req: &Request) -> Fingerprint {
    let mut hasher = SipHasher13::new_with_keys(HASH_KEYS.0, HASH_KEYS.1);
    (host, &req.method, &req.target, &*req.body).hash(&mut hasher);
    Fingerprint(hasher.finish())
}

/// What came of an attempt.
#[derive(Debug)]
pub(crate) struct Attempted {
    /// The target, and what its choice rested on.
    pub choice: Choice,
    /// What it came to.
    pub fact: Fact,
    /// The target's answer, where one may be passed on.
    pub answer: Option<Response>,
}

/// Sends a request to a target and notes what came of it.
pub(crate) async fn run(
    shared: Arc<Shared>,
    out: Arc<Outbound>,
    choice: Choice,
    once: bool,
    fingerprint: Fingerprint,
) -> Attempted {
    let in_flight = InFlight {
        shared: &shared,
        target: &choice.id,
    };
    let began = Instant::now();
    let result = exchange(&shared, &out, &choice, once).await;
    let (fact, answer) = shared.note_result(&out, &choice, began, fingerprint, result);
    drop(in_flight);
    Attempted {
        choice,
        fact,
        answer,
    }
}

/// Counts a request as in flight at a target until it ends or is cancelled.
struct InFlight<'a> {
    shared: &'a Shared,
    target: &'a TargetId,
}

impl Drop for InFlight<'_> {
    fn drop(&mut self) {
        self.shared.state().cancel(self.target);
        self.shared.room.notify_waiters();
    }
}

async fn exchange(
    shared: &Shared,
    out: &Outbound,
    choice: &Choice,
    once: bool,
) -> Result<Response, ExchangeError> {
    let now = shared.now();
    let mut conn = match shared.pool.take(now, &choice.id, once) {
        Some(conn) => conn,
        None => connect(shared, choice).await?,
    };
    let bytes = out.encode(&choice.id);
    let outgoing = OutgoingRequest {
        bytes: &bytes,
        is_head: out.is_head,
        max_response_bytes: MAX_ANSWER,
    };
    let is_ours = |answer: &Response| {
        wire::response_meta(answer.status, &answer.headers)
            .id
            .is_none_or(|id| *id == *out.id)
    };
    let answer = conn.conn.exchange(&outgoing, is_ours).await?;
    let meta = wire::response_meta(answer.status, &answer.headers);
    shared
        .pool
        .put(shared.now(), &choice.id, conn, meta.idle_for);
    Ok(answer)
}

async fn connect(shared: &Shared, choice: &Choice) -> Result<TargetConn, ExchangeError> {
    let (limit, token) = {
        let state = shared.state();
        let token = state
            .fleet
            .get(&choice.id)
            .map(|view| view.connections.clone());
        (state.tuning.connect_timeout, token)
    };
    let token = token.ok_or_else(|| ExchangeError::NotSent("the target is gone".into()))?;
    shared.metrics.connects.inc();
    let opened = Conn::connect(choice.address, limit).await;
    if opened.is_err() {
        let now = shared.now();
        if let Some(view) = shared.state().fleet.get_mut(&choice.id) {
            view.note_unreachable(now);
        }
    }
    Ok(TargetConn {
        conn: opened?,
        _token: token,
    })
}

impl Shared {
    /// Classifies the result of an exchange and notes what it says of the target.
    fn note_result(
        &self,
        out: &Outbound,
        choice: &Choice,
        began: Instant,
        fingerprint: Fingerprint,
        result: Result<Response, ExchangeError>,
    ) -> (Fact, Option<Response>) {
        let now = self.now();
        let (fact, answer, cause) = classify(&out.id, result);
        let mut state = self.state();
        if let (Some(view), Some(answer)) = (state.fleet.get_mut(&choice.id), &answer) {
            let meta = wire::response_meta(answer.status, &answer.headers);
            view.note_answer(now);
            if let Some(load) = meta.load {
                view.note_load(now, load);
            }
            if answer.status == 421 {
                view.note_unreachable(now);
            }
        }
        if let Some(view) = state.fleet.get_mut(&choice.id)
            && fact != Fact::NotSent
        {
            view.note_outcome(now, fact != Fact::Answered);
        }
        match fact {
            Fact::Lost => state
                .quarantine
                .record_broken_call(now, choice.address, fingerprint),
            Fact::Answered => {
                state.quarantine.record_response(now, fingerprint);
                let at = &choice.candidate;
                if let Some(percent) = at.slowness_percent
                    && at.occupied < at.slots
                {
                    let took = began.elapsed();
                    state.typical.note(&out.route, took, percent / 100.0);
                }
            }
            _ => {}
        }
        drop(state);
        if fact == Fact::Answered {
            self.metrics.target(began.elapsed());
        } else {
            tracing::info!(
                request = &*out.id,
                target = %choice.id,
                address = %choice.address,
                fact = ?fact,
                cause,
                took_ms = u64::try_from(began.elapsed().as_millis()).unwrap_or(u64::MAX),
                "attempt failed"
            );
        }
        (fact, answer)
    }
}

/// What an exchange came to, the answer if it may be passed on, and the cause of a
/// failure.
fn classify(id: &str, result: Result<Response, ExchangeError>) -> (Fact, Option<Response>, String) {
    let answer = match result {
        Ok(answer) => answer,
        Err(err @ ExchangeError::NotSent(_)) => return (Fact::NotSent, None, err.to_string()),
        Err(err) => return (Fact::Lost, None, err.to_string()),
    };
    let meta = wire::response_meta(answer.status, &answer.headers);
    let cause = format!("status {}", answer.status);
    if meta.not_run {
        return (Fact::NotRun, Some(answer), cause);
    }
    let is_ours = meta.id.as_deref() == Some(id);
    let is_encoded = answer.headers.contains_key(http::header::CONTENT_ENCODING);
    if !is_ours || is_encoded || !meta.proven && (200..300).contains(&answer.status) {
        return (Fact::Lost, None, "an answer without proof".into());
    }
    if answer.status >= 500 || matches!(answer.status, 408 | 429) {
        return (Fact::TargetFailed, Some(answer), cause);
    }
    (Fact::Answered, Some(answer), cause)
}
