//! The shared tables of an entry instance, and the decisions over them.
//!
//! One lock guards all of it; it is never held over I/O, and no other lock is taken
//! while it is held.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use indexmap::{IndexMap, IndexSet};
use rand::Rng;

use super::directory::{self, Entry};
use super::fleet::Fleet;
use super::members::{Members, News, Standing};
use super::message::{Beat, Finding, Health, MAX_CASES, MAX_REPORTS};
use super::model::{CallerBounds, Record, Route};
use super::replica::{Applied, Delta, Replica};
use super::routes::{Dealer, RouteTable};
use super::settings::{EntrySettings, Tuning};
use super::typical::Typical;
use super::waiting::Line;
use super::watchers::{StoreAccess, should_watch, watching};
use super::window::{RepeatBudget, RepeatRule, slack_part};
use crate::dispatch::quarantine::{Quarantine, QuarantineSettings};
use crate::names::{ServiceName, TargetId, ZoneName};
use crate::units::Time;

/// Part of the repeat ratio that is used; the rest allows for callers that move to
/// another instance within a window and so count at both.
const REPEAT_PART: f64 = 0.85;
/// Deaths of targets after which a request is held back. A request may be beside
/// another's crash twice by chance, three times hardly.
const CRASH_DEATHS: u32 = 3;
/// Time without any watching instance that counts as an outage of the store.
const OUTAGE_AFTER: Duration = Duration::from_millis(800);
/// Time after an outage in which removals may be lapses.
const OUTAGE_ECHO: Duration = Duration::from_secs(3);

/// Beats of which one names a peer; a newcomer is named to all within some seconds.
const NAME_EVERY: usize = 4;
/// Age up to which an own finding is told.
const FINDING_AGE: Duration = Duration::from_millis(500);

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
    pub fleet: Fleet,
    /// The other instances.
    pub members: Members,
    /// Requests that crash targets.
    pub quarantine: Quarantine,
    /// Usual times of routes.
    pub typical: Typical,
    /// What it says of itself.
    pub standing: Standing,
    /// Findings of its own probes, newest last.
    findings: IndexMap<u64, (Time, Finding)>,
    /// What peers in the own zone were told of them.
    told_near: IndexMap<u64, Finding>,
    /// What peers in other zones were told of them.
    told_far: IndexMap<u64, Finding>,
    /// When other zones' figures were last asked for.
    pub asked_at: Time,
    /// The zones that were asked then.
    pub asked_zones: IndexSet<ZoneName>,
    beats: usize,
    budgets: IndexMap<ServiceName, RepeatBudget>,
    dealers: IndexMap<Arc<str>, Dealer>,
    /// Requests that wait for room, by service.
    pub waiting: IndexMap<ServiceName, Line>,
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
        let mut members = Members::new(settings.peers, tuning.peer_silence, tuning.peer_forget);
        for seed in &settings.seeds {
            let address = SocketAddr::new(*seed, settings.peers.port());
            members.introduce(now, address, &settings.zone);
        }
        let quarantine = Quarantine::new(QuarantineSettings {
            crashes_to_block: CRASH_DEATHS,
            ..QuarantineSettings::default()
        });
        Self {
            standing: Standing {
                callers: Some(settings.callers),
                ..Standing::default()
            },
            first_start: settings.first_start,
            settings: Arc::new(settings),
            tuning,
            replica: Replica::default(),
            routes: RouteTable::default(),
            fleet: Fleet::default(),
            members,
            quarantine,
            typical: Typical::default(),
            findings: IndexMap::new(),
            told_near: IndexMap::new(),
            told_far: IndexMap::new(),
            asked_at: Time::ZERO,
            asked_zones: IndexSet::new(),
            beats: 0,
            budgets: IndexMap::new(),
            dealers: IndexMap::new(),
            waiting: IndexMap::new(),
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
        let lapsed_services = self.fleet.lapsed_services(&applied);
        for change in &applied {
            let lapsed = match change {
                Applied::Removed(_, Record::Target(target)) => {
                    after_outage || lapsed_services.contains(&target.service)
                }
                _ => false,
            };
            log_change(change, self.replica.revision(), source, lapsed);
            self.apply_one(now, change, lapsed);
        }
        self.standing.revision = self.replica.content();
        !applied.is_empty()
    }

    fn apply_one(&mut self, now: Time, change: &Applied, lapsed: bool) {
        match change {
            Applied::Configuration(configuration) => {
                self.routes = RouteTable::new(configuration);
                self.standing.version = configuration.version;
                self.standing.ready |= !self.standing.leaving;
            }
            Applied::Put(key, record) => match record {
                Record::Target(target) => self.fleet.put(now, target.clone()),
                Record::Evacuation(zone) => self.fleet.evacuate(zone.clone(), true),
                Record::Instance(instance) => {
                    self.registered.insert(key.clone(), instance.address);
                    self.members
                        .introduce(now, instance.address, &instance.zone);
                }
                Record::Configuration(_) => {}
            },
            Applied::Removed(key, record) => match record {
                Record::Target(target) => self.fleet.remove(now, &target.id, lapsed),
                Record::Evacuation(zone) => self.fleet.evacuate(zone.clone(), false),
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
        self.standing.store == StoreAccess::Watching
    }

    /// Whether this instance is to watch the store, when too few have for `waited`.
    pub(crate) fn should_watch(&self, now: Time, waited: Duration) -> bool {
        let own = self.members.own_watcher(self.standing.store);
        let others = self.members.watchers(now);
        should_watch(own, &others, self.tuning.watchers, waited)
    }

    /// Whether as many others watch the store as are wanted.
    pub(crate) fn others_watch(&self, now: Time) -> bool {
        watching(&self.members.watchers(now)) >= self.tuning.watchers
    }

    /// Notes whether anyone watches the store, to tell lapses from departures.
    pub(crate) fn note_watching(&mut self, now: Time) {
        let watched = self.watches() || self.members.anyone_watches(now);
        if !watched && now.since(self.watched_at) > OUTAGE_AFTER {
            self.outage_until = now.after(OUTAGE_ECHO);
        }
        if watched {
            self.watched_at = now;
        }
    }

    /// The service that takes a route's next request.
    pub(crate) fn deal(&mut self, route: &Route) -> Option<ServiceName> {
        let dealer = self
            .dealers
            .entry(route.name.clone())
            .or_insert_with(|| Dealer::new(rand::rng().random()));
        Some(dealer.next(&route.parts)?.service.clone())
    }

    /// Notes a caller's request to a service.
    pub(crate) fn note_request(&mut self, now: Time, service: &ServiceName) {
        self.budgets
            .entry(service.clone())
            .or_default()
            .request(now);
    }

    /// Takes a repeat from the budget of a service.
    pub(crate) fn take_repeat(&mut self, now: Time, service: &ServiceName) -> bool {
        let rule = self.repeat_rule(now);
        let budget = self.budgets.entry(service.clone()).or_default();
        budget.take(now, rule)
    }

    fn repeat_rule(&self, now: Time) -> RepeatRule {
        let settings = &self.settings;
        let window = settings.repeat_window;
        let age = now.since(self.started);
        let instances = self.instances();
        RepeatRule {
            ratio: settings.repeat_ratio * REPEAT_PART,
            window,
            slack: slack_part(
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
        self.fleet
            .get(id)
            .and_then(|view| view.candidate(now, &self.settings.zone).slowness_percent)
            .map_or(1.0, |percent| percent / 100.0)
    }

    /// Notes that a request to a target ended or was never sent.
    pub(crate) fn cancel(&mut self, id: &TargetId) {
        if let Some(view) = self.fleet.get_mut(id) {
            view.in_flight = view.in_flight.saturating_sub(1);
        }
    }

    /// This instance's even part of the slots of a service.
    pub(crate) fn own_slots(&mut self, service: &ServiceName) -> f64 {
        let (views, _) = self.fleet.of_service(service);
        let slots: f64 = views.map(|view| f64::from(view.target.slots)).sum();
        slots / self.instances()
    }

    /// Targets that this instance probes, with the path and when they were last probed.
    pub(crate) fn own_targets(&self, now: Time) -> Vec<(TargetId, SocketAddr, Arc<str>)> {
        let Some(configuration) = self.replica.configuration() else {
            return Vec::new();
        };
        self.fleet
            .views()
            .filter(|view| {
                !view.is_leaving() && self.members.is_home(now, &self.settings.zone, &view.target)
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
    pub(crate) fn note_probe(&mut self, now: Time, finding: Finding) {
        self.fleet.note_finding(now, &finding);
        self.note_if_dead(now, &finding);
        self.findings.insert(finding.target, (now, finding));
    }

    /// Charges the death of a target that can't be reached to the requests that broke
    /// off there.
    fn note_if_dead(&mut self, now: Time, finding: &Finding) {
        if finding.health != Health::Unreachable {
            return;
        }
        let Some(address) = self.fleet.address_of(finding.target) else {
            return;
        };
        for case in self.quarantine.record_crash(now, address) {
            tracing::warn!(
                request = %case.fingerprint,
                deaths = case.deaths,
                target_address = %address,
                "a request was at a target's death"
            );
        }
    }

    /// The next beat, and the peers that get it. In `all`, every live peer gets it.
    pub(crate) fn beat(&mut self, now: Time, all: bool) -> (Beat, Vec<SocketAddr>) {
        self.findings
            .retain(|_, (at, _)| now.since(*at) < FINDING_AGE);
        let news = News {
            near: all || self.has_news(&self.told_near),
            far: all || self.has_news(&self.told_far),
        };
        let zone = self.settings.zone.clone();
        let (near, far) = self.members.beat_targets(now, &zone, news);
        let told = || self.findings.values().map(|(_, told)| (told.target, *told));
        if !near.is_empty() {
            self.told_near = told().collect();
        }
        if !far.is_empty() {
            self.told_far = told().collect();
        }
        let findings = self
            .findings
            .values()
            .rev()
            .take(MAX_REPORTS)
            .map(|(at, finding)| Finding {
                age_ms: u16::try_from(now.since(*at).as_millis()).unwrap_or(u16::MAX),
                ..*finding
            })
            .collect();
        self.beats += 1;
        let beat = Beat {
            zone,
            standing: self.standing.clone(),
            findings,
            member: self.name_member(now),
            cases: self.quarantine.cases(now).take(MAX_CASES).collect(),
        };
        (beat, [near, far].concat())
    }

    /// Whether peers that were told `told` should learn of the present findings.
    fn has_news(&self, told: &IndexMap<u64, Finding>) -> bool {
        let mut findings = self.findings.values();
        findings.any(|(_, finding)| {
            told.get(&finding.target)
                .is_none_or(|told| finding.is_news(told))
        })
    }

    /// Every few beats, one of the live peers, each in turn.
    fn name_member(&self, now: Time) -> Option<(SocketAddr, ZoneName)> {
        if !self.beats.is_multiple_of(NAME_EVERY) {
            return None;
        }
        let live: Vec<_> = self.members.live(now).collect();
        let index = (self.beats / NAME_EVERY).checked_rem(live.len())?;
        let (address, member) = live.get(index)?;
        Some((*address, member.zone.clone()))
    }

    /// Takes in a peer's beat.
    pub(crate) fn heard(&mut self, now: Time, from: SocketAddr, beat: &Beat) {
        if self.members.heard(now, from, beat) {
            tracing::info!(peer = %from, zone = %beat.zone, "peer is live");
        }
        if let Some((address, zone)) = &beat.member {
            self.members.introduce(now, *address, zone);
        }
        for finding in &beat.findings {
            self.fleet.note_finding(now, finding);
            self.note_if_dead(now, finding);
        }
        for case in &beat.cases {
            self.quarantine.merge(now, case);
        }
    }

    /// Forgets what is no longer of use; returns the targets that are gone.
    pub(crate) fn forget(&mut self, now: Time) -> Vec<TargetId> {
        let registered = &self.registered;
        self.members.forget_silent(now, |address| {
            registered.values().any(|known| known == address)
        });
        self.quarantine.remove_expired(now);
        self.fleet.forget_gone(now)
    }

    /// The addresses for a caller in `zone`.
    pub(crate) fn addresses(&self, now: Time, zone: Option<&str>) -> Vec<SocketAddr> {
        let own = self.standing.ready.then(|| Entry {
            callers: self.settings.callers,
            zone: self.settings.zone.clone(),
        });
        let peers = self.members.live(now).filter_map(|(_, member)| {
            let ready = member.last.ready && !member.last.leaving;
            Some(Entry {
                callers: member.last.callers.filter(|_| ready)?,
                zone: member.zone.clone(),
            })
        });
        let entries: Vec<Entry> = own.into_iter().chain(peers).collect();
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
