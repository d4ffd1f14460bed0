//! Messages between entry instances, and their encoding.
//!
//! Heartbeats are sent as datagrams several times a second; a lost one only makes data
//! less recent. Changes of the replica are fetched over a short TCP connection.

use std::net::SocketAddr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::account::Account;
use crate::dispatch::quarantine::{Case, Evidence};
use crate::entry::fleet::members::InstanceStatus;
use crate::entry::fleet::replica::{Checksum, Delta, Position};
use crate::entry::model::{Change, Record, Target};
use crate::entry::target::load::Load;
use crate::entry::target::target_limit::NamedLimit;
use crate::names::{ServiceName, VersionName, ZoneName};
use crate::rollout::evidence::EvidenceReport;

/// Maximum datagram size: below the usual packet size without headers.
pub const MAX_DATAGRAM: usize = 1400;
/// Maximum reports in a heartbeat, so that it fits [`MAX_DATAGRAM`].
pub const MAX_REPORTS: usize = 37;
/// Maximum statuses of other zones' instances in a heartbeat.
pub const MAX_RELAYED: usize = 8;
/// Maximum quarantine cases in a heartbeat.
pub const MAX_CASES: usize = 4;
/// Maximum records in a [`Datagram::Evidence`], so that it fits [`MAX_DATAGRAM`].
pub const MAX_EVIDENCE: usize = 30;
/// Maximum limits of targets in a heartbeat.
pub const MAX_LIMITS: usize = 4;
/// Maximum targets that say that they are leaving in a heartbeat.
pub const MAX_LEAVING: usize = 4;
/// Maximum frame size over TCP: a full configuration and all targets.
pub const MAX_FRAME: usize = 16 << 20;

/// Result of a probe.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Health {
    /// The health check succeeded.
    Good,
    /// The target responded that it is unhealthy.
    Bad,
    /// The target did not respond, or nothing listens there.
    Unreachable,
}

/// State of a target as found by the instance that probes it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetReport {
    /// Key of the target; see [`crate::entry::fleet::members::target_key`].
    pub target: u64,
    /// Its load; `None` when it does not report it.
    pub load: Option<Load>,
    /// Milliseconds for which it stays cold.
    pub cold_ms: u32,
    /// Result of the probe.
    pub health: Health,
    /// Age of the report in milliseconds.
    pub age_ms: u16,
}

/// Factor by which the slowness must change for a report to be sent at once.
const SLOWNESS_CHANGE: f64 = 1.3;

impl TargetReport {
    /// Whether this differs so much from `sent`, the last report sent to the peers,
    /// that they should get it before the next regular heartbeat.
    #[must_use]
    pub fn is_significant_change(&self, sent: &Self) -> bool {
        let slowness = |report: &Self| {
            report
                .load
                .map_or(100.0, |load| f64::from(load.slowness_percent.max(1)))
        };
        let occupied = |report: &Self| report.load.map_or(0, |load| load.occupied());
        let slots = self.load.map_or(1, |load| load.slots.max(1));
        let ratio = slowness(self) / slowness(sent);
        self.health != sent.health
            || (self.cold_ms == 0) != (sent.cold_ms == 0)
            || !(SLOWNESS_CHANGE.recip()..=SLOWNESS_CHANGE).contains(&ratio)
            || occupied(self).abs_diff(occupied(sent)).saturating_mul(2) >= slots
    }
}

/// A regular message to peers.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// Availability zone of the sender.
    pub zone: ZoneName,
    /// Status of the sender.
    pub status: InstanceStatus,
    /// Reports on the targets that it probes.
    pub reports: Vec<TargetReport>,
    /// In some heartbeats, the address and the zone of another instance.
    pub member: Option<(SocketAddr, ZoneName)>,
    /// Requests that it suspects of crashing targets.
    pub cases: Vec<Case>,
    /// Crashes of these requests. They are encoded apart, since earlier releases don't know
    /// them.
    #[serde(skip)]
    pub evidence: Vec<Evidence>,
    /// Limits that targets name or named lately, encoded like `evidence`.
    #[serde(skip)]
    pub limits: Vec<NamedLimit>,
    /// Keys of the targets' runs that said lately that they are leaving, encoded like
    /// `evidence`.
    #[serde(skip)]
    pub leaving: Vec<u64>,
}

/// Status of an instance in another zone, as told in the zone of the receiver.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RelayedStatus {
    /// Address of the instance for its peers.
    pub address: SocketAddr,
    /// Its availability zone.
    pub zone: ZoneName,
    /// Status in its last heartbeat to the sender.
    pub status: InstanceStatus,
    /// Milliseconds since that heartbeat arrived.
    pub age_ms: u16,
}

/// Content of a datagram.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Datagram {
    /// A heartbeat.
    Heartbeat(Box<Heartbeat>),
    /// Requests reports on the targets of the receiver's zone.
    DigestRequest,
    /// A part of the response to a [`Self::DigestRequest`].
    Digest(Vec<TargetReport>),
    /// News of requests suspected of crashing targets. Earlier releases ignore it, and learn
    /// of them from heartbeats.
    Evidence(Vec<Evidence>),
    /// What the sender has seen of a new version and the old one beside it. Earlier releases
    /// ignore this and the next.
    VersionEvidence(EvidenceReport),
    /// The version of the service gets no requests again.
    RolledBack(ServiceName, VersionName),
    /// Asks a home of a client account for tokens. Earlier releases ignore this and the
    /// next.
    TokenRequest(TokenRequest),
    /// The answer to a [`Self::TokenRequest`].
    TokenGrant(TokenGrant),
}

/// A request for tokens of a client account.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct TokenRequest {
    /// Key of the account; see [`crate::entry::fleet::homes::account_key`].
    pub account: u64,
    /// Number that the answer repeats.
    pub number: u32,
    /// Tokens that are wanted at most.
    pub want: u16,
}

/// The tokens that a home of a client account grants.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct TokenGrant {
    /// Number of the [`TokenRequest`].
    pub number: u32,
    /// Tokens, valid for a time that is counted from the request.
    pub tokens: u16,
    /// Without tokens, milliseconds until one is expected.
    pub retry_after_ms: u16,
}

/// A request over TCP.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum PeerRequest {
    /// Requests the changes after this revision.
    Changes(u64),
}

/// The response to a [`PeerRequest`].
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum PeerResponse {
    /// The changes.
    Changes(Delta),
    /// The sender sends large changes to as many peers as it may. Earlier releases can't
    /// decode this, and ask another peer.
    Busy,
}

/// What follows a heartbeat and its relayed statuses, where earlier releases ignore it.
#[derive(Debug, Default, Serialize, Deserialize)]
struct HeartbeatExtension {
    /// Era of the revision in the sender's status.
    era: u64,
    /// Eras of the revisions in the relayed statuses, in their order.
    relayed_eras: Vec<u64>,
    /// Crashes of the requests that the sender suspects.
    evidence: Vec<Evidence>,
    /// Limits of targets.
    limits: Vec<NamedLimit>,
}

/// What follows a [`HeartbeatExtension`], where earlier releases ignore it.
#[derive(Debug, Default, Serialize, Deserialize)]
struct ReachExtension {
    /// Whether the sender reaches no target that others reach.
    cut_off: bool,
    /// The same of the relayed statuses, in their order.
    relayed_cut_off: Vec<bool>,
}

/// What follows a [`ReachExtension`], where earlier releases ignore it.
#[derive(Debug, Default, Serialize, Deserialize)]
struct LeavingExtension {
    /// Keys of the targets' runs that said lately that they are leaving.
    leaving: Vec<u64>,
}

/// What follows a [`LeavingExtension`], where earlier releases ignore it.
#[derive(Debug, Default, Serialize, Deserialize)]
struct ChecksumExtension {
    /// What identifies the records in the sender's replica.
    checksum: Option<Checksum>,
    /// The same of the relayed statuses, in their order.
    relayed_checksums: Vec<Option<Checksum>>,
}

/// What follows a [`ChecksumExtension`], where earlier releases ignore it.
#[derive(Debug, Default, Serialize, Deserialize)]
struct StoreExtension {
    /// Milliseconds since the store last answered the sender.
    answer_age_ms: Option<u16>,
    /// The same of the relayed statuses, in their order, when they were sent.
    relayed_answer_ages_ms: Vec<Option<u16>>,
}

/// Encodes a heartbeat. Statuses of other zones' instances, for peers in the same zone,
/// and fields that earlier releases don't know follow it.
///
/// # Errors
/// Never for the types here; otherwise the codec's error.
pub fn encode_heartbeat(
    heartbeat: Heartbeat,
    relayed: &[RelayedStatus],
) -> Result<Vec<u8>, postcard::Error> {
    let extension = HeartbeatExtension {
        era: heartbeat.status.era,
        relayed_eras: relayed.iter().map(|relayed| relayed.status.era).collect(),
        evidence: heartbeat.evidence.clone(),
        limits: heartbeat.limits.clone(),
    };
    let reach = ReachExtension {
        cut_off: heartbeat.status.cut_off,
        relayed_cut_off: relayed
            .iter()
            .map(|relayed| relayed.status.cut_off)
            .collect(),
    };
    let leaving = LeavingExtension {
        leaving: heartbeat.leaving.clone(),
    };
    let checksums = ChecksumExtension {
        checksum: heartbeat.status.checksum,
        relayed_checksums: relayed
            .iter()
            .map(|relayed| relayed.status.checksum)
            .collect(),
    };
    let store = StoreExtension {
        answer_age_ms: heartbeat.status.store_answer_age_ms,
        relayed_answer_ages_ms: relayed
            .iter()
            .map(|relayed| relayed.status.store_answer_age_ms)
            .collect(),
    };
    let mut bytes = encode(&Datagram::Heartbeat(Box::new(heartbeat)))?;
    bytes.extend(postcard::to_stdvec(relayed)?);
    bytes.extend(postcard::to_stdvec(&extension)?);
    bytes.extend(postcard::to_stdvec(&reach)?);
    bytes.extend(postcard::to_stdvec(&leaving)?);
    bytes.extend(postcard::to_stdvec(&checksums)?);
    bytes.extend(postcard::to_stdvec(&store)?);
    Ok(bytes)
}

/// Decodes a datagram, and the statuses that follow a heartbeat.
///
/// # Errors
/// The bytes are not a valid datagram.
pub fn decode_datagram(bytes: &[u8]) -> Result<(Datagram, Vec<RelayedStatus>), postcard::Error> {
    let (mut datagram, rest) = postcard::take_from_bytes(bytes)?;
    let (mut relayed, rest): (Vec<RelayedStatus>, &[u8]) = if rest.is_empty() {
        (Vec::new(), rest)
    } else {
        postcard::take_from_bytes(rest)?
    };
    if rest.is_empty() {
        return Ok((datagram, relayed));
    }
    let (extension, rest): (HeartbeatExtension, &[u8]) = postcard::take_from_bytes(rest)?;
    let (reach, rest): (ReachExtension, &[u8]) = take_extension(rest)?;
    let (leaving, rest): (LeavingExtension, &[u8]) = take_extension(rest)?;
    let (checksums, rest): (ChecksumExtension, &[u8]) = take_extension(rest)?;
    let (store, _): (StoreExtension, &[u8]) = take_extension(rest)?;
    if let Datagram::Heartbeat(heartbeat) = &mut datagram {
        heartbeat.status.era = extension.era;
        heartbeat.status.cut_off = reach.cut_off;
        heartbeat.status.checksum = checksums.checksum;
        heartbeat.status.store_answer_age_ms = store.answer_age_ms;
        heartbeat.evidence = extension.evidence;
        heartbeat.limits = extension.limits;
        heartbeat.leaving = leaving.leaving;
    }
    for (relayed, era) in relayed.iter_mut().zip(extension.relayed_eras) {
        relayed.status.era = era;
    }
    for (relayed, cut_off) in relayed.iter_mut().zip(reach.relayed_cut_off) {
        relayed.status.cut_off = cut_off;
    }
    for (relayed, checksum) in relayed.iter_mut().zip(checksums.relayed_checksums) {
        relayed.status.checksum = checksum;
    }
    for (relayed, age_ms) in relayed.iter_mut().zip(store.relayed_answer_ages_ms) {
        relayed.status.store_answer_age_ms = age_ms;
    }
    Ok((datagram, relayed))
}

/// Decodes an extension, which earlier releases don't send.
fn take_extension<'a, T: Default + Deserialize<'a>>(
    bytes: &'a [u8],
) -> Result<(T, &'a [u8]), postcard::Error> {
    if bytes.is_empty() {
        return Ok((T::default(), bytes));
    }
    postcard::take_from_bytes(bytes)
}

/// Encodes a request for the changes after a position. The era follows the request, where
/// earlier releases ignore it.
///
/// # Errors
/// Never for the types here; otherwise the codec's error.
pub fn encode_request(position: Position) -> Result<Vec<u8>, postcard::Error> {
    encode_with_era(&PeerRequest::Changes(position.revision), position.era)
}

/// Decodes a request for changes; the era is 0 in one of an earlier release.
///
/// # Errors
/// The bytes are not a valid request.
pub fn decode_request(bytes: &[u8]) -> Result<Position, postcard::Error> {
    let (PeerRequest::Changes(revision), era, _) = decode_with_era(bytes)?;
    Ok(Position { era, revision })
}

/// What follows the changes and their era, where earlier releases ignore it.
#[derive(Debug, Default, Serialize, Deserialize)]
struct ChangesExtension {
    /// What earlier releases don't know of the configuration among the changes.
    configuration: Option<ConfigurationExtension>,
    /// Positions of targets among the changes, with their versions.
    versions: Vec<(usize, VersionName)>,
    /// Changes of kinds that earlier releases don't know.
    later_kinds: Vec<Change>,
}

/// What earlier releases don't know of a configuration.
#[derive(Debug, Default, Serialize, Deserialize)]
struct ConfigurationExtension {
    /// The client accounts; `None` if they are unknown.
    accounts: Option<Vec<Account>>,
    /// Positions of the public routes.
    public_routes: Vec<usize>,
}

impl ChangesExtension {
    /// Moves the changes of later kinds out of a delta, and collects what its encoding lacks.
    fn split_from(delta: &mut Delta) -> Self {
        let is_later = |change: &mut Change| {
            let record = change.record.as_ref();
            record.is_some_and(|record| {
                matches!(record, Record::RolloutOrder(_) | Record::RolloutDecision(_))
            })
        };
        let mut extension = Self {
            later_kinds: delta.changes.extract_if(.., is_later).collect(),
            ..Self::default()
        };
        for (position, change) in delta.changes.iter().enumerate() {
            match &change.record {
                Some(Record::Configuration(configuration)) => {
                    let routes = configuration.routes.iter().enumerate();
                    let public = routes.filter(|(_, route)| route.public);
                    extension.configuration = Some(ConfigurationExtension {
                        accounts: configuration.accounts.clone(),
                        public_routes: public.map(|(position, _)| position).collect(),
                    });
                }
                Some(Record::Target(Target {
                    version: Some(version),
                    ..
                })) => extension.versions.push((position, version.clone())),
                _ => {}
            }
        }
        extension
    }

    fn merge_into(self, delta: &mut Delta) {
        for (position, version) in self.versions {
            if let Some(Change {
                record: Some(Record::Target(target)),
                ..
            }) = delta.changes.get_mut(position)
            {
                target.version = Some(version);
            }
        }
        for change in &mut delta.changes {
            if let (Some(Record::Configuration(configuration)), Some(extension)) =
                (&mut change.record, &self.configuration)
            {
                let configuration = Arc::make_mut(configuration);
                configuration.accounts.clone_from(&extension.accounts);
                for position in &extension.public_routes {
                    if let Some(route) = configuration.routes.get_mut(*position) {
                        route.public = true;
                    }
                }
            }
        }
        delta.changes.extend(self.later_kinds);
    }
}

/// Encodes the response to a request for changes; see [`encode_request`].
///
/// # Errors
/// Never for the types here; otherwise the codec's error.
pub fn encode_response(mut delta: Delta) -> Result<Vec<u8>, postcard::Error> {
    let era = delta.era;
    let extension = ChangesExtension::split_from(&mut delta);
    let mut bytes = encode_with_era(&PeerResponse::Changes(delta), era)?;
    bytes.extend(encode(&extension)?);
    Ok(bytes)
}

/// Encodes the response that the sender is busy.
///
/// # Errors
/// Never for the types here; otherwise the codec's error.
pub fn encode_busy() -> Result<Vec<u8>, postcard::Error> {
    encode(&PeerResponse::Busy)
}

/// Decodes the response to a request for changes; `None` if the sender is busy.
///
/// # Errors
/// The bytes are not a valid response.
pub fn decode_response(bytes: &[u8]) -> Result<Option<Delta>, postcard::Error> {
    let (response, era, rest) = decode_with_era(bytes)?;
    let PeerResponse::Changes(mut delta) = response else {
        return Ok(None);
    };
    delta.era = era;
    if !rest.is_empty() {
        let extension: ChangesExtension = postcard::from_bytes(rest)?;
        extension.merge_into(&mut delta);
    }
    Ok(Some(delta))
}

fn encode_with_era<T: Serialize>(message: &T, era: u64) -> Result<Vec<u8>, postcard::Error> {
    let mut bytes = encode(message)?;
    bytes.extend(encode(&era)?);
    Ok(bytes)
}

/// Decodes a message and its era; returns them with the bytes that follow.
fn decode_with_era<'a, T: Deserialize<'a>>(
    bytes: &'a [u8],
) -> Result<(T, u64, &'a [u8]), postcard::Error> {
    let (message, rest) = postcard::take_from_bytes(bytes)?;
    if rest.is_empty() {
        return Ok((message, 0, rest));
    }
    let (era, rest) = postcard::take_from_bytes(rest)?;
    Ok((message, era, rest))
}

/// Encodes a message.
///
/// # Errors
/// Never for the types here; otherwise the codec's error.
pub fn encode<T: Serialize>(message: &T) -> Result<Vec<u8>, postcard::Error> {
    postcard::to_stdvec(message)
}

#[cfg(test)]
mod tests;
