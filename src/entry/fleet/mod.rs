//! The other instances, what they tell each other, and the copy of the store's records.

pub(crate) mod caps;
pub(super) mod changes;
mod comparison;
pub(crate) mod digest;
pub(crate) mod directory;
pub(crate) mod freshness;
pub(crate) mod homes;
pub(crate) mod members;
pub(crate) mod message;
pub(super) mod peers;
pub(crate) mod reach;
pub(crate) mod replica;
mod source;
pub(crate) mod sync;
pub(crate) mod watchers;
