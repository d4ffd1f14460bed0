//! Which instances callers should connect to.

use std::net::SocketAddr;

use crate::names::ZoneName;

/// Most addresses in one answer.
const MAX_ADDRESSES: usize = 64;
/// Instances in the caller's zone that are enough to name no others: the loss of one
/// leaves another.
const MIN_SAME_ZONE: usize = 2;

/// An instance that may be named.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DirectoryEntry {
    /// Where callers connect.
    pub callers: SocketAddr,
    /// Its availability zone.
    pub zone: ZoneName,
}

/// The addresses for a caller in `zone`: near ones alone when they are enough, since
/// bytes between zones are dear, and all otherwise.
///
/// Load pattern: a zone's instances fail together while its callers are still there.
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
