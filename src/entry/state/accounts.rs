//! Decides whose requests are admitted by their keys.

use std::sync::Arc;

use http::HeaderMap;

use super::State;
use crate::account::{Account, AccountTable, KeyDigest, KeyProblem};
use crate::entry::model::Route;
use crate::entry::request::outcome::Outcome;
use crate::units::Time;

impl State {
    /// Whether requests need the key of an account, except on public routes.
    pub(crate) fn uses_accounts(&self) -> bool {
        let has_accounts = |table: &AccountTable| !table.accounts().is_empty();
        self.settings.accounts.is_some() || self.accounts.as_ref().is_some_and(has_accounts)
    }

    /// The account of a request; `None` if accounts are not used, or if the route is public
    /// and the request has no valid key.
    ///
    /// # Errors
    /// The outcome of a request that is not admitted.
    pub(crate) fn authenticate(
        &self,
        now: Time,
        route: &Route,
        headers: &HeaderMap,
    ) -> Result<Option<Arc<Account>>, Outcome> {
        if !self.uses_accounts() {
            return Ok(None);
        }
        if route.public {
            let account = self.accounts.as_ref().map(|table| find(table, headers));
            return Ok(account.and_then(Result::ok));
        }
        let Some(table) = self.accounts.as_ref().filter(|_| self.knows_keys(now)) else {
            return Err(Outcome::KeysUnknown);
        };
        find(table, headers).map(Some).map_err(|problem| {
            let outcome = self.denial(Outcome::KeyRejected);
            if outcome == Outcome::KeyRejected {
                tracing::info!(
                    route = &*route.name,
                    version = self.status.version,
                    %problem,
                    "key rejected"
                );
            }
            outcome
        })
    }

    /// Whether this instance would have learned of keys that were withdrawn longer ago than
    /// the settings allow, if they ask for that.
    fn knows_keys(&self, now: Time) -> bool {
        let Some(settings) = &self.settings.accounts else {
            return true;
        };
        let is_recent = |at| now.since(at) < settings.revoke_time;
        !settings.fail_closed || self.freshness.last_answer().is_some_and(is_recent)
    }
}

fn find(table: &AccountTable, headers: &HeaderMap) -> Result<Arc<Account>, KeyProblem> {
    let values = headers.get_all(http::header::AUTHORIZATION).iter();
    let key = KeyDigest::of_authorization(values.map(http::HeaderValue::as_bytes))?;
    table.find(&key).cloned().ok_or(KeyProblem::Unknown(key))
}

#[cfg(test)]
mod tests;
