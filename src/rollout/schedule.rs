//! When a roll-out's share is to rise, from the time that was ordered.

use std::time::Duration;

/// Share of the requests that the sample gets at most, in percent. The old version
/// must keep enough for a comparison.
pub const MAX_SAMPLE: u8 = 40;
/// Shares of the step between the sample and all requests, in percent: the usual one,
/// and that of a service with so few requests that its sample is nearly as large.
const PART: u8 = 25;
const LARGE_PART: u8 = 50;

/// Where a roll-out is, by its share.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Step {
    /// A few targets of the new version get a small share.
    Sample,
    /// Its targets get a larger part.
    Part,
    /// They get all requests.
    Full,
}

impl Step {
    /// The step of a share in percent.
    #[must_use]
    pub fn of(percent: u8) -> Self {
        match percent {
            100.. => Self::Full,
            PART | LARGE_PART => Self::Part,
            _ => Self::Sample,
        }
    }
}

/// The share nearest to `fraction` and not above it that means a sample, in percent.
#[must_use]
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "a percentage"
)]
pub fn sample_percent(fraction: f64) -> u8 {
    match (fraction * 100.0).clamp(1.0, f64::from(MAX_SAMPLE)) as u8 {
        PART => PART - 1,
        percent => percent,
    }
}

/// The share of the step after a sample, in percent.
#[must_use]
pub fn part_after(sample_percent: u8) -> u8 {
    if sample_percent < PART {
        PART
    } else {
        LARGE_PART
    }
}

/// Parts of the time ordered that a roll-out takes at most for each step, and the time
/// that makes more of it pointless.
const SAMPLE_TIME: (f64, Duration) = (0.55, Duration::from_secs(5 * 60));
const PART_TIME: (f64, Duration) = (0.08, Duration::from_secs(60));
const FULL_TIME: (f64, Duration) = (0.25, Duration::from_secs(5 * 60));
/// Time of a part in which its responses arrive and are reported, and the part of the
/// time ordered that it takes at most.
const MIN_PART_TIME: (f64, Duration) = (0.06, Duration::from_millis(800));
/// Minimum time at all requests: what the old targets still run must end, since they
/// end at once when the roll-out is completed.
pub const MIN_FULL_TIME: Duration = Duration::from_millis(2500);
/// Time before the end at which the roll-out should be completed, so that this is
/// known everywhere.
const END_MARGIN: Duration = Duration::from_secs(1);

/// Times of the steps, from the order on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Schedule {
    /// When the sample is to end.
    pub part: Duration,
    /// When it must end, for the roll-out to be completed before the margin.
    pub last_part: Duration,
    /// Minimum time of the part.
    pub min_part_time: Duration,
    /// When all requests are to go to the new version.
    pub full: Duration,
    /// When they must.
    pub last_full: Duration,
    /// Time at all requests until the roll-out is completed, if there is enough.
    pub full_time: Duration,
    /// When it should be completed at the latest.
    pub completed: Duration,
    /// The time ordered.
    pub end: Duration,
}

impl Schedule {
    /// The times for a roll-out within `end`.
    #[must_use]
    pub fn new(end: Duration) -> Self {
        let of = |(fraction, max): (f64, Duration)| end.mul_f64(fraction).min(max);
        let completed = end.saturating_sub(END_MARGIN);
        let last_full = completed.saturating_sub(MIN_FULL_TIME);
        let min_part_time = of(MIN_PART_TIME);
        let part_time = of(PART_TIME).max(min_part_time);
        let last_part = last_full.saturating_sub(part_time);
        let part = of(SAMPLE_TIME).min(last_part);
        Self {
            part,
            last_part,
            min_part_time,
            full: part + part_time,
            last_full,
            full_time: of(FULL_TIME).max(MIN_FULL_TIME),
            completed,
            end,
        }
    }

    /// Whether the roll-out can't be completed before its end any more if the step
    /// goes on.
    #[must_use]
    pub fn is_too_late(&self, elapsed: Duration, step: Step) -> bool {
        let needed = match step {
            Step::Sample => self.min_part_time + MIN_FULL_TIME,
            Step::Part => MIN_FULL_TIME,
            Step::Full => Duration::ZERO,
        };
        elapsed + needed > self.end
    }
}

#[cfg(test)]
mod tests;
