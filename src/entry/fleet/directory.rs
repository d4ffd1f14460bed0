//! Selects the instances that callers should connect to.

use std::net::SocketAddr;

use crate::names::ZoneName;

/// Maximum number of addresses in one response.
const MAX_ADDRESSES: usize = 64;
/// Instances in the caller's zone from which no others are listed: when one fails,
/// another remains.
const MIN_SAME_ZONE: usize = 2;

/// An instance that may be listed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DirectoryEntry {
    /// Address that callers connect to.
    pub callers: SocketAddr,
    /// Its availability zone.
    pub zone: ZoneName,
    /// Whether it reaches the targets.
    pub reaches_targets: bool,
}

/// The addresses for a caller in `zone`: only those in its zone if there are enough,
/// since traffic between zones is expensive, otherwise all. Instances that don't reach the
/// targets are left out unless none does.
///
/// The instances of a zone may fail together while its callers keep running.
#[must_use]
pub fn addresses(entries: &[DirectoryEntry], zone: Option<&str>) -> Vec<SocketAddr> {
    let some_reach = entries.iter().any(|entry| entry.reaches_targets);
    let usable = || {
        entries
            .iter()
            .filter(move |entry| entry.reaches_targets || !some_reach)
    };
    let same_zone: Vec<SocketAddr> = usable()
        .filter(|entry| zone.is_none_or(|zone| entry.zone.as_str() == zone))
        .map(|entry| entry.callers)
        .take(MAX_ADDRESSES)
        .collect();
    if same_zone.len() >= MIN_SAME_ZONE {
        return same_zone;
    }
    usable()
        .map(|entry| entry.callers)
        .take(MAX_ADDRESSES)
        .collect()
}

#[cfg(test)]
mod tests;
