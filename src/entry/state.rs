//! The shared state of an entry instance, and the decisions made on it.
//!
//! One lock guards all of it. The lock is never held over I/O, and no other lock is
//! taken while it is held.

mod accounts;
mod changes;
mod heartbeats;
mod outdated;
mod probes;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use indexmap::{IndexMap, IndexSet};
use rand::Rng;

use self::heartbeats::OwnReport;
pub(crate) use self::probes::PathCheck;
use crate::account::cap::CapSettings;
use crate::account::{AccountTable, AccountUsage};
use crate::dispatch::quarantine::{Quarantine, QuarantineSettings, QuarantineStatus};
use crate::entry::fleet::caps::AccountCaps;
use crate::entry::fleet::directory::{self, DirectoryEntry};
use crate::entry::fleet::freshness::{Freshness, FreshnessLimits};
use crate::entry::fleet::members::{InstanceStatus, Members};
use crate::entry::fleet::message::TargetReport;
use crate::entry::fleet::reach::Reach;
use crate::entry::fleet::replica::Replica;
use crate::entry::fleet::watchers::{StoreAccess, WatchSchedule, should_watch, watching};
use crate::entry::model::{CallerLimits, Route};
use crate::entry::request::fingerprint::RequestFingerprints;
use crate::entry::request::routes::{RouteTable, WeightedSplitter};
use crate::entry::request::service_time::ServiceTimes;
use crate::entry::request::wait_queue::WaitQueue;
use crate::entry::rollout::Rollouts;
use crate::entry::settings::{AccountSettings, EntrySettings, Tuning};
use crate::entry::target::load_curve::LoadCurve;
use crate::entry::target::placement::Candidate;
use crate::entry::target::selection::Reserved;
use crate::entry::target::supply::MeanSpeed;
use crate::entry::target::targets::{LAPSED_RETENTION, TargetTable};
use crate::entry::window::{RetryBudget, RetryBudgetRule, slack_share};
use crate::names::{ServiceName, TargetId, ZoneName};
use crate::platform::prepared::store::RejectedRecord;
use crate::units::Time;

/// Fraction of the configured retry ratio that is used. The rest allows for callers
/// that move to another instance within a window and are counted by both.
const RETRY_RATIO_FRACTION: f64 = 0.85;
/// Target crashes after which a request is blocked. By chance, a request may run beside
/// another one that causes a crash twice, but hardly three times.
const CRASHES_TO_BLOCK: u32 = 3;
/// Time after a store outage in which a removed target is assumed to have an expired lease
/// and to be alive; live ones register again within it.
const OUTAGE_RECOVERY: Duration = LAPSED_RETENTION;

/// The state of an entry instance.
#[derive(Debug)]
pub(crate) struct State {
    /// Settings from the platform, replaced when the file is reloaded.
    pub settings: Arc<EntrySettings>,
    /// Intervals and timeouts that are not configurable.
    pub tuning: Tuning,
    /// Copy of the store's records.
    pub replica: Replica,
    /// Routes of the configuration in force; empty before the first.
    pub routes: RouteTable,
    /// Client accounts of the configuration in force; `None` if they are unknown.
    pub accounts: Option<AccountTable>,
    /// Requests of the accounts since the start.
    pub account_usage: AccountUsage,
    /// Local view of every registered target.
    pub targets: TargetTable,
    /// The other instances, live or not.
    pub members: Members,
    /// Requests suspected of crashing targets.
    pub quarantine: Quarantine,
    /// Whether this instance reaches the targets at all.
    pub reach: Reach,
    /// The roll-outs of services.
    pub rollouts: Rollouts,
    /// Typical service time of each route.
    pub service_times: ServiceTimes,
    /// Slowdown of each service's targets by their fill.
    pub load_curves: IndexMap<ServiceName, LoadCurve>,
    /// Mean speed of the targets of each service for which requests have waited.
    pub mean_speeds: IndexMap<ServiceName, MeanSpeed>,
    /// Limits of client accounts.
    pub caps: AccountCaps,
    /// Status that this instance sends to its peers.
    pub status: InstanceStatus,
    /// Results of this instance's own probes by target key.
    reports: IndexMap<u64, OwnReport>,
    /// Failed own probes that may be due to a partition, by target key, and their starts.
    unconfirmed: IndexMap<u64, (TargetReport, Time)>,
    /// Reports last sent to peers in the same zone.
    sent_same_zone: IndexMap<u64, TargetReport>,
    /// Reports last sent to peers in other zones.
    sent_other_zones: IndexMap<u64, TargetReport>,
    /// When digests of other zones were last requested.
    pub last_digest_request: Time,
    /// The zones whose digests were requested then.
    pub digest_zones: IndexSet<ZoneName>,
    heartbeats_sent: usize,
    budgets: IndexMap<ServiceName, RetryBudget>,
    splitters: IndexMap<Arc<str>, WeightedSplitter>,
    /// Requests that wait for capacity, by service.
    pub wait_queues: IndexMap<ServiceName, WaitQueue>,
    registered: IndexMap<Arc<str>, SocketAddr>,
    /// Records that can't be decoded, by key.
    pub rejected: IndexMap<Arc<str>, RejectedRecord>,
    /// Start of the process.
    pub started: Time,
    /// Whether all instances were started for the first time together with this one.
    first_start: bool,
    /// How recent the replica is known to be.
    freshness: Freshness,
    /// When the replica last changed.
    changed_at: Time,
    /// What the last heartbeat told of the store.
    told_of_store: (StoreAccess, Option<Time>),
    recovering_until: Time,
}

impl State {
    pub(crate) fn new(settings: EntrySettings, tuning: Tuning, now: Time) -> Self {
        let mut members = Members::new(
            settings.peers,
            tuning.peer_silence_timeout,
            tuning.peer_remove_after,
        );
        for seed in &settings.seeds {
            let address = SocketAddr::new(*seed, settings.peers.port());
            members.add(now, address, &settings.zone);
        }
        let quarantine = Quarantine::new(QuarantineSettings {
            crashes_to_block: CRASHES_TO_BLOCK,
            // Requests that break off together are retried together.
            isolate_suspects: false,
            ..QuarantineSettings::default()
        });
        Self {
            status: InstanceStatus {
                callers: Some(settings.callers),
                ..InstanceStatus::default()
            },
            first_start: settings.first_start,
            caps: AccountCaps::new(settings.peers, rand::random()),
            settings: Arc::new(settings),
            tuning,
            replica: Replica::default(),
            routes: RouteTable::default(),
            accounts: None,
            account_usage: AccountUsage::default(),
            targets: TargetTable::default(),
            members,
            quarantine,
            reach: Reach::default(),
            rollouts: Rollouts::default(),
            service_times: ServiceTimes::default(),
            load_curves: IndexMap::new(),
            mean_speeds: IndexMap::new(),
            reports: IndexMap::new(),
            unconfirmed: IndexMap::new(),
            sent_same_zone: IndexMap::new(),
            sent_other_zones: IndexMap::new(),
            last_digest_request: Time::ZERO,
            digest_zones: IndexSet::new(),
            heartbeats_sent: 0,
            budgets: IndexMap::new(),
            splitters: IndexMap::new(),
            wait_queues: IndexMap::new(),
            registered: IndexMap::new(),
            rejected: IndexMap::new(),
            started: now,
            freshness: Freshness::new(now),
            changed_at: now,
            told_of_store: (StoreAccess::default(), None),
            recovering_until: Time::ZERO,
        }
    }

    /// Whether all instances were started for the first time together with this one.
    pub(crate) fn is_first_start(&self) -> bool {
        self.first_start
    }

    /// Limits on callers that are in force.
    pub(crate) fn caller_limits(&self) -> CallerLimits {
        self.replica
            .configuration()
            .map_or_else(CallerLimits::default, |configuration| configuration.bounds)
    }

    /// The registered instances by their store keys.
    pub(crate) fn registered(&self) -> impl Iterator<Item = (&Arc<str>, SocketAddr)> {
        self.registered.iter().map(|(key, address)| (key, *address))
    }

    /// Whether this instance's own watch of the store is up to date.
    pub(crate) fn watches(&self) -> bool {
        self.status.store == StoreAccess::Watching
    }

    /// Whether this instance should watch the store, when too few instances have
    /// watched it for `waited`.
    pub(crate) fn should_watch(&mut self, now: Time, waited: Duration) -> bool {
        let doubt = self.store_doubt(now);
        let own = self.members.own_watcher(self.status.store);
        let others = self.members.watchers(now);
        should_watch(own, &others, self.tuning.store_watchers, waited, doubt)
    }

    /// Time for which it has been in doubt whether any watch still reaches the store; `None` if
    /// the store has answered an instance lately.
    pub(crate) fn store_doubt(&mut self, now: Time) -> Option<Duration> {
        self.record_answers_of_peers();
        let doubt_after = self.freshness_limits().doubt_after;
        self.store_answer_age(now).checked_sub(doubt_after)
    }

    /// Time since the store last answered any instance, as far as known.
    pub(crate) fn store_answer_age(&self, now: Time) -> Duration {
        self.freshness.age(now)
    }

    /// Whether enough other instances watch the store.
    pub(crate) fn others_watch(&self, now: Time) -> bool {
        watching(&self.members.watchers(now)) >= self.tuning.store_watchers
    }

    /// How long the next watch waits.
    pub(crate) fn watch_wait(&self, now: Time) -> Duration {
        let own = self.members.own_watcher(self.status.store);
        let mut others = self.members.watchers(now);
        others.retain(|other| other.access == StoreAccess::Watching);
        let interval = self.freshness_limits().answer_interval;
        let wanted = u32::try_from(self.tuning.store_watchers).unwrap_or(u32::MAX);
        let schedule = WatchSchedule {
            interval,
            max_wait: interval.saturating_mul(wanted),
            ahead: others
                .iter()
                .filter(|other| other.weight > own.weight)
                .count(),
            watching: others.len() + 1,
        };
        schedule.wait(now.since(self.changed_at))
    }

    /// Records an answer of the store that brought the replica up to date.
    pub(crate) fn record_store_answer(&mut self, now: Time) {
        self.freshness.record_own(now);
    }

    fn record_answers_of_peers(&mut self) {
        let answers = self.members.store_answers(self.status.position());
        if let Some(at) = answers.reached {
            self.freshness.record(at);
        }
        if let Some(at) = answers.any {
            self.freshness.record_elsewhere(at);
        }
    }

    fn freshness_limits(&self) -> FreshnessLimits {
        FreshnessLimits::new(self.settings.propagation_limit)
    }

    /// Tracks the last answer of the store to any instance, and its outages, so that targets
    /// whose leases expired are distinguished from targets that left.
    pub(crate) fn update_outage(&mut self, now: Time) {
        self.record_answers_of_peers();
        if self.freshness.silence(now) > self.freshness_limits().outage_after {
            self.recovering_until = now.after(OUTAGE_RECOVERY);
        }
    }

    /// The service that gets the next request of a route, by the weights of its traffic
    /// split.
    pub(crate) fn next_service(&mut self, route: &Route) -> Option<ServiceName> {
        let splitter = self
            .splitters
            .entry(route.name.clone())
            .or_insert_with(|| WeightedSplitter::new(rand::rng().random()));
        Some(splitter.next(&route.parts)?.service.clone())
    }

    /// Records a caller's request, which adds to the retry budget of its service.
    pub(crate) fn record_request(&mut self, now: Time, service: &ServiceName) {
        self.budgets
            .entry(service.clone())
            .or_default()
            .record_request(now, self.settings.repeat_window);
    }

    /// Takes one retry from the budget of a service; false when none is left.
    pub(crate) fn take_retry(&mut self, now: Time, service: &ServiceName) -> bool {
        let rule = self.retry_rule(now);
        let budget = self.budgets.entry(service.clone()).or_default();
        budget.try_take(now, rule)
    }

    fn retry_rule(&self, now: Time) -> RetryBudgetRule {
        let settings = &self.settings;
        let window = settings.repeat_window;
        let age = now.since(self.started);
        let instances = self.instances();
        RetryBudgetRule {
            ratio: settings.repeat_ratio * RETRY_RATIO_FRACTION,
            window,
            slack: slack_share(
                settings.repeat_slack,
                instances,
                age,
                window,
                self.first_start,
            ),
        }
    }

    /// Revision of a key in the store, as a condition of writing it: that of its record, even
    /// if it is invalid; 0 if there is none, or one of a later release.
    pub(crate) fn stored_revision(&self, key: &str) -> u64 {
        let rejected = self.rejected.get(key).filter(|record| !record.is_later);
        // It counts as removed, until it is removed or replaced.
        let rejected = rejected.map(|record| record.revision);
        let rejected = rejected.filter(|at| self.replica.removed_at(key) == Some(*at));
        let revision = self.replica.revision_of(key).or(rejected);
        revision.unwrap_or_default()
    }

    #[expect(
        clippy::cast_precision_loss,
        reason = "some thousand instances at most"
    )]
    /// Number of known instances, including this one.
    pub(crate) fn instances(&self) -> f64 {
        (self.members.known().count() + 1) as f64
    }

    /// Factor by which work that runs at a target takes longer than usual; 1.0 when
    /// unknown.
    pub(crate) fn slowness(&self, now: Time, id: &TargetId) -> f64 {
        let Some(view) = self.targets.get(id) else {
            return 1.0;
        };
        let curve = self.load_curve(&view.target.service);
        let candidate = view.candidate(now, &self.settings.zone, &curve);
        let fill = (candidate.occupied / candidate.slots.max(1.0)).min(1.0);
        candidate.slowness_percent.unwrap_or(100.0) / 100.0 * curve.factor(fill)
    }

    /// What is known of how the targets of a service slow down when they fill.
    pub(crate) fn load_curve(&self, service: &ServiceName) -> LoadCurve {
        self.load_curves.get(service).copied().unwrap_or_default()
    }

    /// Records a response that took `took` at a target of `service`, of which a request had
    /// found `candidate`.
    pub(crate) fn record_service_time(
        &mut self,
        route: &Arc<str>,
        service: &ServiceName,
        candidate: &Candidate,
        took: Duration,
    ) {
        let Some(percent) = candidate.slowness_percent else {
            return;
        };
        if candidate.occupied >= candidate.slots {
            return;
        }
        let slowness = (percent / 100.0).max(1.0);
        let curve = self.load_curves.entry(service.clone()).or_default();
        let fill = (candidate.occupied + 1.0) / candidate.slots.max(1.0);
        if let Some(usual) = self.service_times.settled(route) {
            curve.record(fill, took.as_secs_f64() / (usual.as_secs_f64() * slowness));
        }
        let factor = slowness * curve.factor(fill);
        self.service_times.record(route, took, factor);
    }

    /// Whether a request is blocked as it has crashed targets.
    pub(crate) fn is_blocked(&self, now: Time, fingerprints: RequestFingerprints) -> bool {
        let mut each = fingerprints.each();
        each.any(|fingerprint| {
            self.quarantine.status(now, fingerprint) == QuarantineStatus::Blocked
        })
    }

    /// Crashes of targets that are attributed to a request.
    pub(crate) fn suspicion(&self, fingerprints: RequestFingerprints) -> u32 {
        let crashes = |fingerprint| self.quarantine.crashes(fingerprint);
        fingerprints.each().map(crashes).max().unwrap_or(0)
    }

    /// Releases the capacity reserved at a run of a target for a request that ended or was
    /// never sent.
    pub(crate) fn release(&mut self, reserved: Reserved) {
        if let Some(view) = self.targets.run_mut(reserved.run) {
            view.in_flight = view.in_flight.saturating_sub(1);
            let mut ends = view.ends.iter();
            if let Some(index) = ends.position(|known| *known == reserved.expected_end) {
                view.ends.swap_remove(index);
            }
            let mut suspects = view.suspects.iter();
            if let Some(index) = suspects.position(|known| *known == reserved.suspicion) {
                view.suspects.swap_remove(index);
            }
        }
    }

    /// Path of the health check of a service's targets; `None` if it is not configured.
    pub(crate) fn health_path(&self, service: &ServiceName) -> Option<Arc<str>> {
        let services = &self.replica.configuration()?.services;
        Some(services.get(service)?.health_path.clone())
    }

    /// Takes over what is known of the other instances for the limits of client accounts.
    pub(crate) fn update_caps(&mut self, now: Time) {
        let settings = self.settings.accounts.as_ref();
        self.caps.update(
            now,
            settings.map_or_else(CapSettings::default, AccountSettings::cap_settings),
            &self.members,
            &self.settings.zone,
            self.status.leaving,
        );
    }

    /// Removes expired entries; returns the targets that were removed.
    pub(crate) fn remove_expired(&mut self, now: Time) -> Vec<TargetId> {
        let registered = &self.registered;
        self.members.remove_silent(now, |address| {
            registered.values().any(|known| known == address)
        });
        self.quarantine.remove_expired(now);
        for zone in self.targets.end_lost_evacuations(now) {
            tracing::info!(%zone, "evacuation was not written again; ended");
        }
        self.targets.drop_removed(now)
    }

    /// The addresses of ready instances for a caller in `zone`.
    pub(crate) fn addresses(&self, now: Time, zone: Option<&str>) -> Vec<SocketAddr> {
        let own = self.status.ready.then(|| DirectoryEntry {
            callers: self.settings.callers,
            zone: self.settings.zone.clone(),
            reaches_targets: !self.status.cut_off,
        });
        let peers = self.members.live(now).filter_map(|(_, member)| {
            let ready = member.status.ready && !member.status.leaving;
            Some(DirectoryEntry {
                callers: member.status.callers.filter(|_| ready)?,
                zone: member.zone.clone(),
                reaches_targets: !member.status.cut_off,
            })
        });
        let entries: Vec<DirectoryEntry> = own.into_iter().chain(peers).collect();
        directory::addresses(&entries, zone)
    }
}
