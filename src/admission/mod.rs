//! Admission control: which calls get the slots of a shard's targets, and in
//! which order.

pub mod caller;
pub mod connections;
pub mod lend;
pub mod limit;
pub mod permit;
pub mod probe;
pub mod queue;
pub mod rooms;
pub mod shard;
pub mod share;
