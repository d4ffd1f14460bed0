//! Digests of keys, so that no key is held in memory or compared byte by byte.

use std::fmt;

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

/// Bytes of a digest that log lines contain.
const LOGGED_BYTES: usize = 4;
/// Scheme of the `Authorization` header.
const SCHEME: &[u8] = b"Bearer";

/// SHA-256 digest of a client account's key. Its `Debug` and `Display` forms are a short
/// fingerprint for the log.
#[derive(Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct KeyDigest([u8; 32]);

impl KeyDigest {
    /// Digest of a key as it was received.
    #[must_use]
    pub fn of(key: &[u8]) -> Self {
        Self(Sha256::digest(key).into())
    }

    /// Digest of the key in the `Authorization` headers of a request, which must be a single
    /// one with the scheme `Bearer` (RFC 6750).
    ///
    /// # Errors
    /// Why they contain no key.
    pub fn of_authorization<'a>(
        mut values: impl Iterator<Item = &'a [u8]>,
    ) -> Result<Self, KeyProblem> {
        let value = values.next().ok_or(KeyProblem::Missing)?;
        if values.next().is_some() {
            return Err(KeyProblem::Several);
        }
        let value = value.trim_ascii();
        let scheme_end = value.iter().position(u8::is_ascii_whitespace);
        let (scheme, key) = value.split_at(scheme_end.unwrap_or(value.len()));
        if !scheme.eq_ignore_ascii_case(SCHEME) {
            return Err(KeyProblem::Scheme);
        }
        let key = key.trim_ascii_start();
        if key.is_empty() {
            return Err(KeyProblem::Empty);
        }
        Ok(Self::of(key))
    }
}

/// Why a request has no valid key.
#[derive(Debug, Clone, Copy, PartialEq, Eq, derive_more::Display)]
pub enum KeyProblem {
    /// It has no `Authorization` header.
    #[display("no Authorization header")]
    Missing,
    /// It has several.
    #[display("several Authorization headers")]
    Several,
    /// It names no scheme or another one.
    #[display("the scheme is not Bearer")]
    Scheme,
    /// It has the scheme only.
    #[display("the key is empty")]
    Empty,
    /// No account has the key.
    #[display("unknown key {_0}")]
    Unknown(KeyDigest),
}

impl fmt::Display for KeyDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0[..LOGGED_BYTES]
            .iter()
            .try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}

impl fmt::Debug for KeyDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "KeyDigest({self})")
    }
}

#[cfg(test)]
mod tests;
