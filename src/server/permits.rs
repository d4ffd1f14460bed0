//! Permits for other instances: batches of requests, and polls for the responses
//! to queued ones.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use futures_util::FutureExt;
use indexmap::IndexMap;
use tokio::sync::Notify;
use tokio::task::AbortHandle;

use crate::admission::permit::{
    CallResult, GrantedPermit, Permit, PermitBatch, PermitBatchResponse, PermitDecision,
    PermitPoll, PermitRequest, PermitResponse, Refusal, SlotRequest,
};
use crate::instance::Instance;
use crate::names::{InstanceId, ShardId, StartId};
use crate::tables::next_permit_id;
use crate::units::Time;

/// Maximum time that a poll waits for a response.
const POLL_TIMEOUT: Duration = Duration::from_secs(1);
/// Time after which the mailbox of a borrower that sends no request is dropped.
const MAILBOX_TTL: Duration = Duration::from_secs(60);

/// Responses that borrowers have yet to fetch, by the borrower's run.
#[derive(Debug, Default)]
pub(crate) struct Mailboxes(Mutex<IndexMap<StartId, Arc<Mailbox>>>);

#[derive(Debug, Default)]
struct Mailbox {
    state: Mutex<MailboxState>,
    response_ready: Notify,
}

#[derive(Debug, Default)]
struct MailboxState {
    responses: Vec<PermitResponse>,
    /// Tasks of queued requests, by request number.
    queued: IndexMap<u64, AbortHandle>,
    last_used: Time,
}

impl Mailboxes {
    fn get_or_create(&self, now: Time, start: &StartId) -> Arc<Mailbox> {
        let mut boxes = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        if !boxes.contains_key(start) {
            boxes.retain(|_, mailbox| now < mailbox.state().last_used.after(MAILBOX_TTL));
        }
        let mailbox = boxes.entry(start.clone()).or_default();
        mailbox.state().last_used = now;
        Arc::clone(mailbox)
    }
}

impl Mailbox {
    fn state(&self) -> MutexGuard<'_, MailboxState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Processes one batch: returns and renewals first, then the requests, most urgent
/// first.
pub(super) fn batch(instance: &Arc<Instance>, msg: PermitBatch) -> PermitBatchResponse {
    if msg.owner != instance.tables.member.start {
        return refuse_all(&msg);
    }
    let now = instance.tables.clock.now();
    // Finished calls of each shard that the batch mentions.
    let mut finished_calls = IndexMap::<ShardId, u32>::new();
    for returned in &msg.returns {
        let calls = u32::from(returned.report.result != CallResult::Unsent);
        *finished_calls.entry(returned.shard.clone()).or_default() += calls;
        if let Some(owned) = instance.tables.owned_shard(&returned.shard) {
            owned.release(&instance.tables, returned.permit, &returned.report);
        }
    }
    for renewal in &msg.renewals {
        if let Some(owned) = instance.tables.owned_shard(&renewal.shard) {
            let left = Duration::from_micros(renewal.left_us);
            owned.with(|shard| shard.renew(now, renewal.permit, left));
        }
    }
    let mailbox = instance.mailboxes.get_or_create(now, &msg.start);
    withdraw(&mailbox, &msg.withdrawn);
    let mut response = PermitBatchResponse::default();
    for request in msg.requests {
        finished_calls.entry(request.shard.clone()).or_default();
        let number = request.number;
        let decided = decide(instance, &mailbox, &msg.borrower, request);
        response.responses.push(PermitResponse {
            number,
            decision: decided,
        });
    }
    for (shard, calls) in finished_calls {
        if let Some(owned) = instance.tables.owned_shard(&shard) {
            let tables = &instance.tables;
            let lent = owned.lend(tables, &shard, &msg.borrower, calls);
            response.lent.extend(lent);
            let capacity = owned.with(|state| state.capacity(now, &shard));
            response.capacities.push(capacity);
        }
    }
    response
}

fn refuse_all(msg: &PermitBatch) -> PermitBatchResponse {
    let refused = |request: &PermitRequest| PermitResponse {
        number: request.number,
        decision: PermitDecision::Refused {
            reason: Refusal::NotOwner,
        },
    };
    PermitBatchResponse {
        responses: msg.requests.iter().map(refused).collect(),
        ..PermitBatchResponse::default()
    }
}

fn withdraw(mailbox: &Mailbox, withdrawn: &[u64]) {
    let mut state = mailbox.state();
    let tasks: Vec<_> = withdrawn
        .iter()
        .filter_map(|number| state.queued.swap_remove(number))
        .collect();
    drop(state);
    tasks.iter().for_each(AbortHandle::abort);
}

/// Decides on one request. The decision on a queued one goes to the mailbox.
fn decide(
    instance: &Arc<Instance>,
    mailbox: &Arc<Mailbox>,
    borrower: &InstanceId,
    msg: PermitRequest,
) -> PermitDecision {
    let Some(owned) = instance.tables.owned_shard(&msg.shard) else {
        return refused(Refusal::NotOwner);
    };
    let left = Duration::from_micros(msg.left_us);
    let request = SlotRequest {
        id: next_permit_id(),
        rank: msg.rank,
        caller: msg.caller,
        deadline: instance.tables.clock.now().after(left),
        borrower: Some(borrower.clone()),
        may_wait: msg.may_wait,
        excluded: msg.excluded,
    };
    let cx = Arc::clone(instance);
    let shard = msg.shard;
    let mut pending = Box::pin(async move {
        match owned.request_slot(&cx.tables, request).await {
            Ok(permit) => granted(shard, permit),
            Err(reason) => refused(reason),
        }
    });
    if let Some(decided) = (&mut pending).now_or_never() {
        return decided;
    }
    let number = msg.number;
    let mut state = mailbox.state();
    let receiver = Arc::clone(mailbox);
    let task = instance.rt.spawn(async move {
        let decided = pending.await;
        let mut state = receiver.state();
        state.queued.swap_remove(&number);
        state.responses.push(PermitResponse {
            number,
            decision: decided,
        });
        drop(state);
        receiver.response_ready.notify_one();
    });
    state.queued.insert(number, task.abort_handle());
    PermitDecision::Queued
}

/// Returns the responses to a borrower's queued requests, waiting at most
/// [`POLL_TIMEOUT`] for the first.
pub(super) async fn poll(instance: &Instance, msg: PermitPoll) -> Vec<PermitResponse> {
    let now = instance.tables.clock.now();
    let mailbox = instance.mailboxes.get_or_create(now, &msg.start);
    let fetch = || std::mem::take(&mut mailbox.state().responses);
    let responses = fetch();
    if !responses.is_empty() {
        return responses;
    }
    let _ = tokio::time::timeout(POLL_TIMEOUT, mailbox.response_ready.notified()).await;
    fetch()
}

fn granted(shard: ShardId, permit: Permit) -> PermitDecision {
    PermitDecision::Granted(GrantedPermit {
        shard,
        permit: permit.id,
        target: permit.target,
        address: permit.address,
    })
}

fn refused(reason: Refusal) -> PermitDecision {
    PermitDecision::Refused { reason }
}
