//! One server connection: requests in, answers out, in order.

use std::future::Future;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use bytes::{Bytes, BytesMut};
use http::HeaderMap;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::watch;

use super::body::{BodyError, Framing, read_body, stated_framing};
use super::client::guard_against_silence;
use super::{MAX_HEADERS, READ_BYTES, connection_lists, header_map, write_headers};

/// Time that a client has to take an answer; above the longest request deadline.
const WRITE_TIMEOUT: Duration = Duration::from_secs(15);
/// Time in which a closed connection's late bytes are still read, so that closing
/// does not reset an answer on its way.
const LINGER: Duration = Duration::from_millis(300);
/// Bytes of pipelined requests that are read ahead.
const MAX_READ_AHEAD: usize = 64 << 10;

/// A whole request.
#[derive(Debug, Clone)]
pub(crate) struct Request {
    /// The method, as sent.
    pub method: String,
    /// The path and query, as sent.
    pub target: String,
    /// All headers, as sent.
    pub headers: HeaderMap,
    /// The whole body.
    pub body: Bytes,
    /// When its first byte was read.
    pub received: Instant,
    /// Whether it came in chunks.
    pub chunked: bool,
}

/// An answer to send.
#[derive(Debug, Clone, Default)]
pub(crate) struct Reply {
    /// The status.
    pub status: u16,
    /// Headers, of which those of the connection are set anew.
    pub headers: HeaderMap,
    /// The body.
    pub body: Bytes,
}

/// Bounds on what a client may send and how long it may take.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Bounds {
    /// Bytes of a request's head.
    pub head_bytes: usize,
    /// Bytes of a request's body.
    pub body_bytes: usize,
    /// Time for a request's head, from its first byte.
    pub head_time: Duration,
    /// Time that a connection may be idle.
    pub idle_time: Duration,
}

/// How far a planned stop has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Stop {
    /// The instance serves.
    Serving,
    /// Answers end their connections; new requests are served.
    Leaving,
    /// Idle connections are closed.
    Closing,
}

/// What a listener needs to serve its connections.
pub(crate) struct Service<H> {
    /// Answers one request; dropped when its client leaves.
    pub handler: H,
    /// The bounds in force now.
    pub bounds: Box<dyn Fn() -> Bounds + Send + Sync>,
    /// The progress of a planned stop.
    pub stop: watch::Receiver<Stop>,
}

/// Serves one connection until either side ends it.
pub(crate) async fn serve<H, F>(stream: TcpStream, peer: SocketAddr, service: &Service<H>)
where
    H: Fn(Request, SocketAddr) -> F,
    F: Future<Output = Reply>,
{
    guard_against_silence(&stream);
    let mut conn = ServerConn {
        stream,
        buf: BytesMut::new(),
    };
    let mut stop = service.stop.clone();
    loop {
        let bounds = (service.bounds)();
        let next = conn.next_request(bounds, &mut stop).await;
        let (reply, keep, is_head) = match next {
            Next::Request(req) => {
                let is_head = req.method == "HEAD";
                let keep = !connection_lists(&req.headers, "close");
                let Some(reply) = conn.run((service.handler)(req, peer)).await else {
                    return;
                };
                (reply, keep, is_head)
            }
            Next::Refuse(status) => (Reply::empty(status), false, false),
            Next::End => return,
        };
        let keep = keep && *stop.borrow() == Stop::Serving;
        if !conn.send(&encode(&reply, keep, is_head)).await {
            return;
        }
        if !keep {
            conn.close().await;
            return;
        }
    }
}

impl Reply {
    /// An answer without a body.
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

enum Next {
    Request(Request),
    Refuse(u16),
    End,
}

struct Head {
    method: String,
    target: String,
    headers: HeaderMap,
    framing: Framing,
}

impl ServerConn {
    async fn next_request(&mut self, bounds: Bounds, stop: &mut watch::Receiver<Stop>) -> Next {
        if self.buf.is_empty() && !self.wait_for_bytes(bounds.idle_time, stop).await {
            return Next::End;
        }
        let received = Instant::now();
        let head = match tokio::time::timeout(bounds.head_time, self.read_head(bounds)).await {
            Ok(Ok(head)) => head,
            Ok(Err(next)) => return next,
            Err(_) => return Next::Refuse(408),
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
            bounds.body_bytes,
        );
        match tokio::time::timeout(bounds.idle_time, reading).await {
            Ok(Ok(body)) => Next::Request(Request {
                method: head.method,
                target: head.target,
                headers: head.headers,
                body,
                received,
                chunked: head.framing == Framing::Chunked,
            }),
            Ok(Err(BodyError::TooLarge(_))) => Next::Refuse(413),
            Ok(Err(BodyError::Malformed(_))) => Next::Refuse(400),
            Ok(Err(BodyError::Truncated(_))) => Next::End,
            Err(_) => Next::Refuse(408),
        }
    }

    /// Waits for the first byte of a request; false when the connection is to end.
    async fn wait_for_bytes(&mut self, idle: Duration, stop: &mut watch::Receiver<Stop>) -> bool {
        self.buf.reserve(READ_BYTES);
        let closing = stop.wait_for(|stop| *stop >= Stop::Closing);
        tokio::select! {
            biased;
            read = self.stream.read_buf(&mut self.buf) => matches!(read, Ok(count) if count > 0),
            _ = closing => false,
            () = tokio::time::sleep(idle) => false,
        }
    }

    async fn read_head(&mut self, bounds: Bounds) -> Result<Head, Next> {
        loop {
            while self.buf.first() == Some(&b'\r') || self.buf.first() == Some(&b'\n') {
                let _ = self.buf.split_to(1);
            }
            if let Some((head, length)) = parse_request(&self.buf).map_err(Next::Refuse)? {
                if length > bounds.head_bytes {
                    return Err(Next::Refuse(431));
                }
                let _ = self.buf.split_to(length);
                return Ok(head);
            }
            if self.buf.len() > bounds.head_bytes {
                return Err(Next::Refuse(431));
            }
            self.buf.reserve(READ_BYTES);
            match self.stream.read_buf(&mut self.buf).await {
                Ok(count) if count > 0 => {}
                _ => return Err(Next::End),
            }
        }
    }

    /// Runs a handler while watching the client; `None` when the client left.
    async fn run(&mut self, handler: impl Future<Output = Reply>) -> Option<Reply> {
        tokio::pin!(handler);
        loop {
            let ahead = self.buf.len() < MAX_READ_AHEAD;
            self.buf.reserve(READ_BYTES);
            tokio::select! {
                biased;
                reply = &mut handler => return Some(reply),
                read = self.stream.read_buf(&mut self.buf), if ahead => match read {
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

    /// Ends the connection without resetting the answer that is on its way.
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
        // A client that goes on sending is cut off; its answer has had time to arrive.
        let _ = tokio::time::timeout(LINGER, drain).await;
    }
}

fn parse_request(buf: &BytesMut) -> Result<Option<(Head, usize)>, u16> {
    if buf.is_empty() {
        return Ok(None);
    }
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut req = httparse::Request::new(&mut headers);
    match req.parse(buf) {
        Ok(httparse::Status::Complete(length)) => {
            let headers = header_map(req.headers).ok_or(400_u16)?;
            let framing = stated_framing(&headers).map_err(|_| 400_u16)?;
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

fn encode(reply: &Reply, keep: bool, is_head: bool) -> BytesMut {
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
    if !keep {
        buf.extend_from_slice(b"connection: close\r\n");
    }
    buf.extend_from_slice(b"\r\n");
    if !is_head {
        buf.extend_from_slice(&reply.body);
    }
    buf
}
