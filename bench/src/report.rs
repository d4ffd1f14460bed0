//! The results of a run, as exported in JSON.

use std::path::Path;

use serde::{Deserialize, Serialize};

use crate::Error;

/// One run of the bench.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub(crate) struct Report {
    /// The command that was given.
    pub(crate) command: String,
    /// Revision of the sources.
    pub(crate) revision: String,
    /// Seed of the schedules.
    pub(crate) seed: u64,
    /// Processor cores of the machine.
    pub(crate) cores: usize,
    /// Load of the machine over the last minute when the run began.
    pub(crate) load_before: String,
    /// Whether the executables were built with optimisation.
    pub(crate) optimised: bool,
    /// The experiments.
    pub(crate) experiments: Vec<Experiment>,
}

/// One experiment of a run.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub(crate) struct Experiment {
    /// Its name.
    pub(crate) name: String,
    /// Its rows.
    pub(crate) rows: Vec<Row>,
    /// What was asked of it.
    pub(crate) checks: Vec<Check>,
    /// What a reader must know of it.
    pub(crate) notes: Vec<String>,
    /// Latencies for the plot.
    pub(crate) curves: Vec<Curve>,
    /// Why it could not be finished, if so.
    pub(crate) failure: Option<String>,
}

/// Figures that belong together.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) struct Row {
    /// What they are of.
    pub(crate) name: String,
    /// The figures.
    pub(crate) figures: Vec<Figure>,
}

/// One figure.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) struct Figure {
    /// What it says.
    pub(crate) name: String,
    /// Its value.
    pub(crate) value: f64,
    /// Its unit.
    pub(crate) unit: String,
}

/// One stated target and whether it was met.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) struct Check {
    /// What is asked.
    #[serde(rename = "asked")]
    pub(crate) requirement: String,
    /// What was seen.
    #[serde(rename = "seen")]
    pub(crate) observed: String,
    /// Whether it was met.
    pub(crate) met: bool,
}

/// Latency by share of calls.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) struct Curve {
    /// What it is of.
    pub(crate) name: String,
    /// Shares of calls and the latency in milliseconds below which they lie.
    pub(crate) points: Vec<(f64, f64)>,
}

impl Experiment {
    /// An experiment without results.
    pub(crate) fn new(name: &str) -> Self {
        Self {
            name: name.to_owned(),
            ..Self::default()
        }
    }

    /// Adds a row.
    pub(crate) fn row(&mut self, name: impl Into<String>, figures: Vec<Figure>) {
        self.rows.push(Row {
            name: name.into(),
            figures,
        });
    }

    /// Adds a check of a value against its bound.
    pub(crate) fn check_at_most(&mut self, requirement: &str, value: f64, bound: f64) {
        self.check(requirement, format!("{value:.3}"), value <= bound);
    }

    /// Adds a check.
    pub(crate) fn check(&mut self, requirement: &str, observed: String, met: bool) {
        self.checks.push(Check {
            requirement: requirement.to_owned(),
            observed,
            met,
        });
    }

    /// Adds a note.
    pub(crate) fn note(&mut self, text: impl Into<String>) {
        self.notes.push(text.into());
    }
}

/// A figure with its unit.
pub(crate) fn figure(name: &str, value: f64, unit: &str) -> Figure {
    Figure {
        name: name.to_owned(),
        value,
        unit: unit.to_owned(),
    }
}

/// A count as a figure.
#[expect(
    clippy::cast_precision_loss,
    reason = "counts of a run are far below 2^52"
)]
pub(crate) fn count(name: &str, value: u64) -> Figure {
    figure(name, value as f64, "")
}

impl Report {
    /// Reads an exported report.
    pub(crate) fn read(path: &Path) -> Result<Self, Error> {
        let text = std::fs::read_to_string(path)
            .map_err(|err| format!("{} can't be read: {err}", path.display()))?;
        let report = serde_json::from_str(&text)
            .map_err(|err| format!("{} is no export of the bench: {err}", path.display()))?;
        Ok(report)
    }

    /// Exports the report.
    pub(crate) fn write(&self, path: &Path) -> Result<(), Error> {
        let text = serde_json::to_string_pretty(self)?;
        std::fs::write(path, text + "\n")
            .map_err(|err| format!("{} can't be written: {err}", path.display()))?;
        Ok(())
    }
}
