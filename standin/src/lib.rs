//! Stand-ins for the platform that wagtailsaddle runs on: the key-value service,
//! the instance list and the targets, with fault injection.
//!
//! Every stand-in listens on loopback, on a port chosen by the operating system.

pub mod faults;
pub mod fleet;
pub mod http;
pub mod list;
pub mod platform;
pub mod prepared;
pub mod raw;
mod socket;
pub mod store;
pub mod target;
mod watch;
