//! Rate limiter for one caller on one instance, within the share of the
//! caller's limits that the quota coordinator has allocated.

use std::time::Duration;

use crate::macros::data;
use crate::names::StartId;
use crate::resource::CallerSpec;
use crate::units::Time;

/// Size of the call bucket, as the time in which it fills.
const CALL_BURST: Duration = Duration::from_millis(250);
/// Size of the byte bucket, as the time in which it fills.
const BYTE_BURST: Duration = Duration::from_secs(1);
/// Shortest retry delay for a refused caller.
const MIN_RETRY_DELAY: Duration = Duration::from_secs(1);
/// Minimum time between two doublings of the retry delay.
const BACKOFF_INTERVAL: Duration = Duration::from_secs(1);
/// Maximum number of doublings of the retry delay.
const MAX_BACKOFF_DOUBLINGS: u32 = 5;
/// Minimum time between two reports to the coordinator; a caller that exceeds
/// its share is reported after this time.
const MIN_REPORT_INTERVAL: Duration = Duration::from_millis(100);

/// Limits of one caller over all instances; `None` means unlimited.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct CallerLimits {
    /// Calls per second.
    pub calls_per_second: Option<f64>,
    /// Concurrent calls.
    pub in_flight: Option<u32>,
    /// Response bytes per second.
    pub bytes_per_second: Option<f64>,
}

impl CallerLimits {
    /// Whether there is no limit at all.
    #[must_use]
    pub fn is_none(&self) -> bool {
        *self == Self::default()
    }
}

impl From<&CallerSpec> for CallerLimits {
    #[expect(clippy::cast_precision_loss, reason = "limits are far below 2^52")]
    fn from(spec: &CallerSpec) -> Self {
        Self {
            calls_per_second: spec.calls_per_second.map(f64::from),
            in_flight: spec.in_flight,
            bytes_per_second: spec.bytes_per_second.map(|bytes| bytes as f64),
        }
    }
}

data! {
    /// Share of a caller's limits that one instance may admit.
    #[derive(Copy, Default)]
    pub struct Share {
        /// Sequence number, increasing within one run of the coordinator.
        pub number: u64,
        /// Calls per second.
        pub calls_per_second: f64,
        /// Concurrent calls.
        pub in_flight: u32,
        /// Response bytes per second.
        pub bytes_per_second: f64,
    }

    /// Demand of a caller on one instance.
    #[derive(Copy, Default)]
    pub struct Demand {
        /// Number of the latest share that the instance has from this run of
        /// the coordinator, 0 without one; the instance uses no earlier share
        /// any more.
        pub have: u64,
        /// Calls per second, including refused ones.
        pub calls_per_second: f64,
        /// Calls in flight.
        pub in_flight: u32,
        /// Calls that would be in flight without the limit.
        pub wanted_in_flight: u32,
        /// Response bytes per second.
        pub bytes_per_second: f64,
    }
}

/// A token bucket whose level may become negative.
#[derive(Debug, Clone, Copy, Default)]
struct TokenBucket {
    level: f64,
    last_refill: Time,
}

impl TokenBucket {
    fn fill(&mut self, now: Time, rate: f64, burst: f64) {
        let filled = self.level + rate * now.since(self.last_refill).as_secs_f64();
        self.level = filled.min(burst);
        self.last_refill = now;
    }

    /// Time until the bucket holds `level` tokens.
    fn until(&self, level: f64, rate: f64) -> Duration {
        let missing = (level - self.level).max(0.0);
        Duration::try_from_secs_f64(missing / rate).unwrap_or(Duration::MAX)
    }
}

/// Rate limiter for one caller on one instance.
#[derive(Debug, Clone)]
pub struct CallerLimiter {
    share: Option<(Share, Time)>,
    /// Run of the coordinator that allocated the share.
    coordinator: Option<StartId>,
    calls: TokenBucket,
    bytes: TokenBucket,
    in_flight: u32,
    /// Calls since the last report, including refused ones.
    call_count: u32,
    /// Calls refused since the last report because too many were in flight.
    in_flight_refusals: u32,
    response_bytes: u64,
    reported_at: Time,
    over_share: bool,
    last_call_at: Time,
    retry_at: Time,
    backoff_at: Time,
    backoff_doublings: u32,
}

impl CallerLimiter {
    /// Creates the limiter of a caller that has made no call yet.
    #[must_use]
    pub fn new(now: Time) -> Self {
        let full = TokenBucket {
            level: f64::MAX,
            last_refill: now,
        };
        Self {
            share: None,
            coordinator: None,
            calls: full,
            bytes: full,
            in_flight: 0,
            call_count: 0,
            in_flight_refusals: 0,
            response_bytes: 0,
            reported_at: Time::ZERO,
            over_share: false,
            last_call_at: now,
            retry_at: Time::ZERO,
            backoff_at: Time::ZERO,
            backoff_doublings: 0,
        }
    }

    /// Admits a call, or returns the delay after which the caller may retry.
    ///
    /// Without a valid share from the coordinator, the limits are split evenly
    /// over `members`.
    ///
    /// # Errors
    /// The retry delay.
    pub fn admit(
        &mut self,
        now: Time,
        limits: &CallerLimits,
        members: usize,
    ) -> Result<(), Duration> {
        self.last_call_at = now;
        self.call_count += 1;
        let share = self.current_share(now, limits, members);
        if let Some(wait) = self.wait_for_share(now, limits, share) {
            self.over_share = true;
            return Err(self.retry_delay(now, wait));
        }
        self.calls.level -= 1.0;
        self.in_flight += 1;
        Ok(())
    }

    fn current_share(&self, now: Time, limits: &CallerLimits, members: usize) -> Share {
        match self.share {
            Some((share, until)) if now < until => share,
            _ => even_share(limits, members),
        }
    }

    /// Returns how long the caller must wait until it is within its share
    /// again, `None` if it is.
    fn wait_for_share(
        &mut self,
        now: Time,
        limits: &CallerLimits,
        share: Share,
    ) -> Option<Duration> {
        if limits.calls_per_second.is_some() {
            let rate = share.calls_per_second;
            let burst = (rate * CALL_BURST.as_secs_f64()).max(1.0);
            self.calls.fill(now, rate, burst);
            if self.calls.level < 1.0 {
                return Some(self.calls.until(1.0, rate));
            }
        }
        if limits.bytes_per_second.is_some() {
            let rate = share.bytes_per_second;
            let burst = rate * BYTE_BURST.as_secs_f64();
            self.bytes.fill(now, rate, burst);
            if self.bytes.level <= 0.0 {
                return Some(self.bytes.until(0.0, rate));
            }
        }
        if limits.in_flight.is_some() && self.in_flight >= share.in_flight {
            self.in_flight_refusals += 1;
            return Some(MIN_RETRY_DELAY);
        }
        None
    }

    /// Returns the retry delay of a refused caller. It doubles while the caller
    /// retries before the delay has passed.
    fn retry_delay(&mut self, now: Time, wait: Duration) -> Duration {
        if now >= self.retry_at {
            self.backoff_doublings = 0;
            self.backoff_at = now;
        } else if now >= self.backoff_at.after(BACKOFF_INTERVAL) {
            self.backoff_doublings = (self.backoff_doublings + 1).min(MAX_BACKOFF_DOUBLINGS);
            self.backoff_at = now;
        }
        let max_delay = MIN_RETRY_DELAY * 2_u32.pow(MAX_BACKOFF_DOUBLINGS);
        let delay = wait.clamp(MIN_RETRY_DELAY, max_delay) * 2_u32.pow(self.backoff_doublings);
        let delay = delay.min(max_delay);
        self.retry_at = now.after(delay);
        delay
    }

    /// Charges bytes of a response.
    pub fn charge(&mut self, bytes: u64) {
        self.response_bytes += bytes;
        #[expect(clippy::cast_precision_loss, reason = "one frame is far below 2^52")]
        let bytes = bytes as f64;
        self.bytes.level -= bytes;
    }

    /// Records the end of an admitted call.
    pub fn finish_call(&mut self) {
        self.in_flight = self.in_flight.saturating_sub(1);
    }

    /// Whether the share is still valid.
    #[must_use]
    pub fn has_share(&self, now: Time) -> bool {
        self.share.is_some_and(|(_, until)| now < until)
    }

    /// Whether this caller should be reported to the coordinator before the
    /// next regular report.
    #[must_use]
    pub fn needs_early_report(&self, now: Time) -> bool {
        let due = now >= self.reported_at.after(MIN_REPORT_INTERVAL);
        due && (self.over_share || !self.has_share(now))
    }

    /// Whether the caller has made no call for `time` and none is in flight.
    #[must_use]
    pub fn is_idle(&self, now: Time, time: Duration) -> bool {
        self.in_flight == 0 && now >= self.last_call_at.after(time)
    }

    /// Returns the caller's demand since the last report, for the current run
    /// of the coordinator, and starts a new report period.
    ///
    /// Returns `None` shortly after another report, because so short a period
    /// would underestimate the demand.
    #[expect(
        clippy::cast_precision_loss,
        reason = "the counts of one period are far below 2^52"
    )]
    pub fn demand(&mut self, now: Time, coordinator: &StartId) -> Option<Demand> {
        if now < self.reported_at.after(MIN_REPORT_INTERVAL) {
            return None;
        }
        let have = self
            .share
            .filter(|_| self.coordinator.as_ref() == Some(coordinator));
        let period = now.since(self.reported_at).min(MIN_REPORT_INTERVAL * 5);
        let secs = period.max(MIN_REPORT_INTERVAL).as_secs_f64();
        let demand = Demand {
            have: have.map_or(0, |(share, _)| share.number),
            calls_per_second: f64::from(self.call_count) / secs,
            in_flight: self.in_flight,
            wanted_in_flight: self.in_flight.saturating_add(self.in_flight_refusals),
            bytes_per_second: self.response_bytes as f64 / secs,
        };
        self.call_count = 0;
        self.in_flight_refusals = 0;
        self.response_bytes = 0;
        self.over_share = false;
        self.reported_at = now;
        Some(demand)
    }

    /// Sets the share that a run of the coordinator has allocated until
    /// `until`. A share older than the current one of that run is ignored, as
    /// responses may arrive out of order.
    pub fn set_share(&mut self, coordinator: &StartId, share: Share, until: Time) {
        let same_coordinator = self.coordinator.as_ref() == Some(coordinator);
        let outdated = self
            .share
            .is_some_and(|(current, _)| share.number <= current.number);
        if same_coordinator && outdated {
            return;
        }
        self.coordinator = Some(coordinator.clone());
        self.share = Some((share, until));
    }
}

/// Splits the limits evenly over the instances, with at least one call in
/// flight for each.
#[must_use]
pub fn even_share(limits: &CallerLimits, members: usize) -> Share {
    let members = u32::try_from(members).unwrap_or(u32::MAX).max(1);
    let split = |limit: Option<f64>| limit.unwrap_or_default() / f64::from(members);
    Share {
        number: 0,
        calls_per_second: split(limits.calls_per_second),
        in_flight: (limits.in_flight.unwrap_or_default() / members).max(1),
        bytes_per_second: split(limits.bytes_per_second),
    }
}

#[cfg(test)]
mod tests;
