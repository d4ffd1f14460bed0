//! Selection of a target from the shared state.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use rand::Rng;

use crate::entry::fleet::members::Members;
use crate::entry::rollout::Pool;
use crate::entry::state::State;
use crate::entry::target::placement::{self, Candidate, Requirements};
use crate::entry::target::precheck;
use crate::entry::target::targets::{TargetState, UnusableReason};
use crate::entry::window::{MEMBER_DISCOVERY_TIME, cold_allowance};
use crate::names::{ServiceName, TargetId};
use crate::rollout::evidence::Side;
use crate::rollout::gate::Preference;
use crate::units::Time;

/// Fraction of a target's connection limit that all instances use together.
const CONNECTION_FRACTION: f64 = 0.8;
/// Connections to a target that each instance may open in any case.
const MIN_CONNECTIONS: usize = 2;

/// A selected target and the data that the selection used.
#[derive(Debug, Clone)]
pub(crate) struct ChosenTarget {
    /// Id of the target.
    pub id: TargetId,
    /// Key of its run; see [`crate::entry::fleet::members::target_key`].
    pub run: u64,
    /// Its service.
    pub service: ServiceName,
    /// Address that it listens on.
    pub address: SocketAddr,
    /// Its load and state at the time of the selection.
    pub candidate: Candidate,
    /// Age of its load report; `None` when there was none.
    pub report_age: Option<Duration>,
    /// Which of the versions that a roll-out compares it has; `None` without one.
    pub side: Option<Side>,
    /// Crashes attributed to the request when it was selected.
    pub suspicion: u32,
    /// When the request should end there.
    pub expected_end: Time,
}

/// Capacity that is reserved for a request at a run of a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Reserved {
    /// Key of the run.
    pub run: u64,
    /// When the request should end there.
    pub expected_end: Time,
    /// Crashes attributed to the request when it was selected.
    pub suspicion: u32,
}

impl ChosenTarget {
    /// The capacity that its selection reserved.
    pub(crate) fn reserved(&self) -> Reserved {
        Reserved {
            run: self.run,
            expected_end: self.expected_end,
            suspicion: self.suspicion,
        }
    }
}

/// Why no target was selected.
#[derive(Debug, Clone, Copy, PartialEq, Eq, derive_more::Display)]
pub(crate) enum NoTarget {
    /// The service has no target that may be used at all.
    #[display("no usable target")]
    NoneUsable,
    /// The work ahead of the request and its own would end after its deadline.
    #[display("the work ahead leaves no room before the deadline")]
    NoCapacity,
    /// The request has crashed targets.
    #[display("the request has crashed targets")]
    Blocked,
    /// No target got the request before its deadline.
    #[display("the deadline passed before any target got the request")]
    TooLate,
    /// This instance shuts down before the request would have ended.
    #[display("the instance shuts down before the request would have ended")]
    Stopping,
    /// Every remaining target was tried already.
    #[display("every target was tried")]
    AllTried,
    /// Every usable target wants a pause, which the request can't wait for.
    #[display("every usable target wants a pause")]
    Paused {
        /// Rest of the shortest pause.
        left: Duration,
    },
}

/// Number of targets of a service by what keeps them from accepting a request.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(crate) struct TargetCounts {
    with_room: usize,
    full: usize,
    cold: usize,
    limited: usize,
    paused: usize,
    down: usize,
    without_path: usize,
    evacuated: usize,
    leaving: usize,
    /// Those that get nothing because of a roll-out.
    held_back: usize,
}

/// The targets of a service, classified for one request.
#[derive(Debug, Default)]
struct ClassifiedTargets {
    /// Targets that may take the request.
    ids: Vec<TargetId>,
    /// Their placement data, in the same order.
    candidates: Vec<Candidate>,
    /// Targets that appear to be down.
    down: Vec<TargetId>,
    /// Whether any target has no capacity for now.
    full: bool,
    /// Whether any target was tried already.
    tried: bool,
    /// Rest of the shortest pause of a target that was not tried.
    pause_left: Option<Duration>,
}

impl State {
    /// Selects a target of a service that is not in `tried` and meets `requirements`,
    /// and counts the request as in flight there. `preference` says which version it may
    /// have while a roll-out runs.
    pub(crate) fn select_target(
        &mut self,
        now: Time,
        service: &ServiceName,
        requirements: &Requirements,
        tried: &[TargetId],
        preference: Preference,
    ) -> Result<ChosenTarget, NoTarget> {
        let mut refusal = None;
        let pools = self.pools(service, preference);
        for (position, pool) in pools.iter().enumerate() {
            let is_last = position + 1 == pools.len();
            match self.select_in(now, service, requirements, tried, pool, is_last) {
                Ok(choice) => return Ok(choice),
                Err(_) if is_last && refusal == Some(NoTarget::NoCapacity) => break,
                Err(reason) => refusal = Some(reason),
            }
        }
        Err(refusal.unwrap_or(NoTarget::NoneUsable))
    }

    /// Selects one of the targets in `pool`; with `is_last`, also one that appears to be
    /// down.
    fn select_in(
        &mut self,
        now: Time,
        service: &ServiceName,
        requirements: &Requirements,
        tried: &[TargetId],
        pool: &Pool,
        is_last: bool,
    ) -> Result<ChosenTarget, NoTarget> {
        let mut classified = self.classify_targets(now, service, tried, pool);
        let draw = rand::rng().random();
        let best = placement::choose(
            &classified.candidates,
            requirements,
            &self.tuning.placement,
            draw,
        );
        let ends_in_time = |left: Duration| {
            left.saturating_add(requirements.service_time) <= requirements.deadline_left
        };
        let id = match best {
            Some(index) => classified.ids.swap_remove(index),
            None if !classified.candidates.is_empty()
                || classified.full
                || classified.pause_left.is_some_and(ends_in_time) =>
            {
                return Err(NoTarget::NoCapacity);
            }
            // Nothing else is left, and a target that appeared to be down may be back.
            None if is_last && !classified.down.is_empty() => {
                let index = rand::rng().random_range(0..classified.down.len());
                classified.down.swap_remove(index)
            }
            None if classified.tried => return Err(NoTarget::AllTried),
            None if let Some(left) = classified.pause_left => {
                return Err(NoTarget::Paused { left });
            }
            None => return Err(NoTarget::NoneUsable),
        };
        self.reserve(now, &id, requirements)
            .ok_or(NoTarget::NoneUsable)
    }

    /// Whether to check a chosen target before a request is sent to it, and the path of
    /// the check; `checks` is the number of checks for the request so far.
    pub(crate) fn begin_check(
        &mut self,
        now: Time,
        choice: &ChosenTarget,
        service_time: Option<Duration>,
        checks: u32,
    ) -> Option<Arc<str>> {
        let settings = &self.tuning.precheck;
        if !precheck::is_worthwhile(choice.report_age, service_time, checks, settings) {
            return None;
        }
        let (window, max_rate) = (settings.window, self.settings.max_probe_rate);
        let allowance = precheck::allowance(max_rate, self.instances(), settings);
        let view = self.targets.run_mut(choice.run)?;
        let is_limited = view.limit.per_second(now).is_some();
        let is_refused = view.sending_refusal(now).is_some();
        if is_limited || is_refused || view.checks.count(now, window) >= allowance {
            return None;
        }
        view.checks.record(now);
        view.limit.record_sent(now);
        let service = view.target.service.clone();
        self.health_path(&service)
    }

    /// Whether a request is sent to the chosen target, of which a report has just arrived.
    /// `tried` are targets that the request does not go to.
    pub(crate) fn confirm_choice(
        &mut self,
        now: Time,
        choice: &mut ChosenTarget,
        requirements: &Requirements,
        tried: &[TargetId],
    ) -> bool {
        let own_zone = self.settings.zone.clone();
        let curve = self.load_curve(&choice.service);
        let Some(view) = self.targets.run_mut(choice.run) else {
            return false;
        };
        if view.is_cold(now) && !choice.candidate.cold {
            return false;
        }
        let service = view.target.service.clone();
        let (occupied, slots) = (view.occupied(), f64::from(view.target.slots));
        choice.candidate = Candidate {
            occupied: occupied - 1.0,
            load_factor: curve.factor(occupied / slots.max(1.0)),
            connected: true,
            ..view.candidate(now, &own_zone, &curve)
        };
        choice.report_age = Some(Duration::ZERO);
        let pool = match choice.side {
            Some(side) => self.pool(&service, side),
            None => self.main_pool(&service),
        };
        let others = self.classify_targets(now, &service, tried, &pool);
        let others = others.candidates;
        let (placement, precheck) = (&self.tuning.placement, &self.tuning.precheck);
        precheck::confirms(
            &choice.candidate,
            &others,
            requirements,
            placement,
            precheck,
        )
    }

    /// Classifies the targets of a service by whether they may take a request now.
    fn classify_targets(
        &mut self,
        now: Time,
        service: &ServiceName,
        tried: &[TargetId],
        pool: &Pool,
    ) -> ClassifiedTargets {
        let max_connections = self.max_connections(service);
        let cold_limit = self.cold_limit(service);
        let knows_members = now.since(self.started) >= MEMBER_DISCOVERY_TIME;
        let allowance = cold_allowances(&self.members, knows_members, cold_limit);
        let own_zone = &self.settings.zone;
        let curve = self.load_curve(service);
        let gate = self.rollouts.gate(service);
        let mut classified = ClassifiedTargets::default();
        let (views, evacuated) = self.targets.service_targets(service);
        for view in views.filter(|view| pool.contains(gate, view)) {
            let unusable_reason = view.unusable_reason(now, evacuated, &allowance);
            let is_tried = tried.contains(&view.target.id);
            match unusable_reason {
                Some(
                    UnusableReason::Leaving
                    | UnusableReason::Evacuated
                    | UnusableReason::NoPath
                    | UnusableReason::LimitedElsewhere,
                ) => {}
                Some(UnusableReason::Cold | UnusableReason::Limited) => classified.full = true,
                _ if is_tried => classified.tried = true,
                Some(UnusableReason::Paused(left)) => {
                    let shortest = classified.pause_left.map_or(left, |known| known.min(left));
                    classified.pause_left = Some(shortest);
                }
                _ if view.is_out_of_connections(max_connections) => classified.full = true,
                Some(UnusableReason::Down) => classified.down.push(view.target.id.clone()),
                None => {
                    classified.ids.push(view.target.id.clone());
                    let candidate = view.candidate(now, own_zone, &curve);
                    classified.candidates.push(candidate);
                }
            }
        }
        classified
    }

    /// Counts the targets of a service by whether they may take a request now.
    pub(crate) fn target_counts(&mut self, now: Time, service: &ServiceName) -> TargetCounts {
        let own_zone = self.settings.zone.clone();
        let mut counts = TargetCounts::default();
        let pool = self.main_pool(service);
        let curve = self.load_curve(service);
        let gate = self.rollouts.gate(service);
        let (views, evacuated) = self.targets.service_targets(service);
        for view in views {
            let candidate = view.candidate(now, &own_zone, &curve);
            match view.unusable_reason(now, evacuated, |_| 0) {
                Some(UnusableReason::Leaving) => counts.leaving += 1,
                Some(UnusableReason::Evacuated) => counts.evacuated += 1,
                Some(UnusableReason::Paused(_)) => counts.paused += 1,
                Some(UnusableReason::Down) => counts.down += 1,
                Some(UnusableReason::NoPath) => counts.without_path += 1,
                Some(UnusableReason::Cold) => counts.cold += 1,
                Some(UnusableReason::Limited | UnusableReason::LimitedElsewhere) => {
                    counts.limited += 1;
                }
                None if !pool.contains(gate, view) => counts.held_back += 1,
                None if !placement::has_capacity(&candidate) => counts.full += 1,
                None => counts.with_room += 1,
            }
        }
        counts
    }

    fn reserve(
        &mut self,
        now: Time,
        id: &TargetId,
        requirements: &Requirements,
    ) -> Option<ChosenTarget> {
        let suspicion = requirements.suspicion;
        let own_zone = self.settings.zone.clone();
        let side = self
            .targets
            .get(id)
            .and_then(|view| self.compared_side(view));
        let curve = self.load_curve(&self.targets.get(id)?.target.service);
        let view = self.targets.get_mut(id)?;
        let candidate = view.candidate(now, &own_zone, &curve);
        let duration = placement::expected_duration(
            &candidate,
            requirements.service_time,
            &self.tuning.placement,
        );
        let choice = ChosenTarget {
            side,
            suspicion,
            expected_end: now.after(duration),
            id: id.clone(),
            run: view.key,
            service: view.target.service.clone(),
            address: view.target.address,
            candidate,
            report_age: view.load_report.map(|report| now.since(report.at)),
        };
        view.in_flight += 1;
        view.ends.push(choice.expected_end);
        if suspicion > 0 {
            view.suspects.push(suspicion);
        }
        view.limit.record_sent(now);
        if view.is_cold(now) {
            view.record_cold_request(now);
        }
        Some(choice)
    }

    fn max_connections(&self, service: &ServiceName) -> usize {
        let configured = self
            .replica
            .configuration()
            .and_then(|configuration| configuration.services.get(service))
            .map_or(u32::MAX, |rules| rules.max_connections);
        let share = (f64::from(configured) * CONNECTION_FRACTION / self.instances()).floor();
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "a fraction of a u32"
        )]
        let share = share as usize;
        share.max(MIN_CONNECTIONS)
    }

    pub(super) fn cold_limit(&self, service: &ServiceName) -> f64 {
        let rate = self
            .replica
            .configuration()
            .and_then(|configuration| configuration.services.get(service))
            .map_or(f64::INFINITY, |rules| rules.cold_rate);
        rate * self.settings.cold_factor + self.settings.cold_slack
    }
}

/// Requests in a window that this instance may send to each cold target of a service whose
/// targets take `cold_limit` while cold. Without the other members, its share is unknown.
pub(super) fn cold_allowances(
    members: &Members,
    knows_members: bool,
    cold_limit: f64,
) -> impl Fn(&mut TargetState) -> usize {
    let generation = members.generation();
    move |view| {
        if knows_members {
            let rank = view.cold_rank(generation, |target| members.rank(target));
            cold_allowance(cold_limit, rank)
        } else {
            0
        }
    }
}
