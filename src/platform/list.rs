//! The platform's list of targets, live or leaving, which may be out of date.
//!
//! Each request asks only for the changes since the known version, so that its cost
//! depends on the number of changes and not on the size of the list.

#[cfg(test)]
mod tests;

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::Method;
use indexmap::IndexMap;

use super::http::{HttpClient, send};
use super::store::StoreError;
use crate::macros::data;
use crate::names::{ServiceName, ShardId, TargetId, ZoneName};

data! {
    /// Changes of the list since a version, as the platform reports them.
    #[derive(Default)]
    pub struct TargetListChange {
        /// Version of the list after the changes; zero if the list is not versioned.
        #[serde(default)]
        pub version: u64,
        /// Whether `targets` is the whole list and replaces the known one.
        pub whole: bool,
        /// Targets that were added or changed.
        pub targets: Vec<ListedTarget>,
        /// Targets that are no longer listed.
        #[serde(default)]
        pub gone: Vec<TargetId>,
    }

    /// One target of the list.
    pub struct ListedTarget {
        /// Identifier, unique in the whole list.
        pub id: TargetId,
        /// Service that the target runs.
        pub service: ServiceName,
        /// Availability zone that the target runs in.
        pub zone: ZoneName,
        /// Address on which the target accepts calls.
        pub address: SocketAddr,
        /// Whether the target is leaving and takes no new calls.
        #[serde(default)]
        pub leaving: bool,
    }
}

impl ListedTarget {
    /// Returns the shard that the target belongs to.
    #[must_use]
    pub fn shard(&self) -> ShardId {
        ShardId {
            service: self.service.clone(),
            zone: self.zone.clone(),
        }
    }
}

/// Local copy of the list, grouped by shard.
#[derive(Debug, Clone, Default)]
pub struct TargetList {
    version: u64,
    shards: IndexMap<ShardId, IndexMap<TargetId, ListedTarget>>,
    shard_of: IndexMap<TargetId, ShardId>,
}

impl TargetList {
    /// Returns the shards that have a listed target.
    pub fn shards(&self) -> impl Iterator<Item = &ShardId> {
        self.shards.keys()
    }

    /// Returns the listed targets of a shard.
    pub fn targets(&self, shard: &ShardId) -> impl Iterator<Item = &ListedTarget> {
        self.shards
            .get(shard)
            .into_iter()
            .flat_map(IndexMap::values)
    }

    /// Returns all listed targets.
    pub fn all(&self) -> impl Iterator<Item = &ListedTarget> {
        self.shards.values().flat_map(IndexMap::values)
    }

    /// Returns whether a target is listed, leaving ones included.
    #[must_use]
    pub fn contains(&self, id: &TargetId) -> bool {
        self.shard_of.contains_key(id)
    }

    /// Applies the changes of the list.
    pub fn apply(&mut self, change: TargetListChange) {
        if change.whole {
            *self = Self::default();
        }
        for id in &change.gone {
            self.remove(id);
        }
        for target in change.targets {
            self.remove(&target.id);
            let shard = target.shard();
            self.shard_of.insert(target.id.clone(), shard.clone());
            let targets = self.shards.entry(shard).or_default();
            targets.insert(target.id.clone(), target);
        }
        self.version = change.version;
    }

    fn remove(&mut self, id: &TargetId) {
        let Some(shard) = self.shard_of.swap_remove(id) else {
            return;
        };
        if let Some(targets) = self.shards.get_mut(&shard) {
            targets.swap_remove(id);
            if targets.is_empty() {
                self.shards.swap_remove(&shard);
            }
        }
    }
}

/// Fetches from `address` the changes since the version of `known`.
pub(crate) async fn fetch_changes(
    client: &HttpClient,
    address: SocketAddr,
    known: &TargetList,
    timeout: Duration,
) -> Result<TargetListChange, StoreError> {
    let path = format!("/instances?since={}", known.version);
    let sending = send(client, Method::GET, address, &path, Bytes::new(), timeout);
    let resp = sending.await?;
    if !resp.status.is_success() {
        return Err(StoreError::Refused(resp.status.to_string()));
    }
    serde_json::from_slice(&resp.body).map_err(|err| StoreError::OutcomeUnknown(err.to_string()))
}
