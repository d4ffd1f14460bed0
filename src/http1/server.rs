//! Server side of one connection: reads requests, some of them while earlier ones run, and
//! writes responses in order.

use std::future::Future;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::{Bytes, BytesMut};
use http::HeaderMap;
use tokio::net::TcpStream;
use tokio::sync::watch;

use super::READ_BYTES;
use super::body::{BodyError, Framing};
use super::connection::{Input, Next, ServerConn};
use super::head::{Head, Persistence, encode};
use super::incoming::{BODY_READ_BYTES, IncomingBody};
use super::pipeline::{Exchange, Pipeline};
use super::rejection::Rejection;
use super::request_body::{BodyMemory, RequestBody};
use super::socket::set_socket_options;

/// Bytes of pipelined requests that are buffered while a request is handled.
const MAX_READ_AHEAD_BYTES: usize = 64 << 10;

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
                    let encoded = encode(&reply, Persistence::Close, false);
                    if conn.send_reply(&encoded).await {
                        conn.close().await;
                    }
                    return;
                }
                Next::End => return,
            }
        }
        let Some((mut exchange, reply)) = run(&mut conn, &mut pipeline, context, peer).await else {
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
        let encoded = encode(&reply, persistence, exchange.is_head);
        // A large body is held until it is sent.
        drop(reply);
        if !conn.send_reply(&encoded).await {
            return;
        }
        drop(encoded);
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

/// Runs the requests of the pipeline until the first one has its response, while
/// receiving its body and reading ahead, which detects a disconnect of the client and
/// starts further requests. Returns `None` if the client disconnected first.
async fn run<H, F>(
    conn: &mut ServerConn,
    pipeline: &mut Pipeline<F>,
    context: &ServerContext<H>,
    peer: SocketAddr,
) -> Option<(Exchange<F>, Reply)>
where
    H: Fn(Request, SocketAddr) -> F,
    F: Future<Output = Reply>,
{
    loop {
        start_ahead(conn, pipeline, context, peer);
        let incoming = &mut pipeline.front_mut()?.incoming;
        incoming.receive(&mut conn.buf);
        if incoming.awaits_continue {
            // A request that is refused at once is refused before its body is sent.
            tokio::select! {
                biased;
                () = pipeline.front_replied() => return pipeline.take_front(),
                () = std::future::ready(()) => {}
            }
            pipeline.front_mut()?.incoming.awaits_continue = false;
            if !conn.send(b"HTTP/1.1 100 Continue\r\n\r\n").await {
                return None;
            }
        }
        let incoming = &mut pipeline.front_mut()?.incoming;
        let is_open = incoming.is_open();
        let may_read = if is_open {
            incoming.body.has_space()
        } else {
            conn.buf.len() < MAX_READ_AHEAD_BYTES
        };
        let count = if is_open { BODY_READ_BYTES } else { READ_BYTES };
        let idle = tokio::time::sleep_until(incoming.idle_deadline().into());
        let body = incoming.body.clone();
        tokio::select! {
            biased;
            () = pipeline.front_replied() => return pipeline.take_front(),
            input = conn.next_input(may_read.then_some(count)) => {
                if input == Input::Closed {
                    return None;
                }
                // The client can't send while nothing is read.
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
    conn: &mut ServerConn,
    pipeline: &mut Pipeline<F>,
    context: &ServerContext<H>,
    peer: SocketAddr,
) where
    H: Fn(Request, SocketAddr) -> F,
    F: Future<Output = Reply>,
{
    while !conn.buf.is_empty()
        && pipeline.may_start()
        && *context.shutdown.borrow() == ShutdownPhase::Serving
    {
        let limits = (context.limits)();
        let Some((head, received)) = conn.next_ahead(limits, &context.may_run_ahead) else {
            return;
        };
        pipeline.push(start(context, peer, head, received, limits));
    }
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
