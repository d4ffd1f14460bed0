//! Settings files and configurations in the form that the platform writes them.

use std::net::{IpAddr, SocketAddr};

/// Port for callers; instances differ by their addresses.
pub const CALLER_PORT: u16 = 8381;
/// Port for readiness checks.
pub const READINESS_PORT: u16 = 8388;
/// Port of the HTTP directory of instances.
pub const DIRECTORY_PORT: u16 = 8383;
/// Port for connections between instances.
pub const PEER_PORT: u16 = 7200;

/// Returns the settings file of one instance.
#[must_use]
pub fn entry_settings(number: usize, ip: IpAddr, store: SocketAddr) -> String {
    format!(
        r#"{{
    "node_name": "entry-{number}", "ip": "{ip}", "zone": "a", "zones": {{"a": "r"}},
    "listen": {{"front": "{ip}:{CALLER_PORT}", "ready": "{ip}:{READINESS_PORT}", "directory": "{ip}:{DIRECTORY_PORT}"}},
    "port_range": [{PEER_PORT}, {PEER_PORT}], "seeds": [], "bootstrap": true,
    "bounds": {{"drain_ms": 2000, "grace_s": 6, "retry_budget_ratio": 0.2, "budget_window_s": 10,
        "budget_slack": 58, "cold_over": 1.5, "cold_slack": 5, "ttl_max_s": 5, "probes_per_s": 60}},
    "platform": {{"address": "{store}", "ttl_min_ms": 1000}}
}}"#
    )
}

/// A client account with its keys.
#[derive(Debug, Clone, Default)]
pub struct AccountRow {
    /// Name of the account.
    pub name: String,
    /// Its keys.
    pub keys: Vec<String>,
    /// Priority of its requests; `None` if that of their route holds.
    pub priority: Option<u32>,
    /// Limit in requests a second; 0 for none.
    pub rate: f64,
    /// Requests in addition that may come at once.
    pub burst: f64,
}

/// Returns the configuration of [`configuration`] with these accounts; routes under
/// `/public/` need no key.
#[must_use]
pub fn configuration_with_accounts(
    version: u64,
    prefixes: &[&str],
    timeout_ms: u64,
    accounts: &[AccountRow],
) -> String {
    let mut value = configuration_value(version, prefixes, timeout_ms);
    let rows = accounts.iter().map(|account| {
        serde_json::json!([
            account.name,
            account.keys,
            account.priority,
            account.rate,
            account.burst
        ])
    });
    value["tenants"] = serde_json::json!({
        "columns": ["name", "api_keys", "priority", "rate_per_s", "burst"],
        "rows": rows.collect::<Vec<_>>(),
    });
    value.to_string()
}

/// Returns a configuration with one service `s` and a route for each path prefix.
///
/// Requests under `/once/` are not idempotent, those under `/upload/` are uploads; all
/// others are safe to retry.
#[must_use]
pub fn configuration(version: u64, prefixes: &[&str], timeout_ms: u64) -> String {
    configuration_value(version, prefixes, timeout_ms).to_string()
}

fn configuration_value(version: u64, prefixes: &[&str], timeout_ms: u64) -> serde_json::Value {
    let rows: Vec<serde_json::Value> = prefixes
        .iter()
        .map(|prefix| {
            let kind = match *prefix {
                "/once/" => "unsafe",
                "/upload/" => "upload",
                _ => "safe",
            };
            serde_json::json!([
                prefix,
                "x.example",
                prefix,
                kind,
                timeout_ms,
                500,
                1,
                null,
                2,
                "s",
                *prefix == "/public/"
            ])
        })
        .collect();
    serde_json::json!({
        "version": format!("r{version}"),
        "routes": {
            "columns": ["name", "host", "prefix", "type", "timeout_ms", "target_latency_ms",
                "priority", "traffic_split", "max_attempts", "service", "public"],
            "rows": rows,
        },
        "services": {
            "columns": ["name", "health_path", "max_connections", "warmup_s", "warmup_per_s"],
            "rows": [["s", "/health", 220, 3.0, 21.0]],
        },
    })
}
