//! Reads, confirms and writes the configuration in the store.

use bytes::Bytes;

use super::document::{DocumentHash, Documents};
use super::manifest::Manifest;
use crate::platform::store::{Compare, RangeReq, RangeResp, Store, StoreError, Txn, Write};

/// Key of the manifest.
pub(crate) const CONFIG_KEY: &str = "/wagtailsaddle/config";
/// Prefix of the documents' keys. It lies outside the keys that instances watch.
const DOCUMENT_PREFIX: &str = "/wagtailsaddle-documents/";
/// Maximum total size of the documents that one transaction writes; a larger document is written
/// alone.
const MAX_TXN_BYTES: usize = 512 << 10;
/// Maximum number of document writes, and of deletions, in one transaction.
const MAX_TXN_WRITES: usize = 64;

/// The manifest as read from the store.
#[derive(Debug, Clone, Default, PartialEq)]
pub(crate) struct StoredManifest {
    pub(crate) manifest: Manifest,
    /// Revision of the key's last change, zero when the key does not exist.
    pub(crate) mod_revision: i64,
    /// Store revision at the time of the read.
    pub(crate) store_revision: i64,
}

/// Decodes a manifest from the value of its key.
pub(crate) fn decode(value: &Bytes) -> Result<Manifest, StoreError> {
    serde_json::from_slice(value).map_err(|err| StoreError::Refused(err.to_string()))
}

/// Reads the manifest. The read may return stale data.
pub(crate) async fn read_manifest(store: &Store) -> Result<StoredManifest, StoreError> {
    let resp = get(store, CONFIG_KEY.to_owned()).await?;
    let mut stored = StoredManifest {
        store_revision: resp.store_revision,
        ..StoredManifest::default()
    };
    if let Some(entry) = resp.entries.first() {
        stored.manifest = decode(&entry.value)?;
        stored.mod_revision = entry.mod_revision;
    }
    Ok(stored)
}

/// Returns whether a read shows the key's current state. Unlike a read, a comparison in a
/// transaction is never answered from stale data.
pub(crate) async fn is_current(store: &Store, read: &StoredManifest) -> Result<bool, StoreError> {
    let txn = Txn {
        compare: vec![compare(read.mod_revision)],
        writes: Vec::new(),
    };
    Ok((store.txn)(txn).await?.succeeded)
}

/// Reads one document's text; `None` when the store does not have it or it is not UTF-8.
pub(crate) async fn read_document(
    store: &Store,
    hash: &DocumentHash,
) -> Result<Option<String>, StoreError> {
    let resp = get(store, document_key(hash)).await?;
    let entry = resp.entries.into_iter().next();
    Ok(entry.and_then(|entry| String::from_utf8(entry.value.to_vec()).ok()))
}

/// Replaces the manifest whose key was read at `base_mod_revision`; returns false when another
/// change came first.
///
/// The manifest is written together with the last batch of documents. Earlier batches are
/// written before it, in transactions of their own.
pub(crate) async fn write_manifest(
    store: &Store,
    base_mod_revision: i64,
    manifest: &Manifest,
    added: &Documents,
    unused: &[DocumentHash],
) -> Result<bool, StoreError> {
    let mut batches = batches(added);
    let last_batch = batches.pop().unwrap_or_default();
    for writes in batches {
        let compare = Vec::new();
        (store.txn)(Txn { compare, writes }).await?;
    }
    let value = serde_json::to_vec(manifest).map_err(|err| StoreError::Refused(err.to_string()))?;
    let mut writes = last_batch;
    writes.push(Write::Put {
        key: CONFIG_KEY.to_owned(),
        value: Bytes::from(value),
        lease: None,
    });
    writes.extend(
        unused
            .iter()
            .take(MAX_TXN_WRITES)
            .map(|hash| Write::Delete {
                key: document_key(hash),
            }),
    );
    let compare = vec![compare(base_mod_revision)];
    Ok((store.txn)(Txn { compare, writes }).await?.succeeded)
}

/// Splits the writes of documents into batches that fit into one transaction each. There is
/// always at least one batch, which may be empty.
fn batches(documents: &Documents) -> Vec<Vec<Write>> {
    let mut batches = Vec::new();
    let mut batch = Vec::new();
    let mut bytes = 0;
    for (hash, text) in documents {
        let full = bytes + text.len() > MAX_TXN_BYTES || batch.len() == MAX_TXN_WRITES;
        if full && !batch.is_empty() {
            batches.push(std::mem::take(&mut batch));
            bytes = 0;
        }
        bytes += text.len();
        batch.push(Write::Put {
            key: document_key(hash),
            value: Bytes::copy_from_slice(text.as_bytes()),
            lease: None,
        });
    }
    batches.push(batch);
    batches
}

async fn get(store: &Store, key: String) -> Result<RangeResp, StoreError> {
    (store.range)(RangeReq { key, prefix: false }).await
}

fn compare(mod_revision: i64) -> Compare {
    Compare {
        key: CONFIG_KEY.to_owned(),
        mod_revision,
    }
}

fn document_key(hash: &DocumentHash) -> String {
    format!("{DOCUMENT_PREFIX}{}", hash.as_str())
}
