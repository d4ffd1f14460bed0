//! A fault soak: real processes of entry instances in front of stand-ins of the prepared
//! platform, faults drawn from a seed, and checks of what callers and targets observed.

pub mod check;
pub mod plan;

mod callers;
mod cluster;
mod proxy;
mod run;

pub use run::{Options, run};
