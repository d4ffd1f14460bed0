//! Comparison of two reports.

use std::fmt::Write;

use crate::report::{Experiment, Report};
use crate::table::format_number;

/// Table of the figures that both reports have, with their relative changes.
pub(crate) fn markdown(before: &Report, after: &Report) -> String {
    let mut text = format!(
        "before: {} ({} cores, seed {}); after: {} ({} cores, seed {})\n",
        before.revision, before.cores, before.seed, after.revision, after.cores, after.seed,
    );
    for later in &after.experiments {
        let earlier = before
            .experiments
            .iter()
            .find(|earlier| earlier.name == later.name);
        if let Some(earlier) = earlier {
            text.push_str(&section(earlier, later));
        }
    }
    text
}

fn section(before: &Experiment, after: &Experiment) -> String {
    let mut text = format!("\n### {}\n\n", after.name);
    text.push_str("| | figure | before | after | change |\n|---|---|---|---|---|\n");
    for row in &after.rows {
        let Some(earlier) = before.rows.iter().find(|earlier| earlier.name == row.name) else {
            continue;
        };
        for figure in &row.figures {
            let same = |other: &&crate::report::Figure| other.name == figure.name;
            let Some(old) = earlier.figures.iter().find(same) else {
                continue;
            };
            let _ = writeln!(
                text,
                "| {} | {} {} | {} | {} | {} |",
                row.name,
                figure.name,
                figure.unit,
                format_number(old.value),
                format_number(figure.value),
                change(old.value, figure.value),
            );
        }
    }
    text
}

fn change(before: f64, after: f64) -> String {
    if before == 0.0 {
        return String::new();
    }
    format!("{:+.1} %", (after / before - 1.0) * 100.0)
}
