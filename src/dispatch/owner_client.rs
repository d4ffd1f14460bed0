//! Client for one shard owner: sends permit requests, returns and renewals in batches.

mod tasks;

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use indexmap::{IndexMap, IndexSet};
use tokio::sync::oneshot;

use crate::admission::permit::{
    CallReport, GrantedPermit, LentPermit, PermitBatch, PermitBatchResponse, PermitDecision,
    PermitId, PermitRenewal, PermitRequest, PermitResponse, PermitReturn, Refusal,
};
use crate::instance::Instance;
use crate::membership::Member;
use crate::names::ShardId;
use crate::units::Time;

/// Maximum number of unanswered batches per owner.
const MAX_OPEN_BATCHES: u32 = 2;
/// Maximum number of permit requests in one batch.
const MAX_BATCH_REQUESTS: usize = 256;
/// Remaining time at which a permit in use is renewed.
const RENEWAL_MARGIN: Duration = Duration::from_secs(1);
/// Validity of a renewed permit.
const RENEWAL_TTL: Duration = Duration::from_secs(3);

/// Client for one run of one owner.
#[derive(Debug)]
pub(crate) struct OwnerClient {
    owner: Member,
    state: Mutex<ClientState>,
}

#[derive(Debug, Default)]
struct ClientState {
    requests: Vec<PermitRequest>,
    returns: Vec<PermitReturn>,
    /// Numbers of queued requests whose call no longer waits.
    withdrawn: Vec<u64>,
    /// Number of tasks that send batches; each has at most one unanswered batch.
    open_batches: u32,
    polling: bool,
    /// Requests without a decision, by number.
    waiting: IndexMap<u64, oneshot::Sender<PermitDecision>>,
    /// Requests that wait in the owner's queue.
    queued: IndexSet<u64>,
    /// Permits in use, each with the time until which the owner counts it at least.
    in_use: IndexMap<PermitId, (ShardId, Time)>,
    renewing: bool,
    renewals: Vec<PermitRenewal>,
}

impl ClientState {
    fn is_empty(&self) -> bool {
        self.requests.is_empty()
            && self.returns.is_empty()
            && self.renewals.is_empty()
            && self.withdrawn.is_empty()
    }

    /// Queues renewals for the permits in use that end soon; returns false if none is in use.
    fn queue_renewals(&mut self, now: Time) -> bool {
        for (permit, (shard, end)) in &mut self.in_use {
            if *end < now.after(RENEWAL_MARGIN) {
                *end = now.after(RENEWAL_TTL);
                self.renewals.push(PermitRenewal {
                    shard: shard.clone(),
                    permit: *permit,
                    left_us: u64::try_from(RENEWAL_TTL.as_micros()).unwrap_or(u64::MAX),
                });
            }
        }
        self.renewing = !self.in_use.is_empty();
        self.renewing
    }
}

impl OwnerClient {
    /// Creates a client with nothing to send.
    pub(super) fn new(owner: Member) -> Self {
        Self {
            owner,
            state: Mutex::default(),
        }
    }

    /// Records that a permit is in use and keeps it renewed until it is returned.
    pub(crate) fn track_in_use(
        self: &Arc<Self>,
        instance: &Arc<Instance>,
        shard: &ShardId,
        permit: PermitId,
        end: Time,
    ) {
        let mut state = self.state();
        state.in_use.insert(permit, (shard.clone(), end));
        if !std::mem::replace(&mut state.renewing, true) {
            let task = tasks::renew_in_use(Arc::clone(self), Arc::clone(instance));
            instance.rt.spawn(task);
        }
    }

    /// Requests a permit and waits for the decision.
    pub(crate) async fn request(
        self: &Arc<Self>,
        instance: &Arc<Instance>,
        request: PermitRequest,
    ) -> Result<GrantedPermit, Refusal> {
        let number = request.number;
        let shard = request.shard.clone();
        let (tx, rx) = oneshot::channel();
        {
            let mut state = self.state();
            state.requests.push(request);
            state.waiting.insert(number, tx);
        }
        self.ensure_sending(instance);
        let mut pending = PendingRequest {
            client: self,
            instance,
            shard,
            number,
            rx,
        };
        match (&mut pending.rx).await {
            Ok(PermitDecision::Granted(granted)) => Ok(granted),
            Ok(PermitDecision::Refused { reason }) => Err(reason),
            Ok(PermitDecision::Queued) | Err(_) => Err(Refusal::OwnerUnreachable),
        }
    }

    /// Returns a permit with the next batch.
    pub(crate) fn return_permit(
        self: &Arc<Self>,
        instance: &Arc<Instance>,
        shard: ShardId,
        permit: PermitId,
        report: CallReport,
    ) {
        {
            let mut state = self.state();
            state.in_use.swap_remove(&permit);
            state.returns.push(PermitReturn {
                shard,
                permit,
                report,
            });
        }
        self.ensure_sending(instance);
    }

    /// Peer address of the owner.
    pub(crate) fn address(&self) -> SocketAddr {
        self.owner.peers
    }

    fn ensure_sending(self: &Arc<Self>, instance: &Arc<Instance>) {
        {
            let mut state = self.state();
            if state.open_batches >= MAX_OPEN_BATCHES {
                return;
            }
            state.open_batches += 1;
        }
        instance
            .rt
            .spawn(tasks::send_batches(Arc::clone(self), Arc::clone(instance)));
    }

    /// Takes the next batch, most urgent requests first. `None` if there is nothing to
    /// send; the calling task then ends.
    fn next_batch(&self, instance: &Instance) -> Option<PermitBatch> {
        let mut state = self.state();
        if state.is_empty() {
            state.open_batches -= 1;
            return None;
        }
        state
            .requests
            .sort_by_key(|request| (request.rank, request.left_us));
        let count = state.requests.len().min(MAX_BATCH_REQUESTS);
        let member = &instance.tables.member;
        Some(PermitBatch {
            owner: self.owner.start.clone(),
            borrower: member.instance.clone(),
            start: member.start.clone(),
            requests: state.requests.drain(..count).collect(),
            returns: std::mem::take(&mut state.returns),
            renewals: std::mem::take(&mut state.renewals),
            withdrawn: std::mem::take(&mut state.withdrawn),
        })
    }

    fn handle_response(
        self: &Arc<Self>,
        instance: &Arc<Instance>,
        sent: Time,
        response: PermitBatchResponse,
    ) {
        let now = instance.tables.clock.now();
        {
            let mut capacities = instance.tables.capacities();
            for capacity in response.capacities {
                capacities.update(now, capacity);
            }
        }
        if !response.lent.is_empty() {
            self.store_lent_permits(instance, sent, response.lent);
        }
        self.deliver(instance, response.responses);
    }

    fn store_lent_permits(
        self: &Arc<Self>,
        instance: &Arc<Instance>,
        sent: Time,
        permits: Vec<LentPermit>,
    ) {
        let longest = permits.iter().map(|permit| permit.use_within_us).max();
        let until = sent.after(Duration::from_micros(longest.unwrap_or_default()));
        for permit in permits {
            instance.remote_permits.add(sent, self, permit);
        }
        let shared = Arc::clone(instance);
        instance.rt.spawn(async move {
            let left = until.since(shared.tables.clock.now());
            tokio::time::sleep(left).await;
            shared.remote_permits.sweep(&shared);
        });
    }

    fn deliver(self: &Arc<Self>, instance: &Arc<Instance>, responses: Vec<PermitResponse>) {
        let mut poll = false;
        let mut unclaimed = Vec::new();
        {
            let mut state = self.state();
            for PermitResponse { number, decision } in responses {
                if matches!(decision, PermitDecision::Queued) {
                    if state.waiting.contains_key(&number) {
                        state.queued.insert(number);
                    } else {
                        state.withdrawn.push(number);
                    }
                    continue;
                }
                state.queued.swap_remove(&number);
                let decision = match state.waiting.swap_remove(&number) {
                    Some(tx) => tx.send(decision),
                    None => Err(decision),
                };
                unclaimed.extend(decision.err());
            }
            if !state.queued.is_empty() && !state.polling {
                state.polling = true;
                poll = true;
            }
        }
        for decision in unclaimed {
            self.return_unclaimed(instance, decision);
        }
        if poll {
            instance
                .rt
                .spawn(tasks::poll_queued(Arc::clone(self), Arc::clone(instance)));
        }
    }

    /// Returns a permit that was granted to a call that no longer waits for it.
    fn return_unclaimed(self: &Arc<Self>, instance: &Arc<Instance>, decision: PermitDecision) {
        let PermitDecision::Granted(granted) = decision else {
            return;
        };
        let report = CallReport::unsent();
        self.return_permit(instance, granted.shard, granted.permit, report);
    }

    fn refuse(self: &Arc<Self>, instance: &Arc<Instance>, numbers: impl Iterator<Item = u64>) {
        let refused = numbers.map(|number| PermitResponse {
            number,
            decision: PermitDecision::Refused {
                reason: Refusal::OwnerUnreachable,
            },
        });
        self.deliver(instance, refused.collect());
    }

    fn state(&self) -> MutexGuard<'_, ClientState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A request that waits for its decision; it is withdrawn if dropped early.
struct PendingRequest<'a> {
    client: &'a Arc<OwnerClient>,
    instance: &'a Arc<Instance>,
    shard: ShardId,
    number: u64,
    rx: oneshot::Receiver<PermitDecision>,
}

impl Drop for PendingRequest<'_> {
    fn drop(&mut self) {
        let withdraw = {
            let mut state = self.client.state();
            state.waiting.swap_remove(&self.number);
            state
                .requests
                .retain(|request| request.number != self.number);
            let queued = state.queued.swap_remove(&self.number);
            if queued {
                state.withdrawn.push(self.number);
            }
            queued
        };
        if withdraw {
            self.client.ensure_sending(self.instance);
        }
        if let Ok(PermitDecision::Granted(granted)) = self.rx.try_recv() {
            let shard = self.shard.clone();
            let report = CallReport::unsent();
            self.client
                .return_permit(self.instance, shard, granted.permit, report);
        }
    }
}
