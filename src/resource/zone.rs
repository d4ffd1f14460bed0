//! The `AvailabilityZone` resource, with which operators take a zone out of service.

use serde::{Deserialize, Serialize};

use crate::macros::data;
use crate::names::ZoneName;

data! {
    /// An availability zone, in or out of service.
    #[serde(deny_unknown_fields)]
    pub struct AvailabilityZone {
        /// Name of the zone, as in the platform's instance list.
        pub name: ZoneName,
        /// Declared properties of the zone.
        pub spec: AvailabilityZoneSpec,
    }
}

/// The declared part of an [`AvailabilityZone`].
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct AvailabilityZoneSpec {
    /// Whether the zone's targets receive new calls.
    pub in_service: bool,
}

impl Default for AvailabilityZoneSpec {
    fn default() -> Self {
        Self { in_service: true }
    }
}
