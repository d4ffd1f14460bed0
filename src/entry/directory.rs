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
}

/// The addresses for a caller in `zone`: only those in its zone if there are enough,
/// since traffic between zones is expensive, otherwise all.
///
/// The instances of a zone may fail together while its callers keep running.
#[must_use]
pub fn addresses(entries: &[DirectoryEntry], zone: Option<&str>) -> Vec<SocketAddr> {
    let same_zone: Vec<SocketAddr> = entries
        .iter()
        .filter(|entry| zone.is_none_or(|zone| entry.zone.as_str() == zone))
        .map(|entry| entry.callers)
        .take(MAX_ADDRESSES)
        .collect();
    if same_zone.len() >= MIN_SAME_ZONE {
        return same_zone;
    }
    entries
        .iter()
        .map(|entry| entry.callers)
        .take(MAX_ADDRESSES)
        .collect()
}

#[cfg(test)]
mod tests;
