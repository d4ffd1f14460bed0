//! The embedded engine: instances as real processes, with the stand-in platform and targets.

mod admission;
mod callers;
mod common;
mod config;
mod keyed;
mod keys;
mod limits;
mod log;
mod membership;
mod mixed;
mod outcome;
mod ownership;
mod path;
mod probes;
mod spread;
mod steering;
mod zone;
