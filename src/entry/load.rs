//! A target's load as it reports it, and its age.

use crate::macros::data;
use crate::units::Time;

data! {
    /// Load that a target reported.
    #[derive(Copy, Eq)]
    pub struct Load {
        /// Requests that run.
        pub running: u32,
        /// Requests that wait at the target.
        pub waiting: u32,
        /// Requests that run at a time.
        pub slots: u32,
        /// How long work takes at the moment; 100 is the usual.
        pub slowness_percent: u32,
    }
}

/// A report with the time it was made and this instance's own requests at that time.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LoadReport {
    /// The load.
    pub load: Load,
    /// When it was reported.
    pub at: Time,
    /// This instance's requests in flight when the report was taken in.
    pub own_in_flight: u32,
}
