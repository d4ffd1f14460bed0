//! Messages between instances about the configuration, their handlers and the calls.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use rand::seq::SliceRandom;
use serde::Serialize;
use serde::de::DeserializeOwned;

use super::document::DocumentHash;
use super::manifest::Manifest;
use super::propagation;
use crate::instance::Instance;
use crate::macros::data;
use crate::resource::Revision;

/// Timeout of one call to a peer.
const PEER_TIMEOUT: Duration = Duration::from_millis(500);
/// Documents in one response, in bytes, unless a single one is larger: a quarter of what a
/// link of 10 Mbit/s carries within [`PEER_TIMEOUT`].
const MAX_RESPONSE_BYTES: usize = 150 << 10;

data! {
    /// Notifies a peer of the manifest in force on the sender.
    pub(crate) struct ConfigNotice {
        /// Peer address of the sender, from which the documents can be fetched.
        pub(crate) from: SocketAddr,
        /// Manifest in force on the sender.
        pub(crate) manifest: Manifest,
    }

    /// Requests a peer's manifest.
    pub(crate) struct ManifestReq {
        /// Revision in force on the requester; only a manifest above it is returned.
        pub(crate) above: Revision,
    }

    /// A peer's revision, and its manifest when it is newer than requested.
    pub(crate) struct ManifestResp {
        /// Revision in force on the peer.
        pub(crate) revision: Revision,
        /// Manifest in force on the peer, when its revision is above the requested one.
        pub(crate) manifest: Option<Manifest>,
    }

    /// Requests documents from a peer.
    pub(crate) struct DocumentReq {
        /// Hashes of the requested documents.
        pub(crate) hashes: Vec<DocumentHash>,
    }

    /// The requested documents that the peer has, up to a size limit.
    pub(crate) struct DocumentResp {
        /// Texts of the documents, in the order of the request.
        pub(crate) texts: Vec<String>,
    }
}

/// Handles [`ConfigNotice`]: returns the revision in force and fetches the documents in the
/// background.
pub(crate) fn handle_notice(instance: &Arc<Instance>, msg: ConfigNotice) -> Revision {
    let shared = Arc::clone(instance);
    instance.rt.spawn(async move {
        propagation::fetch_and_adopt(&shared, msg.manifest, Some(msg.from)).await;
    });
    instance.config.revision()
}

/// Handles [`ManifestReq`].
pub(crate) fn handle_manifest_request(instance: &Instance, msg: &ManifestReq) -> ManifestResp {
    let manifest = instance.config.manifest();
    ManifestResp {
        revision: manifest.revision,
        manifest: (manifest.revision > msg.above).then_some(manifest),
    }
}

/// Handles [`DocumentReq`].
pub(crate) fn handle_document_request(instance: &Instance, msg: &DocumentReq) -> DocumentResp {
    let documents = msg.hashes.iter();
    let documents = documents.filter_map(|hash| instance.config.document(hash));
    DocumentResp {
        texts: first_texts(documents),
    }
}

/// The first of the documents that fit into one response; at least one.
fn first_texts(documents: impl Iterator<Item = Arc<str>>) -> Vec<String> {
    let mut texts: Vec<String> = Vec::new();
    let mut bytes = 0;
    for text in documents {
        bytes += text.len();
        if bytes > MAX_RESPONSE_BYTES && !texts.is_empty() {
            break;
        }
        texts.push(text.to_string());
    }
    texts
}

/// Calls a method of a peer; `None` when it fails or times out.
pub(crate) async fn call<R: DeserializeOwned>(
    instance: &Instance,
    address: SocketAddr,
    method: &str,
    msg: &impl Serialize,
) -> Option<R> {
    let call = instance.peers.call(address, method, msg);
    match tokio::time::timeout(PEER_TIMEOUT, call).await {
        Ok(Ok(resp)) => Some(resp),
        Ok(Err(err)) => {
            tracing::debug!(%err, %address, method, "peer call failed");
            None
        }
        Err(_) => None,
    }
}

/// Returns the peer addresses of the other instances in random order, those of this zone first.
/// While no other member is known, returns the seeds from the settings.
pub(crate) fn peer_addresses(instance: &Instance) -> Vec<SocketAddr> {
    let own_member = &instance.tables.member;
    let directory = instance.tables.directory();
    let mut members: Vec<_> = directory
        .members
        .values()
        .filter(|member| member.start != own_member.start)
        .collect();
    if members.is_empty() {
        let mut seeds = instance.tables.settings.config.seeds.clone();
        seeds.retain(|seed| *seed != own_member.peers);
        return seeds;
    }
    members.shuffle(&mut rand::rng());
    members.sort_by_key(|member| member.zone != own_member.zone);
    members.into_iter().map(|member| member.peers).collect()
}

#[cfg(test)]
mod tests;
