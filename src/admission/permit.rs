//! Permits, each of which allows one call on one target, and the messages by
//! which instances request and return them.

use std::net::SocketAddr;

use derive_more::Display;

use super::limit::Load;
use crate::macros::data;
use crate::names::{CallerName, InstanceId, ServiceName, ShardId, StartId, TargetId};
use crate::resource::Rank;
use crate::units::Time;

/// Identifier of a permit, unique within its owner's run. The request for the
/// permit has the same identifier.
#[derive(
    Debug,
    Clone,
    Copy,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Display,
    serde::Serialize,
    serde::Deserialize,
)]
#[serde(transparent)]
pub struct PermitId(pub u64);

/// Request of a call for a slot of a shard.
#[derive(Debug, Clone, PartialEq)]
pub struct SlotRequest {
    /// Identifier of the request and of the permit that it may get.
    pub id: PermitId,
    /// Position of the call's priority; the most urgent comes first.
    pub rank: Rank,
    /// Client account that makes the call; queued requests of one rank take
    /// turns between callers.
    pub caller: CallerName,
    /// Time after which the call is no longer worth running.
    pub deadline: Time,
    /// Instance that will run the call, `None` for the owner itself.
    pub borrower: Option<InstanceId>,
    /// Whether the request may be queued.
    pub may_wait: bool,
    /// Targets to exclude because earlier attempts of the call have used them.
    pub excluded: Vec<TargetId>,
}

/// Allows one call on one target until the deadline.
#[derive(Debug, Clone, PartialEq)]
pub struct Permit {
    /// Identifier of the permit.
    pub id: PermitId,
    /// Target to run the call on.
    pub target: TargetId,
    /// Address on which the target accepts calls.
    pub address: SocketAddr,
    /// Deadline of the call.
    pub deadline: Time,
}

/// Outcome of a [`SlotRequest`].
#[derive(Debug, Clone, PartialEq)]
pub enum SlotOutcome {
    /// The call may run.
    Granted(Permit),
    /// The request is queued; a later decision grants or refuses it.
    Queued,
    /// The call is not admitted.
    Refused(Refusal),
}

data! {
    /// Reason why a call is not admitted.
    #[derive(Eq, Copy)]
    pub enum Refusal {
        /// This instance does not own the shard.
        NotOwner,
        /// No target can take calls at present.
        NoTarget,
        /// No slot is free for the call, and it can't be queued.
        Full,
        /// The call can't finish before its deadline, or its request was queued
        /// for too long.
        TooLate,
        /// The shard's owner can't be reached.
        OwnerUnreachable,
    }
}

data! {
    /// Message from one instance to the owner of some shards: requests for
    /// permits, returned permits and renewals.
    pub struct PermitBatch {
        /// Run of the owner that the message is for; another run refuses all
        /// requests.
        pub owner: StartId,
        /// Instance that sends the message.
        #[serde(rename = "asker")]
        pub borrower: InstanceId,
        /// Run of the sender.
        pub start: StartId,
        /// Requests, the most urgent first.
        #[serde(rename = "asks")]
        pub requests: Vec<PermitRequest>,
        /// Permits whose calls have ended.
        pub returns: Vec<PermitReturn>,
        /// Permits of calls that outlast their deadline, such as those with a
        /// long response.
        pub renewals: Vec<PermitRenewal>,
        /// Numbers of requests that are withdrawn.
        pub withdrawn: Vec<u64>,
    }

    /// One request for a permit.
    pub struct PermitRequest {
        /// Shard that the call is for.
        pub shard: ShardId,
        /// Number of the request, unique within the sender's run.
        #[serde(rename = "ask")]
        pub number: u64,
        /// Position of the call's priority; the most urgent comes first.
        pub rank: Rank,
        /// Client account that makes the call.
        pub caller: CallerName,
        /// Time until the call's deadline, in microseconds.
        pub left_us: u64,
        /// Whether the request may be queued.
        pub may_wait: bool,
        /// Targets to exclude because earlier attempts of the call have used them.
        #[serde(rename = "avoid")]
        pub excluded: Vec<TargetId>,
    }

    /// The owner's response to a [`PermitBatch`].
    #[derive(Default)]
    pub struct PermitBatchResponse {
        /// Decisions on the requests.
        #[serde(rename = "answers")]
        pub responses: Vec<PermitResponse>,
        /// Permits lent in advance, before a call needs them.
        pub lent: Vec<LentPermit>,
        /// Capacity of the shards that the message named.
        #[serde(rename = "rooms")]
        pub capacities: Vec<ShardCapacity>,
    }

    /// The response to one [`PermitRequest`].
    pub struct PermitResponse {
        /// Number of the request.
        #[serde(rename = "ask")]
        pub number: u64,
        /// Decision on the request.
        #[serde(rename = "answer")]
        pub decision: PermitDecision,
    }

    /// The owner's decision on a [`PermitRequest`].
    pub enum PermitDecision {
        /// The call may run.
        Granted(GrantedPermit),
        /// The request is queued; the decision follows in the response to a
        /// later `permit_poll`.
        Queued,
        /// The call is not admitted.
        Refused {
            /// Reason for the refusal.
            reason: Refusal,
        },
    }

    /// A granted permit as sent to its borrower.
    pub struct GrantedPermit {
        /// Shard that granted the permit.
        pub shard: ShardId,
        /// Identifier of the permit at the owner.
        pub permit: PermitId,
        /// Target to run the call on.
        pub target: TargetId,
        /// Address on which the target accepts calls.
        pub address: SocketAddr,
    }

    /// A permit lent in advance, for one call.
    pub struct LentPermit {
        /// The permit itself.
        pub granted: GrantedPermit,
        /// Time within which the call must start, in microseconds.
        pub use_within_us: u64,
        /// Time within which the call must end, in microseconds.
        pub end_within_us: u64,
    }

    /// How many more calls a shard can take.
    pub struct ShardCapacity {
        /// Shard that the figures are for.
        pub shard: ShardId,
        /// Sum of its targets' concurrency limits.
        pub total: u32,
        /// Free slots that calls of any rank may use.
        pub free: u32,
        /// Free slots that the most urgent calls may use, including the
        /// reserve.
        pub urgent_free: u32,
        /// Expected wait of a request that finds no free slot, in microseconds.
        pub wait_us: u64,
    }

    /// Fetches the decisions on a sender's queued requests.
    pub struct PermitPoll {
        /// Run of the sender.
        pub start: StartId,
    }

    /// Returns a permit whose call has ended.
    pub struct PermitReturn {
        /// Shard that granted the permit.
        pub shard: ShardId,
        /// Identifier of the permit at the owner.
        pub permit: PermitId,
        /// Result of the call.
        pub report: CallReport,
    }

    /// Extends a permit whose call is still running.
    pub struct PermitRenewal {
        /// Shard that granted the permit.
        pub shard: ShardId,
        /// Identifier of the permit at the owner.
        pub permit: PermitId,
        /// Time from now for which the permit is kept at least, in microseconds.
        pub left_us: u64,
    }

    /// Result of a call on a target.
    pub struct CallReport {
        /// How the target handled the call.
        pub result: CallResult,
        /// Time from the first byte sent to the head of the response, in
        /// microseconds.
        pub latency_us: u64,
        /// Load that the target reported with its response; it may be outdated
        /// or wrong.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        pub load: Option<Load>,
    }

    /// How a target handled a call.
    #[derive(Eq, Copy)]
    pub enum CallResult {
        /// The target sent a complete response.
        Completed,
        /// The target rejected the call because of its load.
        Shed,
        /// The target responded with an error of its own.
        Failed,
        /// The connection failed before the response was complete.
        Broken,
        /// The call was never sent.
        Unsent,
    }
}

/// Builds the identifier of a service's shard in a zone.
impl From<(&ServiceName, &crate::names::ZoneName)> for ShardId {
    fn from((service, zone): (&ServiceName, &crate::names::ZoneName)) -> Self {
        Self {
            service: service.clone(),
            zone: zone.clone(),
        }
    }
}

impl CallReport {
    /// Returns the report of a permit whose call was never sent.
    #[must_use]
    pub fn unsent() -> Self {
        Self {
            result: CallResult::Unsent,
            latency_us: 0,
            load: None,
        }
    }
}
