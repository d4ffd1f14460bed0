//! Roll-outs: how a service's requests move to targets of a new version, and back if it
//! is worse.
//!
//! All here is pure; see `docs/design/rollouts.md`.

pub mod evidence;
pub mod gate;
mod history;
pub mod judge;
mod schedule;
mod verdict;

use std::time::Duration;

use crate::macros::data;
use crate::names::{ServiceName, VersionName};

data! {
    /// An operator's order to move a service's requests to a version.
    pub struct RolloutOrder {
        /// The service.
        pub service: ServiceName,
        /// The version that its requests move to.
        pub version: VersionName,
        /// Time within which the roll-out is to be completed.
        pub duration: Duration,
    }

    /// How far a roll-out is.
    #[derive(Copy, Eq)]
    pub enum Stage {
        /// The new version gets this share of the requests, in percent.
        Running(u8),
        /// All requests go to the new version, for good.
        Completed,
        /// The new version gets no requests, for good.
        RolledBack,
    }

    /// The decision on a roll-out that is in force on all instances.
    pub struct RolloutDecision {
        /// The service.
        pub service: ServiceName,
        /// The version that the order names.
        pub version: VersionName,
        /// Versions of the service's targets before.
        pub previous: Vec<VersionName>,
        /// How far it is.
        pub stage: Stage,
        /// When the order was first seen, in milliseconds since the Unix epoch.
        pub ordered_ms: u64,
    }
}

/// Limits of roll-outs.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RolloutLimits {
    /// Share of a service's requests that a bad version may get, from all instances
    /// together.
    pub share: f64,
    /// Requests that it may get in addition.
    pub slack: f64,
    /// Time from a version's 50th bad response until it must get no requests.
    pub rollback_time: Duration,
}
