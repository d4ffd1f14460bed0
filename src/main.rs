//! The wagtailsaddle program.

use std::process::ExitCode;

use clap::Parser;
use wagtailsaddle::cli::Cli;
use wagtailsaddle::{command, output};

fn main() -> ExitCode {
    match command::run(Cli::parse()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(err) => {
            output::error(&err);
            ExitCode::from(err.exit_code())
        }
    }
}
