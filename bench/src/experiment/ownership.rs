//! Owners of shards that crash, pause or lose the store under load.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use super::{Run, tail, verification, workload};
use crate::Error;
use crate::deployment;
use crate::load::{self, Class, Plan, Results};
use crate::report::{Experiment, count, figure};
use crate::role::platform::Command;
use crate::testbed::{System, Testbed};

/// Offered load of normal and bulky calls, as a share of capacity.
const OTHER_LOAD: f64 = 0.8;
/// Time between two reads of the claims.
const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Time for which an owner is paused; longer than the default lease.
const PAUSE: Duration = Duration::from_secs(7);
/// Time for which the store is down; longer than the default lease.
const STORE_DOWN: Duration = Duration::from_secs(8);
/// Time under load after the event, in which shards must get a new owner.
const RECOVERY_TIME: Duration = Duration::from_secs(9);

/// Event that disturbs the system.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Event {
    Killed,
    Paused,
    StoreDown,
}

impl Event {
    fn name(self) -> &'static str {
        match self {
            Self::Killed => "owner killed",
            Self::Paused => "owner paused past its lease",
            Self::StoreDown => "store down past the lease",
        }
    }

    fn duration(self) -> Duration {
        match self {
            Self::Killed => Duration::ZERO,
            Self::Paused => PAUSE,
            Self::StoreDown => STORE_DOWN,
        }
    }
}

pub(crate) fn run(run: &Run) -> Result<Experiment, Error> {
    let mut experiment = Experiment::new("ownership");
    for event in [Event::Killed, Event::Paused, Event::StoreDown] {
        run.set_status(format!("ownership: {}", event.name()));
        run_event(run, &mut experiment, event)?;
    }
    experiment.note(format!(
        "{} instances; other work offers {:.0}% of the first service's slots. Time without grants: until the \
         state of another instance shows new owners for the shards of the owner that was killed or paused, polled every 50 ms. \
         The store is down for {} s, not for 60 s, to keep the run short.",
        run.instances,
        OTHER_LOAD * 100.0,
        STORE_DOWN.as_secs(),
    ));
    Ok(experiment)
}

fn run_event(run: &Run, experiment: &mut Experiment, event: Event) -> Result<(), Error> {
    let mut testbed = Testbed::start(tail::options(
        run,
        &deployment::saatci(),
        System::Wagtailsaddle,
    ))?;
    let before = run.duration / 10;
    let after = RECOVERY_TIME.max(run.duration / 5);
    let deployment = testbed.options.deployment.clone();
    let plan = Plan {
        duration: before + event.duration() + after,
        ..workload::plan(run, &testbed, workload::mixed(&deployment, OTHER_LOAD))
    };
    let warm_up = plan.warm_up;
    let load = std::thread::spawn(move || load::run(&plan).map_err(|err| err.to_string()));
    std::thread::sleep(warm_up + before);
    let takeover = apply_event(&mut testbed, event)?;
    let results = load.join().map_err(|_| "the load generator panicked")??;
    let violations = verification::violations(&mut testbed, &results)?;
    let stats = testbed.stats()?;
    add_row(experiment, event, &results, takeover);
    let figures = &mut experiment.rows.last_mut().ok_or("no row")?.figures;
    figures.push(figure("in flight over slots", stats.worst_ratio(), ""));
    figures.push(count("starts above limit", stats.above_limit()));
    figures.extend(verification::figures(violations));
    let name = event.name();
    experiment.check_at_most(
        &format!("{name}: highest in flight over slots, at most 1"),
        stats.worst_ratio(),
        1.0,
    );
    experiment.check(
        &format!("{name}: no call told wrongly or run twice"),
        violations.total().to_string(),
        violations.total() == 0,
    );
    Ok(())
}

/// Causes the event. Returns how long the shards were without an owner, or `None` if that
/// was not observed.
fn apply_event(testbed: &mut Testbed, event: Event) -> Result<Option<Duration>, Error> {
    if event == Event::StoreDown {
        testbed.send_command(&store_command(true))?;
        std::thread::sleep(STORE_DOWN);
        testbed.send_command(&store_command(false))?;
        return Ok(None);
    }
    let (index, observer) = largest_owner(testbed)?;
    let name = testbed.instances[index].name.clone();
    let start = Instant::now();
    if event == Event::Killed {
        testbed.instances[index].process.kill();
        return Ok(wait_for_takeover(testbed, observer, &name, RECOVERY_TIME));
    }
    testbed.instances[index].process.signal("STOP")?;
    let takeover = wait_for_takeover(testbed, observer, &name, PAUSE);
    std::thread::sleep(PAUSE.saturating_sub(start.elapsed()));
    testbed.instances[index].process.signal("CONT")?;
    Ok(takeover)
}

fn store_command(down: bool) -> Command {
    Command::Store {
        down,
        delay_ms: 0,
        lost_answers: 0,
    }
}

/// Index of the instance that owns most shards, and the admin address of another one.
fn largest_owner(testbed: &Testbed) -> Result<(usize, SocketAddr), Error> {
    let owned = |index: &usize| {
        let dump = testbed
            .dump(testbed.instances[*index].admin)
            .unwrap_or_default();
        dump["shards"].as_array().map_or(0, Vec::len)
    };
    let index = (0..testbed.instances.len())
        .max_by_key(owned)
        .ok_or("no instances")?;
    let observer = usize::from(index == 0);
    let observer = testbed
        .instances
        .get(observer)
        .ok_or("the experiment needs at least two instances")?;
    Ok((index, observer.admin))
}

/// Waits until the observer knows as many claims as before and none by `owner`.
fn wait_for_takeover(
    testbed: &Testbed,
    observer: SocketAddr,
    owner: &str,
    limit: Duration,
) -> Option<Duration> {
    let claims = |dump: &serde_json::Value| dump["claims"].as_array().cloned().unwrap_or_default();
    let before = claims(&testbed.dump(observer).ok()?).len();
    let start = Instant::now();
    while start.elapsed() < limit {
        let now = claims(&testbed.dump(observer).ok()?);
        let still_claimed = now.iter().any(|claim| claim["owner"] == owner);
        if !still_claimed && now.len() >= before {
            return Some(start.elapsed());
        }
        std::thread::sleep(POLL_INTERVAL);
    }
    None
}

fn add_row(
    experiment: &mut Experiment,
    event: Event,
    results: &Results,
    takeover: Option<Duration>,
) {
    let urgent = results.class(Class::Urgent);
    let order = results.class(Class::Order);
    let mut figures = verification::latencies("urgent", &urgent);
    figures.push(count("urgent refused", urgent.refused));
    figures.push(count("urgent lost", urgent.unknown));
    figures.push(count("orders lost", order.unknown));
    if let Some(takeover) = takeover {
        figures.push(figure("time without grants", takeover.as_secs_f64(), "s"));
    }
    experiment.row(event.name(), figures);
    verification::curve(experiment, event.name().to_owned(), &urgent);
    experiment.note(format!(
        "{}: {}",
        event.name(),
        verification::failure_summary(results)
    ));
}
