//! What entry instances tell each other, and its encoding.
//!
//! Beats go by datagram, several times a second; a missing one costs freshness.
//! Changes of the replica go by a short TCP connection.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use super::load::Load;
use super::members::InstanceStatus;
use super::replica::Delta;
use crate::dispatch::quarantine::Case;
use crate::names::ZoneName;

/// Largest datagram sent: below the usual packet size, headers off.
pub const MAX_DATAGRAM: usize = 1400;
/// Most reports in one beat, so that it stays below [`MAX_DATAGRAM`].
pub const MAX_REPORTS: usize = 40;
/// Most cases of the quarantine in one beat.
pub const MAX_CASES: usize = 8;
/// Largest frame read over TCP: a whole configuration and all targets.
pub const MAX_FRAME: usize = 16 << 20;

/// What a probe found.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Health {
    /// The health check succeeded.
    Good,
    /// The target answered that it is not well.
    Bad,
    /// The target did not answer, or nothing listens there.
    Unreachable,
}

/// What a target's home found out about it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetReport {
    /// The target, as [`super::members::target_key`] names it.
    pub target: u64,
    /// Its load, if it tells it.
    pub load: Option<Load>,
    /// Milliseconds that it stays cold.
    pub cold_ms: u32,
    /// Whether it is well.
    pub health: Health,
    /// Age of the finding in milliseconds.
    pub age_ms: u16,
}

/// Change of slowness, as a factor, that peers in other zones are told at once.
const SLOWNESS_CHANGE: f64 = 1.3;

impl TargetReport {
    /// Whether peers in other zones should learn of this before their next regular
    /// beat, when `told` is what they know.
    #[must_use]
    pub fn is_significant_change(&self, sent: &Self) -> bool {
        let slowness = |report: &Self| {
            report
                .load
                .map_or(100.0, |load| f64::from(load.slowness_percent.max(1)))
        };
        let occupied = |report: &Self| report.load.map_or(0, |load| load.running + load.waiting);
        let slots = self.load.map_or(1, |load| load.slots.max(1));
        let ratio = slowness(self) / slowness(sent);
        self.health != sent.health
            || (self.cold_ms == 0) != (sent.cold_ms == 0)
            || !(SLOWNESS_CHANGE.recip()..=SLOWNESS_CHANGE).contains(&ratio)
            || occupied(self).abs_diff(occupied(sent)) * 2 >= slots
    }
}

/// A regular sign of life.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// Zone of the sender.
    pub zone: ZoneName,
    /// What the sender says of itself.
    pub status: InstanceStatus,
    /// What it found out about the targets that it looks after.
    pub reports: Vec<TargetReport>,
    /// An instance that it knows, now and then, with its zone.
    pub member: Option<(SocketAddr, ZoneName)>,
    /// Requests that it holds to crash targets.
    pub cases: Vec<Case>,
}

/// What one datagram holds.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Datagram {
    /// A sign of life.
    Heartbeat(Heartbeat),
    /// What do you know of your zone's targets?
    DigestRequest,
    /// A part of the answer to that.
    Digest(Vec<TargetReport>),
}

/// A question over TCP.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum PeerRequest {
    /// What changed after this revision?
    Changes(u64),
}

/// The answer to a [`Question`].
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum PeerResponse {
    /// What changed.
    Changes(Delta),
}

/// Encodes a message.
///
/// # Errors
/// Never for the types here; the codec's own word otherwise.
pub fn encode<T: Serialize>(message: &T) -> Result<Vec<u8>, postcard::Error> {
    postcard::to_stdvec(message)
}

/// Decodes a message.
///
/// # Errors
/// The bytes are not such a message.
pub fn decode<'a, T: Deserialize<'a>>(bytes: &'a [u8]) -> Result<T, postcard::Error> {
    postcard::from_bytes(bytes)
}

#[cfg(test)]
mod tests;
