//! The instances of this program and the shards that each of them owns.

pub mod heartbeat;
pub(crate) mod peers;

use std::net::SocketAddr;

use crate::macros::data;
use crate::names::{InstanceId, ShardId, StartId, TargetId, ZoneName};
use crate::ownership::electorate::Electorate;

data! {
    /// Record of an instance in the store, kept under its lease.
    pub struct Member {
        /// Identifier of the instance.
        pub instance: InstanceId,
        /// Identifier of the instance's current run.
        pub start: StartId,
        /// Availability zone of the instance.
        pub zone: ZoneName,
        /// Address on which it accepts connections of callers.
        pub callers: SocketAddr,
        /// Address on which it accepts connections of other instances.
        pub peers: SocketAddr,
    }

    /// Record of a shard's owner in the store.
    ///
    /// A claim outlives its owner's lease, so that an instance that takes over
    /// knows which owner must have stopped. It is in force while its owner's
    /// member key exists.
    pub struct Claim {
        /// Shard that is owned.
        pub shard: ShardId,
        /// Instance that owns the shard.
        pub owner: InstanceId,
        /// Run of the owner.
        pub start: StartId,
        /// Members whose reports count after the owner's lease has expired.
        #[serde(default)]
        pub electorate: Electorate,
        /// Whether the owner has stopped and released the claim.
        #[serde(default)]
        pub released: bool,
        /// Permits of previous owners that may still be in use, as of when the
        /// claim was written.
        #[serde(rename = "left_over", default)]
        pub inherited: InheritedPermits,
    }

    /// Permits of previous owners that may still be in use.
    #[derive(Default)]
    pub enum InheritedPermits {
        /// No permits.
        #[default]
        Nothing,
        /// The permits that the previous owner recorded when it released the
        /// claim.
        Known {
            /// Number of permits for each target.
            permits: Vec<TargetPermits>,
        },
        /// The previous owner recorded nothing; every slot may be in use until
        /// the longest permit has expired.
        Unknown,
    }

    /// Permits on one target that were in use when an owner released its claim.
    pub struct TargetPermits {
        /// Target that the permits are for.
        pub target: TargetId,
        /// Number of permits.
        pub count: u32,
        /// Time until the last of them expires, in milliseconds.
        pub left_ms: u64,
    }

    /// One run of an instance; a restart begins a new run.
    #[derive(Eq, Hash)]
    pub struct RunId {
        /// Identifier of the instance.
        pub instance: InstanceId,
        /// Identifier of the run.
        pub start: StartId,
    }
}

impl Member {
    /// Returns the run of the member.
    #[must_use]
    pub fn run(&self) -> RunId {
        RunId {
            instance: self.instance.clone(),
            start: self.start.clone(),
        }
    }
}

impl Claim {
    /// Returns the run that owns the shard.
    #[must_use]
    pub fn run(&self) -> RunId {
        RunId {
            instance: self.owner.clone(),
            start: self.start.clone(),
        }
    }
}
