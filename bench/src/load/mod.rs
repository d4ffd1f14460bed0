//! Load generation. Arrivals of open-loop streams follow a seeded schedule, and
//! latency counts from the scheduled time, so a slow system can't hide its queueing.

mod client;
mod generator;
mod outcome;
mod plan;

pub(crate) use client::fetch;
pub(crate) use generator::run;
pub(crate) use outcome::{ClassResult, Results};
pub(crate) use plan::{Class, ClosedLoop, Plan, Routes, Stream};
