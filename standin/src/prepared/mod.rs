//! Stand-ins for the users' prepared platform: its store and its targets.

pub mod settings;
pub mod store;
pub mod target;
