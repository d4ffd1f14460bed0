//! Settings of an entry instance on a platform, and its tuning.

use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

use crate::names::ZoneName;

/// Where the instance is, what it listens on, and the bounds it must keep.
#[derive(Debug, Clone, PartialEq)]
pub struct EntrySettings {
    /// Name of the instance.
    pub name: Arc<str>,
    /// Address of the instance.
    pub ip: IpAddr,
    /// Its availability zone.
    pub zone: ZoneName,
    /// Where callers connect.
    pub callers: SocketAddr,
    /// Where readiness is asked.
    pub readiness: Option<SocketAddr>,
    /// Where callers ask for addresses.
    pub directory: Option<SocketAddr>,
    /// Where peers send datagrams and connect.
    pub peers: SocketAddr,
    /// Addresses of some instances, perhaps stale.
    pub seeds: Vec<IpAddr>,
    /// Whether the whole system starts for the first time.
    pub first_start: bool,
    /// The platform's store.
    pub store: SocketAddr,
    /// Time from SIGTERM to the end.
    pub grace: Duration,
    /// Time within which a leaving target gets no more requests.
    pub leave_within: Duration,
    /// Repeats allowed per request, over all instances.
    pub repeat_ratio: f64,
    /// Sliding window of the repeat budget.
    pub repeat_window: Duration,
    /// Repeats allowed beside the ratio in a window, over all instances.
    pub repeat_slack: f64,
    /// A cold target's rate is multiplied by this for its bound.
    pub cold_factor: f64,
    /// Requests in a second that are added to a cold target's bound.
    pub cold_slack: f64,
    /// Longest time that callers may keep a directory answer.
    pub max_directory_ttl: Duration,
    /// Health checks a second that a target may get, from all instances together.
    pub max_probe_rate: f64,
}

/// Figures of the instance's own mechanisms.
#[derive(Debug, Clone, PartialEq)]
pub struct Tuning {
    /// Time between two beats to peers and between two probes of a target; the
    /// figures of a target change several times a second.
    pub heartbeat_interval: Duration,
    /// Silence after which a peer counts as gone: three of the seldom beats between
    /// zones, so that loss of a few datagrams in a hundred takes nobody out.
    pub peer_silence_timeout: Duration,
    /// Time after which a registered instance that was never heard is forgotten.
    pub peer_remove_after: Duration,
    /// Instances that watch the store for all; four, so that cuts of a third of the
    /// instances leave one nearly always.
    pub store_watchers: usize,
    /// Longest wait of a watch; each ends as a call. One that stays silent after an
    /// outage of the store must end within the bound for configurations.
    pub watch_timeout: Duration,
    /// Time in which changes are gathered before the next watch; a fraction of the
    /// bound for a configuration to be in force.
    pub batch_delay: Duration,
    /// How long callers keep a directory answer. Some keep it three times as long, and
    /// should know of a stop before connections are closed, at half of its grace.
    pub directory_ttl: Duration,
    /// Time for a health check.
    pub probe_timeout: Duration,
    /// Time to connect to a target.
    pub connect_timeout: Duration,
    /// Placement.
    pub placement: super::placement::PlacementSettings,
}

impl Default for Tuning {
    fn default() -> Self {
        Self {
            heartbeat_interval: Duration::from_millis(100),
            peer_silence_timeout: Duration::from_millis(1300),
            peer_remove_after: Duration::from_secs(60),
            store_watchers: 4,
            watch_timeout: Duration::from_millis(2800),
            batch_delay: Duration::from_millis(250),
            directory_ttl: Duration::from_secs(1),
            probe_timeout: Duration::from_millis(250),
            connect_timeout: Duration::from_millis(250),
            placement: super::placement::PlacementSettings::default(),
        }
    }
}
