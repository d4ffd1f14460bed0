//! Sizes and delays of the users' deployments.

use std::net::{IpAddr, Ipv4Addr};

use serde_json::{Value, json};
use standin::fleet::{FleetOptions, FleetTarget};

/// Second octet of the addresses of the first service's targets.
const TARGET_NET: u8 = 16;

/// One service of a deployment.
#[derive(Debug, Clone)]
pub(crate) struct ServiceSize {
    pub(crate) name: &'static str,
    /// Number of targets over all zones.
    pub(crate) targets: usize,
}

/// Sizes and network delays of one deployment.
#[derive(Debug, Clone)]
pub(crate) struct Deployment {
    /// Name in reports.
    pub(crate) name: &'static str,
    /// Availability zones.
    pub(crate) zones: &'static [&'static str],
    /// The service with urgent calls, the one with calls that are not idempotent and
    /// the one with large responses, in this order.
    pub(crate) services: [ServiceSize; 3],
    /// Calls that one target runs concurrently.
    pub(crate) slots: u32,
    /// Limit of open connections of one target.
    pub(crate) connections: u32,
    /// One-way delay between zones, in microseconds.
    pub(crate) zone_us: u64,
    /// One-way delay to clients, in microseconds.
    pub(crate) client_us: u64,
    /// Time that a target takes to accept a connection, in microseconds.
    pub(crate) connect_us: u64,
}

/// Deployment of Saatçi Kalibrasyon Teknolojileri.
pub(crate) fn saatci() -> Deployment {
    Deployment {
        name: "saatci",
        zones: &["a", "b", "c"],
        services: [
            service("certificates", 17),
            service("orders", 7),
            service("archive", 6),
        ],
        slots: 6,
        connections: 200,
        zone_us: 1_000,
        client_us: 1_000,
        connect_us: 1_000,
    }
}

/// Deployment of Silos Andinos Franquicias.
pub(crate) fn silos() -> Deployment {
    Deployment {
        name: "silos",
        zones: &["a", "b", "c", "d"],
        services: [
            service("fans", 20),
            service("aeration", 10),
            service("readings", 8),
        ],
        slots: 3,
        connections: 250,
        zone_us: 500,
        client_us: 8_000,
        connect_us: 1_000,
    }
}

/// One zone without network delays, in which only the first service is used. For
/// measurements of the cost of one call.
pub(crate) fn single() -> Deployment {
    Deployment {
        name: "single",
        zones: &["a"],
        services: [
            service("certificates", 6),
            service("orders", 1),
            service("archive", 1),
        ],
        slots: 64,
        connections: 1_000,
        zone_us: 0,
        client_us: 0,
        connect_us: 0,
    }
}

fn service(name: &'static str, targets: usize) -> ServiceSize {
    ServiceSize { name, targets }
}

impl Deployment {
    /// All targets, spread evenly over the zones.
    pub(crate) fn targets(&self) -> Vec<FleetTarget> {
        let mut targets = Vec::new();
        for (number, service) in (0_u8..).zip(&self.services) {
            for index in 0..service.targets {
                let zone = self.zones[index % self.zones.len()];
                let last = u8::try_from(index + 1).unwrap_or(u8::MAX);
                targets.push(FleetTarget {
                    id: format!("{}-{zone}-{index}", service.name),
                    service: service.name.to_owned(),
                    zone: zone.to_owned(),
                    address: IpAddr::V4(Ipv4Addr::new(127, TARGET_NET + number, 0, last)),
                });
            }
        }
        targets
    }

    /// Options of every target.
    pub(crate) fn options(&self) -> FleetOptions {
        FleetOptions {
            slots: self.slots,
            zone_us: self.zone_us,
            connect_us: self.connect_us,
            ..FleetOptions::default()
        }
    }

    /// Slots of one service over all zones.
    pub(crate) fn service_slots(&self, service: usize) -> u32 {
        let targets = u32::try_from(self.services[service].targets).unwrap_or(u32::MAX);
        targets * self.slots
    }

    /// Resources of the deployment, with the zone `evacuated` not in service.
    pub(crate) fn resources(&self, evacuated: Option<&str>) -> Vec<Value> {
        let mut resources = vec![
            json!({"kind": "Priority", "name": "urgent", "spec": {"rank": 0}}),
            json!({"kind": "Priority", "name": "normal", "spec": {"rank": 1}}),
            json!({"kind": "Priority", "name": "bulky", "spec": {"rank": 2}}),
            json!({"kind": "Caller", "name": "anonymous", "spec": {}}),
        ];
        for zone in self.zones {
            let in_service = Some(*zone) != evacuated;
            resources.push(json!({
                "kind": "AvailabilityZone", "name": zone, "spec": {"in_service": in_service},
            }));
        }
        for service in &self.services {
            resources.push(self.service(service.name));
        }
        resources
    }

    /// Resource of a service. A call's path decides its priority.
    pub(crate) fn service(&self, name: &str) -> Value {
        json!({
            "kind": "Service",
            "name": name,
            "spec": {
                "hosts": [host(name)],
                "target": {"slots": self.slots, "connections": self.connections},
                "warm_up": "0s",
                "rules": [
                    {"path": "/urgent", "priority": "urgent"},
                    {"path": "/bulky", "priority": "bulky"},
                ],
            },
        })
    }
}

/// Value of the `Host` header for a service.
pub(crate) fn host(service: &str) -> String {
    format!("{service}.test")
}
