//! Token buckets of client accounts at their home instances.
//!
//! An account has up to [`MAX_HOMES`] homes, each of which keeps a bucket with an equal
//! part of the account's limit and grants tokens from it to the other instances. What was
//! granted by an earlier home, or by this one before it was restarted, is not known, so a
//! bucket starts nearly empty.

use std::time::Duration;

use indexmap::IndexMap;

use super::AccountLimit;
use crate::units::Time;

/// Maximum number of homes of an account.
pub const MAX_HOMES: usize = 3;
/// Time for which an instance may use a token, counted from when it asked for it.
pub const TOKEN_TTL: Duration = Duration::from_millis(250);
/// Fraction of the rate that is granted. The rest is for the time in which homes change.
const RATE_FRACTION: f64 = 0.93;
/// Fraction of the slack in each full bucket, so that the few requests of a small account
/// that come together are served.
const SLACK_FRACTION: f64 = 0.15;
/// Tokens in the bucket of a new home, if the slack has room for those of several homes
/// that change in a window.
const START_TOKENS: f64 = 1.0;
const MIN_SLACK_TO_START: f64 = 10.0;
/// Maximum time to come back that is told to an instance, so that tokens which others
/// have left are found.
const MAX_RETRY_AFTER: Duration = Duration::from_millis(500);

/// How the limits of accounts are counted.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct CapSettings {
    /// Sliding window in which requests are counted.
    pub window: Duration,
    /// Fraction of a limit that may be exceeded.
    pub over: f64,
    /// Requests in a window that may come in addition.
    pub slack: f64,
    /// Whether a new home's bucket starts nearly empty. Tests disable it to prove that the
    /// property test detects the excess.
    pub start_empty: bool,
    /// Whether the sides of a partition divide a limit; disabled like `start_empty`.
    pub divide_by_side: bool,
}

impl Default for CapSettings {
    /// Accounts keep their limits without any excess.
    fn default() -> Self {
        Self {
            window: Duration::from_secs(5),
            over: 0.0,
            slack: 0.0,
            start_empty: true,
            divide_by_side: true,
        }
    }
}

/// Part of an account's limit that each of its homes grants.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct HomeShare {
    /// Number of homes.
    pub homes: usize,
    /// Tokens a second.
    rate: f64,
    /// Size of the bucket.
    size: f64,
    /// Tokens with which the bucket starts.
    start: f64,
}

impl HomeShare {
    /// Divides a limit among homes. A side of a partition uses `fraction` of it; see
    /// [`side_fraction`].
    #[must_use]
    pub fn new(limit: AccountLimit, settings: &CapSettings, fraction: f64) -> Self {
        let fraction = if settings.divide_by_side {
            fraction
        } else {
            1.0
        };
        let window = settings.window.as_secs_f64();
        // What was granted just before a window is used in it.
        let in_window = window / (window + TOKEN_TTL.as_secs_f64());
        let rate = limit.rate * RATE_FRACTION * (1.0 + settings.over) * in_window;
        let size = |homes: f64| limit.burst / homes + settings.slack * SLACK_FRACTION;
        let homes = if size(3.0) >= 1.0 { MAX_HOMES } else { 1 };
        let parts = if homes == MAX_HOMES { 3.0 } else { 1.0 };
        let size = (size(parts) * fraction).max(1.0);
        let start = if !settings.start_empty {
            size
        } else if settings.slack >= MIN_SLACK_TO_START {
            START_TOKENS
        } else {
            0.0
        };
        Self {
            homes,
            rate: rate / parts * fraction,
            size,
            start,
        }
    }
}

/// Fraction of each limit that a side of a partition uses which sees the fraction `seen`
/// of all known instances: for any two sides that are a whole together, the fractions add
/// up to 1, and a side with nearly all instances uses nearly all.
#[must_use]
pub fn side_fraction(seen: f64) -> f64 {
    let seen = seen.clamp(0.0, 1.0);
    seen * seen * (3.0 - 2.0 * seen)
}

/// Answer of a home to a request for tokens.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Grant {
    /// Tokens granted.
    pub tokens: u16,
    /// If there are none, the time until one is expected for the instance that asked.
    pub retry_after: Duration,
}

#[derive(Debug, Clone, Copy, PartialEq)]
struct Bucket {
    /// When it started to fill.
    fills_from: Time,
    level: f64,
    filled_at: Time,
    /// Until when the tokens to come have been announced to instances.
    announced: Time,
}

/// The buckets that an instance keeps as a home, by account key. A full bucket is not
/// stored.
#[derive(Debug, Clone, Default)]
pub struct HomeBuckets {
    buckets: IndexMap<u64, Bucket>,
}

impl HomeBuckets {
    /// Takes up to `want` tokens of an account from its bucket, which fills from
    /// `fills_from`.
    pub fn grant(
        &mut self,
        now: Time,
        account: u64,
        fills_from: Time,
        share: &HomeShare,
        want: u16,
    ) -> Grant {
        if now < fills_from && share.start < share.size {
            return Grant {
                tokens: 0,
                retry_after: fills_from.since(now).min(MAX_RETRY_AFTER),
            };
        }
        let new = Bucket {
            fills_from,
            level: share.start,
            filled_at: fills_from,
            announced: Time::ZERO,
        };
        let bucket = self.buckets.entry(account).or_insert(new);
        if bucket.fills_from != fills_from {
            *bucket = new;
        }
        let filled = bucket.level + share.rate * now.since(bucket.filled_at).as_secs_f64();
        bucket.level = filled.min(share.size);
        bucket.filled_at = now.max(bucket.filled_at);
        let available = bucket.level.floor().max(0.0).min(f64::from(want));
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "at most `want`"
        )]
        let tokens = available as u16;
        if tokens > 0 {
            bucket.level -= f64::from(tokens);
            return Grant {
                tokens,
                retry_after: Duration::ZERO,
            };
        }
        // Each instance is told a time of its own, so that they don't all come back for
        // the next token.
        let time_of = |tokens: f64| {
            Duration::try_from_secs_f64(tokens / share.rate)
                .unwrap_or(MAX_RETRY_AFTER)
                .min(MAX_RETRY_AFTER)
        };
        let next = now.after(time_of(1.0 - bucket.level));
        let expected = next.max(bucket.announced);
        let expected = if expected.since(now) > MAX_RETRY_AFTER {
            now.after(MAX_RETRY_AFTER)
        } else {
            bucket.announced = expected.after(time_of(1.0));
            expected
        };
        Grant {
            tokens: 0,
            retry_after: expected.since(now),
        }
    }

    /// Tokens in the bucket of an account; `None` if it is not stored.
    #[must_use]
    pub fn level(&self, now: Time, account: u64, share: &HomeShare) -> Option<f64> {
        let bucket = self.buckets.get(&account)?;
        let filled = bucket.level + share.rate * now.since(bucket.filled_at).as_secs_f64();
        Some(filled.min(share.size))
    }

    /// Drops the full buckets that a new bucket would equal, and those for which `home` has
    /// nothing once all that they granted is older than `window`.
    pub fn remove_expired(
        &mut self,
        now: Time,
        window: Duration,
        home: impl Fn(u64) -> Option<(Time, HomeShare)>,
    ) {
        let window = window + TOKEN_TTL;
        self.buckets.retain(|account, bucket| {
            let Some((fills_from, share)) = home(*account) else {
                return now.since(bucket.filled_at) <= window;
            };
            let level = |level: f64, at: Time| level + share.rate * now.since(at).as_secs_f64();
            let new = level(share.start, fills_from);
            level(bucket.level, bucket.filled_at) < share.size || new < share.size
        });
    }
}

#[cfg(test)]
mod tests;
