//! Finds the account of a key.

use std::sync::Arc;

use indexmap::IndexMap;

use super::{Account, KeyDigest};

/// The accounts of a configuration by their keys.
#[derive(Debug, Clone, Default)]
pub struct AccountTable {
    by_key: IndexMap<KeyDigest, Arc<Account>>,
    accounts: Vec<Arc<Account>>,
}

impl AccountTable {
    /// Builds the table.
    #[must_use]
    pub fn new(accounts: &[Account]) -> Self {
        let accounts: Vec<Arc<Account>> = accounts.iter().cloned().map(Arc::new).collect();
        let mut by_key = IndexMap::with_capacity(accounts.iter().map(|one| one.keys.len()).sum());
        for account in &accounts {
            by_key.extend(account.keys.iter().map(|key| (*key, account.clone())));
        }
        Self { by_key, accounts }
    }

    /// The account of a key.
    #[must_use]
    pub fn find(&self, key: &KeyDigest) -> Option<&Arc<Account>> {
        self.by_key.get(key)
    }

    /// All accounts, in the order of the configuration.
    #[must_use]
    pub fn accounts(&self) -> &[Arc<Account>] {
        &self.accounts
    }
}

#[cfg(test)]
mod tests;
