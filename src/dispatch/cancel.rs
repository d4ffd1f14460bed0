//! Cancels calls at their targets when the caller no longer waits for them.

use std::sync::Arc;

use bytes::Bytes;
use http::Method;
use serde::Deserialize;

use super::permits::HeldPermit;
use crate::admission::permit::CallReport;
use crate::instance::Instance;
use crate::platform::http::send;
use crate::units::Time;

/// A target's response to a cancellation.
#[derive(Debug, Deserialize)]
struct CancelResponse {
    state: CancelState,
}

/// State of the call at the target after the cancellation.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
enum CancelState {
    Cancelled,
    Finished,
    Unknown,
}

/// Asks a target to cancel a call. The permit is returned once the target confirms,
/// or else at the deadline.
pub(crate) fn start(instance: &Arc<Instance>, held: HeldPermit, call_id: &str, deadline: Time) {
    let path = format!("/platform/cancel/{call_id}");
    let shared = Arc::clone(instance);
    instance.metrics.cancellations.inc();
    instance.rt.spawn(async move {
        let confirmed = confirm(&shared, &held, &path).await;
        if !confirmed {
            let left = deadline.since(shared.tables.clock.now());
            tokio::time::sleep(left).await;
        }
        // Reported as unsent: a cancellation by the caller is no evidence about the target.
        held.release(&shared, CallReport::unsent());
    });
}

/// Whether the target confirms that it no longer runs the call.
async fn confirm(instance: &Instance, held: &HeldPermit, path: &str) -> bool {
    let timeout = instance.tables.settings.platform.store_timeout;
    let client = &instance.dispatch.http;
    let response = send(
        client,
        Method::POST,
        held.address,
        path,
        Bytes::new(),
        timeout,
    )
    .await;
    let state = response
        .ok()
        .and_then(|response| serde_json::from_slice::<CancelResponse>(&response.body).ok());
    // An unknown call may still be in transit to the target.
    state.is_some_and(|response| response.state != CancelState::Unknown)
}
