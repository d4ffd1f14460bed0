//! The tasks of a link: sending batches, fetching late answers, renewing.

use std::sync::Arc;
use std::time::Duration;

use super::Link;
use crate::admission::permit::{PermitBatch, PermitPoll};
use crate::instance::Instance;
use crate::membership::peers::PeerError;

/// Longest wait for the answer to a batch, in which no ask waits for a slot.
const BATCH_TIMEOUT: Duration = Duration::from_millis(500);
/// Longest wait for the answers to queued asks; the owner answers earlier.
const POLL_TIMEOUT: Duration = Duration::from_secs(2);
/// Time between two looks at the permits in use.
const RENEW_PERIOD: Duration = Duration::from_millis(250);
/// Time after which returns that were not taken are sent again.
const RETURN_RETRY: Duration = Duration::from_millis(100);

pub(super) async fn send_batches(link: Arc<Link>, instance: Arc<Instance>) {
    while let Some(batch) = link.next_batch(&instance) {
        let sent = instance.tables.clock.now();
        instance.metrics.permit_requests.inc();
        match call(&link, &instance, "permit_batch", &batch, BATCH_TIMEOUT).await {
            Ok(answer) => link.take_in(&instance, sent, answer),
            Err(err) => {
                tracing::debug!(owner = %link.owner.instance, %err, "permits not asked");
                unanswered(&link, &instance, batch).await;
            }
        }
    }
}

/// Refuses the asks of a batch that got no answer and keeps its returns.
///
/// A permit that was granted all the same is freed by its owner at the deadline.
async fn unanswered(link: &Arc<Link>, instance: &Arc<Instance>, batch: PermitBatch) {
    let now = instance.tables.clock.now();
    for ask in &batch.requests {
        instance.tables.capacities().unreachable(now, &ask.shard);
    }
    link.refuse(instance, batch.requests.iter().map(|ask| ask.number));
    let directory = instance.tables.directory();
    let known = directory.members.get(&link.owner.instance);
    if known.is_some_and(|member| member.start == link.owner.start) {
        // The owner takes a return twice without harm.
        link.state().returns.extend(batch.returns);
        link.state().renewals.extend(batch.renewals);
        tokio::time::sleep(RETURN_RETRY).await;
    }
}

pub(super) async fn renew_held(link: Arc<Link>, instance: Arc<Instance>) {
    loop {
        tokio::time::sleep(RENEW_PERIOD).await;
        let now = instance.tables.clock.now();
        if !link.state().renew(now) {
            return;
        }
        if !link.state().renewals.is_empty() {
            link.kick(&instance);
        }
    }
}

pub(super) async fn poll_answers(link: Arc<Link>, instance: Arc<Instance>) {
    loop {
        {
            let mut state = link.state();
            if state.queued.is_empty() {
                state.polling = false;
                return;
            }
        }
        let poll = PermitPoll {
            start: instance.tables.member.start.clone(),
        };
        instance.metrics.permit_requests.inc();
        match call(&link, &instance, "permit_poll", &poll, POLL_TIMEOUT).await {
            Ok(answers) => link.deliver(&instance, answers),
            Err(err) => {
                tracing::debug!(owner = %link.owner.instance, %err, "queued asks lost");
                let queued: Vec<u64> = link.state().queued.iter().copied().collect();
                link.refuse(&instance, queued.into_iter());
            }
        }
    }
}

async fn call<R: serde::de::DeserializeOwned>(
    link: &Link,
    instance: &Instance,
    method: &str,
    msg: &impl serde::Serialize,
    timeout: Duration,
) -> Result<R, PeerError> {
    let call = instance.peers.call(link.address(), method, msg);
    tokio::time::timeout(timeout, call)
        .await
        .unwrap_or_else(|_| {
            Err(PeerError {
                sent: true,
                reason: format!("no answer within {timeout:?}"),
            })
        })
}
