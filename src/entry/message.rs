//! What entry instances tell each other, and its encoding.
//!
//! Beats go by datagram, several times a second; a missing one costs freshness.
//! Changes of the replica go by a short TCP connection.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use super::load::Load;
use super::members::Standing;
use super::replica::Delta;
use crate::dispatch::quarantine::Case;
use crate::names::ZoneName;

/// Largest datagram sent: below the usual packet size, headers off.
pub const MAX_DATAGRAM: usize = 1400;
/// Most reports in one beat, so that it stays below [`MAX_DATAGRAM`].
pub const MAX_REPORTS: usize = 40;
/// Most members named in one beat.
pub const MAX_NAMED: usize = 4;
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
pub struct Finding {
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

/// A regular sign of life.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Beat {
    /// Zone of the sender.
    pub zone: ZoneName,
    /// What the sender says of itself.
    pub standing: Standing,
    /// What it found out about the targets that it looks after.
    pub findings: Vec<Finding>,
    /// Some instances that it knows, with their zones.
    pub members: Vec<(SocketAddr, ZoneName)>,
    /// Requests that it holds to crash targets.
    pub cases: Vec<Case>,
}

/// A question over TCP.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Question {
    /// What changed after this revision?
    Changes(u64),
}

/// The answer to a [`Question`].
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Reply {
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
