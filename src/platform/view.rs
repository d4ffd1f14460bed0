//! Local view of a range of keys, built from reads and a watch.
//!
//! Reads may be stale, and a watch may deliver a change twice or out of order.
//! Therefore a key only moves to a higher revision, and a read that is older than
//! the view is ignored.

use indexmap::IndexMap;

use super::store::{Change, Entry, RangeResp, WatchBatch};

/// Store revisions that a resumed watch goes back, so that a change delivered out of
/// order just before the watch broke is delivered again.
const RESUME_OVERLAP: i64 = 64;

/// Last known state of one key.
#[derive(Debug, Clone, PartialEq, Eq)]
struct Known {
    mod_revision: i64,
    /// `None` once the key is deleted.
    entry: Option<Entry>,
}

/// Switches for the checks that keep a [`View`] from going back; tests turn them off.
#[derive(Debug, Clone, Copy)]
pub struct ViewRules {
    /// Ignores a read that is older than the view.
    pub refuse_stale_reads: bool,
    /// Drops a change that is older than the known state of its key.
    pub refuse_old_changes: bool,
}

impl Default for ViewRules {
    fn default() -> Self {
        Self {
            refuse_stale_reads: true,
            refuse_old_changes: true,
        }
    }
}

/// Entries of a range of keys at the latest known revision.
#[derive(Debug, Clone, Default)]
pub struct View {
    rules: ViewRules,
    revision: i64,
    /// Store revision of the last read, which includes all changes up to it.
    read_revision: i64,
    keys: IndexMap<String, Known>,
}

impl View {
    /// Creates an empty view.
    #[must_use]
    pub fn new(rules: ViewRules) -> Self {
        Self {
            rules,
            ..Self::default()
        }
    }

    /// Returns the highest store revision seen so far.
    #[must_use]
    pub fn revision(&self) -> i64 {
        self.revision
    }

    /// Returns the revision from which to resume a watch.
    #[must_use]
    pub fn resume_from(&self) -> i64 {
        (self.revision - RESUME_OVERLAP).max(1)
    }

    /// Returns the entries whose keys start with `prefix`.
    pub fn entries(&self, prefix: &str) -> impl Iterator<Item = &Entry> {
        self.keys
            .iter()
            .filter(move |(key, _)| key.starts_with(prefix))
            .filter_map(|(_, known)| known.entry.as_ref())
    }

    /// Returns the entry of `key`, or `None` if it is unknown or deleted.
    #[must_use]
    pub fn get(&self, key: &str) -> Option<&Entry> {
        self.keys.get(key)?.entry.as_ref()
    }

    /// Replaces the view by a read of the whole range. Returns false if the read was
    /// stale and therefore ignored.
    pub fn apply_read(&mut self, resp: RangeResp) -> bool {
        if self.rules.refuse_stale_reads && resp.store_revision < self.revision {
            return false;
        }
        self.revision = self.revision.max(resp.store_revision);
        self.read_revision = resp.store_revision;
        self.keys.clear();
        for entry in resp.entries {
            let known = Known {
                mod_revision: entry.mod_revision,
                entry: Some(entry.clone()),
            };
            self.keys.insert(entry.key, known);
        }
        true
    }

    /// Applies a batch from a watch and returns the changes that took effect.
    pub fn apply_batch(&mut self, batch: WatchBatch) -> Vec<Change> {
        let applied: Vec<Change> = batch
            .changes
            .into_iter()
            .filter(|change| self.apply_change(change))
            .collect();
        self.revision = self.revision.max(batch.store_revision);
        applied
    }

    /// Clears the view, for a store that has lost its data.
    pub fn reset(&mut self) {
        self.revision = 0;
        self.read_revision = 0;
        self.keys.clear();
    }

    fn apply_change(&mut self, change: &Change) -> bool {
        let mod_revision = change.mod_revision();
        let known = self
            .keys
            .get(change.key())
            .map_or(0, |known| known.mod_revision)
            .max(self.read_revision);
        if self.rules.refuse_old_changes && mod_revision <= known {
            return false;
        }
        let entry = match change {
            Change::Put(entry) => Some(entry.clone()),
            Change::Delete { .. } => None,
        };
        let known = Known {
            mod_revision,
            entry,
        };
        self.keys.insert(change.key().to_owned(), known);
        self.revision = self.revision.max(mod_revision);
        true
    }
}

#[cfg(test)]
mod tests;
