//! Store operations on the records of keyed calls.

use super::coordinator::{Batch, Op};
use super::{KeyedBegin, Lookup, Record, RecordKey};
use crate::instance::Instance;
use crate::platform::store::{Compare, LeaseId, RangeReq, StoreError, Txn, Write};

/// Reads the record under a key.
pub(super) async fn look_up(
    instance: &Instance,
    key: &RecordKey,
) -> Result<Option<Lookup>, StoreError> {
    let req = RangeReq {
        key: key.store_key(),
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

/// Returns the transaction that writes a batch, on condition that the key of each new
/// record is still at the revision that was found.
pub(super) fn batch_txn(batch: &Batch, lease: LeaseId) -> Txn {
    let compare = |entry: &super::coordinator::Entry| match &entry.op {
        Op::Begin(begin, _) => Some(Compare {
            key: begin.key.store_key(),
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

/// Returns the transaction that deletes a record if it has not changed since it was found.
pub(super) fn delete_txn(key: &RecordKey, found: &Lookup) -> Txn {
    let key = key.store_key();
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
        Op::Begin(begin, _) => (&begin.key, new_record(begin)),
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
        key: key.store_key(),
        value: serde_json::to_vec(&record).ok()?.into(),
        lease: Some(lease),
    })
}

/// Returns the record of a call that is about to run.
pub(super) fn new_record(begin: &KeyedBegin) -> Record {
    Record {
        token: begin.token.clone(),
        fingerprint: begin.fingerprint,
        outcome: None,
    }
}
