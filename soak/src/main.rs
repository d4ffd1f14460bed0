//! Executes soak runs, one seed after the other.

use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use clap::Parser;
use tokio::signal::unix::{SignalKind, signal};
use wagtailsaddle_soak::{Options, run};

/// Injects faults into real entry instances and checks what callers and targets observe.
#[derive(Debug, Parser)]
struct Args {
    /// Path of the program `wagtailsaddle`.
    #[arg(long, default_value = "target/release/wagtailsaddle")]
    program: PathBuf,
    /// First seed.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Number of consecutive seeds to run.
    #[arg(long, default_value_t = 1)]
    seeds: u64,
    /// Seconds of fault injection for each seed.
    #[arg(long, default_value_t = 20)]
    seconds: u64,
    /// Number of instances.
    #[arg(long, default_value_t = 4)]
    instances: usize,
    /// Number of targets.
    #[arg(long, default_value_t = 5)]
    targets: usize,
    /// Number of concurrent callers.
    #[arg(long, default_value_t = 12)]
    callers: usize,
    /// Lets the store also return from copies, several times in each run.
    #[arg(long)]
    restores: bool,
    /// Directory for the logs of instances, written for seeds with violations.
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
            restores: args.restores,
            logs: args
                .logs
                .as_ref()
                .map(|directory| directory.join(seed.to_string())),
        };
        // Dropping a run kills the processes that it started.
        let result = tokio::select! {
            result = run(&options) => result,
            () = interrupted() => {
                println!("seed {seed}: interrupted");
                return ExitCode::FAILURE;
            }
        };
        match result {
            Ok((calls, violations)) if violations.is_empty() => {
                println!("seed {seed}: {calls} calls, no violations");
            }
            Ok((calls, violations)) => {
                failed += 1;
                println!(
                    "seed {seed}: {calls} calls, {} violations",
                    violations.len()
                );
                for violation in violations.iter().take(12) {
                    println!("  {violation}");
                }
            }
            Err(err) => {
                failed += 1;
                println!("seed {seed}: could not run: {err}");
            }
        }
    }
    println!("{failed} of {} seeds failed", args.seeds);
    ExitCode::from(u8::from(failed > 0))
}

/// Returns on SIGINT or SIGTERM; never if they can't be received.
async fn interrupted() {
    let terminated = async {
        match signal(SignalKind::terminate()) {
            Ok(mut signal) => signal.recv().await,
            Err(_) => std::future::pending().await,
        }
    };
    tokio::select! {
        Ok(()) = tokio::signal::ctrl_c() => {}
        Some(()) = terminated => {}
        else => std::future::pending().await,
    }
}
