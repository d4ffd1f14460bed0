//! Admission control for one shard: its owner alone grants the slots of its
//! targets.
//!
//! Every method takes the current time and returns the actions that the caller
//! must carry out. None of them sleeps, does I/O or reads a clock, so tests can
//! replay any sequence of events.

use std::net::SocketAddr;
use std::time::Duration;

use indexmap::IndexMap;

use super::limit::{Health, Load, TargetLimit};
use super::permit::{
    CallReport, CallResult, Permit, PermitId, Refusal, ShardCapacity, SlotOutcome, SlotRequest,
};
use super::queue::{Queue, QueuedRequest};
use crate::names::{InstanceId, ShardId, TargetId};
use crate::resource::Rank;
use crate::units::Time;

mod borrowed;
mod estimate;
mod settings;
mod slots;
mod withheld;

pub(crate) use borrowed::MIN_BORROWED_TTL;
use borrowed::borrowed_expiry;
use estimate::Estimate;
pub use settings::{ShardRules, ShardSettings};
pub use slots::Slots;

/// Maximum delay of a target's load report. Calls that were in flight within
/// this time are taken for the shard's own work, not for foreign load.
const REPORT_LAG: Duration = Duration::from_secs(1);
/// Expected wait while too few calls have been observed for an estimate.
const DEFAULT_WAIT: Duration = Duration::from_millis(5);
/// Percentage of the shard's targets that may be ejected at once; at least one
/// may be.
const MAX_EJECTED_PERCENT: usize = 30;

/// A target's state as tracked by the owner of its shard.
#[derive(Debug, Clone, PartialEq)]
pub struct TargetState {
    /// Address on which the target accepts calls.
    pub address: SocketAddr,
    /// Whether the target is leaving; it then gets no new calls.
    pub leaving: bool,
    /// Permits granted on the target and not returned yet.
    pub in_flight: u32,
    /// Concurrency limit, adapted to the target's responses.
    pub limit: TargetLimit,
    /// Sequence number of the last grant, for least-recently-used selection.
    last_grant: u64,
    /// Highest `in_flight` in the last one to two seconds.
    peak: Peak,
}

/// Highest number of permits in flight in the current and the previous period
/// of length [`REPORT_LAG`].
#[derive(Debug, Clone, Copy, PartialEq, Default)]
struct Peak {
    since: Time,
    current: u32,
    previous: u32,
}

impl Peak {
    fn record(&mut self, now: Time, in_flight: u32) {
        if now >= self.since.after(REPORT_LAG) {
            let recent = now < self.since.after(REPORT_LAG * 2);
            self.previous = if recent { self.current } else { 0 };
            self.current = 0;
            self.since = now;
        }
        self.current = self.current.max(in_flight);
    }

    fn max(&self) -> u32 {
        self.current.max(self.previous)
    }
}

/// A permit that the shard has granted and that has not been returned.
#[derive(Debug, Clone, PartialEq)]
pub struct Outstanding {
    /// Target that the permit is for.
    pub target: TargetId,
    /// Time of the grant.
    pub granted_at: Time,
    /// Time at which a borrowed permit expires; an owner's own permit is kept
    /// until it is released.
    pub deadline: Time,
    /// Instance that runs the call, `None` for the owner itself.
    pub borrower: Option<InstanceId>,
    /// Whether the permit was lent in advance, before a call needed it.
    pub lent: bool,
}

/// A decision on a request that was queued.
#[derive(Debug, Clone, PartialEq)]
pub struct Decision {
    /// Identifier of the request.
    pub id: PermitId,
    /// Either `Granted` or `Refused`, never `Queued`.
    pub outcome: SlotOutcome,
}

/// Slots, queue and outstanding permits of one shard.
#[derive(Debug, Clone)]
pub struct Shard {
    settings: ShardSettings,
    in_service: bool,
    targets: IndexMap<TargetId, TargetState>,
    outstanding: IndexMap<PermitId, Outstanding>,
    queue: Queue,
    estimate: Estimate,
    grant_count: u64,
    /// Lower bound of the deadlines of borrowed permits; avoids scans that
    /// would find nothing.
    earliest_expiry: Time,
    withheld: withheld::Withheld,
}

impl Shard {
    /// Creates a shard without targets.
    #[must_use]
    pub fn new(settings: ShardSettings) -> Self {
        Self {
            settings,
            in_service: true,
            targets: IndexMap::new(),
            outstanding: IndexMap::new(),
            queue: Queue::default(),
            estimate: Estimate::default(),
            grant_count: 0,
            earliest_expiry: Time::MAX,
            withheld: withheld::Withheld::default(),
        }
    }

    /// Replaces the settings and whether the shard's zone is in service.
    ///
    /// When the zone returns to service, every target starts its ramp again.
    pub fn configure(&mut self, now: Time, settings: ShardSettings, in_service: bool) {
        if in_service && !self.in_service {
            for target in self.targets.values_mut() {
                target.limit.restart_ramp(now);
            }
        }
        self.settings = settings;
        self.in_service = in_service;
    }

    /// Replaces the list of targets and keeps the state of those that remain.
    ///
    /// A target that is no longer listed is kept as leaving until its last
    /// permit has been returned.
    pub fn set_targets(
        &mut self,
        now: Time,
        listed: impl Iterator<Item = (TargetId, SocketAddr, bool)>,
    ) {
        for target in self.targets.values_mut() {
            target.leaving = true;
        }
        let mut added = Vec::new();
        for (id, address, leaving) in listed {
            if !self.targets.contains_key(&id) {
                added.push(id.clone());
            }
            let target = self.targets.entry(id).or_insert_with(|| TargetState {
                address,
                leaving,
                in_flight: 0,
                limit: TargetLimit::cold(now),
                last_grant: 0,
                peak: Peak::default(),
            });
            if target.address != address {
                target.address = address;
                target.limit = TargetLimit::cold(now);
            }
            target.leaving = leaving;
        }
        for id in added {
            self.withhold_listed(now, &id);
        }
        self.targets
            .retain(|_, target| !target.leaving || target.in_flight > 0);
    }

    /// Requests a slot. Returns the outcome, and the decisions on queued
    /// requests that result from it.
    pub fn request_slot(
        &mut self,
        now: Time,
        request: SlotRequest,
    ) -> (SlotOutcome, Vec<Decision>) {
        let mut decisions = Vec::new();
        if !self.queue.is_empty() {
            decisions = self.advance(now);
        }
        let outcome = self.decide(now, request, &mut decisions);
        (outcome, decisions)
    }

    fn decide(
        &mut self,
        now: Time,
        request: SlotRequest,
        decisions: &mut Vec<Decision>,
    ) -> SlotOutcome {
        if now >= request.deadline {
            return SlotOutcome::Refused(Refusal::TooLate);
        }
        let slots = self.slots(now);
        if slots.targets == 0 {
            return SlotOutcome::Refused(Refusal::NoTarget);
        }
        if let Some(permit) = self.try_grant(now, &request, slots) {
            return SlotOutcome::Granted(permit);
        }
        if !request.may_wait {
            return SlotOutcome::Refused(Refusal::Full);
        }
        if let Some(refusal) = self.predicted_refusal(now, &request, slots) {
            return SlotOutcome::Refused(refusal);
        }
        if self.queue.len() >= self.settings.queue_length {
            let Some(displaced) = self.queue.displace(&request) else {
                return SlotOutcome::Refused(Refusal::Full);
            };
            decisions.push(Decision {
                id: displaced.request.id,
                outcome: SlotOutcome::Refused(Refusal::Full),
            });
        }
        let expires_at = request.deadline.min(now.after(self.settings.queue_wait));
        self.queue.push(QueuedRequest {
            request,
            expires_at,
        });
        SlotOutcome::Queued
    }

    /// Refuses a request that would not get a slot in time, going by the
    /// observed time for which slots are held.
    fn predicted_refusal(&self, now: Time, request: &SlotRequest, slots: Slots) -> Option<Refusal> {
        let usable = slots.total - self.reserve(request.rank, slots);
        let wait = self.estimate.wait(self.queue.ahead(request), usable)?;
        if now.after(wait + self.estimate.min_hold()) > request.deadline {
            return Some(Refusal::TooLate);
        }
        (wait > self.settings.queue_wait).then_some(Refusal::Full)
    }

    /// Returns how many more calls the shard can take.
    #[must_use]
    pub fn capacity(&self, now: Time, id: &ShardId) -> ShardCapacity {
        let slots = self.slots(now);
        let reserved = self.reserve(Rank(u8::MAX), slots);
        let wait = self.estimate.wait(self.queue.len(), slots.total);
        let wait = wait.unwrap_or(DEFAULT_WAIT);
        ShardCapacity {
            shard: id.clone(),
            total: slots.total,
            free: slots.free.saturating_sub(reserved),
            urgent_free: slots.free,
            wait_us: u64::try_from(wait.as_micros()).unwrap_or(u64::MAX),
        }
    }

    /// Takes back a permit and grants its slot to queued requests.
    pub fn release(&mut self, now: Time, id: PermitId, report: &CallReport) -> Vec<Decision> {
        let Some(outstanding) = self.outstanding.swap_remove(&id) else {
            return Vec::new();
        };
        let limit = self.settings.limit();
        if report.result != CallResult::Unsent {
            let hold_time = if outstanding.lent {
                Duration::from_micros(report.latency_us)
            } else {
                now.since(outstanding.granted_at)
            };
            self.estimate.record(report.result, hold_time);
        }
        let may_be_outlier = self.targets.get_mut(&outstanding.target).is_some_and(|t| {
            t.peak.record(now, t.in_flight);
            t.in_flight = t.in_flight.saturating_sub(1);
            if let Some(load) = report.load {
                t.limit.apply_load(now, load, t.peak.max(), &limit);
            }
            t.limit
                .record_result(now, report.result, report.latency_us, &limit)
        });
        if may_be_outlier {
            self.eject_outlier(now, &outstanding.target);
        }
        if self.queue.is_empty() {
            return Vec::new();
        }
        self.advance(now)
    }

    /// Removes a request from the queue; false when it is not queued any more.
    pub fn withdraw(&mut self, id: PermitId) -> bool {
        self.queue.remove(id).is_some()
    }

    /// Expires permits and queued requests that are past their deadline, and
    /// grants free slots to queued requests.
    pub fn advance(&mut self, now: Time) -> Vec<Decision> {
        self.expire_permits(now);
        let expired = self.queue.expire(now, self.estimate.min_hold());
        let mut decisions = refused(expired, Refusal::TooLate);
        while !self.queue.is_empty() {
            let slots = self.slots(now);
            if slots.targets == 0 {
                decisions.extend(refused(self.queue.clear(), Refusal::NoTarget));
                break;
            }
            let Some(permit) = self.grant_queued(now, slots) else {
                break;
            };
            decisions.push(Decision {
                id: permit.id,
                outcome: SlotOutcome::Granted(permit),
            });
        }
        decisions
    }

    fn grant_queued(&mut self, now: Time, slots: Slots) -> Option<Permit> {
        if slots.free == 0 {
            return None;
        }
        let reserved = self.reserve(Rank(u8::MAX), slots);
        let limit = self.settings.limit();
        let targets = &self.targets;
        let fits = |request: &SlotRequest| {
            let reserve = if request.rank == Rank::URGENT {
                0
            } else {
                reserved
            };
            slots.free > reserve
                && slots::pick_target(targets, now, &limit, &request.excluded).is_some()
        };
        let queued = self.queue.take(fits)?;
        self.try_grant(now, &queued.request, slots)
    }

    /// Applies a target's health report.
    pub fn apply_health(&mut self, now: Time, target: &TargetId, health: &Health) {
        if let Some(target) = self.targets.get_mut(target) {
            target.limit.apply_health(now, health);
        }
    }

    /// Applies a target's load report.
    pub fn apply_load(&mut self, now: Time, target: &TargetId, load: Load) {
        let limit = self.settings.limit();
        if let Some(target) = self.targets.get_mut(target) {
            target.peak.record(now, target.in_flight);
            let recent_peak = target.peak.max();
            target.limit.apply_load(now, load, recent_peak, &limit);
        }
    }

    /// The targets and their state.
    #[must_use]
    pub fn targets(&self) -> &IndexMap<TargetId, TargetState> {
        &self.targets
    }

    /// The permits that are granted and not returned, by identifier.
    #[must_use]
    pub fn outstanding(&self) -> &IndexMap<PermitId, Outstanding> {
        &self.outstanding
    }

    /// Number of requests in the queue.
    #[must_use]
    pub fn waiting(&self) -> usize {
        self.queue.len()
    }

    /// Counts the slots of the targets that may get calls; zero while the zone
    /// is out of service.
    #[must_use]
    pub fn slots(&self, now: Time) -> Slots {
        if !self.in_service {
            return Slots::default();
        }
        slots::count(&self.targets, now, &self.settings.limit())
    }

    /// Number of slots that a call of this rank must leave free for urgent
    /// calls.
    #[must_use]
    pub fn reserve(&self, rank: Rank, slots: Slots) -> u32 {
        if rank == Rank::URGENT || !self.settings.rules.reserve {
            return 0;
        }
        let percent = u32::from(self.settings.reserve_percent.min(100));
        (slots.total * percent)
            .div_ceil(100)
            .min(slots.total.saturating_sub(1))
    }

    fn try_grant(&mut self, now: Time, request: &SlotRequest, slots: Slots) -> Option<Permit> {
        let limit = self.settings.limit();
        let index = if slots.free > self.reserve(request.rank, slots) {
            slots::pick_target(&self.targets, now, &limit, &request.excluded)?
        } else if self.settings.rules.limit || slots.targets == 0 {
            return None;
        } else {
            0
        };
        self.grant_count += 1;
        let (id, target) = self.targets.get_index_mut(index)?;
        target.in_flight += 1;
        target.last_grant = self.grant_count;
        target.peak.record(now, target.in_flight);
        let permit = Permit {
            id: request.id,
            target: id.clone(),
            address: target.address,
            deadline: request.deadline,
        };
        let mut deadline = request.deadline;
        if request.borrower.is_some() {
            deadline = borrowed_expiry(now, deadline.max(now.after(MIN_BORROWED_TTL)));
            self.earliest_expiry = self.earliest_expiry.min(deadline);
        }
        let outstanding = Outstanding {
            target: permit.target.clone(),
            granted_at: now,
            deadline,
            borrower: request.borrower.clone(),
            lent: false,
        };
        self.outstanding.insert(request.id, outstanding);
        Some(permit)
    }

    /// Ejects a target that fails its calls or is far slower than the others,
    /// unless too many targets are ejected already.
    fn eject_outlier(&mut self, now: Time, id: &TargetId) {
        let Some(target) = self.targets.get(id) else {
            return;
        };
        let median = slots::median_latency(&self.targets);
        if target.limit.is_ejected(now) || !target.limit.is_outlier(median) {
            return;
        }
        let active = self.targets.values().filter(|target| !target.leaving);
        let ejected = active.clone().filter(|t| t.limit.is_ejected(now)).count();
        let active = active.count();
        let allowed = (active * MAX_EJECTED_PERCENT / 100).max(1);
        if active < 2 || ejected >= allowed {
            return;
        }
        if let Some(target) = self.targets.get_mut(id) {
            target.limit.eject(now);
        }
    }
}

fn refused(queued: Vec<QueuedRequest>, refusal: Refusal) -> Vec<Decision> {
    let decision = |queued: QueuedRequest| Decision {
        id: queued.request.id,
        outcome: SlotOutcome::Refused(refusal),
    };
    queued.into_iter().map(decision).collect()
}

#[cfg(test)]
mod tests;
