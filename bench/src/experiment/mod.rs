//! The experiments.

mod config;
mod faults;
mod overhead;
mod ownership;
mod permits;
mod recovery;
mod scale;
mod tail;
mod verification;
mod workload;
mod zone;

use std::time::Duration;

use indicatif::ProgressBar;

use crate::Error;
use crate::report::Experiment;

/// What every experiment is given.
#[derive(Debug, Clone)]
pub(crate) struct Run {
    /// Seed of the schedules.
    pub(crate) seed: u64,
    /// Time that phases are measured in proportion to.
    pub(crate) duration: Duration,
    /// Entry instances.
    pub(crate) instances: usize,
    /// Where to show what is going on.
    pub(crate) progress: ProgressBar,
}

impl Run {
    /// Says what is going on.
    pub(crate) fn set_status(&self, text: impl Into<String>) {
        self.progress.set_message(text.into());
    }
}

/// An experiment by its name, what it shows, and how it is run.
pub(crate) type Definition = (
    &'static str,
    &'static str,
    fn(&Run) -> Result<Experiment, Error>,
);

/// Every experiment in the order in which `all` runs them.
pub(crate) const ALL: [Definition; 12] = [
    (
        "overhead",
        "added latency and calls per core-second against direct calls and a bare pass-through",
        overhead::run,
    ),
    (
        "tail",
        "urgent latency while other work offers 150% of capacity, Saatci's sizes",
        tail::saatci,
    ),
    ("tail-silos", "the same with Silos' sizes", tail::silos),
    (
        "measuring",
        "probes per target and second against instances that probe on their own",
        tail::measuring,
    ),
    (
        "zone",
        "a zone out and back under load, Saatci's sizes",
        zone::saatci,
    ),
    ("zone-silos", "the same with Silos' sizes", zone::silos),
    (
        "ownership",
        "an owner killed, one paused past its lease, the store down",
        ownership::run,
    ),
    (
        "faults",
        "mixed faults of targets and store, and what the callers were told",
        faults::run,
    ),
    (
        "scale",
        "cost of control as targets, services, callers and instances grow",
        scale::run,
    ),
    (
        "config",
        "time until a change is in force everywhere, with a healthy and a slow store",
        config::run,
    ),
    (
        "recovery",
        "time until an instance that is killed and replaced serves again",
        recovery::run,
    ),
    ("cold", "targets that turn cold under load", faults::cold),
];

/// The experiments of those names.
pub(crate) fn find(names: &[String]) -> Result<Vec<Definition>, Error> {
    if names.iter().any(|name| name == "all") {
        return Ok(ALL.to_vec());
    }
    let definition = |name: &String| {
        let definition = ALL.into_iter().find(|(known, _, _)| known == name);
        definition.ok_or_else(|| format!("no experiment {name}; `bench list` shows them").into())
    };
    names.iter().map(definition).collect()
}
