//! Settings of a shard, and switches for its admission rules.

use std::time::Duration;

use crate::admission::limit::LimitSettings;
use crate::resource::ServiceSpec;

/// What the operator declares for the shard's targets and queue.
#[derive(Debug, Clone, PartialEq)]
pub struct ShardSettings {
    /// Maximum number of calls that one target runs concurrently.
    pub slots: u32,
    /// Maximum number of queued requests.
    pub queue_length: usize,
    /// Maximum time that a request stays queued.
    pub queue_wait: Duration,
    /// Percentage of the slots reserved for the most urgent rank.
    pub reserve_percent: u8,
    /// Time over which a cold target ramps up to its full number of slots.
    pub warm_up: Duration,
    /// Deadline of a call whose caller sets none.
    pub deadline: Duration,
    /// Admission rules in force.
    pub rules: ShardRules,
}

/// Switches for the admission rules of a shard. All rules apply in production;
/// tests disable one to prove that the property tests detect its absence.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ShardRules {
    /// Whether a target's concurrency limit is enforced.
    pub limit: bool,
    /// Whether a cold target starts with a lower limit.
    pub ramp: bool,
    /// Whether slots are reserved for urgent calls.
    pub reserve: bool,
}

impl Default for ShardRules {
    fn default() -> Self {
        Self {
            limit: true,
            ramp: true,
            reserve: true,
        }
    }
}

impl Default for ShardSettings {
    fn default() -> Self {
        Self::from(&ServiceSpec::default())
    }
}

impl From<&ServiceSpec> for ShardSettings {
    fn from(spec: &ServiceSpec) -> Self {
        Self {
            slots: spec.target.slots,
            queue_length: spec.queue_length,
            queue_wait: spec.queue_wait,
            reserve_percent: spec.urgent_reserve_percent,
            warm_up: spec.warm_up,
            deadline: spec.deadline,
            rules: ShardRules::default(),
        }
    }
}

impl ShardSettings {
    /// The settings that apply to a single target.
    pub(super) fn limit(&self) -> LimitSettings {
        LimitSettings {
            slots: self.slots,
            warm_up: self.warm_up,
            ramp: self.rules.ramp,
        }
    }
}
