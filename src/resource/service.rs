//! The `Service` resource: how its calls are matched, prioritised and limited.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::macros::data;
use crate::names::{PriorityName, ServiceName};
use crate::units::DurationText;

data! {
    /// A service, with its call rules and the capacity of its targets.
    #[serde(deny_unknown_fields)]
    pub struct Service {
        /// Name of the service, as in the platform's instance list.
        pub name: ServiceName,
        /// Declared properties of the service.
        pub spec: ServiceSpec,
    }

    /// Capacity of one target of the service after its warm-up.
    #[serde(deny_unknown_fields)]
    #[derive(Eq, Copy)]
    pub struct TargetSpec {
        /// Maximum number of calls that one target runs concurrently.
        pub slots: u32,
        /// Maximum number of open connections to one target, over all instances.
        pub connections: u32,
    }

    /// A rule for the calls whose path starts with `path`; the longest match wins.
    #[serde(deny_unknown_fields)]
    pub struct PathRule {
        /// Path prefix of the calls that the rule covers.
        pub path: String,
        /// Methods that the rule covers; all when empty.
        #[serde(default)]
        pub methods: Vec<String>,
        /// Priority of these calls; the service's priority when absent.
        #[serde(default)]
        pub priority: Option<PriorityName>,
        /// Whether a call may run more than once; when absent, only calls with a safe method may.
        #[serde(default)]
        pub repeatable: Option<bool>,
    }
}

/// The declared part of a [`Service`].
#[serde_with::serde_as]
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ServiceSpec {
    /// Host names under which callers reach the service, lower-case and without a port.
    pub hosts: Vec<String>,
    /// Capacity of one target.
    pub target: TargetSpec,
    /// Priority of calls that no rule covers.
    pub priority: PriorityName,
    /// Rules for calls by path and method.
    pub rules: Vec<PathRule>,
    /// Deadline of a call whose caller gives none.
    #[serde_as(as = "DurationText")]
    pub deadline: Duration,
    /// Maximum number of calls that wait for a slot in one shard.
    pub queue_length: usize,
    /// Maximum time that a call waits for a slot.
    #[serde_as(as = "DurationText")]
    pub queue_wait: Duration,
    /// Percentage of slots that only the most urgent priority may use.
    pub urgent_reserve_percent: u8,
    /// Time that a new target takes to ramp up to its declared slots.
    #[serde_as(as = "DurationText")]
    pub warm_up: Duration,
}

impl Default for ServiceSpec {
    fn default() -> Self {
        Self {
            hosts: Vec::new(),
            target: TargetSpec::default(),
            priority: PriorityName::from("normal"),
            rules: Vec::new(),
            deadline: Duration::from_secs(10),
            queue_length: 256,
            queue_wait: Duration::from_secs(2),
            urgent_reserve_percent: 20,
            warm_up: Duration::from_secs(10),
        }
    }
}

impl Default for TargetSpec {
    fn default() -> Self {
        Self {
            slots: 6,
            connections: 200,
        }
    }
}

impl PathRule {
    /// Returns whether the rule covers a call with this method and path.
    #[must_use]
    pub fn covers(&self, method: &str, path: &str) -> bool {
        let method_matches = self.methods.is_empty() || self.methods.iter().any(|m| m == method);
        method_matches && path.starts_with(&self.path)
    }
}
