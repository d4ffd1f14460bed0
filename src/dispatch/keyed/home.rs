//! The home of keyed calls: it records them in the store, many in one write.

use std::collections::VecDeque;
use std::sync::{Arc, Weak};
use std::time::Duration;

use indexmap::{IndexMap, IndexSet};
use tokio::sync::{mpsc, oneshot};

use super::store::{delete_of, look_up, record_of, write_of};
use super::{
    Decision, KeyedAnswer, KeyedBegin, KeyedEnd, Lookup, Record, RecordKey, Token, decide,
};
use crate::instance::Instance;
use crate::platform::store::{LeaseId, StoreError};
use crate::units::Time;

/// Records that one write holds.
const BATCH: usize = 64;
/// Share of the instance's budget of writes that keyed calls use.
const BUDGET_SHARE: f64 = 0.5;
/// Least rate of a home's writes, a second.
const LEAST_RATE: f64 = 0.1;
/// Writes of a home that may follow each other at once.
const WRITE_BURST: f64 = 5.0;
/// Records that a home knows without asking the store.
const KNOWN: usize = 4_096;
/// How long it does.
const KNOWN_FOR: Duration = Duration::from_secs(60);
/// How long a record is kept, at least.
const RETENTION: Duration = Duration::from_secs(3600);
/// Time in which records share a lease.
const PERIOD: Duration = Duration::from_secs(600);
/// Records that one home makes in a period.
const PERIOD_RECORDS: usize = 1_000;
/// Questions that may wait at a home.
const QUEUE: usize = 1_024;
/// Dispatches that a home remembers to have refused.
const ABANDONED: usize = 4_096;

/// A question or a word to a home.
#[derive(Debug)]
pub(crate) enum Op {
    Begin(KeyedBegin, oneshot::Sender<KeyedAnswer>),
    End(KeyedEnd, oneshot::Sender<bool>),
}

impl Op {
    /// Whether nobody waits for the answer any more; a word that frees a key
    /// is taken all the same.
    fn is_given_up(&self) -> bool {
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

/// Asks this instance, as the home, whether a call may run.
pub(crate) async fn begin(instance: &Arc<Instance>, begin: KeyedBegin) -> KeyedAnswer {
    let (tx, rx) = oneshot::channel();
    if queue(instance).try_send(Op::Begin(begin, tx)).is_err() {
        return KeyedAnswer::Unavailable;
    }
    rx.await.unwrap_or(KeyedAnswer::Unavailable)
}

/// Tells this instance, as the home, that a call has ended; whether it is recorded.
pub(crate) async fn end(instance: &Arc<Instance>, end: KeyedEnd) -> bool {
    let (tx, rx) = oneshot::channel();
    if queue(instance).try_send(Op::End(end, tx)).is_err() {
        return false;
    }
    rx.await.unwrap_or(false)
}

fn queue(instance: &Arc<Instance>) -> &mpsc::Sender<Op> {
    instance.dispatch.keyed.get_or_init(|| {
        let (tx, rx) = mpsc::channel(QUEUE);
        instance.rt.spawn(run(Arc::downgrade(instance), rx));
        tx
    })
}

async fn run(instance: Weak<Instance>, mut rx: mpsc::Receiver<Op>) {
    let mut home = Home::default();
    loop {
        if home.waiting.is_empty() {
            let Some(op) = rx.recv().await else {
                return;
            };
            home.waiting.push_back(op);
        }
        let Some(instance) = instance.upgrade() else {
            return;
        };
        home.wait_for_budget(&instance).await;
        while let Ok(op) = rx.try_recv() {
            home.waiting.push_back(op);
        }
        let batch = home.take_batch();
        home.work(&instance, batch).await;
    }
}

/// One operation of a batch.
#[derive(Debug)]
pub(super) struct Entry {
    pub(super) op: Op,
    /// The store's revision of the key that a new record replaces.
    pub(super) mod_revision: i64,
}

/// Operations that go in one write, each on a key of its own.
pub(super) type Batch = IndexMap<RecordKey, Entry>;

#[derive(Debug, Default)]
struct Home {
    waiting: VecDeque<Op>,
    abandoned: IndexSet<Token>,
    known: IndexMap<RecordKey, (Record, Time)>,
    lease: Option<(LeaseId, Time)>,
    period_records: usize,
    tokens: f64,
    filled: Time,
}

impl Home {
    /// Waits until this home may write; it leaves most of the instance's
    /// budget to the rest of it.
    async fn wait_for_budget(&mut self, instance: &Instance) {
        let rate = instance.tables.settings.platform.budget.writes_per_second * BUDGET_SHARE;
        let rate = rate.max(LEAST_RATE);
        let now = instance.tables.clock.now();
        let earned = now.since(self.filled).as_secs_f64() * rate;
        self.filled = now;
        self.tokens = (self.tokens + earned).min(WRITE_BURST);
        if self.tokens < 1.0 {
            tokio::time::sleep(Duration::from_secs_f64((1.0 - self.tokens) / rate)).await;
        }
        self.tokens -= 1.0;
    }

    /// Takes what one write can hold; a second word on a key waits.
    fn take_batch(&mut self) -> Batch {
        let mut batch = Batch::new();
        let mut later = VecDeque::new();
        for op in self.waiting.drain(..) {
            if op.is_given_up() {
                continue;
            }
            if batch.len() >= BATCH || batch.contains_key(op.key()) {
                later.push_back(op);
                continue;
            }
            let entry = Entry {
                op,
                mod_revision: 0,
            };
            batch.insert(entry.op.key().clone(), entry);
        }
        self.waiting = later;
        batch
    }

    async fn work(&mut self, instance: &Instance, batch: Batch) {
        let mut rest = Batch::new();
        for (key, entry) in batch {
            if entry.op.is_release() {
                self.release(instance, entry.op).await;
                continue;
            }
            let known = self.known(instance, &key);
            if let Some(entry) = self.answer(entry, known.as_ref()) {
                rest.insert(key, entry);
            }
        }
        if rest.is_empty() {
            return;
        }
        match self.write(instance, &rest).await {
            Ok(true) => self.confirm(instance, rest),
            Ok(false) => self.write_again(instance, rest).await,
            Err(err) => self.fail(&err, rest),
        }
    }

    /// Writes a batch once more, after one of its keys was found taken.
    async fn write_again(&mut self, instance: &Instance, batch: Batch) {
        let mut rest = Batch::new();
        for (key, entry) in batch {
            if matches!(entry.op, Op::End(..)) {
                rest.insert(key, entry);
                continue;
            }
            match look_up(instance, &key).await {
                Ok(found) => {
                    if let Some(entry) = self.answer(entry, found.as_ref()) {
                        rest.insert(key, entry);
                    }
                }
                Err(err) => self.fail(&err, [(key, entry)].into_iter().collect()),
            }
        }
        if rest.is_empty() {
            return;
        }
        match self.write(instance, &rest).await {
            Ok(true) => self.confirm(instance, rest),
            // Somebody else uses the keys at this moment; nothing was written.
            Ok(false) => refuse(rest),
            Err(err) => self.fail(&err, rest),
        }
    }

    /// Answers a call by what was found, or returns it to be written.
    fn answer(&self, mut entry: Entry, found: Option<&Lookup>) -> Option<Entry> {
        let Op::Begin(begin, _) = &entry.op else {
            return Some(entry);
        };
        let abandoned = |token: &Token| self.abandoned.contains(token);
        match decide(begin, found, abandoned) {
            Decision::Write { mod_revision } => {
                entry.mod_revision = mod_revision;
                Some(entry)
            }
            Decision::Answer(answer) => {
                if let Op::Begin(_, tx) = entry.op {
                    let _ = tx.send(answer);
                }
                None
            }
        }
    }

    /// Whether the write took effect; false when one of its keys is taken.
    async fn write(&mut self, instance: &Instance, batch: &Batch) -> Result<bool, StoreError> {
        let begins = batch
            .values()
            .filter(|entry| matches!(entry.op, Op::Begin(..)))
            .count();
        let lease = self.lease(instance, begins).await?;
        let resp = (instance.store.txn)(write_of(batch, lease)).await?;
        Ok(resp.succeeded)
    }

    fn confirm(&mut self, instance: &Instance, batch: Batch) {
        let now = instance.tables.clock.now();
        for (key, entry) in batch {
            let record = match &entry.op {
                Op::Begin(begin, _) => record_of(begin),
                Op::End(end, _) => Record {
                    token: end.token.clone(),
                    fingerprint: end.fingerprint,
                    outcome: end.outcome.clone(),
                },
            };
            self.known.insert(key, (record, now));
            finish(entry.op, true);
        }
        while self.known.len() > KNOWN {
            self.known.shift_remove_index(0);
        }
    }

    /// Ends a batch whose write failed; one over the budget is tried again.
    fn fail(&mut self, err: &StoreError, batch: Batch) {
        match err {
            StoreError::OverBudget => {
                let ops = batch.into_values().map(|entry| entry.op);
                for op in ops.rev() {
                    self.waiting.push_front(op);
                }
                return;
            }
            StoreError::OutcomeUnknown(_) => self.abandon(&batch),
            StoreError::LeaseExpired | StoreError::Refused(_) => self.lease = None,
            StoreError::Unreachable(_) | StoreError::Compacted(_) => {}
        }
        refuse(batch);
    }

    /// Frees the key of a call that was not run, if the record is still its own.
    async fn release(&mut self, instance: &Instance, op: Op) {
        let Op::End(end, _) = &op else {
            return;
        };
        // Known before the store is asked, so that it holds if the store is down.
        self.remember(end.token.clone());
        self.known.swap_remove(&end.key);
        let freed = match look_up(instance, &end.key).await {
            Ok(Some(found)) if found.record.token == end.token => {
                let deleted = (instance.store.txn)(delete_of(&end.key, &found)).await;
                deleted.map(|_| ())
            }
            found => found.map(|_| ()),
        };
        if freed == Err(StoreError::OverBudget) {
            self.waiting.push_front(op);
            return;
        }
        finish(op, freed.is_ok());
    }

    /// What this home has written under a key a moment ago.
    fn known(&self, instance: &Instance, key: &RecordKey) -> Option<Lookup> {
        let (record, written) = self.known.get(key)?;
        let now = instance.tables.clock.now();
        let fresh = now.since(*written) < KNOWN_FOR && !self.abandoned.contains(&record.token);
        fresh.then(|| Lookup {
            record: record.clone(),
            mod_revision: 0,
        })
    }

    /// The lease of this period's records.
    async fn lease(&mut self, instance: &Instance, begins: usize) -> Result<LeaseId, StoreError> {
        let now = instance.tables.clock.now();
        let current = self
            .lease
            .filter(|(_, granted)| now.since(*granted) < PERIOD);
        let lease = if let Some((lease, _)) = current {
            lease
        } else {
            let lease = (instance.store.grant)(RETENTION + PERIOD).await?;
            self.lease = Some((lease, now));
            self.period_records = 0;
            lease
        };
        if self.period_records + begins > PERIOD_RECORDS {
            return Err(StoreError::Unreachable(
                "this period's records are used up".to_owned(),
            ));
        }
        self.period_records += begins;
        Ok(lease)
    }

    fn abandon(&mut self, batch: &Batch) {
        for entry in batch.values() {
            if let Op::Begin(begin, _) = &entry.op {
                self.remember(begin.token.clone());
            }
        }
    }

    fn remember(&mut self, token: Token) {
        self.abandoned.insert(token);
        if self.abandoned.len() > ABANDONED {
            self.abandoned.shift_remove_index(0);
        }
    }
}

fn refuse(batch: Batch) {
    for (_, entry) in batch {
        finish(entry.op, false);
    }
}

/// Answers an operation; nobody may be waiting for it any more.
fn finish(op: Op, written: bool) {
    match op {
        Op::Begin(_, tx) => {
            let answer = if written {
                KeyedAnswer::Fresh
            } else {
                KeyedAnswer::Unavailable
            };
            let _ = tx.send(answer);
        }
        Op::End(_, tx) => {
            let _ = tx.send(written);
        }
    }
}
