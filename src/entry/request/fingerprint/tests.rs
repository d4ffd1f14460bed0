use std::sync::Arc;

use super::*;
use crate::http1::request_body::BodyMemory;

/// A body that has arrived whole; one without a declared length is chunked.
fn body(data: &[u8], declared: Option<usize>) -> RequestBody {
    let memory = Arc::new(BodyMemory::new(1 << 20, 1 << 20));
    let body = RequestBody::new(declared, memory);
    body.push(data);
    body.end(Ok(()));
    body
}

fn fingerprints(target: &str, body: &RequestBody) -> Vec<Fingerprint> {
    let fingerprints = RequestFingerprints::new("x.example", "POST", target, body);
    fingerprints.each().collect()
}

/// A request that crashes targets comes again with the same path and body.
#[test]
fn a_repeat_with_another_query_or_framing_has_a_fingerprint_in_common() {
    let (short, long) = (b"order".as_slice(), [7; 2 * FINGERPRINT_BYTES]);
    let known = fingerprints("/a/b", &body(short, Some(short.len())));
    assert_eq!(known.len(), 1);
    for target in ["/a/b?page=2&sort=new", "/a/b?"] {
        let repeat = fingerprints(target, &body(short, Some(short.len())));
        assert!(repeat.contains(&known[0]), "{target}");
        assert_eq!(repeat.len(), 2, "{target}");
    }
    assert_eq!(fingerprints("/a/b", &body(short, None)), known, "chunked");
    assert_eq!(
        fingerprints("/a/b", &body(&long, None)),
        fingerprints("/a/b", &body(&long, Some(long.len()))),
        "long and chunked"
    );
}

#[test]
fn requests_with_other_paths_or_bodies_are_told_apart() {
    let known = fingerprints("/a/b?c", &body(b"order", Some(5)));
    let others = [
        fingerprints("/a/c?c", &body(b"order", Some(5))),
        fingerprints("/a/b/?c", &body(b"order", Some(5))),
        fingerprints("/a/b?c", &body(b"other", Some(5))),
    ];
    for other in others.concat() {
        assert!(!known.contains(&other));
    }
}
