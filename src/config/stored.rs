//! The configuration in the store: reading, confirming and writing it.

use bytes::Bytes;

use super::document::{DocumentHash, Documents};
use super::manifest::Manifest;
use crate::platform::store::{Compare, RangeReq, RangeResp, Store, StoreError, Txn, Write};

/// Key of the manifest.
pub(crate) const CONFIG_KEY: &str = "/wagtailsaddle/config";
/// Prefix of the documents' keys; it is outside of what instances watch.
const DOCUMENT_PREFIX: &str = "/wagtailsaddle-documents/";
/// Bytes of documents that one transaction writes, at most.
const TXN_BYTES: usize = 512 << 10;
/// Writes of one transaction, at most.
const TXN_WRITES: usize = 64;

/// The manifest as the store showed it.
#[derive(Debug, Clone, Default, PartialEq)]
pub(crate) struct Stored {
    pub(crate) manifest: Manifest,
    /// The store's revision of the key, zero when there is none.
    pub(crate) mod_revision: i64,
    /// The store's revision at the time of the read.
    pub(crate) store_revision: i64,
}

/// Reads a manifest from the value of its key.
pub(crate) fn decode(value: &Bytes) -> Result<Manifest, StoreError> {
    serde_json::from_slice(value).map_err(|err| StoreError::Refused(err.to_string()))
}

/// Reads the manifest; what the store shows may be old.
pub(crate) async fn read(store: &Store) -> Result<Stored, StoreError> {
    let resp = get(store, CONFIG_KEY.to_owned()).await?;
    let mut stored = Stored {
        store_revision: resp.store_revision,
        ..Stored::default()
    };
    if let Some(entry) = resp.entries.first() {
        stored.manifest = decode(&entry.value)?;
        stored.mod_revision = entry.mod_revision;
    }
    Ok(stored)
}

/// Whether a read shows the key's present state. A comparison can't be answered
/// from old data, as a read can.
pub(crate) async fn is_present(store: &Store, read: &Stored) -> Result<bool, StoreError> {
    let txn = Txn {
        compare: vec![compare(read.mod_revision)],
        writes: Vec::new(),
    };
    Ok((store.txn)(txn).await?.succeeded)
}

/// Reads one document's text.
pub(crate) async fn read_document(
    store: &Store,
    hash: &DocumentHash,
) -> Result<Option<String>, StoreError> {
    let resp = get(store, document_key(hash)).await?;
    let entry = resp.entries.into_iter().next();
    Ok(entry.and_then(|entry| String::from_utf8(entry.value.to_vec()).ok()))
}

/// Writes a manifest over the one read at `over`; false when another change
/// came first. Documents that fit go into the same transaction, a bulk ahead of it.
pub(crate) async fn write(
    store: &Store,
    over: i64,
    manifest: &Manifest,
    added: &Documents,
    unused: &[DocumentHash],
) -> Result<bool, StoreError> {
    let mut batches = batches(added);
    let last = batches.pop().unwrap_or_default();
    for writes in batches {
        let compare = Vec::new();
        (store.txn)(Txn { compare, writes }).await?;
    }
    let value = serde_json::to_vec(manifest).map_err(|err| StoreError::Refused(err.to_string()))?;
    let mut writes = last;
    writes.push(Write::Put {
        key: CONFIG_KEY.to_owned(),
        value: Bytes::from(value),
        lease: None,
    });
    writes.extend(unused.iter().take(TXN_WRITES).map(|hash| Write::Delete {
        key: document_key(hash),
    }));
    let compare = vec![compare(over)];
    Ok((store.txn)(Txn { compare, writes }).await?.succeeded)
}

fn batches(documents: &Documents) -> Vec<Vec<Write>> {
    let mut batches = Vec::new();
    let mut batch = Vec::new();
    let mut bytes = 0;
    for (hash, text) in documents {
        let full = bytes + text.len() > TXN_BYTES || batch.len() == TXN_WRITES;
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
