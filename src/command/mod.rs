//! Implementation of the commands.

mod client;
mod resources;

use std::path::Path;

use clap::CommandFactory;
use http::Method;

use crate::cli::{Cli, Command, InstanceArgs};
use crate::demo;
use crate::entry;
use crate::error::Error;
use crate::observe::log;
use crate::output;
use crate::platform::prepared::settings as platform_settings;
use crate::server;
use crate::settings::Settings;
use client::Client;

/// Name of the program, for completion scripts.
const PROGRAM: &str = "wagtailsaddle";

/// Runs the command that the arguments name.
///
/// # Errors
/// The [`Error`] that ended the command.
pub fn run(cli: Cli) -> Result<(), Error> {
    match cli.command {
        Command::Serve { settings } => serve(&settings),
        Command::Entry { metrics_port } => run_entry(metrics_port),
        Command::Check { settings } => check(&settings),
        Command::Apply {
            instance,
            files,
            expected,
            dry_run,
        } => resources::apply(&Client::new(&instance)?, &files, expected, dry_run),
        Command::Get {
            instance,
            kind,
            name,
            output,
        } => resources::get(
            &Client::new(&instance)?,
            kind.as_deref(),
            name.as_deref(),
            output,
        ),
        Command::Watch {
            instance,
            from,
            output,
        } => resources::watch(&Client::new(&instance)?, from, output),
        Command::Delete {
            instance,
            kind,
            name,
            expected,
        } => resources::delete(&Client::new(&instance)?, &kind, &name, expected),
        Command::Dump { instance } => dump(&instance),
        Command::Addresses {
            callers,
            service,
            zone,
            output,
        } => resources::addresses(callers, &service, zone.as_deref(), output),
        Command::LogLevel { instance, filter } => log_level(&instance, &filter),
        Command::Demo { duration } => demo::run(duration),
        Command::Completions { shell } => {
            clap_complete::generate(shell, &mut Cli::command(), PROGRAM, &mut std::io::stdout());
            Ok(())
        }
    }
}

fn serve(path: &Path) -> Result<(), Error> {
    let settings = Settings::load(path)?;
    let log = log::start(&settings.log);
    server::serve(settings, log)
}

/// Checks settings in this program's own format or in that of a prepared platform.
fn check(path: &Path) -> Result<(), Error> {
    let text = std::fs::read_to_string(path).unwrap_or_default();
    if platform_settings::is_platform_format(&text) {
        let settings = platform_settings::load(path)?;
        output::line(&format!("{settings:#?}"));
        return Ok(());
    }
    output::json(&Settings::load(path)?)
}

fn run_entry(metrics_port: u16) -> Result<(), Error> {
    let path = platform_settings::path();
    let settings = platform_settings::load(&path)?;
    log::start_buffered();
    entry::run(settings, &path, metrics_port)
}

fn dump(instance: &InstanceArgs) -> Result<(), Error> {
    let state: serde_json::Value = Client::new(instance)?.request_json(Method::GET, "/dump", "")?;
    output::json(&state)
}

fn log_level(instance: &InstanceArgs, filter: &str) -> Result<(), Error> {
    Client::new(instance)?.send(Method::PUT, "/v1/log-level", filter)?;
    output::line(&format!("log level is now {filter}"));
    Ok(())
}
