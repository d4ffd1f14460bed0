//! Receives the body of a request on its connection.

use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::BytesMut;

use super::body::{BodyDecoder, BodyError, Decoded, Framing};
use super::request_body::{BodyMemory, RequestBody};
use super::server::RequestLimits;

/// Buffer space for each read while a body arrives.
pub(super) const BODY_READ_BYTES: usize = 16 << 10;

/// The body of the current request, as the connection receives it.
pub(super) struct IncomingBody {
    /// The body, shared with the handler.
    pub(super) body: Arc<RequestBody>,
    decoder: Option<BodyDecoder>,
    /// Whether the client waits for an interim response before it sends the body.
    pub(super) awaits_continue: bool,
    /// Longest pause in it.
    pub(super) idle_timeout: Duration,
    last_progress: Instant,
}

impl IncomingBody {
    pub(super) fn new(
        framing: Framing,
        awaits_continue: bool,
        limits: RequestLimits,
        memory: &Arc<BodyMemory>,
    ) -> Self {
        let declared = match framing {
            Framing::Length(length) => Some(length),
            Framing::None => Some(0),
            Framing::Chunked | Framing::UntilClose => None,
        };
        let body = Arc::new(RequestBody::new(declared, memory.clone()));
        let decoder = match BodyDecoder::new(framing, limits.max_body_bytes) {
            Ok(decoder) => Some(decoder),
            Err(err) => {
                body.end(Err(err));
                None
            }
        };
        Self {
            body,
            decoder,
            awaits_continue,
            idle_timeout: limits.idle_timeout,
            last_progress: Instant::now(),
        }
    }

    /// Whether more of it may arrive.
    pub(super) fn is_open(&self) -> bool {
        let complete = self.decoder.as_ref().is_none_or(BodyDecoder::is_complete);
        !complete
    }

    /// Whether its end can be found, so that another request may follow it.
    pub(super) fn may_end(&self) -> bool {
        self.decoder.is_some() && !self.awaits_continue
    }

    /// Moves what has arrived of it from `buf` to the body.
    pub(super) fn receive(&mut self, buf: &mut BytesMut) {
        while let Some(decoder) = &mut self.decoder
            && (decoder.is_complete() || self.body.has_space())
        {
            match decoder.decode(buf, BODY_READ_BYTES) {
                Ok(Decoded::Data(data)) => {
                    self.awaits_continue = false;
                    self.body.push(&data);
                }
                Ok(Decoded::Incomplete) => return,
                Ok(Decoded::End) => {
                    self.awaits_continue = false;
                    self.body.end(Ok(()));
                    return;
                }
                Err(err) => self.fail(err),
            }
        }
    }

    pub(super) fn fail(&mut self, err: BodyError) {
        self.decoder = None;
        self.body.end(Err(err));
    }

    pub(super) fn record_progress(&mut self) {
        self.last_progress = Instant::now();
    }

    pub(super) fn idle_deadline(&self) -> Instant {
        self.last_progress + self.idle_timeout
    }

    /// Drops what has arrived of it in `buf`.
    pub(super) fn discard(&mut self, buf: &mut BytesMut) -> Discarded {
        let Some(decoder) = &mut self.decoder else {
            return Discarded::Failed;
        };
        loop {
            match decoder.decode(buf, usize::MAX) {
                Ok(Decoded::Data(_)) => {}
                Ok(Decoded::End) => return Discarded::All,
                Ok(Decoded::Incomplete) => return Discarded::Incomplete,
                Err(_) => return Discarded::Failed,
            }
        }
    }
}

/// How much of a body was dropped.
pub(super) enum Discarded {
    /// All of it.
    All,
    /// What has arrived.
    Incomplete,
    /// Its end can't be found.
    Failed,
}
