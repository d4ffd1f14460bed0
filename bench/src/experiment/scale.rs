//! Cost of the control plane as the system grows.

use std::net::{IpAddr, Ipv4Addr};

use serde_json::{Value, json};
use standin::fleet::FleetTarget;

use super::{Run, permits};
use crate::Error;
use crate::deployment::{self, Deployment};
use crate::process::loopback_bytes;
use crate::report::{Experiment, Figure, figure};
use crate::testbed::{Options, System, Testbed};

/// Numbers of instances measured.
const INSTANCES: [usize; 3] = [4, 12, 24];
/// Numbers of targets and services measured.
const TARGETS: [(usize, usize); 4] = [(70, 10), (2_100, 290), (7_000, 967), (21_000, 2_900)];
/// Numbers of declared callers measured.
const CALLERS: [usize; 2] = [100, 2_000];

/// Store calls per second allowed where one instance claims every shard; in effect no limit.
const UNLIMITED_BUDGET: f64 = 100_000.0;

/// Number of targets expected in two years.
const PROJECTED_TARGETS: f64 = 21_000.0;
/// Highest processor use of the control plane of one instance, in percent of a core.
const MAX_CORE_PERCENT: f64 = 1.3;
/// Highest resident memory of one instance, in MB.
const MAX_MEMORY_MB: f64 = 256.0;
/// Highest traffic of one instance, in KB per second.
const MAX_KB_PER_SECOND: f64 = 12.0;

/// Mean cost per instance.
#[derive(Debug, Clone, Copy, Default)]
struct Cost {
    core_percent: f64,
    resident_mb: f64,
    kb_per_second: f64,
    /// Calls to the store per second.
    store_calls: f64,
}

pub(crate) fn run(run: &Run) -> Result<Experiment, Error> {
    let mut experiment = Experiment::new("scale");
    by_instances(run, &mut experiment)?;
    by_callers(run, &mut experiment)?;
    by_targets(run, &mut experiment)?;
    permits::run(run, &mut experiment)?;
    experiment.note(
        "No calls are offered: this is the cost of the control plane alone. The store budget is lifted where one instance claims every shard. Processor time is the sum over the instance's threads; \
         bytes are those of the whole loopback device divided by the number of instances, so the machine must be otherwise idle.",
    );
    Ok(experiment)
}

fn by_instances(run: &Run, experiment: &mut Experiment) -> Result<(), Error> {
    let mut costs = Vec::new();
    for instances in INSTANCES {
        run.set_status(format!("scale: {instances} instances"));
        let options = Options {
            instances,
            workers: 1,
            ..Options::new(deployment::saatci(), System::Wagtailsaddle)
        };
        let cost = measure(run, options)?;
        experiment.row(format!("{instances} instances, 30 targets"), cost.figures());
        costs.push((f64::from(u32::try_from(instances)?), cost));
    }
    add_growth(experiment, "each further instance", 1.0, &costs);
    Ok(())
}

fn by_callers(run: &Run, experiment: &mut Experiment) -> Result<(), Error> {
    let mut costs = Vec::new();
    for callers in CALLERS {
        run.set_status(format!("scale: {callers} callers"));
        let deployment = deployment::single();
        let mut resources = deployment.resources(None);
        resources.extend((0..callers).map(caller));
        let options = Options {
            resources: Some(resources),
            ..Options::new(deployment, System::Wagtailsaddle)
        };
        let cost = measure(run, options)?;
        experiment.row(
            format!("{callers} declared callers, one instance"),
            cost.figures(),
        );
        costs.push((f64::from(u32::try_from(callers)?), cost));
    }
    add_growth(experiment, "each 1,000 declared callers", 1_000.0, &costs);
    Ok(())
}

fn caller(number: usize) -> Value {
    let key = format!("{number:064x}");
    json!({"kind": "Caller", "name": format!("caller-{number}"), "spec": {"key_sha256": key}})
}

fn by_targets(run: &Run, experiment: &mut Experiment) -> Result<(), Error> {
    let mut costs = Vec::new();
    for (targets, services) in TARGETS {
        run.set_status(format!("scale: {targets} targets in {services} services"));
        let name = format!("{targets} targets in {services} services, one instance");
        match measure(run, options_for_size(targets, services)) {
            Ok(cost) => {
                experiment.row(name, cost.figures());
                costs.push((f64::from(u32::try_from(targets)?), cost));
            }
            Err(err) => experiment.note(format!("{name}: not reached, {err}")),
        }
    }
    add_growth(experiment, "each 1,000 targets", 1_000.0, &costs);
    let Some((targets, cost)) = costs.last().copied() else {
        return Ok(());
    };
    let size = format!("one instance that holds {targets:.0} targets");
    experiment.check_at_most(
        &format!("{size}: hundredths of a core, at most 1.3"),
        cost.core_percent,
        MAX_CORE_PERCENT,
    );
    experiment.check_at_most(
        &format!("{size}: MB, at most 256"),
        cost.resident_mb,
        MAX_MEMORY_MB,
    );
    experiment.check_at_most(
        &format!("{size}: KB a second, at most 12"),
        cost.kb_per_second,
        MAX_KB_PER_SECOND,
    );
    experiment.check(
        "21,000 targets reached",
        format!("{targets:.0}"),
        targets >= PROJECTED_TARGETS,
    );
    Ok(())
}

/// Options for one instance that owns every target of many small services.
fn options_for_size(targets: usize, services: usize) -> Options {
    let base = deployment::single();
    let zone = base.zones[0];
    let mut resources: Vec<Value> = base.resources(None);
    resources.retain(|resource| resource["kind"] != "Service");
    resources.extend((0..services).map(|number| base.service(&service_name(number))));
    let target = |number: usize| FleetTarget {
        id: format!("target-{number}"),
        service: service_name(number % services),
        zone: zone.to_owned(),
        address: address(number),
    };
    Options {
        targets: Some((0..targets).map(target).collect()),
        resources: Some(resources),
        workers: 1,
        settings: json!({"platform": {"budget": {
            "reads_per_second": UNLIMITED_BUDGET, "writes_per_second": UNLIMITED_BUDGET,
        }}}),
        ..Options::new(Deployment { slots: 6, ..base }, System::Wagtailsaddle)
    }
}

fn service_name(number: usize) -> String {
    format!("service-{number}")
}

fn address(number: usize) -> IpAddr {
    let octet = |value: usize| u8::try_from(value % 250).unwrap_or(0) + 1;
    let net = 32 + u8::try_from(number / 62_500).unwrap_or(0);
    IpAddr::V4(Ipv4Addr::new(127, net, octet(number / 250), octet(number)))
}

/// Measures the instances of a testbed without load.
fn measure(run: &Run, options: Options) -> Result<Cost, Error> {
    let mut testbed = Testbed::start(options)?;
    std::thread::sleep(run.duration / 5);
    let window = run.duration * 3 / 10;
    let before = (
        testbed.usage(),
        loopback_bytes(),
        testbed.stats()?.store_calls(),
    );
    std::thread::sleep(window);
    let used = testbed.usage().since(before.0);
    let bytes = loopback_bytes() - before.1;
    let calls = testbed.stats()?.store_calls() - before.2;
    let instance_seconds =
        window.as_secs_f64() * f64::from(u32::try_from(testbed.instances.len())?);
    let instances = f64::from(u32::try_from(testbed.instances.len())?);
    Ok(Cost {
        core_percent: 100.0 * used.cpu.as_secs_f64() / instance_seconds,
        resident_mb: as_f64(used.resident) / instances / 1e6,
        kb_per_second: as_f64(bytes) / instance_seconds / 1e3,
        store_calls: as_f64(calls) / instance_seconds,
    })
}

impl Cost {
    fn figures(self) -> Vec<Figure> {
        vec![
            figure("processor", self.core_percent, "% of a core"),
            figure("resident", self.resident_mb, "MB"),
            figure("bytes", self.kb_per_second, "KB/s"),
            figure("store calls", self.store_calls, "per second"),
        ]
    }
}

/// Adds a row with the growth in cost per `unit` between the first and the last size.
fn add_growth(experiment: &mut Experiment, name: &str, unit: f64, costs: &[(f64, Cost)]) {
    let (Some((low, first)), Some((high, last))) = (costs.first(), costs.last()) else {
        return;
    };
    if high <= low {
        return;
    }
    let growth = |first: f64, last: f64| (last - first) / (high - low) * unit;
    let cost = Cost {
        core_percent: growth(first.core_percent, last.core_percent),
        resident_mb: growth(first.resident_mb, last.resident_mb),
        kb_per_second: growth(first.kb_per_second, last.kb_per_second),
        store_calls: growth(first.store_calls, last.store_calls),
    };
    experiment.row(format!("slope: {name}"), cost.figures());
}

#[expect(
    clippy::cast_precision_loss,
    reason = "counts of a run are far below 2^52"
)]
fn as_f64(count: u64) -> f64 {
    count as f64
}
