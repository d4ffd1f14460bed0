//! The control loop of an instance: lease, members, claims, configuration, targets.

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
use crate::membership::LeftPermits;
use crate::names::{InstanceId, ShardId};
use crate::ownership::authority::RuleSettings;
use crate::ownership::electorate::Electorate;
use crate::platform::http::{HttpClient, new_client};
use crate::platform::list::TargetList;
use crate::platform::store::{LeaseId, StoreError};
use crate::units::Time;

/// Heartbeats between two reads of members and claims when no peer tells of news.
const READ_HEARTBEATS: u32 = 4;

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
    /// The store's revision at which the member key was first put under the
    /// lease; older claims are confirmed before they count.
    lease_from: i64,
    /// When the last renewal that was answered was sent.
    renewed: Option<Time>,
    directory_read: Option<Time>,
    /// Electorates of writes whose outcome is not known.
    pending: IndexSet<Electorate>,
    /// The members, and since when they are these.
    members: (Vec<InstanceId>, Time),
    /// Shards that are no longer owned and whose claims may not be left yet,
    /// with what ran there.
    giving_up: IndexMap<ShardId, Vec<LeftPermits>>,
    /// When the last claim was handed on.
    moved: Option<Time>,
    /// Whether the claims are being left; no shard is owned any more.
    leaving: bool,
    /// Whether the log says that the store can't be reached.
    outage_told: bool,
    list: TargetList,
    /// When the list is asked next.
    list_due: Time,
    probes: ProbeBudget,
}

impl Control {
    fn new(instance: Arc<Instance>) -> Self {
        let now = instance.tables.clock.now();
        Self {
            rules: RuleSettings::from(&instance.tables.settings.membership),
            instance,
            http: new_client(),
            lease: None,
            lease_from: 0,
            renewed: None,
            directory_read: None,
            pending: IndexSet::new(),
            members: (Vec::new(), Time::ZERO),
            giving_up: IndexMap::new(),
            moved: None,
            leaving: false,
            outage_told: false,
            list: TargetList::default(),
            list_due: Time::ZERO,
            probes: ProbeBudget::new(now, ProbeSettings::default()),
        }
    }

    /// One step; what needs no store goes on while the store is down.
    async fn step(&mut self) {
        self.refresh_list().await;
        // A leaving target is obeyed whatever the store answers.
        self.update_shards();
        let stored = self.store_step().await;
        let reached = !matches!(
            stored,
            Err(StoreError::Unreachable(_) | StoreError::OutcomeUnknown(_))
        );
        let tables = &self.instance.tables;
        tables.store_reached.store(reached, Ordering::Relaxed);
        self.report(stored, reached);
        self.update_shards();
        self.probe_targets();
    }

    /// Logs how a step ended; an outage of the store is told once, not each step.
    fn report(&mut self, step: Result<(), StoreError>, reached: bool) {
        match step {
            Err(err) if self.outage_told => {
                tracing::debug!(%err, "the store still can't be reached");
            }
            Err(err) => {
                tracing::warn!(%err, "control step failed; it is tried again");
                self.outage_told = !reached;
            }
            Ok(()) if self.outage_told => {
                tracing::info!("the store is reached again");
                self.outage_told = false;
            }
            Ok(()) => {}
        }
    }

    async fn store_step(&mut self) -> Result<(), StoreError> {
        if self.instance.tables.claims_left.load(Ordering::Relaxed) {
            return self.follow().await;
        }
        self.renew_lease().await?;
        self.follow().await?;
        if self.instance.tables.stopping.load(Ordering::Relaxed) {
            return self.leave().await;
        }
        self.update_claims().await
    }

    /// Reads what may be news.
    async fn follow(&mut self) -> Result<(), StoreError> {
        let now = self.instance.tables.clock.now();
        let told = self.instance.tables.peer_words().latest();
        let known = self.instance.tables.directory().revision;
        if told.directory > known || self.due(now, self.directory_read) {
            self.refresh_directory().await?;
        }
        Ok(())
    }

    /// Leaves every claim and tells the others.
    async fn leave(&mut self) -> Result<(), StoreError> {
        // With the store down the shards are served until the process ends.
        self.refresh_directory().await?;
        self.leaving = true;
        self.release_claims().await?;
        let left = &self.instance.tables.claims_left;
        left.store(true, Ordering::Relaxed);
        self.refresh_directory().await?;
        heartbeat::send_all(&self.instance);
        Ok(())
    }

    fn due(&self, now: Time, last: Option<Time>) -> bool {
        let period = self.instance.tables.settings.membership.heartbeat * READ_HEARTBEATS;
        last.is_none_or(|last| now.since(last) >= period)
    }
}

fn encode(value: &impl serde::Serialize) -> Result<Bytes, StoreError> {
    serde_json::to_vec(value)
        .map(Bytes::from)
        .map_err(|err| StoreError::Refused(err.to_string()))
}
