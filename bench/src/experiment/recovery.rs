//! Replacement of instances, one after the other, under load.

use std::time::{Duration, Instant};

use super::{Run, tail, verification, workload};
use crate::Error;
use crate::deployment;
use crate::load::{self, Class, Plan};
use crate::report::{Experiment, count, figure};
use crate::testbed::{System, Testbed};

/// Offered load of normal and bulky calls, as a share of capacity.
const OTHER_LOAD: f64 = 0.5;
/// Instances replaced by planned stops in one phase and by kills in the other.
const REPLACED_INSTANCES: usize = 2;
/// Time before each replacement.
const REPLACEMENT_INTERVAL: Duration = Duration::from_secs(2);
/// Longest wait until an instance has stopped, or until its replacement is ready.
const WAIT_TIMEOUT: Duration = Duration::from_secs(10);
/// Time between two checks of an instance.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

pub(crate) fn run(run: &Run) -> Result<Experiment, Error> {
    let mut experiment = Experiment::new("recovery");
    for planned in [true, false] {
        run.set_status(if planned {
            "recovery: planned stops"
        } else {
            "recovery: kills"
        });
        measure_replacements(run, &mut experiment, planned)?;
    }
    experiment.note(format!(
        "{} instances, of which {REPLACED_INSTANCES} are replaced one after the other, {} s apart. A replacement is ready when it knows every claim.",
        run.instances,
        REPLACEMENT_INTERVAL.as_secs(),
    ));
    Ok(experiment)
}

fn measure_replacements(
    run: &Run,
    experiment: &mut Experiment,
    planned: bool,
) -> Result<(), Error> {
    let mut testbed = Testbed::start(tail::options(
        run,
        &deployment::saatci(),
        System::Wagtailsaddle,
    ))?;
    let deployment = testbed.options.deployment.clone();
    let plan = Plan {
        duration: run.duration.max(REPLACEMENT_INTERVAL * 4),
        ..workload::plan(run, &testbed, workload::mixed(&deployment, OTHER_LOAD))
    };
    let load = std::thread::spawn(move || load::run(&plan).map_err(|err| err.to_string()));
    let mut slowest = Duration::ZERO;
    for index in 0..REPLACED_INSTANCES.min(testbed.instances.len()) {
        std::thread::sleep(REPLACEMENT_INTERVAL);
        slowest = slowest.max(replace(&mut testbed, index, planned)?);
    }
    let results = load.join().map_err(|_| "the load generator panicked")??;
    let violations = verification::violations(&mut testbed, &results)?;
    let stats = testbed.stats()?;
    let urgent = results.class(Class::Urgent);
    let all = results.total();
    let name = if planned { "planned stops" } else { "kills" };
    let mut figures = verification::latencies("urgent", &urgent);
    figures.push(count("urgent refused", urgent.refused));
    figures.push(count("calls lost", all.unknown));
    figures.push(figure(
        "slowest replacement ready",
        slowest.as_secs_f64(),
        "s",
    ));
    figures.push(figure("in flight over slots", stats.worst_ratio(), ""));
    figures.extend(verification::figures(violations));
    experiment.row(name, figures);
    verification::curve(experiment, format!("{name}, urgent"), &urgent);
    experiment.note(format!(
        "{name}: {}",
        verification::failure_summary(&results)
    ));
    if planned {
        experiment.check(
            "planned stops cut no call",
            all.unknown.to_string(),
            all.unknown == 0,
        );
    }
    experiment.check(
        &format!("{name}: no call told wrongly or run twice"),
        violations.total().to_string(),
        violations.total() == 0,
    );
    experiment.check_at_most(
        &format!("{name}: highest in flight over slots, at most 1"),
        stats.worst_ratio(),
        1.0,
    );
    Ok(())
}

/// Replaces the instance at `index` and returns the time until its replacement is ready.
fn replace(testbed: &mut Testbed, index: usize, planned: bool) -> Result<Duration, Error> {
    let claims = known_claims(testbed, index);
    if planned {
        testbed.instances[index].process.signal("TERM")?;
        let start = Instant::now();
        while !testbed.instances[index].process.has_exited() && start.elapsed() < WAIT_TIMEOUT {
            std::thread::sleep(POLL_INTERVAL);
        }
    }
    testbed.instances[index].process.kill();
    let start = Instant::now();
    let instance = testbed.start_instance(index)?;
    testbed.instances[index] = instance;
    while known_claims(testbed, index) < claims && start.elapsed() < WAIT_TIMEOUT {
        std::thread::sleep(POLL_INTERVAL);
    }
    Ok(start.elapsed())
}

fn known_claims(testbed: &Testbed, index: usize) -> usize {
    let dump = testbed
        .dump(testbed.instances[index].admin)
        .unwrap_or_default();
    dump["claims"].as_array().map_or(0, Vec::len)
}
