//! Records of keyed calls, as the store holds them.

use super::home::{Batch, Op};
use super::{KeyedBegin, Lookup, Record, RecordKey};
use crate::instance::Instance;
use crate::platform::store::{Compare, LeaseId, RangeReq, StoreError, Txn, Write};

/// Reads the record under a key.
pub(super) async fn look_up(
    instance: &Instance,
    key: &RecordKey,
) -> Result<Option<Lookup>, StoreError> {
    let req = RangeReq {
        key: key.in_store(),
        prefix: false,
    };
    let resp = (instance.store.range)(req).await?;
    let Some(entry) = resp.entries.first() else {
        return Ok(None);
    };
    let record =
        serde_json::from_slice(&entry.value).map_err(|err| StoreError::Refused(err.to_string()))?;
    Ok(Some(Lookup {
        record,
        mod_revision: entry.mod_revision,
    }))
}

/// The write of a whole batch: each new record where its key is at the
/// revision that it was found at.
pub(super) fn write_of(batch: &Batch, lease: LeaseId) -> Txn {
    let compare = |entry: &super::home::Entry| match &entry.op {
        Op::Begin(begin, _) => Some(Compare {
            key: begin.key.in_store(),
            mod_revision: entry.mod_revision,
        }),
        Op::End(..) => None,
    };
    Txn {
        compare: batch.values().filter_map(compare).collect(),
        writes: batch
            .values()
            .filter_map(|entry| put(&entry.op, lease))
            .collect(),
    }
}

/// The write that deletes a record if it is still the one that was found.
pub(super) fn delete_of(key: &RecordKey, found: &Lookup) -> Txn {
    let key = key.in_store();
    Txn {
        compare: vec![Compare {
            key: key.clone(),
            mod_revision: found.mod_revision,
        }],
        writes: vec![Write::Delete { key }],
    }
}

fn put(op: &Op, lease: LeaseId) -> Option<Write> {
    let (key, record) = match op {
        Op::Begin(begin, _) => (&begin.key, record_of(begin)),
        Op::End(end, _) => (
            &end.key,
            Record {
                token: end.token.clone(),
                fingerprint: end.fingerprint,
                outcome: end.outcome.clone(),
            },
        ),
    };
    Some(Write::Put {
        key: key.in_store(),
        value: serde_json::to_vec(&record).ok()?.into(),
        lease: Some(lease),
    })
}

/// The record of a call that is about to run.
pub(super) fn record_of(begin: &KeyedBegin) -> Record {
    Record {
        token: begin.token.clone(),
        fingerprint: begin.fingerprint,
        outcome: None,
    }
}
