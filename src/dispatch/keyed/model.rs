//! Decides by the stored record whether a keyed call may run.

use super::{KeyedBegin, KeyedResponse, Record, Token};

/// Record found in the store or in the cache.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Lookup {
    /// Content of the record.
    pub record: Record,
    /// Store revision of the record's last change; zero for a cached record.
    pub mod_revision: i64,
}

/// What the coordinator does for a call that wants to run.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Decision {
    /// Write the call's record if the key is still at this revision.
    Write {
        /// Revision to compare with; zero if there is no record.
        mod_revision: i64,
    },
    /// Respond without writing.
    Respond(KeyedResponse),
}

/// Decides whether a call may run.
///
/// `is_abandoned` returns true for dispatches that this coordinator has refused although their
/// record may have been written. They never ran, so their record may be replaced.
pub fn decide(
    begin: &KeyedBegin,
    found: Option<&Lookup>,
    is_abandoned: impl Fn(&Token) -> bool,
) -> Decision {
    let Some(found) = found else {
        return Decision::Write { mod_revision: 0 };
    };
    let record = &found.record;
    if record.token == begin.token {
        return Decision::Respond(KeyedResponse::Fresh);
    }
    if is_abandoned(&record.token) {
        return Decision::Write {
            mod_revision: found.mod_revision,
        };
    }
    if record.fingerprint != begin.fingerprint {
        return Decision::Respond(KeyedResponse::Reused);
    }
    Decision::Respond(match &record.outcome {
        Some(outcome) => KeyedResponse::Done(outcome.clone()),
        None => KeyedResponse::Accepted,
    })
}
