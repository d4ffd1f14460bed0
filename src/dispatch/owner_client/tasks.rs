//! Tasks of an owner client: sending batches, polling for queued requests, renewing permits.

use std::sync::Arc;
use std::time::Duration;

use super::OwnerClient;
use crate::admission::permit::{PermitBatch, PermitPoll};
use crate::instance::Instance;
use crate::membership::peers::PeerError;

/// Longest wait for the response to a batch; the owner responds without waiting for free slots.
const BATCH_TIMEOUT: Duration = Duration::from_millis(500);
/// Longest wait for the decisions on queued requests; the owner responds earlier.
const POLL_TIMEOUT: Duration = Duration::from_secs(2);
/// Interval at which the permits in use are checked for renewal.
const RENEW_INTERVAL: Duration = Duration::from_millis(250);
/// Delay before returns whose batch failed are sent again.
const RETURN_RETRY_DELAY: Duration = Duration::from_millis(100);

pub(super) async fn send_batches(client: Arc<OwnerClient>, instance: Arc<Instance>) {
    while let Some(batch) = client.next_batch(&instance) {
        let sent = instance.tables.clock.now();
        instance.metrics.permit_requests.inc();
        match call(&client, &instance, "permit_batch", &batch, BATCH_TIMEOUT).await {
            Ok(response) => client.handle_response(&instance, sent, response),
            Err(err) => {
                tracing::debug!(owner = %client.owner.instance, %err, "permit batch failed");
                handle_failure(&client, &instance, batch).await;
            }
        }
    }
}

/// Handles a batch without a response: refuses its requests and queues its returns again.
///
/// If the owner granted a permit nevertheless, it frees the permit at the deadline.
async fn handle_failure(client: &Arc<OwnerClient>, instance: &Arc<Instance>, batch: PermitBatch) {
    let now = instance.tables.clock.now();
    for request in &batch.requests {
        instance
            .tables
            .capacities()
            .unreachable(now, &request.shard);
    }
    client.refuse(
        instance,
        batch.requests.iter().map(|request| request.number),
    );
    let directory = instance.tables.directory();
    let known = directory.members.get(&client.owner.instance);
    if known.is_some_and(|member| member.start == client.owner.start) {
        // Returns are idempotent.
        client.state().returns.extend(batch.returns);
        client.state().renewals.extend(batch.renewals);
        tokio::time::sleep(RETURN_RETRY_DELAY).await;
    }
}

pub(super) async fn renew_in_use(client: Arc<OwnerClient>, instance: Arc<Instance>) {
    loop {
        tokio::time::sleep(RENEW_INTERVAL).await;
        let now = instance.tables.clock.now();
        if !client.state().queue_renewals(now) {
            return;
        }
        if !client.state().renewals.is_empty() {
            client.ensure_sending(&instance);
        }
    }
}

pub(super) async fn poll_queued(client: Arc<OwnerClient>, instance: Arc<Instance>) {
    loop {
        {
            let mut state = client.state();
            if state.queued.is_empty() {
                state.polling = false;
                return;
            }
        }
        let poll = PermitPoll {
            start: instance.tables.member.start.clone(),
        };
        instance.metrics.permit_requests.inc();
        match call(&client, &instance, "permit_poll", &poll, POLL_TIMEOUT).await {
            Ok(responses) => client.deliver(&instance, responses),
            Err(err) => {
                tracing::debug!(owner = %client.owner.instance, %err, "polling for queued permit requests failed; they are refused");
                let queued: Vec<u64> = client.state().queued.iter().copied().collect();
                client.refuse(&instance, queued.into_iter());
            }
        }
    }
}

async fn call<R: serde::de::DeserializeOwned>(
    client: &OwnerClient,
    instance: &Instance,
    method: &str,
    msg: &impl serde::Serialize,
    timeout: Duration,
) -> Result<R, PeerError> {
    let call = instance.peers.call(client.address(), method, msg);
    tokio::time::timeout(timeout, call)
        .await
        .unwrap_or_else(|_| {
            Err(PeerError {
                sent: true,
                reason: format!("no response within {timeout:?}"),
            })
        })
}
