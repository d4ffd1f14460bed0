//! Ownership of shards: which instance alone may grant a shard's slots.

pub mod authority;
pub mod electorate;
pub mod placement;
pub mod takeover;

#[cfg(test)]
mod claim_model;
