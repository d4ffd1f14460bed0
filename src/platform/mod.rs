//! Clients for the services of the platform: its key-value store, its target list
//! and its HTTP interfaces.

pub mod budget;
pub mod etcd;
mod etcd_watch;
pub(crate) mod http;
pub mod list;
pub(crate) mod prepared;
pub mod store;
pub mod view;
