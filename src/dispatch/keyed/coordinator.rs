//! Coordinator of keyed calls: records them in the store, several in one write.

use std::collections::VecDeque;
use std::sync::{Arc, Weak};
use std::time::Duration;

use indexmap::{IndexMap, IndexSet};
use tokio::sync::{mpsc, oneshot};

use super::store::{batch_txn, delete_txn, look_up, new_record};
use super::{
    Decision, KeyedBegin, KeyedEnd, KeyedResponse, Lookup, Record, RecordKey, Token, decide,
};
use crate::instance::Instance;
use crate::platform::store::{LeaseId, StoreError};
use crate::units::Time;

/// Maximum number of records in one write.
const BATCH_RECORDS: usize = 64;
/// Share of the instance's store write budget that keyed calls may use.
const WRITE_BUDGET_SHARE: f64 = 0.5;
/// Lower bound of the write rate, in writes per second.
const MIN_WRITE_RATE: f64 = 0.1;
/// Number of writes that may be sent without delay after an idle time.
const WRITE_BURST: f64 = 5.0;
/// Maximum number of cached records.
const CACHED_RECORDS: usize = 4_096;
/// Time for which a record is cached.
const CACHE_TTL: Duration = Duration::from_secs(60);
/// Minimum time for which a record is kept in the store.
const RETENTION: Duration = Duration::from_secs(3600);
/// Length of one period; the records of a period share a store lease.
const LEASE_PERIOD: Duration = Duration::from_secs(600);
/// Maximum number of records that one coordinator writes per period.
const RECORDS_PER_PERIOD: usize = 1_000;
/// Capacity of the queue of operations.
const QUEUE_CAPACITY: usize = 1_024;
/// Maximum number of abandoned dispatches that are kept.
const ABANDONED_TOKENS: usize = 4_096;

/// An operation at a coordinator; the sender takes the result.
#[derive(Debug)]
pub(crate) enum Op {
    Begin(KeyedBegin, oneshot::Sender<KeyedResponse>),
    End(KeyedEnd, oneshot::Sender<bool>),
}

impl Op {
    /// Whether the operation can be dropped because nothing waits for its result.
    /// The end of a call is always processed, as it may free a key.
    fn is_obsolete(&self) -> bool {
        match self {
            Self::Begin(_, tx) => tx.is_closed(),
            Self::End(..) => false,
        }
    }

    fn is_release(&self) -> bool {
        matches!(self, Self::End(end, _) if end.outcome.is_none())
    }

    fn key(&self) -> &RecordKey {
        match self {
            Self::Begin(begin, _) => &begin.key,
            Self::End(end, _) => &end.key,
        }
    }
}

/// Handles a [`KeyedBegin`] on its coordinator: whether a call may run.
pub(crate) async fn begin(instance: &Arc<Instance>, begin: KeyedBegin) -> KeyedResponse {
    let (tx, rx) = oneshot::channel();
    if queue(instance).try_send(Op::Begin(begin, tx)).is_err() {
        return KeyedResponse::Unavailable;
    }
    rx.await.unwrap_or(KeyedResponse::Unavailable)
}

/// Handles a [`KeyedEnd`] on its coordinator; returns whether the end is recorded.
pub(crate) async fn finish(instance: &Arc<Instance>, end: KeyedEnd) -> bool {
    let (tx, rx) = oneshot::channel();
    if queue(instance).try_send(Op::End(end, tx)).is_err() {
        return false;
    }
    rx.await.unwrap_or(false)
}

fn queue(instance: &Arc<Instance>) -> &mpsc::Sender<Op> {
    instance.dispatch.keyed.get_or_init(|| {
        let (tx, rx) = mpsc::channel(QUEUE_CAPACITY);
        instance.rt.spawn(run(Arc::downgrade(instance), rx));
        tx
    })
}

async fn run(instance: Weak<Instance>, mut rx: mpsc::Receiver<Op>) {
    let mut coordinator = Coordinator::default();
    loop {
        if coordinator.waiting.is_empty() {
            let Some(op) = rx.recv().await else {
                return;
            };
            coordinator.waiting.push_back(op);
        }
        let Some(instance) = instance.upgrade() else {
            return;
        };
        coordinator.wait_for_budget(&instance).await;
        while let Ok(op) = rx.try_recv() {
            coordinator.waiting.push_back(op);
        }
        let batch = coordinator.take_batch();
        coordinator.process(&instance, batch).await;
    }
}

/// One operation of a batch.
#[derive(Debug)]
pub(super) struct Entry {
    pub(super) op: Op,
    /// Store revision of the record that a new one replaces; zero if there is none.
    pub(super) mod_revision: i64,
}

/// Operations for one write, at most one per key.
pub(super) type Batch = IndexMap<RecordKey, Entry>;

#[derive(Debug, Default)]
struct Coordinator {
    waiting: VecDeque<Op>,
    /// Dispatches that never ran although their record may be in the store; such a record
    /// does not occupy its key.
    abandoned: IndexSet<Token>,
    /// Records written recently, each with the time of the write.
    cached: IndexMap<RecordKey, (Record, Time)>,
    /// Store lease of the current period and the time at which it was granted.
    lease: Option<(LeaseId, Time)>,
    period_records: usize,
    write_tokens: f64,
    last_refill: Time,
}

impl Coordinator {
    /// Waits until the token bucket permits a write; its rate leaves a part of the
    /// instance's store budget to other uses.
    async fn wait_for_budget(&mut self, instance: &Instance) {
        let rate = instance.tables.settings.platform.budget.writes_per_second * WRITE_BUDGET_SHARE;
        let rate = rate.max(MIN_WRITE_RATE);
        let now = instance.tables.clock.now();
        let earned = now.since(self.last_refill).as_secs_f64() * rate;
        self.last_refill = now;
        self.write_tokens = (self.write_tokens + earned).min(WRITE_BURST);
        if self.write_tokens < 1.0 {
            tokio::time::sleep(Duration::from_secs_f64((1.0 - self.write_tokens) / rate)).await;
        }
        self.write_tokens -= 1.0;
    }

    /// Takes the operations for one write; further ones on the same key remain queued.
    fn take_batch(&mut self) -> Batch {
        let mut batch = Batch::new();
        let mut deferred = VecDeque::new();
        for op in self.waiting.drain(..) {
            if op.is_obsolete() {
                continue;
            }
            if batch.len() >= BATCH_RECORDS || batch.contains_key(op.key()) {
                deferred.push_back(op);
                continue;
            }
            let entry = Entry {
                op,
                mod_revision: 0,
            };
            batch.insert(entry.op.key().clone(), entry);
        }
        self.waiting = deferred;
        batch
    }

    async fn process(&mut self, instance: &Instance, batch: Batch) {
        let mut pending = Batch::new();
        for (key, entry) in batch {
            if entry.op.is_release() {
                self.release(instance, entry.op).await;
                continue;
            }
            let cached = self.cached(instance, &key);
            if let Some(entry) = self.respond(entry, cached.as_ref()) {
                pending.insert(key, entry);
            }
        }
        if pending.is_empty() {
            return;
        }
        match self.write(instance, &pending).await {
            Ok(true) => self.confirm(instance, pending),
            Ok(false) => self.retry_write(instance, pending).await,
            Err(err) => self.fail(&err, pending),
        }
    }

    /// Writes a batch once more after one of its keys turned out to have a record already.
    /// Every key is looked up before, as the first write relies on the cache alone.
    async fn retry_write(&mut self, instance: &Instance, batch: Batch) {
        let mut pending = Batch::new();
        for (key, entry) in batch {
            if matches!(entry.op, Op::End(..)) {
                pending.insert(key, entry);
                continue;
            }
            match look_up(instance, &key).await {
                Ok(found) => {
                    if let Some(entry) = self.respond(entry, found.as_ref()) {
                        pending.insert(key, entry);
                    }
                }
                Err(err) => self.fail(&err, [(key, entry)].into_iter().collect()),
            }
        }
        if pending.is_empty() {
            return;
        }
        match self.write(instance, &pending).await {
            Ok(true) => self.confirm(instance, pending),
            // Another writer changes these keys concurrently; nothing was written.
            Ok(false) => refuse(pending),
            Err(err) => self.fail(&err, pending),
        }
    }

    /// Responds to a call by the record found, or returns the entry if it must be written.
    fn respond(&self, mut entry: Entry, found: Option<&Lookup>) -> Option<Entry> {
        let Op::Begin(begin, _) = &entry.op else {
            return Some(entry);
        };
        let abandoned = |token: &Token| self.abandoned.contains(token);
        match decide(begin, found, abandoned) {
            Decision::Write { mod_revision } => {
                entry.mod_revision = mod_revision;
                Some(entry)
            }
            Decision::Respond(response) => {
                if let Op::Begin(_, tx) = entry.op {
                    let _ = tx.send(response);
                }
                None
            }
        }
    }

    /// Writes a batch; returns false, with nothing written, if one of its keys has a record
    /// other than the one that the write replaces.
    async fn write(&mut self, instance: &Instance, batch: &Batch) -> Result<bool, StoreError> {
        let begins = batch
            .values()
            .filter(|entry| matches!(entry.op, Op::Begin(..)))
            .count();
        let lease = self.lease(instance, begins).await?;
        let resp = (instance.store.txn)(batch_txn(batch, lease)).await?;
        Ok(resp.succeeded)
    }

    fn confirm(&mut self, instance: &Instance, batch: Batch) {
        let now = instance.tables.clock.now();
        for (key, entry) in batch {
            let record = match &entry.op {
                Op::Begin(begin, _) => new_record(begin),
                Op::End(end, _) => Record {
                    token: end.token.clone(),
                    fingerprint: end.fingerprint,
                    outcome: end.outcome.clone(),
                },
            };
            self.cached.insert(key, (record, now));
            send_result(entry.op, true);
        }
        while self.cached.len() > CACHED_RECORDS {
            self.cached.shift_remove_index(0);
        }
    }

    /// Handles a failed write: queues the batch again if it was over the store budget,
    /// else refuses it.
    fn fail(&mut self, err: &StoreError, batch: Batch) {
        match err {
            StoreError::OverBudget => {
                let ops = batch.into_values().map(|entry| entry.op);
                for op in ops.rev() {
                    self.waiting.push_front(op);
                }
                return;
            }
            StoreError::OutcomeUnknown(_) => self.abandon_begins(&batch),
            StoreError::LeaseExpired | StoreError::Refused(_) => self.lease = None,
            StoreError::Unreachable(_) | StoreError::Compacted(_) => {}
        }
        refuse(batch);
    }

    /// Frees the key of a call that was not run, if the record still belongs to it.
    async fn release(&mut self, instance: &Instance, op: Op) {
        let Op::End(end, _) = &op else {
            return;
        };
        // Kept before the store is used, so that the key is free here even if the store is down.
        self.add_abandoned(end.token.clone());
        self.cached.swap_remove(&end.key);
        let freed = match look_up(instance, &end.key).await {
            Ok(Some(found)) if found.record.token == end.token => {
                let deleted = (instance.store.txn)(delete_txn(&end.key, &found)).await;
                deleted.map(|_| ())
            }
            found => found.map(|_| ()),
        };
        if freed == Err(StoreError::OverBudget) {
            self.waiting.push_front(op);
            return;
        }
        send_result(op, freed.is_ok());
    }

    /// Returns the cached record that this coordinator wrote under a key recently.
    fn cached(&self, instance: &Instance, key: &RecordKey) -> Option<Lookup> {
        let (record, written) = self.cached.get(key)?;
        let now = instance.tables.clock.now();
        let fresh = now.since(*written) < CACHE_TTL && !self.abandoned.contains(&record.token);
        fresh.then(|| Lookup {
            record: record.clone(),
            mod_revision: 0,
        })
    }

    /// Returns the store lease for this period's records and counts `begins` new ones.
    async fn lease(&mut self, instance: &Instance, begins: usize) -> Result<LeaseId, StoreError> {
        let now = instance.tables.clock.now();
        let current = self
            .lease
            .filter(|(_, granted)| now.since(*granted) < LEASE_PERIOD);
        let lease = if let Some((lease, _)) = current {
            lease
        } else {
            let lease = (instance.store.grant)(RETENTION + LEASE_PERIOD).await?;
            self.lease = Some((lease, now));
            self.period_records = 0;
            lease
        };
        if self.period_records + begins > RECORDS_PER_PERIOD {
            return Err(StoreError::Unreachable(
                "limit of keyed records per period reached".to_owned(),
            ));
        }
        self.period_records += begins;
        Ok(lease)
    }

    fn abandon_begins(&mut self, batch: &Batch) {
        for entry in batch.values() {
            if let Op::Begin(begin, _) = &entry.op {
                self.add_abandoned(begin.token.clone());
            }
        }
    }

    fn add_abandoned(&mut self, token: Token) {
        self.abandoned.insert(token);
        if self.abandoned.len() > ABANDONED_TOKENS {
            self.abandoned.shift_remove_index(0);
        }
    }
}

fn refuse(batch: Batch) {
    for (_, entry) in batch {
        send_result(entry.op, false);
    }
}

/// Sends the result of an operation; the receiver may be gone.
fn send_result(op: Op, written: bool) {
    match op {
        Op::Begin(_, tx) => {
            let response = if written {
                KeyedResponse::Fresh
            } else {
                KeyedResponse::Unavailable
            };
            let _ = tx.send(response);
        }
        Op::End(_, tx) => {
            let _ = tx.send(written);
        }
    }
}
