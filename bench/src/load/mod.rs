//! Open-loop load: arrivals by a seeded schedule, latency from the intended start.

mod client;
mod generator;
mod outcome;
mod plan;

pub(crate) use client::fetch;
pub(crate) use generator::run;
pub(crate) use outcome::{ClassResult, Results};
pub(crate) use plan::{Class, ClosedLoop, Plan, Routes, Stream};
