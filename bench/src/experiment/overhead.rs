//! Latency that one instance adds to a call, and its throughput per core.

use std::time::Duration;

use super::{Run, verification};
use crate::Error;
use crate::baseline::Policy;
use crate::deployment::{self, host};
use crate::load::{self, Class, ClassResult, ClosedLoop, Plan, Results, Stream};
use crate::process::Usage;
use crate::report::{Experiment, figure};
use crate::testbed::{Options, System, Testbed};

/// Rounds; each one measures every system in turn.
const ROUNDS: u32 = 5;
/// Closed-loop callers that saturate a system.
const SATURATING_CALLERS: usize = 48;
/// Offered load when latency is measured, as a share of the saturated throughput.
const MEASURED_LOAD_SHARE: f64 = 0.5;
/// Unmeasured time at the start of each round.
const WARM_UP: Duration = Duration::from_millis(200);
/// Size of response bodies, in bytes.
const RESPONSE_BYTES: u64 = 200;

/// Highest added p99 latency that users accept, in milliseconds.
const MAX_ADDED_MS: f64 = 0.32;
/// Lowest ratio of calls per core-second to those of the bare pass-through.
const MIN_RATIO: f64 = 0.85;

struct MeasuredSystem {
    name: &'static str,
    testbed: Testbed,
    /// Answered calls per second when saturated.
    saturated: f64,
    /// Answered calls per core-second when saturated.
    per_core_saturated: f64,
    /// Results of each round, in the same order for every system.
    rounds: Vec<ClassResult>,
    total: Results,
    /// Resource usage of the measured parts of all rounds.
    used: Usage,
}

pub(crate) fn run(run: &Run) -> Result<Experiment, Error> {
    let mut systems = [
        start_system("direct", System::Direct)?,
        start_system("bare pass-through", System::Baseline(Policy::RoundRobin))?,
        start_system("wagtailsaddle", System::Wagtailsaddle)?,
    ];
    for system in &mut systems {
        run.set_status(format!("overhead: saturation, {}", system.name));
        saturate(run, system)?;
    }
    let rate = systems[2].saturated * MEASURED_LOAD_SHARE;
    for round in 0..ROUNDS {
        for system in &mut systems {
            run.set_status(format!(
                "overhead: round {} of {ROUNDS}, {}",
                round + 1,
                system.name
            ));
            measure(run, system, rate, round)?;
        }
    }
    Ok(report(&systems, rate))
}

fn start_system(name: &'static str, kind: System) -> Result<MeasuredSystem, Error> {
    let options = Options {
        workers: 1,
        probes: false,
        ..Options::new(deployment::single(), kind)
    };
    Ok(MeasuredSystem {
        name,
        testbed: Testbed::start(options)?,
        saturated: 0.0,
        per_core_saturated: 0.0,
        rounds: Vec::new(),
        total: Results::default(),
        used: Usage::default(),
    })
}

fn stream(rate: f64) -> Stream {
    Stream {
        class: Class::Normal,
        service: 0,
        host: host("certificates"),
        rate,
        work_us: 0,
        bytes: RESPONSE_BYTES,
        retries: 0,
    }
}

fn plan(run: &Run, system: &MeasuredSystem) -> Plan {
    Plan {
        seed: run.seed,
        routes: system.testbed.routes.clone(),
        ..Plan::default()
    }
}

fn saturate(run: &Run, system: &mut MeasuredSystem) -> Result<(), Error> {
    let duration = run.duration / 5;
    let plan = Plan {
        duration,
        warm_up: Duration::ZERO,
        closed_loops: vec![ClosedLoop {
            stream: stream(1.0),
            callers: SATURATING_CALLERS,
        }],
        ..plan(run, system)
    };
    load::run(&Plan {
        duration: duration / 4,
        ..plan.clone()
    })?;
    let before = system.testbed.usage();
    let results = load::run(&plan)?;
    let used = system.testbed.usage().since(before);
    let answered = as_f64(results.total().answered);
    system.saturated = answered / duration.as_secs_f64();
    system.per_core_saturated = answered / used.cpu.as_secs_f64().max(f64::EPSILON);
    Ok(())
}

fn measure(run: &Run, system: &mut MeasuredSystem, rate: f64, round: u32) -> Result<(), Error> {
    let duration = run.duration / ROUNDS;
    let plan = Plan {
        seed: run.seed + u64::from(round),
        duration,
        warm_up: WARM_UP,
        streams: vec![stream(rate)],
        ..plan(run, system)
    };
    let before = system.testbed.usage();
    let results = load::run(&plan)?;
    let used = system.testbed.usage().since(before);
    let share = duration.as_secs_f64() / (duration + WARM_UP).as_secs_f64();
    system.used.cpu += used.cpu.mul_f64(share);
    system.used.resident = used.resident;
    system.rounds.push(results.total());
    system.total.merge(results);
    Ok(())
}

fn report(systems: &[MeasuredSystem; 3], rate: f64) -> Experiment {
    let mut experiment = Experiment::new("overhead");
    let [direct, bare, wagtailsaddle] = systems;
    for system in systems {
        let total = system.total.total();
        let mut figures = verification::latencies("", &total);
        figures.push(figure("added p50", added_ms(direct, system, 0.5), "ms"));
        figures.push(figure("added p99", added_ms(direct, system, 0.99), "ms"));
        figures.push(figure("added p99.9", added_ms(direct, system, 0.999), "ms"));
        if system.used.cpu > Duration::ZERO {
            figures.push(figure(
                "calls per core-second",
                calls_per_core_second(system),
                "",
            ));
            figures.push(figure(
                "the same when saturated",
                system.per_core_saturated,
                "",
            ));
        }
        figures.push(figure("saturation", system.saturated, "calls/s"));
        figures.push(figure(
            "not answered",
            as_f64(total.offered() - total.answered),
            "",
        ));
        experiment.row(system.name, figures);
        verification::curve(&mut experiment, system.name.to_owned(), &total);
        experiment.note(format!(
            "{}: {}",
            system.name,
            verification::failure_summary(&system.total)
        ));
    }
    experiment.check_at_most(
        "added at p99 at half of saturation, ms, at most 0.32",
        added_ms(direct, wagtailsaddle, 0.99),
        MAX_ADDED_MS,
    );
    let ratio = calls_per_core_second(wagtailsaddle) / calls_per_core_second(bare);
    experiment.check(
        "calls per core-second against the bare pass-through, at least 0.85",
        format!("{ratio:.3}"),
        ratio >= MIN_RATIO,
    );
    let saturated = wagtailsaddle.per_core_saturated / bare.per_core_saturated;
    experiment.note(format!(
        "One worker thread per system; each is offered {rate:.0} calls/s by the same schedule, in {ROUNDS} rounds that alternate between the systems. \
         Added latency is the median over the rounds of the difference between the quantiles. \
         Calls per core-second when saturated, relative to the bare pass-through: {saturated:.3}. \
         Highest p99 of a round: {}.",
        systems.iter().map(|system| format!("{} {:.3} ms", system.name, highest_p99(system))).collect::<Vec<_>>().join(", "),
    ));
    experiment
}

fn added_ms(direct: &MeasuredSystem, system: &MeasuredSystem, share: f64) -> f64 {
    let pairs = direct.rounds.iter().zip(&system.rounds);
    let mut added: Vec<f64> = pairs
        .map(|(direct, system)| system.quantile_ms(share) - direct.quantile_ms(share))
        .collect();
    added.sort_by(f64::total_cmp);
    added.get(added.len() / 2).copied().unwrap_or(0.0)
}

fn highest_p99(system: &MeasuredSystem) -> f64 {
    let tails = system.rounds.iter().map(|round| round.quantile_ms(0.99));
    tails.fold(0.0, f64::max)
}

fn calls_per_core_second(system: &MeasuredSystem) -> f64 {
    as_f64(system.total.total().answered) / system.used.cpu.as_secs_f64().max(f64::EPSILON)
}

#[expect(
    clippy::cast_precision_loss,
    reason = "counts of a run are far below 2^52"
)]
fn as_f64(count: u64) -> f64 {
    count as f64
}
