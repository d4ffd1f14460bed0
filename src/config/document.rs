//! Documents: groups of resources as JSON text, identified by the hash of that text.

use std::sync::Arc;

use indexmap::IndexMap;
use sha2::{Digest, Sha256};

use crate::macros::name_type;
use crate::resource::{Resource, ResourceSet, Revision};

/// Maximum size of one document.
pub(crate) const MAX_DOCUMENT_BYTES: usize = 1 << 20;
/// Average number of resources per document from which more documents are used, up to
/// `MAX_DOCUMENTS`.
const RESOURCES_PER_DOCUMENT: usize = 16;
/// Maximum number of documents that a configuration is split into.
const MAX_DOCUMENTS: usize = 256;

name_type! {
    /// SHA-256 of a document's text, in lower-case hex.
    DocumentHash
}

/// Texts of documents by their hash.
pub(crate) type Documents = IndexMap<DocumentHash, Arc<str>>;

/// Why a document could not be created or read.
#[derive(Debug, Clone, PartialEq, Eq, derive_more::Display, derive_more::Error)]
pub(crate) enum DocumentError {
    /// The text does not have the requested hash.
    #[display("document {_0} has another hash")]
    WrongHash(#[error(not(source))] DocumentHash),
    /// The text exceeds the size limit.
    #[display("a document is larger than its limit of {MAX_DOCUMENT_BYTES} bytes")]
    TooLarge,
    /// The text does not decode to a list of resources.
    #[display("document {_0} can't be read")]
    Unreadable(#[error(not(source))] DocumentHash),
    /// The document was not found.
    #[display("document {_0} is missing")]
    Missing(#[error(not(source))] DocumentHash),
}

/// Returns the hash of a document's text.
pub(crate) fn hash_of(text: &str) -> DocumentHash {
    hex(&Sha256::digest(text)).into()
}

/// Encodes bytes as lower-case hex.
pub(crate) fn hex(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 16] = b"0123456789abcdef";
    let digit = |nibble: u8| char::from(DIGITS[usize::from(nibble & 0xf)]);
    bytes
        .iter()
        .flat_map(|byte| [digit(byte >> 4), digit(*byte)])
        .collect()
}

/// Verifies a text from a peer or the store against the requested hash and the size limit.
pub(crate) fn verify(hash: &DocumentHash, text: &str) -> Result<(), DocumentError> {
    if text.len() > MAX_DOCUMENT_BYTES {
        return Err(DocumentError::TooLarge);
    }
    if hash_of(text) != *hash {
        return Err(DocumentError::WrongHash(hash.clone()));
    }
    Ok(())
}

/// Splits resources into documents.
///
/// A resource stays in the same group as long as the number of groups does not change, so that
/// changing one resource produces only one new document.
pub(crate) fn split(set: &ResourceSet) -> Result<Documents, DocumentError> {
    let groups = (set.resources.len() / RESOURCES_PER_DOCUMENT)
        .next_power_of_two()
        .min(MAX_DOCUMENTS);
    let mut parts: Vec<Vec<&Resource>> = vec![Vec::new(); groups];
    for resource in &set.resources {
        parts[group_of(resource, groups)].push(resource);
    }
    let mut documents = Documents::new();
    for part in parts.iter().filter(|part| !part.is_empty()) {
        let text = serde_json::to_string(part).map_err(|_| DocumentError::TooLarge)?;
        if text.len() > MAX_DOCUMENT_BYTES {
            return Err(DocumentError::TooLarge);
        }
        documents.insert(hash_of(&text), text.into());
    }
    Ok(documents)
}

/// Returns the group of a resource, by a hash of its kind and name.
fn group_of(resource: &Resource, groups: usize) -> usize {
    let name = format!("{}/{}", resource.kind(), resource.name());
    let digest = Sha256::digest(name);
    usize::from(u16::from_be_bytes([digest[0], digest[1]])) % groups
}

/// Joins the documents named by `hashes` into the set of resources at `revision`.
pub(crate) fn join(
    revision: Revision,
    hashes: &[DocumentHash],
    documents: &Documents,
) -> Result<ResourceSet, DocumentError> {
    let mut resources = Vec::new();
    for hash in hashes {
        let text = documents
            .get(hash)
            .ok_or_else(|| DocumentError::Missing(hash.clone()))?;
        let part: Vec<Resource> =
            serde_json::from_str(text).map_err(|_| DocumentError::Unreadable(hash.clone()))?;
        resources.extend(part);
    }
    resources.sort_by(|a, b| (a.kind(), a.name()).cmp(&(b.kind(), b.name())));
    Ok(ResourceSet {
        revision,
        resources,
    })
}

#[cfg(test)]
mod tests;
