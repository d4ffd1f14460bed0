//! Experiments and their registry.

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

/// Parameters of a run.
#[derive(Debug, Clone)]
pub(crate) struct Run {
    /// Seed of the arrival schedules and faults.
    pub(crate) seed: u64,
    /// Time that the lengths of all phases are proportional to.
    pub(crate) duration: Duration,
    /// Number of instances, where the experiment doesn't set it.
    pub(crate) instances: usize,
    /// Progress bar.
    pub(crate) progress: ProgressBar,
}

impl Run {
    /// Sets the message beside the progress bar.
    pub(crate) fn set_status(&self, text: impl Into<String>) {
        self.progress.set_message(text.into());
    }
}

/// Name, description and function of an experiment.
pub(crate) type Definition = (
    &'static str,
    &'static str,
    fn(&Run) -> Result<Experiment, Error>,
);

/// All experiments, in the order in which `all` runs them.
pub(crate) const ALL: [Definition; 12] = [
    (
        "overhead",
        "added latency and calls per core-second, compared with direct calls and a bare pass-through",
        overhead::run,
    ),
    (
        "tail",
        "latency of urgent calls while other work offers 150% of capacity, deployment of Saatci",
        tail::saatci,
    ),
    (
        "tail-silos",
        "the same for the deployment of Silos",
        tail::silos,
    ),
    (
        "measuring",
        "probes per target and second, compared with instances that probe independently",
        tail::measuring,
    ),
    (
        "zone",
        "a zone evacuated and returned to service under load, deployment of Saatci",
        zone::saatci,
    ),
    (
        "zone-silos",
        "the same for the deployment of Silos",
        zone::silos,
    ),
    (
        "ownership",
        "an owner killed, one paused past its lease, and the store down",
        ownership::run,
    ),
    (
        "faults",
        "mixed faults of targets and store, and whether reported outcomes were correct",
        faults::run,
    ),
    (
        "scale",
        "cost of the control plane as targets, services, callers and instances grow",
        scale::run,
    ),
    (
        "config",
        "time until a change is in force everywhere, with a healthy and a slow store",
        config::run,
    ),
    (
        "recovery",
        "time until the replacement of a stopped or killed instance is ready",
        recovery::run,
    ),
    ("cold", "targets that restart cold under load", faults::cold),
];

/// Returns the experiments with the given names, or all for `all`.
pub(crate) fn find(names: &[String]) -> Result<Vec<Definition>, Error> {
    if names.iter().any(|name| name == "all") {
        return Ok(ALL.to_vec());
    }
    let definition = |name: &String| {
        let definition = ALL.into_iter().find(|(known, _, _)| known == name);
        definition
            .ok_or_else(|| format!("unknown experiment `{name}`; `bench list` shows all").into())
    };
    names.iter().map(definition).collect()
}
