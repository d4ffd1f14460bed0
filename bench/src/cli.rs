//! Command line of the bench.

use std::path::{Path, PathBuf};
use std::time::Duration;

use clap::{Parser, Subcommand, ValueEnum};
use indicatif::{ProgressBar, ProgressStyle};

use crate::Error;
use crate::experiment::{self, Run};
use crate::report::{Experiment, Report};
use crate::{compare, plot, role, table};

/// Load generator and experiments for wagtailsaddle.
#[derive(Debug, Parser)]
#[command(name = "bench", version, about)]
pub(crate) struct Cli {
    #[command(subcommand)]
    command: Command,
}

#[derive(Debug, Subcommand)]
enum Command {
    /// Lists the experiments.
    List,
    /// Runs experiments.
    Run(RunArgs),
    /// Compares two exported reports.
    Compare {
        /// Path of the earlier report.
        before: PathBuf,
        /// Path of the later report.
        after: PathBuf,
    },
    /// Prints exported reports as Markdown.
    Table {
        /// Paths of the reports.
        #[arg(required = true)]
        files: Vec<PathBuf>,
    },
    /// Runs a process of an experiment. The bench uses it for its child processes.
    #[command(hide = true)]
    Role {
        /// Role of the process.
        role: Role,
    },
}

#[derive(Debug, Clone, Copy, ValueEnum)]
enum Role {
    Platform,
    Balancer,
}

#[derive(Debug, clap::Args)]
struct RunArgs {
    /// Names of the experiments, or `all` for every one.
    #[arg(required = true)]
    names: Vec<String>,
    /// Seed of the arrival schedules and faults.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Time that the lengths of all phases are proportional to, such as 10s or 500ms.
    #[arg(long, default_value = "10s", value_parser = duration)]
    duration: Duration,
    /// Number of instances, where the experiment doesn't set it.
    #[arg(long, default_value_t = 14)]
    instances: usize,
    /// File for the results as JSON; the plot is written beside it as SVG.
    #[arg(long)]
    export: Option<PathBuf>,
}

fn duration(text: &str) -> Result<Duration, String> {
    let parsed = match text.strip_suffix("ms") {
        Some(millis) => millis.parse().map(Duration::from_millis).ok(),
        None => text
            .strip_suffix('s')
            .and_then(|secs| secs.parse().ok())
            .map(Duration::from_secs),
    };
    parsed.ok_or_else(|| "expected a whole number with the unit s or ms, such as 10s".to_owned())
}

impl Cli {
    /// Runs the command.
    pub(crate) fn run(self) -> Result<(), Error> {
        match self.command {
            Command::List => {
                for (name, about, _) in experiment::ALL {
                    println!("{name:<10} {about}");
                }
                Ok(())
            }
            Command::Run(args) => run(&args),
            Command::Compare { before, after } => {
                let (before, after) = (Report::read(&before)?, Report::read(&after)?);
                print!("{}", compare::markdown(&before, &after));
                Ok(())
            }
            Command::Table { files } => {
                for file in files {
                    println!("{}", table::markdown(&Report::read(&file)?));
                }
                Ok(())
            }
            Command::Role { role } => match role {
                Role::Platform => role::platform::run(),
                Role::Balancer => role::balancer::run(),
            },
        }
    }
}

fn run(args: &RunArgs) -> Result<(), Error> {
    let selected = experiment::find(&args.names)?;
    let mut report = Report {
        command: std::env::args()
            .skip(1)
            .fold("bench".to_owned(), |line, arg| line + " " + &arg),
        revision: revision(),
        seed: args.seed,
        cores: std::thread::available_parallelism()?.get(),
        load_before: first_word("/proc/loadavg"),
        optimised: !cfg!(debug_assertions),
        experiments: Vec::new(),
    };
    let bar = progress(selected.len());
    let run = Run {
        seed: args.seed,
        duration: args.duration,
        instances: args.instances.max(1),
        progress: bar.clone(),
    };
    for (name, _, experiment) in selected {
        bar.set_message(name);
        let result = experiment(&run).unwrap_or_else(|err| Experiment {
            failure: Some(err.to_string()),
            ..Experiment::new(name)
        });
        bar.suspend(|| print!("{}", table::section(&result)));
        report.experiments.push(result);
        bar.inc(1);
    }
    bar.finish_and_clear();
    export(&report, args.export.as_deref())?;
    let failed = report
        .experiments
        .iter()
        .filter(|result| result.failure.is_some());
    match failed.count() {
        0 => Ok(()),
        count => Err(format!("{count} experiments could not be completed").into()),
    }
}

fn progress(length: usize) -> ProgressBar {
    let bar = ProgressBar::new(length as u64);
    if let Ok(style) = ProgressStyle::with_template("{pos}/{len} {elapsed} {msg}") {
        bar.set_style(style);
    }
    bar.enable_steady_tick(Duration::from_millis(200));
    bar
}

fn export(report: &Report, path: Option<&Path>) -> Result<(), Error> {
    let Some(path) = path else { return Ok(()) };
    report.write(path)?;
    plot::draw(report, &path.with_extension("svg"))
}

fn revision() -> String {
    let git = std::process::Command::new("git")
        .args(["describe", "--always", "--dirty"])
        .stderr(std::process::Stdio::null())
        .output();
    git.ok()
        .filter(|output| output.status.success())
        .and_then(|output| String::from_utf8(output.stdout).ok())
        .map_or_else(|| "unknown".to_owned(), |text| text.trim().to_owned())
}

fn first_word(path: &str) -> String {
    let text = std::fs::read_to_string(path).unwrap_or_default();
    text.split_whitespace().next().unwrap_or("").to_owned()
}
