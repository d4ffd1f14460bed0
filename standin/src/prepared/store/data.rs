//! Items, leases and history of the stand-in store.

use std::time::Duration;

use indexmap::IndexMap;
use tokio::time::Instant;

#[derive(Debug, Clone)]
pub(super) struct Item {
    pub(super) value: Vec<u8>,
    pub(super) revision: u64,
    pub(super) create_revision: u64,
    pub(super) lease: u64,
}

#[derive(Debug, Clone, Default)]
pub(super) struct Data {
    /// Number of times that the store was restored from a copy.
    pub(super) era: u64,
    pub(super) revision: u64,
    pub(super) items: IndexMap<String, Item>,
    pub(super) leases: IndexMap<u64, (Duration, Instant)>,
    /// Changes in order of revision; `None` for removals.
    pub(super) history: Vec<(u64, String, Option<Item>)>,
    /// Revision up to which the history has been compacted; older watches fail.
    pub(super) compacted: u64,
    pub(super) next_lease: u64,
    pub(super) calls: IndexMap<String, u32>,
}

impl Data {
    pub(super) fn put(&mut self, key: &str, value: Vec<u8>, lease: u64) -> u64 {
        self.revision += 1;
        let create_revision = self
            .items
            .get(key)
            .map_or(self.revision, |item| item.create_revision);
        let item = Item {
            value,
            revision: self.revision,
            create_revision,
            lease,
        };
        self.history
            .push((self.revision, key.to_owned(), Some(item.clone())));
        self.items.insert(key.to_owned(), item);
        self.revision
    }

    pub(super) fn remove(&mut self, key: &str) -> u64 {
        if self.items.shift_remove(key).is_some() {
            self.revision += 1;
            self.history.push((self.revision, key.to_owned(), None));
        }
        self.revision
    }

    pub(super) fn remove_lease(&mut self, lease: u64) -> bool {
        let existed = self.leases.shift_remove(&lease).is_some();
        let keys: Vec<String> = self
            .items
            .iter()
            .filter(|(_, item)| existed && item.lease == lease)
            .map(|(key, _)| key.clone())
            .collect();
        for key in keys {
            self.remove(&key);
        }
        existed
    }

    pub(super) fn remove_expired_leases(&mut self) {
        let now = Instant::now();
        let expired: Vec<u64> = self
            .leases
            .iter()
            .filter(|(_, (_, until))| *until <= now)
            .map(|(lease, _)| *lease)
            .collect();
        for lease in expired {
            self.remove_lease(lease);
        }
    }

    /// The items as they were at a revision, as far as the history goes back.
    pub(super) fn items_at(&self, revision: u64) -> IndexMap<String, Item> {
        let mut items = self.items.clone();
        items.retain(|_, item| item.revision <= revision);
        for (at, key, item) in &self.history {
            if *at > revision {
                break;
            }
            match item {
                Some(item) => items.insert(key.clone(), item.clone()),
                None => items.swap_remove(key),
            };
        }
        items
    }
}
