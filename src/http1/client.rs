//! Client side of one connection: sends a request, whose body may still be arriving, and
//! reads the whole response.

use std::io::ErrorKind;
use std::mem::MaybeUninit;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::{Buf, Bytes, BytesMut};
use http::{HeaderMap, StatusCode};
use socket2::SockRef;
use tokio::io::{AsyncReadExt, AsyncWriteExt, Interest};
use tokio::net::TcpStream;
use tokio::net::tcp::WriteHalf;

use super::body::{BodyError, Framing, ResponseMemory, declared_framing, read_body};
use super::line_ends::{MixedLineEnds, check_head};
use super::progress::{Reader, ResponseProgress};
use super::request_body::{ReadError, RequestBody};
use super::socket::set_socket_options;
use super::status::{InvalidStatus, parse_status};
use super::{MAX_HEADERS, READ_BYTES, connection_lists, header_map};

/// Bytes of a request's body that are sent with one write.
const MAX_PIECE_BYTES: usize = 16 << 10;
/// Largest head of a response, in bytes.
const MAX_HEAD_BYTES: usize = 64 << 10;
/// Most informational responses, and responses to other requests, before the one that a
/// request waits for. A faulty server may send them without end.
const MAX_SKIPPED_RESPONSES: usize = 16;

/// Response with its whole body.
#[derive(Debug, Clone)]
pub(crate) struct Response {
    /// Status code; never an informational (1xx) one.
    pub status: StatusCode,
    /// All headers as received, hop-by-hop ones included.
    pub headers: HeaderMap,
    /// Body without its transfer coding.
    pub body: Bytes,
}

/// Encoded request, with what is needed to read the response to it.
#[derive(Debug, Clone, Copy)]
pub(crate) struct OutgoingRequest<'a> {
    /// Encoded head, and the body unless it is in `body`.
    pub bytes: &'a [u8],
    /// Body that is sent as it arrives; it has not ended before all of it is sent.
    pub body: Option<OutgoingBody<'a>>,
    /// Whether it is a HEAD request: the response then has no body, whatever its headers
    /// declare.
    pub is_head: bool,
    /// Largest response body that is accepted, in bytes.
    pub max_response_bytes: usize,
    /// Memory for this and other responses; `None` if it is not limited.
    pub memory: Option<&'a Arc<ResponseMemory>>,
}

/// Body of an [`OutgoingRequest`].
#[derive(Debug, Clone, Copy)]
pub(crate) struct OutgoingBody<'a> {
    /// The body.
    pub body: &'a RequestBody,
    /// Whether it is sent with the chunked transfer coding.
    pub chunked: bool,
}

/// Why an exchange failed.
#[derive(Debug, derive_more::Display)]
pub(crate) enum ExchangeError {
    /// No byte of the request was written to the connection.
    #[display("the request was not sent: {_0}")]
    NotSent(String),
    /// The request may have been sent, and no complete response was received.
    #[display("{_0}")]
    Lost(String),
    /// The response's body exceeds [`OutgoingRequest::max_response_bytes`].
    #[display("the body exceeds the limit of {_0} bytes")]
    TooLarge(usize),
    /// The response is not held, as the memory for responses is used up.
    #[display("the memory for responses is used up")]
    NoMemory,
    /// The received bytes are not a valid HTTP response.
    #[display("{_0}")]
    Malformed(String),
    /// The caller did not send the body whole, so that the request was sent in part.
    #[display("the request's body was not sent whole: {_0}")]
    RequestBody(ReadError),
}

impl From<InvalidStatus> for ExchangeError {
    fn from(err: InvalidStatus) -> Self {
        Self::Malformed(err.to_string())
    }
}

impl From<MixedLineEnds> for ExchangeError {
    fn from(err: MixedLineEnds) -> Self {
        Self::Malformed(err.to_string())
    }
}

impl From<BodyError> for ExchangeError {
    fn from(err: BodyError) -> Self {
        match err {
            BodyError::Malformed(what) => Self::Malformed(what.to_owned()),
            BodyError::TooLarge(max) => Self::TooLarge(max),
            BodyError::NoMemory => Self::NoMemory,
            other => Self::Lost(other.to_string()),
        }
    }
}

/// Open connection to a server.
#[derive(Debug)]
pub(crate) struct Conn {
    stream: TcpStream,
    /// Bytes received after the last response.
    buf: BytesMut,
    reusable: bool,
    /// Whether a HEAD request was sent over it.
    had_head: bool,
}

impl Conn {
    /// Connects within `timeout`, and sets the socket options that detect a vanished peer.
    ///
    /// # Errors
    /// Always [`ExchangeError::NotSent`].
    pub(crate) async fn connect(
        addr: SocketAddr,
        timeout: Duration,
    ) -> Result<Self, ExchangeError> {
        let connecting = tokio::time::timeout(timeout, TcpStream::connect(addr));
        let stream = match connecting.await {
            Ok(Ok(stream)) => stream,
            Ok(Err(err)) => return Err(ExchangeError::NotSent(err.to_string())),
            Err(_) => return Err(ExchangeError::NotSent("connect timed out".into())),
        };
        set_socket_options(&stream);
        Ok(Self {
            stream,
            buf: BytesMut::new(),
            reusable: true,
            had_head: false,
        })
    }

    /// Returns whether another request may be sent: the connection is open, and no bytes
    /// arrived after the last response.
    pub(crate) fn is_reusable(&self) -> bool {
        self.is_idle(|| self.peek())
    }

    /// Like [`Self::is_reusable`], as far as the runtime's last poll for events tells; needs
    /// no system call on a silent connection.
    pub(crate) fn seems_reusable(&self) -> bool {
        self.is_idle(|| self.stream.try_io(Interest::READABLE, || self.peek()))
    }

    fn is_idle(&self, peek: impl FnOnce() -> std::io::Result<usize>) -> bool {
        self.reusable
            && self.buf.is_empty()
            && matches!(peek(), Err(err) if err.kind() == ErrorKind::WouldBlock)
    }

    /// Asks the system for received bytes, which stay there.
    fn peek(&self) -> std::io::Result<usize> {
        SockRef::from(&self.stream).peek(&mut [MaybeUninit::uninit()])
    }

    /// Sends a request and reads the first response that `is_match` accepts. Others are
    /// late responses to earlier requests: they are dropped, and the connection is not
    /// reused after them. Where they may be to a request with another method than this
    /// one, their end is unknown, and the response is lost.
    ///
    /// # Errors
    /// See [`ExchangeError`]; the connection must then be dropped.
    pub(crate) async fn exchange(
        &mut self,
        req: &OutgoingRequest<'_>,
        is_match: impl Fn(&Response) -> bool,
    ) -> Result<Response, ExchangeError> {
        self.exchange_observed(req, is_match, None).await
    }

    /// Like [`Self::exchange`], and records what arrives in `progress`.
    ///
    /// # Errors
    /// See [`Self::exchange`].
    pub(crate) async fn exchange_observed(
        &mut self,
        req: &OutgoingRequest<'_>,
        is_match: impl Fn(&Response) -> bool,
        progress: Option<&ResponseProgress>,
    ) -> Result<Response, ExchangeError> {
        let (rx, mut tx) = self.stream.split();
        let mut rx = Reader { rx, progress };
        let mut sender = Sender::new(req);
        let mut write_error = None;
        self.had_head |= req.is_head;
        let may_skip = !self.had_head;
        let result = {
            let (buf, reusable) = (&mut self.buf, &mut self.reusable);
            let read = read_matching(&mut rx, buf, req, &is_match, may_skip, reusable);
            tokio::pin!(read);
            loop {
                let writing = !sender.is_done() && write_error.is_none();
                tokio::select! {
                    biased;
                    wrote = sender.send_some(&mut tx), if writing => match wrote {
                        Ok(()) => {}
                        Err(SendError::Body(err)) => return Err(ExchangeError::RequestBody(err)),
                        Err(SendError::Connection(err)) if !sender.has_sent => {
                            return Err(ExchangeError::NotSent(err));
                        }
                        Err(SendError::Connection(err)) => write_error = Some(err),
                    },
                    result = &mut read => break result,
                }
            }
        };
        // After an early response, the unsent rest of the body would be read as the next
        // request.
        self.reusable &= sender.is_done();
        let received = result?;
        match write_error {
            // The write took the error of the reset; the end that was read is not a close.
            Some(err) if received.framing == Framing::UntilClose => Err(ExchangeError::Lost(err)),
            _ => Ok(received.resp),
        }
    }
}

/// Why the rest of a request can't be sent.
enum SendError {
    Connection(String),
    Body(ReadError),
}

/// Sends one request.
struct Sender<'a> {
    /// Bytes to send next.
    piece: Bytes,
    body: Option<OutgoingBody<'a>>,
    /// Bytes of the body that were taken into `piece` so far.
    taken: usize,
    has_sent: bool,
}

impl<'a> Sender<'a> {
    fn new(req: &OutgoingRequest<'a>) -> Self {
        let mut sender = Self {
            piece: Bytes::new(),
            body: req.body,
            taken: 0,
            has_sent: false,
        };
        // A small body that is there already goes out with the head.
        let mut first = BytesMut::from(req.bytes);
        if let Some(body) = sender.body
            && let Some(Ok(data)) = body.body.try_read(0, MAX_PIECE_BYTES)
        {
            sender.add(&mut first, &data, body.chunked);
        }
        sender.piece = first.freeze();
        sender
    }

    fn is_done(&self) -> bool {
        self.piece.is_empty() && self.body.is_none()
    }

    /// Sends some bytes; waits for the body if needed. Dropping the future loses none.
    async fn send_some(&mut self, tx: &mut WriteHalf<'_>) -> Result<(), SendError> {
        while self.piece.is_empty() {
            let Some(body) = self.body else {
                return Ok(());
            };
            let data = body.body.read(self.taken, MAX_PIECE_BYTES).await;
            let data = data.map_err(SendError::Body)?;
            let mut piece = BytesMut::new();
            self.add(&mut piece, &data, body.chunked);
            self.piece = piece.freeze();
        }
        let count = match tx.write(&self.piece).await {
            Ok(0) => Err("connection closed by the peer".to_owned()),
            Ok(count) => Ok(count),
            Err(err) => Err(err.to_string()),
        };
        let count = count.map_err(SendError::Connection)?;
        self.has_sent = true;
        self.piece.advance(count);
        Ok(())
    }

    /// Appends a part of the body to `piece`; an empty one is its end.
    fn add(&mut self, piece: &mut BytesMut, data: &[u8], chunked: bool) {
        self.taken += data.len();
        if data.is_empty() {
            self.body = None;
        }
        if chunked {
            piece.extend_from_slice(format!("{:x}\r\n", data.len()).as_bytes());
        }
        piece.extend_from_slice(data);
        if chunked {
            piece.extend_from_slice(b"\r\n");
        }
    }
}

/// Reads responses until one matches, with `may_skip` past others, and clears `reusable` if
/// the connection must not be used again.
async fn read_matching(
    rx: &mut Reader<'_>,
    buf: &mut BytesMut,
    req: &OutgoingRequest<'_>,
    is_match: impl Fn(&Response) -> bool,
    may_skip: bool,
    reusable: &mut bool,
) -> Result<Received, ExchangeError> {
    for _ in 0..=MAX_SKIPPED_RESPONSES {
        let received = read_response(rx, buf, req).await?;
        *reusable &= received.keep_alive;
        if is_match(&received.resp) {
            *reusable &= buf.is_empty();
            return Ok(received);
        }
        *reusable = false;
        if !may_skip {
            return Err(ExchangeError::Lost(
                "the response to another request came beside a HEAD request".into(),
            ));
        }
        if !received.keep_alive {
            return Err(ExchangeError::Lost(
                "connection closed after the response to another request".into(),
            ));
        }
    }
    Err(ExchangeError::Malformed(
        "too many responses to other requests".into(),
    ))
}

/// A response, and how its end was determined.
struct Received {
    resp: Response,
    framing: Framing,
    /// Whether the peer keeps the connection open after it.
    keep_alive: bool,
}

/// Reads one response, without the informational (1xx) ones before it.
async fn read_response(
    rx: &mut Reader<'_>,
    buf: &mut BytesMut,
    req: &OutgoingRequest<'_>,
) -> Result<Received, ExchangeError> {
    for _ in 0..=MAX_SKIPPED_RESPONSES {
        let (status, headers, is_http11) = read_head(rx, buf).await?;
        if status.is_informational() {
            continue;
        }
        let framing = response_framing(req, status, &headers, is_http11)
            .map_err(|problem| ExchangeError::Malformed(problem.into()))?;
        let body = read_body(rx, buf, framing, req.max_response_bytes, req.memory).await?;
        let keep_alive =
            is_http11 && framing != Framing::UntilClose && !connection_lists(&headers, "close");
        return Ok(Received {
            resp: Response {
                status,
                headers,
                body,
            },
            framing,
            keep_alive,
        });
    }
    Err(ExchangeError::Malformed(
        "too many informational responses".into(),
    ))
}

/// Returns the framing of the response to `req`.
fn response_framing(
    req: &OutgoingRequest<'_>,
    status: StatusCode,
    headers: &HeaderMap,
    is_http11: bool,
) -> Result<Framing, &'static str> {
    Ok(match declared_framing(headers, is_http11)? {
        _ if req.is_head || status == 204 || status == 304 => Framing::None,
        Some(framing) => framing,
        None => Framing::UntilClose,
    })
}

async fn read_head(rx: &mut Reader<'_>, buf: &mut BytesMut) -> Result<Head, ExchangeError> {
    loop {
        if let Some((head, length)) = parse_head(buf)? {
            let _ = buf.split_to(length);
            return Ok(head);
        }
        if buf.len() > MAX_HEAD_BYTES {
            return Err(ExchangeError::Malformed("response head too large".into()));
        }
        buf.reserve(READ_BYTES);
        match rx.read_buf(buf).await {
            Ok(0) => return Err(ExchangeError::Lost("closed before a response".into())),
            Ok(_) => {}
            Err(err) => return Err(ExchangeError::Lost(err.to_string())),
        }
    }
}

/// Status, headers, and whether the version is HTTP/1.1.
pub(super) type Head = (StatusCode, HeaderMap, bool);

/// Parses a head and returns it with its length; `None` if it is incomplete.
pub(super) fn parse_head(buf: &BytesMut) -> Result<Option<(Head, usize)>, ExchangeError> {
    if buf.is_empty() {
        return Ok(None);
    }
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut head = httparse::Response::new(&mut headers);
    match head.parse(buf) {
        Ok(httparse::Status::Complete(length)) => {
            check_head(&buf[..length])?;
            let status = parse_status(head.code.unwrap_or_default())?;
            let map = header_map(head.headers)
                .ok_or_else(|| ExchangeError::Malformed("invalid response header".into()))?;
            Ok(Some(((status, map, head.version == Some(1)), length)))
        }
        Ok(httparse::Status::Partial) => Ok(None),
        Err(_) => Err(ExchangeError::Malformed("malformed response head".into())),
    }
}
