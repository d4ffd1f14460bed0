//! This instance's view of one target.

use std::sync::Arc;
use std::time::Duration;

use indexmap::IndexSet;

use crate::entry::fleet::members::target_key;
use crate::entry::fleet::message::{Health, TargetReport};
use crate::entry::model::Target;
use crate::entry::target::load::{Load, LoadReport};
use crate::entry::target::load_curve::LoadCurve;
use crate::entry::target::notice::TargetNotice;
use crate::entry::target::placement::Candidate;
use crate::entry::target::target_limit::{LimitDecision, TargetLimit};
use crate::entry::target::target_path::TargetPath;
use crate::entry::window::{COLD_WINDOW, SlidingWindow};
use crate::names::{TargetId, ZoneName};
use crate::units::Time;

/// Age beyond which a report no longer shows the slowness of a target: two of the
/// infrequent heartbeats between zones, which are sent early when a report changes.
const MAX_REPORT_AGE: Duration = Duration::from_millis(900);
/// Time for which a target gets no requests after a connection to it was refused or
/// lost.
const DOWN_DURATION: Duration = Duration::from_millis(400);
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
    /// When they should end.
    pub ends: Vec<Time>,
    /// The crashes attributed to each of them that is suspected of crashing targets.
    pub suspects: Vec<u32>,
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
    pub(super) removed_at: Option<Time>,
    failure_rate: f64,
    failure_rate_at: Time,
    cold_requests: SlidingWindow,
    round_trip: Option<Duration>,
    /// What its responses say about further requests.
    pub notice: TargetNotice,
    /// Limit that it names, and what this instance has sent to it.
    pub limit: TargetLimit,
    /// Whether this instance can open connections to it.
    pub path: TargetPath,
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
    /// It wants nothing from this instance for so long.
    Paused(Duration),
    /// It cannot be reached.
    Down,
    /// This instance can open no connection to it, and none is idle.
    NoPath,
    /// It is cold, and this instance's share of its warm-up rate is used up.
    Cold,
    /// It names a limit, which is used up for now.
    Limited,
    /// It names a limit, which another instance uses.
    LimitedElsewhere,
}

impl TargetState {
    pub(super) fn new(now: Time, target: Target, notice: TargetNotice) -> Self {
        Self {
            key: target_key(&target.id, target.started_ms),
            cold_until: now.after(target.cold_for),
            target,
            in_flight: 0,
            ends: Vec::new(),
            suspects: Vec::new(),
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
            round_trip: None,
            notice,
            limit: TargetLimit::default(),
            path: TargetPath::default(),
            checks: SlidingWindow::default(),
            cold_rank: None,
        }
    }

    /// Whether it is still warming up.
    #[must_use]
    pub fn is_cold(&self, now: Time) -> bool {
        now < self.cold_until
    }

    /// Whether it gets no new requests because it is shutting down, by its record or its
    /// responses.
    #[must_use]
    pub fn is_leaving(&self) -> bool {
        self.target.leaving || self.notice.is_leaving()
    }

    /// Why it gets nothing new from this instance now, although it may have been selected.
    #[must_use]
    pub fn sending_refusal(&self, now: Time) -> Option<UnusableReason> {
        if self.is_leaving() || self.removed_at.is_some_and(|at| now >= at) {
            return Some(UnusableReason::Leaving);
        }
        self.notice.pause_left(now).map(UnusableReason::Paused)
    }

    /// Whether a health check may be sent to it now; records it if so.
    pub fn try_check(&mut self, now: Time) -> bool {
        self.notice.pause_left(now).is_none() && self.limit.try_check(now)
    }

    /// Whether it is registered and not about to leave.
    #[must_use]
    pub fn is_registered(&self) -> bool {
        !self.is_leaving() && self.removed_at.is_none()
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
        let reported = f64::from(load_report.load.occupied());
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

    /// Records how long it took to respond to what takes it no time of its own. The shortest
    /// time is that of the way; more is due to this instance or the target, and would keep
    /// requests from it that could find out.
    pub fn record_round_trip(&mut self, took: Duration) {
        self.round_trip = Some(self.round_trip.map_or(took, |known| known.min(took)));
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

    /// Whether it responded to its prober lately.
    #[must_use]
    pub fn is_reported_reachable(&self, now: Time) -> bool {
        let is_recent = |at| now.since(at) <= MAX_REPORT_AGE;
        self.health != Health::Unreachable && self.probed_at.is_some_and(is_recent)
    }

    /// Whether to check this instance's path to it now; records it if so.
    pub fn try_check_path(&mut self, now: Time) -> bool {
        let reported = self.probed_at.map(|at| (self.health, at));
        self.path.try_check(now, reported) && !self.is_leaving() && self.try_check(now)
    }

    /// Stops sending requests to it as no connection could be opened or it answered nothing.
    pub fn record_path_failure(&mut self, now: Time) {
        self.mark_down(now);
        self.path.record_failure(now);
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
        let refusal = self.sending_refusal(now);
        if refusal == Some(UnusableReason::Leaving) {
            return refusal;
        }
        if evacuated.contains(&self.target.zone) {
            return Some(UnusableReason::Evacuated);
        }
        if refusal.is_some() {
            return refusal;
        }
        match self.limit.decide(now) {
            LimitDecision::Send => {}
            LimitDecision::UsedUp => return Some(UnusableReason::Limited),
            LimitDecision::Elsewhere => return Some(UnusableReason::LimitedElsewhere),
        }
        if self.path.has_failed() && self.open_connections() <= self.in_flight as usize {
            return Some(UnusableReason::NoPath);
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

    /// Its load and state for the cost function; `curve` is its service's.
    #[must_use]
    pub fn candidate(&self, now: Time, own_zone: &ZoneName, curve: &LoadCurve) -> Candidate {
        let recent = self
            .load_report
            .filter(|load_report| now.since(load_report.at) <= MAX_REPORT_AGE);
        let (occupied, slots) = (self.occupied(), f64::from(self.target.slots));
        Candidate {
            slowness_percent: recent
                .map(|load_report| f64::from(load_report.load.slowness_percent)),
            occupied,
            slots,
            load_factor: curve.factor((occupied + 1.0) / slots.max(1.0)),
            round_trip: self.round_trip.unwrap_or_default(),
            same_zone: self.target.zone == *own_zone,
            connected: self.open_connections() > self.in_flight as usize,
            healthy: self.health == Health::Good,
            cold: self.is_cold(now),
            failure_rate: self.current_failure_rate(now),
            suspicion: self.suspects.iter().copied().max().unwrap_or(0),
        }
    }

    /// Its last load report and health, for peers; `None` without a recent report.
    pub(super) fn report(&self, now: Time) -> Option<TargetReport> {
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
    pub(super) fn is_down(&self, now: Time) -> bool {
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
