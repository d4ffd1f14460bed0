//! Keeps the replica in sync with the store, and this instance registered there.

use std::sync::Arc;
use std::time::Duration;

use rand::Rng;
use tokio::time::Instant;

use crate::entry::fleet::replica::{Delta, Position};
use crate::entry::fleet::watchers::StoreAccess;
use crate::entry::model::{Change, Registration};
use crate::entry::shared::Shared;
use crate::http1::progress::ResponseProgress;
use crate::platform::prepared::record;
use crate::platform::prepared::store::{
    ChangeSet, ReadConsistency, RejectedRecord, StoreClient, StoreError,
};

/// Interval at which this instance checks whether it should watch, and for changes of
/// the replica.
const POLL_INTERVAL: Duration = Duration::from_millis(100);
/// First and longest delay after a failed call; it doubles with each failure.
pub(crate) const BACKOFF_RANGE: (Duration, Duration) =
    (Duration::from_millis(150), Duration::from_secs(2));
/// First delay of an instance that did not watch before. It is longer than peers take
/// to learn of the failure, so that the next instances in the order try.
pub(crate) const FIRST_ATTEMPT_BACKOFF: Duration = Duration::from_millis(600);
/// Wait of a watch while the store may be unreachable. It must not wait long for a response that
/// never comes: when the store becomes silent and returns, connections from before stay silent.
const CONFIRM_TIMEOUT: Duration = Duration::from_millis(100);
/// Interval of checks for registrations of instances that were silent for long.
const CLEANUP_INTERVAL: Duration = Duration::from_secs(60);
/// Interval of checks whether the store was restored and may lack this instance's
/// registration.
const REGISTRATION_CHECK_INTERVAL: Duration = Duration::from_secs(1);
/// Time for which peers may have newer changes before this instance's own watch counts
/// as stalled; changes are batched for a fraction of it.
const STALL_TIMEOUT: Duration = Duration::from_millis(700);

/// Number of invalid records that are kept for the state dump.
const MAX_REJECTED: usize = 64;

/// Exponential backoff between failed calls, with jitter so that instances do not call
/// together.
#[derive(Debug)]
struct Backoff {
    delay: Duration,
}

impl Backoff {
    fn new() -> Self {
        Self {
            delay: BACKOFF_RANGE.0,
        }
    }

    /// Whether no call has failed since the last successful one.
    fn is_reset(&self) -> bool {
        self.delay == BACKOFF_RANGE.0
    }

    /// Raises the next delay to at least `min_delay`.
    fn raise_delay(&mut self, min_delay: Duration) {
        self.delay = self.delay.max(min_delay);
    }

    async fn wait(&mut self) {
        let jitter = rand::rng().random_range(0.5..1.0);
        tokio::time::sleep(self.delay.mul_f64(jitter)).await;
        self.delay = (self.delay * 2).min(BACKOFF_RANGE.1);
    }
}

/// Reads everything once, then watches the store while this instance is one of the
/// watchers.
pub(crate) async fn run(shared: Arc<Shared>) {
    let mut store_client = new_store_client(&shared);
    let mut pending_read = Some(ReadConsistency::Stale);
    let mut backoff = Backoff::new();
    let mut rereads = Backoff::new();
    loop {
        let result = if let Some(consistency) = pending_read {
            read(&shared, &mut store_client, consistency).await
        } else {
            wait_until_needed(&shared).await;
            watch(&shared, &mut store_client).await
        };
        match result {
            Ok(()) => {
                if pending_read.is_none() {
                    rereads = Backoff::new();
                }
                // What a stale read lacks comes with the first watch.
                if pending_read.take() != Some(ReadConsistency::Stale) {
                    shared.state().record_store_answer(shared.now());
                }
                backoff = Backoff::new();
                set_access(&shared, StoreAccess::Watching);
            }
            Err(err @ (StoreError::Compacted | StoreError::TooLarge | StoreError::Restored)) => {
                tracing::info!(cause = %err, "reading everything again");
                // The store may refuse each watch.
                if pending_read.is_some() || !rereads.is_reset() {
                    rereads.wait().await;
                } else {
                    rereads.raise_delay(BACKOFF_RANGE.0 * 2);
                }
                // A watch cannot bring what a stale read lacks once the history is
                // compacted.
                pending_read = Some(ReadConsistency::Linearizable);
            }
            Err(err) => {
                record_failure(&shared, &mut backoff, &err);
                backoff.wait().await;
                set_access(&shared, StoreAccess::Unused);
                let is_empty = shared.state().replica.revision() == 0;
                // A peer may have sent everything in the meantime.
                pending_read = pending_read.filter(|consistency| {
                    *consistency == ReadConsistency::Linearizable || is_empty
                });
            }
        }
    }
}

/// Logs the first of several failed calls, and reports each failure to the peers.
fn record_failure(shared: &Shared, backoff: &mut Backoff, err: &StoreError) {
    let mut state = shared.state();
    let revision = state.replica.revision();
    if backoff.is_reset() {
        tracing::warn!(revision, cause = %err, "store unreachable");
    }
    // An instance without data has no other instance to wait for.
    if !state.watches() && revision > 0 {
        backoff.raise_delay(FIRST_ATTEMPT_BACKOFF);
    }
    state.status.store = StoreAccess::Lost;
}

async fn read(
    shared: &Shared,
    store_client: &mut StoreClient,
    consistency: ReadConsistency,
) -> Result<(), StoreError> {
    let change_set = store_client.read_all(consistency).await?;
    let newer = if consistency == ReadConsistency::Stale && !shared.state().is_first_start() {
        newer_changes(store_client, &change_set).await?
    } else {
        None
    };
    apply(shared, change_set, true);
    if let Some(newer) = newer {
        apply(shared, newer, false);
    }
    Ok(())
}

/// What a read that may be stale lacks. An instance that was started again would otherwise
/// use targets that have left, or keys that were withdrawn, until its first watch.
async fn newer_changes(
    store_client: &mut StoreClient,
    read: &ChangeSet,
) -> Result<Option<ChangeSet>, StoreError> {
    let position = Position {
        era: read.era,
        revision: read.revision,
    };
    match store_client.watch(position, CONFIRM_TIMEOUT).await {
        Ok(newer) => Ok(Some(newer)),
        Err(err @ (StoreError::Compacted | StoreError::TooLarge | StoreError::Restored)) => {
            Err(err)
        }
        Err(err) => {
            tracing::warn!(revision = read.revision, %err, "first read of the store not confirmed");
            Ok(None)
        }
    }
}

async fn watch(shared: &Shared, store_client: &mut StoreClient) -> Result<(), StoreError> {
    let (position, batch_delay) = {
        let state = shared.state();
        (state.replica.position(), state.tuning.batch_delay)
    };
    let wait = next_wait(shared);
    let progress = store_client.progress();
    let change_set = tokio::select! {
        change_set = store_client.watch(position, wait) => change_set?,
        () = watch_stalled(shared, position, &progress) => {
            store_client.disconnect();
            return Err(StoreError::OutcomeUnknown("peers have newer changes than this watch".into()));
        }
        () = store_in_doubt(shared, &progress) => {
            store_client.disconnect();
            return Err(StoreError::OutcomeUnknown("no instance has had a recent answer of the store".into()));
        }
    };
    let has_changes = !change_set.changes.is_empty();
    apply(shared, change_set, false);
    if has_changes {
        tokio::time::sleep(batch_delay).await;
    }
    Ok(())
}

/// Wait of the next watch.
fn next_wait(shared: &Shared) -> Duration {
    let now = shared.now();
    let state = shared.state();
    if state.watches() {
        state.watch_wait(now)
    } else {
        CONFIRM_TIMEOUT
    }
}

/// Returns once peers have had changes for [`STALL_TIMEOUT`] that the own watch after `start`
/// has not delivered, and nothing of its response has arrived for as long.
async fn watch_stalled(shared: &Shared, start: Position, progress: &ResponseProgress) {
    while shared.state().replica.content_position() <= start {
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    response_stalled(Instant::now(), progress).await;
}

/// Returns once nothing of a response has arrived for [`STALL_TIMEOUT`] after `since`.
async fn response_stalled(mut since: Instant, progress: &ResponseProgress) {
    loop {
        tokio::time::sleep_until(since + STALL_TIMEOUT).await;
        match progress.received().last {
            Some(last) if last > since => since = last,
            _ => return,
        }
    }
}

/// Returns once a watch that started with an answer of the store may wait in vain, like those of
/// all other instances: its connection may be silent while a new one works. A response that is
/// arriving is waited for.
async fn store_in_doubt(shared: &Shared, progress: &ResponseProgress) {
    if !shared.state().watches() {
        return std::future::pending().await;
    }
    while shared.state().store_doubt(shared.now()).is_none() {
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    if let Some(last) = progress.received().last {
        response_stalled(last, progress).await;
    }
}

/// Returns once this instance should start or continue to watch.
async fn wait_until_needed(shared: &Shared) {
    let mut waited = Duration::ZERO;
    loop {
        let now = shared.now();
        {
            let mut state = shared.state();
            if state.should_watch(now, waited) {
                if !state.watches() && state.store_doubt(now).is_some() {
                    let age_ms = state.store_answer_age(now).as_millis();
                    tracing::info!(age_ms, "no recent answer of the store is known; asking it");
                }
                return;
            }
            if state.watches() {
                tracing::info!("store watched by peers");
                state.status.store = StoreAccess::Unused;
            }
            if state.others_watch(now) {
                waited = Duration::ZERO;
            }
        }
        tokio::time::sleep(POLL_INTERVAL).await;
        waited += POLL_INTERVAL;
    }
}

fn apply(shared: &Shared, change_set: ChangeSet, complete: bool) {
    let now = shared.now();
    log_position(shared, &change_set, complete);
    let changes: Vec<Change> = change_set.changes;
    let delta = Delta {
        era: change_set.era,
        revision: change_set.revision,
        complete,
        changes,
    };
    let has_changed = shared.state().apply(now, delta, "store");
    // They replace records, which drops what was known to be invalid under these keys.
    shared.record_rejected(change_set.rejected);
    if has_changed {
        shared.capacity_freed.notify_waiters();
    }
}

/// Logs a result of the store that lies before what this instance already has.
fn log_position(shared: &Shared, change_set: &ChangeSet, complete: bool) {
    let known = shared.state().replica.position();
    if change_set.revision < known.revision {
        tracing::warn!(
            era = change_set.era,
            revision = change_set.revision,
            known_era = known.era,
            known_revision = known.revision,
            complete,
            "store revision went back"
        );
    }
}

fn set_access(shared: &Shared, access: StoreAccess) {
    let mut state = shared.state();
    if access == StoreAccess::Watching && !state.watches() {
        let revision = state.replica.revision();
        tracing::info!(revision, "store reachable");
    }
    state.status.store = access;
}

/// Registers this instance, in each era of the store, and removes the registrations of
/// instances that have been silent for long, until the process ends.
pub(crate) async fn register(shared: Arc<Shared>) {
    let mut store_client = new_store_client(&shared);
    let registration = {
        let state = shared.state();
        Registration {
            address: state.settings.peers,
            zone: state.settings.zone.clone(),
        }
    };
    let key = record::registration_key(registration.address);
    let value = record::registration_value(&registration);
    // The first read shows whether the registration exists, and the era.
    while shared.state().replica.revision() == 0 {
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    let mut cleaned_up = shared.now();
    let mut registered_era = None;
    loop {
        let era = shared.state().replica.position().era;
        if registered_era != Some(era) {
            ensure_registered(&shared, &mut store_client, &key, &value).await;
            registered_era = Some(era);
        }
        if shared.now().since(cleaned_up) >= CLEANUP_INTERVAL {
            cleaned_up = shared.now();
            remove_stale_registrations(&shared, &mut store_client).await;
        }
        tokio::time::sleep(REGISTRATION_CHECK_INTERVAL).await;
    }
}

async fn remove_stale_registrations(shared: &Shared, store_client: &mut StoreClient) {
    for (key, revision) in shared.stale_registrations() {
        match store_client.remove_if(&key, revision).await {
            Ok(()) => {
                tracing::info!(key = &*key, "registration of a silent instance removed");
            }
            Err(err) => {
                tracing::info!(key = &*key, %err, "failed to remove the registration of a silent instance");
            }
        }
    }
}

/// Writes this instance's registration unless it exists from an earlier run. It replaces one
/// that is invalid.
async fn ensure_registered(
    shared: &Shared,
    store_client: &mut StoreClient,
    key: &str,
    value: &[u8],
) {
    let mut backoff = Backoff::new();
    while shared.state().replica.revision_of(key).is_none() {
        let revision = shared.state().stored_revision(key);
        match store_client.put_if(key, value, revision).await {
            Ok(()) => {
                tracing::info!(key, "registered");
                return;
            }
            // The response to an earlier write was lost, or the first read was stale.
            Err(StoreError::Conflict) => return,
            Err(err) => tracing::info!(%err, "registration failed; retrying"),
        }
        backoff.wait().await;
    }
}

impl Shared {
    /// Logs and counts records that can't be decoded, each revision once.
    fn record_rejected(&self, rejected: Vec<RejectedRecord>) {
        for record in rejected {
            let mut state = self.state();
            if state.rejected.get(&record.key) == Some(&record) {
                continue;
            }
            tracing::warn!(
                key = &*record.key,
                revision = record.revision,
                problem = record.problem,
                "skipped an invalid record"
            );
            self.metrics.rejected_records.inc();
            if state.rejected.len() >= MAX_REJECTED {
                state.rejected.swap_remove_index(0);
            }
            state.rejected.insert(record.key.clone(), record);
        }
    }

    /// Registrations to remove, with their revisions: those of instances that have been
    /// silent for long. Only the first of the live instances removes them.
    fn stale_registrations(&self) -> Vec<(Arc<str>, u64)> {
        let now = self.now();
        let state = self.state();
        if !state.members.is_first_watcher(now) {
            return Vec::new();
        }
        state
            .registered()
            .filter(|(_, address)| state.members.is_long_silent(now, *address))
            .filter_map(|(key, _)| Some((key.clone(), state.replica.revision_of(key)?)))
            .collect()
    }
}

fn new_store_client(shared: &Shared) -> StoreClient {
    let address = shared.state().settings.store;
    StoreClient::new(address, shared.metrics.store_calls.clone())
}

#[cfg(test)]
mod tests;
