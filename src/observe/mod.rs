//! What an instance shows of itself: logs, metrics and state dumps.

pub(crate) mod dump;
pub(crate) mod lines;
pub(crate) mod log;
pub(crate) mod metrics;
