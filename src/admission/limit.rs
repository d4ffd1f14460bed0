//! Concurrency limit of one target.
//!
//! The limit is the minimum of the declared slots, a ramp while the target is
//! cold, a limit that adapts to latency and shed calls, and the target's own
//! load reports, which can only lower it.

use std::time::Duration;

use super::permit::CallResult;
use crate::macros::data;
use crate::names::StartId;
use crate::units::Time;

/// Number of calls in a window; the lowest latency of a window is compared with
/// the baseline.
const WINDOW_CALLS: u32 = 8;
/// Windows over which the baseline latency moves towards a higher one.
const BASELINE_WINDOWS: u64 = 16;
/// Ratio to the baseline latency above which a target is slow.
const SLOW_FACTOR: u64 = 2;
/// Ratio to the baseline latency above which a target counts as cold again, and
/// to the median of the shard's targets above which it is an outlier.
const COLD_FACTOR: u64 = 4;
/// Minimum rise above the baseline latency of a slow target.
const MIN_SLOW_RISE: Duration = Duration::from_millis(2);
/// Minimum rise above the baseline latency of a target that counts as cold
/// again, and above the median latency of an outlier.
const MIN_COLD_RISE: Duration = Duration::from_millis(5);
/// Number of consecutive sheds after which a target counts as cold.
const COLD_SHEDS: u32 = 3;
/// Number of consecutive failures after which a target may be ejected.
const OUTLIER_FAILURES: u32 = 5;
/// Duration of the first ejection; it doubles for each consecutive one.
const BASE_EJECTION: Duration = Duration::from_secs(1);
/// Maximum number of times that the ejection's duration is doubled.
const MAX_EJECTION_DOUBLINGS: u32 = 5;
/// Time for which a target that reports draining gets no calls.
const DRAINING_TTL: Duration = Duration::from_secs(10);
/// Time for which a load report lowers the limit.
const REPORT_TTL: Duration = Duration::from_secs(1);

/// Settings of a target's limit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LimitSettings {
    /// Maximum number of calls that a warm target runs concurrently.
    pub slots: u32,
    /// Time over which a cold target ramps up to its slots.
    pub warm_up: Duration,
    /// Whether a cold target starts with one call. Tests disable it to prove
    /// that the property tests detect its absence.
    pub ramp: bool,
}

impl Default for LimitSettings {
    fn default() -> Self {
        Self {
            slots: 6,
            warm_up: Duration::from_secs(10),
            ramp: true,
        }
    }
}

data! {
    /// Health report of a target.
    pub struct Health {
        /// State that the target reports.
        pub state: HealthState,
        /// Identifier of the target's process; it changes when the target
        /// restarts.
        pub start: StartId,
    }

    /// State in a target's health report.
    #[serde(rename_all = "lowercase")]
    #[derive(Eq, Copy)]
    pub enum HealthState {
        /// The target can take its full load.
        Ready,
        /// The target is warming up and can take only a small load.
        Cold,
        /// The target is about to stop.
        Draining,
    }

    /// Load report of a target.
    #[derive(Eq, Copy)]
    pub struct Load {
        /// Number of calls that the target runs.
        pub in_flight: u32,
        /// Maximum number of calls that the target runs concurrently.
        pub slots: u32,
    }
}

impl Load {
    /// Parses `IN_FLIGHT/SLOTS`, the form in which targets report their load on
    /// responses.
    #[must_use]
    pub fn parse(text: &str) -> Option<Self> {
        let (in_flight, slots) = text.split_once('/')?;
        Some(Self {
            in_flight: in_flight.parse().ok()?,
            slots: slots.parse().ok()?,
        })
    }
}

/// Concurrency limit of one target, learnt from the results of its calls.
#[derive(Debug, Clone, PartialEq)]
pub struct TargetLimit {
    /// Current limit of the ramp, in concurrent calls.
    ramp_level: u32,
    ramp_level_at: Time,
    /// Calls completed at the current level of the ramp.
    completed_at_level: u32,
    /// Limit that adapts to latency and shed calls.
    adaptive_limit: u32,
    window: Window,
    baseline_us: u64,
    consecutive_sheds: u32,
    consecutive_failures: u32,
    reported_limit: u32,
    reported_limit_until: Time,
    start: Option<StartId>,
    ejected_until: Time,
    draining_until: Time,
    consecutive_ejections: u32,
    last_evidence_at: Time,
}

#[derive(Debug, Clone, Copy, PartialEq, Default)]
struct Window {
    calls: u32,
    min_us: u64,
    /// Lowest latency of the previous window, in microseconds.
    previous_min_us: u64,
}

impl TargetLimit {
    /// Creates the limit of a target that is cold at `now`.
    #[must_use]
    pub fn cold(now: Time) -> Self {
        Self {
            ramp_level: 1,
            ramp_level_at: now,
            completed_at_level: 0,
            adaptive_limit: u32::MAX,
            window: Window::default(),
            baseline_us: 0,
            consecutive_sheds: 0,
            consecutive_failures: 0,
            reported_limit: u32::MAX,
            reported_limit_until: Time::ZERO,
            start: None,
            ejected_until: Time::ZERO,
            draining_until: Time::ZERO,
            consecutive_ejections: 0,
            last_evidence_at: Time::ZERO,
        }
    }

    /// Maximum number of calls in flight on the target; zero while it is
    /// ejected or draining.
    #[must_use]
    pub fn max_in_flight(&self, now: Time, settings: &LimitSettings) -> u32 {
        if now < self.ejected_until || now < self.draining_until {
            return 0;
        }
        let mut limit = settings.slots.min(self.adaptive_limit);
        if now < self.reported_limit_until {
            limit = limit.min(self.reported_limit);
        }
        limit.min(self.ramp(settings)).max(1)
    }

    /// Limit set by the ramp: the declared slots once the target is warm.
    #[must_use]
    pub fn ramp(&self, settings: &LimitSettings) -> u32 {
        if settings.ramp && !settings.warm_up.is_zero() {
            self.ramp_level.min(settings.slots)
        } else {
            settings.slots
        }
    }

    /// Whether the target is ejected at `now`.
    #[must_use]
    pub fn is_ejected(&self, now: Time) -> bool {
        now < self.ejected_until
    }

    /// Time of the last call that gave evidence of the target's state.
    #[must_use]
    pub fn last_evidence_at(&self) -> Time {
        self.last_evidence_at
    }

    /// Lowest latency of the last complete window, in microseconds; zero before
    /// the first.
    #[must_use]
    pub fn recent_latency_us(&self) -> u64 {
        self.window.previous_min_us
    }

    /// Starts the ramp again from one concurrent call.
    pub fn restart_ramp(&mut self, now: Time) {
        self.ramp_level = 1;
        self.ramp_level_at = now;
        self.completed_at_level = 0;
    }

    /// Records the result of a call; returns whether the target should be
    /// checked for being an outlier.
    pub fn record_result(
        &mut self,
        now: Time,
        result: CallResult,
        latency_us: u64,
        settings: &LimitSettings,
    ) -> bool {
        if result != CallResult::Unsent {
            self.last_evidence_at = now;
        }
        match result {
            CallResult::Completed => self.record_completed(now, latency_us, settings),
            CallResult::Shed => self.record_shed(now, settings),
            CallResult::Failed | CallResult::Broken => self.consecutive_failures += 1,
            CallResult::Unsent => return false,
        }
        self.window.calls == 0 || self.consecutive_failures >= OUTLIER_FAILURES
    }

    fn record_completed(&mut self, now: Time, latency_us: u64, settings: &LimitSettings) {
        self.consecutive_sheds = 0;
        self.consecutive_failures = 0;
        self.completed_at_level += 1;
        let window = &mut self.window;
        window.min_us = match window.calls {
            0 => latency_us,
            _ => window.min_us.min(latency_us),
        };
        window.calls += 1;
        if window.calls == WINDOW_CALLS {
            self.finish_window(now, settings);
        }
        self.raise_ramp(now, settings);
    }

    /// Raises the ramp by one call once enough calls have completed and enough
    /// time has passed at the current level.
    fn raise_ramp(&mut self, now: Time, settings: &LimitSettings) {
        let step = settings.warm_up / settings.slots.max(1);
        let due =
            self.completed_at_level >= self.ramp_level && now >= self.ramp_level_at.after(step);
        let slow = self.exceeds(self.window.previous_min_us, SLOW_FACTOR, MIN_SLOW_RISE);
        if self.ramp_level < settings.slots && due && !slow {
            self.ramp_level += 1;
            self.ramp_level_at = now;
            self.completed_at_level = 0;
        }
    }

    /// Adapts the limit and the baseline to the lowest latency of a complete
    /// window: the limit is decreased multiplicatively when the target is slow,
    /// and increased additively otherwise.
    fn finish_window(&mut self, now: Time, settings: &LimitSettings) {
        let min = self.window.min_us;
        self.window = Window {
            previous_min_us: min,
            ..Window::default()
        };
        if self.exceeds(min, COLD_FACTOR, MIN_COLD_RISE) && self.ramp_level >= settings.slots {
            self.restart_ramp(now);
        }
        let adaptive_limit = self.adaptive_limit.min(settings.slots);
        if self.exceeds(min, SLOW_FACTOR, MIN_SLOW_RISE) {
            self.adaptive_limit = (adaptive_limit * 3 / 4).max(1);
        } else {
            self.adaptive_limit = adaptive_limit.saturating_add(1);
            self.consecutive_ejections = 0;
        }
        self.baseline_us = match self.baseline_us {
            0 => min,
            baseline if min < baseline => min,
            baseline => baseline + (min - baseline).div_ceil(BASELINE_WINDOWS),
        };
    }

    fn record_shed(&mut self, now: Time, settings: &LimitSettings) {
        self.consecutive_sheds += 1;
        self.adaptive_limit = (self.adaptive_limit.min(settings.slots) * 3 / 4).max(1);
        if self.consecutive_sheds == COLD_SHEDS {
            self.restart_ramp(now);
        }
    }

    /// Whether a latency exceeds the baseline both by the factor and by the rise.
    fn exceeds(&self, latency_us: u64, factor: u64, rise: Duration) -> bool {
        let rise_us = u64::try_from(rise.as_micros()).unwrap_or(u64::MAX);
        self.baseline_us != 0
            && latency_us > self.baseline_us.saturating_mul(factor)
            && latency_us > self.baseline_us.saturating_add(rise_us)
    }

    /// Whether the target fails its calls or is far slower than `median_us`,
    /// the median of the recent latencies of the shard's targets.
    #[must_use]
    pub fn is_outlier(&self, median_us: u64) -> bool {
        let rise_us = u64::try_from(MIN_COLD_RISE.as_micros()).unwrap_or(u64::MAX);
        let recent = self.window.previous_min_us;
        let slow = median_us != 0
            && recent > median_us.saturating_mul(COLD_FACTOR)
            && recent > median_us.saturating_add(rise_us);
        slow || self.consecutive_failures >= OUTLIER_FAILURES
    }

    /// Gives the target no calls for a while; afterwards it restarts as a cold
    /// one.
    pub fn eject(&mut self, now: Time) {
        let doublings = self.consecutive_ejections.min(MAX_EJECTION_DOUBLINGS);
        self.ejected_until = now.after(BASE_EJECTION * 2_u32.pow(doublings));
        self.consecutive_ejections += 1;
        self.restart_ramp(now);
        self.window = Window::default();
        // After the ejection a single failure is enough to eject the target
        // again.
        self.consecutive_failures = self.consecutive_failures.min(OUTLIER_FAILURES - 1);
    }

    /// Applies a health report; it can only lower the limit.
    pub fn apply_health(&mut self, now: Time, health: &Health) {
        let restarted = self
            .start
            .as_ref()
            .is_some_and(|start| *start != health.start);
        self.start = Some(health.start.clone());
        if health.state == HealthState::Draining {
            self.draining_until = now.after(DRAINING_TTL);
        }
        if restarted || health.state == HealthState::Cold {
            self.restart_ramp(now);
        }
    }

    /// Applies a load report of a target on which this shard recently had up to
    /// `recent_peak` calls in flight. Load beyond those is foreign and lowers
    /// the limit; a report never raises it.
    pub fn apply_load(
        &mut self,
        now: Time,
        load: Load,
        recent_peak: u32,
        settings: &LimitSettings,
    ) {
        let foreign = load.in_flight.saturating_sub(recent_peak);
        let limit = settings
            .slots
            .min(load.slots)
            .saturating_sub(foreign)
            .max(1);
        if limit < settings.slots {
            self.reported_limit = limit;
            self.reported_limit_until = now.after(REPORT_TTL);
        }
    }
}

#[cfg(test)]
mod tests;
