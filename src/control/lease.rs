//! The instance's one lease and the member key that is attached to it.

use std::time::Duration;

use super::directory::{CLAIM_PREFIX, member_key};
use super::{Control, encode};
use crate::membership::heartbeat::LeaseRenewal;
use crate::membership::{Claim, RunId};
use crate::platform::store::{Compare, LeaseId, StoreError, Txn, Write};
use crate::units::Time;

/// Claims that are confirmed in one transaction.
const CONFIRM_BATCH: usize = 100;
/// Renewals in the time of one lease.
const RENEWALS_PER_LEASE: u32 = 3;

impl Control {
    /// Renews the lease when it is time, or makes a new one.
    pub(super) async fn renew_lease(&mut self) -> Result<(), StoreError> {
        let tables = &self.instance.tables;
        let sent = tables.clock.now();
        let Some(lease) = self.lease else {
            return self.new_lease().await;
        };
        let period = tables.settings.membership.lease / RENEWALS_PER_LEASE;
        if self.renewed.is_some_and(|last| sent.since(last) < period) {
            return Ok(());
        }
        let mut answer = (self.instance.store.keep_alive)(lease).await;
        if matches!(
            answer,
            Err(StoreError::Unreachable(_) | StoreError::OutcomeUnknown(_))
        ) {
            answer = self.renew_through_peer(lease, answer).await;
        }
        match answer {
            Ok(ttl) => {
                tables.lease().renewed(sent, ttl);
                self.renewed = Some(sent);
                Ok(())
            }
            Err(StoreError::LeaseExpired) => {
                tracing::warn!("the lease has lapsed");
                self.lease = None;
                self.new_lease().await
            }
            Err(err) => Err(err),
        }
    }

    fn reaching_peer(&self) -> Option<RunId> {
        let tables = &self.instance.tables;
        let words = tables.peer_words();
        words.reaching_store(tables.clock.now(), self.rules.window)
    }

    /// Asks one peer that reaches the store to renew the lease.
    async fn renew_through_peer(
        &self,
        lease: LeaseId,
        failed: Result<Duration, StoreError>,
    ) -> Result<Duration, StoreError> {
        let tables = &self.instance.tables;
        let Some(peer) = self.reaching_peer() else {
            return failed;
        };
        let directory = tables.directory();
        let Some(member) = directory.run(&peer) else {
            return failed;
        };
        let call = self
            .instance
            .peers
            .call::<LeaseRenewal>(member.peers, "lease_renew", &lease.0);
        let wait = tables.settings.platform.store_timeout;
        match tokio::time::timeout(wait, call).await {
            Ok(Ok(LeaseRenewal::Renewed { ttl_ms })) => Ok(Duration::from_millis(ttl_ms)),
            Ok(Ok(LeaseRenewal::Gone)) => Err(StoreError::LeaseExpired),
            _ => failed,
        }
    }

    /// Makes a lease and confirms under it every claim that this run holds.
    ///
    /// Each claim is written anew, so that whoever wants it sees that evidence
    /// from before is void. Shards that others have taken meanwhile are given up
    /// first: the new lease lets this run grant again.
    async fn new_lease(&mut self) -> Result<(), StoreError> {
        self.refresh_directory().await?;
        self.update_shards();
        let tables = &self.instance.tables;
        let ttl = tables.settings.membership.lease;
        let sent = tables.clock.now();
        let lease = (self.instance.store.grant)(ttl).await?;
        let directory = tables.directory();
        let me = tables.member.run();
        let mine: Vec<&Claim> = directory
            .claims
            .values()
            .filter(|claim| claim.run() == me && !claim.released)
            .collect();
        let batches = mine.chunks(CONFIRM_BATCH);
        let batches = batches.chain(mine.is_empty().then_some(&[][..]));
        let mut lease_from = None;
        for batch in batches {
            let revision = self.confirm(batch, lease).await?;
            lease_from.get_or_insert(revision);
        }
        self.lease_from = lease_from.unwrap_or_default();
        self.held(sent, lease, ttl);
        self.refresh_directory().await
    }

    fn held(&mut self, sent: Time, lease: LeaseId, ttl: Duration) {
        self.instance.tables.lease().renewed(sent, ttl);
        self.lease = Some(lease);
        self.renewed = Some(sent);
    }

    async fn confirm(&self, claims: &[&Claim], lease: LeaseId) -> Result<i64, StoreError> {
        let tables = &self.instance.tables;
        let directory = tables.directory();
        let mut txn = Txn {
            compare: Vec::new(),
            writes: vec![Write::Put {
                key: member_key(&tables.member.run()),
                value: encode(&tables.member)?,
                lease: Some(lease),
            }],
        };
        for claim in claims {
            let key = format!("{CLAIM_PREFIX}{}", claim.shard);
            let revision = directory.revisions.get(&claim.shard);
            txn.compare.push(Compare {
                key: key.clone(),
                mod_revision: revision.copied().unwrap_or_default(),
            });
            txn.writes.push(Write::Put {
                key,
                value: encode(claim)?,
                lease: None,
            });
        }
        let resp = (self.instance.store.txn)(txn).await?;
        if resp.succeeded {
            return Ok(resp.store_revision);
        }
        Err(StoreError::Refused(
            "a claim has changed since it was read".to_owned(),
        ))
    }
}
