//! Resources that operators declare: services, availability zones, priorities and callers.

mod caller;
mod check;
mod priority;
mod service;
mod set;
mod zone;

pub use caller::{Caller, CallerSpec};
pub use priority::{Priority, PrioritySpec, Rank};
pub use service::{PathRule, Service, ServiceSpec, TargetSpec};
pub use set::{ResourceSet, Revision};
pub use zone::{AvailabilityZone, AvailabilityZoneSpec};

use crate::macros::data;

data! {
    /// One declared resource.
    #[serde(tag = "kind")]
    pub enum Resource {
        /// A service, with its call rules and the capacity of its targets.
        Service(Service),
        /// An availability zone, in or out of service.
        AvailabilityZone(AvailabilityZone),
        /// A priority that services and rules refer to.
        Priority(Priority),
        /// A caller with its key and limits.
        Caller(Caller),
    }
}

impl Resource {
    /// Returns the resource's kind as written in JSON.
    #[must_use]
    pub fn kind(&self) -> &'static str {
        match self {
            Self::Service(_) => "Service",
            Self::AvailabilityZone(_) => "AvailabilityZone",
            Self::Priority(_) => "Priority",
            Self::Caller(_) => "Caller",
        }
    }

    /// Returns the resource's name, which is unique within its kind.
    #[must_use]
    pub fn name(&self) -> &str {
        match self {
            Self::Service(service) => service.name.as_str(),
            Self::AvailabilityZone(zone) => zone.name.as_str(),
            Self::Priority(priority) => priority.name.as_str(),
            Self::Caller(caller) => caller.name.as_str(),
        }
    }
}
