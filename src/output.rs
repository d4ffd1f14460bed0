//! Output of the commands: tables and colour for people, JSON for programs.

use std::io::Write;

use anstyle::{AnsiColor, Style};
use comfy_table::{ContentArrangement, Table, presets};

use crate::error::Error;

const HEADING: Style = Style::new().bold();
const SUCCESS: Style = AnsiColor::Green.on_default();
const WARNING: Style = AnsiColor::Yellow.on_default().bold();
const FAILURE: Style = AnsiColor::Red.on_default().bold();

/// Prints a line on standard output. Write errors are ignored, as a reader such
/// as `head` may close the pipe early.
pub(crate) fn line(text: &str) {
    let _ = writeln!(anstream::stdout(), "{text}");
}

/// Prints a success message.
pub(crate) fn success(text: &str) {
    line(&format!("{SUCCESS}{text}{SUCCESS:#}"));
}

/// Prints a heading in bold.
pub(crate) fn heading(text: &str) {
    line(&format!("{HEADING}{text}{HEADING:#}"));
}

/// Prints a warning on standard error.
pub(crate) fn warning(text: &str) {
    let _ = writeln!(anstream::stderr(), "{WARNING}warning{WARNING:#}: {text}");
}

/// Prints an error on standard error.
pub fn error(err: &Error) {
    let _ = writeln!(anstream::stderr(), "{FAILURE}error{FAILURE:#}: {err}");
}

/// Prints a value as indented JSON.
pub(crate) fn json(value: &impl serde::Serialize) -> Result<(), Error> {
    let text = serde_json::to_string_pretty(value).map_err(|err| Error::Start(err.to_string()))?;
    line(&text);
    Ok(())
}

/// Prints a table with aligned columns and no borders.
pub(crate) fn table<const N: usize>(headings: [&str; N], rows: impl Iterator<Item = [String; N]>) {
    let mut table = Table::new();
    table
        .load_preset(presets::NOTHING)
        .set_content_arrangement(ContentArrangement::Disabled)
        .set_header(headings);
    for row in rows {
        table.add_row(row);
    }
    line(&table.trim_fmt());
}
