//! Scoring of targets for a request.
//!
//! Usually most slots are free, but a quarter of the targets run several times slower
//! for half a second at a time, and many instances select targets concurrently. Under
//! overload, queueing work until it is late would make all work late. A request is
//! therefore sent only to a free slot, and waits at the instance while a target could
//! still finish it within its latency objective.

use std::time::Duration;

/// Weights of the cost function.
#[derive(Debug, Clone, PartialEq)]
pub struct PlacementSettings {
    /// Added to the cost of a target in another zone, in units of usual work. Traffic
    /// between zones is expensive, and a slower target in the same zone is preferred up
    /// to this difference.
    pub cross_zone_cost: f64,
    /// Added to the cost of a target without an idle connection. Opening one takes some
    /// round trips and work at the target, while a target becomes slower only when it is
    /// nearly full. This is about the extra cost when the request takes the fifth of a
    /// target's six slots instead of the first.
    pub connect_cost: f64,
    /// Cost added for a full target, in units of usual work.
    pub fill_weight: f64,
    /// Cost multiplier of a target whose health check fails.
    pub unhealthy_factor: f64,
    /// Weight of a target's recent failure rate.
    pub failure_weight: f64,
    /// Cost multiplier of a cold target, one that is still warming up.
    pub cold_factor: f64,
    /// Targets within this cost of the best one share the requests, so that instances
    /// with the same view do not all select the same one.
    pub tie_margin: f64,
    /// Slowness assumed for a target without a recent report, in percent: the mean when
    /// a quarter of the targets run at seven times the usual.
    pub unknown_slowness: f64,
    /// Fill of a target up to which it takes requests that have waited too long to be in
    /// time.
    pub spare_fill: f64,
    /// Fraction of the time left to the latency objective within which a queued request
    /// must be expected to finish. The rest allows for work of varying length.
    pub objective_fraction: f64,
}

impl Default for PlacementSettings {
    fn default() -> Self {
        Self {
            cross_zone_cost: 0.35,
            connect_cost: 0.25,
            fill_weight: 0.4,
            unhealthy_factor: 4.0,
            failure_weight: 8.0,
            cold_factor: 2.0,
            tie_margin: 0.08,
            unknown_slowness: 250.0,
            spare_fill: 0.7,
            objective_fraction: 0.85,
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
    /// Typical service time, on a target of usual speed.
    pub service_time: Duration,
    /// Time left to the latency objective.
    pub objective_left: Duration,
    /// Time left to the deadline.
    pub deadline_left: Duration,
    /// Crashes of targets attributed to the request; at least 1 if it broke off on one.
    pub suspicion: u32,
}

/// Whether a target has a free slot. A request that it queues can no longer go to another one,
/// and beyond its queue it may hang.
#[must_use]
pub fn has_capacity(candidate: &Candidate) -> bool {
    candidate.occupied + 1.0 <= candidate.slots
}

/// Expected cost of another request at a target, in units of usual work.
#[must_use]
pub fn cost(candidate: &Candidate, settings: &PlacementSettings) -> f64 {
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
    let zone = if candidate.same_zone {
        0.0
    } else {
        settings.cross_zone_cost
    };
    let connect = if candidate.connected {
        0.0
    } else {
        settings.connect_cost
    };
    slowness * (candidate.load_factor + fill) * health * cold * failure_factor + zone + connect
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

/// Whether a target has capacity and is expected to finish the request within its latency
/// objective.
#[must_use]
pub fn finishes_in_time(
    candidate: &Candidate,
    requirements: &Requirements,
    settings: &PlacementSettings,
) -> bool {
    let objective = requirements
        .objective_left
        .mul_f64(settings.objective_fraction);
    has_capacity(candidate)
        && expected_duration(candidate, requirements.service_time, settings) <= objective
}

/// The index of the selected target; `draw` is in `0.0..1.0`.
///
/// Targets that finish the request within its objective come first. Without one, the request
/// is sent only if it will be late in any case, see [`may_be_late`].
///
/// Load pattern: requests that broke off together when their target crashed are retried
/// together, and the one that caused the crash would take the others with it again. Of the
/// targets that finish a suspect within its objective, it goes to one of those whose other
/// suspects have the fewest crashes.
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
        let chosen = cheapest(candidates, apart, settings, draw);
        if chosen.is_some() {
            return chosen;
        }
    }
    let chosen = cheapest(candidates, in_time, settings, draw);
    if chosen.is_some() || !may_be_late(candidates, requirements, settings) {
        return chosen;
    }
    let late = |candidate: &Candidate| finishes_late(candidate, requirements, settings);
    cheapest(candidates, late, settings, draw)
}

/// Whether a request may be sent where it ends late: no target would finish it within its
/// objective even with a free slot.
///
/// Load pattern: a burst above what the targets can run. A late response is worth little,
/// and the slot that it takes makes another request late.
#[must_use]
pub fn may_be_late<'a>(
    candidates: impl IntoIterator<Item = &'a Candidate>,
    requirements: &Requirements,
    settings: &PlacementSettings,
) -> bool {
    let is_fast_enough = |candidate: &Candidate| {
        let unloaded = Candidate {
            occupied: 0.0,
            load_factor: 1.0,
            ..*candidate
        };
        finishes_in_time(&unloaded, requirements, settings)
    };
    !candidates.into_iter().any(is_fast_enough)
}

/// Whether a target has a slot for a request that will be late, and is expected to finish it
/// before its deadline. A request that has waited too long only gets spare slots, as others
/// may still be in time.
#[must_use]
pub fn finishes_late(
    candidate: &Candidate,
    requirements: &Requirements,
    settings: &PlacementSettings,
) -> bool {
    let fill = (candidate.occupied + 1.0) / candidate.slots.max(1.0);
    let has_waited = requirements.service_time
        > requirements
            .objective_left
            .mul_f64(settings.objective_fraction);
    let max_fill = if has_waited && candidate.occupied > 0.0 {
        settings.spare_fill
    } else {
        1.0
    };
    fill <= max_fill
        && expected_duration(candidate, requirements.service_time, settings)
            <= requirements.deadline_left
}

/// Picks one of the cheapest eligible targets.
fn cheapest(
    candidates: &[Candidate],
    is_eligible: impl Fn(&Candidate) -> bool,
    settings: &PlacementSettings,
    draw: f64,
) -> Option<usize> {
    let costs: Vec<Option<f64>> = candidates
        .iter()
        .map(|candidate| is_eligible(candidate).then(|| cost(candidate, settings)))
        .collect();
    let best = costs
        .iter()
        .flatten()
        .copied()
        .fold(f64::INFINITY, f64::min);
    let tied: Vec<usize> = costs
        .iter()
        .enumerate()
        .filter(|(_, cost)| cost.is_some_and(|cost| cost <= best + settings.tie_margin))
        .map(|(index, _)| index)
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
