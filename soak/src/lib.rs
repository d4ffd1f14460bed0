//! A fault soak: entry instances as real processes before stand-ins of the prepared
//! platform, faults drawn from a seed, and checks of what callers and targets saw.

pub mod check;
pub mod plan;

mod callers;
mod proxy;
mod run;
mod world;

pub use run::{Options, run};
