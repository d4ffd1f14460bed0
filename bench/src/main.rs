//! Load generator and experiments that run real `wagtailsaddle serve` processes against
//! the stand-ins of the platform, all on loopback.

mod baseline;
mod cli;
mod compare;
mod deployment;
mod experiment;
mod load;
mod plot;
mod process;
mod report;
mod role;
mod table;
mod testbed;

use clap::Parser;

/// Error of any part of the bench. Its message says what to change.
type Error = Box<dyn std::error::Error + Send + Sync>;

fn main() -> std::process::ExitCode {
    match cli::Cli::parse().run() {
        Ok(()) => std::process::ExitCode::SUCCESS,
        Err(err) => {
            eprintln!("error: {err}");
            std::process::ExitCode::FAILURE
        }
    }
}
