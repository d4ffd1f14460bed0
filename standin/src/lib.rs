//! Stand-ins for the platform that wagtailsaddle meets: the key-value service,
//! the list of instances and the targets, with faults on demand.
//!
//! Everything listens on loopback, on ports that the system chooses.

pub mod faults;
pub mod fleet;
pub mod http;
pub mod list;
pub mod platform;
pub mod prepared;
mod socket;
pub mod store;
pub mod target;
mod watch;
