//! This instance's view of every target.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use indexmap::{IndexMap, IndexSet};

use super::digest::ZoneRoom;
use super::load::{Load, Report};
use super::members::target_key;
use super::message::{Finding, Health};
use super::model::{Record, Target};
use super::placement::Candidate;
use super::replica::Applied;
use super::window::{COLD_OWN_WINDOW, Window};
use crate::names::{ServiceName, TargetId, ZoneName};
use crate::units::Time;

/// Age beyond which a report says nothing about slowness: two of the seldom beats
/// between zones, which tell of changes at once.
const REPORT_AGE: Duration = Duration::from_millis(900);
/// Time for which a target is left alone after a connection to it was refused or lost.
const DOWN_FOR: Duration = Duration::from_millis(400);
/// Time for which a target that lapsed during an outage of the store is kept; live
/// targets register again within two seconds of its return.
const LAPSED_FOR: Duration = Duration::from_millis(2200);
/// Fewest targets of a service that lapse together; one alone may just leave.
const LAPSED_LEAST: usize = 2;
/// Weight of one more outcome in a target's share of failures.
const FAILURE_WEIGHT: f64 = 0.15;
/// Time in which a share of failures halves when nothing is sent.
const FAILURE_HALF_LIFE: Duration = Duration::from_secs(2);
/// Probes in a row without an answer that take a target out.
const UNREACHABLE_LIMIT: u32 = 2;

/// What is known of one target.
#[derive(Debug, Clone)]
pub struct View {
    /// As it registered.
    pub target: Target,
    /// Its short name in datagrams.
    pub key: u64,
    /// This instance's requests in flight there.
    pub in_flight: u32,
    /// Held by each connection of this instance to it, and by this view.
    pub connections: Arc<()>,
    /// Its last report.
    pub report: Option<Report>,
    /// Until when it is cold.
    pub cold_until: Time,
    /// What its home's last probe found.
    pub health: Health,
    /// When it was last probed by anyone, as far as known.
    pub probed_at: Option<Time>,
    unreachable: u32,
    answered_at: Option<Time>,
    down_until: Time,
    gone_at: Option<Time>,
    failing: f64,
    failing_at: Time,
    cold_sends: Window,
}

/// Why a target takes no request at the moment.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Unusable {
    /// It leaves or has left.
    Leaving,
    /// Its zone is to get nothing.
    Evacuated,
    /// It can't be reached.
    Down,
    /// It is cold and this instance's part of its rate is used up.
    Cold,
}

impl View {
    fn new(now: Time, target: Target) -> Self {
        Self {
            key: target_key(&target.id, target.started_ms),
            cold_until: now.after(target.cold_for),
            target,
            in_flight: 0,
            connections: Arc::new(()),
            report: None,
            health: Health::Good,
            probed_at: None,
            unreachable: 0,
            answered_at: None,
            down_until: Time::ZERO,
            gone_at: None,
            failing: 0.0,
            failing_at: now,
            cold_sends: Window::default(),
        }
    }

    /// Whether it is cold.
    #[must_use]
    pub fn is_cold(&self, now: Time) -> bool {
        now < self.cold_until
    }

    /// Whether it may get no new requests for good.
    #[must_use]
    pub fn is_leaving(&self) -> bool {
        self.target.leaving
    }

    /// Connections of this instance to it.
    #[must_use]
    pub fn open_connections(&self) -> usize {
        Arc::strong_count(&self.connections) - 1
    }

    /// Requests that run and wait there: the report, corrected by what this instance
    /// sent and got back since.
    #[must_use]
    pub fn occupied(&self) -> f64 {
        let own = f64::from(self.in_flight);
        let Some(report) = &self.report else {
            return own;
        };
        let reported = f64::from(report.load.running + report.load.waiting);
        (reported + own - f64::from(report.own_in_flight)).max(own)
    }

    /// Whether another request would need a connection beyond `max`.
    #[must_use]
    pub fn is_out_of_connections(&self, max: usize) -> bool {
        let open = self.open_connections();
        open >= max && open <= self.in_flight as usize
    }

    /// Notes a report.
    pub fn note_load(&mut self, at: Time, load: Load) {
        if self.report.is_none_or(|known| known.at <= at) {
            self.report = Some(Report {
                load,
                at,
                own_in_flight: self.in_flight,
            });
        }
    }

    /// Notes how long it stays cold.
    pub fn note_cold(&mut self, now: Time, left: Duration) {
        self.cold_until = now.after(left);
    }

    /// Notes that it answered this instance, whatever it said.
    pub fn note_answer(&mut self, now: Time) {
        self.answered_at = Some(now);
        self.down_until = Time::ZERO;
    }

    /// Notes the outcome of a request.
    pub fn note_outcome(&mut self, now: Time, failed: bool) {
        let before = self.failing_now(now);
        let outcome = if failed { 1.0 } else { 0.0 };
        self.failing = before + FAILURE_WEIGHT * (outcome - before);
        self.failing_at = now;
    }

    /// Notes that a connection was refused or timed out.
    pub fn note_unreachable(&mut self, now: Time) {
        self.down_until = now.after(DOWN_FOR);
    }

    /// Notes a probe's finding.
    pub fn note_health(&mut self, at: Time, health: Health) {
        self.probed_at = Some(at);
        self.health = health;
        if health == Health::Unreachable {
            self.unreachable = self.unreachable.saturating_add(1);
        } else {
            self.unreachable = 0;
            self.down_until = Time::ZERO;
        }
    }

    /// Notes a request to it while it is cold.
    pub fn note_cold_send(&mut self, now: Time) {
        self.cold_sends.note(now);
    }

    /// What keeps it from taking a request now; `cold_allowance` bounds the requests
    /// of this instance while it is cold.
    pub fn unusable(
        &mut self,
        now: Time,
        evacuated: &IndexSet<ZoneName>,
        cold_allowance: impl Fn(&Self) -> usize,
    ) -> Option<Unusable> {
        if self.target.leaving || self.gone_at.is_some_and(|gone| now >= gone) {
            return Some(Unusable::Leaving);
        }
        if evacuated.contains(&self.target.zone) {
            return Some(Unusable::Evacuated);
        }
        if self.is_down(now) {
            return Some(Unusable::Down);
        }
        if self.is_cold(now) {
            let allowance = cold_allowance(self);
            if self.cold_sends.count(now, COLD_OWN_WINDOW) >= allowance {
                return Some(Unusable::Cold);
            }
        }
        None
    }

    /// The view of placement.
    #[must_use]
    pub fn candidate(&self, now: Time, own_zone: &ZoneName) -> Candidate {
        let recent = self
            .report
            .filter(|report| now.since(report.at) <= REPORT_AGE);
        Candidate {
            slowness_percent: recent.map(|report| f64::from(report.load.slowness_percent)),
            occupied: self.occupied(),
            slots: f64::from(self.target.slots),
            same_zone: self.target.zone == *own_zone,
            connected: self.open_connections() > self.in_flight as usize,
            healthy: self.health == Health::Good,
            cold: self.is_cold(now),
            failing: self.failing_now(now),
        }
    }

    /// What its last report and probe say, for peers; `None` without a recent report.
    fn finding(&self, now: Time) -> Option<Finding> {
        let report = self.report?;
        let age = now.since(report.at);
        let cold_for = self.cold_until.since(now);
        (age <= REPORT_AGE).then(|| Finding {
            target: self.key,
            load: Some(report.load),
            cold_ms: u32::try_from(cold_for.as_millis()).unwrap_or(u32::MAX),
            health: self.health,
            age_ms: u16::try_from(age.as_millis()).unwrap_or(u16::MAX),
        })
    }

    /// Whether it can't be reached. Its home's probes count only while this instance
    /// has no answer of its own.
    fn is_down(&self, now: Time) -> bool {
        let answers = self
            .answered_at
            .is_some_and(|at| now.since(at) <= REPORT_AGE);
        now < self.down_until || (self.unreachable >= UNREACHABLE_LIMIT && !answers)
    }

    fn failing_now(&self, now: Time) -> f64 {
        let age = now.since(self.failing_at).as_secs_f64();
        self.failing * 0.5_f64.powf(age / FAILURE_HALF_LIFE.as_secs_f64())
    }
}

/// All targets.
#[derive(Debug, Clone, Default)]
pub struct Fleet {
    views: IndexMap<TargetId, View>,
    by_key: IndexMap<u64, TargetId>,
    evacuated: IndexSet<ZoneName>,
}

impl Fleet {
    /// Takes in a registration; a new run of a target begins anew.
    pub fn put(&mut self, now: Time, target: Target) {
        if let Some(view) = self.views.get_mut(&target.id) {
            let same_run = view.target.started_ms == target.started_ms
                && view.target.address == target.address;
            if same_run {
                view.gone_at = None;
                view.cold_until = view.cold_until.max(now.after(target.cold_for));
                view.target = target;
                return;
            }
        }
        let view = View::new(now, target);
        self.by_key.insert(view.key, view.target.id.clone());
        self.views.insert(view.target.id.clone(), view);
    }

    /// The services of which half of the targets or more are removed at once: their
    /// entries lapsed while the store was away, since targets leave a few at a time.
    #[must_use]
    pub fn lapsed_services(&self, changes: &[Applied]) -> IndexSet<ServiceName> {
        let mut removed: IndexMap<&ServiceName, usize> = IndexMap::new();
        for change in changes {
            if let Applied::Removed(_, Record::Target(target)) = change {
                *removed.entry(&target.service).or_default() += 1;
            }
        }
        let present = |service: &ServiceName| {
            let of_service = self.views().filter(|view| view.target.service == *service);
            of_service.filter(|view| view.gone_at.is_none()).count()
        };
        removed
            .into_iter()
            .filter(|(service, count)| *count >= LAPSED_LEAST && count * 2 >= present(service))
            .map(|(service, _)| service.clone())
            .collect()
    }

    /// Takes in a removal. One that came while the store was away may be a lapse of
    /// a live target, which then is kept for a moment.
    pub fn remove(&mut self, now: Time, id: &TargetId, lapsed: bool) {
        if let Some(view) = self.views.get_mut(id) {
            let until = if lapsed { now.after(LAPSED_FOR) } else { now };
            view.gone_at = Some(until);
        }
    }

    /// Drops the targets that are gone and have no request left.
    pub fn forget_gone(&mut self, now: Time) -> Vec<TargetId> {
        let gone: Vec<TargetId> = self
            .views
            .values()
            .filter(|view| view.gone_at.is_some_and(|gone| now >= gone) && view.in_flight == 0)
            .map(|view| view.target.id.clone())
            .collect();
        for id in &gone {
            if let Some(view) = self.views.swap_remove(id) {
                self.by_key.swap_remove(&view.key);
            }
        }
        gone
    }

    /// Sets whether a zone is to get nothing.
    pub fn evacuate(&mut self, zone: ZoneName, on: bool) {
        if on {
            self.evacuated.insert(zone);
        } else {
            self.evacuated.swap_remove(&zone);
        }
    }

    /// The zones that are to get nothing.
    #[must_use]
    pub fn evacuated(&self) -> &IndexSet<ZoneName> {
        &self.evacuated
    }

    /// One target.
    #[must_use]
    pub fn get(&self, id: &TargetId) -> Option<&View> {
        self.views.get(id)
    }

    /// One target, to note something.
    pub fn get_mut(&mut self, id: &TargetId) -> Option<&mut View> {
        self.views.get_mut(id)
    }

    /// All targets.
    pub fn views(&self) -> impl Iterator<Item = &View> {
        self.views.values()
    }

    /// The targets of a service, with the zones that are to get nothing.
    pub fn of_service<'a>(
        &'a mut self,
        service: &'a ServiceName,
    ) -> (impl Iterator<Item = &'a mut View>, &'a IndexSet<ZoneName>) {
        let views = self
            .views
            .values_mut()
            .filter(move |view| view.target.service == *service);
        (views, &self.evacuated)
    }

    /// The slots of the targets that may be used, by service and zone.
    #[must_use]
    pub fn rooms(&self, now: Time) -> IndexMap<ServiceName, IndexMap<ZoneName, ZoneRoom>> {
        let mut rooms: IndexMap<ServiceName, IndexMap<ZoneName, ZoneRoom>> = IndexMap::new();
        for view in self.views.values().filter(|view| self.is_usable(now, view)) {
            let zones = rooms.entry(view.target.service.clone()).or_default();
            let room = zones.entry(view.target.zone.clone()).or_default();
            room.slots += f64::from(view.target.slots);
            room.occupied += view.occupied();
        }
        rooms
    }

    fn is_usable(&self, now: Time, view: &View) -> bool {
        let gone = view.target.leaving || view.gone_at.is_some();
        !gone && !view.is_down(now) && !self.evacuated.contains(&view.target.zone)
    }

    /// What is known of a zone's targets by recent reports. Those that could not be
    /// reached are left out: the same finding told twice would count twice.
    #[must_use]
    pub fn findings(&self, now: Time, zone: &ZoneName) -> Vec<Finding> {
        self.views
            .values()
            .filter(|view| view.target.zone == *zone && view.health != Health::Unreachable)
            .filter_map(|view| view.finding(now))
            .collect()
    }

    /// Where the target listens that datagrams call `key`.
    #[must_use]
    pub fn address_of(&self, key: u64) -> Option<SocketAddr> {
        let id = self.by_key.get(&key)?;
        Some(self.views.get(id)?.target.address)
    }

    /// Takes in what a target's home found.
    pub fn note_finding(&mut self, now: Time, finding: &Finding) {
        let at = now.before(Duration::from_millis(finding.age_ms.into()));
        let Some(view) = self
            .by_key
            .get(&finding.target)
            .and_then(|id| self.views.get_mut(id))
        else {
            return;
        };
        if let Some(load) = finding.load {
            view.note_load(at, load);
        }
        if finding.health != Health::Unreachable {
            view.note_cold(at, Duration::from_millis(finding.cold_ms.into()));
        }
        view.note_health(at, finding.health);
    }
}

#[cfg(test)]
mod tests;
