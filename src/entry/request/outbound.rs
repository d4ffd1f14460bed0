//! A request in the form that is sent to targets.

use std::sync::Arc;
use std::time::Instant;

use bytes::BytesMut;

use crate::entry::request::admission::AdmittedRequest;
use crate::http1::request_body::RequestBody;
use crate::http1::server::Request;
use crate::http1::write_headers;
use crate::names::TargetId;
use crate::platform::prepared::wire::{self, RequestMeta};

/// Characters of a request's path that log lines contain.
const MAX_LOGGED_PATH: usize = 96;

/// A request in the form that is sent to targets.
#[derive(Debug)]
pub(crate) struct OutboundRequest {
    /// Request id; the caller assigns a new one to each of its attempts.
    pub id: Arc<str>,
    /// Name of its route.
    pub route: Arc<str>,
    /// Start of its path, for the log.
    pub path: Box<str>,
    /// When its first byte arrived.
    pub started: Instant,
    deadline: Instant,
    head: BytesMut,
    /// Its body, which may still be arriving.
    pub body: Arc<RequestBody>,
    has_body: bool,
    /// Whether it is a HEAD request.
    pub is_head: bool,
}

/// Length that an encoded head declares for the body.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum DeclaredLength {
    /// There is no body.
    None,
    /// This many bytes.
    Bytes(usize),
    /// The body has the chunked transfer coding.
    Chunked,
}

impl OutboundRequest {
    pub(crate) fn new(
        req: Request,
        meta: RequestMeta,
        admitted: &AdmittedRequest,
        deadline: Instant,
    ) -> Self {
        let mut headers = req.headers;
        wire::strip_target_headers(&mut headers);
        if admitted.uses_accounts {
            wire::strip_account_headers(&mut headers);
        }
        let has_body = req.chunked || headers.contains_key(http::header::CONTENT_LENGTH);
        let mut head = BytesMut::with_capacity(512);
        head.extend_from_slice(req.method.as_bytes());
        head.extend_from_slice(b" ");
        head.extend_from_slice(req.target.as_bytes());
        head.extend_from_slice(b" HTTP/1.1\r\n");
        write_headers(&mut head, &headers);
        if let Some(account) = &admitted.account {
            wire::write_account(&mut head, &account.name);
        }
        Self {
            id: meta.id.unwrap_or_default().into(),
            route: admitted.route.name.clone(),
            path: logged_path(&req.target),
            started: req.received,
            deadline,
            head,
            is_head: req.method == "HEAD",
            has_body,
            body: req.body,
        }
    }

    pub(super) fn declared_length(&self) -> DeclaredLength {
        if !self.has_body {
            return DeclaredLength::None;
        }
        let arrival = self.body.arrival();
        match arrival.declared {
            Some(length) => DeclaredLength::Bytes(length),
            None if arrival.complete => DeclaredLength::Bytes(arrival.received),
            None => DeclaredLength::Chunked,
        }
    }

    pub(super) fn encode_head(&self, target: &TargetId, length: DeclaredLength) -> BytesMut {
        let left = self.deadline.saturating_duration_since(Instant::now());
        let mut buf = BytesMut::with_capacity(self.head.len() + 128);
        buf.extend_from_slice(&self.head);
        wire::write_target_headers(&mut buf, target.as_str(), left);
        match length {
            DeclaredLength::None => {}
            DeclaredLength::Bytes(length) => {
                buf.extend_from_slice(format!("content-length: {length}\r\n").as_bytes());
            }
            DeclaredLength::Chunked => buf.extend_from_slice(b"transfer-encoding: chunked\r\n"),
        }
        buf.extend_from_slice(b"\r\n");
        buf
    }
}

/// The start of a request target's path.
pub(super) fn logged_path(target: &str) -> Box<str> {
    let path = target.split('?').next().unwrap_or_default();
    path.chars().take(MAX_LOGGED_PATH).collect()
}
