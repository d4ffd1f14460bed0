//! Framing of message bodies, their incremental decoding, and reading whole bodies.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use bytes::{Buf, Bytes, BytesMut};
use http::HeaderMap;
use tokio::io::{AsyncRead, AsyncReadExt};

use super::READ_BYTES;

/// Longest line with a chunk's size and extensions, or with a trailer, in bytes.
const MAX_CHUNK_LINE_BYTES: usize = 8 << 10;
/// Maximum size of all trailers, in bytes; they are dropped.
const MAX_TRAILER_BYTES: usize = 16 << 10;
/// Bytes of each response that are not counted in a [`ResponseMemory`], so that short
/// responses are read even while it is used up.
const FREE_BYTES: usize = 64 << 10;
/// Maximum buffer space for one read of a body of known length.
const MAX_READ_BYTES: usize = 64 << 10;

/// How the end of a body is determined.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Framing {
    /// The message has no body.
    None,
    /// The body has this many bytes.
    Length(usize),
    /// The body uses the chunked transfer coding.
    Chunked,
    /// The body ends when the peer closes the connection.
    UntilClose,
}

/// Why a body could not be read.
#[derive(Debug, Clone, PartialEq, Eq, derive_more::Display)]
pub(crate) enum BodyError {
    /// The connection ended before the end of the body.
    #[display("incomplete body: {_0}")]
    Truncated(String),
    /// The framing is not valid HTTP.
    #[display("malformed body framing: {_0}")]
    Malformed(&'static str),
    /// The body is longer than allowed.
    #[display("the body exceeds the limit of {_0} bytes")]
    TooLarge(usize),
    /// The memory for bodies is used up.
    #[display("the memory for responses is used up")]
    NoMemory,
    /// No byte of the rest of the body arrived within the idle timeout.
    #[display("no byte of the body arrived for {_0:?}")]
    Stalled(Duration),
}

/// Returns the framing that the headers declare; `None` if they declare none.
///
/// # Errors
/// The framing is ambiguous, unknown, or none of HTTP/1.0 (RFC 9112, section 6.1). Such a message
/// must be rejected, because it could smuggle a second one.
pub(crate) fn declared_framing(
    headers: &HeaderMap,
    is_http11: bool,
) -> Result<Option<Framing>, &'static str> {
    let mut codings = headers.get_all(http::header::TRANSFER_ENCODING).iter();
    let mut lengths = headers.get_all(http::header::CONTENT_LENGTH).iter();
    match (codings.next(), lengths.next()) {
        (Some(_), _) if !is_http11 => Err("Transfer-Encoding in HTTP/1.0"),
        (Some(_), Some(_)) => Err("both Content-Length and Transfer-Encoding are set"),
        (Some(coding), None) => {
            let chunked = coding.as_bytes().eq_ignore_ascii_case(b"chunked");
            if !chunked || codings.next().is_some() {
                return Err("unsupported Transfer-Encoding");
            }
            Ok(Some(Framing::Chunked))
        }
        (None, Some(length)) => {
            if lengths.any(|other| other != length) {
                return Err("conflicting Content-Length headers");
            }
            let text = length.to_str().map_err(|_| "invalid Content-Length")?;
            if text.is_empty() || !text.bytes().all(|b| b.is_ascii_digit()) {
                return Err("invalid Content-Length");
            }
            let length = text.parse().map_err(|_| "Content-Length out of range")?;
            Ok(Some(Framing::Length(length)))
        }
        (None, None) => Ok(None),
    }
}

/// Decodes the framing of a body from bytes that arrive in pieces of any size.
#[derive(Debug)]
pub(crate) struct BodyDecoder {
    state: DecoderState,
    /// Bytes of the body that are still allowed.
    allowed: usize,
    max: usize,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum DecoderState {
    /// The rest of a body of known length, in bytes.
    Length(usize),
    /// At the line with the size of the next chunk.
    ChunkSize,
    /// In the data of a chunk of which this many bytes are left.
    ChunkData(usize),
    /// At the CRLF after the data of a chunk.
    ChunkEnd,
    /// In the trailers after the last chunk, of which this many bytes were read.
    Trailers(usize),
    UntilClose,
    End,
}

/// Result of decoding the bytes received so far.
#[derive(Debug, PartialEq, Eq)]
pub(crate) enum Decoded {
    /// Some bytes of the body; never empty.
    Data(Bytes),
    /// More bytes must be received first.
    Incomplete,
    /// The body is complete.
    End,
}

impl BodyDecoder {
    /// Creates a decoder of a body of at most `max` bytes.
    ///
    /// # Errors
    /// [`BodyError::TooLarge`] if a longer body is declared.
    pub(crate) fn new(framing: Framing, max: usize) -> Result<Self, BodyError> {
        let state = match framing {
            Framing::Length(length) if length > max => return Err(BodyError::TooLarge(max)),
            Framing::None | Framing::Length(0) => DecoderState::End,
            Framing::Length(length) => DecoderState::Length(length),
            Framing::Chunked => DecoderState::ChunkSize,
            Framing::UntilClose => DecoderState::UntilClose,
        };
        Ok(Self {
            state,
            allowed: max,
            max,
        })
    }

    /// Takes the next part of the body, of at most `limit` bytes, from the front of `buf`;
    /// bytes after the body stay there.
    ///
    /// # Errors
    /// The framing is malformed or the body too long.
    pub(crate) fn decode(
        &mut self,
        buf: &mut BytesMut,
        limit: usize,
    ) -> Result<Decoded, BodyError> {
        loop {
            match self.state {
                DecoderState::End => return Ok(Decoded::End),
                DecoderState::Length(left) => {
                    let Some(data) = take(buf, left.min(limit)) else {
                        return Ok(Decoded::Incomplete);
                    };
                    self.state = match left - data.len() {
                        0 => DecoderState::End,
                        left => DecoderState::Length(left),
                    };
                    return Ok(Decoded::Data(data));
                }
                DecoderState::ChunkData(left) => {
                    let Some(data) = take(buf, left.min(limit)) else {
                        return Ok(Decoded::Incomplete);
                    };
                    self.state = match left - data.len() {
                        0 => DecoderState::ChunkEnd,
                        left => DecoderState::ChunkData(left),
                    };
                    return Ok(Decoded::Data(data));
                }
                DecoderState::UntilClose => {
                    let Some(data) = take(buf, limit) else {
                        return Ok(Decoded::Incomplete);
                    };
                    self.reserve(data.len())?;
                    return Ok(Decoded::Data(data));
                }
                DecoderState::ChunkEnd => {
                    if buf.len() < 2 {
                        return Ok(Decoded::Incomplete);
                    }
                    if !buf.starts_with(b"\r\n") {
                        return Err(BodyError::Malformed("missing CRLF after a chunk"));
                    }
                    buf.advance(2);
                    self.state = DecoderState::ChunkSize;
                }
                DecoderState::ChunkSize => {
                    let Some(line) = take_line(buf)? else {
                        return Ok(Decoded::Incomplete);
                    };
                    let size = chunk_size(&line)?;
                    self.reserve(size)?;
                    self.state = match size {
                        0 => DecoderState::Trailers(0),
                        size => DecoderState::ChunkData(size),
                    };
                }
                DecoderState::Trailers(bytes) => {
                    let Some(line) = take_line(buf)? else {
                        return Ok(Decoded::Incomplete);
                    };
                    let bytes = bytes + line.len() + 2;
                    self.state = match line.is_empty() {
                        true => DecoderState::End,
                        false if bytes <= MAX_TRAILER_BYTES => DecoderState::Trailers(bytes),
                        false => return Err(BodyError::Malformed("trailers too long")),
                    };
                }
            }
        }
    }

    /// Whether the whole body was decoded.
    pub(crate) fn is_complete(&self) -> bool {
        self.state == DecoderState::End
    }

    fn reserve(&mut self, size: usize) -> Result<(), BodyError> {
        let left = self.allowed.checked_sub(size);
        self.allowed = left.ok_or(BodyError::TooLarge(self.max))?;
        Ok(())
    }
}

/// Takes at most `count` bytes; `None` if there are none.
fn take(buf: &mut BytesMut, count: usize) -> Option<Bytes> {
    let count = count.min(buf.len());
    (count > 0).then(|| buf.split_to(count).freeze())
}

/// Takes a line that ends with CRLF, without its end; `None` if it is incomplete.
fn take_line(buf: &mut BytesMut) -> Result<Option<BytesMut>, BodyError> {
    const TOO_LONG: BodyError = BodyError::Malformed("chunk size line or trailer too long");
    let start = &buf[..buf.len().min(MAX_CHUNK_LINE_BYTES + 2)];
    match start.windows(2).position(|pair| pair == b"\r\n") {
        Some(end) => {
            let line = buf.split_to(end);
            buf.advance(2);
            Ok(Some(line))
        }
        // The last byte may be the first of the CRLF.
        None if buf.len() <= MAX_CHUNK_LINE_BYTES + 1 => Ok(None),
        None => Err(TOO_LONG),
    }
}

fn chunk_size(line: &[u8]) -> Result<usize, BodyError> {
    const INVALID: BodyError = BodyError::Malformed("invalid chunk size");
    let digits = line.split(|b| *b == b';').next().unwrap_or_default();
    let text = std::str::from_utf8(digits).map_err(|_| INVALID)?.trim();
    if text.is_empty() || !text.bytes().all(|b| b.is_ascii_hexdigit()) {
        return Err(INVALID);
    }
    usize::from_str_radix(text, 16).map_err(|_| INVALID)
}

/// Memory for the bodies of responses, over all connections, from their first byte until the
/// client has received them: a client may read slowly, or not at all.
#[derive(Debug)]
pub(crate) struct ResponseMemory {
    max: usize,
    /// Bytes held beyond [`FREE_BYTES`] of each response.
    held: AtomicUsize,
}

impl ResponseMemory {
    /// Allows `max` bytes for all responses beyond the first 64 KiB of each.
    pub(crate) fn new(max: usize) -> Self {
        Self {
            max,
            held: AtomicUsize::new(0),
        }
    }
}

/// What one response holds of a [`ResponseMemory`].
#[derive(Debug)]
struct HeldMemory {
    memory: Option<Arc<ResponseMemory>>,
    held: usize,
}

impl HeldMemory {
    /// Accounts for a buffer of `bytes` for the body so far.
    fn grow_to(&mut self, bytes: usize) -> Result<(), BodyError> {
        let Some(memory) = &self.memory else {
            return Ok(());
        };
        let more = bytes.saturating_sub(FREE_BYTES).saturating_sub(self.held);
        self.held += more;
        let before = memory.held.fetch_add(more, Ordering::Relaxed);
        if more > 0 && before + more > memory.max {
            return Err(BodyError::NoMemory);
        }
        Ok(())
    }
}

impl Drop for HeldMemory {
    fn drop(&mut self) {
        if let Some(memory) = &self.memory {
            memory.held.fetch_sub(self.held, Ordering::Relaxed);
        }
    }
}

/// A body that holds its memory until it is dropped.
struct HeldBody {
    bytes: Bytes,
    _held: HeldMemory,
}

impl AsRef<[u8]> for HeldBody {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

impl HeldMemory {
    /// Keeps the memory for as long as any reference to the body is left.
    fn attach_to(self, bytes: Bytes) -> Bytes {
        if self.held == 0 {
            return bytes;
        }
        Bytes::from_owner(HeldBody { bytes, _held: self })
    }
}

/// Reads a whole body; bytes that follow it stay in `buf`.
///
/// # Errors
/// The body can't be read whole, is longer than `max` bytes or exceeds `memory`, see
/// [`BodyError`].
pub(crate) async fn read_body<R: AsyncRead + Unpin>(
    rx: &mut R,
    buf: &mut BytesMut,
    framing: Framing,
    max: usize,
    memory: Option<&Arc<ResponseMemory>>,
) -> Result<Bytes, BodyError> {
    let mut held = HeldMemory {
        memory: memory.cloned(),
        held: 0,
    };
    if let Framing::Length(length) = framing
        && length <= max
    {
        // Without copying the body.
        while buf.len() < length {
            fill(rx, buf, (length - buf.len()).min(MAX_READ_BYTES)).await?;
            held.grow_to(buf.capacity())?;
        }
        let body = buf.split_to(length);
        if length > FREE_BYTES {
            // An idle connection would keep the whole buffer.
            *buf = BytesMut::from(&buf[..]);
        }
        return Ok(held.attach_to(body.freeze()));
    }
    let mut decoder = BodyDecoder::new(framing, max)?;
    let mut body = BytesMut::new();
    loop {
        match decoder.decode(buf, usize::MAX)? {
            Decoded::Data(data) => {
                body.extend_from_slice(&data);
                held.grow_to(body.capacity())?;
            }
            Decoded::End => return Ok(held.attach_to(body.freeze())),
            Decoded::Incomplete => match fill(rx, buf, READ_BYTES).await {
                Ok(()) => {}
                Err(End::Closed) if framing == Framing::UntilClose => {
                    return Ok(held.attach_to(body.freeze()));
                }
                Err(end) => return Err(end.into()),
            },
        }
    }
}

/// Why no more bytes can be read.
#[derive(Debug)]
enum End {
    /// The peer closed the connection.
    Closed,
    /// The connection failed.
    Failed(std::io::Error),
}

impl From<End> for BodyError {
    fn from(end: End) -> Self {
        match end {
            End::Closed => Self::Truncated("connection closed by the peer".into()),
            End::Failed(err) => Self::Truncated(err.to_string()),
        }
    }
}

/// Reads some more bytes into `buf`, with space for at least `space` bytes.
async fn fill<R: AsyncRead + Unpin>(
    rx: &mut R,
    buf: &mut BytesMut,
    space: usize,
) -> Result<(), End> {
    buf.reserve(space.max(READ_BYTES));
    match rx.read_buf(buf).await {
        Ok(0) => Err(End::Closed),
        Ok(_) => Ok(()),
        Err(err) => Err(End::Failed(err)),
    }
}
