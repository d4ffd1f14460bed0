//! Server side of one connection: reads requests and writes responses in order.

use std::future::Future;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use bytes::{Bytes, BytesMut};
use http::HeaderMap;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::watch;

use super::body::{BodyError, Framing, declared_framing, read_body};
use super::client::set_socket_options;
use super::{MAX_HEADERS, READ_BYTES, connection_lists, header_map, write_headers};

/// Time that a client has to receive a response; longer than any request deadline.
const WRITE_TIMEOUT: Duration = Duration::from_secs(15);
/// Time for which a closed connection is still read. Closing a socket with unread bytes
/// resets it, and a reset can destroy a response that is on its way.
const LINGER: Duration = Duration::from_millis(300);
/// Bytes of pipelined requests that are buffered while a request is handled.
const MAX_READ_AHEAD_BYTES: usize = 64 << 10;

/// Request with its whole body.
#[derive(Debug, Clone)]
pub(crate) struct Request {
    /// Method as received.
    pub method: String,
    /// Request target as received, usually a path and query.
    pub target: String,
    /// All headers as received, hop-by-hop ones included.
    pub headers: HeaderMap,
    /// Body without its transfer coding.
    pub body: Bytes,
    /// Time at which its first byte was available.
    pub received: Instant,
    /// Whether the body used the chunked transfer coding.
    pub chunked: bool,
}

/// Response to send.
#[derive(Debug, Clone, Default)]
pub(crate) struct Reply {
    /// Status code.
    pub status: u16,
    /// Headers; hop-by-hop ones are dropped, and those of this connection are added.
    pub headers: HeaderMap,
    /// Body; its length becomes the `content-length`.
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
    /// Time to wait for the next request, and to receive the body of a request.
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

/// What the connections of one listener share.
pub(crate) struct ServerContext<H> {
    /// Returns the future that handles a request. The future is dropped when the client
    /// disconnects.
    pub handler: H,
    /// Returns the limits in force; called before each request.
    pub limits: Box<dyn Fn() -> RequestLimits + Send + Sync>,
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
    let mut conn = ServerConn {
        stream,
        buf: BytesMut::new(),
    };
    let mut shutdown = context.shutdown.clone();
    loop {
        let limits = (context.limits)();
        let next = conn.next_request(limits, &mut shutdown).await;
        let (reply, keep_alive, is_head) = match next {
            Next::Request(req) => {
                let is_head = req.method == "HEAD";
                let keep_alive = !connection_lists(&req.headers, "close");
                let Some(reply) = conn.run((context.handler)(req, peer)).await else {
                    return;
                };
                (reply, keep_alive, is_head)
            }
            Next::Reject(status) => (Reply::empty(status), false, false),
            Next::End => return,
        };
        let keep_alive = keep_alive && *shutdown.borrow() == ShutdownPhase::Serving;
        if !conn.send(&encode(&reply, keep_alive, is_head)).await {
            return;
        }
        if !keep_alive {
            conn.close().await;
            return;
        }
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

struct ServerConn {
    stream: TcpStream,
    buf: BytesMut,
}

/// What to do next on a connection.
enum Next {
    /// Handle a request.
    Request(Request),
    /// Reject an invalid request with this status and close the connection.
    Reject(u16),
    /// End the connection without a response.
    End,
}

struct Head {
    method: String,
    target: String,
    headers: HeaderMap,
    framing: Framing,
}

impl ServerConn {
    async fn next_request(
        &mut self,
        limits: RequestLimits,
        shutdown: &mut watch::Receiver<ShutdownPhase>,
    ) -> Next {
        if self.buf.is_empty() && !self.wait_for_bytes(limits.idle_timeout, shutdown).await {
            return Next::End;
        }
        let received = Instant::now();
        let head = match tokio::time::timeout(limits.header_timeout, self.read_head(limits)).await {
            Ok(Ok(head)) => head,
            Ok(Err(next)) => return next,
            Err(_) => return Next::Reject(408),
        };
        if head.headers.contains_key(http::header::EXPECT)
            && self
                .stream
                .write_all(b"HTTP/1.1 100 Continue\r\n\r\n")
                .await
                .is_err()
        {
            return Next::End;
        }
        let reading = read_body(
            &mut self.stream,
            &mut self.buf,
            head.framing,
            limits.max_body_bytes,
        );
        match tokio::time::timeout(limits.idle_timeout, reading).await {
            Ok(Ok(body)) => Next::Request(Request {
                method: head.method,
                target: head.target,
                headers: head.headers,
                body,
                received,
                chunked: head.framing == Framing::Chunked,
            }),
            Ok(Err(BodyError::TooLarge(_))) => Next::Reject(413),
            Ok(Err(BodyError::Malformed(_))) => Next::Reject(400),
            Ok(Err(BodyError::Truncated(_))) => Next::End,
            Err(_) => Next::Reject(408),
        }
    }

    /// Waits for the first bytes of a request; false if the connection must end.
    async fn wait_for_bytes(
        &mut self,
        idle: Duration,
        shutdown: &mut watch::Receiver<ShutdownPhase>,
    ) -> bool {
        self.buf.reserve(READ_BYTES);
        let closing = shutdown.wait_for(|phase| *phase >= ShutdownPhase::Closing);
        tokio::select! {
            biased;
            read = self.stream.read_buf(&mut self.buf) => matches!(read, Ok(count) if count > 0),
            _ = closing => false,
            () = tokio::time::sleep(idle) => false,
        }
    }

    async fn read_head(&mut self, limits: RequestLimits) -> Result<Head, Next> {
        loop {
            while self.buf.first() == Some(&b'\r') || self.buf.first() == Some(&b'\n') {
                let _ = self.buf.split_to(1);
            }
            if let Some((head, length)) = parse_request(&self.buf).map_err(Next::Reject)? {
                if length > limits.max_header_bytes {
                    return Err(Next::Reject(431));
                }
                let _ = self.buf.split_to(length);
                return Ok(head);
            }
            if self.buf.len() > limits.max_header_bytes {
                return Err(Next::Reject(431));
            }
            self.buf.reserve(READ_BYTES);
            match self.stream.read_buf(&mut self.buf).await {
                Ok(count) if count > 0 => {}
                _ => return Err(Next::End),
            }
        }
    }

    /// Runs a handler while reading ahead, which detects a disconnect of the client.
    /// Returns `None` if the client disconnected first.
    async fn run(&mut self, handler: impl Future<Output = Reply>) -> Option<Reply> {
        tokio::pin!(handler);
        loop {
            let may_read = self.buf.len() < MAX_READ_AHEAD_BYTES;
            self.buf.reserve(READ_BYTES);
            tokio::select! {
                biased;
                reply = &mut handler => return Some(reply),
                read = self.stream.read_buf(&mut self.buf), if may_read => match read {
                    Ok(count) if count > 0 => {}
                    _ => return None,
                },
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
                self.buf.reserve(READ_BYTES);
                if !matches!(self.stream.read_buf(&mut self.buf).await, Ok(count) if count > 0) {
                    return;
                }
            }
        };
        // A client that continues to send is disconnected; its response has had time to
        // arrive.
        let _ = tokio::time::timeout(LINGER, drain).await;
    }
}

/// Parses a request head and returns it with its length; `None` if it is incomplete. An
/// error is the status to reject the request with.
fn parse_request(buf: &BytesMut) -> Result<Option<(Head, usize)>, u16> {
    if buf.is_empty() {
        return Ok(None);
    }
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut req = httparse::Request::new(&mut headers);
    match req.parse(buf) {
        Ok(httparse::Status::Complete(length)) => {
            let headers = header_map(req.headers).ok_or(400_u16)?;
            let framing = declared_framing(&headers).map_err(|_| 400_u16)?;
            let head = Head {
                method: req.method.unwrap_or_default().to_owned(),
                target: req.path.unwrap_or_default().to_owned(),
                headers,
                framing: framing.unwrap_or(Framing::None),
            };
            Ok(Some((head, length)))
        }
        Ok(httparse::Status::Partial) => Ok(None),
        Err(httparse::Error::TooManyHeaders) => Err(431),
        Err(_) => Err(400),
    }
}

/// Encodes a response; one to a HEAD request declares its length but has no body.
fn encode(reply: &Reply, keep_alive: bool, is_head: bool) -> BytesMut {
    let mut buf = BytesMut::with_capacity(256 + reply.body.len());
    let reason = http::StatusCode::from_u16(reply.status)
        .ok()
        .and_then(|status| status.canonical_reason())
        .unwrap_or("Unknown");
    buf.extend_from_slice(format!("HTTP/1.1 {} {reason}\r\n", reply.status).as_bytes());
    write_headers(&mut buf, &reply.headers);
    if reply.status != 204 && reply.status != 304 {
        buf.extend_from_slice(format!("content-length: {}\r\n", reply.body.len()).as_bytes());
    }
    if !keep_alive {
        buf.extend_from_slice(b"connection: close\r\n");
    }
    buf.extend_from_slice(b"\r\n");
    if !is_head {
        buf.extend_from_slice(&reply.body);
    }
    buf
}
