//! What instances tell each other of their copies, and what follows from it.

use super::{Delta, Entry, Position, Replica};
use crate::entry::fleet::members::hash;
use crate::entry::model::Record;
use crate::macros::data;

/// What an instance tells its peers of its copy.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Summary {
    /// Position of the newest change.
    pub position: Position,
    /// What identifies its records; `None` from earlier releases.
    pub checksum: Option<Checksum>,
}

data! {
    /// Identifies the records of a copy.
    #[derive(Copy, Eq)]
    pub struct Checksum {
        /// Hash of the keys and revisions of all records but the configuration, whose revision
        /// may differ between instances.
        pub hash: u32,
        /// Whether every removal up to the newest change is known, unlike after a complete
        /// read.
        pub knows_removals: bool,
    }
}

impl Entry {
    /// Its part of [`Checksum::hash`].
    pub(super) fn hash(&self, key: &str) -> u32 {
        if matches!(self.record, Record::Configuration(_)) {
            return 0;
        }
        let bytes = hash(&(key, self.revision)).to_le_bytes();
        u32::from_le_bytes([bytes[0], bytes[1], bytes[2], bytes[3]])
    }
}

impl Replica {
    /// What identifies the records of this copy.
    #[must_use]
    pub fn checksum(&self) -> Checksum {
        let last = self.covered.back();
        Checksum {
            hash: self.hash,
            knows_removals: self.content_revision <= self.revision
                && last.is_some_and(|range| *range.start() <= self.content_revision),
        }
    }

    /// What peers are told of this copy.
    #[must_use]
    pub fn summary(&self) -> Summary {
        Summary {
            position: self.content_position(),
            checksum: Some(self.checksum()),
        }
    }

    /// Whether a peer's copy has the same newest change and other records: one of the two
    /// lacks an earlier change.
    #[must_use]
    pub fn contradicts(&self, peer: Summary) -> bool {
        peer.position == self.content_position()
            && peer
                .checksum
                .is_some_and(|checksum| checksum.hash != self.hash)
    }

    /// The position after which to ask a peer for changes: that of the newest change, which
    /// most instances have in common, so that the peer knows what was removed since. It is 0
    /// if earlier changes are missing.
    #[must_use]
    pub fn fetch_position(&self) -> Position {
        if self.content_revision > self.revision {
            Position::default()
        } else if self.checksum().knows_removals {
            self.content_position()
        } else {
            self.position()
        }
    }

    /// Takes over what a peer's summary shows without a fetch. A change up to the revision of
    /// this copy is part of it, if only as a record that is missing. If the peer has the same
    /// records and knows every removal up to its newest change, none was removed since.
    pub fn take_summary(&mut self, peer: Summary) {
        let Position { era, revision } = peer.position;
        if era != self.era || revision > self.revision {
            return;
        }
        self.content_revision = self.content_revision.max(revision);
        let is_same = peer
            .checksum
            .is_some_and(|checksum| checksum.hash == self.hash);
        if is_same && peer.position == self.content_position() {
            self.cover_from(peer);
        }
    }

    /// The delta to apply of a peer's whole copy that contradicts this one. If both know every
    /// removal, neither is the newer one, and only the records of both stay: a target that left
    /// must get no requests, and one that did not writes its record again.
    #[must_use]
    pub fn as_contradiction(&self, mut delta: Delta, peer: Summary) -> Delta {
        let knows_removals = |checksum: Checksum| checksum.knows_removals;
        if delta.era == self.era && peer.checksum.is_some_and(knows_removals) {
            delta.revision = self.revision;
        }
        delta
    }

    /// Records that every removal since the newest change of a peer is known, whose records
    /// were compared with these: if the peer knows the earlier ones, all that have its newest
    /// change have its records.
    pub fn cover_from(&mut self, peer: Summary) {
        let Position { era, revision } = peer.position;
        if era == self.era
            && peer
                .checksum
                .is_some_and(|checksum| checksum.knows_removals)
            && let Some(last) = self.covered.back_mut()
        {
            *last = revision.min(*last.start())..=*last.end();
        }
    }
}
