//! The `Priority` resource, which ranks the calls of services and path rules.

use serde::{Deserialize, Serialize};

use crate::macros::data;
use crate::names::PriorityName;

data! {
    /// A priority that services and rules refer to.
    #[serde(deny_unknown_fields)]
    pub struct Priority {
        /// Name by which services and path rules refer to the priority.
        pub name: PriorityName,
        /// Declared properties of the priority.
        pub spec: PrioritySpec,
    }
}

/// Position of a priority; rank 0 is the most urgent.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Rank(pub u8);

impl Rank {
    /// The most urgent rank, for which a service's reserved slots are kept.
    pub const URGENT: Self = Self(0);
}

/// The declared part of a [`Priority`].
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PrioritySpec {
    /// Position among the priorities; a lower rank is served first.
    pub rank: Rank,
}
