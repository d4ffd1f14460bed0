//! Keeps the replica in step with the store, and the instance registered there.

use std::sync::Arc;
use std::time::Duration;

use rand::Rng;

use super::model::{Change, Registration};
use super::replica::Delta;
use super::shared::Shared;
use crate::platform::prepared::record;
use crate::platform::prepared::store::{Reading, StoreClient, StoreError};

/// Time between two looks at whether this instance should watch.
const LOOK: Duration = Duration::from_millis(100);
/// Time for which too few instances must watch before another begins.
const STEP_IN: Duration = Duration::from_millis(300);
/// Time after a failed call before the next, doubled each time up to the longest.
const RETRY: (Duration, Duration) = (Duration::from_millis(150), Duration::from_millis(1200));
/// Part of a lease after which it is renewed.
const RENEW_PART: f64 = 0.3;

/// Waits between failed calls, with jitter so that instances don't call together.
#[derive(Debug)]
struct Backoff {
    next: Duration,
}

impl Backoff {
    fn new() -> Self {
        Self { next: RETRY.0 }
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
    let mut must_read = true;
    let mut backoff = Backoff::new();
    loop {
        let result = if must_read {
            read(&shared, &mut client).await
        } else {
            wait_for_turn(&shared).await;
            watch(&shared, &mut client).await
        };
        match result {
            Ok(()) => {
                must_read = false;
                backoff = Backoff::new();
                set_watching(&shared, true, "");
            }
            Err(StoreError::Gone) => {
                tracing::info!("the store's history is gone; reading again");
                must_read = true;
            }
            Err(err) => {
                set_watching(&shared, false, &err.to_string());
                backoff.wait().await;
                // A peer may have brought everything meanwhile.
                must_read = shared.state().replica.revision() == 0;
            }
        }
    }
}

async fn read(shared: &Shared, client: &mut StoreClient) -> Result<(), StoreError> {
    let reading = client.read_all().await?;
    apply(shared, reading, true);
    Ok(())
}

async fn watch(shared: &Shared, client: &mut StoreClient) -> Result<(), StoreError> {
    let (revision, wait, gather) = {
        let state = shared.state();
        let tuning = &state.tuning;
        (state.replica.revision(), tuning.watch_wait, tuning.gather)
    };
    let reading = client.watch(revision, wait).await?;
    let any = !reading.changes.is_empty();
    apply(shared, reading, false);
    if any {
        tokio::time::sleep(gather).await;
    }
    Ok(())
}

/// Returns once this instance is to watch: it does already and is still among the
/// first watchers, or too few others have watched for a while.
async fn wait_for_turn(shared: &Shared) {
    let mut waited = Duration::ZERO;
    loop {
        let now = shared.now();
        {
            let mut state = shared.state();
            let enough = state.members.watchers_ahead(now) >= state.tuning.watchers;
            if !enough && (state.standing.watching || waited >= STEP_IN) {
                return;
            }
            if enough {
                waited = Duration::ZERO;
                if state.standing.watching {
                    tracing::info!("others watch the store");
                    state.standing.watching = false;
                }
            }
        }
        tokio::time::sleep(LOOK).await;
        waited += LOOK;
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
        shared.room.notify_waiters();
    }
}

fn set_watching(shared: &Shared, on: bool, cause: &str) {
    let mut state = shared.state();
    if state.standing.watching != on {
        let revision = state.replica.revision();
        if on {
            tracing::info!(revision, "the store answers");
        } else {
            tracing::warn!(revision, cause, "the store is lost");
        }
        state.standing.watching = on;
    }
}

/// Keeps this instance registered, until the process ends.
pub(crate) async fn register(shared: Arc<Shared>) {
    let mut client = client(&shared);
    let (registration, lease_time) = {
        let state = shared.state();
        let registration = Registration {
            address: state.settings.peers,
            zone: state.settings.zone.clone(),
        };
        (
            registration,
            state.tuning.lease.max(state.settings.min_lease),
        )
    };
    let key = record::registration_key(registration.address);
    let value = record::registration_value(&registration);
    let mut backoff = Backoff::new();
    let mut lease = None;
    loop {
        let result = match lease {
            None => enter(&mut client, &key, &value, lease_time).await.map(Some),
            Some(lease) => client.renew(lease).await.map(|()| Some(lease)),
        };
        match result {
            Ok(held) => {
                lease = held;
                backoff = Backoff::new();
                tokio::time::sleep(lease_time.mul_f64(RENEW_PART)).await;
            }
            Err(StoreError::Gone) => {
                tracing::info!("the registration's lease has ended; registering again");
                lease = None;
            }
            Err(err) => {
                tracing::info!(%err, "not registered");
                backoff.wait().await;
            }
        }
    }
}

async fn enter(
    client: &mut StoreClient,
    key: &str,
    value: &[u8],
    lease_time: Duration,
) -> Result<u64, StoreError> {
    let lease = client.grant(lease_time).await?;
    client.put(key, value, lease).await?;
    Ok(lease)
}

fn client(shared: &Shared) -> StoreClient {
    let address = shared.state().settings.store;
    StoreClient::new(address, shared.metrics.store_calls.clone())
}
