//! Reads the directory, the members and claims, from the store.

use bytes::Bytes;
use indexmap::{IndexMap, IndexSet};
use serde::de::DeserializeOwned;

use super::Control;
use crate::membership::{Claim, Member, RunId};
use crate::names::{ShardId, StartId};
use crate::platform::store::{Entry, RangeReq, RangeResp, StoreError};
use crate::tables::Directory;
use crate::units::Time;

/// Common prefix of the keys of members and claims, so that one read returns both.
const DIRECTORY_PREFIX: &str = "/wagtailsaddle/directory/";
/// Prefix of the members' keys.
pub(super) const MEMBER_PREFIX: &str = "/wagtailsaddle/directory/members/";
/// Prefix of the claims' keys.
pub(super) const CLAIM_PREFIX: &str = "/wagtailsaddle/directory/claims/";

/// Returns the key of one run of an instance. The store deletes it with the run's lease.
pub(super) fn member_key(run: &RunId) -> String {
    format!("{MEMBER_PREFIX}{}/{}", run.instance, run.start)
}

impl Control {
    /// Reads members and claims at one store revision. A read that is older than the known
    /// directory is ignored.
    pub(super) async fn refresh_directory(&mut self) -> Result<(), StoreError> {
        let req = RangeReq {
            key: DIRECTORY_PREFIX.to_owned(),
            prefix: true,
        };
        let resp = (self.instance.store.range)(req).await?;
        let tables = &self.instance.tables;
        let known = tables.directory();
        if resp.store_revision < known.store_revision {
            return Ok(());
        }
        let now = tables.clock.now();
        let directory = build(&resp, &known, now);
        let own_run = tables.member.run();
        let mut electorates: IndexSet<_> = directory
            .claims
            .values()
            .filter(|claim| claim.run() == own_run)
            .map(|claim| claim.electorate.clone())
            .collect();
        electorates.extend(self.pending_electorates.iter().cloned());
        tables.lease().set_electorates(electorates);
        let still_owned = |shard: &ShardId| {
            let claim = directory.claims.get(shard);
            claim.is_some_and(|claim| claim.run() == own_run && !claim.released)
        };
        self.releasing.retain(|shard, _| still_owned(shard));
        tables
            .peer_observations()
            .prune(now, &directory.lapsed_runs());
        let lease_revision = self.lease_revision;
        let own_claims = directory.claims.values();
        let own_claims = own_claims.filter(|claim| claim.run() == own_run && !claim.released);
        let older = |claim: &Claim| directory.revisions.get(&claim.shard) < Some(&lease_revision);
        if own_claims.into_iter().any(older) {
            // A claim write whose response was lost took effect before this lease; a new
            // lease rewrites the claim.
            self.lease = None;
        }
        tables.set_directory(directory);
        self.directory_read_at = Some(now);
        Ok(())
    }
}

/// Builds the directory from a read and the previous directory, which gives the time since
/// when a claim has lapsed and the addresses of owners whose member key is gone.
fn build(resp: &RangeResp, known: &Directory, now: Time) -> Directory {
    let mut directory = Directory {
        store_revision: resp.store_revision,
        ..Directory::default()
    };
    let mut runs: IndexSet<StartId> = IndexSet::new();
    let mut newest: IndexMap<_, i64> = IndexMap::new();
    for (entry, member) in decoded::<Member>(resp, MEMBER_PREFIX) {
        directory.revision = directory.revision.max(entry.mod_revision);
        runs.insert(member.start.clone());
        let latest = newest.entry(member.instance.clone()).or_insert(i64::MIN);
        if entry.mod_revision > *latest {
            *latest = entry.mod_revision;
            directory.members.insert(member.instance.clone(), member);
        }
    }
    for (entry, claim) in decoded::<Claim>(resp, CLAIM_PREFIX) {
        directory.revision = directory.revision.max(entry.mod_revision);
        let shard = claim.shard.clone();
        if !runs.contains(&claim.start) {
            let unchanged = known.revisions.get(&shard) == Some(&entry.mod_revision);
            let since = known.lapsed_since.get(&shard).filter(|_| unchanged);
            let since = since.copied().unwrap_or(now);
            directory.lapsed_since.insert(shard.clone(), since);
            if let Some(member) = known.member_of_run(&claim.run()) {
                directory
                    .previous_owners
                    .insert(claim.run(), member.clone());
            }
        }
        directory
            .revisions
            .insert(shard.clone(), entry.mod_revision);
        directory.claims.insert(shard, claim);
    }
    directory
}

/// Decodes the entries with `prefix` and skips those that do not decode.
fn decoded<'a, T: DeserializeOwned>(
    resp: &'a RangeResp,
    prefix: &'a str,
) -> impl Iterator<Item = (&'a Entry, T)> {
    let decode = |value: &Bytes| serde_json::from_slice(value).ok();
    resp.entries
        .iter()
        .filter(move |entry| entry.key.starts_with(prefix))
        .filter_map(move |entry| Some((entry, decode(&entry.value)?)))
}
