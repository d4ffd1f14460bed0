//! Decides when this instance compares its records with those of a peer.
//!
//! If two copies have the same newest change and other records, one of them lacks an earlier
//! change: the peer a removal from before the first read of this instance, which was
//! restarted, or either of them what an instance of an earlier release left out. Newer
//! changes would not bring it.

use std::collections::VecDeque;
use std::time::Duration;

use crate::entry::fleet::replica::{Checksum, Replica, Summary};
use crate::units::Time;

/// Time for which copies must contradict each other until an instance compares that knows
/// every removal: another one may be about to announce what is missing.
const PATIENCE: Duration = Duration::from_millis(500);
/// Comparisons that are remembered, so that none is repeated without a change.
const MAX_DONE: usize = 64;

/// The comparisons with peers.
#[derive(Debug, Default)]
pub(crate) struct Comparisons {
    contradicted_since: Option<Time>,
    /// The own copy and that of a peer.
    done: VecDeque<(Checksum, Summary)>,
}

impl Comparisons {
    /// Whether to compare with one of the `peers` now.
    pub(crate) fn are_due(&mut self, now: Time, replica: &Replica, peers: &[Summary]) -> bool {
        if !peers.iter().any(|peer| self.is_new(replica, *peer)) {
            self.contradicted_since = None;
            return false;
        }
        let since = *self.contradicted_since.get_or_insert(now);
        !replica.checksum().knows_removals || now.since(since) >= PATIENCE
    }

    /// Whether a peer's copy contradicts the own one, and the two were not compared yet.
    pub(crate) fn is_new(&self, replica: &Replica, peer: Summary) -> bool {
        replica.contradicts(peer) && !self.done.contains(&(replica.checksum(), peer))
    }

    /// Records that the own copy, with this checksum, was compared with a peer's.
    pub(crate) fn record(&mut self, own: Checksum, peer: Summary) {
        if self.done.len() >= MAX_DONE {
            self.done.pop_front();
        }
        self.done.push_back((own, peer));
    }
}

#[cfg(test)]
mod tests;
