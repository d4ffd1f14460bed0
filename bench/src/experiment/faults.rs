//! Mixed faults of targets and the store, and targets that restart cold.

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

/// Offered load of normal and bulky calls, as a share of capacity.
const OTHER_LOAD: f64 = 0.7;
/// Time for which each fault lasts.
const FAULT_PERIOD: Duration = Duration::from_millis(250);
/// Delay of each call of a slow target, in microseconds.
const SLOW_US: u64 = 200_000;
/// Slots of a cold target.
const COLD_SLOTS: u32 = 1;
/// Time in which cold targets must be detected.
const DETECTION_TIME: Duration = Duration::from_secs(1);
/// One target in this many turns cold.
const COLD_DIVISOR: usize = 5;

/// Faults, which are injected in random order, one at a time.
const FAULTS: [&str; 6] = [
    "slow target",
    "shedding target",
    "breaking target",
    "slow store",
    "store down",
    "lost answers of the store",
];

/// Runs the experiment `faults`.
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

/// Runs the experiment `cold`: targets lose slots and slow down without notice, as after
/// a restart.
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
        "One target in {COLD_DIVISOR} turns cold after a third of the run: it runs {COLD_SLOTS} call at a time, each call takes \
         200 ms longer, and it reports a new process start. Calls started above its slots, from 1 s after that: {}.",
        stats.above_limit(),
    ));
    Ok(experiment)
}

/// Offers the mixed workload while `inject_faults` runs, which gets the time at which the
/// load ends.
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
    let results = load.join().map_err(|_| "the load generator panicked")??;
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

fn store_command(down: bool, delay_ms: u64, lost_answers: u32) -> Command {
    Command::Store {
        down,
        delay_ms,
        lost_answers,
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
