//! The tokens that an instance holds for client accounts, and which home it asks for more.

use std::time::Duration;

use indexmap::IndexMap;

use super::cap::{Grant, MAX_HOMES, TOKEN_TTL};
use crate::units::Time;

/// Time in which a home usually answers; then the next one is asked. An answer that
/// arrives later counts all the same.
const ANSWER_TIME: Duration = Duration::from_millis(25);
/// Time for which a home that did not answer is asked after the others.
const SILENCE_MEMORY: Duration = Duration::from_secs(1);
/// Longest wait of a request for a token: each of the [`MAX_HOMES`] homes has been asked once.
/// Another instance may reach one of them, and answer the caller sooner.
pub const MAX_WAIT: Duration = Duration::from_millis(80);
/// Time to come back when no home answered: another instance may reach one.
const RETRY_AFTER_SILENCE: Duration = Duration::from_millis(50);
/// Shortest time for which a home that has no token is not asked again.
const MIN_REFUSAL: Duration = Duration::from_millis(1);
/// Time whose expected demand is asked for at once, less than [`TOKEN_TTL`].
const PREFETCH: Duration = Duration::from_millis(200);
/// Time constant of the measured demand.
const DEMAND_TIME: Duration = Duration::from_secs(1);
/// Time after which an account without requests is forgotten.
const IDLE_TIME: Duration = Duration::from_secs(10);
/// Maximum tokens that are asked for at once.
const MAX_WANT: u16 = 1000;

/// A token that was taken for a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Token {
    expires: Time,
}

/// Why a request of an account is refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, derive_more::Display)]
pub enum Because {
    /// The homes have no token left.
    #[display("over the limit")]
    OverLimit,
    /// No home answered.
    #[display("no home answered")]
    NoAnswer,
}

/// What a request of an account does next.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Decision {
    /// It has a token.
    Taken(Token),
    /// The home at this position is asked, then it waits until the given time or until
    /// tokens arrive.
    Ask {
        /// Position of the home.
        home: usize,
        /// Number of this question; the answer repeats it.
        number: u32,
        /// Tokens to ask for.
        want: u16,
        /// Until when it waits.
        until: Time,
    },
    /// It waits until this time or until tokens arrive.
    Wait(Time),
    /// It is refused.
    Refused {
        /// When a token is expected.
        retry_after: Duration,
        /// The reason.
        because: Because,
    },
}

/// A question to a home that has not been answered.
#[derive(Debug, Clone, Copy)]
struct Question {
    number: u32,
    at: Time,
    want: u16,
}

/// What is known of one home.
#[derive(Debug, Clone, Copy, Default)]
struct Home {
    question: Option<Question>,
    /// Until when it has no token.
    refused_until: Time,
    /// Until when it counts as silent.
    silent_until: Time,
}

/// What an instance holds and knows of one account.
#[derive(Debug, Clone)]
struct Lease {
    /// Tokens held, and when they expire.
    held: Vec<(u16, Time)>,
    homes: [Home; MAX_HOMES],
    /// Smoothed requests a second.
    demand: f64,
    /// When the last request came.
    last_request: Time,
    /// Requests that wait for a token.
    waiting: u16,
}

/// What an instance holds for all accounts, by account key.
#[derive(Debug, Clone, Default)]
pub struct Leases {
    by_account: IndexMap<u64, Lease>,
    last_number: u32,
    /// Numbers of the open questions, with their account and home.
    open: IndexMap<u32, (u64, usize)>,
}

impl Leases {
    /// Creates an empty state whose questions are numbered from `first_number`. It should
    /// differ between runs, so that no answer to an earlier run counts.
    #[must_use]
    pub fn new(first_number: u32) -> Self {
        Self {
            last_number: first_number,
            ..Self::default()
        }
    }

    /// Counts a new request of an account, which then waits until [`Self::end_wait`].
    pub fn begin_wait(&mut self, now: Time, account: u64) {
        let lease = self.by_account.entry(account).or_insert_with(|| Lease {
            held: Vec::new(),
            homes: [Home::default(); MAX_HOMES],
            demand: 0.0,
            last_request: now,
            waiting: 0,
        });
        lease.count_request(now);
        lease.waiting = lease.waiting.saturating_add(1);
    }

    /// Ends the wait of a request, with a token or without.
    pub fn end_wait(&mut self, account: u64) {
        if let Some(lease) = self.by_account.get_mut(&account) {
            lease.waiting = lease.waiting.saturating_sub(1);
        }
    }

    /// What a request does that has been waiting since `since`, for an account with this
    /// many `homes`.
    pub fn next(&mut self, now: Time, account: u64, since: Time, homes: usize) -> Decision {
        let Some(lease) = self.by_account.get_mut(&account) else {
            return Decision::Refused {
                retry_after: RETRY_AFTER_SILENCE,
                because: Because::NoAnswer,
            };
        };
        if let Some(expires) = lease.take(now) {
            return Decision::Taken(Token { expires });
        }
        let end = since.after(MAX_WAIT);
        let homes = &mut lease.homes[..homes.min(MAX_HOMES)];
        for home in &mut *homes {
            home.note_silence(now);
        }
        if now >= end || homes.is_empty() {
            return refusal(now, homes);
        }
        if let Some(pending) = homes
            .iter()
            .filter_map(|home| home.question)
            .map(|question| question.at.after(ANSWER_TIME))
            .filter(|until| now < *until)
            .min()
        {
            return Decision::Wait(pending.min(end));
        }
        let askable = |home: &Home| now >= home.refused_until && home.question.is_none();
        let order = (0..homes.len()).filter(|index| askable(&homes[*index]));
        let Some(home) = order.min_by_key(|index| (now < homes[*index].silent_until, *index))
        else {
            let next = homes
                .iter()
                .filter(|home| home.question.is_none())
                .map(|home| home.refused_until)
                .min();
            return match next {
                // It is worth waiting for.
                Some(next) if next < end => Decision::Wait(next),
                _ if homes.iter().any(|home| home.question.is_some()) => Decision::Wait(end),
                _ => refusal(now, homes),
            };
        };
        self.last_number = self.last_number.wrapping_add(1);
        let number = self.last_number;
        let want = lease.want();
        lease.homes[home].question = Some(Question {
            number,
            at: now,
            want,
        });
        self.open.insert(number, (account, home));
        Decision::Ask {
            home,
            number,
            want,
            until: now.after(ANSWER_TIME).min(end),
        }
    }

    /// Records the answer to a question. Returns whether it was open: an answer that
    /// arrives twice counts once.
    pub fn receive(&mut self, now: Time, number: u32, grant: Grant) -> bool {
        let Some((account, home)) = self.open.swap_remove(&number) else {
            return false;
        };
        let Some(lease) = self.by_account.get_mut(&account) else {
            return false;
        };
        let known = &mut lease.homes[home];
        let Some(question) = known.question.filter(|question| question.number == number) else {
            return false;
        };
        known.question = None;
        known.silent_until = Time::ZERO;
        if grant.tokens == 0 {
            known.refused_until = now.after(grant.retry_after.max(MIN_REFUSAL));
            return true;
        }
        known.refused_until = Time::ZERO;
        let expires = question.at.after(TOKEN_TTL);
        if now < expires {
            lease.held.push((grant.tokens.min(question.want), expires));
        }
        true
    }

    /// Returns the token of a request that no target got.
    pub fn give_back(&mut self, now: Time, account: u64, token: Token) {
        if let Some(lease) = self.by_account.get_mut(&account)
            && now < token.expires
        {
            lease.held.push((1, token.expires));
        }
    }

    /// Forgets what the homes of all accounts said, when they may be others.
    pub fn forget_homes(&mut self) {
        self.open.clear();
        for lease in self.by_account.values_mut() {
            lease.homes = [Home::default(); MAX_HOMES];
        }
    }

    /// Drops the accounts without requests.
    pub fn remove_expired(&mut self, now: Time) {
        self.by_account
            .retain(|_, lease| lease.waiting > 0 || now.since(lease.last_request) < IDLE_TIME);
        let by_account = &mut self.by_account;
        self.open.retain(|number, (account, home)| {
            let Some(lease) = by_account.get_mut(account) else {
                return false;
            };
            let known = &mut lease.homes[*home];
            known.note_silence(now);
            known
                .question
                .is_some_and(|question| question.number == *number)
        });
    }

    /// Tokens held for an account, and its requests a second.
    #[must_use]
    pub fn usage(&self, now: Time, account: u64) -> Option<(u32, f64)> {
        let lease = self.by_account.get(&account)?;
        let held = lease.held.iter().filter(|(_, expires)| now < *expires);
        let tokens = held.map(|(tokens, _)| u32::from(*tokens)).sum();
        let quiet = now.since(lease.last_request).as_secs_f64();
        Some((
            tokens,
            lease.demand * (-quiet / DEMAND_TIME.as_secs_f64()).exp(),
        ))
    }
}

impl Lease {
    fn count_request(&mut self, now: Time) {
        let time = DEMAND_TIME.as_secs_f64();
        let quiet = now.since(self.last_request).as_secs_f64();
        self.demand = self.demand * (-quiet / time).exp() + 1.0 / time;
        self.last_request = now;
    }

    /// Takes the token that expires first.
    fn take(&mut self, now: Time) -> Option<Time> {
        self.held
            .retain(|(tokens, expires)| *tokens > 0 && now < *expires);
        let first = self.held.iter_mut().min_by_key(|(_, expires)| *expires)?;
        first.0 -= 1;
        Some(first.1)
    }

    /// Tokens to ask for: those of the waiting requests, and of the requests expected.
    fn want(&self) -> u16 {
        let expected = (self.demand * PREFETCH.as_secs_f64()).floor();
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "at most `MAX_WANT`"
        )]
        let expected = expected.min(f64::from(MAX_WANT)) as u16;
        self.waiting.max(expected).clamp(1, MAX_WANT)
    }
}

impl Home {
    /// Notes that a question was not answered in time; an answer is no longer of use once
    /// its tokens have expired.
    fn note_silence(&mut self, now: Time) {
        let Some(question) = self.question else {
            return;
        };
        if now >= question.at.after(ANSWER_TIME) && self.silent_until < question.at {
            self.silent_until = question.at.after(SILENCE_MEMORY);
        }
        if now >= question.at.after(TOKEN_TTL) {
            self.question = None;
        }
    }
}

/// The refusal after the answers of these homes.
fn refusal(now: Time, homes: &[Home]) -> Decision {
    let refused = homes.iter().filter(|home| now < home.refused_until);
    let next = refused.map(|home| home.refused_until.since(now)).min();
    match next {
        Some(retry_after) => Decision::Refused {
            retry_after,
            because: Because::OverLimit,
        },
        None => Decision::Refused {
            retry_after: RETRY_AFTER_SILENCE,
            because: Because::NoAnswer,
        },
    }
}

#[cfg(test)]
mod tests;
