//! Body of a request that is received while the request is handled.
//!
//! The connection adds bytes as they arrive, and stops reading while the body has no
//! space. A body that fits is held whole, so that it can be sent again; of a longer one,
//! the bytes that were read are dropped to make space for the rest.

use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use bytes::{Buf, Bytes, BytesMut};
use tokio::sync::Notify;

use super::body::BodyError;

/// Bytes of a body that are held in any case, so that every body makes progress.
const MIN_HELD_BYTES: usize = 16 << 10;

/// Limits on the memory for the bodies of all requests.
#[derive(Debug)]
pub(crate) struct BodyMemory {
    max_held: usize,
    max_total: usize,
    /// Bytes held beyond [`MIN_HELD_BYTES`] of each body.
    total: AtomicUsize,
}

impl BodyMemory {
    /// Allows `max_held` bytes for one body, and `max_total` for all bodies beyond the
    /// first 16 KiB of each.
    pub(crate) fn new(max_held: usize, max_total: usize) -> Self {
        Self {
            max_held,
            max_total,
            total: AtomicUsize::new(0),
        }
    }

    /// Bytes held for all bodies, without the first 16 KiB of each.
    pub(crate) fn total(&self) -> usize {
        self.total.load(Ordering::Relaxed)
    }
}

/// A request's body, shared by its connection and its handler.
#[derive(Debug)]
pub(crate) struct RequestBody {
    state: Mutex<State>,
    /// Length that the head declares, in bytes; `None` for a chunked body.
    declared: Option<usize>,
    memory: Arc<BodyMemory>,
    arrived: Notify,
    freed: Notify,
}

#[derive(Debug)]
struct State {
    held: BytesMut,
    /// Offset of the first held byte in the body.
    start: usize,
    end: Option<Result<(), BodyError>>,
}

/// What has arrived of a body.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Arrival {
    /// Bytes received so far.
    pub received: usize,
    /// Length that the head declares, in bytes; `None` for a chunked body.
    pub declared: Option<usize>,
    /// Whether it was received whole.
    pub complete: bool,
    /// Whether no more is received before some of it is read.
    pub full: bool,
}

/// Why a body can't be read on.
#[derive(Debug, derive_more::Display)]
pub(crate) enum ReadError {
    /// The bytes at this offset were dropped.
    #[display("the start of the body is no longer held")]
    Dropped,
    /// The caller did not send the body whole.
    #[display("{_0}")]
    Failed(BodyError),
}

impl RequestBody {
    pub(crate) fn new(declared: Option<usize>, memory: Arc<BodyMemory>) -> Self {
        Self {
            state: Mutex::new(State {
                held: BytesMut::new(),
                start: 0,
                end: None,
            }),
            declared,
            memory,
            arrived: Notify::new(),
            freed: Notify::new(),
        }
    }

    /// Adds bytes that arrived.
    pub(crate) fn push(&self, data: &[u8]) {
        let mut state = self.lock();
        let before = state.held.len();
        state.held.extend_from_slice(data);
        self.account(before, state.held.len());
        drop(state);
        self.arrived.notify_waiters();
    }

    /// Ends the body; only the first end counts.
    pub(crate) fn end(&self, end: Result<(), BodyError>) {
        self.lock().end.get_or_insert(end);
        self.arrived.notify_waiters();
    }

    /// Whether more bytes may be added.
    pub(crate) fn has_space(&self) -> bool {
        self.has_space_for(self.lock().held.len())
    }

    /// Waits until bytes were dropped.
    pub(crate) async fn freed(&self) {
        let freed = self.freed.notified();
        if !self.has_space() {
            freed.await;
        }
    }

    /// Waits until bytes arrive or the body ends, unless this has happened since `known`.
    pub(crate) async fn arrived_since(&self, known: Arrival) {
        loop {
            let arrived = self.arrived.notified();
            if self.arrival() != known || self.failure().is_some() {
                return;
            }
            arrived.await;
        }
    }

    pub(crate) fn arrival(&self) -> Arrival {
        let state = self.lock();
        Arrival {
            received: state.start + state.held.len(),
            declared: self.declared,
            complete: state.end == Some(Ok(())),
            full: !self.has_space_for(state.held.len()),
        }
    }

    /// Why the body can't be received whole, if so.
    pub(crate) fn failure(&self) -> Option<BodyError> {
        self.lock().end.clone()?.err()
    }

    /// Whether it can be read from its start.
    pub(crate) fn is_replayable(&self) -> bool {
        self.lock().start == 0
    }

    /// Whether it was received whole and all of it is held.
    pub(crate) fn is_held_whole(&self) -> bool {
        let state = self.lock();
        state.start == 0 && state.end == Some(Ok(()))
    }

    /// A copy of its first bytes, `length` at most; fewer if fewer have arrived.
    pub(crate) fn first_bytes(&self, length: usize) -> Bytes {
        let state = self.lock();
        Bytes::copy_from_slice(&state.held[..length.min(state.held.len())])
    }

    /// Reads at most `max` bytes at `offset`, and waits for them; empty at the end of the
    /// body. Bytes before `offset` may be dropped.
    ///
    /// # Errors
    /// See [`ReadError`].
    pub(crate) async fn read(&self, offset: usize, max: usize) -> Result<Bytes, ReadError> {
        loop {
            let arrived = self.arrived.notified();
            if let Some(read) = self.try_read(offset, max) {
                return read;
            }
            arrived.await;
        }
    }

    /// Like [`Self::read`]; `None` if it would wait.
    pub(crate) fn try_read(&self, offset: usize, max: usize) -> Option<Result<Bytes, ReadError>> {
        let mut state = self.lock();
        let Some(index) = offset.checked_sub(state.start) else {
            return Some(Err(ReadError::Dropped));
        };
        if state.end.is_none() && index > 0 && !self.has_space_for(state.held.len()) {
            self.drop_front(&mut state, index);
        }
        let available = &state.held[offset - state.start..];
        if !available.is_empty() {
            let length = max.min(available.len());
            return Some(Ok(Bytes::copy_from_slice(&available[..length])));
        }
        match state.end.as_ref()? {
            Ok(()) => Some(Ok(Bytes::new())),
            Err(err) => Some(Err(ReadError::Failed(err.clone()))),
        }
    }

    fn drop_front(&self, state: &mut State, count: usize) {
        let before = state.held.len();
        state.held.advance(count);
        state.start += count;
        self.account(before, state.held.len());
        self.freed.notify_waiters();
    }

    fn has_space_for(&self, held: usize) -> bool {
        held < MIN_HELD_BYTES
            || (held < self.memory.max_held && self.memory.total() < self.memory.max_total)
    }

    fn account(&self, before: usize, after: usize) {
        let counted = |held: usize| held.saturating_sub(MIN_HELD_BYTES);
        let (before, after) = (counted(before), counted(after));
        let total = &self.memory.total;
        if after > before {
            total.fetch_add(after - before, Ordering::Relaxed);
        } else {
            total.fetch_sub(before - after, Ordering::Relaxed);
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Drop for RequestBody {
    fn drop(&mut self) {
        let held = self.lock().held.len();
        self.account(held, 0);
    }
}
