//! Keyed calls: a call with an `Idempotency-Key` runs at most once.
//!
//! Each key has a coordinator, an instance chosen by rendezvous hashing. It records the
//! call in the store before the call runs, and the response afterwards.

pub(crate) mod call;
pub(crate) mod coordinator;
mod model;
mod store;

pub use model::{Decision, Lookup, decide};

use std::hash::{Hash, Hasher};

use derive_more::Display;
use sha2::{Digest, Sha256};
use siphasher::sip::SipHasher13;

use crate::dispatch::quarantine::Fingerprint;
use crate::macros::{data, name_type};
use crate::membership::Member;
use crate::names::{CallerName, ServiceName};

/// Prefix of the store keys of records.
const RECORD_PREFIX: &str = "/wagtailsaddle/keyed/";
/// `SipHash` key for choosing the coordinator of a record; it must be the same on all instances.
const HASH_KEY: (u64, u64) = (0x6b65_7965_645f_6361, 0x6c6c_5f68_6f6d_6573);

name_type! {
    /// SHA-256 of service, caller and idempotency key, in hex; a call is recorded under it.
    RecordKey
}

data! {
    /// Identifies one dispatch of a keyed call, unique over all instances.
    #[derive(Eq, Hash, Display)]
    #[serde(transparent)]
    pub struct Token(pub String);

    /// Stored record of a keyed call.
    #[derive(Eq)]
    pub struct Record {
        /// Dispatch that wrote the record.
        pub token: Token,
        /// Fingerprint of the request that the key was used for.
        pub fingerprint: Fingerprint,
        /// Response of the call; `None` until it is known, and if it is too large.
        pub outcome: Option<RecordedOutcome>,
    }

    /// Recorded response of a call, which later calls with the same key receive.
    #[derive(Eq)]
    pub struct RecordedOutcome {
        /// HTTP status.
        pub status: u16,
        /// Value of the `Content-Type` header, if any.
        pub content_type: Option<String>,
        /// Response body in base64.
        pub body: String,
    }

    /// Request to the coordinator: may this keyed call run?
    #[derive(Eq)]
    pub struct KeyedBegin {
        /// Key of the call's record.
        pub key: RecordKey,
        /// Dispatch that wants to run the call.
        pub token: Token,
        /// Fingerprint of the request.
        pub fingerprint: Fingerprint,
    }

    /// The coordinator's response to a [`KeyedBegin`].
    #[derive(Eq)]
    pub enum KeyedResponse {
        /// The call is recorded and may run.
        Fresh,
        /// A call with this key was accepted before and its response is not recorded.
        Accepted,
        /// A call with this key was accepted before and has this response.
        Done(RecordedOutcome),
        /// The key was used for a different request.
        Reused,
        /// The record cannot be written at the moment.
        Unavailable,
    }

    /// Report to the coordinator that a keyed call has ended.
    #[derive(Eq)]
    pub struct KeyedEnd {
        /// Key of the call's record.
        pub key: RecordKey,
        /// Dispatch that has ended.
        pub token: Token,
        /// Fingerprint of the request.
        pub fingerprint: Fingerprint,
        /// Response to record; `None` if the call was not run, which frees the key.
        pub outcome: Option<RecordedOutcome>,
    }
}

impl RecordKey {
    /// Returns the record key of a caller's idempotency key for a service.
    #[must_use]
    pub fn of(service: &ServiceName, caller: &CallerName, key: &[u8]) -> Self {
        let mut digest = Sha256::new();
        for part in [service.as_str().as_bytes(), caller.as_str().as_bytes(), key] {
            digest.update((part.len() as u64).to_be_bytes());
            digest.update(part);
        }
        let digest = digest.finalize();
        let mut hex = String::with_capacity(digest.len() * 2);
        for byte in digest {
            hex.push(hex_digit(byte >> 4));
            hex.push(hex_digit(byte & 0xf));
        }
        Self::from(hex)
    }

    fn store_key(&self) -> String {
        format!("{RECORD_PREFIX}{self}")
    }
}

fn hex_digit(value: u8) -> char {
    char::from_digit(u32::from(value), 16).unwrap_or('0')
}

/// Returns the member that records a key, by rendezvous hashing over the members.
pub(crate) fn coordinator<'a>(
    key: &RecordKey,
    members: impl Iterator<Item = &'a Member>,
) -> Option<&'a Member> {
    members.max_by_key(|member| {
        let mut hasher = SipHasher13::new_with_keys(HASH_KEY.0, HASH_KEY.1);
        key.hash(&mut hasher);
        member.instance.hash(&mut hasher);
        hasher.finish()
    })
}

#[cfg(test)]
mod tests;
