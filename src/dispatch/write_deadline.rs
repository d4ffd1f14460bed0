//! Fails a request at its first write if its permit has ended since it was checked,
//! as happens in a process that was paused in between.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::task::{Context, Poll};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

use crate::units::{Clock, Time};

#[cfg(test)]
mod tests;

/// Time until which the first byte of the next request may be written.
#[derive(Debug)]
pub(crate) struct WriteDeadline {
    clock: Clock,
    until_us: AtomicU64,
}

impl WriteDeadline {
    /// Creates a deadline that is not set, so that every write passes.
    pub(crate) fn new(clock: Clock) -> Self {
        Self {
            clock,
            until_us: AtomicU64::new(Time::MAX.as_micros()),
        }
    }

    /// Sets the deadline for the first write of the next request.
    pub(crate) fn set(&self, until: Time) {
        self.until_us.store(until.as_micros(), Ordering::Release);
    }

    /// Checks the deadline before a write. The first write after [`WriteDeadline::set`] clears
    /// it, so that the rest of the request is not affected.
    fn check(&self) -> io::Result<()> {
        let until = self.until_us.load(Ordering::Acquire);
        if until == Time::MAX.as_micros() {
            return Ok(());
        }
        if self.clock.now() >= Time::from_micros(until) {
            return Err(io::Error::other(
                "the permit ended before the request was written",
            ));
        }
        self.set(Time::MAX);
        Ok(())
    }
}

/// A connection whose writes are checked against a [`WriteDeadline`].
#[derive(Debug)]
pub(crate) struct WriteDeadlineStream {
    inner: TcpStream,
    write_deadline: Arc<WriteDeadline>,
}

impl WriteDeadlineStream {
    /// Wraps a connection.
    pub(crate) fn new(inner: TcpStream, write_deadline: Arc<WriteDeadline>) -> Self {
        Self {
            inner,
            write_deadline,
        }
    }
}

impl AsyncRead for WriteDeadlineStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_read(cx, buf)
    }
}

impl AsyncWrite for WriteDeadlineStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.write_deadline.check()?;
        Pin::new(&mut self.inner).poll_write(cx, buf)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.write_deadline.check()?;
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
