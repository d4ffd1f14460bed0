//! This instance's view of every target.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use indexmap::{IndexMap, IndexSet};

use super::digest::ZoneCapacity;
use super::load::{Load, LoadReport};
use super::members::target_key;
use super::message::{Health, TargetReport};
use super::model::{Record, Target};
use super::placement::Candidate;
use super::replica::Applied;
use super::target_limit::{LimitDecision, NamedLimit, TargetLimit};
use super::window::{COLD_WINDOW, SlidingWindow};
use crate::names::{ServiceName, TargetId, ZoneName};
use crate::units::Time;

/// Age beyond which a report no longer shows the slowness of a target: two of the
/// infrequent heartbeats between zones, which are sent early when a report changes.
const MAX_REPORT_AGE: Duration = Duration::from_millis(900);
/// Time for which a target gets no requests after a connection to it was refused or
/// lost.
const DOWN_DURATION: Duration = Duration::from_millis(400);
/// Time for which a target whose lease expired during a store outage is kept. Live
/// targets register again within two seconds of the store's return.
const LAPSED_RETENTION: Duration = Duration::from_millis(2200);
/// Time for which a zone stays evacuated after the store returned from a copy without its
/// evacuation, until the operator writes it again.
const EVACUATION_RETENTION: Duration = Duration::from_secs(5);
/// Runs of targets that left which are remembered: those of some minutes.
const MAX_DEPARTED: usize = 1024;
/// Minimum number of targets of a service that are removed together by expired leases.
/// A single target may just have left.
const MIN_LAPSED: usize = 2;
/// Weight of the newest outcome in a target's failure rate.
const FAILURE_SMOOTHING: f64 = 0.15;
/// Time in which the failure rate halves while nothing is sent.
const FAILURE_HALF_LIFE: Duration = Duration::from_secs(2);
/// Consecutive probes without a response after which a target counts as down.
const UNREACHABLE_LIMIT: u32 = 2;

/// This instance's view of one target.
#[derive(Debug, Clone)]
pub struct TargetState {
    /// Its registration.
    pub target: Target,
    /// Its key in datagrams; see [`target_key`].
    pub key: u64,
    /// Requests of this instance in flight there.
    pub in_flight: u32,
    /// Token cloned by each connection of this instance to it; its reference count
    /// minus one is the number of connections.
    pub connections: Arc<()>,
    /// Its last load report; `None` before the first.
    pub load_report: Option<LoadReport>,
    /// End of its warm-up.
    pub cold_until: Time,
    /// Result of its last probe.
    pub health: Health,
    /// When any instance last probed it, as far as known; `None` before the first
    /// probe.
    pub probed_at: Option<Time>,
    failed_probes: u32,
    last_response_at: Option<Time>,
    down_until: Time,
    removed_at: Option<Time>,
    failure_rate: f64,
    failure_rate_at: Time,
    cold_requests: SlidingWindow,
    /// Limit that it names, and what this instance has sent to it.
    pub limit: TargetLimit,
    /// Checks by this instance right before requests.
    pub checks: SlidingWindow,
    /// This instance's rank for it, with the generation of the members that it holds for.
    cold_rank: Option<(u64, usize)>,
}

/// Why a target takes no request now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum UnusableReason {
    /// It is shutting down or was removed.
    Leaving,
    /// Its zone is evacuated.
    Evacuated,
    /// It cannot be reached.
    Down,
    /// It is cold, and this instance's share of its warm-up rate is used up.
    Cold,
    /// It names a limit, which is used up for now.
    Limited,
    /// It names a limit, which another instance uses.
    LimitedElsewhere,
}

impl TargetState {
    fn new(now: Time, target: Target) -> Self {
        Self {
            key: target_key(&target.id, target.started_ms),
            cold_until: now.after(target.cold_for),
            target,
            in_flight: 0,
            connections: Arc::new(()),
            load_report: None,
            health: Health::Good,
            probed_at: None,
            failed_probes: 0,
            last_response_at: None,
            down_until: Time::ZERO,
            removed_at: None,
            failure_rate: 0.0,
            failure_rate_at: now,
            cold_requests: SlidingWindow::default(),
            limit: TargetLimit::default(),
            checks: SlidingWindow::default(),
            cold_rank: None,
        }
    }

    /// Whether it is still warming up.
    #[must_use]
    pub fn is_cold(&self, now: Time) -> bool {
        now < self.cold_until
    }

    /// Whether it gets no new requests because it is shutting down.
    #[must_use]
    pub fn is_leaving(&self) -> bool {
        self.target.leaving
    }

    /// Number of connections of this instance to it.
    #[must_use]
    pub fn open_connections(&self) -> usize {
        Arc::strong_count(&self.connections) - 1
    }

    /// Requests that run or wait there: the last report, corrected by the requests that
    /// this instance has sent and finished since.
    #[must_use]
    pub fn occupied(&self) -> f64 {
        let own = f64::from(self.in_flight);
        let Some(load_report) = &self.load_report else {
            return own;
        };
        let reported = f64::from(load_report.load.running + load_report.load.waiting);
        (reported + own - f64::from(load_report.own_in_flight)).max(own)
    }

    /// Whether another request would need a connection beyond `max`.
    #[must_use]
    pub fn is_out_of_connections(&self, max: usize) -> bool {
        let open = self.open_connections();
        open >= max && open <= self.in_flight as usize
    }

    /// Records a load report unless a newer one is known.
    pub fn record_load(&mut self, at: Time, load: Load) {
        self.record_load_before(at, load, 0);
    }

    /// Like [`Self::record_load`], of a report from before `unsent` of the requests in
    /// flight were sent.
    pub fn record_load_before(&mut self, at: Time, load: Load, unsent: u32) {
        if self.load_report.is_none_or(|known| known.at <= at) {
            self.load_report = Some(LoadReport {
                load,
                at,
                own_in_flight: self.in_flight.saturating_sub(unsent),
            });
        }
    }

    /// Sets the time for which it stays cold.
    pub fn set_cold_for(&mut self, now: Time, left: Duration) {
        self.cold_until = now.after(left);
    }

    /// Records a response to this instance, whatever its status.
    pub fn record_response(&mut self, now: Time) {
        self.last_response_at = Some(now);
        self.down_until = Time::ZERO;
    }

    /// Records whether a request failed.
    pub fn record_outcome(&mut self, now: Time, failed: bool) {
        let before = self.current_failure_rate(now);
        let outcome = if failed { 1.0 } else { 0.0 };
        self.failure_rate = before + FAILURE_SMOOTHING * (outcome - before);
        self.failure_rate_at = now;
    }

    /// Stops sending requests to it for [`DOWN_DURATION`].
    pub fn mark_down(&mut self, now: Time) {
        self.down_until = now.after(DOWN_DURATION);
    }

    /// Records the result of a probe.
    pub fn record_health(&mut self, at: Time, health: Health) {
        self.probed_at = Some(at);
        self.health = health;
        if health == Health::Unreachable {
            self.failed_probes = self.failed_probes.saturating_add(1);
        } else {
            self.failed_probes = 0;
            self.down_until = Time::ZERO;
        }
    }

    /// This instance's rank for it among the members of a `generation`; `rank` is called
    /// once for each generation, as it costs a hash for each member.
    pub fn cold_rank(&mut self, generation: u64, rank: impl FnOnce(&TargetId) -> usize) -> usize {
        match self.cold_rank {
            Some((known, rank)) if known == generation => rank,
            _ => {
                let rank = rank(&self.target.id);
                self.cold_rank = Some((generation, rank));
                rank
            }
        }
    }

    /// Records a request to it while it is cold.
    pub fn record_cold_request(&mut self, now: Time) {
        self.cold_requests.record(now);
    }

    /// Why it takes no request now, if so. `cold_allowance` limits the requests of this
    /// instance while it is cold.
    pub fn unusable_reason(
        &mut self,
        now: Time,
        evacuated: &IndexSet<ZoneName>,
        cold_allowance: impl Fn(&mut Self) -> usize,
    ) -> Option<UnusableReason> {
        if self.target.leaving || self.removed_at.is_some_and(|at| now >= at) {
            return Some(UnusableReason::Leaving);
        }
        if evacuated.contains(&self.target.zone) {
            return Some(UnusableReason::Evacuated);
        }
        match self.limit.decide(now) {
            LimitDecision::Send => {}
            LimitDecision::UsedUp => return Some(UnusableReason::Limited),
            LimitDecision::Elsewhere => return Some(UnusableReason::LimitedElsewhere),
        }
        if self.is_down(now) {
            return Some(UnusableReason::Down);
        }
        if self.is_cold(now) {
            let allowance = cold_allowance(self);
            if self.cold_requests.count(now, COLD_WINDOW) >= allowance {
                return Some(UnusableReason::Cold);
            }
        }
        None
    }

    /// Its load and state for the cost function.
    #[must_use]
    pub fn candidate(&self, now: Time, own_zone: &ZoneName) -> Candidate {
        let recent = self
            .load_report
            .filter(|load_report| now.since(load_report.at) <= MAX_REPORT_AGE);
        Candidate {
            slowness_percent: recent
                .map(|load_report| f64::from(load_report.load.slowness_percent)),
            occupied: self.occupied(),
            slots: f64::from(self.target.slots),
            same_zone: self.target.zone == *own_zone,
            connected: self.open_connections() > self.in_flight as usize,
            healthy: self.health == Health::Good,
            cold: self.is_cold(now),
            failure_rate: self.current_failure_rate(now),
        }
    }

    /// Its last load report and health, for peers; `None` without a recent report.
    fn report(&self, now: Time) -> Option<TargetReport> {
        let load_report = self.load_report?;
        let age = now.since(load_report.at);
        let cold_for = self.cold_until.since(now);
        (age <= MAX_REPORT_AGE).then(|| TargetReport {
            target: self.key,
            load: Some(load_report.load),
            cold_ms: u32::try_from(cold_for.as_millis()).unwrap_or(u32::MAX),
            health: self.health,
            age_ms: u16::try_from(age.as_millis()).unwrap_or(u16::MAX),
        })
    }

    /// Whether it is considered unreachable. Failed probes count only while this instance
    /// has no recent response from it to a request.
    fn is_down(&self, now: Time) -> bool {
        let has_recent_response = self
            .last_response_at
            .is_some_and(|at| now.since(at) <= MAX_REPORT_AGE);
        now < self.down_until || (self.failed_probes >= UNREACHABLE_LIMIT && !has_recent_response)
    }

    fn current_failure_rate(&self, now: Time) -> f64 {
        let age = now.since(self.failure_rate_at).as_secs_f64();
        self.failure_rate * 0.5_f64.powf(age / FAILURE_HALF_LIFE.as_secs_f64())
    }
}

/// All targets, and the evacuated zones.
#[derive(Debug, Clone, Default)]
pub struct TargetTable {
    views: IndexMap<TargetId, TargetState>,
    by_key: IndexMap<u64, TargetId>,
    evacuated: IndexSet<ZoneName>,
    /// Ends of evacuations that the store has lost.
    evacuated_until: IndexMap<ZoneName, Time>,
    /// Keys of the last runs that left, oldest first.
    departed: IndexSet<u64>,
}

impl TargetTable {
    /// Adds or updates a registration. A new run of a target replaces the view.
    pub fn put(&mut self, now: Time, target: Target) {
        if let Some(view) = self.views.get_mut(&target.id) {
            let same_run = view.target.started_ms == target.started_ms
                && view.target.address == target.address;
            if same_run {
                view.removed_at = None;
                view.cold_until = view.cold_until.max(now.after(target.cold_for));
                view.target = target;
                return;
            }
        }
        let view = TargetState::new(now, target);
        let key = view.key;
        let id = view.target.id.clone();
        if let Some(earlier) = self.views.insert(id.clone(), view) {
            self.by_key.swap_remove(&earlier.key);
            self.record_departed(earlier.key);
        }
        self.departed.shift_remove(&key);
        self.by_key.insert(key, id);
    }

    /// Whether a registration is older than what is known of the target: its run has left
    /// or is leaving, or a later one has started.
    #[must_use]
    pub fn is_outdated(&self, now: Time, target: &Target) -> bool {
        let key = target_key(&target.id, target.started_ms);
        let is_outdated_by = |view: &TargetState| {
            if view.key == key {
                view.target.leaving && !target.leaving
                    || view.removed_at.is_some_and(|at| now >= at)
            } else {
                view.target.started_ms > target.started_ms
            }
        };
        self.departed.contains(&key) || self.views.get(&target.id).is_some_and(is_outdated_by)
    }

    fn record_departed(&mut self, run: u64) {
        self.departed.insert(run);
        while self.departed.len() > MAX_DEPARTED {
            self.departed.shift_remove_index(0);
        }
    }

    /// The services of which at least half of the targets are removed at once. Targets
    /// leave a few at a time, so these leases expired while the store was unavailable.
    #[must_use]
    pub fn lapsed_services(&self, changes: &[Applied]) -> IndexSet<ServiceName> {
        let mut removed: IndexMap<&ServiceName, usize> = IndexMap::new();
        for change in changes {
            if let Applied::Removed(_, Record::Target(target)) = change {
                *removed.entry(&target.service).or_default() += 1;
            }
        }
        let present = |service: &ServiceName| {
            let service_targets = self.views().filter(|view| view.target.service == *service);
            service_targets
                .filter(|view| view.removed_at.is_none())
                .count()
        };
        removed
            .into_iter()
            .filter(|(service, count)| *count >= MIN_LAPSED && count * 2 >= present(service))
            .map(|(service, _)| service.clone())
            .collect()
    }

    /// Removes a target. When its lease may have expired during a store outage,
    /// `lapsed` keeps it for [`LAPSED_RETENTION`], as it may be alive.
    pub fn remove(&mut self, now: Time, id: &TargetId, lapsed: bool) {
        if let Some(view) = self.views.get_mut(id) {
            let until = if lapsed {
                now.after(LAPSED_RETENTION)
            } else {
                now
            };
            view.removed_at = Some(until);
        }
    }

    /// Drops the removed targets that have no request in flight, and returns them.
    pub fn drop_removed(&mut self, now: Time) -> Vec<TargetId> {
        let removed: Vec<TargetId> = self
            .views
            .values()
            .filter(|view| view.removed_at.is_some_and(|at| now >= at) && view.in_flight == 0)
            .map(|view| view.target.id.clone())
            .collect();
        for id in &removed {
            if let Some(view) = self.views.swap_remove(id) {
                self.by_key.swap_remove(&view.key);
                self.record_departed(view.key);
            }
        }
        removed
    }

    /// Sets whether a zone is evacuated and gets no requests.
    pub fn set_evacuated(&mut self, zone: ZoneName, on: bool) {
        self.evacuated_until.swap_remove(&zone);
        if on {
            self.evacuated.insert(zone);
        } else {
            self.evacuated.swap_remove(&zone);
        }
    }

    /// Keeps a zone whose evacuation the store has lost evacuated for a while.
    pub fn retain_evacuation(&mut self, now: Time, zone: ZoneName) {
        let until = now.after(EVACUATION_RETENTION);
        self.evacuated_until.insert(zone, until);
    }

    /// Ends the evacuations that the store has lost and that were not written again in
    /// time; returns their zones.
    pub fn end_lost_evacuations(&mut self, now: Time) -> Vec<ZoneName> {
        let is_over = |(zone, until): (&ZoneName, &Time)| (now >= *until).then(|| zone.clone());
        let over: Vec<ZoneName> = self.evacuated_until.iter().filter_map(is_over).collect();
        for zone in &over {
            self.set_evacuated(zone.clone(), false);
        }
        over
    }

    /// The evacuated zones.
    #[must_use]
    pub fn evacuated(&self) -> &IndexSet<ZoneName> {
        &self.evacuated
    }

    /// The view of one target.
    #[must_use]
    pub fn get(&self, id: &TargetId) -> Option<&TargetState> {
        self.views.get(id)
    }

    /// The view of one target, for updates.
    pub fn get_mut(&mut self, id: &TargetId) -> Option<&mut TargetState> {
        self.views.get_mut(id)
    }

    /// The view of the run of a target that `key` identifies, for updates; `None` after
    /// the target was started again.
    pub fn run_mut(&mut self, key: u64) -> Option<&mut TargetState> {
        let id = self.by_key.get(&key)?;
        self.views.get_mut(id)
    }

    /// Sets which targets this instance probes.
    pub fn set_probed(&mut self, now: Time, probed: &IndexSet<TargetId>) {
        for (id, view) in &mut self.views {
            view.limit.set_prober(now, probed.contains(id));
        }
    }

    /// The limits that targets name or named lately.
    #[must_use]
    pub fn named_limits(&self, now: Time) -> Vec<NamedLimit> {
        let views = self.views.values();
        views
            .filter_map(|view| view.limit.named(now, view.key))
            .collect()
    }

    /// The views of all targets.
    pub fn views(&self) -> impl Iterator<Item = &TargetState> {
        self.views.values()
    }

    /// The targets of a service, with the evacuated zones.
    pub fn service_targets<'a>(
        &'a mut self,
        service: &'a ServiceName,
    ) -> (
        impl Iterator<Item = &'a mut TargetState>,
        &'a IndexSet<ZoneName>,
    ) {
        let views = self
            .views
            .values_mut()
            .filter(move |view| view.target.service == *service);
        (views, &self.evacuated)
    }

    /// Slots and occupancy of the usable targets, by service and zone.
    #[must_use]
    pub fn zone_capacities(
        &self,
        now: Time,
    ) -> IndexMap<ServiceName, IndexMap<ZoneName, ZoneCapacity>> {
        let mut zone_capacities: IndexMap<ServiceName, IndexMap<ZoneName, ZoneCapacity>> =
            IndexMap::new();
        for view in self.views.values().filter(|view| self.is_usable(now, view)) {
            let zones = zone_capacities
                .entry(view.target.service.clone())
                .or_default();
            let capacity = zones.entry(view.target.zone.clone()).or_default();
            capacity.slots += f64::from(view.target.slots);
            capacity.occupied += view.occupied();
        }
        zone_capacities
    }

    fn is_usable(&self, now: Time, view: &TargetState) -> bool {
        let is_leaving = view.target.leaving || view.removed_at.is_some();
        !is_leaving && !view.is_down(now) && !self.evacuated.contains(&view.target.zone)
    }

    /// Recent reports on a zone's targets. Unreachable targets are left out, since the
    /// receiver would count the same failed probe twice.
    #[must_use]
    pub fn reports(&self, now: Time, zone: &ZoneName) -> Vec<TargetReport> {
        self.views
            .values()
            .filter(|view| view.target.zone == *zone && view.health != Health::Unreachable)
            .filter_map(|view| view.report(now))
            .collect()
    }

    /// Address of the target that datagrams identify by `key`.
    #[must_use]
    pub fn address_by_key(&self, key: u64) -> Option<SocketAddr> {
        let id = self.by_key.get(&key)?;
        Some(self.views.get(id)?.target.address)
    }

    /// Applies a report on a target, from an own probe or a peer.
    pub fn apply_report(&mut self, now: Time, report: &TargetReport) {
        let at = now.before(Duration::from_millis(report.age_ms.into()));
        let Some(view) = self.run_mut(report.target) else {
            return;
        };
        if let Some(load) = report.load {
            view.record_load(at, load);
        }
        if report.health != Health::Unreachable {
            view.set_cold_for(at, Duration::from_millis(report.cold_ms.into()));
        }
        view.record_health(at, report.health);
    }
}

#[cfg(test)]
mod tests;
