//! Client accounts: their keys, their limits over all instances, and their shares.
//!
//! See `docs/design/client-accounts.md`.

pub mod cap;
mod fair;
mod key;
pub mod lease;
mod table;
mod usage;

pub use self::fair::FairShares;
pub use self::key::{KeyDigest, KeyProblem};
pub use self::table::AccountTable;
pub use self::usage::{AccountCounts, AccountUsage};
use crate::macros::data;
use crate::names::CallerName;

data! {
    /// A client account of a configuration.
    pub struct Account {
        /// Name given by the operator; targets are told this name.
        pub name: CallerName,
        /// Its keys.
        pub keys: Vec<KeyDigest>,
        /// Priority of its requests instead of that of their route; 0 is the most urgent.
        pub priority: Option<u32>,
        /// Limit on its requests; `None` if they are not limited.
        pub limit: Option<AccountLimit>,
    }

    /// Limit on the requests of an account, from all instances together.
    #[derive(Copy)]
    pub struct AccountLimit {
        /// Requests a second.
        pub rate: f64,
        /// Requests in addition that may come at once.
        pub burst: f64,
    }
}
