//! The shared tables of an entry instance, and the decisions over them.
//!
//! One lock guards all of it; it is never held over I/O, and no other lock is taken
//! while it is held.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use indexmap::{IndexMap, IndexSet};
use rand::Rng;

use super::directory::{self, DirectoryEntry};
use super::members::{InstanceStatus, Members, PendingUpdates};
use super::message::{Health, Heartbeat, MAX_CASES, MAX_REPORTS, TargetReport};
use super::model::{CallerBounds, Record, Route};
use super::replica::{Applied, Delta, Replica};
use super::routes::{RouteTable, WeightedSplitter};
use super::service_time::ServiceTimes;
use super::settings::{EntrySettings, Tuning};
use super::targets::TargetTable;
use super::wait_queue::WaitQueue;
use super::watchers::{StoreAccess, should_watch, watching};
use super::window::{RetryBudget, RetryBudgetRule, slack_share};
use crate::dispatch::quarantine::{Quarantine, QuarantineSettings};
use crate::names::{ServiceName, TargetId, ZoneName};
use crate::units::Time;

/// Part of the repeat ratio that is used; the rest allows for callers that move to
/// another instance within a window and so count at both.
const RETRY_RATIO_FRACTION: f64 = 0.85;
/// Deaths of targets after which a request is held back. A request may be beside
/// another's crash twice by chance, three times hardly.
const CRASHES_TO_BLOCK: u32 = 3;
/// Time without any watching instance that counts as an outage of the store.
const OUTAGE_AFTER: Duration = Duration::from_millis(800);
/// Time after an outage in which removals may be lapses.
const OUTAGE_RECOVERY: Duration = Duration::from_secs(3);

/// Beats of which one names a peer; a newcomer is named to all within some seconds.
const MEMBER_EVERY: usize = 4;
/// Age up to which an own finding is told.
const OWN_REPORT_AGE: Duration = Duration::from_millis(500);

/// Everything that the instance believes.
#[derive(Debug)]
pub(crate) struct State {
    /// Its settings.
    pub settings: Arc<EntrySettings>,
    /// Its tuning.
    pub tuning: Tuning,
    /// Its copy of the store.
    pub replica: Replica,
    /// The routes in force.
    pub routes: RouteTable,
    /// The targets.
    pub targets: TargetTable,
    /// The other instances.
    pub members: Members,
    /// Requests that crash targets.
    pub quarantine: Quarantine,
    /// Usual times of routes.
    pub service_times: ServiceTimes,
    /// What it says of itself.
    pub status: InstanceStatus,
    /// Findings of its own probes, newest last.
    reports: IndexMap<u64, (Time, TargetReport)>,
    /// What peers in the own zone were told of them.
    sent_same_zone: IndexMap<u64, TargetReport>,
    /// What peers in other zones were told of them.
    sent_other_zones: IndexMap<u64, TargetReport>,
    /// When other zones' figures were last asked for.
    pub last_digest_request: Time,
    /// The zones that were asked then.
    pub digest_zones: IndexSet<ZoneName>,
    heartbeats_sent: usize,
    budgets: IndexMap<ServiceName, RetryBudget>,
    splitters: IndexMap<Arc<str>, WeightedSplitter>,
    /// Requests that wait for room, by service.
    pub wait_queues: IndexMap<ServiceName, WaitQueue>,
    registered: IndexMap<Arc<str>, SocketAddr>,
    /// When the process started.
    pub started: Time,
    /// Whether the whole system started with it.
    first_start: bool,
    watched_at: Time,
    outage_until: Time,
}

impl State {
    pub(crate) fn new(settings: EntrySettings, tuning: Tuning, now: Time) -> Self {
        let mut members = Members::new(
            settings.peers,
            tuning.peer_silence_timeout,
            tuning.peer_forget_after,
        );
        for seed in &settings.seeds {
            let address = SocketAddr::new(*seed, settings.peers.port());
            members.add(now, address, &settings.zone);
        }
        let quarantine = Quarantine::new(QuarantineSettings {
            deaths: CRASHES_TO_BLOCK,
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
            started: now,
            watched_at: now,
            outage_until: Time::ZERO,
        }
    }

    /// Bounds on callers in force.
    pub(crate) fn bounds(&self) -> CallerBounds {
        self.replica
            .configuration()
            .map_or_else(CallerBounds::default, |configuration| configuration.bounds)
    }

    /// Takes in changes of the store; returns whether anything changed.
    pub(crate) fn apply(&mut self, now: Time, delta: Delta, source: &str) -> bool {
        let applied = self.replica.apply(delta);
        let after_outage = now < self.outage_until;
        let lapsed_services = self.targets.lapsed_services(&applied);
        for change in &applied {
            let lapsed = match change {
                Applied::Removed(_, Record::Target(target)) => {
                    after_outage || lapsed_services.contains(&target.service)
                }
                _ => false,
            };
            log_change(change, self.replica.revision(), source, lapsed);
            self.apply_change(now, change, lapsed);
        }
        self.status.revision = self.replica.content_revision();
        !applied.is_empty()
    }

    fn apply_change(&mut self, now: Time, change: &Applied, lapsed: bool) {
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
                Record::Evacuation(zone) => self.targets.set_evacuated(zone.clone(), false),
                Record::Instance(_) => {
                    self.registered.swap_remove(key);
                }
                Record::Configuration(_) => {}
            },
        }
    }

    /// The registered instances by their keys.
    pub(crate) fn registered(&self) -> impl Iterator<Item = (&Arc<str>, SocketAddr)> {
        self.registered.iter().map(|(key, address)| (key, *address))
    }

    /// Whether this instance's own watch of the store is up to date.
    pub(crate) fn watches(&self) -> bool {
        self.status.store == StoreAccess::Watching
    }

    /// Whether this instance is to watch the store, when too few have for `waited`.
    pub(crate) fn should_watch(&self, now: Time, waited: Duration) -> bool {
        let own = self.members.own_watcher(self.status.store);
        let others = self.members.watchers(now);
        should_watch(own, &others, self.tuning.store_watchers, waited)
    }

    /// Whether as many others watch the store as are wanted.
    pub(crate) fn others_watch(&self, now: Time) -> bool {
        watching(&self.members.watchers(now)) >= self.tuning.store_watchers
    }

    /// Notes whether anyone watches the store, to tell lapses from departures.
    pub(crate) fn update_outage(&mut self, now: Time) {
        let watched = self.watches() || self.members.is_store_watched(now);
        if !watched && now.since(self.watched_at) > OUTAGE_AFTER {
            self.outage_until = now.after(OUTAGE_RECOVERY);
        }
        if watched {
            self.watched_at = now;
        }
    }

    /// The service that takes a route's next request.
    pub(crate) fn next_service(&mut self, route: &Route) -> Option<ServiceName> {
        let splitter = self
            .splitters
            .entry(route.name.clone())
            .or_insert_with(|| WeightedSplitter::new(rand::rng().random()));
        Some(splitter.next(&route.parts)?.service.clone())
    }

    /// Notes a caller's request to a service.
    pub(crate) fn record_request(&mut self, now: Time, service: &ServiceName) {
        self.budgets
            .entry(service.clone())
            .or_default()
            .record_request(now);
    }

    /// Takes a repeat from the budget of a service.
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
    /// Instances that are known, this one included.
    pub(crate) fn instances(&self) -> f64 {
        (self.members.known().count() + 1) as f64
    }

    /// How many times as long work takes at a target, as far as is known.
    pub(crate) fn slowness(&self, now: Time, id: &TargetId) -> f64 {
        self.targets
            .get(id)
            .and_then(|view| view.candidate(now, &self.settings.zone).slowness_percent)
            .map_or(1.0, |percent| percent / 100.0)
    }

    /// Notes that a request to a target ended or was never sent.
    pub(crate) fn release(&mut self, id: &TargetId) {
        if let Some(view) = self.targets.get_mut(id) {
            view.in_flight = view.in_flight.saturating_sub(1);
        }
    }

    /// This instance's even part of the slots of a service.
    pub(crate) fn slot_share(&mut self, service: &ServiceName) -> f64 {
        let (views, _) = self.targets.service_targets(service);
        let slots: f64 = views.map(|view| f64::from(view.target.slots)).sum();
        slots / self.instances()
    }

    /// Targets that this instance probes, with the path and when they were last probed.
    pub(crate) fn targets_to_probe(&self, now: Time) -> Vec<(TargetId, SocketAddr, Arc<str>)> {
        let Some(configuration) = self.replica.configuration() else {
            return Vec::new();
        };
        self.targets
            .views()
            .filter(|view| {
                !view.is_leaving()
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

    /// Notes what a probe of this instance found, for itself and its peers.
    pub(crate) fn record_probe(&mut self, now: Time, finding: TargetReport) {
        self.targets.apply_report(now, &finding);
        self.record_crash_if_unreachable(now, &finding);
        self.reports.insert(finding.target, (now, finding));
    }

    /// Charges the death of a target that can't be reached to the requests that broke
    /// off there.
    fn record_crash_if_unreachable(&mut self, now: Time, finding: &TargetReport) {
        if finding.health != Health::Unreachable {
            return;
        }
        let Some(address) = self.targets.address_by_key(finding.target) else {
            return;
        };
        for case in self.quarantine.died(now, address) {
            tracing::warn!(
                request = %case.fingerprint,
                deaths = case.deaths,
                target_address = %address,
                "a request was at a target's death"
            );
        }
    }

    /// The next beat, and the peers that get it. In `all`, every live peer gets it.
    pub(crate) fn next_heartbeat(&mut self, now: Time, all: bool) -> (Heartbeat, Vec<SocketAddr>) {
        self.reports
            .retain(|_, (at, _)| now.since(*at) < OWN_REPORT_AGE);
        let news = PendingUpdates {
            same_zone: all || self.has_unsent_changes(&self.sent_same_zone),
            other_zones: all || self.has_unsent_changes(&self.sent_other_zones),
        };
        let zone = self.settings.zone.clone();
        let (same_zone, other_zones) = self.members.due_heartbeats(now, &zone, news);
        let sent = || self.reports.values().map(|(_, sent)| (sent.target, *sent));
        if !same_zone.is_empty() {
            self.sent_same_zone = sent().collect();
        }
        if !other_zones.is_empty() {
            self.sent_other_zones = sent().collect();
        }
        let reports = self
            .reports
            .values()
            .rev()
            .take(MAX_REPORTS)
            .map(|(at, finding)| TargetReport {
                age_ms: u16::try_from(now.since(*at).as_millis()).unwrap_or(u16::MAX),
                ..*finding
            })
            .collect();
        self.heartbeats_sent += 1;
        let heartbeat = Heartbeat {
            zone,
            status: self.status.clone(),
            reports,
            member: self.member_to_share(now),
            cases: self.quarantine.cases(now).take(MAX_CASES).collect(),
        };
        (heartbeat, [same_zone, other_zones].concat())
    }

    /// Whether peers that were told `told` should learn of the present findings.
    fn has_unsent_changes(&self, sent: &IndexMap<u64, TargetReport>) -> bool {
        let mut reports = self.reports.values();
        reports.any(|(_, finding)| {
            sent.get(&finding.target)
                .is_none_or(|sent| finding.is_significant_change(sent))
        })
    }

    /// Every few beats, one of the live peers, each in turn.
    fn member_to_share(&self, now: Time) -> Option<(SocketAddr, ZoneName)> {
        if !self.heartbeats_sent.is_multiple_of(MEMBER_EVERY) {
            return None;
        }
        let live: Vec<_> = self.members.live(now).collect();
        let index = (self.heartbeats_sent / MEMBER_EVERY).checked_rem(live.len())?;
        let (address, member) = live.get(index)?;
        Some((*address, member.zone.clone()))
    }

    /// Takes in a peer's beat.
    pub(crate) fn receive_heartbeat(&mut self, now: Time, from: SocketAddr, heartbeat: &Heartbeat) {
        if self.members.record_heartbeat(now, from, heartbeat) {
            tracing::info!(peer = %from, zone = %heartbeat.zone, "peer is live");
        }
        if let Some((address, zone)) = &heartbeat.member {
            self.members.add(now, *address, zone);
        }
        for finding in &heartbeat.reports {
            self.targets.apply_report(now, finding);
            self.record_crash_if_unreachable(now, finding);
        }
        for case in &heartbeat.cases {
            self.quarantine.merge(now, case);
        }
    }

    /// Forgets what is no longer of use; returns the targets that are gone.
    pub(crate) fn remove_expired(&mut self, now: Time) -> Vec<TargetId> {
        let registered = &self.registered;
        self.members.remove_silent(now, |address| {
            registered.values().any(|known| known == address)
        });
        self.quarantine.forget(now);
        self.targets.remove_gone(now)
    }

    /// The addresses for a caller in `zone`.
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
