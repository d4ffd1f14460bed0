//! Retry policy: which failed calls are retried, after which backoff, and within which budget.

use std::time::Duration;

use indexmap::IndexMap;

use super::kind::{ErrorKind, Ran};
use crate::names::{CallerName, ServiceName};
use crate::units::Time;

/// Settings of the retry policy.
#[derive(Debug, Clone, PartialEq)]
pub struct RetrySettings {
    /// Maximum number of attempts per call, the first one included.
    pub max_attempts: u32,
    /// Retries allowed per hundred calls that succeeded in the current and the previous window.
    pub success_percent: u32,
    /// Retries allowed per two windows on top of that share, also without any success.
    pub reserve: u32,
    /// Length of one budget window.
    pub window: Duration,
    /// Upper bound of the first backoff; it doubles with each further retry.
    pub base_backoff: Duration,
    /// Upper bound of any backoff.
    pub max_backoff: Duration,
    /// Whether non-repeatable calls that may have run are never retried; disabled only in tests.
    pub protect_non_repeatable: bool,
}

impl Default for RetrySettings {
    fn default() -> Self {
        Self {
            max_attempts: 3,
            success_percent: 10,
            reserve: 10,
            window: Duration::from_secs(10),
            base_backoff: Duration::from_millis(5),
            max_backoff: Duration::from_millis(250),
            protect_non_repeatable: true,
        }
    }
}

/// State of a call that decides whether it may be retried.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Progress {
    /// Number of attempts made so far.
    pub attempts: u32,
    /// Whether running the call more than once is safe.
    pub repeatable: bool,
    /// Whether the request body is buffered and can be sent again.
    pub replayable: bool,
    /// Number of nested calls between the original caller and this call.
    pub depth: u32,
    /// Time after which the caller no longer needs the response.
    pub deadline: Time,
}

impl ErrorKind {
    /// Returns the error to report after this failure and that of `earlier` attempts.
    ///
    /// An earlier attempt that may have run wins, so that the caller is never told
    /// that a call did not run although it may have.
    #[must_use]
    pub fn merge_earlier(self, earlier: Option<Self>) -> Self {
        earlier
            .filter(|kind| kind.response().ran != Ran::No)
            .unwrap_or(self)
    }
}

/// Decision after a failed attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RetryDecision {
    /// Retry on another target.
    Retry {
        /// Backoff before the retry.
        after: Duration,
    },
    /// Report the failure to the caller.
    GiveUp,
}

impl RetrySettings {
    /// Decides whether a failed attempt is retried.
    ///
    /// `random` between 0 and 1 sets the jitter of the backoff. `take_budget` draws on the
    /// retry budget and is called only when every other condition is met.
    pub fn decide(
        &self,
        now: Time,
        progress: &Progress,
        kind: ErrorKind,
        random: f64,
        take_budget: impl FnOnce() -> bool,
    ) -> RetryDecision {
        let after = self.backoff(progress.attempts, random);
        let allowed = self.is_retryable(progress, kind)
            && progress.attempts < self.max_attempts
            && now.after(after) < progress.deadline;
        if allowed && take_budget() {
            RetryDecision::Retry { after }
        } else {
            RetryDecision::GiveUp
        }
    }

    fn is_retryable(&self, progress: &Progress, kind: ErrorKind) -> bool {
        let response = kind.response();
        let safe = progress.repeatable || response.ran == Ran::No || !self.protect_non_repeatable;
        // Nested calls are retried only at the outermost instance, so that retries do not multiply.
        response.instance_may_retry && safe && progress.replayable && progress.depth == 0
    }

    /// Exponential backoff with full jitter.
    fn backoff(&self, attempts: u32, random: f64) -> Duration {
        let doublings = attempts.saturating_sub(1).min(16);
        let bound = self.base_backoff.saturating_mul(1 << doublings);
        bound.min(self.max_backoff).mul_f64(random.clamp(0.0, 1.0))
    }
}

#[derive(Debug, Clone, Copy, Default)]
struct Window {
    successes: u64,
    retries: u64,
}

/// Retry budget earned by recent successes, over the current and the previous window.
#[derive(Debug, Clone, Copy, Default)]
struct Budget {
    start: Time,
    current: Window,
    previous: Window,
}

impl Budget {
    fn rotate(&mut self, now: Time, window: Duration) {
        let age = now.since(self.start);
        if age < window {
            return;
        }
        self.previous = if age < window * 2 {
            self.current
        } else {
            Window::default()
        };
        self.current = Window::default();
        self.start = now;
    }

    fn has_retry_left(&self, settings: &RetrySettings) -> bool {
        let successes = self.current.successes + self.previous.successes;
        let retries = self.current.retries + self.previous.retries;
        let earned = successes * u64::from(settings.success_percent) / 100;
        retries < earned + u64::from(settings.reserve)
    }
}

/// Retry budgets of one instance, by service and by caller.
#[derive(Debug, Clone, Default)]
pub struct RetryBudgets {
    settings: RetrySettings,
    services: IndexMap<ServiceName, Budget>,
    callers: IndexMap<CallerName, Budget>,
}

impl RetryBudgets {
    /// Creates budgets that hold only the reserve.
    #[must_use]
    pub fn new(settings: RetrySettings) -> Self {
        Self {
            settings,
            ..Self::default()
        }
    }

    /// Records a call to which a target has responded.
    pub fn record_success(&mut self, now: Time, service: &ServiceName, caller: &CallerName) {
        let (service, caller) = self.budgets_of(now, service, caller);
        service.current.successes += 1;
        caller.current.successes += 1;
    }

    /// Takes one retry out of both budgets; returns false and takes none if either is used up.
    pub fn take(&mut self, now: Time, service: &ServiceName, caller: &CallerName) -> bool {
        let settings = self.settings.clone();
        let (service, caller) = self.budgets_of(now, service, caller);
        let allowed = service.has_retry_left(&settings) && caller.has_retry_left(&settings);
        if allowed {
            service.current.retries += 1;
            caller.current.retries += 1;
        }
        allowed
    }

    fn budgets_of(
        &mut self,
        now: Time,
        service: &ServiceName,
        caller: &CallerName,
    ) -> (&mut Budget, &mut Budget) {
        let window = self.settings.window;
        let service = budget_of(&mut self.services, service);
        let caller = budget_of(&mut self.callers, caller);
        service.rotate(now, window);
        caller.rotate(now, window);
        (service, caller)
    }
}

/// Returns the budget of `name`. Names come from declared resources, which bounds the map.
fn budget_of<'a, K: Clone + Eq + std::hash::Hash>(
    budgets: &'a mut IndexMap<K, Budget>,
    name: &K,
) -> &'a mut Budget {
    if !budgets.contains_key(name) {
        budgets.insert(name.clone(), Budget::default());
    }
    &mut budgets[name]
}

#[cfg(test)]
mod tests;
