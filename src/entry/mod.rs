//! An entry instance on a prepared platform.
//!
//! Each instance keeps its own view of all targets and makes its decisions alone.
//! Messages from peers make this view more recent but are never needed to serve a
//! request. Limits that apply to all instances together are divided so that each
//! instance keeps its share without communication. See
//! `docs/design/prepared-platform.md`.

mod endpoints;
pub(crate) mod fleet;
mod metrics;
pub(crate) mod model;
mod reload;
pub(crate) mod request;
pub(crate) mod rollout;
mod run;
pub(crate) mod settings;
mod shared;
mod state;
mod stop;
pub(crate) mod target;
#[cfg(test)]
pub(crate) mod testing;
#[cfg(test)]
mod tests;
pub(crate) mod window;

pub(crate) use run::run;
