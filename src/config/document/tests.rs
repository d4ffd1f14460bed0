use super::{DocumentError, MAX_DOCUMENT_BYTES, MAX_DOCUMENTS, hash_of, join, split, verify};
use crate::config::manifest::Manifest;
use crate::resource::{Resource, ResourceSet, Revision};

/// Number of services that the design targets.
const SERVICES: usize = 2_900;

fn service(number: usize, slots: u32) -> Resource {
    let text = serde_json::json!({"kind": "Service", "name": format!("service-{number}"), "spec": {
        "hosts": [format!("service-{number}.example.test")],
        "target": {"slots": slots, "connections": 200},
        "rules": [{"path": "/status", "priority": "urgent"}, {"path": "/reports", "priority": "idle"}],
    }});
    serde_json::from_value(text).expect("service")
}

fn set() -> ResourceSet {
    let mut set = ResourceSet::default();
    for number in 0..SERVICES {
        set.put(service(number, 6));
    }
    set
}

#[test]
fn a_large_set_splits_into_bounded_documents_and_joins_again() {
    let set = set();
    let documents = split(&set).expect("documents");
    assert!(documents.len() <= MAX_DOCUMENTS);
    assert!(
        documents
            .values()
            .all(|text| text.len() <= MAX_DOCUMENT_BYTES)
    );
    let hashes: Vec<_> = documents.keys().cloned().collect();
    let joined = join(Revision(0), &hashes, &documents).expect("set");
    assert_eq!(joined, set);

    let manifest = Manifest {
        documents: hashes,
        ..Manifest::default()
    };
    let manifest = serde_json::to_string(&manifest).expect("manifest").len();
    let largest = documents.values().map(|text| text.len()).max();
    let total: usize = documents.values().map(|text| text.len()).sum();
    println!("manifest {manifest} B, largest document {largest:?} B, total {total} B");
    assert!(manifest <= MAX_DOCUMENT_BYTES);
}

#[test]
fn changing_one_resource_makes_one_new_document() {
    let mut set = set();
    let before = split(&set).expect("documents");
    set.put(service(17, 5));
    let after = split(&set).expect("documents");
    let new = after.keys().filter(|hash| !before.contains_key(*hash));
    assert_eq!(new.count(), 1);
}

#[test]
fn fetched_text_is_verified_against_hash_and_size() {
    let hash = hash_of("[]");
    assert_eq!(verify(&hash, "[]"), Ok(()));
    let mismatch = verify(&hash, "[{}]");
    assert_eq!(mismatch, Err(DocumentError::WrongHash(hash.clone())));
    let long = " ".repeat(MAX_DOCUMENT_BYTES + 1);
    assert_eq!(verify(&hash, &long), Err(DocumentError::TooLarge));
    let missing = join(
        Revision(1),
        std::slice::from_ref(&hash),
        &super::Documents::new(),
    );
    assert_eq!(missing, Err(DocumentError::Missing(hash)));
}
