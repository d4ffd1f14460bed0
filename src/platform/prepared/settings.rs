//! Reads and checks the settings file that the platform writes for an entry instance.

use std::net::{IpAddr, SocketAddr};
use std::path::{Path, PathBuf};
use std::time::Duration;

use indexmap::IndexMap;
use serde::Deserialize;

use crate::entry::settings::{AccountSettings, EntrySettings};
use crate::error::Error;
use crate::rollout::RolloutLimits;

/// Environment variable with the path of the settings file.
const PATH_VARIABLE: &str = "WAGTAILSADDLE_SETTINGS";
const BYTES_PER_MEGABYTE: f64 = 1e6;
/// Fraction of the instance's memory for the bodies of requests.
const BODY_MEMORY_FRACTION: f64 = 0.125;
/// The same for those of responses. Connections, the first bytes of each body and the view of
/// the targets need the rest.
const RESPONSE_MEMORY_FRACTION: f64 = 0.25;
/// Name of the part of the platform's rules that concerns client accounts.
const ACCOUNTS_CONTRACT: &str = "tenants";
/// Window of accounts' limits if the settings name none, in seconds.
const DEFAULT_QUOTA_WINDOW_S: f64 = 5.0;
/// Path of the settings file if the variable is not set.
const DEFAULT_PATH: &str = "/etc/wagtailsaddle/settings.json";

/// Returns the path of the settings file.
pub(crate) fn path() -> PathBuf {
    std::env::var_os(PATH_VARIABLE).map_or_else(|| DEFAULT_PATH.into(), PathBuf::from)
}

/// Returns whether a settings file has the platform's format and not that of this
/// program's own settings.
pub(crate) fn is_platform_format(text: &str) -> bool {
    serde_json::from_str::<IndexMap<String, serde::de::IgnoredAny>>(text)
        .is_ok_and(|fields| fields.contains_key("node_name") && fields.contains_key("listen"))
}

/// Reads and checks the settings file.
///
/// # Errors
/// The file can't be read, or it is invalid: the error lists every problem with the path
/// of its field.
pub(crate) fn load(path: &Path) -> Result<EntrySettings, Error> {
    let text = std::fs::read_to_string(path).map_err(|source| Error::ReadFile {
        path: path.to_owned(),
        source,
    })?;
    parse(&text).map_err(|problems| Error::Invalid {
        origin: path.display().to_string(),
        problems,
    })
}

/// Parses and checks the settings in `text`.
///
/// # Errors
/// Every problem, each with the path of its field.
pub(crate) fn parse(text: &str) -> Result<EntrySettings, Vec<String>> {
    let mut deserializer = serde_json::Deserializer::from_str(text);
    let wire: Settings = serde_path_to_error::deserialize(&mut deserializer)
        .map_err(|err| vec![format!("{}: {}", err.path(), err.inner())])?;
    let problems = check(&wire);
    if problems.is_empty() {
        Ok(convert(wire))
    } else {
        Err(problems)
    }
}

#[derive(Deserialize)]
struct Settings {
    node_name: String,
    ip: IpAddr,
    zone: String,
    #[serde(default)]
    zones: IndexMap<String, String>,
    listen: Listen,
    port_range: (u16, u16),
    #[serde(default)]
    seeds: Vec<SocketAddr>,
    #[serde(default)]
    bootstrap: bool,
    /// Names of the parts of the platform's rules that are in force.
    #[serde(default)]
    contracts: Vec<String>,
    #[serde(default)]
    bounds: Bounds,
    platform: Platform,
    #[serde(default)]
    limits: Limits,
}

/// Resources of the instance.
#[derive(Deserialize)]
#[serde(default)]
struct Limits {
    memory_mb: f64,
}

impl Default for Limits {
    fn default() -> Self {
        Self { memory_mb: 160.0 }
    }
}

#[derive(Deserialize)]
struct Listen {
    front: Option<SocketAddr>,
    ready: Option<SocketAddr>,
    directory: Option<SocketAddr>,
}

#[derive(Deserialize)]
struct Platform {
    address: SocketAddr,
}

/// Limits that the platform sets for the instance.
#[derive(Deserialize)]
#[serde(default)]
struct Bounds {
    grace_s: f64,
    config_ms: f64,
    drain_ms: f64,
    retry_budget_ratio: f64,
    budget_window_s: f64,
    budget_slack: f64,
    cold_over: f64,
    cold_slack: f64,
    ttl_max_s: f64,
    probes_per_s: f64,
    expose_share: Option<f64>,
    expose_slack: f64,
    rollback_ms: f64,
    quota_window_s: Option<f64>,
    quota_over: f64,
    quota_slack: f64,
    fail_closed: bool,
    revoke_ms: f64,
}

impl Default for Bounds {
    fn default() -> Self {
        Self {
            grace_s: 6.0,
            config_ms: 2000.0,
            drain_ms: 2000.0,
            retry_budget_ratio: 0.2,
            budget_window_s: 10.0,
            budget_slack: 0.0,
            cold_over: 1.0,
            cold_slack: 0.0,
            ttl_max_s: 5.0,
            probes_per_s: 10.0,
            expose_share: None,
            expose_slack: 0.0,
            rollback_ms: 5000.0,
            quota_window_s: None,
            quota_over: 0.0,
            quota_slack: 0.0,
            fail_closed: false,
            revoke_ms: 5000.0,
        }
    }
}

/// Returns every problem in the settings, with the path of its field.
fn check(wire: &Settings) -> Vec<String> {
    let mut problems = Vec::new();
    let mut require = |holds: bool, text: &str| {
        if !holds {
            problems.push(text.to_owned());
        }
    };
    let bounds = &wire.bounds;
    require(!wire.node_name.is_empty(), "node_name: must not be empty");
    require(!wire.zone.is_empty(), "zone: must not be empty");
    require(
        wire.zones.is_empty() || wire.zones.contains_key(&wire.zone),
        "zone: must be one of `zones`",
    );
    require(wire.listen.front.is_some(), "listen.front: must be given");
    require(
        wire.port_range.0 <= wire.port_range.1,
        "port_range: the first port must not be above the last",
    );
    require(bounds.grace_s > 0.0, "bounds.grace_s: must be above 0");
    require(
        bounds.config_ms > 0.0 && bounds.drain_ms > 0.0,
        "bounds.config_ms, bounds.drain_ms: must be above 0",
    );
    require(
        bounds.budget_window_s > 0.0,
        "bounds.budget_window_s: must be above 0",
    );
    require(
        bounds.retry_budget_ratio >= 0.0,
        "bounds.retry_budget_ratio: must not be negative",
    );
    require(
        bounds.budget_slack >= 0.0,
        "bounds.budget_slack: must not be negative",
    );
    require(
        bounds.probes_per_s > 0.0,
        "bounds.probes_per_s: must be above 0",
    );
    require(
        bounds
            .expose_share
            .is_none_or(|share| (0.0..=1.0).contains(&share)),
        "bounds.expose_share: must be from 0 to 1",
    );
    require(
        bounds.expose_slack >= 0.0 && bounds.rollback_ms >= 0.0,
        "bounds.expose_slack, bounds.rollback_ms: must not be negative",
    );
    require(
        bounds.quota_window_s.is_none_or(|window| window > 0.0),
        "bounds.quota_window_s: must be above 0",
    );
    require(
        bounds.quota_over >= 0.0 && bounds.quota_slack >= 0.0,
        "bounds.quota_over, bounds.quota_slack: must not be negative",
    );
    require(
        bounds.revoke_ms >= 0.0,
        "bounds.revoke_ms: must not be negative",
    );
    require(
        wire.limits.memory_mb > 0.0,
        "limits.memory_mb: must be above 0",
    );
    problems
}

fn convert(wire: Settings) -> EntrySettings {
    let has_accounts = wire.contracts.iter().any(|part| part == ACCOUNTS_CONTRACT);
    let bounds = wire.bounds;
    EntrySettings {
        name: wire.node_name.into(),
        ip: wire.ip,
        zone: wire.zone.as_str().into(),
        callers: wire
            .listen
            .front
            .unwrap_or_else(|| SocketAddr::new(wire.ip, 0)),
        readiness: wire.listen.ready,
        directory: wire.listen.directory,
        peers: SocketAddr::new(wire.ip, wire.port_range.0),
        seeds: wire.seeds.iter().map(SocketAddr::ip).collect(),
        first_start: wire.bootstrap,
        store: wire.platform.address,
        grace: duration_from_secs(bounds.grace_s),
        propagation_limit: duration_from_secs(bounds.config_ms.min(bounds.drain_ms) / 1000.0),
        repeat_ratio: bounds.retry_budget_ratio,
        repeat_window: duration_from_secs(bounds.budget_window_s),
        repeat_slack: bounds.budget_slack,
        cold_factor: bounds.cold_over,
        cold_slack: bounds.cold_slack,
        max_directory_ttl: duration_from_secs(bounds.ttl_max_s),
        max_probe_rate: bounds.probes_per_s,
        body_memory: part_of_memory(wire.limits.memory_mb, BODY_MEMORY_FRACTION),
        response_memory: part_of_memory(wire.limits.memory_mb, RESPONSE_MEMORY_FRACTION),
        rollouts: bounds.expose_share.map(|share| RolloutLimits {
            share,
            slack: bounds.expose_slack,
            rollback_time: duration_from_secs(bounds.rollback_ms / 1000.0),
        }),
        accounts: (has_accounts || bounds.quota_window_s.is_some()).then(|| AccountSettings {
            window: duration_from_secs(bounds.quota_window_s.unwrap_or(DEFAULT_QUOTA_WINDOW_S)),
            over: bounds.quota_over,
            slack: bounds.quota_slack,
            fail_closed: bounds.fail_closed,
            revoke_time: duration_from_secs(bounds.revoke_ms / 1000.0),
        }),
    }
}

/// Bytes that are a fraction of the instance's memory in megabytes.
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "checked to be positive; conversion saturates"
)]
fn part_of_memory(memory_mb: f64, fraction: f64) -> usize {
    (memory_mb * BYTES_PER_MEGABYTE * fraction) as usize
}

fn duration_from_secs(value: f64) -> Duration {
    Duration::try_from_secs_f64(value.max(0.0)).unwrap_or(Duration::MAX)
}

#[cfg(test)]
mod tests;
