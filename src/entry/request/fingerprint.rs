//! What makes two requests of callers the same for the quarantine.

use std::hash::{Hash, Hasher};

use siphasher::sip::SipHasher13;

use crate::dispatch::quarantine::Fingerprint;
use crate::http1::request_body::RequestBody;

/// Keys of the hash; every instance must use the same.
const HASH_KEYS: (u64, u64) = (0x7265_7175_6573_745f, 0x6669_6e67_6572_7072);
/// Bytes at the start of a body that tell requests with the same path apart.
pub(crate) const FINGERPRINT_BYTES: usize = 4 << 10;

/// Fingerprints of a request, of which each may be blocked.
///
/// A request that crashes targets may come again with another query. Where only one query
/// of a path does so, responses to the others clear the path, and that one is still told
/// apart.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(crate) struct RequestFingerprints {
    /// Hash of host, method, path and query, and of the start of the body.
    whole: Fingerprint,
    /// The same without the query.
    path: Fingerprint,
}

impl RequestFingerprints {
    /// Fingerprints of a request of which the start of the body has arrived.
    pub(crate) fn new(host: &str, method: &str, target: &str, body: &RequestBody) -> Self {
        let start = body.first_bytes(FINGERPRINT_BYTES);
        let path = target.split('?').next().unwrap_or_default();
        let hash = |target: &str| {
            let mut hasher = SipHasher13::new_with_keys(HASH_KEYS.0, HASH_KEYS.1);
            (host, method, target, &*start).hash(&mut hasher);
            Fingerprint(hasher.finish())
        };
        Self {
            whole: hash(target),
            path: hash(path),
        }
    }

    /// The fingerprint without the query, which the log shows.
    pub(crate) fn path(&self) -> Fingerprint {
        self.path
    }

    /// Each fingerprint once.
    pub(crate) fn each(self) -> impl Iterator<Item = Fingerprint> {
        let whole = (self.whole != self.path).then_some(self.whole);
        std::iter::once(self.path).chain(whole)
    }
}

#[cfg(test)]
mod tests;
