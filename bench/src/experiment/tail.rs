//! Latency of urgent calls under overload by other calls, and the number of probes that
//! targets receive.

use super::{Run, verification, workload};
use crate::Error;
use crate::baseline::Policy;
use crate::deployment::{self, Deployment};
use crate::load::{self, Class, Plan, Results};
use crate::report::{Experiment, count, figure};
use crate::role::platform::{Command, PlatformStats};
use crate::testbed::{Options, System, Testbed};

/// Offered load of normal and bulky calls, as a share of capacity.
const OTHER_LOAD: f64 = 1.5;
/// Highest allowed ratio of the urgent p99 under load to the unloaded one.
const MAX_GROWTH: f64 = 2.0;

/// Systems that are compared.
pub(crate) const SYSTEMS: [System; 4] = [
    System::Wagtailsaddle,
    System::Baseline(Policy::PowerOfTwo),
    System::Baseline(Policy::FixedShares),
    System::Baseline(Policy::RoundRobin),
];

pub(crate) fn saatci(run: &Run) -> Result<Experiment, Error> {
    tail(run, "tail", &deployment::saatci())
}

pub(crate) fn silos(run: &Run) -> Result<Experiment, Error> {
    tail(run, "tail-silos", &deployment::silos())
}

/// Options for a system with the run's number of instances.
pub(crate) fn options(run: &Run, deployment: &Deployment, system: System) -> Options {
    Options {
        instances: run.instances,
        workers: 1,
        ..Options::new(deployment.clone(), system)
    }
}

fn tail(run: &Run, name: &str, deployment: &Deployment) -> Result<Experiment, Error> {
    let mut experiment = Experiment::new(name);
    for system in SYSTEMS {
        run.set_status(format!("{name}: {}", system.name()));
        measure_system(run, &mut experiment, deployment, system)?;
    }
    experiment.note(format!(
        "Deployment of {}. {} instances with one worker thread each, restarted for each system; \
         urgent calls offer {:.0}% of the first service's slots, other work {:.0}%; \
         refused calls are retried at once up to twice, and closed-loop callers fetch reports from the third service.",
        deployment.name,
        run.instances,
        workload::URGENT_SHARE * 100.0,
        OTHER_LOAD * 100.0,
    ));
    Ok(experiment)
}

fn measure_system(
    run: &Run,
    experiment: &mut Experiment,
    deployment: &Deployment,
    system: System,
) -> Result<(), Error> {
    let mut testbed = Testbed::start(options(run, deployment, system))?;
    let unloaded = load::run(&Plan {
        duration: run.duration / 5,
        ..workload::plan(run, &testbed, workload::urgent(deployment))
    })?;
    testbed.send_command(&Command::Reset)?;
    let permit_requests_before = testbed.metric_sum("wagtailsaddle_permit_requests_total");
    let loaded = load::run(&Plan {
        duration: run.duration / 2,
        closed_loops: workload::report_loops(deployment),
        ..workload::plan(run, &testbed, workload::mixed(deployment, OTHER_LOAD))
    })?;
    let permit_requests_after = testbed.metric_sum("wagtailsaddle_permit_requests_total");
    let stats = testbed.stats()?;
    let violations = verification::violations(&mut testbed, &loaded)?;
    let unloaded_urgent = unloaded.class(Class::Urgent);
    let loaded_urgent = loaded.class(Class::Urgent);
    let growth =
        loaded_urgent.quantile_ms(0.99) / unloaded_urgent.quantile_ms(0.99).max(f64::EPSILON);
    let mut figures = verification::latencies("unloaded", &unloaded_urgent);
    figures.extend(verification::latencies("loaded", &loaded_urgent));
    figures.push(figure("p99 grows", growth, "times"));
    figures.push(count(
        "urgent not answered",
        loaded_urgent.offered() - loaded_urgent.answered,
    ));
    figures.push(figure("other refused", other_refused(&loaded), "%"));
    figures.push(figure("in flight over slots", stats.worst_ratio(), ""));
    figures.push(count("starts above limit", stats.above_limit()));
    figures.extend(verification::figures(violations));
    if let (Some(before), Some(after)) = (permit_requests_before, permit_requests_after) {
        figures.push(figure(
            "permit asks per answered call",
            (after - before) / answered(&loaded),
            "",
        ));
    }
    experiment.row(system.name(), figures);
    verification::curve(
        experiment,
        format!("{} unloaded", system.name()),
        &unloaded_urgent,
    );
    verification::curve(
        experiment,
        format!("{} loaded", system.name()),
        &loaded_urgent,
    );
    experiment.note(format!(
        "{}: {}",
        system.name(),
        verification::failure_summary(&loaded)
    ));
    if system == System::Wagtailsaddle {
        experiment.check_at_most(
            "urgent p99 beside other work over its unloaded value, at most 2",
            growth,
            MAX_GROWTH,
        );
        check_limits(experiment, &stats);
        experiment.check(
            "no call told wrongly or run twice",
            violations.total().to_string(),
            violations.total() == 0,
        );
    }
    Ok(())
}

/// Checks that no target had more calls in flight than slots.
pub(crate) fn check_limits(experiment: &mut Experiment, stats: &PlatformStats) {
    experiment.check_at_most(
        "highest in flight over slots of any target, at most 1",
        stats.worst_ratio(),
        1.0,
    );
}

#[expect(
    clippy::cast_precision_loss,
    reason = "counts of a run are far below 2^52"
)]
fn other_refused(results: &Results) -> f64 {
    let classes = [Class::Normal, Class::Bulky].map(|class| results.class(class));
    let refused: u64 = classes.iter().map(|class| class.refused).sum();
    let offered: u64 = classes.iter().map(load::ClassResult::offered).sum();
    100.0 * refused as f64 / (offered as f64).max(1.0)
}

#[expect(
    clippy::cast_precision_loss,
    reason = "counts of a run are far below 2^52"
)]
fn answered(results: &Results) -> f64 {
    (results.total().answered as f64).max(1.0)
}

/// Compares the rates of probes that targets receive, idle and under load.
pub(crate) fn measuring(run: &Run) -> Result<Experiment, Error> {
    let mut experiment = Experiment::new("measuring");
    let deployment = deployment::silos();
    let mut rates = Vec::new();
    for system in [System::Wagtailsaddle, System::Baseline(Policy::PowerOfTwo)] {
        for busy in [false, true] {
            run.set_status(format!("measuring: {}", system.name()));
            let mut testbed = Testbed::start(options(run, &deployment, system))?;
            let duration = run.duration / 2;
            testbed.send_command(&Command::Reset)?;
            let start = std::time::Instant::now();
            if busy {
                load::run(&Plan {
                    duration,
                    ..workload::plan(run, &testbed, workload::mixed(&deployment, 0.5))
                })?;
            } else {
                std::thread::sleep(duration);
            }
            let seconds = start.elapsed().as_secs_f64();
            let stats = testbed.stats()?;
            let targets = u32::try_from(stats.targets.len())?;
            let probes = u32::try_from(stats.probes())?;
            let rate = f64::from(probes) / f64::from(targets) / seconds;
            let activity = if busy { "under load" } else { "idle" };
            experiment.row(
                format!("{}, {activity}", system.name()),
                vec![figure("probes", rate, "per target and second")],
            );
            rates.push(rate);
        }
    }
    let [idle, busy, base_idle, base_busy] = rates[..] else {
        return Ok(experiment);
    };
    experiment.check_at_most(
        "probes when idle over the baseline's, at most 0.1",
        idle / base_idle.max(f64::EPSILON),
        0.1,
    );
    experiment.check_at_most(
        "probes under load over the baseline's, at most 0.1",
        busy / base_busy.max(f64::EPSILON),
        0.1,
    );
    experiment.note(format!(
        "{} instances; each baseline instance probes each target ten times per second.",
        run.instances
    ));
    Ok(experiment)
}
