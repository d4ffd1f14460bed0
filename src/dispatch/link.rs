//! The link to one owner: asks and returns gather and go in batches.

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

/// Batches to one owner that may be unanswered at a time.
const OPEN_BATCHES: u32 = 2;
/// Asks in one batch.
const BATCH_ASKS: usize = 256;
/// Time before its end at which a permit in use is renewed.
const RENEW_AHEAD: Duration = Duration::from_secs(1);
/// Time for which a permit is renewed.
const RENEWAL: Duration = Duration::from_secs(3);

/// Asks to and answers from one run of one owner.
#[derive(Debug)]
pub(crate) struct Link {
    owner: Member,
    state: Mutex<LinkState>,
}

#[derive(Debug, Default)]
struct LinkState {
    asks: Vec<PermitRequest>,
    returns: Vec<PermitReturn>,
    withdrawn: Vec<u64>,
    /// Batches that are unanswered.
    open: u32,
    polling: bool,
    waiting: IndexMap<u64, oneshot::Sender<PermitDecision>>,
    /// Asks that wait in the owner's queue.
    queued: IndexSet<u64>,
    /// Permits in use, with the end that the owner counts them to at the least.
    held: IndexMap<PermitId, (ShardId, Time)>,
    renewing: bool,
    renewals: Vec<PermitRenewal>,
}

impl LinkState {
    fn is_empty(&self) -> bool {
        self.asks.is_empty()
            && self.returns.is_empty()
            && self.renewals.is_empty()
            && self.withdrawn.is_empty()
    }

    /// Renews the permits in use that end soon; false when none is in use.
    fn renew(&mut self, now: Time) -> bool {
        for (permit, (shard, end)) in &mut self.held {
            if *end < now.after(RENEW_AHEAD) {
                *end = now.after(RENEWAL);
                self.renewals.push(PermitRenewal {
                    shard: shard.clone(),
                    permit: *permit,
                    left_us: u64::try_from(RENEWAL.as_micros()).unwrap_or(u64::MAX),
                });
            }
        }
        self.renewing = !self.held.is_empty();
        self.renewing
    }
}

impl Link {
    /// Builds a link without asks.
    pub(super) fn new(owner: Member) -> Self {
        Self {
            owner,
            state: Mutex::default(),
        }
    }

    /// Notes that a permit is in use, and keeps it renewed until it is given back.
    pub(crate) fn hold(
        self: &Arc<Self>,
        instance: &Arc<Instance>,
        shard: &ShardId,
        permit: PermitId,
        end: Time,
    ) {
        let mut state = self.state();
        state.held.insert(permit, (shard.clone(), end));
        if !std::mem::replace(&mut state.renewing, true) {
            let renew = tasks::renew_held(Arc::clone(self), Arc::clone(instance));
            instance.rt.spawn(renew);
        }
    }

    /// Asks for a permit and waits for the decision.
    pub(crate) async fn ask(
        self: &Arc<Self>,
        instance: &Arc<Instance>,
        ask: PermitRequest,
    ) -> Result<GrantedPermit, Refusal> {
        let number = ask.number;
        let shard = ask.shard.clone();
        let (tx, rx) = oneshot::channel();
        {
            let mut state = self.state();
            state.asks.push(ask);
            state.waiting.insert(number, tx);
        }
        self.kick(instance);
        let mut asked = Asked {
            link: self,
            instance,
            shard,
            number,
            rx,
        };
        match (&mut asked.rx).await {
            Ok(PermitDecision::Granted(granted)) => Ok(granted),
            Ok(PermitDecision::Refused { reason }) => Err(reason),
            Ok(PermitDecision::Queued) | Err(_) => Err(Refusal::OwnerUnreachable),
        }
    }

    /// Gives a permit back with the next batch.
    pub(crate) fn give_back(
        self: &Arc<Self>,
        instance: &Arc<Instance>,
        shard: ShardId,
        permit: PermitId,
        report: CallReport,
    ) {
        {
            let mut state = self.state();
            state.held.swap_remove(&permit);
            state.returns.push(PermitReturn {
                shard,
                permit,
                report,
            });
        }
        self.kick(instance);
    }

    /// Where the owner is reached.
    pub(crate) fn address(&self) -> SocketAddr {
        self.owner.peers
    }

    fn kick(self: &Arc<Self>, instance: &Arc<Instance>) {
        {
            let mut state = self.state();
            if state.open >= OPEN_BATCHES {
                return;
            }
            state.open += 1;
        }
        instance
            .rt
            .spawn(tasks::send_batches(Arc::clone(self), Arc::clone(instance)));
    }

    /// What has gathered, most urgent first; nothing ends the sending.
    fn next_batch(&self, instance: &Instance) -> Option<PermitBatch> {
        let mut state = self.state();
        if state.is_empty() {
            state.open -= 1;
            return None;
        }
        state.asks.sort_by_key(|ask| (ask.rank, ask.left_us));
        let count = state.asks.len().min(BATCH_ASKS);
        let member = &instance.tables.member;
        Some(PermitBatch {
            owner: self.owner.start.clone(),
            borrower: member.instance.clone(),
            start: member.start.clone(),
            requests: state.asks.drain(..count).collect(),
            returns: std::mem::take(&mut state.returns),
            renewals: std::mem::take(&mut state.renewals),
            withdrawn: std::mem::take(&mut state.withdrawn),
        })
    }

    fn take_in(
        self: &Arc<Self>,
        instance: &Arc<Instance>,
        sent: Time,
        answer: PermitBatchResponse,
    ) {
        let now = instance.tables.clock.now();
        {
            let mut capacities = instance.tables.capacities();
            for capacity in answer.capacities {
                capacities.update(now, capacity);
            }
        }
        if !answer.lent.is_empty() {
            self.keep_lent(instance, sent, answer.lent);
        }
        self.deliver(instance, answer.responses);
    }

    fn keep_lent(self: &Arc<Self>, instance: &Arc<Instance>, sent: Time, permits: Vec<LentPermit>) {
        let longest = permits.iter().map(|permit| permit.use_within_us).max();
        let until = sent.after(Duration::from_micros(longest.unwrap_or_default()));
        for permit in permits {
            instance.borrowing.keep(sent, self, permit);
        }
        let shared = Arc::clone(instance);
        instance.rt.spawn(async move {
            let left = until.since(shared.tables.clock.now());
            tokio::time::sleep(left).await;
            shared.borrowing.sweep(&shared);
        });
    }

    fn deliver(self: &Arc<Self>, instance: &Arc<Instance>, answers: Vec<PermitResponse>) {
        let mut poll = false;
        let mut untaken = Vec::new();
        {
            let mut state = self.state();
            for PermitResponse {
                number: ask,
                decision: answer,
            } in answers
            {
                if matches!(answer, PermitDecision::Queued) {
                    if state.waiting.contains_key(&ask) {
                        state.queued.insert(ask);
                    } else {
                        state.withdrawn.push(ask);
                    }
                    continue;
                }
                state.queued.swap_remove(&ask);
                let answer = match state.waiting.swap_remove(&ask) {
                    Some(tx) => tx.send(answer),
                    None => Err(answer),
                };
                untaken.extend(answer.err());
            }
            if !state.queued.is_empty() && !state.polling {
                state.polling = true;
                poll = true;
            }
        }
        for answer in untaken {
            self.give_back_untaken(instance, answer);
        }
        if poll {
            instance
                .rt
                .spawn(tasks::poll_answers(Arc::clone(self), Arc::clone(instance)));
        }
    }

    /// Gives back what was granted to a call that is gone.
    fn give_back_untaken(self: &Arc<Self>, instance: &Arc<Instance>, answer: PermitDecision) {
        let PermitDecision::Granted(granted) = answer else {
            return;
        };
        let report = CallReport::unsent();
        self.give_back(instance, granted.shard, granted.permit, report);
    }

    fn refuse(self: &Arc<Self>, instance: &Arc<Instance>, asks: impl Iterator<Item = u64>) {
        let refused = asks.map(|ask| PermitResponse {
            number: ask,
            decision: PermitDecision::Refused {
                reason: Refusal::OwnerUnreachable,
            },
        });
        self.deliver(instance, refused.collect());
    }

    fn state(&self) -> MutexGuard<'_, LinkState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// An ask that waits for its answer; dropped early, it withdraws.
struct Asked<'a> {
    link: &'a Arc<Link>,
    instance: &'a Arc<Instance>,
    shard: ShardId,
    number: u64,
    rx: oneshot::Receiver<PermitDecision>,
}

impl Drop for Asked<'_> {
    fn drop(&mut self) {
        let withdraw = {
            let mut state = self.link.state();
            state.waiting.swap_remove(&self.number);
            state.asks.retain(|ask| ask.number != self.number);
            let queued = state.queued.swap_remove(&self.number);
            if queued {
                state.withdrawn.push(self.number);
            }
            queued
        };
        if withdraw {
            self.link.kick(self.instance);
        }
        if let Ok(PermitDecision::Granted(granted)) = self.rx.try_recv() {
            let shard = self.shard.clone();
            let report = CallReport::unsent();
            self.link
                .give_back(self.instance, shard, granted.permit, report);
        }
    }
}
