//! Stand-ins for the users' prepared platform: its store, its targets and the settings
//! file of an entry instance.

pub mod settings;
pub mod store;
pub mod target;
