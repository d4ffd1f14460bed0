//! The task that sends evidence, decides and writes decisions, while a roll-out needs it.

use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use tokio::net::UdpSocket;

use super::ServiceRollout;
use super::duty::Write;
use crate::entry::fleet::peers;
use crate::entry::model::Record;
use crate::entry::shared::Shared;
use crate::entry::state::State;
use crate::platform::prepared::record;
use crate::platform::prepared::store::{StoreClient, StoreError};
use crate::units::Time;

/// Interval at which an instance judges while a roll-out is unfinished.
const JUDGE_INTERVAL: Duration = Duration::from_millis(100);
/// Interval at which any other instance checks whether there is evidence to send.
const IDLE_INTERVAL: Duration = Duration::from_millis(250);
/// First and longest delay after a decision could not be written; it doubles each time.
const WRITE_BACKOFF: (Duration, Duration) = (Duration::from_millis(100), Duration::from_secs(1));

/// Does this instance's part of the roll-outs until the process ends. It sleeps while
/// there is none.
pub(crate) async fn run(shared: Arc<Shared>, socket: Arc<UdpSocket>) {
    let wake = shared.state().rollouts.wake.clone();
    loop {
        let is_idle = {
            let state = shared.state();
            let mut rollouts = state.rollouts.services.values();
            rollouts.all(ServiceRollout::is_idle)
        };
        if is_idle {
            wake.notified().await;
        }
        let tasks = shared.state().rollout_tasks(shared.now(), unix_millis());
        for (datagram, receivers) in tasks.messages {
            peers::send(&shared, &socket, &datagram, &receivers);
        }
        for write in tasks.writes {
            tokio::spawn(commit(shared.clone(), write));
        }
        let interval = if tasks.judges {
            JUDGE_INTERVAL
        } else {
            IDLE_INTERVAL
        };
        tokio::time::sleep(interval).await;
    }
}

/// Writes a decision, and applies it here at once.
async fn commit(shared: Arc<Shared>, write: Write) {
    let address = shared.state().settings.store;
    let mut store_client = StoreClient::new(address, shared.metrics.store_calls.clone());
    let records = record::decision_records(&write.decision);
    let key = records[0].0.clone();
    let result = store_client.commit(&records, &key, write.revision).await;
    let now = shared.now();
    let mut state = shared.state();
    match result {
        Ok(()) => {
            tracing::info!(
                service = %write.decision.service,
                version = %write.decision.version,
                stage = ?write.decision.stage,
                reason = write.reason,
                "decision of a roll-out written"
            );
            state.finish_write(&write, None);
            state.apply_decision(now, &write);
        }
        Err(err) => {
            tracing::info!(
                service = %write.decision.service,
                version = %write.decision.version,
                stage = ?write.decision.stage,
                %err,
                "decision of a roll-out not written"
            );
            state.finish_write(&write, Some((now, &err)));
        }
    }
    drop(state);
    shared.capacity_freed.notify_waiters();
}

impl State {
    /// Allows the next write; after a failure only some time later.
    fn finish_write(&mut self, write: &Write, failure: Option<(Time, &StoreError)>) {
        let Some(rollout) = self.rollouts.services.get_mut(&write.decision.service) else {
            return;
        };
        rollout.writing = false;
        let (first, longest) = WRITE_BACKOFF;
        rollout.retry = match failure {
            None => (Time::ZERO, first),
            Some((now, _)) => {
                let delay = rollout.retry.1.clamp(first, longest);
                (now.after(delay), (delay * 2).min(longest))
            }
        };
    }

    /// Applies an own decision that the store has accepted. The replica gets it from the
    /// watch, which knows its revision.
    fn apply_decision(&mut self, now: Time, write: &Write) {
        self.put_rollout_record(&Record::RolloutDecision(write.decision.clone()));
        self.update_rollouts(now, false);
    }
}

/// The time of day. It may jump by seconds, so it only serves to estimate the age of an
/// order from before this instance's start.
pub(super) fn unix_millis() -> u64 {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
    since_epoch.map_or(0, |since| {
        u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
    })
}
