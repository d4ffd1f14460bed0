//! The stream of a connection to a target, with checks of what is written and read.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::task::{Context, Poll, ready};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

use super::write_deadline::WriteDeadline;
use crate::http1::line_ends::LineEndCheck;

/// Checks that a connection and its stream share.
#[derive(Debug)]
pub(crate) struct StreamChecks {
    /// Deadline of the next request.
    pub(crate) write_deadline: WriteDeadline,
    /// Whether the next byte is the first one of a response.
    pub(crate) expects_head: AtomicBool,
}

/// A connection whose writes are checked against a [`WriteDeadline`], and the heads of its responses
/// for their line ends.
#[derive(Debug)]
pub(crate) struct TargetStream {
    inner: TcpStream,
    checks: Arc<StreamChecks>,
    line_ends: LineEndCheck,
}

impl TargetStream {
    /// Wraps a connection.
    pub(crate) fn new(inner: TcpStream, checks: Arc<StreamChecks>) -> Self {
        Self {
            inner,
            checks,
            line_ends: LineEndCheck::default(),
        }
    }
}

impl AsyncRead for TargetStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        ready!(Pin::new(&mut self.inner).poll_read(cx, buf))?;
        if self.checks.expects_head.swap(false, Ordering::AcqRel) {
            self.line_ends.expect_head();
        }
        let checked = self.line_ends.check(&buf.filled()[before..]);
        Poll::Ready(checked.map_err(|err| io::Error::new(io::ErrorKind::InvalidData, err)))
    }
}

impl AsyncWrite for TargetStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.checks.write_deadline.check()?;
        Pin::new(&mut self.inner).poll_write(cx, buf)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.checks.write_deadline.check()?;
        Pin::new(&mut self.inner).poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.inner.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_shutdown(cx)
    }
}
