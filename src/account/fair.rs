//! Start-time fair queueing: what each account has had says whose turn it is.
//!
//! An account's requests start at increasing virtual times, each the cost of a request
//! after the one before, and the lowest start goes first. Under a load that fills a service,
//! an account that sends many times its usual thus waits behind its own requests and not
//! the others behind them. An account that was idle starts at the present virtual time, so
//! what nobody used earlier is owed to nobody. All accounts weigh the same, whatever
//! connections or instances they use.

use std::collections::BTreeSet;
use std::time::Duration;

use indexmap::IndexMap;

use crate::names::CallerName;

/// Accounts whose use is remembered beyond the present virtual time. Those that are ahead
/// the least are forgotten first, so that the cost does not grow with the accounts.
const MAX_REMEMBERED: usize = 256;

/// Virtual times of the accounts. Requests without an account share one.
#[derive(Debug, Clone, Default)]
pub struct FairShares {
    /// Latest start of a request that was sent.
    now: Duration,
    /// End of the last request of each account that is ahead of `now`.
    ends: IndexMap<Option<CallerName>, Duration>,
    by_end: BTreeSet<(Duration, Option<CallerName>)>,
}

impl FairShares {
    /// Virtual start of the next request of an account that has none waiting.
    #[must_use]
    pub fn start_of(&self, account: Option<&CallerName>) -> Duration {
        let end = self.ends.get(&account.cloned()).copied();
        end.unwrap_or_default().max(self.now)
    }

    /// Records that a request with this virtual start was sent, and returns the start of
    /// the account's next one.
    pub fn record(
        &mut self,
        account: Option<&CallerName>,
        start: Duration,
        cost: Duration,
    ) -> Duration {
        self.now = self.now.max(start);
        let end = start + cost;
        let account = account.cloned();
        if let Some(known) = self.ends.insert(account.clone(), end) {
            self.by_end.remove(&(known, account.clone()));
        }
        self.by_end.insert((end, account));
        while let Some((first, _)) = self.by_end.first()
            && (*first <= self.now || self.by_end.len() > MAX_REMEMBERED)
            && let Some((_, account)) = self.by_end.pop_first()
        {
            self.ends.swap_remove(&account);
        }
        end
    }
}

#[cfg(test)]
mod tests;
