//! Plays soak runs, one seed after the other.

use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use clap::Parser;
use wagtailsaddle_soak::{Options, run};

/// Plays faults against real entry instances and checks what callers and targets see.
#[derive(Debug, Parser)]
struct Args {
    /// The program `wagtailsaddle`.
    #[arg(long, default_value = "target/release/wagtailsaddle")]
    program: PathBuf,
    /// The first seed.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// How many seeds are played.
    #[arg(long, default_value_t = 1)]
    seeds: u64,
    /// Seconds in which faults begin.
    #[arg(long, default_value_t = 20)]
    seconds: u64,
    /// Instances.
    #[arg(long, default_value_t = 4)]
    instances: usize,
    /// Targets.
    #[arg(long, default_value_t = 5)]
    targets: usize,
    /// Callers.
    #[arg(long, default_value_t = 12)]
    callers: usize,
    /// Folder for the logs of instances in runs where something did not hold.
    #[arg(long)]
    logs: Option<PathBuf>,
}

#[tokio::main]
async fn main() -> ExitCode {
    let args = Args::parse();
    let mut failed = 0;
    for seed in args.seed..args.seed + args.seeds {
        let options = Options {
            program: args.program.clone(),
            seed,
            length: Duration::from_secs(args.seconds),
            instances: args.instances,
            targets: args.targets,
            callers: args.callers,
            logs: args
                .logs
                .as_ref()
                .map(|folder| folder.join(seed.to_string())),
        };
        // Dropping a run ends the processes that it started.
        let played = tokio::select! {
            played = run(&options) => played,
            _ = tokio::signal::ctrl_c() => {
                println!("seed {seed}: interrupted");
                return ExitCode::FAILURE;
            }
        };
        match played {
            Ok((calls, found)) if found.is_empty() => {
                println!("seed {seed}: {calls} calls, all held");
            }
            Ok((calls, found)) => {
                failed += 1;
                println!("seed {seed}: {calls} calls, {} findings", found.len());
                for finding in found.iter().take(12) {
                    println!("  {finding}");
                }
            }
            Err(err) => {
                failed += 1;
                println!("seed {seed}: not played: {err}");
            }
        }
    }
    println!("{failed} of {} seeds with findings", args.seeds);
    ExitCode::from(u8::from(failed > 0))
}
