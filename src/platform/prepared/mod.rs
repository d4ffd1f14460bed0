//! Interface of the platform that the users provide: names, formats and store calls.
//!
//! These modules only translate; all decisions are made in [`crate::entry`].

mod accounts;
pub(crate) mod record;
pub(crate) mod settings;
pub(crate) mod store;
pub(crate) mod wire;
