//! The two users' sizes.

use std::net::{IpAddr, Ipv4Addr};

use serde_json::{Value, json};
use standin::fleet::{FleetOptions, FleetTarget};

/// First part of the second octet of the targets' addresses.
const TARGET_NET: u8 = 16;

/// One service of a shape.
#[derive(Debug, Clone)]
pub(crate) struct ServiceSize {
    /// Name of the service.
    pub(crate) name: &'static str,
    /// Targets over all zones.
    pub(crate) targets: usize,
}

/// Sizes and times of one user.
#[derive(Debug, Clone)]
pub(crate) struct Deployment {
    /// Name of the user.
    pub(crate) name: &'static str,
    /// The availability zones.
    pub(crate) zones: &'static [&'static str],
    /// The services: urgent first, then the one with calls that may not be
    /// repeated, then the bulky one.
    pub(crate) services: [ServiceSize; 3],
    /// Calls that one target runs at a time.
    pub(crate) slots: u32,
    /// Connections that one target holds.
    pub(crate) connections: u32,
    /// One-way time between zones, in microseconds.
    pub(crate) zone_us: u64,
    /// One-way time to clients, in microseconds.
    pub(crate) client_us: u64,
    /// Time that a target takes for a new connection, in microseconds.
    pub(crate) connect_us: u64,
}

/// Saatçi Kalibrasyon Teknolojileri.
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

/// Silos Andinos Franquicias.
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

/// A small shape of one zone and one service, for the cost of one call.
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
    /// The targets, spread evenly over the zones.
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

    /// What each target is like.
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

    /// What operators declare, with `out` taken out of service.
    pub(crate) fn resources(&self, out: Option<&str>) -> Vec<Value> {
        let mut resources = vec![
            json!({"kind": "Priority", "name": "urgent", "spec": {"rank": 0}}),
            json!({"kind": "Priority", "name": "normal", "spec": {"rank": 1}}),
            json!({"kind": "Priority", "name": "bulky", "spec": {"rank": 2}}),
            json!({"kind": "Caller", "name": "anonymous", "spec": {}}),
        ];
        for zone in self.zones {
            let in_service = Some(*zone) != out;
            resources.push(json!({
                "kind": "AvailabilityZone", "name": zone, "spec": {"in_service": in_service},
            }));
        }
        for service in &self.services {
            resources.push(self.service(service.name));
        }
        resources
    }

    /// What operators declare of a service; the path names a call's priority.
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

/// The host under which callers reach a service.
pub(crate) fn host(service: &str) -> String {
    format!("{service}.test")
}
