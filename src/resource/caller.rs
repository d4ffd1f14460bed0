//! The `Caller` resource: a client account with its key and limits.

use serde::{Deserialize, Serialize};

use crate::macros::data;
use crate::names::CallerName;

data! {
    /// A caller with its key and limits.
    #[serde(deny_unknown_fields)]
    pub struct Caller {
        /// Name of the caller; `anonymous` stands for calls without a key.
        pub name: CallerName,
        /// Declared properties of the caller.
        pub spec: CallerSpec,
    }
}

/// The declared part of a [`Caller`].
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct CallerSpec {
    /// SHA-256 of the caller's key in lower-case hex; absent for `anonymous`.
    pub key_sha256: Option<String>,
    /// Maximum calls per second over all instances; unlimited when absent.
    pub calls_per_second: Option<u32>,
    /// Maximum calls in flight over all instances; unlimited when absent.
    pub in_flight: Option<u32>,
    /// Maximum response bytes per second over all instances; unlimited when absent.
    pub bytes_per_second: Option<u64>,
}
