//! Which target takes a request.
//!
//! Load pattern: most slots are free, but a quarter of the targets run several times
//! slower in spells of half a second, and many instances choose at the same time.
//! When callers want more than the targets can do, work that queues until it is late
//! would make all of it late, so a request is queued at a target only while it can
//! still end within its latency objective.

use std::time::Duration;

/// How targets are weighed.
#[derive(Debug, Clone, PartialEq)]
pub struct PlacementSettings {
    /// Added to the cost of a target in another zone, in units of usual work: bytes
    /// between zones are dear, and a slower target near is not worth more than this.
    pub zone_offset: f64,
    /// Added to the cost of a target to which a connection must be opened first: some
    /// round trips, and work at the target, which slows down only when it is nearly
    /// full; as much as a target with five slots of six in use costs more than an idle
    /// one.
    pub connect_offset: f64,
    /// Cost that a full target adds, in units of usual work.
    pub fill_weight: f64,
    /// Cost multiplier of a target whose health check fails.
    pub unhealthy: f64,
    /// Weight of a target's recent failures.
    pub failing: f64,
    /// Cost multiplier of a cold target.
    pub cold: f64,
    /// Targets within this cost of the best one share the requests, so that instances
    /// with the same view don't all choose the same one.
    pub tie: f64,
    /// Slowness that is expected of a target without a recent report, in percent: a
    /// quarter of the targets at seven times the usual.
    pub unknown_slowness: f64,
    /// Requests beyond its slots that a target is given, as a part of its slots.
    pub queue: f64,
    /// Part of the time left to the latency objective within which the expected end
    /// must lie for a request to queue; the rest allows for work that varies.
    pub objective_part: f64,
}

impl Default for PlacementSettings {
    fn default() -> Self {
        Self {
            zone_offset: 0.35,
            connect_offset: 0.25,
            fill_weight: 0.4,
            unhealthy: 4.0,
            failing: 8.0,
            cold: 2.0,
            tie: 0.08,
            unknown_slowness: 250.0,
            queue: 1.0,
            objective_part: 0.85,
        }
    }
}

/// A target as placement sees it.
#[derive(Debug, Clone, Copy, PartialEq)]
#[expect(
    clippy::struct_excessive_bools,
    reason = "independent facts of a target"
)]
pub struct Candidate {
    /// Time that work takes, in percent of the usual; `None` without a recent report.
    pub slowness_percent: Option<f64>,
    /// Requests that run and wait there.
    pub occupied: f64,
    /// Requests that it runs at a time.
    pub slots: f64,
    /// Whether it is in this instance's zone.
    pub same_zone: bool,
    /// Whether an idle connection to it is open.
    pub connected: bool,
    /// Whether its health check succeeds.
    pub healthy: bool,
    /// Whether it is cold.
    pub cold: bool,
    /// Part of its recent requests that failed.
    pub failing: f64,
}

/// What a request needs of its target.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Need {
    /// Usual time of the work.
    pub typical: Duration,
    /// Time left to the latency objective.
    pub objective_left: Duration,
    /// Time left to the deadline.
    pub left: Duration,
}

/// Whether another request may be sent to a target at all; beyond this it may hang.
#[must_use]
pub fn has_room(candidate: &Candidate, settings: &PlacementSettings) -> bool {
    candidate.occupied + 1.0 <= candidate.slots * (1.0 + settings.queue)
}

/// Expected cost of another request at a target, in units of usual work.
#[must_use]
pub fn cost(candidate: &Candidate, settings: &PlacementSettings) -> f64 {
    let slowness = candidate
        .slowness_percent
        .unwrap_or(settings.unknown_slowness)
        / 100.0;
    let load = (candidate.occupied + 1.0) / candidate.slots.max(1.0);
    let waiting = (load - 1.0).max(0.0);
    let fill = settings.fill_weight * load.min(1.0).powi(2);
    let health = if candidate.healthy {
        1.0
    } else {
        settings.unhealthy
    };
    let cold = if candidate.cold { settings.cold } else { 1.0 };
    let failing = 1.0 + settings.failing * candidate.failing;
    let zone = if candidate.same_zone {
        0.0
    } else {
        settings.zone_offset
    };
    let connect = if candidate.connected {
        0.0
    } else {
        settings.connect_offset
    };
    slowness * (1.0 + fill + waiting) * health * cold * failing + zone + connect
}

/// Expected time until another request ends at a target.
#[must_use]
pub fn expected_end(
    candidate: &Candidate,
    typical: Duration,
    settings: &PlacementSettings,
) -> Duration {
    let slowness = candidate
        .slowness_percent
        .unwrap_or(settings.unknown_slowness)
        / 100.0;
    let waiting = (candidate.occupied + 1.0 - candidate.slots).max(0.0) / candidate.slots.max(1.0);
    let cold = if candidate.cold { settings.cold } else { 1.0 };
    typical.mul_f64(slowness * cold * (1.0 + waiting))
}

/// The index of the chosen target; `draw` is in `0.0..1.0`.
///
/// Targets where the request ends within its objective come first. Without one, it
/// goes where a slot is free and it ends before its deadline, late as it will be.
#[must_use]
pub fn choose(
    candidates: &[Candidate],
    need: &Need,
    settings: &PlacementSettings,
    draw: f64,
) -> Option<usize> {
    let end = |candidate: &Candidate| expected_end(candidate, need.typical, settings);
    let objective = need.objective_left.mul_f64(settings.objective_part);
    let in_time =
        |candidate: &Candidate| has_room(candidate, settings) && end(candidate) <= objective;
    let late = |candidate: &Candidate| {
        candidate.occupied + 1.0 <= candidate.slots && end(candidate) <= need.left
    };
    cheapest(candidates, in_time, settings, draw)
        .or_else(|| cheapest(candidates, late, settings, draw))
}

/// One of the cheapest targets that `fits`.
fn cheapest(
    candidates: &[Candidate],
    fits: impl Fn(&Candidate) -> bool,
    settings: &PlacementSettings,
    draw: f64,
) -> Option<usize> {
    let costs: Vec<Option<f64>> = candidates
        .iter()
        .map(|candidate| fits(candidate).then(|| cost(candidate, settings)))
        .collect();
    let best = costs
        .iter()
        .flatten()
        .copied()
        .fold(f64::INFINITY, f64::min);
    let near: Vec<usize> = costs
        .iter()
        .enumerate()
        .filter(|(_, cost)| cost.is_some_and(|cost| cost <= best + settings.tie))
        .map(|(index, _)| index)
        .collect();
    near.get(pick(near.len(), draw)).copied()
}

/// An index below `count` for a `draw` in `0.0..1.0`.
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    clippy::cast_precision_loss,
    reason = "an index among some thousand"
)]
pub(crate) fn pick(count: usize, draw: f64) -> usize {
    ((draw * count as f64) as usize).min(count.saturating_sub(1))
}

#[cfg(test)]
mod tests;
