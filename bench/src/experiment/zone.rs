//! Evacuation of a zone, and its return to service, under load.

use std::time::Duration;

use super::{Run, tail, verification, workload};
use crate::Error;
use crate::deployment::{self, Deployment};
use crate::load::{self, Class, Plan, Results};
use crate::report::{Experiment, count, figure};
use crate::role::platform::PlatformStats;
use crate::testbed::{System, Testbed};

/// Offered load of normal and bulky calls, as a share of capacity.
const OTHER_LOAD: f64 = 0.5;
/// Time after which an evacuated zone must receive no new calls.
const SETTLE_TIME: Duration = Duration::from_secs(3);
const EVACUATED_ZONE: &str = "b";

pub(crate) fn saatci(run: &Run) -> Result<Experiment, Error> {
    zone(run, "zone", &deployment::saatci())
}

pub(crate) fn silos(run: &Run) -> Result<Experiment, Error> {
    zone(run, "zone-silos", &deployment::silos())
}

fn zone(run: &Run, name: &str, deployment: &Deployment) -> Result<Experiment, Error> {
    let mut experiment = Experiment::new(name);
    for system in tail::SYSTEMS {
        run.set_status(format!("{name}: {}", system.name()));
        measure_system(run, &mut experiment, deployment, system)?;
    }
    experiment.note(format!(
        "Zone {EVACUATED_ZONE} is evacuated after a quarter of the load and returned to service after three quarters; \
         other work offers {:.0}% of the first service's slots. Baseline instances are notified directly and at once.",
        OTHER_LOAD * 100.0
    ));
    Ok(experiment)
}

fn measure_system(
    run: &Run,
    experiment: &mut Experiment,
    deployment: &Deployment,
    system: System,
) -> Result<(), Error> {
    let mut testbed = Testbed::start(tail::options(run, deployment, system))?;
    let length = run.duration.max(SETTLE_TIME * 2) * 4 / 5;
    let plan = Plan {
        duration: length,
        ..workload::plan(run, &testbed, workload::mixed(deployment, OTHER_LOAD))
    };
    let load = std::thread::spawn(move || load::run(&plan).map_err(|err| err.to_string()));
    std::thread::sleep(length / 4);
    testbed.set_evacuated_zone(Some(EVACUATED_ZONE))?;
    let settle = SETTLE_TIME.min(length / 4);
    std::thread::sleep(settle);
    let settled = in_zone(&testbed.stats()?);
    std::thread::sleep((length / 2).saturating_sub(settle));
    let evacuated = testbed.stats()?;
    let late = in_zone(&evacuated) - settled;
    testbed.set_evacuated_zone(None)?;
    let results = load.join().map_err(|_| "the load generator panicked")??;
    let stats = testbed.stats()?;
    let violations = verification::violations(&mut testbed, &results)?;
    let returned = in_zone(&stats) - in_zone(&evacuated);
    add_row(
        experiment,
        system,
        &results,
        &stats,
        violations,
        (late, returned),
    );
    Ok(())
}

/// Calls that targets in the evacuated zone have run.
fn in_zone(stats: &PlatformStats) -> u64 {
    let targets = stats.targets.iter();
    let evacuated = targets.filter(|target| target.zone == EVACUATED_ZONE);
    evacuated.map(|target| target.calls).sum()
}

fn add_row(
    experiment: &mut Experiment,
    system: System,
    results: &Results,
    stats: &PlatformStats,
    violations: verification::Violations,
    (late, returned): (u64, u64),
) {
    let urgent = results.class(Class::Urgent);
    let order = results.class(Class::Order);
    let mut figures = verification::latencies("urgent", &urgent);
    figures.push(count("urgent refused", urgent.refused));
    figures.push(count("urgent lost", urgent.unknown));
    figures.push(count("orders lost", order.unknown));
    figures.push(figure("in flight over slots", stats.worst_ratio(), ""));
    figures.push(count("calls in the zone 3 s after it was taken out", late));
    figures.push(count("calls in the zone after its return", returned));
    figures.extend(verification::figures(violations));
    experiment.row(system.name(), figures);
    verification::curve(experiment, format!("{} urgent", system.name()), &urgent);
    experiment.note(format!(
        "{}: {}",
        system.name(),
        verification::failure_summary(results)
    ));
    if system != System::Wagtailsaddle {
        return;
    }
    let all = results.total();
    experiment.check(
        "no call cut or lost",
        all.unknown.to_string(),
        all.unknown == 0,
    );
    experiment.check(
        "no urgent call refused",
        urgent.refused.to_string(),
        urgent.refused == 0,
    );
    experiment.check(
        "no new work in the zone 3 s after it was taken out",
        late.to_string(),
        late == 0,
    );
    experiment.check(
        "the zone works again after its return",
        returned.to_string(),
        returned > 0,
    );
    experiment.check(
        "no call told wrongly or run twice",
        violations.total().to_string(),
        violations.total() == 0,
    );
    tail::check_limits(experiment, stats);
}
