//! Settings of instances in tests.

use std::time::Duration;

use super::settings::EntrySettings;

/// Settings of an instance at `ip` in `zone`, with some limits.
pub(crate) fn settings(ip: [u8; 4], zone: &str) -> EntrySettings {
    EntrySettings {
        name: "entry".into(),
        ip: ip.into(),
        zone: zone.into(),
        callers: (ip, 80).into(),
        readiness: None,
        directory: None,
        peers: (ip, 7000).into(),
        seeds: Vec::new(),
        first_start: true,
        store: ([10, 9, 9, 9], 1).into(),
        grace: Duration::from_secs(6),
        repeat_ratio: 0.2,
        repeat_window: Duration::from_secs(10),
        repeat_slack: 50.0,
        cold_factor: 1.5,
        cold_slack: 5.0,
        max_directory_ttl: Duration::from_secs(5),
        max_probe_rate: 60.0,
        body_memory: 16 << 20,
    }
}
