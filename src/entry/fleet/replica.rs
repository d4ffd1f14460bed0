//! This instance's copy of the platform's store.
//!
//! Changes come from the store's watch or from peers, in any order and possibly more
//! than once; each key keeps the record with its highest revision. A configuration is
//! never replaced by an older version.
//!
//! A removal leaves nothing behind that could be read later. A copy therefore keeps recent
//! removals for its peers, and knows from which revisions on it knows all of them; see
//! `covered`. What a copy lacks all the same is found by its [`Checksum`].
//!
//! When the store was restored from a copy, its revisions start again at an earlier one.
//! They are comparable only within an era, which ends with each restore; a complete read
//! of a later era replaces everything but a newer configuration.

mod summary;

use std::cmp::Ordering;
use std::collections::{HashMap, VecDeque};
use std::ops::RangeInclusive;
use std::sync::Arc;

use indexmap::IndexMap;

pub use self::summary::{Checksum, Summary};
use crate::entry::model::{Change, Configuration, Record};
use crate::macros::data;

/// Removals that are kept for peers: enough for some minutes of targets that come and
/// go.
const MAX_TOMBSTONES: usize = 512;
/// Ranges of revisions that are kept for peers. A complete read starts another one, at most
/// every few seconds; a peer in none of them gets every record.
const MAX_COVERED: usize = 16;

/// Position in the store's history; later ones are greater.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default)]
pub struct Position {
    /// Number of times that the store was restored from a copy.
    pub era: u64,
    /// Revision of the store in that era.
    pub revision: u64,
}

data! {
    /// Changes that bring a replica to a revision.
    pub struct Delta {
        /// Era of the revisions. It is encoded apart, since earlier releases don't know it.
        #[serde(skip)]
        pub era: u64,
        /// Revision of the receiver after applying this.
        pub revision: u64,
        /// Whether `changes` contains every record, so that other keys are removed.
        pub complete: bool,
        /// Records and removals.
        pub changes: Vec<Change>,
    }
}

/// Effect of a change.
#[derive(Debug, Clone, PartialEq)]
pub enum Applied {
    /// A configuration came into force.
    Configuration(Arc<Configuration>),
    /// A record was added or replaced.
    Put(Arc<str>, Record),
    /// A record was removed.
    Removed(Arc<str>, Record),
}

#[derive(Debug, Clone)]
struct Entry {
    revision: u64,
    record: Record,
}

/// Records of the store, with recent removals.
#[derive(Debug, Clone, Default)]
pub struct Replica {
    era: u64,
    revision: u64,
    content_revision: u64,
    entries: IndexMap<Arc<str>, Entry>,
    /// See [`Checksum::hash`].
    hash: u32,
    tombstones: VecDeque<(u64, Arc<str>)>,
    /// Removals up to this revision may no longer be known.
    tombstones_from: u64,
    /// Revisions after which every removal that matters to a peer is known, in rising order.
    /// A complete read skips the keys that came and went since the last revision, so it
    /// starts another range; the last one ends at `revision`.
    covered: VecDeque<RangeInclusive<u64>>,
    configuration: Option<Arc<Configuration>>,
}

impl Replica {
    /// Revision of the store up to which this copy is complete; 0 before the first
    /// read.
    #[must_use]
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Position of the store up to which this copy is complete.
    #[must_use]
    pub fn position(&self) -> Position {
        Position {
            era: self.era,
            revision: self.revision,
        }
    }

    /// Position of the newest change in this copy. Unlike [`Self::position`], it does
    /// not advance with changes of keys that this copy leaves out.
    #[must_use]
    pub fn content_position(&self) -> Position {
        Position {
            era: self.era,
            revision: self.content_revision,
        }
    }

    /// Whether a delta is the first one after a restore of the store.
    #[must_use]
    pub fn is_restored_by(&self, delta: &Delta) -> bool {
        self.revision > 0 && delta.complete && delta.era > self.era
    }

    /// Revision of a key's record; `None` when there is none.
    #[must_use]
    pub fn revision_of(&self, key: &str) -> Option<u64> {
        self.entries.get(key).map(|entry| entry.revision)
    }

    /// Revision at which a key's record was last removed; `None` if it has a record or the
    /// removal is not known.
    #[must_use]
    pub fn removed_at(&self, key: &str) -> Option<u64> {
        if self.entries.contains_key(key) {
            return None;
        }
        let removals = self.tombstones.iter().filter(|(_, known)| **known == *key);
        removals.map(|(at, _)| *at).max()
    }

    /// Record of a key; `None` when there is none.
    #[must_use]
    pub fn record_of(&self, key: &str) -> Option<&Record> {
        Some(&self.entries.get(key)?.record)
    }

    /// The configuration in force; `None` before the first one.
    #[must_use]
    pub fn configuration(&self) -> Option<&Arc<Configuration>> {
        self.configuration.as_ref()
    }

    /// Applies changes up to `delta.revision` and returns their effects. Of an earlier era,
    /// only a newer configuration is taken; of a later one, only a complete delta.
    pub fn apply(&mut self, delta: Delta) -> Vec<Applied> {
        if delta.era < self.era {
            return self.apply_earlier_era(delta).into_iter().collect();
        }
        let starts_era = delta.era > self.era;
        if starts_era {
            if !delta.complete {
                return Vec::new();
            }
            self.start_era(&delta);
        }
        let mut applied = Vec::new();
        if delta.complete && (starts_era || delta.revision >= self.revision) {
            self.remove_missing(&delta, &mut applied);
        }
        let may_be_outdated = delta.complete && !starts_era && delta.revision <= self.revision;
        for change in delta.changes {
            self.content_revision = self.content_revision.max(change.revision);
            if may_be_outdated && self.is_removed_since(&change) {
                self.remove(change.key, self.revision);
            } else {
                applied.extend(self.apply_change(change));
            }
        }
        self.cover(delta.complete, delta.revision);
        self.revision = self.revision.max(delta.revision);
        applied
    }

    /// Records that removals are known up to `revision`.
    fn cover(&mut self, complete: bool, revision: u64) {
        if complete && revision > self.revision {
            self.covered.push_back(revision..=revision);
            if self.covered.len() > MAX_COVERED {
                self.covered.pop_front();
            }
            return;
        }
        match self.covered.back_mut() {
            Some(last) => *last = *last.start()..=revision.max(*last.end()),
            None => self.covered.push_back(0..=revision),
        }
    }

    /// Whether a record of a copy that is not newer is missing here: this copy is complete up
    /// to its revision, so the record was removed.
    fn is_removed_since(&self, change: &Change) -> bool {
        let is_configuration = matches!(change.record, Some(Record::Configuration(_)));
        change.record.is_some()
            && !is_configuration
            && change.revision <= self.revision
            && !self.entries.contains_key(&change.key)
            && self.removed_at(&change.key) < Some(change.revision)
    }

    /// Number of rows among the records that a peer at `position` lacks; a configuration has
    /// one for each route, service and account.
    #[must_use]
    pub fn rows_since(&self, position: Position) -> usize {
        let (_, from) = self.delta_start(position);
        let entries = self.entries.values().filter(|entry| entry.revision > from);
        let rows = entries.map(|entry| match &entry.record {
            Record::Configuration(configuration) => {
                let accounts = configuration.accounts.as_ref().map_or(0, Vec::len);
                configuration.routes.len() + configuration.services.len() + accounts
            }
            _ => 1,
        });
        rows.sum()
    }

    /// Whether a peer at `position` needs every record, and the revision after which it needs
    /// the changes.
    fn delta_start(&self, position: Position) -> (bool, u64) {
        let Position { era, revision } = position;
        let mut covered = self.covered.iter();
        let complete = era != self.era
            || revision == 0
            || revision < self.tombstones_from
            // The peer may be ahead of this copy; it then lacks nothing.
            || (revision <= self.revision && !covered.any(|range| range.contains(&revision)));
        (complete, if complete { 0 } else { revision })
    }

    /// The changes that a peer at `position` lacks.
    #[must_use]
    pub fn delta_since(&self, position: Position) -> Delta {
        let (complete, from) = self.delta_start(position);
        let records = self
            .entries
            .iter()
            .filter(|(_, entry)| entry.revision > from);
        let mut changes: Vec<Change> = records
            .map(|(key, entry)| Change {
                key: key.clone(),
                revision: entry.revision,
                record: Some(entry.record.clone()),
            })
            .collect();
        let tombstones = self.tombstones.iter().filter(|(at, _)| *at > from);
        changes.extend(tombstones.map(|(at, key)| Change {
            key: key.clone(),
            revision: *at,
            record: None,
        }));
        Delta {
            era: self.era,
            revision: self.revision,
            complete,
            changes,
        }
    }

    /// Makes every record replaceable by those of a complete delta of a later era. The
    /// configuration keeps its place in deltas to peers, unless the store has a newer one.
    fn start_era(&mut self, delta: &Delta) {
        self.era = delta.era;
        self.revision = 0;
        self.content_revision = 0;
        self.tombstones.clear();
        self.tombstones_from = 0;
        self.covered.clear();
        for entry in self.entries.values_mut() {
            entry.revision = match entry.record {
                Record::Configuration(_) => delta.revision,
                _ => 0,
            };
        }
        let hashes = self.entries.iter().map(|(key, entry)| entry.hash(key));
        self.hash = hashes.fold(0, |all, one| all ^ one);
    }

    fn insert(&mut self, key: &Arc<str>, entry: Entry) -> Option<Entry> {
        self.hash ^= entry.hash(key);
        let previous = self.entries.insert(key.clone(), entry)?;
        self.hash ^= previous.hash(key);
        Some(previous)
    }

    /// Takes a configuration of an earlier era if it is newer than the present one: the store
    /// lost it, and its writer will write it again.
    fn apply_earlier_era(&mut self, delta: Delta) -> Option<Applied> {
        delta.changes.into_iter().find_map(|change| {
            let Some(Record::Configuration(configuration)) = change.record else {
                return None;
            };
            self.apply_configuration(&change.key, self.revision, configuration)
        })
    }

    fn remove_missing(&mut self, delta: &Delta, applied: &mut Vec<Applied>) {
        // An old removal of a key says nothing of the record that followed it.
        let mut named: HashMap<&str, u64> = HashMap::new();
        for change in &delta.changes {
            let until = change.record.as_ref().map_or(change.revision, |_| u64::MAX);
            let known = named.entry(&change.key).or_default();
            *known = until.max(*known);
        }
        let is_named =
            |key: &str, entry: &Entry| named.get(key).is_some_and(|until| entry.revision <= *until);
        let missing: Vec<Arc<str>> = self
            .entries
            .iter()
            .filter(|(key, entry)| entry.revision <= delta.revision && !is_named(key, entry))
            .filter(|(_, entry)| !matches!(entry.record, Record::Configuration(_)))
            .map(|(key, _)| key.clone())
            .collect();
        for key in missing {
            applied.extend(self.remove(key, delta.revision));
        }
    }

    fn apply_change(&mut self, change: Change) -> Option<Applied> {
        if let Some(Record::Configuration(configuration)) = change.record {
            return self.apply_configuration(&change.key, change.revision, configuration);
        }
        if self
            .entries
            .get(&change.key)
            .is_some_and(|entry| entry.revision >= change.revision)
        {
            return None;
        }
        let already_removed = self
            .tombstones
            .iter()
            .any(|(at, key)| *key == change.key && *at >= change.revision);
        if already_removed {
            return None;
        }
        let Some(record) = change.record else {
            return self.remove(change.key, change.revision);
        };
        let entry = Entry {
            revision: change.revision,
            record: record.clone(),
        };
        let previous = self.insert(&change.key, entry);
        (previous.as_ref().map(|entry| &entry.record) != Some(&record))
            .then_some(Applied::Put(change.key, record))
    }

    /// Configurations are ordered by their versions: a restored store may have an older one
    /// at a higher revision, which peers must not get from here either.
    fn apply_configuration(
        &mut self,
        key: &Arc<str>,
        revision: u64,
        configuration: Arc<Configuration>,
    ) -> Option<Applied> {
        let present = self.configuration.as_ref();
        let order = present.map(|present| configuration.version.cmp(&present.version));
        if order == Some(Ordering::Less) {
            return None;
        }
        // One of a peer of an earlier release lacks the accounts.
        let completes = present.is_some_and(|present| present.accounts.is_none())
            && configuration.accounts.is_some();
        if order == Some(Ordering::Equal)
            && configuration.accounts.is_none()
            && present.is_some_and(|present| present.accounts.is_some())
        {
            return None;
        }
        let known_revision = self.revision_of(key).unwrap_or_default();
        let entry = Entry {
            revision: known_revision.max(revision),
            record: Record::Configuration(configuration.clone()),
        };
        self.insert(key, entry);
        (order != Some(Ordering::Equal) || completes).then(|| {
            self.configuration = Some(configuration.clone());
            Applied::Configuration(configuration)
        })
    }

    /// Removes a record. The configuration stays, so that peers still get it from here.
    fn remove(&mut self, key: Arc<str>, revision: u64) -> Option<Applied> {
        let present = self.entries.get(&key).map(|entry| &entry.record);
        if matches!(present, Some(Record::Configuration(_))) {
            return None;
        }
        // A removal that a complete read shows is in none of its changes.
        self.content_revision = self.content_revision.max(revision);
        self.tombstones.push_back((revision, key.clone()));
        while self.tombstones.len() > MAX_TOMBSTONES {
            if let Some((at, _)) = self.tombstones.pop_front() {
                self.tombstones_from = self.tombstones_from.max(at);
            }
        }
        let entry = self.entries.swap_remove(&key)?;
        self.hash ^= entry.hash(&key);
        Some(Applied::Removed(key, entry.record))
    }
}

#[cfg(test)]
mod tests;
