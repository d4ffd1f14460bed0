//! Permits for other instances: their batches, and answers to what they queued.

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

/// Longest wait of a poll without an answer.
const POLL_WAIT: Duration = Duration::from_secs(1);
/// Time after which the answers to an asker that doesn't poll are dropped.
const POLL_LIFE: Duration = Duration::from_secs(60);

/// The answers that askers have yet to fetch, by the asker's run.
#[derive(Debug, Default)]
pub(crate) struct Mailboxes(Mutex<IndexMap<StartId, Arc<Mailbox>>>);

#[derive(Debug, Default)]
struct Mailbox {
    state: Mutex<MailState>,
    filled: Notify,
}

#[derive(Debug, Default)]
struct MailState {
    answers: Vec<PermitResponse>,
    waiting: IndexMap<u64, AbortHandle>,
    used: Time,
}

impl Mailboxes {
    fn of(&self, now: Time, start: &StartId) -> Arc<Mailbox> {
        let mut boxes = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        if !boxes.contains_key(start) {
            boxes.retain(|_, mailbox| now < mailbox.state().used.after(POLL_LIFE));
        }
        let mailbox = boxes.entry(start.clone()).or_default();
        mailbox.state().used = now;
        Arc::clone(mailbox)
    }
}

impl Mailbox {
    fn state(&self) -> MutexGuard<'_, MailState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Takes one batch in: returns first, then the asks, most urgent first.
pub(super) fn batch(instance: &Arc<Instance>, msg: PermitBatch) -> PermitBatchResponse {
    if msg.owner != instance.tables.member.start {
        return refuse_all(&msg);
    }
    let now = instance.tables.clock.now();
    let mut ended = IndexMap::<ShardId, u32>::new();
    for returned in &msg.returns {
        let calls = u32::from(returned.report.result != CallResult::Unsent);
        *ended.entry(returned.shard.clone()).or_default() += calls;
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
    let mailbox = instance.mailboxes.of(now, &msg.start);
    withdraw(&mailbox, &msg.withdrawn);
    let mut answer = PermitBatchResponse::default();
    for ask in msg.requests {
        ended.entry(ask.shard.clone()).or_default();
        let number = ask.number;
        let decided = decide(instance, &mailbox, &msg.borrower, ask);
        answer.responses.push(PermitResponse {
            number,
            decision: decided,
        });
    }
    for (shard, calls) in ended {
        if let Some(owned) = instance.tables.owned_shard(&shard) {
            let tables = &instance.tables;
            let lent = owned.lend(tables, &shard, &msg.borrower, calls);
            answer.lent.extend(lent);
            let capacity = owned.with(|state| state.capacity(now, &shard));
            answer.capacities.push(capacity);
        }
    }
    answer
}

fn refuse_all(msg: &PermitBatch) -> PermitBatchResponse {
    let refused = |ask: &PermitRequest| PermitResponse {
        number: ask.number,
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
        .filter_map(|ask| state.waiting.swap_remove(ask))
        .collect();
    drop(state);
    tasks.iter().for_each(AbortHandle::abort);
}

/// Decides on one ask; one that waits is answered through the mailbox.
fn decide(
    instance: &Arc<Instance>,
    mailbox: &Arc<Mailbox>,
    asker: &InstanceId,
    msg: PermitRequest,
) -> PermitDecision {
    let Some(owned) = instance.tables.owned_shard(&msg.shard) else {
        return refused(Refusal::NotOwner);
    };
    let left = Duration::from_micros(msg.left_us);
    let ask = SlotRequest {
        id: next_permit_id(),
        rank: msg.rank,
        caller: msg.caller,
        deadline: instance.tables.clock.now().after(left),
        borrower: Some(asker.clone()),
        may_wait: msg.may_wait,
        excluded: msg.excluded,
    };
    let cx = Arc::clone(instance);
    let shard = msg.shard;
    let mut asking = Box::pin(async move {
        match owned.request_slot(&cx.tables, ask).await {
            Ok(permit) => granted(shard, permit),
            Err(reason) => refused(reason),
        }
    });
    if let Some(answer) = (&mut asking).now_or_never() {
        return answer;
    }
    let number = msg.number;
    let mut state = mailbox.state();
    let receiver = Arc::clone(mailbox);
    let task = instance.rt.spawn(async move {
        let answer = asking.await;
        let mut state = receiver.state();
        state.waiting.swap_remove(&number);
        state.answers.push(PermitResponse {
            number,
            decision: answer,
        });
        drop(state);
        receiver.filled.notify_one();
    });
    state.waiting.insert(number, task.abort_handle());
    PermitDecision::Queued
}

/// Waits for the answers to what an asker has queued.
pub(super) async fn poll(instance: &Instance, msg: PermitPoll) -> Vec<PermitResponse> {
    let now = instance.tables.clock.now();
    let mailbox = instance.mailboxes.of(now, &msg.start);
    let fetch = || std::mem::take(&mut mailbox.state().answers);
    let answers = fetch();
    if !answers.is_empty() {
        return answers;
    }
    let _ = tokio::time::timeout(POLL_WAIT, mailbox.filled.notified()).await;
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
