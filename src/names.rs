//! Name and identifier types of services, zones, callers, targets and instances.

use crate::macros::{data, name_type};

name_type! {
    /// Name of a service as declared by operators.
    ServiceName
}
name_type! {
    /// Name of an availability zone.
    ZoneName
}
name_type! {
    /// Name of a declared priority.
    PriorityName
}
name_type! {
    /// Name of a client account.
    CallerName
}
name_type! {
    /// Version of the software of a service's targets.
    VersionName
}
name_type! {
    /// Identifier of a target in the platform's instance list.
    TargetId
}
name_type! {
    /// Identifier of an entry instance, stable over restarts.
    InstanceId
}
name_type! {
    /// Identifier of one run of an entry instance; a restart gets a new one.
    StartId
}

data! {
    /// The targets of one service in one availability zone.
    #[derive(Eq, Hash, PartialOrd, Ord)]
    pub struct ShardId {
        /// Service whose targets the shard holds.
        pub service: ServiceName,
        /// Availability zone of those targets.
        pub zone: ZoneName,
    }
}

impl std::fmt::Display for ShardId {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}/{}", self.service, self.zone)
    }
}
