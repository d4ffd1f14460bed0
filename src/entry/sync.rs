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
use crate::platform::prepared::store::{ReadAge, Reading, StoreClient, StoreError};

/// Time between two looks at whether this instance should watch.
const POLL_INTERVAL: Duration = Duration::from_millis(100);
/// Time after a failed call before the next, doubled each time up to the longest.
pub(crate) const BACKOFF_RANGE: (Duration, Duration) =
    (Duration::from_millis(150), Duration::from_secs(2));
/// The first such time for an instance that did not watch before: longer than peers take
/// to hear of the failure, so that the next in the order try.
pub(crate) const FIRST_ATTEMPT_BACKOFF: Duration = Duration::from_millis(600);
/// Wait of a watch that only shows whether the store answers.
const CONFIRM_TIMEOUT: Duration = Duration::from_millis(100);
/// Time between two looks for registrations of instances that are gone.
const CLEANUP_INTERVAL: Duration = Duration::from_secs(60);
/// Time by which a peer's watch may hear more than this one's before this one counts
/// as deaf; batches are gathered for a fraction of it.
const STALL_TIMEOUT: Duration = Duration::from_millis(700);

/// Waits between failed calls, with jitter so that instances don't call together.
#[derive(Debug)]
struct Backoff {
    next: Duration,
}

impl Backoff {
    fn new() -> Self {
        Self {
            next: BACKOFF_RANGE.0,
        }
    }

    /// Whether no call has failed since the last that didn't.
    fn is_reset(&self) -> bool {
        self.next == BACKOFF_RANGE.0
    }

    /// Waits `least` at least the next time.
    fn wait_at_least(&mut self, least: Duration) {
        self.next = self.next.max(least);
    }

    async fn wait(&mut self) {
        let jitter = rand::rng().random_range(0.5..1.0);
        tokio::time::sleep(self.next.mul_f64(jitter)).await;
        self.next = (self.next * 2).min(BACKOFF_RANGE.1);
    }
}

/// Reads everything once, then watches while this instance is one of the watchers.
pub(crate) async fn run(shared: Arc<Shared>) {
    let mut client = client(&shared);
    let mut must_read = Some(ReadAge::MayBeStale);
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
            Err(StoreError::Gone) => {
                tracing::info!("store history compacted; reading everything again");
                // What a stale reading lacks could not be watched for any more.
                must_read = Some(ReadAge::Fresh);
            }
            Err(err) => {
                record_failure(&shared, &mut backoff, &err);
                backoff.wait().await;
                set_access(&shared, StoreAccess::Unused);
                let knows_nothing = shared.state().replica.revision() == 0;
                // A peer may have brought everything meanwhile.
                must_read = must_read.filter(|age| *age == ReadAge::Fresh || knows_nothing);
            }
        }
    }
}

/// Tells the first of some failed calls in the log, and each to the peers.
fn record_failure(shared: &Shared, backoff: &mut Backoff, err: &StoreError) {
    let mut state = shared.state();
    let revision = state.replica.revision();
    if backoff.is_reset() {
        tracing::warn!(revision, cause = %err, "store unreachable");
    }
    // One that knows nothing yet has no others to wait for.
    if !state.watches() && revision > 0 {
        backoff.wait_at_least(FIRST_ATTEMPT_BACKOFF);
    }
    state.status.store = StoreAccess::Lost;
}

async fn read(shared: &Shared, client: &mut StoreClient, age: ReadAge) -> Result<(), StoreError> {
    let reading = client.read_all(age).await?;
    apply(shared, reading, true);
    Ok(())
}

async fn watch(shared: &Shared, client: &mut StoreClient) -> Result<(), StoreError> {
    let (revision, wait, batch_delay) = {
        let state = shared.state();
        let wait = watch_timeout(state.watches(), &state.tuning);
        (state.replica.revision(), wait, state.tuning.batch_delay)
    };
    let reading = tokio::select! {
        reading = client.watch(revision, wait) => reading?,
        () = watch_stalled(shared) => {
            client.disconnect();
            return Err(StoreError::Unknown("peers have newer changes than this watch".into()));
        }
    };
    let any = !reading.changes.is_empty();
    apply(shared, reading, false);
    if any {
        tokio::time::sleep(batch_delay).await;
    }
    Ok(())
}

/// How long the next watch waits. One that is opened while the store may be silent
/// must not wait long for an answer that never comes.
///
/// Load pattern: the store falls silent and returns; connections from before stay
/// silent.
fn watch_timeout(is_confirmed: bool, tuning: &Tuning) -> Duration {
    if is_confirmed {
        tuning.watch_timeout
    } else {
        CONFIRM_TIMEOUT.min(tuning.watch_timeout)
    }
}

/// Returns once peers have brought changes that the own watch has not told for long.
async fn watch_stalled(shared: &Shared) {
    let start = shared.state().replica.content_revision();
    while shared.state().replica.content_revision() == start {
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    tokio::time::sleep(STALL_TIMEOUT).await;
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

fn apply(shared: &Shared, reading: Reading, complete: bool) {
    let now = shared.now();
    let changes: Vec<Change> = reading.changes;
    let delta = Delta {
        revision: reading.revision,
        complete,
        changes,
    };
    if shared.state().apply(now, delta, "store") {
        shared.capacity_freed.notify_waiters();
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
    ensure_registered(&shared, &mut client, &key, &value).await;
    loop {
        tokio::time::sleep(CLEANUP_INTERVAL).await;
        for (key, revision) in shared.stale_registrations() {
            match client.remove_if(&key, revision).await {
                Ok(()) => {
                    tracing::info!(key = &*key, "registration of a silent instance removed");
                }
                Err(err) => {
                    tracing::info!(key = &*key, %err, "failed to remove the registration of a silent instance");
                }
            }
        }
    }
}

/// Writes this instance's registration unless it is there from an earlier run.
async fn ensure_registered(shared: &Shared, client: &mut StoreClient, key: &str, value: &[u8]) {
    let mut backoff = Backoff::new();
    // The first read shows whether the registration is there.
    while shared.state().replica.revision() == 0 {
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    while shared.state().replica.revision_of(key).is_none() {
        match client.put_if(key, value, 0).await {
            Ok(()) => {
                tracing::info!(key, "registered");
                return;
            }
            // Its answer was lost before, or the first read was stale.
            Err(StoreError::Conflict) => return,
            Err(err) => tracing::info!(%err, "registration failed; retrying"),
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

fn client(shared: &Shared) -> StoreClient {
    let address = shared.state().settings.store;
    StoreClient::new(address, shared.metrics.store_calls.clone())
}

#[cfg(test)]
mod tests;
