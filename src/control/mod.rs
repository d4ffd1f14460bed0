//! The control loop of an instance: renews its lease, follows members, claims and
//! targets, and keeps the owned shards up to date.

mod claims;
mod directory;
pub(crate) mod heartbeat;
mod lease;
mod probes;
pub(crate) mod shards;
mod targets;

use std::sync::Arc;
use std::sync::atomic::Ordering;

use bytes::Bytes;
use indexmap::{IndexMap, IndexSet};

use crate::admission::probe::{ProbeBudget, ProbeSettings};
use crate::instance::Instance;
use crate::membership::TargetPermits;
use crate::names::{InstanceId, ShardId};
use crate::ownership::authority::RuleSettings;
use crate::ownership::electorate::Electorate;
use crate::platform::http::{HttpClient, new_client};
use crate::platform::list::TargetList;
use crate::platform::store::{LeaseId, StoreError};
use crate::units::Time;

/// Heartbeat periods between two reads of the directory when no peer reports a newer
/// revision.
const DIRECTORY_READ_HEARTBEATS: u32 = 4;

/// Runs the control loop until the process ends.
pub(crate) async fn run(instance: Arc<Instance>) {
    tokio::spawn(heartbeat::run(Arc::clone(&instance)));
    let period = instance.tables.settings.membership.heartbeat;
    let mut control = Control::new(instance);
    let mut ticks = tokio::time::interval(period);
    ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        control.step().await;
    }
}

struct Control {
    instance: Arc<Instance>,
    http: HttpClient,
    rules: RuleSettings,
    lease: Option<LeaseId>,
    /// Store revision at which the member key was first written under the current
    /// lease. An older claim counts only once it has been rewritten under this lease.
    lease_revision: i64,
    /// When the last successful renewal was sent.
    last_renewal: Option<Time>,
    directory_read_at: Option<Time>,
    /// Electorates in claim writes whose outcome is unknown.
    pending_electorates: IndexSet<Electorate>,
    /// The set of members and when it last changed.
    member_set: (Vec<InstanceId>, Time),
    /// Shards that are no longer owned while the release of their claims is not yet
    /// known to have taken effect, with the permits outstanding at that moment.
    releasing: IndexMap<ShardId, Vec<TargetPermits>>,
    /// When a claim was last handed over to the preferred owner.
    last_handover: Option<Time>,
    /// Whether every claim is being released for a planned stop; no shard is owned any
    /// more.
    releasing_all: bool,
    /// Whether the current outage of the store has been logged.
    outage_logged: bool,
    /// The platform's instance list, as last fetched.
    list: TargetList,
    /// When the instance list is fetched next.
    next_list_fetch: Time,
    probe_budget: ProbeBudget,
}

impl Control {
    fn new(instance: Arc<Instance>) -> Self {
        let now = instance.tables.clock.now();
        Self {
            rules: RuleSettings::from(&instance.tables.settings.membership),
            instance,
            http: new_client(),
            lease: None,
            lease_revision: 0,
            last_renewal: None,
            directory_read_at: None,
            pending_electorates: IndexSet::new(),
            member_set: (Vec::new(), Time::ZERO),
            releasing: IndexMap::new(),
            last_handover: None,
            releasing_all: false,
            outage_logged: false,
            list: TargetList::default(),
            next_list_fetch: Time::ZERO,
            probe_budget: ProbeBudget::new(now, ProbeSettings::default()),
        }
    }

    /// Runs one step. What does not need the store continues while it is down.
    async fn step(&mut self) {
        self.refresh_list().await;
        // Targets that are leaving are taken out even while the store is down.
        self.update_shards();
        let stored = self.store_step().await;
        let reached = !matches!(
            stored,
            Err(StoreError::Unreachable(_) | StoreError::OutcomeUnknown(_))
        );
        let tables = &self.instance.tables;
        tables.store_reachable.store(reached, Ordering::Relaxed);
        self.log_outcome(stored, reached);
        self.update_shards();
        self.probe_targets();
    }

    /// Logs the outcome of a step. An outage of the store is logged as a warning once, not
    /// at each step.
    fn log_outcome(&mut self, outcome: Result<(), StoreError>, reached: bool) {
        if reached && self.outage_logged {
            tracing::info!("store reachable again");
            self.outage_logged = false;
        }
        match outcome {
            Err(err) if self.outage_logged => {
                tracing::debug!(%err, "store still unreachable");
            }
            Err(err) => {
                tracing::warn!(%err, "control step failed, retrying");
                self.outage_logged = !reached;
            }
            Ok(()) => {}
        }
    }

    async fn store_step(&mut self) -> Result<(), StoreError> {
        if self.instance.tables.released_claims.load(Ordering::Relaxed) {
            return self.refresh_directory_if_due().await;
        }
        self.renew_lease().await?;
        self.refresh_directory_if_due().await?;
        if self.instance.tables.stopping.load(Ordering::Relaxed) {
            return self.release_all().await;
        }
        self.update_claims().await
    }

    /// Reads the directory when a peer reports a newer revision or the last read is too old.
    async fn refresh_directory_if_due(&mut self) -> Result<(), StoreError> {
        let now = self.instance.tables.clock.now();
        let latest = self.instance.tables.peer_observations().latest_revisions();
        let known = self.instance.tables.directory().revision;
        if latest.directory > known || self.is_due(now, self.directory_read_at) {
            self.refresh_directory().await?;
        }
        Ok(())
    }

    /// Releases every claim and announces it to the other instances.
    async fn release_all(&mut self) -> Result<(), StoreError> {
        // This fails while the store is down, and the shards are then served until the
        // process ends.
        self.refresh_directory().await?;
        self.releasing_all = true;
        self.release_all_claims().await?;
        let released_claims = &self.instance.tables.released_claims;
        released_claims.store(true, Ordering::Relaxed);
        self.refresh_directory().await?;
        heartbeat::send_all(&self.instance);
        Ok(())
    }

    fn is_due(&self, now: Time, last: Option<Time>) -> bool {
        let period = self.instance.tables.settings.membership.heartbeat * DIRECTORY_READ_HEARTBEATS;
        last.is_none_or(|last| now.since(last) >= period)
    }
}

fn encode(value: &impl serde::Serialize) -> Result<Bytes, StoreError> {
    serde_json::to_vec(value)
        .map(Bytes::from)
        .map_err(|err| StoreError::Refused(err.to_string()))
}
