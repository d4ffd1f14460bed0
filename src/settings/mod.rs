//! Settings of one entry instance, read from JSON and validated as a whole.

mod check;
mod secret;
#[cfg(test)]
mod tests;

use std::net::{IpAddr, SocketAddr};
use std::path::Path;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use tracing_subscriber::EnvFilter;

pub use secret::{Secret, SecretSource};

use crate::error::Error;
use crate::names::{InstanceId, ZoneName};
use crate::platform::budget::BudgetSettings;
use crate::units::{ByteSize, DurationText};

/// Maximum number of threads that serve callers.
const MAX_WORKERS: usize = 256;
/// Shortest lease: the store counts time to live in whole seconds.
const MIN_LEASE: Duration = Duration::from_secs(1);

/// Settings of one entry instance.
#[serde_with::serde_as]
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Settings {
    /// Identifier of the instance, unique among the entry instances.
    pub instance: InstanceId,
    /// Availability zone that the instance runs in.
    pub zone: ZoneName,
    /// Listen address of the callers' interface.
    pub callers: SocketAddr,
    /// Listen address of the operators' interface, with metrics and state dump.
    pub admin: SocketAddr,
    /// Listen address of the interface for other instances.
    pub peers: SocketAddr,
    /// IP address under which callers and peers reach the instance; when absent, each
    /// interface's own listen address.
    pub advertise: Option<IpAddr>,
    /// Number of threads that serve callers.
    pub workers: usize,
    /// Addresses and budgets of the platform's services.
    pub platform: PlatformSettings,
    /// How this instance fetches the configuration.
    pub config: ConfigSettings,
    /// Lease and heartbeat times.
    pub membership: MembershipSettings,
    /// Limits on request bodies and on connections to targets.
    pub limits: LimitSettings,
    /// Sources of the keys of operators and peers.
    pub secrets: SecretSettings,
    /// Time at a graceful shutdown for callers to switch to other instances.
    #[serde_as(as = "DurationText")]
    pub drain_grace: Duration,
    /// Maximum wait for calls in flight at a graceful shutdown, after `drain_grace`.
    #[serde_as(as = "DurationText")]
    pub drain_timeout: Duration,
    /// Format and level of the log.
    pub log: LogSettings,
}

/// Addresses and budgets of the platform's services.
#[serde_with::serde_as]
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct PlatformSettings {
    /// Address of the key-value service.
    pub store: SocketAddr,
    /// Address of the service that lists live and leaving targets.
    pub instance_list: SocketAddr,
    /// Timeout of a request to the store.
    #[serde_as(as = "DurationText")]
    pub store_timeout: Duration,
    /// Time between two reads of the target list.
    #[serde_as(as = "DurationText")]
    pub list_period: Duration,
    /// Rate limits on this instance's store calls.
    pub budget: BudgetSettings,
}

/// How an instance fetches the configuration.
#[serde_with::serde_as]
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ConfigSettings {
    /// Peer addresses to contact while no other member is known.
    pub seeds: Vec<SocketAddr>,
    /// Whether documents are fetched from peers before the store.
    pub peer_fetch: bool,
    /// Timeout of a request to the store about the configuration.
    #[serde_as(as = "DurationText")]
    pub store_timeout: Duration,
    /// Time between two requests to a peer for its revision.
    #[serde_as(as = "DurationText")]
    pub poll_period: Duration,
    /// Time between two store reads that detect changes missed by the watch and data
    /// lost by the store.
    #[serde_as(as = "DurationText")]
    pub check_period: Duration,
}

impl Default for ConfigSettings {
    fn default() -> Self {
        Self {
            seeds: Vec::new(),
            peer_fetch: true,
            store_timeout: Duration::from_secs(5),
            poll_period: Duration::from_secs(1),
            check_period: Duration::from_secs(30),
        }
    }
}

/// Lease and heartbeat times.
#[serde_with::serde_as]
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct MembershipSettings {
    /// Time to live of the instance's lease.
    #[serde_as(as = "DurationText")]
    pub lease: Duration,
    /// Time between two heartbeats.
    #[serde_as(as = "DurationText")]
    pub heartbeat: Duration,
}

/// Limits on request bodies and on connections to targets.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct LimitSettings {
    /// Largest request body.
    pub request_body: ByteSize,
    /// Maximum number of connections from this instance to one target.
    pub target_connections: usize,
}

/// Sources of the keys of operators and peers.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct SecretSettings {
    /// Source of the key that operators present.
    pub operator_key: SecretSource,
    /// Source of the key that the instances share.
    pub peer_key: SecretSource,
}

/// Format and level of the log.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct LogSettings {
    /// Minimum level to log, or a filter such as `info,wagtailsaddle=debug`.
    pub level: String,
    /// Whether each line is a JSON object.
    pub json: bool,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            instance: InstanceId::from(""),
            zone: ZoneName::from(""),
            callers: loopback(0),
            admin: loopback(0),
            peers: loopback(0),
            advertise: None,
            workers: 2,
            platform: PlatformSettings::default(),
            config: ConfigSettings::default(),
            membership: MembershipSettings::default(),
            limits: LimitSettings::default(),
            secrets: SecretSettings::default(),
            drain_grace: Duration::from_secs(5),
            drain_timeout: Duration::from_secs(60),
            log: LogSettings::default(),
        }
    }
}

impl Default for PlatformSettings {
    fn default() -> Self {
        Self {
            store: loopback(2379),
            instance_list: loopback(2380),
            store_timeout: Duration::from_secs(1),
            list_period: Duration::from_secs(1),
            budget: BudgetSettings::default(),
        }
    }
}

impl Default for MembershipSettings {
    fn default() -> Self {
        Self {
            lease: Duration::from_secs(5),
            heartbeat: Duration::from_millis(500),
        }
    }
}

impl Default for LimitSettings {
    fn default() -> Self {
        Self {
            request_body: ByteSize::mib(8),
            target_connections: 64,
        }
    }
}

impl Default for LogSettings {
    fn default() -> Self {
        Self {
            level: "warn,wagtailsaddle=info".to_owned(),
            json: false,
        }
    }
}

fn loopback(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

impl SecretSettings {
    fn problems(&self) -> Vec<String> {
        let named = [
            ("operator_key", &self.operator_key),
            ("peer_key", &self.peer_key),
        ];
        let problem = |(name, source): (&str, &SecretSource)| {
            let problem = source.problem()?;
            Some(format!("secrets.{name}: {problem}"))
        };
        named.into_iter().filter_map(problem).collect()
    }
}

impl Settings {
    /// Reads and checks a settings file.
    ///
    /// # Errors
    /// [`Error::ReadFile`] when the file can't be read, [`Error::Invalid`] with
    /// every problem found.
    pub fn load(path: &Path) -> Result<Self, Error> {
        let text = std::fs::read_to_string(path).map_err(|source| Error::ReadFile {
            path: path.to_owned(),
            source,
        })?;
        Self::parse(&text, &path.display().to_string())
    }

    /// Parses and validates settings; `origin` names the text in errors.
    ///
    /// # Errors
    /// [`Error::Invalid`] with every problem found.
    pub fn parse(text: &str, origin: &str) -> Result<Self, Error> {
        check::parse(text).map_err(|problems| Error::Invalid {
            origin: origin.to_owned(),
            problems,
        })
    }

    /// Returns every problem of the parsed settings, one line each.
    #[must_use]
    pub fn problems(&self) -> Vec<String> {
        let mut problems = Vec::new();
        let mut check = |ok: bool, text: &str| {
            if !ok {
                problems.push(text.to_owned());
            }
        };
        check(
            is_name(self.instance.as_str()),
            "instance: must name this instance with letters, digits, `-`, `_` or `.`",
        );
        check(
            is_name(self.zone.as_str()),
            "zone: must name this instance's availability zone with letters, digits, `-`, `_` or `.`",
        );
        check(self.workers > 0, "workers: must be at least 1");
        check(self.workers <= MAX_WORKERS, "workers: must be at most 256");
        let membership = &self.membership;
        check(
            !membership.heartbeat.is_zero(),
            "membership.heartbeat: must be longer than 0s",
        );
        check(
            membership.heartbeat * 3 <= membership.lease,
            "membership.lease: must be at least three heartbeats",
        );
        check(
            membership.lease >= MIN_LEASE,
            "membership.lease: must be at least 1s, the store's unit",
        );
        let platform = &self.platform;
        let budget = &platform.budget;
        check(
            budget.writes_per_second * budget.burst_seconds >= budget.lease_reserve + 1.0,
            "platform.budget.lease_reserve: must leave a write of writes_per_second times burst_seconds",
        );
        check(
            budget.reads_per_second * budget.burst_seconds >= 1.0,
            "platform.budget.reads_per_second: must allow one read in burst_seconds",
        );
        check(
            !platform.store_timeout.is_zero(),
            "platform.store_timeout: must be longer than 0s",
        );
        check(
            !platform.list_period.is_zero(),
            "platform.list_period: must be longer than 0s",
        );
        check(
            self.limits.request_body.0 > 0,
            "limits.request_body: must be more than 0B",
        );
        check(
            EnvFilter::try_new(&self.log.level).is_ok(),
            "log.level: must be a filter such as info or info,wagtailsaddle=debug",
        );
        problems.extend(self.address_problems());
        problems.extend(self.secrets.problems());
        problems.extend(self.missing_key_problems());
        problems
    }

    /// Reports interfaces without a key that listen beyond loopback.
    fn missing_key_problems(&self) -> Vec<String> {
        let named = [
            (
                "operator_key",
                &self.secrets.operator_key,
                "admin",
                self.admin,
            ),
            ("peer_key", &self.secrets.peer_key, "peers", self.peers),
        ];
        let open = named
            .iter()
            .filter(|(_, source, _, address)| !source.is_set() && !address.ip().is_loopback());
        open.map(|(key, _, field, _)| {
            format!("secrets.{key}: must be set unless `{field}` listens on loopback")
        })
        .collect()
    }

    fn address_problems(&self) -> Vec<String> {
        let mut problems = Vec::new();
        let own = [
            ("callers", self.callers),
            ("admin", self.admin),
            ("peers", self.peers),
        ];
        for (index, (name, address)) in own.iter().enumerate() {
            let clash = own[..index]
                .iter()
                .find(|(_, other)| other == address && address.port() != 0);
            if let Some((other, _)) = clash {
                problems.push(format!(
                    "{name}: the same address as `{other}`; choose another port"
                ));
            }
        }
        for (name, address) in [("callers", self.callers), ("peers", self.peers)] {
            if address.ip().is_unspecified() && self.advertise.is_none() {
                problems.push(format!(
                    "advertise: must be set when `{name}` listens on every address"
                ));
            }
        }
        if self
            .advertise
            .is_some_and(|address| address.is_unspecified())
        {
            problems.push("advertise: must be an address that others can reach".to_owned());
        }
        problems
    }
}

/// Whether a text can be used in store keys and URLs without escaping.
fn is_name(text: &str) -> bool {
    let is_allowed = |byte: u8| byte.is_ascii_alphanumeric() || b"-_.".contains(&byte);
    !text.is_empty() && text.bytes().all(is_allowed)
}
