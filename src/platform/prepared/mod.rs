//! The users' prepared platform: names, formats and calls. It decides nothing.

pub(crate) mod record;
pub(crate) mod settings;
pub(crate) mod store;
pub(crate) mod wire;
