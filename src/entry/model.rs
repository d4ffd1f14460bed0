//! Configuration, targets and instances, as decoded from the store's records.

use std::net::SocketAddr;
use std::time::Duration;

use crate::account::Account;
use crate::macros::data;
use crate::names::{ServiceName, TargetId, VersionName, ZoneName};
use crate::rollout::{RolloutDecision, RolloutOrder};

data! {
    /// Whether a request may run more than once.
    #[derive(Copy, Eq)]
    pub enum RetrySafety {
        /// It is idempotent and may be retried after it may have run.
        Safe,
        /// It must run at most once.
        Never,
    }

    /// A service that gets a share of a route's requests.
    pub struct WeightedService {
        /// Name of the service.
        pub service: ServiceName,
        /// Relative weight among the services of the route.
        pub weight: f64,
    }

    /// Route of the requests for a host and path prefix.
    pub struct Route {
        /// Name given by the operator.
        pub name: std::sync::Arc<str>,
        /// Host of the requests, without a port.
        pub host: std::sync::Arc<str>,
        /// Path prefix; begins and ends with a slash.
        pub prefix: std::sync::Arc<str>,
        /// Whether its requests may be retried.
        #[serde(rename = "repeat")]
        pub retry_safety: RetrySafety,
        /// Maximum time that a request may take.
        pub timeout: Duration,
        /// Latency objective of its requests.
        pub objective: Duration,
        /// Priority; 0 is the most urgent.
        pub priority: u32,
        /// Maximum number of targets that one request may be sent to.
        pub max_attempts: u32,
        /// Services that share its requests; at least one.
        pub parts: Vec<WeightedService>,
        /// Whether its requests need no key of a client account. It is encoded apart, since
        /// earlier releases don't know it.
        #[serde(skip)]
        pub public: bool,
    }

    /// Configured limits of a service's targets.
    pub struct ServiceLimits {
        /// Path of the health check.
        pub health_path: std::sync::Arc<str>,
        /// Maximum connections to a target from all instances together.
        pub max_connections: u32,
        /// Requests a second that a cold target accepts from all instances together.
        pub cold_rate: f64,
    }

    /// Limits on callers' connections and requests.
    #[derive(Copy)]
    pub struct CallerLimits {
        /// Maximum size of a request's head, in bytes.
        pub head_bytes: usize,
        /// Maximum size of a request's body, in bytes.
        pub body_bytes: usize,
        /// Maximum time to receive a request's head.
        pub head_time: Duration,
        /// Maximum idle time of a connection.
        pub idle_time: Duration,
    }

    /// A route whose kind this release does not know; its requests run at most once.
    #[derive(Eq)]
    pub struct UnknownKind {
        /// Name of the route.
        pub route: std::sync::Arc<str>,
        /// Its kind.
        pub kind: std::sync::Arc<str>,
    }

    /// A complete configuration.
    pub struct Configuration {
        /// Version; newer configurations have higher ones.
        pub version: u64,
        /// All routes.
        pub routes: Vec<Route>,
        /// Limits of all services, by name.
        pub services: indexmap::IndexMap<ServiceName, ServiceLimits>,
        /// Limits on callers.
        pub bounds: CallerLimits,
        /// Routes of unknown kinds. Peers that get the configuration from this instance
        /// don't get this list, so that earlier releases can decode it.
        #[serde(skip)]
        pub unknown_kinds: Vec<UnknownKind>,
        /// The client accounts, encoded like [`Route::public`]; `None` if they are unknown,
        /// as in a configuration from a peer of an earlier release.
        #[serde(skip)]
        pub accounts: Option<Vec<Account>>,
    }

    /// A target as registered in the store.
    pub struct Target {
        /// Id, unique among all targets.
        pub id: TargetId,
        /// Service that it belongs to.
        pub service: ServiceName,
        /// Address that it listens on.
        pub address: SocketAddr,
        /// Its availability zone.
        pub zone: ZoneName,
        /// Requests that it runs concurrently.
        pub slots: u32,
        /// Whether it is shutting down and takes no new requests.
        pub leaving: bool,
        /// Remaining warm-up time at registration.
        pub cold_for: Duration,
        /// Start of this run, in milliseconds since the Unix epoch.
        pub started_ms: u64,
        /// Version of its software, encoded like [`Route::public`]; `None` if it is unknown.
        #[serde(skip)]
        pub version: Option<VersionName>,
    }

    /// An entry instance as registered in the store.
    #[derive(Eq)]
    pub struct Registration {
        /// Address that its peers connect to.
        pub address: SocketAddr,
        /// Its availability zone.
        pub zone: ZoneName,
    }

    /// A record of the platform's store.
    pub enum Record {
        /// The configuration in force.
        Configuration(std::sync::Arc<Configuration>),
        /// A target that registered itself.
        Target(Target),
        /// A zone that is evacuated and gets no requests.
        Evacuation(ZoneName),
        /// A registered entry instance.
        Instance(Registration),
        /// An operator's order of a roll-out. Earlier releases don't know this kind and the
        /// next.
        RolloutOrder(RolloutOrder),
        /// The decision on a roll-out.
        RolloutDecision(RolloutDecision),
    }

    /// A record or its removal, with its revision.
    pub struct Change {
        /// Key in the store.
        pub key: std::sync::Arc<str>,
        /// Revision of the store at this change.
        pub revision: u64,
        /// The record; `None` when it was removed.
        pub record: Option<Record>,
    }
}

impl Default for CallerLimits {
    /// Limits that apply before the first configuration; the platform's defaults.
    fn default() -> Self {
        Self {
            head_bytes: 16 << 10,
            body_bytes: 64 << 20,
            head_time: Duration::from_secs(3),
            idle_time: Duration::from_secs(15),
        }
    }
}
