//! State dump of an instance as JSON.

use std::time::Duration;

use crate::admission::permit::PermitId;
use crate::dispatch::Dispatch;
use crate::dispatch::quarantine::Case;
use crate::macros::data;
use crate::membership::{Claim, Member};
use crate::names::{InstanceId, ShardId, TargetId};
use crate::resource::Revision;
use crate::tables::{OwnedShard, Tables};

data! {
    /// State of an instance.
    pub struct Dump {
        /// Membership record that the instance publishes.
        pub member: Member,
        /// Revision of the configuration in force.
        pub revision: Revision,
        /// Time until the lease ends by the instance's own clock, in milliseconds.
        pub lease_left_ms: u64,
        /// Known members, the instance included.
        pub members: Vec<Member>,
        /// Known claims of shards.
        pub claims: Vec<Claim>,
        /// Shards that the instance owns.
        pub shards: Vec<ShardDump>,
        /// Requests suspected of crashing targets, or blocked for it.
        pub quarantine: Vec<Case>,
    }

    /// State of one owned shard.
    pub struct ShardDump {
        /// Service and zone of the shard.
        pub shard: ShardId,
        /// Number of queued calls.
        pub waiting: usize,
        /// Targets of the shard.
        pub targets: Vec<TargetDump>,
        /// Outstanding permits of the shard.
        pub permits: Vec<PermitDump>,
    }

    /// State of one target of an owned shard.
    pub struct TargetDump {
        /// Identifier of the target.
        pub target: TargetId,
        /// Number of outstanding permits on the target.
        pub in_flight: u32,
        /// Whether the target is shutting down and takes no new calls.
        pub leaving: bool,
    }

    /// State of one outstanding permit.
    pub struct PermitDump {
        /// Identifier of the permit.
        pub permit: PermitId,
        /// Target that the permit is for.
        pub target: TargetId,
        /// Instance that runs the call; `None` when it is the owner itself.
        pub borrower: Option<InstanceId>,
        /// Time until the permit expires, in milliseconds.
        pub left_ms: u64,
    }
}

/// Collects the state of an instance.
pub(crate) fn collect(tables: &Tables, dispatch: &Dispatch) -> Dump {
    let now = tables.clock.now();
    let directory = tables.directory();
    let lease_left = tables.lease().valid_until().since(now);
    Dump {
        member: tables.member.clone(),
        revision: tables.config().revision,
        lease_left_ms: millis(lease_left),
        members: directory.members.values().cloned().collect(),
        claims: directory.claims.values().cloned().collect(),
        shards: tables
            .owned_shards()
            .into_iter()
            .map(|(id, owned)| dump_shard(tables, id, &owned))
            .collect(),
        quarantine: dispatch.quarantine().cases(now).collect(),
    }
}

fn dump_shard(tables: &Tables, id: ShardId, owned: &OwnedShard) -> ShardDump {
    let now = tables.clock.now();
    owned.with(|shard| ShardDump {
        shard: id,
        waiting: shard.waiting(),
        targets: shard
            .targets()
            .iter()
            .map(|(target, state)| TargetDump {
                target: target.clone(),
                in_flight: state.in_flight,
                leaving: state.leaving,
            })
            .collect(),
        permits: shard
            .outstanding()
            .iter()
            .map(|(permit, outstanding)| PermitDump {
                permit: *permit,
                target: outstanding.target.clone(),
                borrower: outstanding.borrower.clone(),
                left_ms: millis(outstanding.deadline.since(now)),
            })
            .collect(),
    })
}

fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
