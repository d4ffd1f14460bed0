//! Structured logs, to standard error or through a buffer to standard output.

use std::io::IsTerminal;
use std::sync::Arc;

use tracing_subscriber::layer::SubscriberExt;
use tracing_subscriber::util::SubscriberInitExt;
use tracing_subscriber::{EnvFilter, Layer, Registry, fmt, reload};

use super::line_writer;
use crate::settings::LogSettings;

/// Changes the log's filter while the process runs.
#[derive(Clone)]
pub(crate) struct LogControl {
    set: Arc<SetFilter>,
}

type SetFilter = dyn Fn(&str) -> Result<(), String> + Send + Sync;

impl std::fmt::Debug for LogControl {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("LogControl")
    }
}

impl LogControl {
    /// Sets the filter, such as `info` or `info,wagtailsaddle=debug`.
    pub(crate) fn set(&self, filter: &str) -> Result<(), String> {
        (self.set)(filter)
    }
}

/// Starts logging to standard error. In a process that logs already this changes
/// nothing, and the returned control has no effect.
pub(crate) fn start(settings: &LogSettings) -> LogControl {
    let filter = parse_filter(&settings.level).unwrap_or_else(|_| EnvFilter::new("info"));
    let (filter, handle) = reload::Layer::<EnvFilter, Registry>::new(filter);
    let lines: Box<dyn Layer<_> + Send + Sync> = if settings.json {
        Box::new(fmt::layer().json().with_writer(std::io::stderr))
    } else {
        Box::new(
            fmt::layer()
                .with_ansi(std::io::stderr().is_terminal())
                .with_writer(std::io::stderr),
        )
    };
    if tracing_subscriber::registry()
        .with(filter)
        .with(lines)
        .try_init()
        .is_err()
    {
        tracing::debug!("logging is already started");
    }
    LogControl {
        set: Arc::new(move |text| {
            let filter = parse_filter(text)?;
            handle.reload(filter).map_err(|err| err.to_string())
        }),
    }
}

fn parse_filter(text: &str) -> Result<EnvFilter, String> {
    EnvFilter::try_new(text)
        .map_err(|err| format!("`{text}` is not a log filter ({err}); write one such as info or info,wagtailsaddle=debug"))
}

/// Starts logging to standard output, one JSON object per line. Logging never blocks:
/// lines that exceed the buffer are dropped and counted.
pub(crate) fn start_buffered() {
    let lines = fmt::layer()
        .json()
        .flatten_event(true)
        .with_target(false)
        .with_writer(line_writer::writer());
    let filter = EnvFilter::new("info");
    if tracing_subscriber::registry()
        .with(lines.with_filter(filter))
        .try_init()
        .is_err()
    {
        tracing::debug!("logging is already started");
    }
}
