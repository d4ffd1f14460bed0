//! Interface to the key-value store, independent of its protocol.
//!
//! [`Store`] holds one function per operation. To use another key-value service,
//! replace [`super::etcd`]: nothing else in this crate depends on the wire format.

use std::fmt;
use std::future::Future;
use std::pin::Pin;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use derive_more::{Display, Error};
use tokio::sync::mpsc;

use super::budget::WatchGuard;

/// Boxed future that is [`Send`], as [`StoreFn`] returns it.
pub type BoxFuture<T> = Pin<Box<dyn Future<Output = T> + Send>>;

/// One operation of the store, with its request type and its result type.
pub type StoreFn<A, R> = Arc<dyn Fn(A) -> BoxFuture<Result<R, StoreError>> + Send + Sync>;

/// Operations that this crate needs from a key-value service.
#[derive(Clone)]
pub struct Store {
    /// Reads one key, or all keys with a prefix.
    pub range: StoreFn<RangeReq, RangeResp>,
    /// Writes if every comparison holds.
    pub txn: StoreFn<Txn, TxnResp>,
    /// Creates a lease with a time to live.
    pub grant: StoreFn<Duration, LeaseId>,
    /// Renews a lease and returns its time to live.
    pub keep_alive: StoreFn<LeaseId, Duration>,
    /// Ends a lease and deletes the keys attached to it.
    pub revoke: StoreFn<LeaseId, ()>,
    /// Streams the changes of one key, or of all keys with a prefix.
    pub watch: StoreFn<WatchReq, Watch>,
}

impl fmt::Debug for Store {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Store")
    }
}

/// Identifier of a lease, assigned by the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display)]
pub struct LeaseId(pub i64);

/// Which keys to read.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RangeReq {
    /// The key, or the prefix of the keys.
    pub key: String,
    /// Whether all keys that start with `key` are meant.
    pub prefix: bool,
}

/// Which keys to watch, and since when.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WatchReq {
    /// The key, or the prefix of the keys.
    pub key: String,
    /// Whether all keys that start with `key` are meant.
    pub prefix: bool,
    /// Store revision of the first change to deliver.
    pub start_revision: i64,
}

/// Stream of the changes of watched keys; dropping it ends the watch.
#[derive(Debug)]
pub struct Watch {
    rx: mpsc::Receiver<Result<WatchBatch, StoreError>>,
    guard: Option<WatchGuard>,
}

impl Watch {
    /// Creates a watch that yields what the other end of the channel sends.
    #[must_use]
    pub fn new(rx: mpsc::Receiver<Result<WatchBatch, StoreError>>) -> Self {
        Self { rx, guard: None }
    }

    /// Attaches a guard that is dropped when the watch ends.
    #[must_use]
    pub(crate) fn with_guard(mut self, guard: WatchGuard) -> Self {
        self.guard = Some(guard);
        self
    }

    /// Waits for the next batch; `None` once the watch has ended.
    pub async fn next(&mut self) -> Option<Result<WatchBatch, StoreError>> {
        self.rx.recv().await
    }
}

/// Changes that the store sent in one message.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct WatchBatch {
    /// Store revision at which the batch was sent.
    pub store_revision: i64,
    /// The changes; empty for a progress notification.
    pub changes: Vec<Change>,
}

/// A write or a deletion of a watched key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Change {
    /// The key was written.
    Put(Entry),
    /// The key was deleted, by a write or because its lease ended.
    Delete {
        /// Deleted key.
        key: String,
        /// Store revision of the deletion.
        mod_revision: i64,
    },
}

impl Change {
    /// Returns the key that changed.
    #[must_use]
    pub fn key(&self) -> &str {
        match self {
            Self::Put(entry) => &entry.key,
            Self::Delete { key, .. } => key,
        }
    }

    /// Returns the store revision of the change.
    #[must_use]
    pub fn mod_revision(&self) -> i64 {
        match self {
            Self::Put(entry) => entry.mod_revision,
            Self::Delete { mod_revision, .. } => *mod_revision,
        }
    }
}

/// Result of a read: the entries under the requested keys.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct RangeResp {
    /// Store revision at the time of the read.
    pub store_revision: i64,
    /// Entries found, ordered by key.
    pub entries: Vec<Entry>,
}

/// A key with its value and metadata.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Entry {
    /// Full key, its prefix included.
    pub key: String,
    /// Value as it is stored.
    pub value: Bytes,
    /// Store revision of the last change of the key.
    pub mod_revision: i64,
    /// Lease that the key is attached to, if any.
    pub lease: Option<LeaseId>,
}

/// Compare-and-swap: the writes take effect if every comparison holds.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Txn {
    /// Comparisons, all of which must hold.
    pub compare: Vec<Compare>,
    /// Writes to make if they hold.
    pub writes: Vec<Write>,
}

/// Requires that the last change of a key has a given revision.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Compare {
    /// Key to compare.
    pub key: String,
    /// Expected revision of its last change; zero if the key must not exist.
    pub mod_revision: i64,
}

/// One write of a [`Txn`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Write {
    /// Sets a key.
    Put {
        /// Key to write.
        key: String,
        /// New value.
        value: Bytes,
        /// Lease to attach the key to, if any.
        lease: Option<LeaseId>,
    },
    /// Deletes a key.
    Delete {
        /// Key to delete.
        key: String,
    },
}

/// Outcome of a [`Txn`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TxnResp {
    /// Whether the comparisons held and the writes took effect.
    pub succeeded: bool,
    /// Store revision after the transaction.
    pub store_revision: i64,
}

/// Why a call to the store failed.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
pub enum StoreError {
    /// The store could not be reached; nothing was sent.
    #[display("the store can't be reached: {_0}")]
    Unreachable(#[error(not(source))] String),
    /// The call was sent but no valid response arrived; a write may have taken effect.
    #[display("no answer from the store: {_0}")]
    OutcomeUnknown(#[error(not(source))] String),
    /// The store refused the call.
    #[display("the store refused: {_0}")]
    Refused(#[error(not(source))] String),
    /// The lease has expired or was revoked.
    #[display("the lease is gone")]
    LeaseExpired,
    /// The requested changes are compacted; the keys must be read again.
    #[display("the store no longer keeps changes before revision {_0}")]
    Compacted(#[error(not(source))] i64),
    /// The budget of store calls of this instance is used up; nothing was sent.
    #[display("this instance's budget of store calls is used up")]
    OverBudget,
}
