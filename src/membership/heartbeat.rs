//! Heartbeats between instances, and what an instance has learnt from them.

#[cfg(test)]
mod tests;

use std::time::Duration;

use indexmap::IndexMap;

use super::RunId;
use crate::macros::data;
use crate::names::InstanceId;
use crate::ownership::takeover::SilenceReport;
use crate::resource::Revision;
use crate::units::Time;

/// Time without a message after which a run is forgotten.
const RUN_TTL: Duration = Duration::from_secs(600);

data! {
    /// Message that an instance periodically sends to every other instance.
    pub struct Heartbeat {
        /// Run that sends the heartbeat.
        pub from: RunId,
        /// Run that the heartbeat is for; another process may have taken over
        /// the address.
        pub to: RunId,
        /// What the sender has last read from the store.
        #[serde(rename = "news")]
        pub known_revisions: KnownRevisions,
        /// Previous owners on whose silence the sender requests reports.
        #[serde(default, skip_serializing_if = "Vec::is_empty")]
        pub about: Vec<RunId>,
    }

    /// The response to a [`Heartbeat`].
    pub struct HeartbeatResponse {
        /// Run that responds.
        pub from: RunId,
        /// What that run has last read from the store.
        #[serde(rename = "news")]
        pub known_revisions: KnownRevisions,
        /// Whether that run may act as an owner.
        #[serde(rename = "holds")]
        pub may_grant: bool,
        /// Time since the last heartbeat of each run that the sender asked
        /// about.
        #[serde(default, skip_serializing_if = "Vec::is_empty")]
        pub silences: Vec<Silence>,
    }

    /// Latest revisions that an instance has read from the store.
    #[derive(Copy, Eq, Default)]
    pub struct KnownRevisions {
        /// Revision of the configuration in force.
        pub config: Revision,
        /// Revision of the latest change of members or claims.
        pub directory: i64,
        /// Whether the instance can reach the store.
        pub store: bool,
    }

    /// Response to a peer that can't reach the store and has requested that its
    /// lease be renewed.
    pub enum LeaseRenewal {
        /// The store has renewed the lease.
        Renewed {
            /// Time to live of the lease, in milliseconds.
            ttl_ms: u64,
        },
        /// The lease does not exist any more.
        Gone,
        /// The store could not be reached.
        Unknown,
    }

    /// Time since the last heartbeat of a run.
    pub struct Silence {
        /// Run that is reported on.
        pub run: RunId,
        /// Time since its last heartbeat, in microseconds; at most the uptime
        /// of the reporting instance.
        pub micros: u64,
    }
}

/// What this instance has learnt from heartbeats and the responses to them.
#[derive(Debug, Clone, Default)]
pub struct PeerObservations {
    heartbeats: IndexMap<RunId, Time>,
    peer_revisions: IndexMap<RunId, (Time, KnownRevisions)>,
    reports: IndexMap<(RunId, InstanceId), SilenceReport>,
    stopped: IndexMap<RunId, Time>,
    latest: KnownRevisions,
}

impl PeerObservations {
    /// Records a heartbeat received from `run`.
    pub fn record_heartbeat(&mut self, now: Time, run: RunId, known_revisions: KnownRevisions) {
        self.peer_revisions
            .insert(run.clone(), (now, known_revisions));
        self.heartbeats.insert(run, now);
        self.update_latest(known_revisions);
    }

    /// Records the response to a heartbeat that was sent at `sent`.
    pub fn record_response(&mut self, now: Time, sent: Time, response: &HeartbeatResponse) {
        self.peer_revisions
            .insert(response.from.clone(), (now, response.known_revisions));
        self.update_latest(response.known_revisions);
        if !response.may_grant {
            self.stopped.insert(response.from.clone(), sent);
        }
        for silence in &response.silences {
            let key = (silence.run.clone(), response.from.instance.clone());
            let report = SilenceReport {
                requested_at: sent,
                received_at: now,
                silent_for: Duration::from_micros(silence.micros),
            };
            self.reports.insert(key, report);
        }
    }

    /// Returns the time since the last heartbeat of `run`, or since
    /// [`Time::ZERO`], the start of this process, without one.
    #[must_use]
    pub fn silent_for(&self, now: Time, run: &RunId) -> Duration {
        now.since(self.heartbeats.get(run).copied().unwrap_or_default())
    }

    /// Returns the latest report of a member about a run.
    #[must_use]
    pub fn report(&self, about: &RunId, member: &InstanceId) -> Option<SilenceReport> {
        let key = (about.clone(), member.clone());
        self.reports.get(&key).copied()
    }

    /// Returns when the latest heartbeat was sent to which `run` responded that
    /// it does not act as an owner.
    #[must_use]
    pub fn stopped_at(&self, run: &RunId) -> Option<Time> {
        self.stopped.get(run).copied()
    }

    /// Returns, of the peers that reported within `recent` that they reach the
    /// store, the one that reported last.
    #[must_use]
    pub fn peer_with_store(&self, now: Time, recent: Duration) -> Option<RunId> {
        let reaches =
            |latest: &(Time, KnownRevisions)| latest.1.store && now.since(latest.0) <= recent;
        let reaching = self
            .peer_revisions
            .iter()
            .filter(|(_, latest)| reaches(latest));
        let last = reaching.max_by_key(|(_, latest)| latest.0);
        last.map(|(run, _)| run.clone())
    }

    /// Returns the highest revisions that any peer has reported.
    #[must_use]
    pub fn latest_revisions(&self) -> KnownRevisions {
        self.latest
    }

    /// Removes runs without recent messages, and reports about runs that are
    /// not in `queried`.
    pub fn prune(&mut self, now: Time, queried: &[RunId]) {
        self.heartbeats
            .retain(|_, received| now.since(*received) < RUN_TTL);
        self.peer_revisions
            .retain(|_, (received, _)| now.since(*received) < RUN_TTL);
        self.reports.retain(|(run, _), _| queried.contains(run));
        self.stopped.retain(|run, _| queried.contains(run));
    }

    fn update_latest(&mut self, known_revisions: KnownRevisions) {
        self.latest.config = self.latest.config.max(known_revisions.config);
        self.latest.directory = self.latest.directory.max(known_revisions.directory);
    }
}
