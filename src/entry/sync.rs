//! Keeps the replica in step with the store, and the instance registered there.

use std::sync::Arc;
use std::time::Duration;

use rand::Rng;

use super::model::{Change, Registration};
use super::replica::Delta;
use super::settings::Tuning;
use super::shared::Shared;
use super::watchers::StoreAccess;
use crate::platform::prepared::record;
use crate::platform::prepared::store::{ChangeSet, ReadConsistency, StoreClient, StoreError};

/// Time between two looks at whether this instance should watch.
const LOOK: Duration = Duration::from_millis(100);
/// Time after a failed call before the next, doubled each time up to the longest.
pub(crate) const RETRY: (Duration, Duration) = (Duration::from_millis(150), Duration::from_secs(2));
/// The first such time for an instance that did not watch before: longer than peers take
/// to hear of the failure, so that the next in the order try.
pub(crate) const RETRY_OTHERS: Duration = Duration::from_millis(600);
/// Wait of a watch that only shows whether the store answers.
const CONFIRM_WAIT: Duration = Duration::from_millis(100);
/// Time between two looks for registrations of instances that are gone.
const CLEAN_EVERY: Duration = Duration::from_secs(60);
/// Time by which a peer's watch may hear more than this one's before this one counts
/// as deaf; batches are gathered for a fraction of it.
const DEAF_AFTER: Duration = Duration::from_millis(700);

/// Waits between failed calls, with jitter so that instances don't call together.
#[derive(Debug)]
struct Backoff {
    next: Duration,
}

impl Backoff {
    fn new() -> Self {
        Self { next: RETRY.0 }
    }

    /// Whether no call has failed since the last that didn't.
    fn is_new(&self) -> bool {
        self.next == RETRY.0
    }

    /// Waits `least` at least the next time.
    fn raise(&mut self, least: Duration) {
        self.next = self.next.max(least);
    }

    async fn wait(&mut self) {
        let jitter = rand::rng().random_range(0.5..1.0);
        tokio::time::sleep(self.next.mul_f64(jitter)).await;
        self.next = (self.next * 2).min(RETRY.1);
    }
}

/// Reads everything once, then watches while this instance is one of the watchers.
pub(crate) async fn run(shared: Arc<Shared>) {
    let mut client = client(&shared);
    let mut must_read = Some(ReadConsistency::Stale);
    let mut backoff = Backoff::new();
    loop {
        let result = if let Some(age) = must_read {
            read(&shared, &mut client, age).await
        } else {
            wait_for_turn(&shared).await;
            watch(&shared, &mut client).await
        };
        match result {
            Ok(()) => {
                must_read = None;
                backoff = Backoff::new();
                set_access(&shared, StoreAccess::Watching);
            }
            Err(StoreError::Compacted) => {
                tracing::info!("the store's history is gone; reading again");
                // What a stale reading lacks could not be watched for any more.
                must_read = Some(ReadConsistency::Linearizable);
            }
            Err(err) => {
                note_loss(&shared, &mut backoff, &err);
                backoff.wait().await;
                set_access(&shared, StoreAccess::Unused);
                let knows_nothing = shared.state().replica.revision() == 0;
                // A peer may have brought everything meanwhile.
                must_read =
                    must_read.filter(|age| *age == ReadConsistency::Linearizable || knows_nothing);
            }
        }
    }
}

/// Tells the first of some failed calls in the log, and each to the peers.
fn note_loss(shared: &Shared, backoff: &mut Backoff, err: &StoreError) {
    let mut state = shared.state();
    let revision = state.replica.revision();
    if backoff.is_new() {
        tracing::warn!(revision, cause = %err, "the store is lost");
    }
    // One that knows nothing yet has no others to wait for.
    if !state.watches() && revision > 0 {
        backoff.raise(RETRY_OTHERS);
    }
    state.standing.store = StoreAccess::Lost;
}

async fn read(
    shared: &Shared,
    client: &mut StoreClient,
    age: ReadConsistency,
) -> Result<(), StoreError> {
    let reading = client.read_all(age).await?;
    apply(shared, reading, true);
    Ok(())
}

async fn watch(shared: &Shared, client: &mut StoreClient) -> Result<(), StoreError> {
    let (revision, wait, gather) = {
        let state = shared.state();
        let wait = watch_wait(state.watches(), &state.tuning);
        (state.replica.revision(), wait, state.tuning.gather)
    };
    let reading = tokio::select! {
        reading = client.watch(revision, wait) => reading?,
        () = until_deaf(shared) => {
            client.disconnect();
            return Err(StoreError::OutcomeUnknown("peers hear more than this watch".into()));
        }
    };
    let any = !reading.changes.is_empty();
    apply(shared, reading, false);
    if any {
        tokio::time::sleep(gather).await;
    }
    Ok(())
}

/// How long the next watch waits. One that is opened while the store may be silent
/// must not wait long for an answer that never comes.
///
/// Load pattern: the store falls silent and returns; connections from before stay
/// silent.
fn watch_wait(is_confirmed: bool, tuning: &Tuning) -> Duration {
    if is_confirmed {
        tuning.watch_wait
    } else {
        CONFIRM_WAIT.min(tuning.watch_wait)
    }
}

/// Returns once peers have brought changes that the own watch has not told for long.
async fn until_deaf(shared: &Shared) {
    let start = shared.state().replica.content();
    while shared.state().replica.content() == start {
        tokio::time::sleep(LOOK).await;
    }
    tokio::time::sleep(DEAF_AFTER).await;
}

/// Returns once this instance is to watch, or to go on watching.
async fn wait_for_turn(shared: &Shared) {
    let mut waited = Duration::ZERO;
    loop {
        let now = shared.now();
        {
            let mut state = shared.state();
            if state.should_watch(now, waited) {
                return;
            }
            if state.watches() {
                tracing::info!("others watch the store");
                state.standing.store = StoreAccess::Unused;
            }
            if state.others_watch(now) {
                waited = Duration::ZERO;
            }
        }
        tokio::time::sleep(LOOK).await;
        waited += LOOK;
    }
}

fn apply(shared: &Shared, reading: ChangeSet, complete: bool) {
    let now = shared.now();
    let changes: Vec<Change> = reading.changes;
    let delta = Delta {
        revision: reading.revision,
        complete,
        changes,
    };
    if shared.state().apply(now, delta, "store") {
        shared.room.notify_waiters();
    }
}

fn set_access(shared: &Shared, access: StoreAccess) {
    let mut state = shared.state();
    if access == StoreAccess::Watching && !state.watches() {
        let revision = state.replica.revision();
        tracing::info!(revision, "the store answers");
    }
    state.standing.store = access;
}

/// Registers this instance, and removes the registrations of others that have been
/// silent for long, until the process ends.
pub(crate) async fn register(shared: Arc<Shared>) {
    let mut client = client(&shared);
    let registration = {
        let state = shared.state();
        Registration {
            address: state.settings.peers,
            zone: state.settings.zone.clone(),
        }
    };
    let key = record::registration_key(registration.address);
    let value = record::registration_value(&registration);
    enter(&shared, &mut client, &key, &value).await;
    loop {
        tokio::time::sleep(CLEAN_EVERY).await;
        for (key, revision) in shared.stale_registrations() {
            match client.remove_if(&key, revision).await {
                Ok(()) => {
                    tracing::info!(key = &*key, "registration of a silent instance removed");
                }
                Err(err) => tracing::info!(key = &*key, %err, "a registration was not removed"),
            }
        }
    }
}

/// Writes this instance's registration unless it is there from an earlier run.
async fn enter(shared: &Shared, client: &mut StoreClient, key: &str, value: &[u8]) {
    let mut backoff = Backoff::new();
    // The first read shows whether the registration is there.
    while shared.state().replica.revision() == 0 {
        tokio::time::sleep(LOOK).await;
    }
    while shared.state().replica.revision_of(key).is_none() {
        match client.put_if(key, value, 0).await {
            Ok(()) => {
                tracing::info!(key, "registered");
                return;
            }
            // Its answer was lost before, or the first read was stale.
            Err(StoreError::Conflict) => return,
            Err(err) => tracing::info!(%err, "not registered yet"),
        }
        backoff.wait().await;
    }
}

impl Shared {
    /// Registrations to remove, with their revisions: instances that this one has not
    /// heard for long, where this one comes first among the live ones.
    fn stale_registrations(&self) -> Vec<(Arc<str>, u64)> {
        let now = self.now();
        let state = self.state();
        if !state.members.is_first(now) {
            return Vec::new();
        }
        state
            .registered()
            .filter(|(_, address)| state.members.is_long_silent(now, *address))
            .filter_map(|(key, _)| Some((key.clone(), state.replica.revision_of(key)?)))
            .collect()
    }
}

fn client(shared: &Shared) -> StoreClient {
    let address = shared.state().settings.store;
    StoreClient::new(address, shared.metrics.store_calls.clone())
}

#[cfg(test)]
mod tests;
