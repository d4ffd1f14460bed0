//! The instance's lease and the member key that is attached to it.

use std::time::Duration;

use super::directory::{CLAIM_PREFIX, member_key};
use super::{Control, encode};
use crate::membership::heartbeat::LeaseRenewal;
use crate::membership::{Claim, RunId};
use crate::platform::store::{Compare, LeaseId, StoreError, Txn, Write};
use crate::units::Time;

/// Maximum number of claims that one transaction rewrites under a new lease.
const CLAIMS_PER_TXN: usize = 100;
/// Number of renewals per lease TTL.
const RENEWALS_PER_LEASE: u32 = 3;

impl Control {
    /// Renews the lease when a renewal is due, or creates a new lease.
    pub(super) async fn renew_lease(&mut self) -> Result<(), StoreError> {
        let tables = &self.instance.tables;
        let sent = tables.clock.now();
        let Some(lease) = self.lease else {
            return self.new_lease().await;
        };
        let period = tables.settings.membership.lease / RENEWALS_PER_LEASE;
        if self
            .last_renewal
            .is_some_and(|last| sent.since(last) < period)
        {
            return Ok(());
        }
        let mut renewal = (self.instance.store.keep_alive)(lease).await;
        if matches!(
            renewal,
            Err(StoreError::Unreachable(_) | StoreError::OutcomeUnknown(_))
        ) {
            renewal = self.renew_through_peer(lease, renewal).await;
        }
        match renewal {
            Ok(ttl) => {
                tables.lease().lease_renewed(sent, ttl);
                self.last_renewal = Some(sent);
                Ok(())
            }
            Err(StoreError::LeaseExpired) => {
                tracing::warn!("the lease has expired; creating a new one");
                self.lease = None;
                self.new_lease().await
            }
            Err(err) => Err(err),
        }
    }

    /// Returns a peer that reported recently that it reaches the store.
    fn peer_with_store(&self) -> Option<RunId> {
        let tables = &self.instance.tables;
        let peers = tables.peer_observations();
        peers.peer_with_store(tables.clock.now(), self.rules.window)
    }

    /// Asks a peer that reaches the store to renew the lease. Returns `failed`, the result of the
    /// direct renewal, when the peer gives no result either.
    async fn renew_through_peer(
        &self,
        lease: LeaseId,
        failed: Result<Duration, StoreError>,
    ) -> Result<Duration, StoreError> {
        let tables = &self.instance.tables;
        let Some(peer) = self.peer_with_store() else {
            return failed;
        };
        let directory = tables.directory();
        let Some(member) = directory.member_of_run(&peer) else {
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

    /// Creates a lease and rewrites every claim that this run holds under it.
    ///
    /// Rewriting a claim changes its revision, which voids the evidence for a takeover that
    /// other instances have gathered. Shards that others have taken over in the meantime are
    /// disowned first, because the new lease lets this run grant permits again.
    async fn new_lease(&mut self) -> Result<(), StoreError> {
        self.refresh_directory().await?;
        self.update_shards();
        let tables = &self.instance.tables;
        let ttl = tables.settings.membership.lease;
        let sent = tables.clock.now();
        let lease = (self.instance.store.grant)(ttl).await?;
        let directory = tables.directory();
        let own_run = tables.member.run();
        let own_claims: Vec<&Claim> = directory
            .claims
            .values()
            .filter(|claim| claim.run() == own_run && !claim.released)
            .collect();
        let batches = own_claims.chunks(CLAIMS_PER_TXN);
        // The member key is written even without a claim.
        let batches = batches.chain(own_claims.is_empty().then_some(&[][..]));
        let mut lease_revision = None;
        for batch in batches {
            let revision = self.write_under_lease(batch, lease).await?;
            lease_revision.get_or_insert(revision);
        }
        self.lease_revision = lease_revision.unwrap_or_default();
        self.set_lease(sent, lease, ttl);
        self.refresh_directory().await
    }

    /// Records a lease that was granted for a request sent at `sent`.
    fn set_lease(&mut self, sent: Time, lease: LeaseId, ttl: Duration) {
        self.instance.tables.lease().lease_renewed(sent, ttl);
        self.lease = Some(lease);
        self.last_renewal = Some(sent);
    }

    /// Writes the member key under `lease` and rewrites `claims` unchanged; returns the store
    /// revision of the write. Fails when a claim has changed since it was read.
    async fn write_under_lease(
        &self,
        claims: &[&Claim],
        lease: LeaseId,
    ) -> Result<i64, StoreError> {
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
