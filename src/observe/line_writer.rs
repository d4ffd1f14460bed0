//! Log writer that never blocks the logging thread.

use std::io::Write;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, sync_channel};
use std::time::{Duration, Instant};

use tracing_subscriber::fmt::MakeWriter;

/// Capacity of the buffer, in lines; it holds a few seconds of a busy instance's log.
const MAX_BUFFERED_LINES: usize = 2048;
/// Time for which lines are collected into one write.
const BATCH_INTERVAL: Duration = Duration::from_millis(100);

/// Maximum wait for the last lines at the end of the process.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(400);

/// Number of lines that are buffered and not yet written.
static BUFFERED: AtomicU64 = AtomicU64::new(0);
/// Number of lines dropped since the start.
static DROPPED: AtomicU64 = AtomicU64::new(0);

/// Returns the number of lines dropped because the buffer was full.
pub(crate) fn dropped() -> u64 {
    DROPPED.load(Ordering::Relaxed)
}

/// Waits until the buffered lines are written, at most [`FLUSH_TIMEOUT`].
pub(crate) fn flush() {
    let start = Instant::now();
    while BUFFERED.load(Ordering::Relaxed) > 0 && start.elapsed() < FLUSH_TIMEOUT {
        std::thread::sleep(BATCH_INTERVAL / 10);
    }
}

/// Creates a writer that passes lines through a bounded buffer to a thread, which
/// writes them to standard output.
pub(crate) fn writer() -> LineWriter {
    let (tx, rx) = sync_channel(MAX_BUFFERED_LINES);
    let spawned = std::thread::Builder::new()
        .name("log".into())
        .spawn(move || write_lines(&rx));
    if let Err(err) = spawned {
        eprintln!("cannot start the log thread, no log is written: {err}");
    }
    LineWriter { tx }
}

/// Sends each line to the writing thread; drops the line when the buffer is full.
#[derive(Debug, Clone)]
pub(crate) struct LineWriter {
    tx: SyncSender<Vec<u8>>,
}

impl Write for LineWriter {
    fn write(&mut self, line: &[u8]) -> std::io::Result<usize> {
        BUFFERED.fetch_add(1, Ordering::Relaxed);
        if self.tx.try_send(line.to_vec()).is_err() {
            BUFFERED.fetch_sub(1, Ordering::Relaxed);
            DROPPED.fetch_add(1, Ordering::Relaxed);
        }
        Ok(line.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

impl MakeWriter<'_> for LineWriter {
    type Writer = Self;

    fn make_writer(&self) -> Self::Writer {
        self.clone()
    }
}

fn write_lines(rx: &Receiver<Vec<u8>>) {
    let mut reported = 0;
    while let Ok(first) = rx.recv() {
        std::thread::sleep(BATCH_INTERVAL);
        let mut batch = first;
        let mut count = 1;
        while let Ok(line) = rx.try_recv() {
            batch.extend_from_slice(&line);
            count += 1;
        }
        let total = dropped();
        if total > reported {
            let count = total - reported;
            let line = format!(
                "{{\"level\":\"WARN\",\"message\":\"log lines dropped\",\"count\":{count}}}\n"
            );
            batch.extend_from_slice(line.as_bytes());
            reported = total;
        }
        // Write errors are ignored: there is no other place to report them.
        let _ = std::io::stdout().lock().write_all(&batch);
        BUFFERED.fetch_sub(count, Ordering::Relaxed);
    }
}
