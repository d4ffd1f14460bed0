//! What the targets of a service can run for this instance, by which the waits of requests are
//! reckoned.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Duration;

use crate::entry::rollout::Pool;
use crate::entry::state::State;
use crate::entry::target::selection::cold_allowances;
use crate::entry::target::targets::{TargetState, UnusableReason};
use crate::entry::window::{COLD_WINDOW, MEMBER_DISCOVERY_TIME};
use crate::names::ServiceName;
use crate::units::Time;

/// Time over which the speed of a service's targets is averaged. A target may change its
/// speed several times a second, and a request that waits meets the mean of it.
const SPEED_MEMORY: Duration = Duration::from_secs(1);

/// What the targets of a service can run for this instance.
#[derive(Debug, Clone, PartialEq)]
pub struct Supply {
    /// Time until a target may take a request at all; zero unless each of them wants a pause
    /// or is cold.
    pub opens_in: Duration,
    /// Times until each of the slots becomes free that the instance counts on; empty if none
    /// is known.
    pub free_in: Vec<Duration>,
    /// Speed at which these slots work; 1.0 is the usual.
    pub speed: f64,
    /// Factor by which work takes longer than usual at the fastest target.
    pub slowdown: f64,
}

impl Supply {
    /// The times at which requests start if no other ones come.
    #[must_use]
    pub fn starts(&self) -> Starts {
        Starts {
            opens_in: self.opens_in,
            free_in: self.free_in.iter().copied().map(Reverse).collect(),
            speed: self.speed,
        }
    }

    /// Expected time that a request runs which usually takes `cost`.
    #[must_use]
    pub fn run_time(&self, cost: Duration) -> Duration {
        cost.mul_f64(self.slowdown)
    }
}

/// When requests start that are sent one after the other, each as soon as a slot is free.
#[derive(Debug, Clone)]
pub struct Starts {
    opens_in: Duration,
    free_in: BinaryHeap<Reverse<Duration>>,
    speed: f64,
}

impl Starts {
    /// Time until the next request starts. Zero if no slot is known: nothing says that there
    /// will be none.
    #[must_use]
    pub fn next(&self) -> Duration {
        let free_in = self.free_in.peek().map_or(Duration::ZERO, |free| free.0);
        self.opens_in.saturating_add(free_in)
    }

    /// Sends a request that usually takes `cost` to the next free slot.
    pub fn send(&mut self, cost: Duration) {
        if let Some(mut free) = self.free_in.peek_mut() {
            let took = Duration::try_from_secs_f64(cost.as_secs_f64() / self.speed);
            free.0 = free.0.saturating_add(took.unwrap_or(Duration::MAX));
        }
    }
}

/// Time until a request ends whose end was expected at `end`. One that is overdue is expected to
/// take as long again as it is overdue.
fn time_until(end: Time, now: Time) -> Duration {
    end.since(now).max(now.since(end))
}

/// Mean speed of a service's targets over [`SPEED_MEMORY`]; 1.0 is the usual.
#[derive(Debug, Clone, Copy)]
pub(crate) struct MeanSpeed {
    mean: f64,
    at: Time,
}

impl MeanSpeed {
    /// The mean once `speed` has been seen after `known`.
    fn next(known: Option<Self>, now: Time, speed: f64) -> Self {
        let Some(known) = known else {
            return Self {
                mean: speed,
                at: now,
            };
        };
        let age = now.since(known.at).as_secs_f64() / SPEED_MEMORY.as_secs_f64();
        let kept = (-age).exp();
        Self {
            mean: kept * known.mean + (1.0 - kept) * speed,
            at: now,
        }
    }
}

/// Sums over the targets of a service.
#[derive(Debug, Default)]
struct Sums {
    /// Slots of the targets that take requests.
    slots: f64,
    /// The same in slots of usual speed.
    usual_slots: f64,
    /// Times until the requests of this instance end that run there.
    own: Vec<Duration>,
    /// Slots that are filled by as many requests a second as limited and cold targets take.
    limited_slots: f64,
    /// Slots of the targets that take requests later, and the shortest time until then.
    later_slots: f64,
    opens_in: Option<Duration>,
    /// Lowest slowdown of a target.
    slowdown: Option<f64>,
}

impl State {
    /// What the targets of a service can run for this instance, for requests that usually
    /// take `service_time`.
    ///
    /// The instance counts on its equal share of the slots, or on those that it has if they
    /// are more: other instances may have little to do. It knows when its own requests there
    /// should end.
    pub(crate) fn supply(
        &mut self,
        now: Time,
        service: &ServiceName,
        service_time: Duration,
    ) -> Supply {
        let pool = self.main_pool(service);
        let instances = self.instances();
        let sums = self.sum_targets(now, service, service_time, &pool);
        let mut slots = sums.later_slots / instances;
        let mut usual_slots = slots;
        let mut opens_in = sums.opens_in.unwrap_or_default();
        if sums.slots > 0.0 || sums.limited_slots > 0.0 {
            opens_in = Duration::ZERO;
            slots = (sums.slots / instances).max(as_f64(sums.own.len()));
            usual_slots = slots * self.mean_speed(now, service, &sums) + sums.limited_slots;
            slots += sums.limited_slots;
        }
        let count = ceil(slots);
        let speed = usual_slots / as_f64(count).max(1.0);
        let others = count.saturating_sub(sums.own.len());
        // Those that other instances use become free one after the other.
        let of_others = (0..others).map(|number| {
            let part = (as_f64(number) + 0.5) / as_f64(others);
            service_time.mul_f64(part / speed.max(f64::EPSILON))
        });
        Supply {
            opens_in,
            free_in: sums.own.into_iter().chain(of_others).collect(),
            speed,
            slowdown: sums.slowdown.unwrap_or(1.0),
        }
    }

    /// Mean speed of the targets of a service that take requests; 1.0 if there are none, of
    /// which nothing is learned.
    fn mean_speed(&mut self, now: Time, service: &ServiceName, sums: &Sums) -> f64 {
        if sums.slots <= 0.0 {
            return 1.0;
        }
        let speed = sums.usual_slots / sums.slots;
        let known = self.mean_speeds.get(service).copied();
        let known = MeanSpeed::next(known, now, speed);
        self.mean_speeds.insert(service.clone(), known);
        known.mean
    }

    fn sum_targets(
        &mut self,
        now: Time,
        service: &ServiceName,
        service_time: Duration,
        pool: &Pool,
    ) -> Sums {
        let age = now.since(self.started);
        let cold_limit = self.cold_limit(service);
        let knows_members = age >= MEMBER_DISCOVERY_TIME;
        let allowance = cold_allowances(&self.members, knows_members, cold_limit);
        let own_zone = &self.settings.zone;
        let curve = self.load_curves.get(service).copied().unwrap_or_default();
        let gate = self.rollouts.gate(service);
        let (views, evacuated) = self.targets.service_targets(service);
        let mut sums = Sums::default();
        for view in views.filter(|view| pool.contains(gate, view)) {
            let slots = f64::from(view.target.slots);
            let mut add_later = |left: Duration| {
                sums.later_slots += slots;
                sums.opens_in = Some(sums.opens_in.map_or(left, |known| known.min(left)));
            };
            match view.unusable_reason(now, evacuated, &allowance) {
                Some(
                    UnusableReason::Leaving
                    | UnusableReason::Evacuated
                    | UnusableReason::Down
                    | UnusableReason::NoPath
                    | UnusableReason::LimitedElsewhere,
                ) => continue,
                Some(UnusableReason::Paused(left)) => {
                    add_later(left);
                    continue;
                }
                Some(UnusableReason::Cold | UnusableReason::Limited) | None => {}
            }
            let candidate = view.candidate(now, own_zone, &curve);
            let reported = candidate.slowness_percent.unwrap_or(100.0) / 100.0;
            let slowdown = reported.max(f64::EPSILON) * curve.factor(1.0);
            if let Some(rate) = max_rate(view, now, &allowance) {
                if rate > 0.0 {
                    let taken = rate * service_time.as_secs_f64();
                    sums.limited_slots += taken.min(slots / slowdown);
                } else {
                    let left = view.cold_until.since(now);
                    add_later(if knows_members {
                        left
                    } else {
                        left.min(MEMBER_DISCOVERY_TIME.saturating_sub(age))
                    });
                    continue;
                }
            } else {
                sums.slots += slots;
                sums.usual_slots += slots / slowdown;
                let own = view.ends.iter().map(|end| time_until(*end, now));
                sums.own.extend(own);
            }
            let fastest = sums.slowdown.map_or(slowdown, |known| known.min(slowdown));
            sums.slowdown = Some(fastest);
        }
        sums
    }
}

#[expect(clippy::cast_precision_loss, reason = "some thousand slots")]
fn as_f64(count: usize) -> f64 {
    count as f64
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "some thousand slots"
)]
fn ceil(slots: f64) -> usize {
    slots.ceil() as usize
}

/// Requests a second that a target takes from this instance, if that is limited.
fn max_rate(
    view: &mut TargetState,
    now: Time,
    allowance: impl Fn(&mut TargetState) -> usize,
) -> Option<f64> {
    let limit = view.limit.per_second(now);
    if !view.is_cold(now) {
        return limit;
    }
    let allowed = allowance(view);
    if allowed == usize::MAX {
        return limit;
    }
    let rate = as_f64(allowed) / COLD_WINDOW.as_secs_f64();
    Some(limit.map_or(rate, |limit| limit.min(rate)))
}

#[cfg(test)]
mod tests;
