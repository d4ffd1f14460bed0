//! Scoring of targets for a request.
//!
//! Usually most slots are free, but a quarter of the targets run several times slower
//! for half a second at a time, and many instances select targets concurrently. A request
//! that a target queues can't go to another one any more. It is therefore sent only to a
//! free slot where it ends within its caller's time, and waits at the instance while it is
//! expected to be answered sooner by a faster target that is full now.

use std::time::Duration;

/// Weights of the cost function.
#[derive(Debug, Clone, PartialEq)]
pub struct PlacementSettings {
    /// Cost added for a full target, in units of usual work: reports are old, and requests of
    /// other instances may be on their way to it.
    pub fill_weight: f64,
    /// Cost multiplier of a target whose health check fails.
    pub unhealthy_factor: f64,
    /// Weight of a target's recent failure rate.
    pub failure_weight: f64,
    /// Cost multiplier of a cold target, one that is still warming up.
    pub cold_factor: f64,
    /// Targets within this cost of the best one share the requests, so that instances
    /// with the same view do not all select the same one. Of these, one in the same zone
    /// comes first, then one with an open connection: no caller waits longer for it, and
    /// a link or handshake less can fail.
    pub tie_margin: f64,
    /// Slowness assumed for a target without a recent report, in percent: the mean when
    /// a quarter of the targets run at seven times the usual.
    pub unknown_slowness: f64,
}

impl Default for PlacementSettings {
    fn default() -> Self {
        Self {
            fill_weight: 0.4,
            unhealthy_factor: 4.0,
            failure_weight: 8.0,
            cold_factor: 2.0,
            tie_margin: 0.08,
            unknown_slowness: 250.0,
        }
    }
}

/// Load and state of a target, as the cost function sees them.
#[derive(Debug, Clone, Copy, PartialEq)]
#[expect(
    clippy::struct_excessive_bools,
    reason = "independent facts of a target"
)]
pub struct Candidate {
    /// Duration of work in percent of the usual; `None` without a recent report.
    pub slowness_percent: Option<f64>,
    /// Requests that run or wait there.
    pub occupied: f64,
    /// Requests that it runs concurrently.
    pub slots: f64,
    /// Factor by which work takes longer there with another request; see
    /// [`LoadCurve`](crate::entry::target::load_curve::LoadCurve).
    pub load_factor: f64,
    /// Shortest round trip to it that was measured; zero before.
    pub round_trip: Duration,
    /// Whether it is in this instance's zone.
    pub same_zone: bool,
    /// Whether an idle connection to it is open.
    pub connected: bool,
    /// Whether its health check succeeds.
    pub healthy: bool,
    /// Whether it is still warming up.
    pub cold: bool,
    /// Fraction of its recent requests that failed.
    pub failure_rate: f64,
    /// Crashes attributed to the most suspicious request that it runs for this instance.
    pub suspicion: u32,
}

/// What a request requires of its target.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Requirements {
    /// Typical service time, on a target of usual speed; zero until it is known, as nothing
    /// then says that the request would take too long.
    pub service_time: Duration,
    /// Time left to the deadline, until which its caller waits.
    pub deadline_left: Duration,
    /// Fraction of the slots that become free which this instance can count on.
    pub slot_share: f64,
    /// Crashes of targets attributed to the request; at least 1 if it broke off on one.
    pub suspicion: u32,
}

/// Whether a target has a free slot. A request that it queues can no longer go to another one,
/// and beyond its queue it may hang.
#[must_use]
pub fn has_capacity(candidate: &Candidate) -> bool {
    candidate.occupied + 1.0 <= candidate.slots
}

/// Expected cost of another request that usually takes `service_time` at a target, in units of
/// usual work.
#[must_use]
pub fn cost(candidate: &Candidate, service_time: Duration, settings: &PlacementSettings) -> f64 {
    let slowness = candidate
        .slowness_percent
        .unwrap_or(settings.unknown_slowness)
        / 100.0;
    let load = (candidate.occupied + 1.0) / candidate.slots.max(1.0);
    let fill = settings.fill_weight * load.min(1.0).powi(2);
    let health = if candidate.healthy {
        1.0
    } else {
        settings.unhealthy_factor
    };
    let cold = if candidate.cold {
        settings.cold_factor
    } else {
        1.0
    };
    let failure_factor = 1.0 + settings.failure_weight * candidate.failure_rate;
    let travel = if service_time.is_zero() {
        0.0
    } else {
        travel_time(candidate).as_secs_f64() / service_time.as_secs_f64()
    };
    slowness * (candidate.load_factor + fill) * health * cold * failure_factor + travel
}

/// Time that a request and its response are on their way. Opening a connection takes another
/// round trip.
fn travel_time(candidate: &Candidate) -> Duration {
    let round_trips = if candidate.connected { 1 } else { 2 };
    candidate.round_trip * round_trips
}

/// Expected duration of another request at a target.
#[must_use]
pub fn expected_duration(
    candidate: &Candidate,
    service_time: Duration,
    settings: &PlacementSettings,
) -> Duration {
    // Most targets are of usual speed at any moment.
    let slowness = candidate.slowness_percent.unwrap_or(100.0) / 100.0;
    let cold = if candidate.cold {
        settings.cold_factor
    } else {
        1.0
    };
    service_time.mul_f64(slowness * cold * candidate.load_factor)
}

/// Whether a target has capacity and is expected to finish the request before its deadline.
#[must_use]
pub fn finishes_in_time(
    candidate: &Candidate,
    requirements: &Requirements,
    settings: &PlacementSettings,
) -> bool {
    has_capacity(candidate)
        && expected_duration(candidate, requirements.service_time, settings)
            <= requirements.deadline_left
}

/// The index of the selected target; `draw` is in `0.0..1.0`.
///
/// It is one of those with a free slot that finish the request before its deadline, unless the
/// request is expected to be answered sooner by waiting, see [`expected_by_waiting`].
///
/// Load pattern: requests that broke off together when their target crashed are retried
/// together, and the one that caused the crash would take the others with it again. Of the
/// targets that finish a suspect in time, it goes to one of those whose other suspects have
/// the fewest crashes.
#[must_use]
pub fn choose(
    candidates: &[Candidate],
    requirements: &Requirements,
    settings: &PlacementSettings,
    draw: f64,
) -> Option<usize> {
    let in_time = |candidate: &Candidate| finishes_in_time(candidate, requirements, settings);
    if requirements.suspicion > 0 {
        let eligible = candidates.iter().filter(|candidate| in_time(candidate));
        let least = eligible.map(|candidate| candidate.suspicion).min();
        let apart =
            |candidate: &Candidate| Some(candidate.suspicion) == least && in_time(candidate);
        let chosen = cheapest(candidates, apart, requirements, settings, draw);
        if chosen.is_some() {
            return chosen;
        }
    }
    let eligible = |candidate: &Candidate| {
        in_time(candidate) && !is_worth_waiting(candidate, candidates, requirements, settings)
    };
    cheapest(candidates, eligible, requirements, settings, draw)
}

/// Whether a request is expected to be answered sooner, and in time, if it waits for one of
/// the `others` instead of going to `candidate`.
///
/// Load pattern: a burst fills the fast targets, and slots are free only at those in a slow
/// spell. Work that starts there takes several times as long as the wait for a slot at one of
/// the fast ones.
#[must_use]
pub fn is_worth_waiting(
    candidate: &Candidate,
    others: &[Candidate],
    requirements: &Requirements,
    settings: &PlacementSettings,
) -> bool {
    let here = expected_duration(candidate, requirements.service_time, settings);
    expected_by_waiting(here, others, requirements, settings)
        .is_some_and(|waiting| waiting < here && waiting <= requirements.deadline_left)
}

/// Expected time until the response if a request waits for a slot at one of the full targets
/// that run it faster than `here`; `None` without any.
fn expected_by_waiting(
    here: Duration,
    targets: &[Candidate],
    requirements: &Requirements,
    settings: &PlacementSettings,
) -> Option<Duration> {
    let (mut freed_per_second, mut slots, mut slot_seconds) = (0.0, 0.0, 0.0);
    for target in targets.iter().filter(|target| !has_capacity(target)) {
        let duration = expected_duration(target, requirements.service_time, settings);
        if duration < here && !duration.is_zero() {
            freed_per_second += target.slots / duration.as_secs_f64();
            slots += target.slots;
            slot_seconds += target.slots * duration.as_secs_f64();
        }
    }
    let wait = 1.0 / (freed_per_second * requirements.slot_share);
    let waiting = Duration::try_from_secs_f64(wait + slot_seconds / slots);
    // There is no faster one if it is not a number.
    waiting.ok()
}

/// Picks one of the cheapest eligible targets; of those, one of the nearest.
fn cheapest(
    candidates: &[Candidate],
    is_eligible: impl Fn(&Candidate) -> bool,
    requirements: &Requirements,
    settings: &PlacementSettings,
    draw: f64,
) -> Option<usize> {
    let costs: Vec<Option<f64>> = candidates
        .iter()
        .map(|candidate| {
            is_eligible(candidate).then(|| cost(candidate, requirements.service_time, settings))
        })
        .collect();
    let best = costs
        .iter()
        .flatten()
        .copied()
        .fold(f64::INFINITY, f64::min);
    let is_tied =
        |index: &usize| costs[*index].is_some_and(|cost| cost <= best + settings.tie_margin);
    let nearness = |index: usize| (candidates[index].same_zone, candidates[index].connected);
    let nearest = (0..candidates.len()).filter(is_tied).map(nearness).max()?;
    let tied: Vec<usize> = (0..candidates.len())
        .filter(|index| is_tied(index) && nearness(*index) == nearest)
        .collect();
    tied.get(index_for_draw(tied.len(), draw)).copied()
}

/// Maps a `draw` in `0.0..1.0` to an index below `count`.
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    clippy::cast_precision_loss,
    reason = "an index among some thousand"
)]
pub(crate) fn index_for_draw(count: usize, draw: f64) -> usize {
    ((draw * count as f64) as usize).min(count.saturating_sub(1))
}

#[cfg(test)]
mod tests;
