//! The platform's services as this crate meets them.

pub mod budget;
pub mod etcd;
mod etcd_watch;
pub(crate) mod http;
pub mod list;
pub(crate) mod prepared;
pub mod store;
pub mod view;
