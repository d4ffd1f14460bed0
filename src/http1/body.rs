//! Framing of message bodies, and reading whole bodies.

use bytes::{Buf, Bytes, BytesMut};
use http::HeaderMap;
use tokio::io::{AsyncRead, AsyncReadExt};

use super::READ_BYTES;

/// Longest line with a chunk's size and extensions, or with a trailer, in bytes.
const MAX_CHUNK_LINE_BYTES: usize = 256;

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
#[derive(Debug, derive_more::Display)]
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
}

/// Returns the framing that the headers declare; `None` if they declare none.
///
/// # Errors
/// The framing is ambiguous or unknown. Such a message must be rejected, because it could
/// smuggle a second one.
pub(crate) fn declared_framing(headers: &HeaderMap) -> Result<Option<Framing>, &'static str> {
    let mut codings = headers.get_all(http::header::TRANSFER_ENCODING).iter();
    let mut lengths = headers.get_all(http::header::CONTENT_LENGTH).iter();
    match (codings.next(), lengths.next()) {
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

/// Reads a whole body; bytes that follow it stay in `buf`.
///
/// # Errors
/// The body can't be read whole or is longer than `max` bytes, see [`BodyError`].
pub(crate) async fn read_body<R: AsyncRead + Unpin>(
    rx: &mut R,
    buf: &mut BytesMut,
    framing: Framing,
    max: usize,
) -> Result<Bytes, BodyError> {
    match framing {
        Framing::None => Ok(Bytes::new()),
        Framing::Length(length) if length > max => Err(BodyError::TooLarge(max)),
        Framing::Length(length) => {
            while buf.len() < length {
                fill(rx, buf).await?;
            }
            Ok(buf.split_to(length).freeze())
        }
        Framing::Chunked => read_chunks(rx, buf, max).await,
        Framing::UntilClose => read_to_end(rx, buf, max).await,
    }
}

async fn read_to_end<R: AsyncRead + Unpin>(
    rx: &mut R,
    buf: &mut BytesMut,
    max: usize,
) -> Result<Bytes, BodyError> {
    loop {
        if buf.len() > max {
            return Err(BodyError::TooLarge(max));
        }
        buf.reserve(READ_BYTES);
        match rx.read_buf(buf).await {
            Ok(0) => return Ok(buf.split().freeze()),
            Ok(_) => {}
            Err(err) => return Err(BodyError::Truncated(err.to_string())),
        }
    }
}

async fn read_chunks<R: AsyncRead + Unpin>(
    rx: &mut R,
    buf: &mut BytesMut,
    max: usize,
) -> Result<Bytes, BodyError> {
    let mut body = BytesMut::new();
    loop {
        let line = read_line(rx, buf).await?;
        let size = chunk_size(&line)?;
        if size == 0 {
            while !read_line(rx, buf).await?.is_empty() {}
            return Ok(body.freeze());
        }
        if body.len() + size > max {
            return Err(BodyError::TooLarge(max));
        }
        while buf.len() < size + 2 {
            fill(rx, buf).await?;
        }
        body.extend_from_slice(&buf[..size]);
        if &buf[size..size + 2] != b"\r\n" {
            return Err(BodyError::Malformed("missing CRLF after a chunk"));
        }
        buf.advance(size + 2);
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

/// Reads a line that ends with CRLF, and returns it without its end.
async fn read_line<R: AsyncRead + Unpin>(
    rx: &mut R,
    buf: &mut BytesMut,
) -> Result<BytesMut, BodyError> {
    loop {
        if let Some(end) = buf.windows(2).position(|pair| pair == b"\r\n") {
            let line = buf.split_to(end);
            buf.advance(2);
            return Ok(line);
        }
        if buf.len() > MAX_CHUNK_LINE_BYTES {
            return Err(BodyError::Malformed("chunk size line or trailer too long"));
        }
        fill(rx, buf).await?;
    }
}

/// Reads some more bytes into `buf`; the end of the connection is an error.
async fn fill<R: AsyncRead + Unpin>(rx: &mut R, buf: &mut BytesMut) -> Result<(), BodyError> {
    buf.reserve(READ_BYTES);
    match rx.read_buf(buf).await {
        Ok(0) => Err(BodyError::Truncated("connection closed by the peer".into())),
        Ok(_) => Ok(()),
        Err(err) => Err(BodyError::Truncated(err.to_string())),
    }
}
