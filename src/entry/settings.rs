//! Settings of an entry instance on a platform, and its fixed parameters.

use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

use crate::account::cap::CapSettings;
use crate::names::ZoneName;
use crate::rollout::RolloutLimits;

/// Where the instance runs, what it listens on, and the limits it must keep.
#[derive(Debug, Clone, PartialEq)]
pub struct EntrySettings {
    /// Name of the instance.
    pub name: Arc<str>,
    /// IP address of the instance.
    pub ip: IpAddr,
    /// Its availability zone.
    pub zone: ZoneName,
    /// Address that callers connect to.
    pub callers: SocketAddr,
    /// Address of the readiness endpoint; `None` when it has none.
    pub readiness: Option<SocketAddr>,
    /// Address of the directory endpoint; `None` when it has none.
    pub directory: Option<SocketAddr>,
    /// Address for datagrams and connections of peers.
    pub peers: SocketAddr,
    /// Addresses of some instances, possibly outdated.
    pub seeds: Vec<IpAddr>,
    /// Whether all instances start for the first time.
    pub first_start: bool,
    /// Address of the platform's store.
    pub store: SocketAddr,
    /// Time from SIGTERM until the process must have ended.
    pub grace: Duration,
    /// Time within which what the store has acknowledged must be in force on all instances
    /// that reach it or a peer.
    pub propagation_limit: Duration,
    /// Retries allowed per request, over all instances.
    pub repeat_ratio: f64,
    /// Sliding window of the retry budget.
    pub repeat_window: Duration,
    /// Retries allowed in a window in addition to the ratio, over all instances.
    pub repeat_slack: f64,
    /// Factor applied to a cold target's rate to get its limit.
    pub cold_factor: f64,
    /// Requests a second added to a cold target's limit.
    pub cold_slack: f64,
    /// Maximum TTL of a directory response.
    pub max_directory_ttl: Duration,
    /// Health checks a second that a target may get, from all instances together.
    pub max_probe_rate: f64,
    /// Bytes that may be held for the bodies of all requests, beyond the first 16 KiB of
    /// each.
    pub body_memory: usize,
    /// Bytes that may be held for the bodies of all responses, beyond the first 64 KiB of
    /// each.
    pub response_memory: usize,
    /// Limits of roll-outs; `None` where there are none.
    pub rollouts: Option<RolloutLimits>,
    /// Limits of client accounts; `None` where there are none.
    pub accounts: Option<AccountSettings>,
}

/// Limits that hold for the client accounts of all instances together.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct AccountSettings {
    /// Sliding window in which an account's requests are counted.
    pub window: Duration,
    /// Fraction of an account's limit that may be exceeded.
    pub over: f64,
    /// Requests in a window that may come in addition.
    pub slack: f64,
    /// Whether an instance that can't learn of withdrawn keys refuses requests.
    pub fail_closed: bool,
    /// Time without news after which it does.
    pub revoke_time: Duration,
}

impl AccountSettings {
    /// How the limits of accounts are counted.
    pub(crate) fn cap_settings(&self) -> CapSettings {
        CapSettings {
            window: self.window,
            over: self.over,
            slack: self.slack,
            ..CapSettings::default()
        }
    }
}

/// Parameters of the instance's own mechanisms, not configurable.
#[derive(Debug, Clone, PartialEq)]
pub struct Tuning {
    /// Interval of heartbeats to peers and of probes of a target. A target's load
    /// changes several times a second.
    pub heartbeat_interval: Duration,
    /// Silence after which a peer counts as gone: three of the infrequent heartbeats
    /// between zones, so that a loss of a few percent of the datagrams removes no peer.
    pub peer_silence_timeout: Duration,
    /// Silence after which a peer is removed unless it is registered; counted from when
    /// it was added if it never sent a heartbeat.
    pub peer_remove_after: Duration,
    /// Number of instances that watch the store for all. With four, one nearly always
    /// remains when a partition cuts off a third of the instances.
    pub store_watchers: usize,
    /// Time for which changes are batched before the next watch; a fraction of the time
    /// limit for a configuration to come into force.
    pub batch_delay: Duration,
    /// TTL of a directory response. Some callers keep it three times as long, and
    /// should learn of a shutdown before connections are closed, at half of the grace
    /// period.
    pub directory_ttl: Duration,
    /// Timeout of a health check.
    pub probe_timeout: Duration,
    /// Timeout of a connection to a target.
    pub connect_timeout: Duration,
    /// Weights of the cost function for targets.
    pub placement: crate::entry::target::placement::PlacementSettings,
    /// When targets are checked right before a request.
    pub precheck: crate::entry::target::precheck::PrecheckSettings,
}

impl Default for Tuning {
    fn default() -> Self {
        Self {
            heartbeat_interval: Duration::from_millis(100),
            peer_silence_timeout: Duration::from_millis(1300),
            peer_remove_after: Duration::from_secs(60),
            store_watchers: 4,
            batch_delay: Duration::from_millis(250),
            directory_ttl: Duration::from_secs(1),
            probe_timeout: Duration::from_millis(250),
            connect_timeout: Duration::from_millis(250),
            placement: crate::entry::target::placement::PlacementSettings::default(),
            precheck: crate::entry::target::precheck::PrecheckSettings::default(),
        }
    }
}
