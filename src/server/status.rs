//! The status of a resource: on which instances it is in force, and its conditions.

use serde::Serialize;

use crate::resource::{Resource, ResourceSet, Revision};

/// Status of one resource, as operators see it.
#[derive(Debug, Serialize)]
pub(super) struct Status {
    /// Revision in force on the responding instance.
    observed_revision: Revision,
    /// Number of instances on which that revision is in force.
    in_force: InForce,
    conditions: Vec<Condition>,
}

/// How far a revision has propagated: in force on `on` of `of` instances.
#[derive(Debug, Serialize)]
struct InForce {
    on: usize,
    of: usize,
}

/// One condition and the reason for its status.
#[derive(Debug, Serialize)]
struct Condition {
    #[serde(rename = "type")]
    kind: &'static str,
    status: bool,
    reason: &'static str,
    message: String,
}

/// Builds the status from the revision in force on each member, `None` for those that
/// did not respond.
pub(super) fn build(
    resource: &Resource,
    set: &ResourceSet,
    revisions: &[Option<Revision>],
) -> Status {
    let is_current = |found: &&Option<Revision>| found.is_some_and(|found| found >= set.revision);
    let in_force = InForce {
        on: revisions.iter().filter(is_current).count(),
        of: revisions.len(),
    };
    let silent = revisions.iter().filter(|found| found.is_none()).count();
    let mut conditions = vec![propagation_condition(&in_force, silent)];
    conditions.extend(service_condition(resource, set));
    Status {
        observed_revision: set.revision,
        in_force,
        conditions,
    }
}

fn propagation_condition(in_force: &InForce, silent: usize) -> Condition {
    let (reason, message) = if in_force.on == in_force.of {
        ("Everywhere", "every instance has this revision".to_owned())
    } else if silent > 0 {
        ("NoAnswer", format!("{silent} instance(s) did not answer"))
    } else {
        let behind = in_force.of - in_force.on;
        ("Spreading", format!("{behind} instance(s) are behind"))
    };
    Condition {
        kind: "InForce",
        status: in_force.on == in_force.of,
        reason,
        message,
    }
}

fn service_condition(resource: &Resource, set: &ResourceSet) -> Option<Condition> {
    match resource {
        Resource::AvailabilityZone(zone) => {
            let in_service = zone.spec.in_service;
            Some(Condition {
                kind: "InService",
                status: in_service,
                reason: if in_service { "Declared" } else { "TakenOut" },
                message: if in_service {
                    "targets of the zone may be given work".to_owned()
                } else {
                    "no instance gives the zone new work".to_owned()
                },
            })
        }
        Resource::Service(_) => {
            let zones = set.zones().filter(|zone| zone.spec.in_service).count();
            Some(Condition {
                kind: "Served",
                status: zones > 0,
                reason: if zones > 0 {
                    "ZonesInService"
                } else {
                    "NoZone"
                },
                message: format!("{zones} zone(s) are in service"),
            })
        }
        Resource::Priority(_) | Resource::Caller(_) => None,
    }
}
