//! Time until a change of the configuration is in force on every instance.

use std::time::{Duration, Instant};

use super::{Run, tail};
use crate::Error;
use crate::deployment;
use crate::report::{Experiment, figure};
use crate::role::platform::Command;
use crate::testbed::{System, Testbed};

/// Changes measured with each speed of the store.
const CHANGES: usize = 3;
/// Highest allowed time until a change is in force, in seconds.
const MAX_IN_FORCE_S: f64 = 5.0;
/// Delay of each call to the slow store, in milliseconds.
const SLOW_STORE_MS: u64 = 2_000;
/// Time between two reads of an instance's revision.
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Longest wait until a change is in force.
const WAIT_TIMEOUT: Duration = Duration::from_secs(20);

pub(crate) fn run(run: &Run) -> Result<Experiment, Error> {
    let mut experiment = Experiment::new("config");
    let mut testbed = Testbed::start(tail::options(
        run,
        &deployment::saatci(),
        System::Wagtailsaddle,
    ))?;
    for (name, delay_ms) in [("healthy store", 0), ("store 2 s slow", SLOW_STORE_MS)] {
        run.set_status(format!("config: {name}"));
        testbed.send_command(&Command::Store {
            down: false,
            delay_ms,
            lost_answers: 0,
        })?;
        measure_changes(&mut testbed, &mut experiment, name)?;
    }
    experiment.note(format!(
        "{} instances, {CHANGES} changes for each speed of the store. Time to be in force: from the response that accepts a \
         change until the last instance shows its revision, polled every 20 ms. The longest time of all changes is shown.",
        run.instances
    ));
    Ok(experiment)
}

fn measure_changes(
    testbed: &mut Testbed,
    experiment: &mut Experiment,
    name: &str,
) -> Result<(), Error> {
    let mut accepted: f64 = 0.0;
    let mut in_force: f64 = 0.0;
    let reads = testbed.stats()?.store_reads;
    for number in 0..CHANGES {
        let zone = (number % 2 == 0).then_some("b");
        let start = Instant::now();
        let before = revision(testbed, 0)?;
        testbed.set_evacuated_zone(zone)?;
        accepted = accepted.max(start.elapsed().as_secs_f64());
        let wait = wait_in_force_everywhere(testbed, before);
        in_force = in_force.max(wait.as_secs_f64());
    }
    let reads = testbed.stats()?.store_reads - reads;
    let reads = f64::from(u32::try_from(reads)?) / f64::from(u32::try_from(CHANGES)?);
    experiment.row(
        name,
        vec![
            figure("longest time to be accepted", accepted, "s"),
            figure("longest time to be in force", in_force, "s"),
            figure("store reads meanwhile", reads, "per change"),
        ],
    );
    experiment.check_at_most(
        &format!("{name}: in force everywhere, s, at most 5"),
        in_force,
        MAX_IN_FORCE_S,
    );
    Ok(())
}

fn revision(testbed: &Testbed, index: usize) -> Result<u64, Error> {
    let dump = testbed.dump(testbed.instances[index].admin)?;
    dump["revision"]
        .as_u64()
        .ok_or_else(|| "the state dump has no revision".into())
}

/// Waits until every instance has a later revision than `before`. Returns after
/// [`WAIT_TIMEOUT`] also when one has not.
fn wait_in_force_everywhere(testbed: &Testbed, before: u64) -> Duration {
    let start = Instant::now();
    for index in 0..testbed.instances.len() {
        while start.elapsed() < WAIT_TIMEOUT {
            if revision(testbed, index).is_ok_and(|revision| revision > before) {
                break;
            }
            std::thread::sleep(POLL_INTERVAL);
        }
    }
    start.elapsed()
}
