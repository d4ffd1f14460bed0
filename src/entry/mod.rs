//! An entry instance on a prepared platform.
//!
//! Each instance keeps its own view of all targets and makes its decisions alone.
//! Messages from peers make this view more recent but are never needed to serve a
//! request. Limits that apply to all instances together are divided so that each
//! instance keeps its share without communication. See
//! `docs/design/prepared-platform.md`.

mod attempt;
pub(crate) mod digest;
pub(crate) mod directory;
mod endpoints;
mod fingerprint;
mod forward;
pub(crate) mod hedge;
pub(crate) mod load;
pub(crate) mod members;
pub(crate) mod message;
mod metrics;
pub(crate) mod model;
mod outcome;
mod peers;
pub(crate) mod placement;
mod pool;
pub(crate) mod precheck;
mod probe;
pub(crate) mod reach;
mod reload;
pub(crate) mod replica;
pub(crate) mod retry;
pub(crate) mod routes;
mod run;
mod selection;
pub(crate) mod service_time;
pub(crate) mod settings;
mod shared;
mod state;
pub(crate) mod sync;
pub(crate) mod target_limit;
pub(crate) mod target_path;
pub(crate) mod targets;
#[cfg(test)]
mod testing;
#[cfg(test)]
mod tests;
pub(crate) mod upload;
pub(crate) mod wait_queue;
pub(crate) mod watchers;
pub(crate) mod window;

pub(crate) use run::run;
