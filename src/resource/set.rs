//! The set of all declared resources at one revision.

use derive_more::Display;
use serde::{Deserialize, Serialize};

use super::{AvailabilityZone, Caller, Priority, Rank, Resource, Service};
use crate::macros::data;
use crate::names::{PriorityName, ServiceName, ZoneName};

/// Number of an accepted configuration, which never decreases. Zero means that there is none.
#[derive(
    Debug,
    Clone,
    Copy,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Default,
    Display,
    Serialize,
    Deserialize,
)]
#[serde(transparent)]
pub struct Revision(pub u64);

data! {
    /// Every declared resource at one revision.
    #[derive(Default)]
    #[serde(deny_unknown_fields)]
    pub struct ResourceSet {
        /// Revision of the configuration that consists of these resources.
        pub revision: Revision,
        /// Resources, ordered by kind and name; lookups rely on this order.
        pub resources: Vec<Resource>,
    }
}

impl ResourceSet {
    /// Adds a resource, or replaces the one with the same kind and name.
    pub fn put(&mut self, resource: Resource) {
        match self.position(resource.kind(), resource.name()) {
            Ok(index) => self.resources[index] = resource,
            Err(index) => self.resources.insert(index, resource),
        }
    }

    /// Removes a resource and returns it; `None` when it is not declared.
    pub fn remove(&mut self, kind: &str, name: &str) -> Option<Resource> {
        let index = self.position(kind, name).ok()?;
        Some(self.resources.remove(index))
    }

    /// Returns the resource with this kind and name.
    #[must_use]
    pub fn find(&self, kind: &str, name: &str) -> Option<&Resource> {
        let index = self.position(kind, name).ok()?;
        Some(&self.resources[index])
    }

    /// Iterates over the declared services.
    pub fn services(&self) -> impl Iterator<Item = &Service> {
        self.of_kind("Service")
            .iter()
            .filter_map(|resource| match resource {
                Resource::Service(service) => Some(service),
                _ => None,
            })
    }

    /// Iterates over the declared availability zones.
    pub fn zones(&self) -> impl Iterator<Item = &AvailabilityZone> {
        self.of_kind("AvailabilityZone")
            .iter()
            .filter_map(|resource| match resource {
                Resource::AvailabilityZone(zone) => Some(zone),
                _ => None,
            })
    }

    /// Iterates over the declared priorities.
    pub fn priorities(&self) -> impl Iterator<Item = &Priority> {
        self.of_kind("Priority")
            .iter()
            .filter_map(|resource| match resource {
                Resource::Priority(priority) => Some(priority),
                _ => None,
            })
    }

    /// Iterates over the declared callers.
    pub fn callers(&self) -> impl Iterator<Item = &Caller> {
        self.of_kind("Caller")
            .iter()
            .filter_map(|resource| match resource {
                Resource::Caller(caller) => Some(caller),
                _ => None,
            })
    }

    /// Returns the service with this name.
    #[must_use]
    pub fn service(&self, name: &ServiceName) -> Option<&Service> {
        match self.find("Service", name.as_str()) {
            Some(Resource::Service(service)) => Some(service),
            _ => None,
        }
    }

    /// Returns whether the zone's targets receive new calls; false for an undeclared zone.
    #[must_use]
    pub fn zone_in_service(&self, name: &ZoneName) -> bool {
        match self.find("AvailabilityZone", name.as_str()) {
            Some(Resource::AvailabilityZone(zone)) => zone.spec.in_service,
            _ => false,
        }
    }

    /// Returns the rank of a priority; an undeclared one ranks last.
    #[must_use]
    pub fn rank(&self, name: &PriorityName) -> Rank {
        match self.find("Priority", name.as_str()) {
            Some(Resource::Priority(priority)) => priority.spec.rank,
            _ => Rank(u8::MAX),
        }
    }

    /// Returns the resources of one kind, which are contiguous.
    fn of_kind(&self, kind: &str) -> &[Resource] {
        let start = self
            .resources
            .partition_point(|resource| resource.kind() < kind);
        let end = self
            .resources
            .partition_point(|resource| resource.kind() <= kind);
        &self.resources[start..end]
    }

    /// Returns the index of a resource, or the index at which to insert it.
    fn position(&self, kind: &str, name: &str) -> Result<usize, usize> {
        self.resources
            .binary_search_by(|resource| (resource.kind(), resource.name()).cmp(&(kind, name)))
    }
}
