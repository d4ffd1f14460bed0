//! One client connection: a request out, a whole answer back.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http::HeaderMap;
use socket2::{SockRef, TcpKeepalive};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::net::tcp::{ReadHalf, WriteHalf};

use super::body::{BodyError, Framing, read_body, stated_framing};
use super::{MAX_HEADERS, READ_BYTES, connection_lists, header_map};

/// Largest head of an answer, in bytes.
const MAX_HEAD: usize = 64 << 10;
/// Time after which unacknowledged bytes end a connection; a few round trips
/// between regions, and short against a request's deadline.
const USER_TIMEOUT: Duration = Duration::from_millis(2500);
/// Idle time before the first keep-alive probe, and between probes.
const KEEPALIVE: Duration = Duration::from_secs(1);

/// A whole answer.
#[derive(Debug, Clone)]
pub(crate) struct Answer {
    /// The status.
    pub status: u16,
    /// All headers, as sent.
    pub headers: HeaderMap,
    /// The whole body.
    pub body: Bytes,
}

/// A request to send.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Outgoing<'a> {
    /// Head and body as they go out.
    pub bytes: &'a [u8],
    /// Whether the answer has no body, whatever its headers say.
    pub is_head: bool,
    /// Largest body of an answer, in bytes.
    pub max_answer: usize,
}

/// How an exchange failed.
#[derive(Debug, derive_more::Display)]
pub(crate) enum ExchangeError {
    /// No byte of the request left this process.
    #[display("nothing was sent: {_0}")]
    NotSent(String),
    /// The connection ended without a whole answer.
    #[display("{_0}")]
    Lost(String),
    /// Bytes came back that are no HTTP answer.
    #[display("{_0}")]
    Malformed(&'static str),
}

impl From<BodyError> for ExchangeError {
    fn from(err: BodyError) -> Self {
        match err {
            BodyError::Malformed(what) => Self::Malformed(what),
            other => Self::Lost(other.to_string()),
        }
    }
}

/// An open connection.
#[derive(Debug)]
pub(crate) struct Conn {
    stream: TcpStream,
    buf: BytesMut,
    reusable: bool,
}

impl Conn {
    /// Connects with bounds on silence in both directions.
    ///
    /// # Errors
    /// Any failure means that nothing was sent.
    pub(crate) async fn open(addr: SocketAddr, limit: Duration) -> Result<Self, ExchangeError> {
        let connecting = tokio::time::timeout(limit, TcpStream::connect(addr));
        let stream = match connecting.await {
            Ok(Ok(stream)) => stream,
            Ok(Err(err)) => return Err(ExchangeError::NotSent(err.to_string())),
            Err(_) => return Err(ExchangeError::NotSent("connect timed out".into())),
        };
        guard_against_silence(&stream);
        Ok(Self {
            stream,
            buf: BytesMut::new(),
            reusable: true,
        })
    }

    /// Whether another request may be sent: nothing arrived unasked, nothing ended.
    pub(crate) fn is_reusable(&self) -> bool {
        let mut byte = [0_u8; 1];
        self.reusable
            && self.buf.is_empty()
            && matches!(self.stream.try_read(&mut byte),
                Err(err) if err.kind() == std::io::ErrorKind::WouldBlock)
    }

    /// Sends a request and reads the first answer that `is_ours` accepts; others are
    /// late answers to earlier requests and are dropped, with the connection after.
    ///
    /// # Errors
    /// See [`ExchangeError`]; the connection must then be dropped.
    pub(crate) async fn exchange(
        &mut self,
        req: &Outgoing<'_>,
        is_ours: impl Fn(&Answer) -> bool,
    ) -> Result<Answer, ExchangeError> {
        let (mut rx, mut tx) = self.stream.split();
        let mut sent = 0;
        let mut write_error = None;
        let answer = {
            let read = read_own_answer(&mut rx, &mut self.buf, req, &is_ours, &mut self.reusable);
            tokio::pin!(read);
            loop {
                let writing = sent < req.bytes.len() && write_error.is_none();
                tokio::select! {
                    biased;
                    wrote = write_some(&mut tx, &req.bytes[sent..]), if writing => match wrote {
                        Ok(count) => sent += count,
                        Err(err) if sent == 0 => return Err(ExchangeError::NotSent(err)),
                        Err(err) => write_error = Some(err),
                    },
                    answer = &mut read => break answer,
                }
            }
        };
        // The rest of a body that was answered early would be read as the next request.
        self.reusable &= sent == req.bytes.len();
        answer
    }
}

async fn write_some(tx: &mut WriteHalf<'_>, bytes: &[u8]) -> Result<usize, String> {
    match tx.write(bytes).await {
        Ok(0) => Err("closed by the peer".into()),
        Ok(count) => Ok(count),
        Err(err) => Err(err.to_string()),
    }
}

async fn read_own_answer(
    rx: &mut ReadHalf<'_>,
    buf: &mut BytesMut,
    req: &Outgoing<'_>,
    is_ours: impl Fn(&Answer) -> bool,
    reusable: &mut bool,
) -> Result<Answer, ExchangeError> {
    loop {
        let (answer, keeps_open) = read_answer(rx, buf, req).await?;
        *reusable &= keeps_open;
        if is_ours(&answer) {
            *reusable &= buf.is_empty();
            return Ok(answer);
        }
        *reusable = false;
        if !keeps_open {
            return Err(ExchangeError::Lost("only another request's answer".into()));
        }
    }
}

/// Reads one answer, and whether the peer keeps the connection open after it.
async fn read_answer(
    rx: &mut ReadHalf<'_>,
    buf: &mut BytesMut,
    req: &Outgoing<'_>,
) -> Result<(Answer, bool), ExchangeError> {
    loop {
        let (status, headers, http11) = read_head(rx, buf).await?;
        if (100..200).contains(&status) {
            continue;
        }
        let framing = match stated_framing(&headers).map_err(ExchangeError::Malformed)? {
            _ if req.is_head || status == 204 || status == 304 => Framing::None,
            Some(framing) => framing,
            None => Framing::UntilClose,
        };
        let body = read_body(rx, buf, framing, req.max_answer).await?;
        let keeps_open =
            http11 && framing != Framing::UntilClose && !connection_lists(&headers, "close");
        return Ok((
            Answer {
                status,
                headers,
                body,
            },
            keeps_open,
        ));
    }
}

async fn read_head(
    rx: &mut ReadHalf<'_>,
    buf: &mut BytesMut,
) -> Result<(u16, HeaderMap, bool), ExchangeError> {
    loop {
        if let Some((head, length)) = parse_head(buf)? {
            let _ = buf.split_to(length);
            return Ok(head);
        }
        if buf.len() > MAX_HEAD {
            return Err(ExchangeError::Malformed("a head without end"));
        }
        buf.reserve(READ_BYTES);
        match rx.read_buf(buf).await {
            Ok(0) => return Err(ExchangeError::Lost("closed before an answer".into())),
            Ok(_) => {}
            Err(err) => return Err(ExchangeError::Lost(err.to_string())),
        }
    }
}

type Head = (u16, HeaderMap, bool);

fn parse_head(buf: &BytesMut) -> Result<Option<(Head, usize)>, ExchangeError> {
    if buf.is_empty() {
        return Ok(None);
    }
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut head = httparse::Response::new(&mut headers);
    match head.parse(buf) {
        Ok(httparse::Status::Complete(length)) => {
            let status = head.code.unwrap_or_default();
            let map =
                header_map(head.headers).ok_or(ExchangeError::Malformed("an unreadable header"))?;
            Ok(Some(((status, map, head.version == Some(1)), length)))
        }
        Ok(httparse::Status::Partial) => Ok(None),
        Err(_) => Err(ExchangeError::Malformed("bytes that are no answer")),
    }
}

/// Bounds how long a peer that vanished without a reset goes unnoticed.
pub(super) fn guard_against_silence(stream: &TcpStream) {
    let socket = SockRef::from(stream);
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE)
        .with_interval(KEEPALIVE)
        .with_retries(2);
    let results = [
        socket.set_tcp_nodelay(true),
        socket.set_tcp_user_timeout(Some(USER_TIMEOUT)),
        socket.set_tcp_keepalive(&keepalive),
    ];
    for err in results.into_iter().filter_map(Result::err) {
        tracing::debug!(%err, "a socket option was not taken; silence is noticed later");
    }
}
