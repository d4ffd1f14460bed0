//! The whole state of an instance as JSON.

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
    /// The whole state of an instance.
    pub struct Dump {
        /// What the instance says of itself.
        pub member: Member,
        /// The configuration in force.
        pub revision: Revision,
        /// Time until its lease ends by its own clock, in milliseconds.
        pub lease_left_ms: u64,
        /// The members that it knows.
        pub members: Vec<Member>,
        /// The claims that it knows.
        pub claims: Vec<Claim>,
        /// The shards that it owns.
        pub shards: Vec<ShardDump>,
        /// The requests that it suspects of crashing targets, or holds back.
        pub quarantine: Vec<Case>,
    }

    /// One owned shard.
    pub struct ShardDump {
        /// The shard.
        pub shard: ShardId,
        /// Calls that wait.
        pub waiting: usize,
        /// Its targets.
        pub targets: Vec<TargetDump>,
        /// Permits granted and not had back.
        pub permits: Vec<PermitDump>,
    }

    /// One target of an owned shard.
    pub struct TargetDump {
        /// The target.
        pub target: TargetId,
        /// Permits outstanding on it.
        pub in_flight: u32,
        /// Whether it is leaving.
        pub leaving: bool,
    }

    /// One permit.
    pub struct PermitDump {
        /// Its number.
        pub permit: PermitId,
        /// The target it is for.
        pub target: TargetId,
        /// Who runs the call, if not the owner.
        pub borrower: Option<InstanceId>,
        /// Time until it ends, in milliseconds.
        pub left_ms: u64,
    }
}

/// The state of the instance with these tables.
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
            .map(|(id, owned)| shard(tables, id, &owned))
            .collect(),
        quarantine: dispatch.quarantine().cases(now).collect(),
    }
}

fn shard(tables: &Tables, id: ShardId, owned: &OwnedShard) -> ShardDump {
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
