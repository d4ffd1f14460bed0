//! A writer of log lines that never blocks the one who logs.

use std::io::Write;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, sync_channel};
use std::time::{Duration, Instant};

use tracing_subscriber::fmt::MakeWriter;

/// Lines that wait to be written; a few seconds of a busy instance.
const MAX_WAITING: usize = 2048;
/// Time in which lines are gathered for one write.
const GATHER: Duration = Duration::from_millis(100);

/// Longest wait for the last lines at the end of the process.
const FLUSH_LIMIT: Duration = Duration::from_millis(400);

/// Lines that are not written yet.
static WAITING: AtomicU64 = AtomicU64::new(0);
/// Lines dropped since the start.
static DROPPED: AtomicU64 = AtomicU64::new(0);

/// Lines that were dropped because the buffer was full.
pub(crate) fn dropped() -> u64 {
    DROPPED.load(Ordering::Relaxed)
}

/// Waits until the lines so far are written, for a bounded time.
pub(crate) fn flush() {
    let began = Instant::now();
    while WAITING.load(Ordering::Relaxed) > 0 && began.elapsed() < FLUSH_LIMIT {
        std::thread::sleep(GATHER / 10);
    }
}

/// A writer to standard output over a bounded buffer and a thread of its own.
pub(crate) fn writer() -> LineWriter {
    let (tx, rx) = sync_channel(MAX_WAITING);
    let spawned = std::thread::Builder::new()
        .name("log".into())
        .spawn(move || write_lines(&rx));
    if let Err(err) = spawned {
        eprintln!("no log is written: {err}");
    }
    LineWriter { tx }
}

/// Hands each line to the thread that writes.
#[derive(Debug, Clone)]
pub(crate) struct LineWriter {
    tx: SyncSender<Vec<u8>>,
}

impl Write for LineWriter {
    fn write(&mut self, line: &[u8]) -> std::io::Result<usize> {
        WAITING.fetch_add(1, Ordering::Relaxed);
        if self.tx.try_send(line.to_vec()).is_err() {
            WAITING.fetch_sub(1, Ordering::Relaxed);
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
        std::thread::sleep(GATHER);
        let mut batch = first;
        let mut count = 1;
        while let Ok(line) = rx.try_recv() {
            batch.extend_from_slice(&line);
            count += 1;
        }
        let lost = dropped();
        if lost > reported {
            let count = lost - reported;
            let line = format!(
                "{{\"level\":\"WARN\",\"message\":\"log lines dropped\",\"count\":{count}}}\n"
            );
            batch.extend_from_slice(line.as_bytes());
            reported = lost;
        }
        // Nobody reads the log: there is nowhere left to say so.
        let _ = std::io::stdout().lock().write_all(&batch);
        WAITING.fetch_sub(count, Ordering::Relaxed);
    }
}
