//! Fetches documents by their hash: from peers, those of the same zone first, and then from the
//! store.

use std::net::SocketAddr;
use std::time::Duration;

use super::document::{self, DocumentError, DocumentHash, Documents};
use super::peers::{self, DocumentReq, DocumentResp};
use super::stored;
use crate::instance::Instance;
use crate::platform::store::StoreError;

/// Maximum number of peers that are tried before the store.
const MAX_PEERS: usize = 3;
/// Maximum number of documents in one request to a peer.
const DOCUMENTS_PER_REQUEST: usize = 16;
/// Wait before a read that exceeded the budget of store calls is retried.
const BUDGET_RETRY_DELAY: Duration = Duration::from_millis(100);
/// Retries of such a read before the fetch fails.
const MAX_BUDGET_RETRIES: usize = 100;

/// Fetches every document of `wanted`; `first` is tried before other peers.
pub(crate) async fn documents(
    instance: &Instance,
    wanted: &[DocumentHash],
    first: Option<SocketAddr>,
) -> Result<Documents, DocumentError> {
    let mut found = Documents::new();
    if instance.tables.settings.config.peer_fetch {
        let addresses = peers::peer_addresses(instance);
        let others = addresses
            .into_iter()
            .filter(|address| Some(*address) != first);
        for address in first.into_iter().chain(others).take(MAX_PEERS) {
            fetch_from_peer(instance, address, wanted, &mut found).await;
        }
    }
    for hash in wanted {
        if !found.contains_key(hash) {
            let text = fetch_from_store(instance, hash).await?;
            found.insert(hash.clone(), text.into());
        }
    }
    Ok(found)
}

/// Adds the documents of `wanted` that the peer has to `found`, in requests of limited size.
/// Stops at the first response without a new valid document.
async fn fetch_from_peer(
    instance: &Instance,
    address: SocketAddr,
    wanted: &[DocumentHash],
    found: &mut Documents,
) {
    loop {
        let is_missing = |hash: &&DocumentHash| !found.contains_key(*hash);
        let hashes: Vec<_> = wanted
            .iter()
            .filter(is_missing)
            .take(DOCUMENTS_PER_REQUEST)
            .cloned()
            .collect();
        if hashes.is_empty() {
            return;
        }
        let msg = DocumentReq { hashes };
        let resp = peers::call(instance, address, "document_fetch", &msg).await;
        let Some(DocumentResp { texts }) = resp else {
            return;
        };
        let found_before = found.len();
        for text in texts {
            let hash = document::hash_of(&text);
            if msg.hashes.contains(&hash) && document::verify(&hash, &text).is_ok() {
                found.insert(hash, text.into());
            }
        }
        if found.len() == found_before {
            return;
        }
    }
}

/// Reads one document from the store and verifies it.
async fn fetch_from_store(
    instance: &Instance,
    hash: &DocumentHash,
) -> Result<String, DocumentError> {
    let mut read = stored::read_document(&instance.config_store, hash).await;
    for _ in 0..MAX_BUDGET_RETRIES {
        if read != Err(StoreError::OverBudget) {
            break;
        }
        tokio::time::sleep(BUDGET_RETRY_DELAY).await;
        read = stored::read_document(&instance.config_store, hash).await;
    }
    let text = read
        .ok()
        .flatten()
        .ok_or_else(|| DocumentError::Missing(hash.clone()))?;
    document::verify(hash, &text)?;
    Ok(text)
}
