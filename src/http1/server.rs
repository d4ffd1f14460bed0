//! Server side of one connection: reads requests, some of them while earlier ones run, and
//! writes responses in order.

use std::collections::VecDeque;
use std::future::Future;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::{Bytes, BytesMut};
use http::HeaderMap;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::watch;

use super::READ_BYTES;
use super::body::{BodyError, Framing};
use super::client::set_socket_options;
use super::head::{Head, Persistence, encode, parse_request};
use super::incoming::{BODY_READ_BYTES, Discarded, IncomingBody};
use super::pipeline::{Exchange, Pipeline};
use super::rejection::{RejectReason, Rejection};
use super::request_body::{BodyMemory, RequestBody};

/// Time that a client has to receive a response; longer than any request deadline.
const WRITE_TIMEOUT: Duration = Duration::from_secs(15);
/// Time for which a closed connection is still read. Closing a socket with unread bytes
/// resets it, and a reset can destroy a response that is on its way.
const LINGER: Duration = Duration::from_millis(300);
/// Time for which a connection that has sent no request yet is kept open when the others are
/// closed: its first request may be on its way.
const FIRST_REQUEST_TIME: Duration = Duration::from_millis(300);
/// Bytes of pipelined requests that are buffered while a request is handled.
const MAX_READ_AHEAD_BYTES: usize = 64 << 10;
/// Time to read the rest of a body whose request has its response. A client that sends
/// longer is disconnected.
const DISCARD_TIMEOUT: Duration = Duration::from_secs(2);

/// Request whose body may still be arriving.
#[derive(Debug, Clone)]
pub(crate) struct Request {
    /// Method as received.
    pub method: String,
    /// Request target, usually a path and query; never in absolute form.
    pub target: String,
    /// All headers as received, hop-by-hop ones included; `Host` is the one of a target in
    /// absolute form.
    pub headers: HeaderMap,
    /// Body without its transfer coding.
    pub body: Arc<RequestBody>,
    /// Time at which its first byte was available.
    pub received: Instant,
    /// Whether the body uses the chunked transfer coding.
    pub chunked: bool,
}

/// Response to send.
#[derive(Debug, Clone, Default)]
pub(crate) struct Reply {
    /// Status code.
    pub status: u16,
    /// Headers; hop-by-hop ones are dropped, and those of this connection are added.
    pub headers: HeaderMap,
    /// Body; its length becomes the `content-length`, but in a response to a HEAD request
    /// that of `headers` is kept.
    pub body: Bytes,
}

/// Limits on the size of a client's requests and on the time it may take.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct RequestLimits {
    /// Largest head of a request, in bytes.
    pub max_header_bytes: usize,
    /// Largest body of a request, in bytes.
    pub max_body_bytes: usize,
    /// Time to receive the head of a request, from its first byte on.
    pub header_timeout: Duration,
    /// Time to wait for the next request, and for more of a request's body.
    pub idle_timeout: Duration,
}

/// Phase of a graceful shutdown, in order.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum ShutdownPhase {
    /// No shutdown has begun.
    Serving,
    /// Requests are still served, but each response closes its connection.
    Draining,
    /// Idle connections are closed as well.
    Closing,
}

/// Returns the limits in force.
pub(crate) type CurrentLimits = Box<dyn Fn() -> RequestLimits + Send + Sync>;

/// Decides by the target and the headers of a request.
pub(crate) type MayRunAhead = Box<dyn Fn(&str, &HeaderMap) -> bool + Send + Sync>;

/// What the connections of one listener share.
pub(crate) struct ServerContext<H> {
    /// Returns the future that handles a request. The future is dropped when the client
    /// disconnects.
    pub handler: H,
    /// Returns the limits in force; called when each request arrives.
    pub limits: CurrentLimits,
    /// Whether a request without a body may be handled before earlier ones of its connection
    /// are answered. If the connection ends, its client sends it again, so it must be
    /// idempotent.
    pub may_run_ahead: MayRunAhead,
    /// Returns the response to a request that is rejected before it reaches the handler.
    pub rejected: Box<dyn Fn(&Rejection) -> Reply + Send + Sync>,
    /// Memory for the bodies of requests.
    pub body_memory: Arc<BodyMemory>,
    /// Current phase of a graceful shutdown.
    pub shutdown: watch::Receiver<ShutdownPhase>,
}

/// Serves a connection until either side ends it.
pub(crate) async fn serve<H, F>(stream: TcpStream, peer: SocketAddr, context: &ServerContext<H>)
where
    H: Fn(Request, SocketAddr) -> F,
    F: Future<Output = Reply>,
{
    set_socket_options(&stream);
    let mut conn = ServerConn::new(stream);
    let mut shutdown = context.shutdown.clone();
    let mut pipeline = Pipeline::new();
    loop {
        if pipeline.front_mut().is_none() {
            match conn.next_head(&context.limits, &mut shutdown).await {
                Next::Request(head, received, limits) => {
                    pipeline.push(start(context, peer, head, received, limits));
                }
                Next::Reject(rejection) => {
                    let reply = (context.rejected)(&rejection);
                    if conn.send(&encode(&reply, Persistence::Close, false)).await {
                        conn.close().await;
                    }
                    return;
                }
                Next::End => return,
            }
        }
        let Some((mut exchange, reply)) = conn.run(&mut pipeline, context, peer).await else {
            return;
        };
        // Requests that were started are answered before the connection is closed.
        let is_kept =
            pipeline.front_mut().is_some() || *shutdown.borrow() == ShutdownPhase::Serving;
        let persistence = if is_kept && exchange.incoming.may_end() {
            exchange.persistence
        } else {
            Persistence::Close
        };
        if !conn
            .send(&encode(&reply, persistence, exchange.is_head))
            .await
        {
            return;
        }
        if !conn.discard_rest(&mut exchange.incoming).await || persistence == Persistence::Close {
            conn.close().await;
            return;
        }
    }
}

/// Starts to handle a request.
fn start<H, F>(
    context: &ServerContext<H>,
    peer: SocketAddr,
    head: Head,
    received: Instant,
    limits: RequestLimits,
) -> Exchange<F>
where
    H: Fn(Request, SocketAddr) -> F,
{
    let persistence = head.persistence();
    let is_head = head.method == "HEAD";
    let awaits_continue = head.expects_continue() == Ok(true);
    let memory = &context.body_memory;
    let mut incoming = IncomingBody::new(head.framing, awaits_continue, limits, memory);
    if head.framing == Framing::None {
        incoming.receive(&mut BytesMut::new());
    }
    let req = Request {
        chunked: head.framing == Framing::Chunked,
        method: head.method,
        target: head.target,
        headers: head.headers,
        body: incoming.body.clone(),
        received,
    };
    let handler = (context.handler)(req, peer);
    Exchange::new(handler, persistence, is_head, incoming)
}

impl Reply {
    /// Creates a response without headers and body.
    pub(crate) fn empty(status: u16) -> Self {
        Self {
            status,
            ..Self::default()
        }
    }
}

struct ServerConn {
    stream: TcpStream,
    buf: BytesMut,
    /// Bytes read so far.
    total_read: u64,
    /// When the bytes in `buf` were read: the position of the first one of each read.
    reads: VecDeque<(u64, Instant)>,
    /// Requests started so far.
    requests: u64,
}

/// What to do next on a connection.
enum Next {
    /// Handle a request whose first byte was available at this time, by the limits then.
    Request(Head, Instant, RequestLimits),
    /// Reject a request and close the connection.
    Reject(Rejection),
    /// End the connection without a response.
    End,
}

impl ServerConn {
    fn new(stream: TcpStream) -> Self {
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
    async fn read(&mut self, count: usize) -> bool {
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
    fn next_ahead(
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
    async fn next_head(
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

    /// Runs the requests of the pipeline until the first one has its response, while
    /// receiving its body and reading ahead, which detects a disconnect of the client and
    /// starts further requests. Returns `None` if the client disconnected first.
    async fn run<H, F>(
        &mut self,
        pipeline: &mut Pipeline<F>,
        context: &ServerContext<H>,
        peer: SocketAddr,
    ) -> Option<(Exchange<F>, Reply)>
    where
        H: Fn(Request, SocketAddr) -> F,
        F: Future<Output = Reply>,
    {
        loop {
            self.start_ahead(pipeline, context, peer);
            let incoming = &mut pipeline.front_mut()?.incoming;
            incoming.receive(&mut self.buf);
            if incoming.awaits_continue {
                // A request that is refused at once is refused before its body is sent.
                tokio::select! {
                    biased;
                    () = pipeline.front_replied() => return pipeline.take_front(),
                    () = std::future::ready(()) => {}
                }
                pipeline.front_mut()?.incoming.awaits_continue = false;
                if !self.send(b"HTTP/1.1 100 Continue\r\n\r\n").await {
                    return None;
                }
            }
            let incoming = &mut pipeline.front_mut()?.incoming;
            let is_open = incoming.is_open();
            let may_read = if is_open {
                incoming.body.has_space()
            } else {
                self.buf.len() < MAX_READ_AHEAD_BYTES
            };
            let count = if is_open { BODY_READ_BYTES } else { READ_BYTES };
            let idle = tokio::time::sleep_until(incoming.idle_deadline().into());
            let body = incoming.body.clone();
            tokio::select! {
                biased;
                () = pipeline.front_replied() => return pipeline.take_front(),
                has_read = self.read(count), if may_read => {
                    if !has_read {
                        return None;
                    }
                    pipeline.front_mut()?.incoming.record_progress();
                },
                () = body.freed(), if is_open && !may_read => {
                    pipeline.front_mut()?.incoming.record_progress();
                }
                () = idle, if is_open && may_read => {
                    let incoming = &mut pipeline.front_mut()?.incoming;
                    let err = BodyError::Stalled(incoming.idle_timeout);
                    incoming.fail(err);
                }
            }
        }
    }

    /// Starts the requests that have arrived behind those that run, as far as they may run
    /// side by side.
    fn start_ahead<H, F>(
        &mut self,
        pipeline: &mut Pipeline<F>,
        context: &ServerContext<H>,
        peer: SocketAddr,
    ) where
        H: Fn(Request, SocketAddr) -> F,
        F: Future<Output = Reply>,
    {
        while !self.buf.is_empty()
            && pipeline.may_start()
            && *context.shutdown.borrow() == ShutdownPhase::Serving
        {
            let limits = (context.limits)();
            let Some((head, received)) = self.next_ahead(limits, &context.may_run_ahead) else {
                return;
            };
            pipeline.push(start(context, peer, head, received, limits));
        }
    }

    /// Reads and drops the rest of a request's body, after which the next request follows.
    /// False if the connection must be closed.
    async fn discard_rest(&mut self, incoming: &mut IncomingBody) -> bool {
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

    async fn send(&mut self, bytes: &[u8]) -> bool {
        matches!(
            tokio::time::timeout(WRITE_TIMEOUT, self.stream.write_all(bytes)).await,
            Ok(Ok(()))
        )
    }

    /// Closes the connection without a reset that could destroy the last response.
    async fn close(&mut self) {
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
