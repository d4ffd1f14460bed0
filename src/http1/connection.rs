//! Reads the heads of requests from a client's connection, and sends and closes.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use bytes::BytesMut;
use futures_util::FutureExt;
use http::HeaderMap;
use tokio::io::{AsyncReadExt, AsyncWriteExt, Interest};
use tokio::net::TcpStream;
use tokio::sync::watch;

use super::READ_BYTES;
use super::body::Framing;
use super::head::{EncodedReply, Head, parse_request};
use super::incoming::{BODY_READ_BYTES, Discarded, IncomingBody};
use super::rejection::{RejectReason, Rejection};
use super::server::{CurrentLimits, MayRunAhead, RequestLimits, ShutdownPhase};

/// Time that a client has to receive a response; longer than any request deadline.
const WRITE_TIMEOUT: Duration = Duration::from_secs(15);
/// Time for which a closed connection is still read. Closing a socket with unread bytes
/// resets it, and a reset can destroy a response that is on its way.
const LINGER: Duration = Duration::from_millis(300);
/// Time for which a connection that has sent no request yet is kept open when the others are
/// closed: its first request may be on its way.
const FIRST_REQUEST_TIME: Duration = Duration::from_millis(300);
/// Interval at which a connection from which nothing may be read is checked for its end.
const CLOSE_CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Time to read the rest of a body whose request has its response. A client that sends
/// longer is disconnected.
const DISCARD_TIMEOUT: Duration = Duration::from_secs(2);

/// Connection of a client.
pub(super) struct ServerConn {
    stream: TcpStream,
    /// Received bytes that no request has taken.
    pub(super) buf: BytesMut,
    /// Bytes read so far.
    total_read: u64,
    /// When the bytes in `buf` were read: the position of the first one of each read.
    reads: VecDeque<(u64, Instant)>,
    /// Requests started so far.
    requests: u64,
}

/// What happened on a connection while a request was handled.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Input {
    /// Bytes were read.
    Read,
    /// Nothing may be read, and the client has not left.
    Pending,
    /// The client has closed the connection.
    Closed,
}

/// What to do next on a connection.
pub(super) enum Next {
    /// Handle a request whose first byte was available at this time, by the limits then.
    Request(Head, Instant, RequestLimits),
    /// Reject a request and close the connection.
    Reject(Rejection),
    /// End the connection without a response.
    End,
}

impl ServerConn {
    pub(super) fn new(stream: TcpStream) -> Self {
        Self {
            stream,
            buf: BytesMut::new(),
            total_read: 0,
            reads: VecDeque::new(),
            requests: 0,
        }
    }

    /// Reads some bytes, `count` at most at a time; false once the client has closed the
    /// connection. Dropping the future loses none.
    pub(super) async fn read(&mut self, count: usize) -> bool {
        self.buf.reserve(count);
        match self.stream.read_buf(&mut self.buf).await {
            Ok(count) if count > 0 => {
                self.reads.push_back((self.total_read, Instant::now()));
                self.total_read += count as u64;
                self.forget_reads();
                true
            }
            _ => false,
        }
    }

    /// Reads some bytes, like [`Self::read`], or without a `count` waits a little and checks
    /// whether the client has left. Its bytes that have not been read do not hide that.
    pub(super) async fn next_input(&mut self, count: Option<usize>) -> Input {
        let Some(count) = count else {
            tokio::time::sleep(CLOSE_CHECK_INTERVAL).await;
            let ready = self.stream.ready(Interest::READABLE).now_or_never();
            return match ready {
                Some(Ok(ready)) if !ready.is_read_closed() => Input::Pending,
                None => Input::Pending,
                Some(_) => Input::Closed,
            };
        };
        if self.read(count).await {
            Input::Read
        } else {
            Input::Closed
        }
    }

    /// Forgets when bytes were read that are no longer in the buffer.
    fn forget_reads(&mut self) {
        let first = self.total_read - self.buf.len() as u64;
        while self.reads.get(1).is_some_and(|(start, _)| *start <= first) {
            self.reads.pop_front();
        }
    }

    /// When the first byte in the buffer was read.
    fn first_byte_read(&mut self) -> Instant {
        self.forget_reads();
        self.reads.front().map_or_else(Instant::now, |(_, at)| *at)
    }

    /// Takes the next request out of the buffer if it is whole, may be started beside earlier
    /// ones, and `may_run_ahead` allows it.
    pub(super) fn next_ahead(
        &mut self,
        limits: RequestLimits,
        may_run_ahead: &MayRunAhead,
    ) -> Option<(Head, Instant)> {
        // An invalid request is rejected once the earlier ones are answered.
        let (head, length) = parse_request(&self.buf).ok()??;
        let is_plain = head.framing == Framing::None
            && head.expects_continue() == Ok(false)
            && length <= limits.max_header_bytes;
        if !is_plain || !may_run_ahead(&head.target, &head.headers) {
            return None;
        }
        let received = self.first_byte_read();
        let _ = self.buf.split_to(length);
        self.requests += 1;
        Some((head, received))
    }

    /// Reads the head of the next request.
    pub(super) async fn next_head(
        &mut self,
        limits: &CurrentLimits,
        shutdown: &mut watch::Receiver<ShutdownPhase>,
    ) -> Next {
        if self.buf.is_empty() && !self.wait_for_bytes(limits, shutdown).await {
            return Next::End;
        }
        let limits = limits();
        let received = self.first_byte_read();
        let head = match tokio::time::timeout(limits.header_timeout, self.read_head(limits)).await {
            Ok(Ok(head)) => head,
            Ok(Err(next)) => return next,
            Err(_) => return self.reject(RejectReason::HeadTimedOut, HeaderMap::new()),
        };
        if let Err(reason) = head.expects_continue() {
            return self.reject(reason, head.headers);
        }
        match head.framing {
            Framing::Length(length) if length > limits.max_body_bytes => {
                self.reject(RejectReason::BodyTooLarge(length), head.headers)
            }
            _ => {
                self.requests += 1;
                Next::Request(head, received, limits)
            }
        }
    }

    fn reject(&self, reason: RejectReason, headers: HeaderMap) -> Next {
        Next::Reject(Rejection {
            reason,
            headers,
            buffered: self.buf.len(),
            requests_before: self.requests,
        })
    }

    /// Waits for the first bytes of a request; false if the connection must end.
    async fn wait_for_bytes(
        &mut self,
        limits: &CurrentLimits,
        shutdown: &mut watch::Receiver<ShutdownPhase>,
    ) -> bool {
        let since = Instant::now();
        let mut idle = limits().idle_timeout;
        let grace = if self.total_read == 0 {
            FIRST_REQUEST_TIME
        } else {
            Duration::ZERO
        };
        let closing = async {
            // An error means that the process is ending.
            let _ = shutdown
                .wait_for(|phase| *phase >= ShutdownPhase::Closing)
                .await;
            tokio::time::sleep(grace).await;
        };
        tokio::pin!(closing);
        loop {
            tokio::select! {
                biased;
                has_read = self.read(READ_BYTES) => return has_read,
                () = &mut closing => return false,
                () = tokio::time::sleep_until((since + idle).into()) => {
                    let earlier = std::mem::replace(&mut idle, limits().idle_timeout);
                    if idle <= earlier {
                        return false;
                    }
                }
            }
        }
    }

    async fn read_head(&mut self, limits: RequestLimits) -> Result<Head, Next> {
        loop {
            while self.buf.first() == Some(&b'\r') || self.buf.first() == Some(&b'\n') {
                let _ = self.buf.split_to(1);
            }
            let parsed = match parse_request(&self.buf) {
                Ok(parsed) => parsed,
                Err(reason) => return Err(self.reject(reason, HeaderMap::new())),
            };
            let max = limits.max_header_bytes;
            if let Some((head, length)) = parsed {
                if length > max {
                    return Err(self.reject(RejectReason::HeadTooLarge(max), head.headers));
                }
                let _ = self.buf.split_to(length);
                return Ok(head);
            }
            if self.buf.len() > max {
                return Err(self.reject(RejectReason::HeadTooLarge(max), HeaderMap::new()));
            }
            if !self.read(READ_BYTES).await {
                return Err(Next::End);
            }
        }
    }

    /// Reads and drops the rest of a request's body, after which the next request follows.
    /// False if the connection must be closed.
    pub(super) async fn discard_rest(&mut self, incoming: &mut IncomingBody) -> bool {
        let deadline = Instant::now() + DISCARD_TIMEOUT;
        loop {
            match incoming.discard(&mut self.buf) {
                Discarded::All => return true,
                Discarded::Failed => return false,
                Discarded::Incomplete => {}
            }
            let reading = self.read(BODY_READ_BYTES);
            if tokio::time::timeout_at(deadline.into(), reading).await != Ok(true) {
                return false;
            }
        }
    }

    pub(super) async fn send(&mut self, bytes: &[u8]) -> bool {
        matches!(
            tokio::time::timeout(WRITE_TIMEOUT, self.stream.write_all(bytes)).await,
            Ok(Ok(()))
        )
    }

    pub(super) async fn send_reply(&mut self, reply: &EncodedReply) -> bool {
        let sending = async {
            self.stream.write_all(&reply.first).await?;
            self.stream.write_all(&reply.rest).await
        };
        matches!(
            tokio::time::timeout(WRITE_TIMEOUT, sending).await,
            Ok(Ok(()))
        )
    }

    /// Closes the connection without a reset that could destroy the last response.
    pub(super) async fn close(&mut self) {
        if self.stream.shutdown().await.is_err() {
            return;
        }
        let drain = async {
            loop {
                self.buf.clear();
                if !self.read(READ_BYTES).await {
                    return;
                }
            }
        };
        // A client that continues to send is disconnected; its response has had time to
        // arrive.
        let _ = tokio::time::timeout(LINGER, drain).await;
    }
}
