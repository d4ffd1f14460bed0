//! The configuration: changes are accepted through the store and propagated between instances.

pub(crate) mod change;
pub(crate) mod document;
mod fetch;
pub(crate) mod manifest;
pub(crate) mod peers;
pub(crate) mod propagation;
mod repair;
mod shards;
pub(crate) mod state;
pub(crate) mod stored;

pub(crate) use state::ConfigState;
