//! The limits of client accounts: the tokens that this instance grants as a home, and those
//! that it takes for its own requests.

use std::net::SocketAddr;
use std::time::Duration;

use indexmap::IndexMap;

use super::homes::{Homes, account_key};
use super::members::Members;
use super::message::{TokenGrant, TokenRequest};
use crate::account::cap::{CapSettings, Grant, HomeBuckets, HomeShare};
use crate::account::lease::{Because, Decision, Leases, Token};
use crate::account::{Account, AccountLimit};
use crate::names::{CallerName, ZoneName};
use crate::units::Time;

/// Time to come back to an instance that is no home by its own view, or doesn't know the
/// account yet.
const RETRY_AFTER_UNKNOWN: Duration = Duration::from_millis(50);
/// Maximum accounts in the state dump.
const MAX_DUMPED: usize = 1000;

/// The limits of the accounts of the configuration in force, and their state here.
#[derive(Debug)]
pub(crate) struct AccountCaps {
    own: SocketAddr,
    settings: CapSettings,
    limits: IndexMap<u64, (CallerName, AccountLimit)>,
    homes: Homes,
    buckets: HomeBuckets,
    leases: Leases,
}

/// What a request does next to get a token.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum NextStep {
    /// It has one.
    Taken(Token),
    /// It sends this to a home, if any, and waits until the given time or until tokens
    /// arrive.
    Wait(Option<(SocketAddr, TokenRequest)>, Time),
    /// It is refused.
    Refused {
        /// When a token is expected.
        retry_after: Duration,
        /// The reason.
        because: Because,
    },
}

impl AccountCaps {
    /// Creates the state of the instance at `own`, which numbers its questions from
    /// `first_number`.
    pub(crate) fn new(own: SocketAddr, first_number: u32) -> Self {
        Self {
            own,
            settings: CapSettings::default(),
            limits: IndexMap::new(),
            homes: Homes::new(own),
            buckets: HomeBuckets::default(),
            leases: Leases::new(first_number),
        }
    }

    /// Takes over the limits of a new configuration; they hold at once.
    pub(crate) fn set_accounts(&mut self, accounts: &[Account]) {
        let limited = accounts.iter().filter_map(|account| {
            let limit = account.limit?;
            Some((account_key(&account.name), (account.name.clone(), limit)))
        });
        self.limits = limited.collect();
    }

    /// Takes over the settings and what is known of the other instances, and drops what has
    /// expired.
    pub(crate) fn update(
        &mut self,
        now: Time,
        settings: CapSettings,
        members: &Members,
        own_zone: &ZoneName,
        is_leaving: bool,
    ) {
        self.settings = settings;
        if self.limits.is_empty() {
            return;
        }
        if self.homes.update(now, members, own_zone, is_leaving) {
            self.leases.forget_homes();
        }
        self.leases.remove_expired(now);
        let (limits, homes) = (&self.limits, &self.homes);
        self.buckets
            .remove_expired(now, settings.window, |account| {
                let (_, limit) = limits.get(&account)?;
                let share = HomeShare::new(*limit, &settings, homes.fraction());
                Some((homes.grants_from(account, share.homes)?, share))
            });
    }

    /// Key of an account if it has a limit.
    pub(crate) fn limited_account(&self, account: &CallerName) -> Option<u64> {
        if self.limits.is_empty() {
            return None;
        }
        let key = account_key(account);
        self.limits.contains_key(&key).then_some(key)
    }

    /// Counts a request that waits for a token until [`Self::end_wait`].
    pub(crate) fn begin_wait(&mut self, now: Time, account: u64) {
        self.leases.begin_wait(now, account);
    }

    /// Ends the wait of a request.
    pub(crate) fn end_wait(&mut self, account: u64) {
        self.leases.end_wait(account);
    }

    /// What a request does next that has been waiting for a token since `since`.
    pub(crate) fn next_step(&mut self, now: Time, account: u64, since: Time) -> NextStep {
        let homes = self
            .share(account)
            .map(|share| self.homes.order(account, share.homes))
            .unwrap_or_default();
        loop {
            match self.leases.next(now, account, since, homes.len()) {
                Decision::Taken(token) => return NextStep::Taken(token),
                Decision::Wait(until) => return NextStep::Wait(None, until),
                Decision::Refused {
                    retry_after,
                    because,
                } => {
                    return NextStep::Refused {
                        retry_after,
                        because,
                    };
                }
                Decision::Ask {
                    home,
                    number,
                    want,
                    until,
                } => {
                    let request = TokenRequest {
                        account,
                        number,
                        want,
                    };
                    if homes[home] != self.own {
                        return NextStep::Wait(Some((homes[home], request)), until);
                    }
                    let granted = self.grant(now, &request);
                    self.receive(now, granted);
                }
            }
        }
    }

    /// Answers a request for tokens.
    pub(crate) fn grant(&mut self, now: Time, request: &TokenRequest) -> TokenGrant {
        let account = request.account;
        let granted = self.share(account).and_then(|share| {
            let fills_from = self.homes.grants_from(account, share.homes)?;
            let buckets = &mut self.buckets;
            Some(buckets.grant(now, account, fills_from, &share, request.want))
        });
        let granted = granted.unwrap_or(Grant {
            tokens: 0,
            retry_after: RETRY_AFTER_UNKNOWN,
        });
        TokenGrant {
            number: request.number,
            tokens: granted.tokens,
            retry_after_ms: whole_millis(granted.retry_after),
        }
    }

    /// Records the answer of a home; returns whether it was expected.
    pub(crate) fn receive(&mut self, now: Time, granted: TokenGrant) -> bool {
        let answer = Grant {
            tokens: granted.tokens,
            retry_after: Duration::from_millis(granted.retry_after_ms.into()),
        };
        self.leases.receive(now, granted.number, answer)
    }

    /// Returns the token of a request that no target got.
    pub(crate) fn give_back(&mut self, now: Time, account: u64, token: Token) {
        self.leases.give_back(now, account, token);
    }

    /// The limited accounts that are in use here, for the state dump.
    pub(crate) fn dump(&self, now: Time) -> Vec<serde_json::Value> {
        let in_use = self.limits.iter().filter_map(|(key, (name, limit))| {
            let share = self.share(*key)?;
            let usage = self.leases.usage(now, *key);
            let level = self.buckets.level(now, *key, &share);
            (usage.is_some() || level.is_some()).then(|| {
                serde_json::json!({
                    "account": name,
                    "rate": limit.rate,
                    "burst": limit.burst,
                    "homes": self.homes.order(*key, share.homes),
                    "is_home": self.homes.grants_from(*key, share.homes).is_some(),
                    "bucket": level,
                    "tokens": usage.map(|(tokens, _)| tokens),
                    "requests_per_second": usage.map(|(_, demand)| demand),
                })
            })
        });
        in_use.take(MAX_DUMPED).collect()
    }

    /// Part of an account's limit that each of its homes grants, by this instance's view.
    fn share(&self, account: u64) -> Option<HomeShare> {
        let (_, limit) = self.limits.get(&account)?;
        let fraction = self.homes.fraction();
        Some(HomeShare::new(*limit, &self.settings, fraction))
    }
}

/// A duration in milliseconds, rounded up: a token is not there earlier.
fn whole_millis(duration: Duration) -> u16 {
    u16::try_from(duration.as_micros().div_ceil(1000)).unwrap_or(u16::MAX)
}

#[cfg(test)]
mod tests;
