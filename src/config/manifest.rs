//! The manifest: the record of one accepted configuration, stored under a single key.

use indexmap::IndexSet;

use super::document::DocumentHash;
use crate::macros::{data, name_type};
use crate::names::InstanceId;
use crate::resource::Revision;

/// Earlier revisions that a manifest lists.
const KEPT_REVISIONS: usize = 16;

name_type! {
    /// Identifier of one write; a later read finds it when a write whose response was lost took
    /// effect.
    OperationId
}

data! {
    /// One accepted configuration.
    pub(crate) struct Manifest {
        /// Number of the configuration, one above that of its predecessor.
        pub(crate) revision: Revision,
        /// Write that created this revision.
        pub(crate) operation: OperationId,
        /// Instance that accepted the change and therefore holds its documents.
        pub(crate) origin: InstanceId,
        /// Hashes of the documents that together contain every resource.
        pub(crate) documents: Vec<DocumentHash>,
        /// Latest earlier revisions, oldest first.
        pub(crate) recent: Vec<PastRevision>,
    }

    /// An earlier revision, as a later manifest lists it.
    pub(crate) struct PastRevision {
        /// Number of the earlier configuration.
        pub(crate) revision: Revision,
        /// Write that created it.
        pub(crate) operation: OperationId,
        /// Documents of it that its successor no longer contained.
        pub(crate) replaced: Vec<DocumentHash>,
    }
}

impl Default for Manifest {
    fn default() -> Self {
        Self {
            revision: Revision::default(),
            operation: "".into(),
            origin: "".into(),
            documents: Vec::new(),
            recent: Vec::new(),
        }
    }
}

impl Manifest {
    /// Returns the manifest of the next revision, and the documents that neither it nor a
    /// listed earlier revision refers to any more.
    pub(crate) fn next(
        &self,
        operation: OperationId,
        origin: InstanceId,
        documents: Vec<DocumentHash>,
    ) -> (Self, Vec<DocumentHash>) {
        let retained: IndexSet<&DocumentHash> = documents.iter().collect();
        let replaced = self
            .documents
            .iter()
            .filter(|hash| !retained.contains(hash));
        let mut recent = self.recent.clone();
        recent.push(PastRevision {
            revision: self.revision,
            operation: self.operation.clone(),
            replaced: replaced.cloned().collect(),
        });
        let surplus = recent.len().saturating_sub(KEPT_REVISIONS);
        let dropped: Vec<PastRevision> = recent.drain(..surplus).collect();
        let unused = dropped
            .into_iter()
            .flat_map(|past| past.replaced)
            .filter(|hash| {
                let referenced = recent.iter().any(|past| past.replaced.contains(hash));
                !retained.contains(hash) && !referenced
            })
            .collect();
        let next = Self {
            revision: Revision(self.revision.0 + 1),
            operation,
            origin,
            documents,
            recent,
        };
        (next, unused)
    }

    /// Returns whether the write `operation` created this revision or a listed earlier one.
    pub(crate) fn includes_operation(&self, operation: &OperationId) -> bool {
        self.operation == *operation || self.recent.iter().any(|past| past.operation == *operation)
    }
}

/// Rules that protect the configuration. Tests switch one off to show that its violation is
/// detected.
#[derive(Debug, Clone, Copy)]
pub(crate) struct ConfigRules {
    /// Whether an instance adopts only higher revisions than the one in force.
    pub(crate) monotonic: bool,
    /// Whether a write whose response was lost counts as not accepted only once a read shows a
    /// later change of the key.
    pub(crate) settle_by_read: bool,
}

impl Default for ConfigRules {
    fn default() -> Self {
        Self {
            monotonic: true,
            settle_by_read: true,
        }
    }
}

/// Returns whether an instance at revision `in_force` adopts revision `offered`. The rule is
/// the same for revisions from the store and from peers.
pub(crate) fn may_adopt(in_force: Revision, offered: Revision, rules: ConfigRules) -> bool {
    offered > in_force || (!rules.monotonic && offered != in_force)
}

/// Outcome of a write whose response was lost, as far as a later read shows it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum WriteOutcome {
    /// The write took effect.
    Accepted,
    /// Another change came first, so the write can no longer take effect.
    Superseded,
    /// The read does not show the outcome; the same write is sent again.
    Unknown,
}

/// Determines the outcome of a write from a later read of the key.
///
/// The write compares the key's revision with `base_mod_revision` and can take effect only
/// while the key is still at that revision.
pub(crate) fn settle(
    operation: &OperationId,
    base_mod_revision: i64,
    read: &Manifest,
    read_mod_revision: i64,
    rules: ConfigRules,
) -> WriteOutcome {
    if read.includes_operation(operation) {
        return WriteOutcome::Accepted;
    }
    if read_mod_revision > base_mod_revision || !rules.settle_by_read {
        return WriteOutcome::Superseded;
    }
    WriteOutcome::Unknown
}

#[cfg(test)]
mod tests;
