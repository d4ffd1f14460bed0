//! Command-line arguments.
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use clap::{Args, Parser, Subcommand, ValueEnum};
use clap_complete::Shell;

/// Exit codes, shown at the end of the help text.
const EXIT_CODES: &str = "\
Exit codes:
  0  done
  2  the arguments, settings or resources have problems
  3  the process can't start or listen
  4  the instance can't be reached
  5  the instance refused
  6  another operator's change came first";

/// Arguments of the program.
#[derive(Debug, Parser)]
#[command(name = "wagtailsaddle", version, about, after_help = EXIT_CODES)]
pub struct Cli {
    /// The command to run.
    #[command(subcommand)]
    pub command: Command,
}

/// Commands of the program.
#[derive(Debug, Subcommand)]
pub enum Command {
    /// Run one entry instance until it is told to stop.
    #[command(after_help = "Example:\n  wagtailsaddle serve --settings entry.json")]
    Serve {
        /// Settings of the instance, in JSON.
        #[arg(long, value_name = "FILE")]
        settings: PathBuf,
    },
    /// Run one entry instance on a prepared platform until it is told to stop.
    #[command(
        after_help = "The settings are those that the platform writes; the variable WAGTAILSADDLE_SETTINGS names the file.\n\nExample:\n  WAGTAILSADDLE_SETTINGS=settings.json wagtailsaddle entry"
    )]
    Entry {
        /// Port of the metrics and the state dump.
        #[arg(long, value_name = "PORT", default_value_t = 9464)]
        metrics_port: u16,
    },
    /// Check a settings file, report every problem, and print the effective settings.
    #[command(after_help = "Example:\n  wagtailsaddle check --settings entry.json")]
    Check {
        /// Settings of the instance, in JSON.
        #[arg(long, value_name = "FILE")]
        settings: PathBuf,
    },
    /// Declare resources.
    #[command(
        after_help = "Examples:\n  wagtailsaddle apply services.json zones.json\n  \
                      jq '.spec.in_service=false' zone-b.json | wagtailsaddle apply -"
    )]
    Apply {
        /// The instance to send the command to.
        #[command(flatten)]
        instance: InstanceArgs,
        /// Files with one resource, an array, or several objects one after the other; `-` for standard input.
        #[arg(required = true, value_name = "FILE")]
        files: Vec<PathBuf>,
        /// The revision that the change was made from; refused when another is current.
        #[arg(long, value_name = "REVISION")]
        expected: Option<u64>,
        /// Check the change against the current resources without making it.
        #[arg(long)]
        dry_run: bool,
    },
    /// Show the declared resources and their status.
    #[command(
        after_help = "Examples:\n  wagtailsaddle get\n  wagtailsaddle get Service certificates --output json"
    )]
    Get {
        /// The instance to send the command to.
        #[command(flatten)]
        instance: InstanceArgs,
        /// Only resources of this kind.
        kind: Option<String>,
        /// Only the resource of this name.
        #[arg(requires = "kind")]
        name: Option<String>,
        /// Output format.
        #[arg(long, value_enum, default_value_t)]
        output: Output,
    },
    /// Show each change of the resources as it comes into force.
    #[command(after_help = "Example:\n  wagtailsaddle watch --from 17")]
    Watch {
        /// The instance to send the command to.
        #[command(flatten)]
        instance: InstanceArgs,
        /// The revision to go on from; the current one when absent.
        #[arg(long, value_name = "REVISION")]
        from: Option<u64>,
        /// Output format.
        #[arg(long, value_enum, default_value_t)]
        output: Output,
    },
    /// Delete a resource that nothing refers to.
    #[command(after_help = "Example:\n  wagtailsaddle delete Service certificates")]
    Delete {
        /// The instance to send the command to.
        #[command(flatten)]
        instance: InstanceArgs,
        /// Kind of the resource.
        kind: String,
        /// Name of the resource.
        name: String,
        /// The revision that the change was made from; refused when another is current.
        #[arg(long, value_name = "REVISION")]
        expected: Option<u64>,
    },
    /// Show the whole state of an instance as JSON.
    Dump {
        /// The instance to send the command to.
        #[command(flatten)]
        instance: InstanceArgs,
    },
    /// Show which addresses a caller of a service may use.
    #[command(
        after_help = "Example:\n  wagtailsaddle addresses certificates --callers 10.0.0.1:80 --zone a"
    )]
    Addresses {
        /// The callers' address of any instance.
        #[arg(long, value_name = "ADDRESS")]
        callers: SocketAddr,
        /// Name of the service.
        service: String,
        /// Availability zone of the caller.
        #[arg(long)]
        zone: Option<String>,
        /// Output format.
        #[arg(long, value_enum, default_value_t)]
        output: Output,
    },
    /// Change the log's level of a running instance.
    #[command(after_help = "Example:\n  wagtailsaddle log-level info,wagtailsaddle=debug")]
    LogLevel {
        /// The instance to send the command to.
        #[command(flatten)]
        instance: InstanceArgs,
        /// The new filter.
        filter: String,
    },
    /// Run a small platform and two instances in this process, and print what to try.
    Demo {
        /// How long to run; until interrupted when absent.
        #[arg(long = "for", value_name = "DURATION", value_parser = humantime::parse_duration)]
        duration: Option<Duration>,
    },
    /// Print a completion script for a shell.
    #[command(
        after_help = "Example:\n  wagtailsaddle completions bash > /etc/bash_completion.d/wagtailsaddle"
    )]
    Completions {
        /// The shell.
        shell: Shell,
    },
}

/// Address and credentials of the instance that an operator's command is sent to.
#[derive(Debug, Clone, Args)]
pub struct InstanceArgs {
    /// The admin address of any instance.
    #[arg(long, env = "WAGTAILSADDLE_ADDRESS", value_name = "ADDRESS")]
    pub address: SocketAddr,
    /// File with the operator key; the variable `WAGTAILSADDLE_KEY` when absent.
    #[arg(long, value_name = "FILE")]
    pub key_file: Option<PathBuf>,
}

/// Output format of a command.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, ValueEnum)]
pub enum Output {
    /// A table for a person.
    #[default]
    Table,
    /// JSON for a program.
    Json,
}
