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

/// Returns a configuration with one service `s` and a route for each path prefix.
///
/// Requests under `/once/` are not idempotent, those under `/upload/` are uploads; all
/// others are safe to retry.
#[must_use]
pub fn configuration(version: u64, prefixes: &[&str], timeout_ms: u64) -> String {
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
                "s"
            ])
        })
        .collect();
    serde_json::json!({
        "version": format!("r{version}"),
        "routes": {
            "columns": ["name", "host", "prefix", "type", "timeout_ms", "target_latency_ms",
                "priority", "traffic_split", "max_attempts", "service"],
            "rows": rows,
        },
        "services": {
            "columns": ["name", "health_path", "max_connections", "warmup_s", "warmup_per_s"],
            "rows": [["s", "/health", 220, 3.0, 21.0]],
        },
    })
    .to_string()
}
