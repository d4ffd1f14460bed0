//! Admission control: which calls get the slots of a shard's targets, and in
//! which order.

pub mod borrower_demand;
pub mod caller;
pub mod capacity;
pub mod connections;
pub mod limit;
pub mod permit;
pub mod probe;
pub mod queue;
pub mod shard;
pub mod share;
