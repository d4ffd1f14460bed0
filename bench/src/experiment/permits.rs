//! Cost of a call whose permit is granted by another instance.

use std::time::Duration;

use serde_json::json;

use super::Run;
use crate::Error;
use crate::deployment::{self, host};
use crate::load::{self, Class, Plan, Routes, Stream};
use crate::process::Usage;
use crate::report::{Experiment, Figure, figure};
use crate::testbed::{Options, System, Testbed};

const CALLS_PER_SECOND: f64 = 2_000.0;
/// Size of response bodies, in bytes.
const RESPONSE_BYTES: u64 = 200;

/// Offers calls first to the owner of the targets' shard, then to another instance.
pub(crate) fn run(run: &Run, experiment: &mut Experiment) -> Result<(), Error> {
    run.set_status("scale: permits of another instance");
    let testbed = Testbed::start(Options {
        instances: 2,
        workers: 1,
        settings: json!({"zone": "a"}),
        ..Options::new(deployment::single(), System::Wagtailsaddle)
    })?;
    let owner = owner(&testbed)?;
    let requester = 1 - owner;
    for (name, entry) in [
        ("calls at the owner", owner),
        ("calls at another instance", requester),
    ] {
        let routes = Routes::new(testbed.options.deployment.zones, true);
        routes.set(vec![vec![testbed.instances[entry].callers]]);
        let figures = offer(run, &testbed, routes, (owner, requester))?;
        experiment.row(name, figures);
    }
    Ok(())
}

fn owner(testbed: &Testbed) -> Result<usize, Error> {
    let dump = testbed.dump(testbed.instances[0].admin)?;
    let claims = dump["claims"].as_array().cloned().unwrap_or_default();
    let claim = claims
        .iter()
        .find(|claim| claim["shard"]["service"] == "certificates")
        .ok_or("no claim for the service `certificates`")?;
    Ok(usize::from(
        claim["owner"] != testbed.instances[0].name.as_str(),
    ))
}

fn offer(
    run: &Run,
    testbed: &Testbed,
    routes: Routes,
    (owner, requester): (usize, usize),
) -> Result<Vec<Figure>, Error> {
    let usage = |index: usize| testbed.instances[index].process.usage();
    let plan = Plan {
        seed: run.seed,
        duration: run.duration / 5,
        warm_up: Duration::ZERO,
        streams: vec![Stream {
            class: Class::Normal,
            service: 0,
            host: host("certificates"),
            rate: CALLS_PER_SECOND,
            work_us: 0,
            bytes: RESPONSE_BYTES,
            retries: 0,
        }],
        routes,
        ..Plan::default()
    };
    let before = (usage(owner), usage(requester));
    let total = load::run(&plan)?.total();
    let calls = f64::from(u32::try_from(total.answered.max(1))?);
    let cpu_us_per_call = |used: Usage| used.cpu.as_secs_f64() * 1e6 / calls;
    Ok(vec![
        figure(
            "owner's processor",
            cpu_us_per_call(usage(owner).since(before.0)),
            "us per call",
        ),
        figure(
            "other's processor",
            cpu_us_per_call(usage(requester).since(before.1)),
            "us per call",
        ),
        figure("p50", total.quantile_ms(0.5), "ms"),
        figure("p99", total.quantile_ms(0.99), "ms"),
    ])
}
