//! This instance's view of every target.

mod view;

use std::net::SocketAddr;
use std::time::Duration;

use indexmap::{IndexMap, IndexSet};

pub use self::view::{TargetState, UnusableReason};
use crate::entry::fleet::digest::ZoneCapacity;
use crate::entry::fleet::members::target_key;
use crate::entry::fleet::message::{Health, TargetReport};
use crate::entry::fleet::replica::Applied;
use crate::entry::model::{Record, Target};
use crate::entry::target::notice::UnregisteredNotices;
use crate::entry::target::target_limit::NamedLimit;
use crate::names::{ServiceName, TargetId, ZoneName};
use crate::units::Time;

/// Time for which a target whose lease expired during a store outage is kept. Live
/// targets register again within two seconds of the store's return.
pub(crate) const LAPSED_RETENTION: Duration = Duration::from_millis(2200);
/// Time for which a zone stays evacuated after the store returned from a copy without its
/// evacuation, until the operator writes it again.
const EVACUATION_RETENTION: Duration = Duration::from_secs(5);
/// Runs of targets that left which are remembered: those of some minutes.
const MAX_DEPARTED: usize = 1024;
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
    notices: UnregisteredNotices,
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
        let key = target_key(&target.id, target.started_ms);
        let view = TargetState::new(now, target, self.notices.take(key));
        let id = view.target.id.clone();
        if let Some(earlier) = self.views.insert(id.clone(), view) {
            self.by_key.swap_remove(&earlier.key);
            self.record_departed(&earlier);
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

    fn record_departed(&mut self, view: &TargetState) {
        self.notices.keep(view.key, view.notice);
        self.departed.insert(view.key);
        while self.departed.len() > MAX_DEPARTED {
            self.departed.shift_remove_index(0);
        }
    }

    /// The services whose last registered targets the changes remove.
    #[must_use]
    pub fn emptied_services(&self, changes: &[Applied]) -> IndexSet<ServiceName> {
        let mut removed: IndexMap<&ServiceName, IndexSet<&TargetId>> = IndexMap::new();
        for change in changes {
            if let Applied::Removed(_, Record::Target(target)) = change {
                removed
                    .entry(&target.service)
                    .or_default()
                    .insert(&target.id);
            }
        }
        removed.retain(|service, ids| {
            let is_added = |change: &Applied| match change {
                Applied::Put(_, Record::Target(target)) => {
                    target.service == **service && !target.leaving
                }
                _ => false,
            };
            let stays = |view: &TargetState| {
                view.target.service == **service
                    && view.is_registered()
                    && !ids.contains(&view.target.id)
            };
            !changes.iter().any(is_added) && !self.views().any(stays)
        });
        removed.into_keys().cloned().collect()
    }

    /// Removes a target. It is used until `retained_until` if it may still serve.
    pub fn remove(&mut self, now: Time, id: &TargetId, retained_until: Option<Time>) {
        if let Some(view) = self.views.get_mut(id) {
            view.removed_at = Some(retained_until.unwrap_or(now));
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
                self.record_departed(&view);
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

    /// The view of the run of a target that `key` identifies.
    #[must_use]
    pub fn run(&self, key: u64) -> Option<&TargetState> {
        self.views.get(self.by_key.get(&key)?)
    }

    /// The targets of a service that are neither leaving, down nor evacuated.
    pub fn usable(&self, now: Time, service: &ServiceName) -> impl Iterator<Item = &TargetState> {
        let views = self.views.values();
        views.filter(move |view| view.target.service == *service && self.is_usable(now, view))
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

    /// Records that a run of a target is leaving; returns the target if it is registered
    /// and this is new.
    pub fn record_leaving(&mut self, now: Time, run: u64) -> Option<&TargetState> {
        let Some(id) = self.by_key.get(&run) else {
            self.notices.record_leaving(now, run);
            return None;
        };
        let view = self.views.get_mut(id)?;
        let is_new = view.notice.record_leaving(now);
        is_new.then_some(view)
    }

    /// The runs of which peers are to be told that they are leaving.
    #[must_use]
    pub fn leaving_to_tell(&self, now: Time) -> Vec<u64> {
        let views = self.views.values();
        let told = views.filter(|view| view.notice.is_to_be_told(now));
        told.map(|view| view.key).collect()
    }

    /// The views of all targets, for updates.
    pub fn views_mut(&mut self) -> impl Iterator<Item = &mut TargetState> {
        self.views.values_mut()
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
        let is_leaving = view.is_leaving() || view.removed_at.is_some();
        let is_paused = view.notice.pause_left(now).is_some();
        !is_leaving
            && !is_paused
            && !view.is_down(now)
            && !self.evacuated.contains(&view.target.zone)
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
