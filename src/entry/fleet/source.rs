//! Decides which peer to fetch changes from.

use std::net::SocketAddr;
use std::time::Duration;

use crate::entry::fleet::replica::{Position, Replica, Summary};
use crate::entry::target::placement::index_for_draw;
use crate::units::Time;

/// Time for which a peer is not asked again after it was busy; about as long as a large
/// transfer takes.
const BUSY_TIME: Duration = Duration::from_millis(150);

/// What this instance lacks of a peer's copy of the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Lacking {
    /// The changes after its own newest one.
    Changes,
    /// A newer configuration at a revision that it has already. The store may hold an invalid
    /// one there, so that an instance that has just started found none.
    Configuration,
    /// Unknown: the records differ, though the newest change is the same.
    Unknown,
}

/// A live peer with changes that this instance lacks.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Source {
    /// Address of the peer.
    pub address: SocketAddr,
    /// Whether it is in this instance's zone.
    pub same_zone: bool,
    /// What it tells of its copy.
    pub summary: Summary,
    /// Version of its configuration.
    pub version: u64,
    /// What to ask it for.
    pub lacking: Lacking,
}

impl Lacking {
    /// What a copy, with the configuration of `version`, lacks of a peer's. `compare` says
    /// whether to compare copies that contradict each other.
    pub(crate) fn of(
        replica: &Replica,
        version: u64,
        peer: Summary,
        peer_version: u64,
        compare: bool,
    ) -> Option<Self> {
        if peer.position > replica.content_position() {
            Some(Self::Changes)
        } else if peer_version > version {
            Some(Self::Configuration)
        } else {
            (compare && replica.contradicts(peer)).then_some(Self::Unknown)
        }
    }

    /// The position after which to ask for it: the default for everything.
    pub(crate) fn position(self, replica: &Replica) -> Position {
        match self {
            Self::Changes => replica.fetch_position(),
            Self::Configuration | Self::Unknown => Position::default(),
        }
    }
}

/// Peers that did not send the changes they were asked for.
#[derive(Debug, Default)]
pub(crate) struct Avoided {
    failed: Vec<SocketAddr>,
    busy: Vec<(SocketAddr, Time)>,
}

impl Avoided {
    /// Records that a fetch from a peer failed.
    pub(crate) fn record_failure(&mut self, peer: SocketAddr) {
        if !self.failed.contains(&peer) {
            self.failed.push(peer);
        }
    }

    /// Records that a peer sends to as many others as it may.
    pub(crate) fn record_busy(&mut self, now: Time, peer: SocketAddr) {
        let is_recent = |at| now.since(at) < BUSY_TIME;
        self.busy
            .retain(|(known, at)| *known != peer && is_recent(*at));
        self.busy.push((peer, now));
    }

    /// Forgets the failures.
    pub(crate) fn forget_failures(&mut self) {
        self.failed.clear();
    }

    fn is_busy(&self, now: Time, peer: SocketAddr) -> bool {
        let is_recent = |at| now.since(at) < BUSY_TIME;
        let mut busy = self.busy.iter();
        busy.any(|(known, at)| *known == peer && is_recent(*at))
    }
}

/// One of the sources with the newest changes, preferably in the same zone, by `draw` in
/// `0.0..1.0`. Those that failed are a last resort; `None` if all are busy.
///
/// Load pattern: all instances of a zone lack the same large configuration, and a source's
/// link carries a few copies a second. Each instance that has it is a source for the others.
pub(crate) fn choose<'a>(
    now: Time,
    sources: &'a [Source],
    avoided: &Avoided,
    draw: f64,
) -> Option<&'a Source> {
    let rank = |source: &Source| {
        (
            !avoided.failed.contains(&source.address),
            source.same_zone,
            source.summary.position,
            source.version,
        )
    };
    let is_free = |source: &&Source| !avoided.is_busy(now, source.address);
    let best = sources.iter().filter(is_free).map(rank).max()?;
    let newest: Vec<&Source> = sources
        .iter()
        .filter(is_free)
        .filter(|source| rank(source) == best)
        .collect();
    newest.get(index_for_draw(newest.len(), draw)).copied()
}

#[cfg(test)]
mod tests;
