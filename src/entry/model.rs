//! What an entry instance knows of services, routes and targets.

use std::net::SocketAddr;
use std::time::Duration;

use crate::macros::data;
use crate::names::{ServiceName, TargetId, ZoneName};

data! {
    /// Whether a request may run more than once.
    #[derive(Copy, Eq)]
    pub enum RetrySafety {
        /// It is idempotent.
        Safe,
        /// It runs at most once.
        Never,
    }

    /// A service that takes a share of a route's requests.
    pub struct WeightedService {
        /// The service.
        pub service: ServiceName,
        /// Its share, relative to the other parts.
        pub weight: f64,
    }

    /// Where the requests of a host and path prefix go.
    pub struct Route {
        /// Name that the operator gave.
        pub name: std::sync::Arc<str>,
        /// Host of the requests.
        pub host: std::sync::Arc<str>,
        /// Prefix of the path; begins and ends with a slash.
        pub prefix: std::sync::Arc<str>,
        /// Whether the requests are idempotent.
        #[serde(rename = "repeat")]
        pub retry_safety: RetrySafety,
        /// Longest time that a request is kept.
        pub timeout: Duration,
        /// Latency objective.
        pub objective: Duration,
        /// Rank; 0 is the most urgent.
        pub priority: u32,
        /// Most targets that one request may be sent to.
        pub max_attempts: u32,
        /// The services, at least one.
        pub parts: Vec<WeightedService>,
    }

    /// What the operator says of a service's targets.
    pub struct ServiceLimits {
        /// Path of the health check.
        pub health_path: std::sync::Arc<str>,
        /// Connections that a target takes from all instances together.
        pub max_connections: u32,
        /// Requests a second that a cold target bears, from all instances together.
        pub cold_rate: f64,
    }

    /// Bounds on callers.
    #[derive(Copy)]
    pub struct CallerLimits {
        /// Bytes of a request's head.
        pub head_bytes: usize,
        /// Bytes of a request's body.
        pub body_bytes: usize,
        /// Time for a request's head.
        pub head_time: Duration,
        /// Time that a connection may be idle.
        pub idle_time: Duration,
    }

    /// A whole configuration.
    pub struct Configuration {
        /// Its version; a later one is higher.
        pub version: u64,
        /// The routes.
        pub routes: Vec<Route>,
        /// The services by name.
        pub services: indexmap::IndexMap<ServiceName, ServiceLimits>,
        /// Bounds on callers.
        pub bounds: CallerLimits,
    }

    /// A target as it registered itself.
    pub struct Target {
        /// Its id.
        pub id: TargetId,
        /// The service that it belongs to.
        pub service: ServiceName,
        /// Where it listens.
        pub address: SocketAddr,
        /// Its availability zone.
        pub zone: ZoneName,
        /// Requests that it runs at a time.
        pub slots: u32,
        /// Whether it takes no new requests.
        pub leaving: bool,
        /// How long it was cold for when it registered.
        pub cold_for: Duration,
        /// Start of this run, in Unix milliseconds.
        pub started_ms: u64,
    }

    /// An entry instance as it registered itself.
    #[derive(Eq)]
    pub struct Registration {
        /// Where its peers reach it.
        pub address: SocketAddr,
        /// Its availability zone.
        pub zone: ZoneName,
    }

    /// One thing that the platform's store holds.
    pub enum Record {
        /// The configuration in force.
        Configuration(std::sync::Arc<Configuration>),
        /// A target.
        Target(Target),
        /// A zone that is to get no requests.
        Evacuation(ZoneName),
        /// An entry instance.
        Instance(Registration),
    }

    /// A record, or its removal, with the revision that it came with.
    pub struct Change {
        /// Key in the store.
        pub key: std::sync::Arc<str>,
        /// Revision of the store.
        pub revision: u64,
        /// The record; `None` once it is removed.
        pub record: Option<Record>,
    }
}

impl Default for CallerLimits {
    /// Bounds until a configuration states others; the platform's usual ones.
    fn default() -> Self {
        Self {
            head_bytes: 16 << 10,
            body_bytes: 64 << 20,
            head_time: Duration::from_secs(3),
            idle_time: Duration::from_secs(15),
        }
    }
}
