//! Counts the requests of each account for operators.

use std::cmp::Reverse;

use indexmap::{IndexMap, IndexSet};

use super::Account;
use crate::names::CallerName;

/// Requests of an account at this instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default, serde::Serialize)]
pub struct AccountCounts {
    /// Requests with one of its keys.
    pub requests: u64,
    /// Those that a target answered.
    pub answered: u64,
    /// Those that were refused and not run.
    pub refused: u64,
}

impl AccountCounts {
    fn add(&mut self, other: Self) {
        self.requests += other.requests;
        self.answered += other.answered;
        self.refused += other.refused;
    }
}

/// The counts of all accounts that have sent requests.
#[derive(Debug, Clone, Default)]
pub struct AccountUsage {
    by_name: IndexMap<CallerName, AccountCounts>,
}

impl AccountUsage {
    /// Adds to the counts of an account.
    pub fn add(&mut self, name: &CallerName, counts: AccountCounts) {
        if let Some(known) = self.by_name.get_mut(name) {
            known.add(counts);
        } else {
            self.by_name.insert(name.clone(), counts);
        }
    }

    /// The counts of an account.
    #[must_use]
    pub fn get(&self, name: &CallerName) -> AccountCounts {
        self.by_name.get(name).copied().unwrap_or_default()
    }

    /// Drops the counts of accounts that are not among `accounts`.
    pub fn retain(&mut self, accounts: &[Account]) {
        let names: IndexSet<&CallerName> = accounts.iter().map(|account| &account.name).collect();
        self.by_name.retain(|name, _| names.contains(name));
    }

    /// The `count` accounts with the most requests, and the sum of all others.
    #[must_use]
    pub fn busiest(&self, count: usize) -> (Vec<(&CallerName, AccountCounts)>, AccountCounts) {
        let mut all: Vec<_> = self
            .by_name
            .iter()
            .map(|(name, one)| (name, *one))
            .collect();
        if count < all.len() {
            all.select_nth_unstable_by_key(count, |(_, one)| Reverse(one.requests));
        }
        let mut others = AccountCounts::default();
        for (_, one) in all.drain(count.min(all.len())..) {
            others.add(one);
        }
        (all, others)
    }
}

#[cfg(test)]
mod tests;
