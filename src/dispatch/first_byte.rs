//! Times to first byte: when a connection counts as stalled and when a call is hedged.

use std::net::SocketAddr;
use std::time::Duration;

use indexmap::IndexMap;

use crate::names::ServiceName;
use crate::units::Time;

/// Settings for detecting stalled connections and for hedging.
#[derive(Debug, Clone, PartialEq)]
pub struct FirstByteSettings {
    /// The stall timeout is this many times the target's slowest recent first byte.
    pub stall_factor: u32,
    /// Lower bound of the stall timeout.
    pub min_stall_timeout: Duration,
    /// Length of one window; the slowest first byte is kept for two windows.
    pub window: Duration,
    /// Time without use after which a target's history is dropped.
    pub retention: Duration,
    /// Number of responses of a service before its calls are hedged.
    pub min_hedge_responses: u32,
    /// Lower bound of the delay before a hedge.
    pub min_hedge_delay: Duration,
}

impl Default for FirstByteSettings {
    fn default() -> Self {
        Self {
            stall_factor: 4,
            min_stall_timeout: Duration::from_millis(500),
            window: Duration::from_secs(30),
            retention: Duration::from_secs(3600),
            min_hedge_responses: 100,
            min_hedge_delay: Duration::from_millis(5),
        }
    }
}

/// Quantile of the first-byte times after which a hedge is sent, in per mille.
const HEDGE_QUANTILE_PER_MILLE: u64 = 950;
const PER_MILLE: u64 = 1000;

/// First-byte history of one target.
#[derive(Debug, Clone, Copy, Default)]
struct History {
    last_used: Time,
    window_start: Time,
    slowest: Duration,
    previous_slowest: Duration,
    /// Connections opened before this time are not reused.
    retired_before: Time,
    /// Whether the target has sent the call id with a response.
    sends_call_id: bool,
}

/// Estimate of a high quantile of a service's first-byte times.
#[derive(Debug, Clone, Copy, Default)]
struct Quantile {
    count: u32,
    estimate: Duration,
}

impl Quantile {
    /// Moves the estimate up by 95 % of a step when `took` is above it and down by 5 %
    /// when below, so that it converges to the 95th percentile. A step is a share of the
    /// estimate itself.
    fn record(&mut self, took: Duration) {
        self.count = self.count.saturating_add(1);
        if self.count == 1 {
            self.estimate = took;
            return;
        }
        let step = (self.estimate / 10).max(Duration::from_micros(20));
        let up = step * u32::try_from(HEDGE_QUANTILE_PER_MILLE).unwrap_or(u32::MAX);
        let down = step * u32::try_from(PER_MILLE - HEDGE_QUANTILE_PER_MILLE).unwrap_or(u32::MAX);
        let per_mille = u32::try_from(PER_MILLE).unwrap_or(1);
        self.estimate = if took > self.estimate {
            self.estimate + up / per_mille
        } else {
            self.estimate.saturating_sub(down / per_mille)
        };
    }
}

/// First-byte times that an instance has measured, by target and by service.
#[derive(Debug, Clone, Default)]
pub struct FirstByteTimes {
    settings: FirstByteSettings,
    targets: IndexMap<SocketAddr, History>,
    services: IndexMap<ServiceName, Quantile>,
}

impl FirstByteTimes {
    /// Creates an empty history.
    #[must_use]
    pub fn new(settings: FirstByteSettings) -> Self {
        Self {
            settings,
            ..Self::default()
        }
    }

    /// Records the time to the first byte of a response.
    pub fn record_response(
        &mut self,
        now: Time,
        service: &ServiceName,
        target: SocketAddr,
        took: Duration,
    ) {
        let window = self.settings.window;
        let history = self.targets.entry(target).or_default();
        history.last_used = now;
        if now.since(history.window_start) >= window {
            history.previous_slowest = history.slowest;
            history.slowest = Duration::ZERO;
            history.window_start = now;
        }
        history.slowest = history.slowest.max(took);
        if !self.services.contains_key(service) {
            self.services.insert(service.clone(), Quantile::default());
        }
        self.services[service].record(took);
    }

    /// Whether a response belongs to the call that was sent.
    ///
    /// `call_id_matches` is the result of comparing the response's call id, `None` if
    /// it has none. A target that has sent a matching call id once must always send one.
    pub fn is_expected_response(
        &mut self,
        now: Time,
        target: SocketAddr,
        call_id_matches: Option<bool>,
    ) -> bool {
        let history = self.targets.entry(target).or_default();
        history.last_used = now;
        history.sends_call_id |= call_id_matches == Some(true);
        call_id_matches.unwrap_or(!history.sends_call_id)
    }

    /// Time to wait for a first byte before the connection is checked for a stall.
    #[must_use]
    pub fn stall_timeout(&self, target: SocketAddr) -> Duration {
        let slowest = self.targets.get(&target).map_or(Duration::ZERO, |history| {
            history.slowest.max(history.previous_slowest)
        });
        (slowest * self.settings.stall_factor).max(self.settings.min_stall_timeout)
    }

    /// Delay before an urgent repeatable call is hedged.
    ///
    /// `None` until the service has given enough responses for an estimate.
    #[must_use]
    pub fn hedge_delay(&self, service: &ServiceName) -> Option<Duration> {
        let quantile = self.services.get(service)?;
        let enough = quantile.count >= self.settings.min_hedge_responses;
        enough.then(|| quantile.estimate.max(self.settings.min_hedge_delay))
    }

    /// Retires every connection to the target that was opened before `opened`, the
    /// time at which a working connection was opened.
    pub fn retire_before(&mut self, target: SocketAddr, opened: Time) {
        let history = self.targets.entry(target).or_default();
        history.last_used = history.last_used.max(opened);
        history.retired_before = history.retired_before.max(opened);
    }

    /// Whether a connection that was opened at `opened` may be reused.
    #[must_use]
    pub fn may_reuse(&self, target: SocketAddr, opened: Time) -> bool {
        self.targets
            .get(&target)
            .is_none_or(|history| opened >= history.retired_before)
    }

    /// Drops the history of targets that have not been used for a long time.
    pub fn remove_expired(&mut self, now: Time) {
        let retention = self.settings.retention;
        self.targets
            .retain(|_, history| now.since(history.last_used) < retention);
    }
}

#[cfg(test)]
mod tests;
