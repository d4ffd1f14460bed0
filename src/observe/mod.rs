//! Observability of an instance: logs, metrics and state dumps.

pub(crate) mod dump;
pub(crate) mod line_writer;
pub(crate) mod log;
pub(crate) mod metrics;
