//! How much slower a service's targets work the more requests they run.
//!
//! Targets report how long work takes on their machine, but not that they get slower when
//! they are nearly full. An instance learns this from the responses to its own requests.

/// Parts into which the fill of a target is divided; each has an estimate of its own.
const LEVELS: usize = 12;
/// Fill up to which work counts as not slowed down.
const CALM_FILL: f64 = 0.5;
/// Number of responses after which an estimate is used.
const MIN_SAMPLES: u32 = 10;
/// Relative step of an estimate towards each further response; it follows the median.
const ADJUSTMENT: f64 = 0.03;
/// Maximum slowdown that is learned.
const MAX_FACTOR: f64 = 8.0;
/// Responses at other fills after which an estimate is forgotten. Targets whose slowdown is
/// high get few requests at that fill, and it would be kept after it has ended.
const MAX_UNCONFIRMED: u32 = 1000;

/// Estimated slowdown of a service's targets by their fill.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct LoadCurve {
    levels: [Level; LEVELS],
}

#[derive(Debug, Clone, Copy, Default, PartialEq)]
struct Level {
    factor: f64,
    samples: u32,
    /// Responses at other fills since its last one.
    unconfirmed: u32,
}

impl LoadCurve {
    /// Records that a request took `ratio` times its usual time at a target that had `fill`
    /// of its slots in use, the request included.
    pub fn record(&mut self, fill: f64, ratio: f64) {
        for level in &mut self.levels {
            level.unconfirmed += 1;
            if level.unconfirmed > MAX_UNCONFIRMED {
                *level = Level::default();
            }
        }
        if fill <= CALM_FILL || fill > 1.0 {
            return;
        }
        let ratio = ratio.clamp(1.0 / MAX_FACTOR, MAX_FACTOR);
        let level = &mut self.levels[level_of(fill)];
        level.unconfirmed = 0;
        level.samples = level.samples.saturating_add(1);
        if level.samples <= MIN_SAMPLES {
            level.factor += (ratio - level.factor) / f64::from(level.samples);
        } else if ratio > level.factor {
            level.factor *= 1.0 + ADJUSTMENT;
        } else {
            level.factor *= 1.0 - ADJUSTMENT;
        }
    }

    /// Factor by which work takes longer at a target of this fill; 1.0 until it is known.
    /// It is never below that of a lower fill.
    #[must_use]
    pub fn factor(&self, fill: f64) -> f64 {
        if fill <= CALM_FILL {
            return 1.0;
        }
        self.levels[..=level_of(fill)]
            .iter()
            .filter(|level| level.samples >= MIN_SAMPLES)
            .fold(1.0, |factor, level| level.factor.max(factor))
    }
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    clippy::cast_precision_loss,
    reason = "one of a few levels"
)]
fn level_of(fill: f64) -> usize {
    // The last slot of any target falls into the last level.
    ((fill * LEVELS as f64 - 0.001).max(0.0) as usize).min(LEVELS - 1)
}

#[cfg(test)]
mod tests;
