//! How far a response has arrived, for others than its reader.

use std::io;
use std::pin::Pin;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll};

use tokio::io::{AsyncRead, ReadBuf};
use tokio::net::tcp::ReadHalf;
use tokio::time::Instant;

/// How far a response has arrived, for others than its reader.
#[derive(Debug, Default)]
pub(crate) struct ResponseProgress(Mutex<Received>);

/// What has arrived of a response.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Received {
    /// Bytes on the connection.
    pub bytes: usize,
    /// When the last of them arrived.
    pub last: Option<Instant>,
}

impl ResponseProgress {
    /// What has arrived since the last [`Self::reset`].
    pub(crate) fn received(&self) -> Received {
        *self.lock()
    }

    /// Starts again with the next response.
    pub(crate) fn reset(&self) {
        *self.lock() = Received::default();
    }

    fn add(&self, bytes: usize) {
        let mut received = self.lock();
        received.bytes += bytes;
        received.last = Some(Instant::now());
    }

    fn lock(&self) -> MutexGuard<'_, Received> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Reads from a connection, and records the progress if it is observed.
pub(super) struct Reader<'a> {
    pub(super) rx: ReadHalf<'a>,
    pub(super) progress: Option<&'a ResponseProgress>,
}

impl AsyncRead for Reader<'_> {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let this = self.get_mut();
        let before = buf.filled().len();
        let result = Pin::new(&mut this.rx).poll_read(cx, buf);
        let bytes = buf.filled().len() - before;
        if let Some(progress) = this.progress
            && bytes > 0
        {
            progress.add(bytes);
        }
        result
    }
}
