//! The shared state of an entry instance, and the decisions made on it.
//!
//! One lock guards all of it. The lock is never held over I/O, and no other lock is
//! taken while it is held.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use indexmap::{IndexMap, IndexSet};
use rand::Rng;

use super::directory::{self, DirectoryEntry};
use super::members::{InstanceStatus, Members, PendingUpdates};
use super::message::{
    Health, Heartbeat, MAX_CASES, MAX_LIMITS, MAX_REPORTS, RelayedStatus, TargetReport,
};
use super::model::{CallerLimits, Record, Route};
use super::replica::{Applied, Delta, Replica};
use super::routes::{RouteTable, WeightedSplitter};
use super::service_time::ServiceTimes;
use super::settings::{EntrySettings, Tuning};
use super::target_limit::NamedLimit;
use super::targets::TargetTable;
use super::wait_queue::WaitQueue;
use super::watchers::{StoreAccess, should_watch, watching};
use super::window::{RetryBudget, RetryBudgetRule, slack_share};
use crate::dispatch::quarantine::{CrashId, Quarantine, QuarantineSettings};
use crate::names::{ServiceName, TargetId, ZoneName};
use crate::platform::prepared::store::RejectedRecord;
use crate::units::Time;

/// Fraction of the configured retry ratio that is used. The rest allows for callers
/// that move to another instance within a window and are counted by both.
const RETRY_RATIO_FRACTION: f64 = 0.85;
/// Target crashes after which a request is blocked. By chance, a request may run beside
/// another one that causes a crash twice, but hardly three times.
const CRASHES_TO_BLOCK: u32 = 3;
/// Time without any instance watching the store after which the store counts as
/// unavailable.
const OUTAGE_AFTER: Duration = Duration::from_millis(800);
/// Time after a store outage in which a removed target is assumed to have an expired
/// lease and to be alive.
const OUTAGE_RECOVERY: Duration = Duration::from_secs(3);

/// One in this many heartbeats includes the address of another peer, so that all
/// instances learn of a new one within seconds.
const MEMBER_EVERY: usize = 4;
/// Maximum age of this instance's own probe results in a heartbeat.
const OWN_REPORT_AGE: Duration = Duration::from_millis(500);

/// A heartbeat and the peers to send it to.
#[derive(Debug)]
pub(crate) struct DueHeartbeat {
    /// The heartbeat.
    pub heartbeat: Heartbeat,
    /// Statuses of other zones' instances, for the peers in the same zone only.
    pub relayed: Vec<RelayedStatus>,
    /// Peers in the same zone.
    pub same_zone: Vec<SocketAddr>,
    /// Peers in other zones.
    pub other_zones: Vec<SocketAddr>,
}

/// Result of an own probe.
#[derive(Debug, Clone, Copy)]
struct OwnReport {
    report: TargetReport,
    at: Time,
    /// Number of the heartbeat that last contained it; 0 before the first.
    sent_in: usize,
}

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
    /// Local view of every registered target.
    pub targets: TargetTable,
    /// The other instances, live or not.
    pub members: Members,
    /// Requests suspected of crashing targets.
    pub quarantine: Quarantine,
    /// Typical service time of each route.
    pub service_times: ServiceTimes,
    /// Status that this instance sends to its peers.
    pub status: InstanceStatus,
    /// Results of this instance's own probes by target key.
    reports: IndexMap<u64, OwnReport>,
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
    watched_at: Time,
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
            settings: Arc::new(settings),
            tuning,
            replica: Replica::default(),
            routes: RouteTable::default(),
            targets: TargetTable::default(),
            members,
            quarantine,
            service_times: ServiceTimes::default(),
            reports: IndexMap::new(),
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
            watched_at: now,
            recovering_until: Time::ZERO,
        }
    }

    /// Limits on callers that are in force.
    pub(crate) fn caller_limits(&self) -> CallerLimits {
        self.replica
            .configuration()
            .map_or_else(CallerLimits::default, |configuration| configuration.bounds)
    }

    /// Applies changes of the store; returns whether anything changed.
    pub(crate) fn apply(&mut self, now: Time, mut delta: Delta, source: &str) -> bool {
        let restored = self.replica.is_restored_by(&delta);
        if restored {
            tracing::warn!(
                known = ?self.replica.position(),
                era = delta.era,
                revision = delta.revision,
                source,
                "store was restored from a copy"
            );
            self.remove_outdated(now, &mut delta);
        }
        let applied = self.replica.apply(delta);
        let after_outage = now < self.recovering_until;
        let lapsed_services = self.targets.lapsed_services(&applied);
        for change in &applied {
            let lapsed = match change {
                Applied::Removed(_, Record::Target(target)) => {
                    restored || after_outage || lapsed_services.contains(&target.service)
                }
                Applied::Removed(_, Record::Evacuation(_)) => restored,
                _ => false,
            };
            log_change(change, self.replica.revision(), source, lapsed);
            self.apply_change(now, change, lapsed);
        }
        let position = self.replica.content_position();
        (self.status.era, self.status.revision) = (position.era, position.revision);
        !applied.is_empty()
    }

    /// Turns the records of a copy that are older than what is known here into removals, so
    /// that they count only once they are written again.
    fn remove_outdated(&self, now: Time, delta: &mut Delta) {
        for change in &mut delta.changes {
            if let Some(Record::Target(target)) = &change.record
                && self.targets.is_outdated(now, target)
            {
                tracing::info!(key = &*change.key, "record of the copy is outdated");
                change.record = None;
                change.revision = delta.revision;
            }
        }
    }

    fn apply_change(&mut self, now: Time, change: &Applied, lapsed: bool) {
        if let Applied::Put(key, _) | Applied::Removed(key, _) = change {
            self.rejected.swap_remove(key);
        }
        match change {
            Applied::Configuration(configuration) => {
                self.routes = RouteTable::new(configuration);
                self.status.version = configuration.version;
                self.status.ready |= !self.status.leaving;
            }
            Applied::Put(key, record) => match record {
                Record::Target(target) => self.targets.put(now, target.clone()),
                Record::Evacuation(zone) => self.targets.set_evacuated(zone.clone(), true),
                Record::Instance(instance) => {
                    self.registered.insert(key.clone(), instance.address);
                    self.members.add(now, instance.address, &instance.zone);
                }
                Record::Configuration(_) => {}
            },
            Applied::Removed(key, record) => match record {
                Record::Target(target) => self.targets.remove(now, &target.id, lapsed),
                Record::Evacuation(zone) if lapsed => {
                    self.targets.retain_evacuation(now, zone.clone());
                }
                Record::Evacuation(zone) => self.targets.set_evacuated(zone.clone(), false),
                Record::Instance(_) => {
                    self.registered.swap_remove(key);
                }
                Record::Configuration(_) => {}
            },
        }
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
    pub(crate) fn should_watch(&self, now: Time, waited: Duration) -> bool {
        let own = self.members.own_watcher(self.status.store);
        let others = self.members.watchers(now);
        should_watch(own, &others, self.tuning.store_watchers, waited)
    }

    /// Whether enough other instances watch the store.
    pub(crate) fn others_watch(&self, now: Time) -> bool {
        watching(&self.members.watchers(now)) >= self.tuning.store_watchers
    }

    /// Tracks store outages, so that targets whose leases expired are distinguished
    /// from targets that left.
    pub(crate) fn update_outage(&mut self, now: Time) {
        let watched = self.watches() || self.members.is_store_watched(now);
        if !watched && now.since(self.watched_at) > OUTAGE_AFTER {
            self.recovering_until = now.after(OUTAGE_RECOVERY);
        }
        if watched {
            self.watched_at = now;
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
            .record_request(now);
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

    #[expect(
        clippy::cast_precision_loss,
        reason = "some thousand instances at most"
    )]
    /// Number of known instances, including this one.
    pub(crate) fn instances(&self) -> f64 {
        (self.members.known().count() + 1) as f64
    }

    /// Factor by which work at a target takes longer than usual; 1.0 when unknown.
    pub(crate) fn slowness(&self, now: Time, id: &TargetId) -> f64 {
        self.targets
            .get(id)
            .and_then(|view| view.candidate(now, &self.settings.zone).slowness_percent)
            .map_or(1.0, |percent| percent / 100.0)
    }

    /// Releases the capacity reserved for a request, at the run of a target that `run`
    /// identifies, that ended or was never sent.
    pub(crate) fn release(&mut self, run: u64) {
        if let Some(view) = self.targets.run_mut(run) {
            view.in_flight = view.in_flight.saturating_sub(1);
        }
    }

    /// This instance's equal share of the slots of a service.
    pub(crate) fn slot_share(&mut self, service: &ServiceName) -> f64 {
        let (views, _) = self.targets.service_targets(service);
        let slots: f64 = views.map(|view| f64::from(view.target.slots)).sum();
        slots / self.instances()
    }

    /// Path of the health check of a service's targets; `None` if it is not configured.
    pub(crate) fn health_path(&self, service: &ServiceName) -> Option<Arc<str>> {
        let services = &self.replica.configuration()?.services;
        Some(services.get(service)?.health_path.clone())
    }

    /// Targets that this instance probes, with their address and health check path.
    pub(crate) fn targets_to_probe(&self, now: Time) -> Vec<(TargetId, SocketAddr, Arc<str>)> {
        let Some(configuration) = self.replica.configuration() else {
            return Vec::new();
        };
        let own_zone = &self.settings.zone;
        let live_zones = self.members.live_zones(now);
        // Instances in a target's zone come first, so most targets need no comparison.
        let may_probe = |zone: &ZoneName| zone == own_zone || !live_zones.contains(zone);
        self.targets
            .views()
            .filter(|view| {
                !view.is_leaving()
                    && may_probe(&view.target.zone)
                    && self
                        .members
                        .is_prober(now, &self.settings.zone, &view.target)
            })
            .filter_map(|view| {
                let rules = configuration.services.get(&view.target.service)?;
                Some((
                    view.target.id.clone(),
                    view.target.address,
                    rules.health_path.clone(),
                ))
            })
            .collect()
    }

    /// Records the result of an own probe, for this instance and its peers.
    pub(crate) fn record_probe(&mut self, now: Time, report: TargetReport) {
        self.targets.apply_report(now, &report);
        self.record_crash_if_unreachable(now, &report);
        let known = self.reports.get(&report.target);
        let sent_in = known.map_or(0, |known| known.sent_in);
        let own = OwnReport {
            report,
            at: now,
            sent_in,
        };
        self.reports.insert(report.target, own);
    }

    /// Whether a health check may be sent to a target's run now; records it if so.
    pub(crate) fn try_check(&mut self, now: Time, run: u64) -> bool {
        let view = self.targets.run_mut(run);
        view.is_some_and(|view| view.limit.try_check(now))
    }

    /// Records the limit that a response of a target's run named at `at`, or that it named
    /// none.
    pub(crate) fn record_limit(&mut self, now: Time, at: Time, run: u64, per_second: Option<f64>) {
        let Some(view) = self.targets.run_mut(run) else {
            return;
        };
        if view.limit.record_named(at, per_second) {
            tracing::info!(
                target_id = %view.target.id,
                per_second,
                age_ms = u64::try_from(now.since(at).as_millis()).unwrap_or(u64::MAX),
                sent = view.limit.sent(now),
                "limit of a target changed"
            );
        }
    }

    /// Records the crash of an unreachable target against the requests whose
    /// connections to it broke.
    fn record_crash_if_unreachable(&mut self, now: Time, report: &TargetReport) {
        if report.health != Health::Unreachable {
            return;
        }
        let Some(address) = self.targets.address_by_key(report.target) else {
            return;
        };
        let broken_calls = self.quarantine.broken_calls(address);
        let id = CrashId::of_run(report.target);
        let cases = self.quarantine.record_crash(now, address, Some(id));
        if broken_calls > 0 {
            tracing::warn!(
                target_address = %address,
                broken_calls,
                attributed = cases.len(),
                "target crashed while it had requests"
            );
        }
        for case in cases {
            tracing::warn!(
                fingerprint = %case.fingerprint,
                deaths = case.deaths,
                target_address = %address,
                "request was in flight when its target crashed"
            );
        }
    }

    /// The next heartbeat and the peers to send it to. With `all`, these are all live
    /// peers; see [`Members::due_heartbeats`].
    pub(crate) fn next_heartbeat(&mut self, now: Time, all: bool) -> DueHeartbeat {
        self.reports
            .retain(|_, own| now.since(own.at) < OWN_REPORT_AGE);
        self.sent_same_zone
            .retain(|target, _| self.reports.contains_key(target));
        self.sent_other_zones
            .retain(|target, _| self.reports.contains_key(target));
        let updates = PendingUpdates {
            same_zone: self.has_unsent_changes(&self.sent_same_zone),
            other_zones: self.has_unsent_changes(&self.sent_other_zones),
            all,
        };
        let zone = self.settings.zone.clone();
        let (same_zone, other_zones) = self.members.due_heartbeats(now, &zone, updates);
        self.heartbeats_sent += 1;
        let targets = self.reports_to_send();
        let mut reports = Vec::with_capacity(targets.len());
        for target in targets {
            let Some(own) = self.reports.get_mut(&target) else {
                continue;
            };
            own.sent_in = self.heartbeats_sent;
            if !same_zone.is_empty() {
                self.sent_same_zone.insert(target, own.report);
            }
            if !other_zones.is_empty() {
                self.sent_other_zones.insert(target, own.report);
            }
            reports.push(TargetReport {
                age_ms: u16::try_from(now.since(own.at).as_millis()).unwrap_or(u16::MAX),
                ..own.report
            });
        }
        let reaches_all = !other_zones.is_empty() || !self.members.has_other_zones(&zone);
        let (cases, evidence) = self.quarantine.next_report(now, MAX_CASES, reaches_all);
        let heartbeat = Heartbeat {
            zone,
            status: self.status.clone(),
            reports,
            member: self.member_to_share(now),
            cases,
            evidence,
            limits: self.limits_to_send(now),
        };
        DueHeartbeat {
            relayed: self.members.statuses_to_relay(now, &heartbeat.zone),
            heartbeat,
            same_zone,
            other_zones,
        }
    }

    /// The targets whose reports the next heartbeat contains: first those that changed,
    /// then those that were sent longest ago, so that none is left out for long.
    fn reports_to_send(&self) -> Vec<u64> {
        let is_unchanged = |own: &OwnReport| {
            let is_known = |sent: Option<&TargetReport>| {
                sent.is_some_and(|sent| !own.report.is_significant_change(sent))
            };
            let target = &own.report.target;
            is_known(self.sent_same_zone.get(target)) && is_known(self.sent_other_zones.get(target))
        };
        let mut order: Vec<&OwnReport> = self.reports.values().collect();
        if order.len() > MAX_REPORTS {
            order.sort_by_key(|own| (is_unchanged(own), own.sent_in));
        }
        let targets = order.into_iter().map(|own| own.report.target);
        targets.take(MAX_REPORTS).collect()
    }

    /// Whether the current reports differ significantly from those last sent.
    fn has_unsent_changes(&self, sent: &IndexMap<u64, TargetReport>) -> bool {
        let mut reports = self.reports.values();
        reports.any(|own| {
            sent.get(&own.report.target)
                .is_none_or(|sent| own.report.is_significant_change(sent))
        })
    }

    /// The limits of targets for the next heartbeat, in turn.
    fn limits_to_send(&self, now: Time) -> Vec<NamedLimit> {
        let limits = self.targets.named_limits(now);
        let first = (self.heartbeats_sent * MAX_LIMITS)
            .checked_rem(limits.len())
            .unwrap_or_default();
        let count = MAX_LIMITS.min(limits.len());
        limits.into_iter().cycle().skip(first).take(count).collect()
    }

    /// One of the live peers in turn, in every [`MEMBER_EVERY`]th heartbeat.
    fn member_to_share(&self, now: Time) -> Option<(SocketAddr, ZoneName)> {
        if !self.heartbeats_sent.is_multiple_of(MEMBER_EVERY) {
            return None;
        }
        let live: Vec<_> = self.members.live(now).collect();
        let index = (self.heartbeats_sent / MEMBER_EVERY).checked_rem(live.len())?;
        let (address, member) = live.get(index)?;
        Some((*address, member.zone.clone()))
    }

    /// Applies a peer's heartbeat.
    pub(crate) fn receive_heartbeat(&mut self, now: Time, from: SocketAddr, heartbeat: &Heartbeat) {
        if self.members.record_heartbeat(now, from, heartbeat) {
            tracing::info!(peer = %from, zone = %heartbeat.zone, "peer is live");
        }
        if let Some((address, zone)) = &heartbeat.member {
            self.members.add(now, *address, zone);
        }
        for report in &heartbeat.reports {
            self.targets.apply_report(now, report);
            self.record_crash_if_unreachable(now, report);
        }
        for limit in &heartbeat.limits {
            let at = now.before(Duration::from_millis(limit.age_ms.into()));
            self.record_limit(now, at, limit.target, limit.per_second);
        }
        for evidence in &heartbeat.evidence {
            let before = self.quarantine.crashes(evidence.fingerprint);
            if self.quarantine.merge_evidence(now, evidence) {
                tracing::info!(
                    fingerprint = %evidence.fingerprint,
                    peer = %from,
                    before,
                    deaths = self.quarantine.crashes(evidence.fingerprint),
                    "crashes reported by a peer"
                );
            }
        }
        for case in &heartbeat.cases {
            self.quarantine.merge(now, case);
        }
    }

    /// Applies statuses that a peer in the same zone relays.
    pub(crate) fn receive_relayed(&mut self, now: Time, relayed: &[RelayedStatus]) {
        for status in relayed {
            self.members.record_relayed(now, status);
        }
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
        });
        let peers = self.members.live(now).filter_map(|(_, member)| {
            let ready = member.status.ready && !member.status.leaving;
            Some(DirectoryEntry {
                callers: member.status.callers.filter(|_| ready)?,
                zone: member.zone.clone(),
            })
        });
        let entries: Vec<DirectoryEntry> = own.into_iter().chain(peers).collect();
        directory::addresses(&entries, zone)
    }
}

fn log_change(change: &Applied, revision: u64, source: &str, lapsed: bool) {
    match change {
        Applied::Configuration(configuration) => tracing::info!(
            version = configuration.version,
            routes = configuration.routes.len(),
            unknown_kinds = ?configuration.unknown_kinds,
            revision,
            source,
            "configuration in force"
        ),
        Applied::Put(key, record) => {
            tracing::info!(
                key = &**key,
                state = describe(record),
                revision,
                source,
                "record"
            );
        }
        Applied::Removed(key, _) => {
            tracing::info!(key = &**key, revision, source, lapsed, "record removed");
        }
    }
}

fn describe(record: &Record) -> &'static str {
    match record {
        Record::Configuration(_) => "configuration",
        Record::Target(target) if target.leaving => "leaving",
        Record::Target(target) if !target.cold_for.is_zero() => "cold",
        Record::Target(_) => "ready",
        Record::Evacuation(_) => "evacuated",
        Record::Instance(_) => "registered",
    }
}
