//! Graceful shutdown: new work moves to other instances, calls in flight finish.

use std::sync::atomic::Ordering;
use std::time::Duration;

use super::Running;
use crate::dispatch::Dispatch;
use crate::tables::Tables;

/// Time between two checks of the claims or the calls in flight.
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Time allowed for writing the buffered bytes of completed responses.
const FLUSH_TIME: Duration = Duration::from_secs(2);

/// Marks the instance as stopping and waits until no call is in flight, at most
/// `drain_grace` plus `drain_timeout`; completion of `abort` ends the wait.
pub(super) async fn run(running: &Running, abort: impl Future<Output = ()>) {
    let tables = &running.instance.tables;
    let dispatch = &running.instance.dispatch;
    tables.stopping.store(true, Ordering::Relaxed);
    tracing::info!(in_flight = dispatch.in_flight(), "stopping");
    let settings = &tables.settings;
    let drained = async {
        tokio::time::sleep(settings.drain_grace).await;
        let release_timeout = settings.membership.lease;
        let _ = tokio::time::timeout(release_timeout, wait_for_released_claims(tables)).await;
        wait_for_calls(dispatch).await;
        // A call counts as finished before the last bytes of its response are written.
        tokio::time::sleep(FLUSH_TIME).await;
    };
    let limit = settings.drain_grace + settings.drain_timeout;
    tokio::select! {
        () = drained => tracing::info!("all calls finished"),
        () = tokio::time::sleep(limit) => {
            tracing::warn!(cut = dispatch.in_flight(), "drain timeout; calls are cut");
        }
        () = abort => tracing::warn!(cut = dispatch.in_flight(), "second signal; calls are cut"),
    }
}

/// Waits until the claims are released; while the store is unavailable they expire
/// instead.
async fn wait_for_released_claims(tables: &Tables) {
    while !tables.released_claims.load(Ordering::Relaxed) {
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

async fn wait_for_calls(dispatch: &Dispatch) {
    while dispatch.in_flight() > 0 {
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}
