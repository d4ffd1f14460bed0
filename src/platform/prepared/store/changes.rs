//! Decodes the items and events of the store's answers, each on its own.

use std::sync::Arc;

use base64::engine::general_purpose::STANDARD;
use base64::{DecodeError, Engine};
use serde::{Deserialize, Deserializer};
use serde_json::value::RawValue;

use crate::entry::model::{Change, Record};
use crate::platform::prepared::record;

/// Maximum length of the description of what is wrong with a record.
pub(super) const MAX_PROBLEM_CHARS: usize = 200;

/// Result of a read or a watch.
#[derive(Debug)]
pub(crate) struct ChangeSet {
    /// Records and removals; those of a watch are ordered by revision.
    pub changes: Vec<Change>,
    /// Number of times that the store was restored from a copy.
    pub era: u64,
    /// Store revision of the result, from which the next watch starts.
    pub revision: u64,
    /// Records that can't be decoded.
    pub rejected: Vec<RejectedRecord>,
}

/// A record that can't be decoded.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize)]
pub(crate) struct RejectedRecord {
    /// Its key.
    pub key: Arc<str>,
    /// Revision at which it was written.
    pub revision: u64,
    /// What is wrong with it.
    pub problem: String,
    /// Whether it may be a valid one of a later release.
    #[serde(skip)]
    pub is_later: bool,
}

#[derive(Deserialize)]
pub(super) struct Page {
    #[serde(deserialize_with = "deserialize_items")]
    pub(super) items: Vec<Item>,
    #[serde(default)]
    pub(super) more_pages: bool,
    pub(super) store_revision: u64,
}

#[derive(Deserialize)]
pub(super) struct Events {
    #[serde(deserialize_with = "deserialize_items")]
    pub(super) events: Vec<Item>,
    pub(super) store_revision: u64,
}

#[derive(Deserialize)]
pub(super) struct Item {
    pub(super) key: String,
    #[serde(default)]
    value: Option<String>,
    rev: u64,
    #[serde(default)]
    removed: bool,
    /// Why it can't be read, if so. The key is then empty and the revision 0 unless these can.
    #[serde(skip)]
    problem: Option<String>,
}

/// Reads each item on its own, so that one that can't be read does not end the read or the
/// watch of all others.
fn deserialize_items<'de, D: Deserializer<'de>>(de: D) -> Result<Vec<Item>, D::Error> {
    let items = Vec::<&'de RawValue>::deserialize(de)?;
    Ok(items.into_iter().map(Item::read).collect())
}

impl ChangeSet {
    /// Decodes items; keys that entry instances don't use are left out.
    pub(super) fn decode(items: Vec<Item>, era: u64, revision: u64) -> Self {
        let mut set = Self {
            changes: Vec::with_capacity(items.len()),
            era,
            revision,
            rejected: Vec::new(),
        };
        for item in items {
            set.add(item);
        }
        set
    }

    fn add(&mut self, item: Item) {
        let decoded = if item.removed {
            Ok(None)
        } else {
            match item.decode() {
                Ok(None) => return,
                decoded => decoded,
            }
        };
        let is_later = decoded.is_err() && item.is_of_later_release();
        let key: Arc<str> = item.key.into();
        let is_kept = decoded.is_err() && (record::is_configuration(&key) || item.rev == 0);
        if let Err(problem) = &decoded {
            self.rejected.push(RejectedRecord {
                key: key.clone(),
                revision: item.rev,
                problem: problem.chars().take(MAX_PROBLEM_CHARS).collect(),
                is_later,
            });
        }
        if !is_kept {
            self.changes.push(Change {
                key,
                revision: item.rev,
                record: decoded.unwrap_or_default(),
            });
        }
    }
}

impl Item {
    fn read(raw: &RawValue) -> Self {
        #[derive(Deserialize)]
        struct Key {
            key: String,
        }
        #[derive(Deserialize)]
        struct Revision {
            rev: u64,
        }
        let text = raw.get();
        serde_json::from_str(text).unwrap_or_else(|err| Self {
            key: serde_json::from_str(text).map_or_else(|_| String::new(), |Key { key }| key),
            value: None,
            rev: serde_json::from_str(text).map_or(0, |Revision { rev }| rev),
            removed: false,
            problem: Some(err.to_string()),
        })
    }

    fn decode(&self) -> Result<Option<Record>, String> {
        if let Some(problem) = &self.problem {
            return Err(problem.clone());
        }
        let value = self.value().map_err(|err| err.to_string())?;
        record::decode(&self.key, &value)
    }

    fn is_of_later_release(&self) -> bool {
        let value = self.value();
        value.is_ok_and(|value| record::is_of_later_release(&self.key, &value))
    }

    fn value(&self) -> Result<Vec<u8>, DecodeError> {
        STANDARD.decode(self.value.as_deref().unwrap_or_default())
    }
}
