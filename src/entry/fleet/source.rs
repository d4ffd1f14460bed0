//! Decides which peer to fetch changes from.

use std::net::SocketAddr;
use std::time::Duration;

use crate::entry::fleet::replica::Position;
use crate::entry::target::placement::index_for_draw;
use crate::units::Time;

/// Time for which a peer is not asked again after it was busy; about as long as a large
/// transfer takes.
const BUSY_TIME: Duration = Duration::from_millis(150);

/// A live peer with changes that this instance lacks.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Source {
    /// Address of the peer.
    pub address: SocketAddr,
    /// Whether it is in this instance's zone.
    pub same_zone: bool,
    /// Position of its newest change.
    pub position: Position,
    /// Version of its configuration.
    pub version: u64,
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
            source.position,
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
