//! The way of one request: its route, its wait for capacity, its attempts and its outcome.

pub(super) mod admission;
pub(super) mod attempt;
pub(super) mod fingerprint;
pub(super) mod forward;
pub(crate) mod hedge;
pub(super) mod outbound;
pub(super) mod outcome;
pub(super) mod pool;
pub(crate) mod retry;
pub(crate) mod routes;
pub(crate) mod service_time;
pub(crate) mod upload;
pub(crate) mod wait_queue;
