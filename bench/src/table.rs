//! Markdown output of reports.

use std::fmt::Write;

use indexmap::IndexSet;

use crate::report::{Experiment, Figure, Report};

/// A whole report as Markdown.
pub(crate) fn markdown(report: &Report) -> String {
    let mut text = format!(
        "`{}` at revision {}, seed {}, {} cores, load before the run {}, {} build\n",
        report.command,
        report.revision,
        report.seed,
        report.cores,
        report.load_before,
        if report.optimised { "release" } else { "debug" },
    );
    for experiment in &report.experiments {
        text.push_str(&section(experiment));
    }
    text
}

/// One experiment as Markdown.
pub(crate) fn section(experiment: &Experiment) -> String {
    let mut text = format!("\n### {}\n\n", experiment.name);
    if let Some(failure) = &experiment.failure {
        let _ = writeln!(text, "Not completed: {failure}\n");
    }
    push_rows(&mut text, experiment);
    if !experiment.checks.is_empty() {
        text.push_str("\n| asked | seen | |\n|---|---|---|\n");
    }
    for check in &experiment.checks {
        let result = if check.met { "met" } else { "missed" };
        let _ = writeln!(
            text,
            "| {} | {} | {result} |",
            check.requirement, check.observed
        );
    }
    for note in &experiment.notes {
        let _ = writeln!(text, "\n{note}");
    }
    text
}

fn push_rows(text: &mut String, experiment: &Experiment) {
    let columns: IndexSet<String> = experiment
        .rows
        .iter()
        .flat_map(|row| row.figures.iter().map(heading))
        .collect();
    if columns.is_empty() {
        return;
    }
    let _ = writeln!(
        text,
        "| |{}\n|---|{}",
        columns
            .iter()
            .fold(String::new(), |line, column| line + " " + column + " |"),
        "---|".repeat(columns.len()),
    );
    for row in &experiment.rows {
        let _ = write!(text, "| {} |", row.name);
        for column in &columns {
            let figure = row.figures.iter().find(|figure| heading(figure) == *column);
            let cell = figure.map(|figure| format_number(figure.value));
            let _ = write!(text, " {} |", cell.unwrap_or_default());
        }
        text.push('\n');
    }
}

fn heading(figure: &Figure) -> String {
    if figure.unit.is_empty() {
        return figure.name.clone();
    }
    format!("{} ({})", figure.name, figure.unit)
}

/// Formats a number with about three significant digits; integers in full.
pub(crate) fn format_number(value: f64) -> String {
    match value.abs() {
        size if size >= 100.0 || value.fract() == 0.0 => format!("{value:.0}"),
        size if size >= 10.0 => format!("{value:.1}"),
        size if size >= 1.0 => format!("{value:.2}"),
        _ => format!("{value:.3}"),
    }
}
