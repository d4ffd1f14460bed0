//! The shared tables of an entry instance, and the decisions over them.
//!
//! One lock guards all of it; it is never held over I/O, and no other lock is taken
//! while it is held.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use indexmap::IndexMap;
use rand::Rng;

use super::directory::{self, Entry};
use super::fleet::{Fleet, Unusable, View};
use super::members::{Members, Standing};
use super::message::{Beat, Finding, Health, MAX_CASES, MAX_REPORTS};
use super::model::{CallerBounds, Record, Route};
use super::placement::{self, Candidate, Need};
use super::replica::{Applied, Delta, Replica};
use super::routes::{Dealer, RouteTable};
use super::settings::{EntrySettings, Tuning};
use super::typical::Typical;
use super::waiting::Line;
use super::window::{RepeatBudget, RepeatRule, cold_allowance};
use crate::dispatch::quarantine::{Quarantine, QuarantineSettings};
use crate::names::{ServiceName, TargetId, ZoneName};
use crate::units::Time;

/// Times that an instance may use its part of the slack within a window: once, and
/// once more after it was started again and has forgotten the first.
const SLACK_TIMES: f64 = 2.0;
/// Part of the repeat ratio that is used; the rest allows for callers that move to
/// another instance within a window and so count at both.
const REPEAT_PART: f64 = 0.85;
/// Part of a target's connections that all instances together use.
const CONNECTION_PART: f64 = 0.8;
/// Connections to a target that an instance has at least.
const MIN_CONNECTIONS: usize = 2;
/// Deaths of targets after which a request is held back. A request may be beside
/// another's crash twice by chance, three times hardly.
const CRASH_DEATHS: u32 = 3;
/// Time after a start in which other instances are not known yet; nothing is sent to
/// cold targets then.
const LEARN_MEMBERS: Duration = Duration::from_millis(1200);
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
    /// What peers in other zones were told of them.
    told_far: IndexMap<u64, Finding>,
    beats: usize,
    budgets: IndexMap<ServiceName, RepeatBudget>,
    dealers: IndexMap<Arc<str>, Dealer>,
    /// Requests that wait for room, by service.
    pub waiting: IndexMap<ServiceName, Line>,
    registered: IndexMap<Arc<str>, SocketAddr>,
    started: Time,
    watched_at: Time,
    outage_until: Time,
}

/// A target that was chosen, with what the choice rested on.
#[derive(Debug, Clone)]
pub(crate) struct Choice {
    /// The target.
    pub id: TargetId,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its view at the time.
    pub candidate: Candidate,
    /// Age of its report.
    pub report_age: Option<Duration>,
}

/// The targets of a service by what keeps them from taking a request.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(crate) struct Census {
    with_room: usize,
    full: usize,
    cold: usize,
    down: usize,
    evacuated: usize,
    leaving: usize,
}

/// The targets of a service as one request finds them.
#[derive(Debug, Default)]
struct Survey {
    /// Those that may take it.
    ids: Vec<TargetId>,
    /// Their views, in the same order.
    candidates: Vec<Candidate>,
    /// Those that seem to be down.
    down: Vec<TargetId>,
    /// Whether any has no room for now.
    full: bool,
    /// Whether any was tried already.
    tried: bool,
}

/// Why no target was chosen.
#[derive(Debug, Clone, Copy, PartialEq, Eq, derive_more::Display)]
pub(crate) enum NoTarget {
    /// The service has no target that may be used at all.
    #[display("no usable target")]
    None,
    /// Every usable target is full, cold or out of connections.
    #[display("every target is full")]
    Full,
    /// Every target left was tried already.
    #[display("every target was tried")]
    Tried,
}

impl State {
    pub(crate) fn new(settings: EntrySettings, tuning: Tuning, now: Time) -> Self {
        let mut members = Members::new(settings.peers, tuning.peer_silence, tuning.peer_forget);
        for seed in &settings.seeds {
            let address = SocketAddr::new(*seed, settings.peers.port());
            members.introduce(now, address, &settings.zone);
        }
        let quarantine = Quarantine::new(QuarantineSettings {
            deaths: CRASH_DEATHS,
            ..QuarantineSettings::default()
        });
        Self {
            standing: Standing {
                callers: Some(settings.callers),
                ..Standing::default()
            },
            settings: Arc::new(settings),
            tuning,
            replica: Replica::default(),
            routes: RouteTable::default(),
            fleet: Fleet::default(),
            members,
            quarantine,
            typical: Typical::default(),
            findings: IndexMap::new(),
            told_far: IndexMap::new(),
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

    /// Notes whether anyone watches the store, to tell lapses from departures.
    pub(crate) fn note_watching(&mut self, now: Time) {
        let watched = self.standing.watching || self.members.anyone_watches(now);
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
        let rule = self.repeat_rule();
        let budget = self.budgets.entry(service.clone()).or_default();
        budget.take(now, rule)
    }

    fn repeat_rule(&self) -> RepeatRule {
        RepeatRule {
            ratio: self.settings.repeat_ratio * REPEAT_PART,
            window: self.settings.repeat_window,
            slack: self.settings.repeat_slack / (self.instances() * SLACK_TIMES),
        }
    }

    #[expect(
        clippy::cast_precision_loss,
        reason = "some thousand instances at most"
    )]
    fn instances(&self) -> f64 {
        (self.members.known().count() + 1) as f64
    }

    /// Chooses a target of a service that is not in `tried` and meets `need`, and
    /// counts the request as in flight there.
    pub(crate) fn choose(
        &mut self,
        now: Time,
        service: &ServiceName,
        need: &Need,
        tried: &[TargetId],
    ) -> Result<Choice, NoTarget> {
        let mut survey = self.survey(now, service, tried);
        let draw = rand::rng().random();
        let chosen = placement::choose(&survey.candidates, need, &self.tuning.placement, draw);
        let id = match chosen {
            Some(index) => survey.ids.swap_remove(index),
            None if !survey.candidates.is_empty() || survey.full => return Err(NoTarget::Full),
            // Nothing else is left: one that seemed down may be back.
            None if !survey.down.is_empty() => {
                let index = rand::rng().random_range(0..survey.down.len());
                survey.down.swap_remove(index)
            }
            None if survey.tried => return Err(NoTarget::Tried),
            None => return Err(NoTarget::None),
        };
        self.begin(now, &id).ok_or(NoTarget::None)
    }

    /// Sorts the targets of a service by whether they may take a request now.
    fn survey(&mut self, now: Time, service: &ServiceName, tried: &[TargetId]) -> Survey {
        let max_connections = self.max_connections(service);
        let cold_bound = self.cold_bound(service);
        let knows_members = now.since(self.started) >= LEARN_MEMBERS;
        let members = &self.members;
        let allowance = |view: &View| {
            if knows_members {
                cold_allowance(cold_bound, members.rank(&view.target.id))
            } else {
                0
            }
        };
        let own_zone = &self.settings.zone;
        let mut survey = Survey::default();
        let (views, evacuated) = self.fleet.of_service(service);
        for view in views {
            let unusable = view.unusable(now, evacuated, allowance);
            let is_tried = tried.contains(&view.target.id);
            match unusable {
                Some(Unusable::Leaving | Unusable::Evacuated) => {}
                Some(Unusable::Cold) => survey.full = true,
                _ if is_tried => survey.tried = true,
                _ if view.is_out_of_connections(max_connections) => survey.full = true,
                Some(Unusable::Down) => survey.down.push(view.target.id.clone()),
                None => {
                    survey.ids.push(view.target.id.clone());
                    survey.candidates.push(view.candidate(now, own_zone));
                }
            }
        }
        survey
    }

    /// How many targets of a service may take a request now, and what keeps the others
    /// from it.
    pub(crate) fn census(&mut self, now: Time, service: &ServiceName) -> Census {
        let settings = self.tuning.placement.clone();
        let own_zone = self.settings.zone.clone();
        let mut census = Census::default();
        let (views, evacuated) = self.fleet.of_service(service);
        for view in views {
            let candidate = view.candidate(now, &own_zone);
            match view.unusable(now, evacuated, |_| 0) {
                Some(Unusable::Leaving) => census.leaving += 1,
                Some(Unusable::Evacuated) => census.evacuated += 1,
                Some(Unusable::Down) => census.down += 1,
                Some(Unusable::Cold) => census.cold += 1,
                None if !placement::has_room(&candidate, &settings) => census.full += 1,
                None => census.with_room += 1,
            }
        }
        census
    }

    fn begin(&mut self, now: Time, id: &TargetId) -> Option<Choice> {
        let own_zone = self.settings.zone.clone();
        let view = self.fleet.get_mut(id)?;
        let choice = Choice {
            id: id.clone(),
            address: view.target.address,
            candidate: view.candidate(now, &own_zone),
            report_age: view.report.map(|report| now.since(report.at)),
        };
        view.in_flight += 1;
        if view.is_cold(now) {
            view.note_cold_send(now);
        }
        Some(choice)
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

    fn max_connections(&self, service: &ServiceName) -> usize {
        let stated = self
            .replica
            .configuration()
            .and_then(|configuration| configuration.services.get(service))
            .map_or(u32::MAX, |rules| rules.max_connections);
        let part = (f64::from(stated) * CONNECTION_PART / self.instances()).floor();
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "a part of a u32"
        )]
        let part = part as usize;
        part.max(MIN_CONNECTIONS)
    }

    fn cold_bound(&self, service: &ServiceName) -> f64 {
        let rate = self
            .replica
            .configuration()
            .and_then(|configuration| configuration.services.get(service))
            .map_or(f64::INFINITY, |rules| rules.cold_rate);
        rate * self.settings.cold_factor + self.settings.cold_slack
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
    pub(crate) fn beat(&mut self, now: Time, all: bool) -> (Beat, Vec<SocketAddr>) {
        self.findings
            .retain(|_, (at, _)| now.since(*at) < FINDING_AGE);
        let is_news = all
            || self.findings.values().any(|(_, finding)| {
                self.told_far
                    .get(&finding.target)
                    .is_none_or(|told| finding.is_news(told))
            });
        let zone = self.settings.zone.clone();
        let (near, far) = self.members.beat_targets(now, &zone, is_news);
        if !far.is_empty() {
            let told = self.findings.values().map(|(_, told)| (told.target, *told));
            self.told_far = told.collect();
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
        self.quarantine.forget(now);
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
