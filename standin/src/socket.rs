//! The server side of a TCP connection with fault injection.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::task::{Context, Poll, ready};

use bytes::{Buf, Bytes};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

use crate::faults::Shared;

/// A complete response that belongs to no request.
const STRAY_RESPONSE: &[u8] = b"HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nstray";

/// Bytes of a response that is cut in its head: the status line and a part of a header.
const CUT_HEAD_BYTES: usize = 24;

/// Faults of one connection.
#[derive(Debug, Default)]
pub(crate) struct SocketFaults {
    /// Bytes read and written are discarded; the connection stays open.
    pub(crate) silent: AtomicBool,
    /// The connection is reset when it is dropped.
    pub(crate) reset: AtomicBool,
    /// A stray response follows the next response.
    pub(crate) trailing: AtomicBool,
    /// A stray response precedes the next response.
    pub(crate) leading: AtomicBool,
    /// The connection ends in the head of the next response.
    pub(crate) cut_head: AtomicBool,
    /// Bytes that are sent in place of the next response; the connection ends after them.
    pub(crate) raw: Shared<Vec<u8>>,
}

/// The stream of one connection, which applies the faults to its bytes.
pub(crate) struct Socket {
    stream: TcpStream,
    faults: Arc<SocketFaults>,
    wrote: bool,
    responded: bool,
    is_cut: bool,
    stray: Bytes,
}

impl Socket {
    pub(crate) fn new(stream: TcpStream, faults: Arc<SocketFaults>) -> Self {
        Self {
            stream,
            faults,
            wrote: false,
            responded: false,
            is_cut: false,
            stray: Bytes::new(),
        }
    }

    fn poll_write_stray(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        while !self.stray.is_empty() {
            let written = ready!(Pin::new(&mut self.stream).poll_write(cx, &self.stray))?;
            self.stray.advance(written);
        }
        Poll::Ready(Ok(()))
    }
}

impl Drop for Socket {
    fn drop(&mut self) {
        if self.faults.reset.load(Ordering::Relaxed) {
            let _ = self.stream.set_zero_linger();
        }
    }
}

impl AsyncRead for Socket {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let this = self.get_mut();
        let before = buf.filled().len();
        ready!(Pin::new(&mut this.stream).poll_read(cx, buf))?;
        while this.faults.silent.load(Ordering::Relaxed) && buf.filled().len() > before {
            buf.set_filled(before);
            ready!(Pin::new(&mut this.stream).poll_read(cx, buf))?;
        }
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for Socket {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let this = self.get_mut();
        if this.faults.silent.load(Ordering::Relaxed) {
            return Poll::Ready(Ok(buf.len()));
        }
        let raw = this.faults.raw.change(std::mem::take);
        if !raw.is_empty() {
            this.stray = raw.into();
            this.is_cut = true;
        }
        if this.is_cut {
            ready!(this.poll_write_stray(cx))?;
            return Poll::Ready(Err(io::ErrorKind::BrokenPipe.into()));
        }
        if this.faults.cut_head.load(Ordering::Relaxed) {
            let head = &buf[..buf.len().min(CUT_HEAD_BYTES)];
            let written = ready!(Pin::new(&mut this.stream).poll_write(cx, head))?;
            this.is_cut = true;
            return Poll::Ready(Ok(written));
        }
        let leading = this.faults.leading.swap(false, Ordering::Relaxed);
        // A late response to an earlier call needs an earlier call on the connection.
        if leading && this.responded {
            this.stray = Bytes::from_static(STRAY_RESPONSE);
        }
        ready!(this.poll_write_stray(cx))?;
        let written = ready!(Pin::new(&mut this.stream).poll_write(cx, buf))?;
        this.wrote = written > 0;
        this.responded |= this.wrote;
        Poll::Ready(Ok(written))
    }

    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let this = self.get_mut();
        if this.wrote && this.faults.trailing.swap(false, Ordering::Relaxed) {
            this.stray = Bytes::from_static(STRAY_RESPONSE);
        }
        this.wrote = false;
        ready!(this.poll_write_stray(cx))?;
        Pin::new(&mut this.stream).poll_flush(cx)
    }

    fn poll_shutdown(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.get_mut().stream).poll_shutdown(cx)
    }
}
