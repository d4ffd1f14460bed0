//! A planned stop: new work is steered away, calls in flight are finished.

use std::sync::atomic::Ordering;
use std::time::Duration;

use super::Running;
use crate::dispatch::Dispatch;
use crate::tables::Tables;

/// Time between two looks at the calls in flight.
const LOOK: Duration = Duration::from_millis(20);
/// Time for the bytes of ended answers to be written.
const FLUSH: Duration = Duration::from_secs(2);

/// Steers new work away and waits until no call is in flight, at most
/// `drain_timeout`; `cut` ends the wait.
pub(super) async fn run(running: &Running, cut: impl Future<Output = ()>) {
    let tables = &running.instance.tables;
    let dispatch = &running.instance.dispatch;
    tables.stopping.store(true, Ordering::Relaxed);
    tracing::info!(in_flight = dispatch.in_flight(), "stopping");
    let settings = &tables.settings;
    let drained = async {
        tokio::time::sleep(settings.drain_grace).await;
        let patience = settings.membership.lease;
        let _ = tokio::time::timeout(patience, wait_for_claims(tables)).await;
        wait_for_calls(dispatch).await;
        // The end of an answer is handed over before its last bytes are written.
        tokio::time::sleep(FLUSH).await;
    };
    let limit = settings.drain_grace + settings.drain_timeout;
    tokio::select! {
        () = drained => tracing::info!("every call has ended"),
        () = tokio::time::sleep(limit) => {
            tracing::warn!(cut = dispatch.in_flight(), "drain timeout; calls are cut");
        }
        () = cut => tracing::warn!(cut = dispatch.in_flight(), "second signal; calls are cut"),
    }
}

/// Waits until the claims are left to others; with the store down they lapse.
async fn wait_for_claims(tables: &Tables) {
    while !tables.released_claims.load(Ordering::Relaxed) {
        tokio::time::sleep(LOOK).await;
    }
}

async fn wait_for_calls(dispatch: &Dispatch) {
    while dispatch.in_flight() > 0 {
        tokio::time::sleep(LOOK).await;
    }
}
