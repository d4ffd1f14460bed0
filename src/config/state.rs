//! The configuration in force on one instance, and the documents it consists of.

use std::collections::VecDeque;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use indexmap::IndexSet;
use tokio::sync::watch;

use super::document::{self, DocumentError, DocumentHash, Documents};
use super::manifest::{ConfigRules, Manifest, may_adopt};
use crate::resource::{ResourceSet, Revision};
use crate::tables::Tables;

/// Number of configurations kept, from which an operator's watch may start.
const MAX_HISTORY: usize = 32;
/// Maximum number of manifests whose documents are fetched at the same time.
const MAX_FETCHES: usize = 4;

/// The configuration in force, shared by all threads.
///
/// Lock order: its lock is taken before those of [`Tables`].
#[derive(Debug)]
pub(crate) struct ConfigState {
    inner: Mutex<Inner>,
    revision: watch::Sender<Revision>,
}

#[derive(Debug, Default)]
struct Inner {
    manifest: Manifest,
    documents: Documents,
    history: VecDeque<Arc<ResourceSet>>,
    fetching: IndexSet<Revision>,
    problem: Option<String>,
}

/// Marks a manifest as being fetched until it is dropped.
pub(crate) struct FetchGuard<'a> {
    config: &'a ConfigState,
    revision: Revision,
}

impl Drop for FetchGuard<'_> {
    fn drop(&mut self) {
        self.config.lock().fetching.swap_remove(&self.revision);
    }
}

impl Default for ConfigState {
    fn default() -> Self {
        Self {
            inner: Mutex::default(),
            revision: watch::Sender::new(Revision::default()),
        }
    }
}

impl ConfigState {
    /// Returns the revision in force.
    pub(crate) fn revision(&self) -> Revision {
        *self.revision.borrow()
    }

    /// Returns a receiver that is notified when the revision in force changes.
    pub(crate) fn subscribe(&self) -> watch::Receiver<Revision> {
        self.revision.subscribe()
    }

    /// Returns the manifest in force.
    pub(crate) fn manifest(&self) -> Manifest {
        self.lock().manifest.clone()
    }

    /// Returns the configuration at `revision`, if it is still in the history.
    pub(crate) fn at(&self, revision: Revision) -> Option<Arc<ResourceSet>> {
        let inner = self.lock();
        inner
            .history
            .iter()
            .find(|set| set.revision == revision)
            .cloned()
    }

    /// Returns the documents of the configuration in force.
    pub(crate) fn documents(&self) -> Documents {
        self.lock().documents.clone()
    }

    /// Returns one document's text, if the configuration in force contains it.
    pub(crate) fn document(&self, hash: &DocumentHash) -> Option<Arc<str>> {
        self.lock().documents.get(hash).cloned()
    }

    /// Returns the documents of a manifest that the configuration in force does not contain.
    pub(crate) fn missing_documents(&self, manifest: &Manifest) -> Vec<DocumentHash> {
        let inner = self.lock();
        let is_missing = |hash: &&DocumentHash| !inner.documents.contains_key(*hash);
        manifest
            .documents
            .iter()
            .filter(is_missing)
            .cloned()
            .collect()
    }

    /// Marks a manifest as being fetched; `None` when it is not newer than the one in force, is
    /// being fetched already, or the limit of concurrent fetches is reached.
    pub(crate) fn begin_fetch(&self, revision: Revision) -> Option<FetchGuard<'_>> {
        let mut inner = self.lock();
        let newer = revision > inner.manifest.revision;
        if !newer || inner.fetching.len() >= MAX_FETCHES || !inner.fetching.insert(revision) {
            return None;
        }
        Some(FetchGuard {
            config: self,
            revision,
        })
    }

    /// Puts a manifest in force when it is newer than the present one; returns whether it did.
    /// `fetched` holds the documents that the configuration in force does not contain.
    pub(crate) fn adopt(
        &self,
        tables: &Tables,
        manifest: &Manifest,
        fetched: Documents,
    ) -> Result<bool, DocumentError> {
        let mut inner = self.lock();
        let in_force = inner.manifest.revision;
        if !may_adopt(in_force, manifest.revision, ConfigRules::default()) {
            return Ok(false);
        }
        let mut documents = fetched;
        for hash in &manifest.documents {
            if let Some(text) = inner.documents.get(hash) {
                documents.insert(hash.clone(), Arc::clone(text));
            }
        }
        let set = document::join(manifest.revision, &manifest.documents, &documents)?;
        let used: IndexSet<&DocumentHash> = manifest.documents.iter().collect();
        documents.retain(|hash, _| used.contains(hash));
        inner.manifest = manifest.clone();
        inner.documents = documents;
        inner.problem = None;
        tables.adopt_config(set);
        inner.history.push_back(tables.config());
        if inner.history.len() > MAX_HISTORY {
            inner.history.pop_front();
        }
        self.revision.send_replace(manifest.revision);
        Ok(true)
    }

    /// Returns why the latest attempt to get a configuration failed; `None` once one succeeded.
    pub(crate) fn problem(&self) -> Option<String> {
        self.lock().problem.clone()
    }

    /// Records why an attempt to get a configuration failed.
    pub(crate) fn set_problem(&self, problem: String) {
        self.lock().problem = Some(problem);
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
