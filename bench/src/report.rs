//! Results of a run, exported as JSON.

use std::path::Path;

use serde::{Deserialize, Serialize};

use crate::Error;

/// Results of one run of the bench.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub(crate) struct Report {
    /// Command line of the run.
    pub(crate) command: String,
    /// Git revision of the working directory, or `unknown`.
    pub(crate) revision: String,
    /// Seed of the arrival schedules and faults.
    pub(crate) seed: u64,
    /// Processor cores available to the bench.
    pub(crate) cores: usize,
    /// One-minute load average of the machine at the start of the run.
    pub(crate) load_before: String,
    /// Whether the bench was built in a profile without debug assertions.
    pub(crate) optimised: bool,
    /// Results by experiment, in the order in which they ran.
    pub(crate) experiments: Vec<Experiment>,
}

/// Results of one experiment.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub(crate) struct Experiment {
    pub(crate) name: String,
    /// Rows of the result table.
    pub(crate) rows: Vec<Row>,
    /// Requirements, and whether they were met.
    pub(crate) checks: Vec<Check>,
    /// Conditions of the measurement, as paragraphs of text.
    pub(crate) notes: Vec<String>,
    /// Latency curves for the plot.
    pub(crate) curves: Vec<Curve>,
    /// Why the experiment could not be completed; `None` when it was.
    pub(crate) failure: Option<String>,
}

/// Figures of one system, size or event.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) struct Row {
    /// Heading of the row; `compare` matches rows by it.
    pub(crate) name: String,
    pub(crate) figures: Vec<Figure>,
}

/// One measured value.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) struct Figure {
    /// Name of the quantity; `compare` matches figures by it.
    pub(crate) name: String,
    pub(crate) value: f64,
    /// Unit of the value; empty for counts and ratios.
    pub(crate) unit: String,
}

/// One requirement and whether it was met.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) struct Check {
    /// Requirement, in words.
    #[serde(rename = "asked")]
    pub(crate) requirement: String,
    /// Measured value.
    #[serde(rename = "seen")]
    pub(crate) observed: String,
    pub(crate) met: bool,
}

/// Latency by quantile.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) struct Curve {
    /// Name in the legend.
    pub(crate) name: String,
    /// Pairs of a quantile (0 to 1) and the latency in milliseconds.
    pub(crate) points: Vec<(f64, f64)>,
}

impl Experiment {
    /// Creates an experiment without results.
    pub(crate) fn new(name: &str) -> Self {
        Self {
            name: name.to_owned(),
            ..Self::default()
        }
    }

    /// Adds a row of figures.
    pub(crate) fn row(&mut self, name: impl Into<String>, figures: Vec<Figure>) {
        self.rows.push(Row {
            name: name.into(),
            figures,
        });
    }

    /// Adds a check that `value` is at most `bound`.
    pub(crate) fn check_at_most(&mut self, requirement: &str, value: f64, bound: f64) {
        self.check(requirement, format!("{value:.3}"), value <= bound);
    }

    /// Adds a check with the given result.
    pub(crate) fn check(&mut self, requirement: &str, observed: String, met: bool) {
        self.checks.push(Check {
            requirement: requirement.to_owned(),
            observed,
            met,
        });
    }

    /// Adds a paragraph of text.
    pub(crate) fn note(&mut self, text: impl Into<String>) {
        self.notes.push(text.into());
    }
}

/// Creates a figure. An empty `unit` stands for a count or ratio.
pub(crate) fn figure(name: &str, value: f64, unit: &str) -> Figure {
    Figure {
        name: name.to_owned(),
        value,
        unit: unit.to_owned(),
    }
}

/// Creates a figure from a count.
#[expect(
    clippy::cast_precision_loss,
    reason = "counts of a run are far below 2^52"
)]
pub(crate) fn count(name: &str, value: u64) -> Figure {
    figure(name, value as f64, "")
}

impl Report {
    /// Reads a report from a JSON file.
    pub(crate) fn read(path: &Path) -> Result<Self, Error> {
        let text = std::fs::read_to_string(path)
            .map_err(|err| format!("{} can't be read: {err}", path.display()))?;
        let report = serde_json::from_str(&text)
            .map_err(|err| format!("{} is not a report of the bench: {err}", path.display()))?;
        Ok(report)
    }

    /// Writes the report as JSON.
    pub(crate) fn write(&self, path: &Path) -> Result<(), Error> {
        let text = serde_json::to_string_pretty(self)?;
        std::fs::write(path, text + "\n")
            .map_err(|err| format!("{} can't be written: {err}", path.display()))?;
        Ok(())
    }
}
