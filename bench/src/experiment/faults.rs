//! Mixed faults of targets and store, and targets that turn cold.

use std::time::{Duration, Instant};

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use super::{Run, tail, verification, workload};
use crate::Error;
use crate::deployment;
use crate::load::{self, Class, Plan, Results};
use crate::report::{Experiment, count, figure};
use crate::role::platform::{Command, TargetChange};
use crate::testbed::{System, Testbed};

/// Share of capacity that other work offers.
const OTHER_LOAD: f64 = 0.7;
/// Time between two faults.
const FAULT_PERIOD: Duration = Duration::from_millis(250);
/// Time that a slow target's calls take longer.
const SLOW_US: u64 = 200_000;
/// Calls that a cold target bears.
const COLD_SLOTS: u32 = 1;
/// Time in which a cold target must be noticed.
const DETECTION_TIME: Duration = Duration::from_secs(1);
/// Share of the targets that turn cold, as a divisor.
const COLD_DIVISOR: usize = 5;

/// The faults that are shown in turn at random.
const FAULTS: [&str; 6] = [
    "slow target",
    "shedding target",
    "breaking target",
    "slow store",
    "store down",
    "lost answers of the store",
];

/// Runs the experiment with mixed faults.
pub(crate) fn run(run: &Run) -> Result<Experiment, Error> {
    let mut experiment = Experiment::new("faults");
    let mut testbed = Testbed::start(tail::options(
        run,
        &deployment::saatci(),
        System::Wagtailsaddle,
    ))?;
    let length = run.duration * 3 / 2;
    let mut injected = vec![0_u64; FAULTS.len()];
    let results = run_under_load(run, &mut testbed, length, |testbed, until| {
        let mut rng = StdRng::seed_from_u64(run.seed);
        while Instant::now() < until {
            let fault = rng.random_range(0..FAULTS.len());
            injected[fault] += 1;
            let index = rng.random_range(0..testbed.started.targets.len());
            let id = testbed.started.targets[index].id.clone();
            inject(testbed, fault, &id)?;
            std::thread::sleep(FAULT_PERIOD);
            clear_faults(testbed, &id)?;
        }
        Ok(())
    })?;
    add_results(&mut experiment, &mut testbed, &results)?;
    let figures = FAULTS.iter().zip(injected);
    experiment.row(
        "shown",
        figures.map(|(name, times)| count(name, times)).collect(),
    );
    Ok(experiment)
}

/// Runs the experiment with targets that turn cold without warning.
pub(crate) fn cold(run: &Run) -> Result<Experiment, Error> {
    let mut experiment = Experiment::new("cold");
    let mut testbed = Testbed::start(tail::options(
        run,
        &deployment::saatci(),
        System::Wagtailsaddle,
    ))?;
    let length = run.duration;
    let results = run_under_load(run, &mut testbed, length, |testbed, until| {
        std::thread::sleep(length / 3);
        let targets = testbed.started.targets.clone();
        for target in targets.iter().step_by(COLD_DIVISOR) {
            testbed.send_command(&Command::Target(TargetChange {
                id: target.id.clone(),
                slots: Some(COLD_SLOTS),
                delay_us: SLOW_US,
                restarted: true,
                ..TargetChange::default()
            }))?;
        }
        std::thread::sleep(DETECTION_TIME);
        testbed.send_command(&Command::Reset)?;
        std::thread::sleep(until.saturating_duration_since(Instant::now()));
        Ok(())
    })?;
    let stats = testbed.stats()?;
    add_results(&mut experiment, &mut testbed, &results)?;
    experiment.note(format!(
        "One target in {COLD_DIVISOR} turns cold at a third of the run: it bears {COLD_SLOTS} call at a time, each call takes \
         200 ms longer, and it names a new process. Calls begun above what it bears, from 1 s after the turn: {}.",
        stats.above_limit(),
    ));
    Ok(experiment)
}

/// Offers the mixed load while `act` runs.
fn run_under_load(
    run: &Run,
    testbed: &mut Testbed,
    length: Duration,
    inject_faults: impl FnOnce(&mut Testbed, Instant) -> Result<(), Error>,
) -> Result<Results, Error> {
    let deployment = testbed.options.deployment.clone();
    let plan = Plan {
        duration: length,
        ..workload::plan(run, testbed, workload::mixed(&deployment, OTHER_LOAD))
    };
    let until = Instant::now() + plan.warm_up + length;
    let load = std::thread::spawn(move || load::run(&plan).map_err(|err| err.to_string()));
    let injection = inject_faults(testbed, until);
    let results = load.join().map_err(|_| "the load ended early")??;
    injection.map(|()| results)
}

fn inject(testbed: &mut Testbed, fault: usize, id: &str) -> Result<(), Error> {
    let change = TargetChange {
        id: id.to_owned(),
        ..TargetChange::default()
    };
    testbed.send_command(&match FAULTS[fault] {
        "slow target" => Command::Target(TargetChange {
            delay_us: SLOW_US,
            ..change
        }),
        "shedding target" => Command::Target(TargetChange {
            shedding: true,
            ..change
        }),
        "breaking target" => Command::Target(TargetChange {
            breaking: true,
            ..change
        }),
        "slow store" => store_command(false, 200, 0),
        "store down" => store_command(true, 0, 0),
        _ => store_command(false, 0, 2),
    })
}

fn clear_faults(testbed: &mut Testbed, id: &str) -> Result<(), Error> {
    testbed.send_command(&Command::Target(TargetChange {
        id: id.to_owned(),
        ..TargetChange::default()
    }))?;
    testbed.send_command(&store_command(false, 0, 0))
}

fn store_command(down: bool, delay_ms: u64, lost_responses: u32) -> Command {
    Command::Store {
        down,
        delay_ms,
        lost_responses,
    }
}

fn add_results(
    experiment: &mut Experiment,
    testbed: &mut Testbed,
    results: &Results,
) -> Result<(), Error> {
    let violations = verification::violations(testbed, results)?;
    let stats = testbed.stats()?;
    let urgent = results.class(Class::Urgent);
    let order = results.class(Class::Order);
    let mut figures = verification::latencies("urgent", &urgent);
    figures.push(count("urgent offered", urgent.offered()));
    figures.push(count("urgent refused", urgent.refused));
    figures.push(count("urgent unknown", urgent.unknown));
    figures.push(count("orders offered", order.offered()));
    figures.push(count("orders unknown", order.unknown));
    figures.push(figure("in flight over slots", stats.worst_ratio(), ""));
    figures.push(count(
        "most connections of a target",
        u64::from(stats.peak_connections()),
    ));
    figures.extend(verification::figures(violations));
    experiment.row(System::Wagtailsaddle.name(), figures);
    verification::curve(experiment, "urgent".to_owned(), &urgent);
    experiment.note(verification::failure_summary(results));
    experiment.check(
        "no call told wrongly or run twice",
        violations.total().to_string(),
        violations.total() == 0,
    );
    if experiment.name == "faults" {
        tail::check_limits(experiment, &stats);
    }
    let connections = stats.peak_connections();
    let limit = testbed.options.deployment.connections;
    experiment.check(
        "most connections of a target within its limit",
        format!("{connections} of {limit}"),
        connections <= limit,
    );
    Ok(())
}
