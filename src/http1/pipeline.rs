//! Requests of one connection that run side by side, and their responses in order.

use std::collections::VecDeque;
use std::future::{Future, poll_fn};
use std::pin::Pin;
use std::task::Poll;

use super::head::Persistence;
use super::incoming::IncomingBody;
use super::server::Reply;

/// Requests of one connection that run at a time.
const MAX_RUNNING: usize = 8;
/// Bytes of responses that wait for an earlier one, as far as the responses so far let
/// expect; more requests are not started.
const MAX_HELD_BYTES: usize = 2 << 20;
/// Expected size of a response before the first one, in bytes.
const FIRST_EXPECTED_BYTES: usize = 64 << 10;

/// A request that is being handled.
pub(super) struct Exchange<F> {
    handler: Pin<Box<F>>,
    /// The response, once the handler has ended.
    reply: Option<Reply>,
    /// Whether the client keeps the connection open after the response.
    pub(super) persistence: Persistence,
    /// Whether it is a HEAD request.
    pub(super) is_head: bool,
    /// Its body.
    pub(super) incoming: IncomingBody,
}

impl<F> Exchange<F> {
    pub(super) fn new(
        handler: F,
        persistence: Persistence,
        is_head: bool,
        incoming: IncomingBody,
    ) -> Self {
        Self {
            handler: Box::pin(handler),
            reply: None,
            persistence,
            is_head,
            incoming,
        }
    }

    /// Whether the next request may be started: its first byte is known, and the connection
    /// stays open.
    pub(super) fn may_be_followed(&self) -> bool {
        self.persistence != Persistence::Close
            && self.incoming.may_end()
            && !self.incoming.is_open()
    }
}

/// The requests of a connection that have been started and not been answered, in order.
pub(super) struct Pipeline<F> {
    exchanges: VecDeque<Exchange<F>>,
    /// Largest body of a response so far.
    largest_reply: Option<usize>,
}

impl<F: Future<Output = Reply>> Pipeline<F> {
    pub(super) fn new() -> Self {
        Self {
            exchanges: VecDeque::new(),
            largest_reply: None,
        }
    }

    pub(super) fn push(&mut self, exchange: Exchange<F>) {
        self.exchanges.push_back(exchange);
    }

    /// The request that is answered next.
    pub(super) fn front_mut(&mut self) -> Option<&mut Exchange<F>> {
        self.exchanges.front_mut()
    }

    /// Whether another request may be started behind those that run.
    pub(super) fn may_start(&self) -> bool {
        let expected = self.largest_reply.unwrap_or(FIRST_EXPECTED_BYTES);
        let count = self.exchanges.len();
        let has_room =
            count < MAX_RUNNING && (count + 1).saturating_mul(expected) <= MAX_HELD_BYTES;
        has_room && self.exchanges.back().is_some_and(Exchange::may_be_followed)
    }

    /// Waits for the response of the first request, while all of them run.
    pub(super) async fn front_replied(&mut self) {
        poll_fn(|cx| {
            for exchange in &mut self.exchanges {
                if exchange.reply.is_none()
                    && let Poll::Ready(reply) = exchange.handler.as_mut().poll(cx)
                {
                    let largest = self.largest_reply.unwrap_or_default();
                    self.largest_reply = Some(largest.max(reply.body.len()));
                    exchange.reply = Some(reply);
                }
            }
            match self.exchanges.front() {
                Some(front) if front.reply.is_none() => Poll::Pending,
                _ => Poll::Ready(()),
            }
        })
        .await;
    }

    /// Takes the first request and its response; `None` before [`Self::front_replied`].
    pub(super) fn take_front(&mut self) -> Option<(Exchange<F>, Reply)> {
        let reply = self.exchanges.front_mut()?.reply.take()?;
        Some((self.exchanges.pop_front()?, reply))
    }
}
