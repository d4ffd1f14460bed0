//! A target's reported load.

use crate::macros::data;
use crate::units::Time;

data! {
    /// Load that a target reported.
    #[derive(Copy, Eq)]
    pub struct Load {
        /// Requests that run now.
        pub running: u32,
        /// Requests that wait at the target.
        pub waiting: u32,
        /// Requests that it runs concurrently.
        pub slots: u32,
        /// Current duration of work in percent of the usual.
        pub slowness_percent: u32,
    }
}

/// A load report with its time and this instance's requests in flight at that time.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LoadReport {
    /// The reported load.
    pub load: Load,
    /// When the target reported it.
    pub at: Time,
    /// This instance's requests in flight when the report arrived.
    pub own_in_flight: u32,
}

impl Load {
    /// Requests that run or wait; targets may report absurd numbers.
    #[must_use]
    pub fn occupied(&self) -> u32 {
        self.running.saturating_add(self.waiting)
    }
}
