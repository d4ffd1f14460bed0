//! Plays one run and gathers what was seen.

use std::io;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::{Duration, Instant};

use rustix::process::Signal;
use standin::faults::Shared;
use standin::prepared::store::{Faults, Mode};

use crate::callers::{self, Field};
use crate::check::{Call, Disturbed, Ended, Evidence, RepeatBound, Seen, findings};
use crate::plan::{self, Fault, Step, Way};
use crate::world::World;

/// Time between two looks at what is due and at the instances' versions.
const LOOK: Duration = Duration::from_millis(50);
/// Looks between two questions for versions.
const LOOKS_A_QUESTION: u32 = 4;
/// Calm after the last fault, in which everything must be served again: the time that
/// an instance's grace and the store's longest retry take, and some seconds.
const CALM: Duration = Duration::from_secs(10);
/// Last part of the calm, in which every call must succeed.
const SERVED: Duration = Duration::from_secs(2);
/// Time for instances to learn of each other and of everything in the store.
const START: Duration = Duration::from_secs(3);
/// Time after which no request may reach a target that left.
const LEFT: Duration = Duration::from_secs(2);
/// End of a fault that goes on; later than any time of a run.
const STILL_DISTURBED: Duration = Duration::from_secs(1 << 32);
/// The repeat budget of the instances' settings.
const BOUND: RepeatBound = RepeatBound {
    ratio: 0.2,
    slack: 58.0,
    window: Duration::from_secs(10),
};

/// What to play.
#[derive(Debug, Clone)]
pub struct Options {
    /// The program `wagtailsaddle`.
    pub program: PathBuf,
    /// What the faults are drawn from.
    pub seed: u64,
    /// Time in which faults begin.
    pub length: Duration,
    /// Instances.
    pub instances: usize,
    /// Targets.
    pub targets: usize,
    /// Callers.
    pub callers: usize,
    /// Where the instances' logs go when something did not hold.
    pub logs: Option<PathBuf>,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            program: "target/release/wagtailsaddle".into(),
            seed: 1,
            length: Duration::from_secs(20),
            instances: 4,
            targets: 5,
            callers: 12,
            logs: None,
        }
    }
}

/// Plays a run; returns the number of calls and what did not hold.
///
/// # Errors
/// The operating system's, when something can't be started.
pub async fn run(options: &Options) -> io::Result<(usize, Vec<String>)> {
    let world = World::start(&options.program, options.instances, options.targets).await?;
    tokio::time::sleep(START).await;
    let mut play = Play::new(world, options);
    let steps = plan::draw(
        options.seed,
        options.length,
        options.instances,
        options.targets,
    );
    let callers: Vec<_> = (0..options.callers)
        .map(|number| {
            let calling = callers::call_again_and_again(play.field.clone(), number, options.seed);
            tokio::spawn(calling)
        })
        .collect();
    play.faults(&steps, options.length).await?;
    let mut found = play.calm().await?;
    play.field.over.set(true);
    for caller in callers {
        caller.await.map_err(io::Error::other)?;
    }
    let evidence = play.evidence();
    found.extend(findings(&evidence, BOUND));
    if let Some(folder) = options.logs.as_ref().filter(|_| !found.is_empty()) {
        play.world.keep_logs(folder)?;
    }
    Ok((evidence.calls.len(), found))
}

/// A run while it is played.
struct Play {
    world: World,
    field: Arc<Field>,
    disturbed: Vec<Disturbed>,
    versions: Vec<Seen>,
    looks: u32,
}

impl Play {
    fn new(world: World, options: &Options) -> Self {
        let instances = world.instances.iter().map(|instance| instance.ip);
        let field = Field {
            start: Instant::now(),
            instances: instances.collect(),
            calls: Shared::default(),
            over: Shared::default(),
        };
        Self {
            world,
            field: Arc::new(field),
            disturbed: Vec::with_capacity(options.instances),
            versions: Vec::new(),
            looks: 0,
        }
    }

    fn now(&self) -> Duration {
        self.field.start.elapsed()
    }

    /// Begins and ends each fault at its time.
    async fn faults(&mut self, steps: &[Step], length: Duration) -> io::Result<()> {
        let mut begun = vec![false; steps.len()];
        let mut ended = vec![false; steps.len()];
        while self.now() < length {
            let now = self.now();
            for (index, step) in steps.iter().enumerate() {
                if !begun[index] && now >= step.at {
                    begun[index] = true;
                    self.begin(step.fault);
                }
                if begun[index] && !ended[index] && now >= step.at + step.lasts {
                    ended[index] = true;
                    self.end(step.fault);
                }
            }
            self.look().await?;
        }
        Ok(())
    }

    fn begin(&mut self, fault: Fault) {
        match fault {
            Fault::Kill(at) => {
                self.begin_disturbance(at);
                self.world.instances[at].signal(Signal::KILL);
            }
            Fault::Stop(at) => self.world.instances[at].signal(Signal::TERM),
            Fault::Pause(at) => {
                self.begin_disturbance(at);
                self.world.instances[at].signal(Signal::STOP);
            }
            Fault::StoreWay(at, way) => self.world.instances[at].store_way.way.set(way),
            Fault::TargetWay(at, way) => self.world.targets[at].1.way.set(way),
            Fault::StoreRefuses => self.store(|faults| faults.mode = Mode::Refusing(503)),
            Fault::StoreLosesAnswers => self.store(|faults| faults.lost_responses = 3),
            Fault::StoreCompacts => self.world.store.compact(),
            Fault::Target(at, how) => self.world.behave(at, Some(how)),
            Fault::Configure => self.world.configure(),
        }
    }

    fn end(&mut self, fault: Fault) {
        match fault {
            Fault::Pause(at) => {
                self.world.instances[at].signal(Signal::CONT);
                self.end_disturbances(at);
            }
            Fault::StoreWay(at, _) => self.world.instances[at].store_way.way.set(Way::Open),
            Fault::TargetWay(at, _) => self.world.targets[at].1.way.set(Way::Open),
            Fault::StoreRefuses => self.store(|faults| faults.mode = Mode::Serving),
            Fault::Target(at, _) => self.world.behave(at, None),
            _ => {}
        }
    }

    fn store(&self, change: impl FnOnce(&mut Faults)) {
        self.world.store.faults.change(change);
    }

    /// Notes that something happens to an instance from now on.
    fn begin_disturbance(&mut self, at: usize) {
        self.disturbed.push(Disturbed {
            instance: self.world.instances[at].ip,
            from: self.now(),
            until: STILL_DISTURBED,
        });
    }

    /// Notes that an instance runs again.
    fn end_disturbances(&mut self, at: usize) {
        let (instance, now) = (self.world.instances[at].ip, self.now());
        for fault in &mut self.disturbed {
            if fault.instance == instance {
                fault.until = fault.until.min(now);
            }
        }
    }

    /// Starts again what has ended, and asks for versions now and then.
    async fn look(&mut self) -> io::Result<()> {
        for at in 0..self.world.instances.len() {
            if self.world.instances[at].has_ended() {
                self.end_disturbances(at);
                self.world.launch(at)?;
            }
        }
        self.looks += 1;
        if self.looks.is_multiple_of(LOOKS_A_QUESTION) {
            for at in 0..self.world.instances.len() {
                self.ask_version(at).await;
            }
        }
        tokio::time::sleep(LOOK).await;
        Ok(())
    }

    async fn ask_version(&mut self, at: usize) {
        let instance = &self.world.instances[at];
        let (ip, process) = (instance.ip, instance.processes);
        let asking = tokio::time::timeout(LOOK, callers::get(instance.dump(), "/dump"));
        let Ok(Some(dump)) = asking.await else {
            return;
        };
        let dump: serde_json::Value = serde_json::from_str(&dump).unwrap_or_default();
        if let Some(version) = dump["standing"]["version"].as_u64() {
            self.versions.push(Seen {
                instance: ip,
                process,
                version,
            });
        }
    }

    /// Ends all faults; then a target leaves and the configuration changes, and all
    /// must be served by what is there.
    async fn calm(&mut self) -> io::Result<Vec<String>> {
        self.store(|faults| *faults = Faults::default());
        for at in 0..self.world.targets.len() {
            self.world.behave(at, None);
            self.world.targets[at].1.way.set(Way::Open);
        }
        for at in 0..self.world.instances.len() {
            self.world.instances[at].store_way.way.set(Way::Open);
            self.world.instances[at].signal(Signal::CONT);
            self.end_disturbances(at);
        }
        self.look_until(self.now() + CALM).await?;
        self.world.configure();
        self.world.put_target(0, true);
        self.look_until(self.now() + LEFT).await?;
        let arrived = self.arrived_at_leaving();
        let from = self.now();
        self.look_until(from + SERVED).await?;
        let mut found = Vec::new();
        if self.arrived_at_leaving() > arrived {
            found.push("requests reached a target after it had left".to_owned());
        }
        for instance in &self.world.instances {
            let seen = self.versions.iter().rev();
            let last = seen.clone().find(|seen| seen.instance == instance.ip);
            if last.is_none_or(|seen| seen.version < self.world.version) {
                found.push(format!("{} has not the newest version", instance.ip));
            }
        }
        found.extend(
            self.field
                .calls
                .get()
                .iter()
                .filter_map(|call| not_served(call, from)),
        );
        Ok(found)
    }

    async fn look_until(&mut self, until: Duration) -> io::Result<()> {
        while self.now() < until {
            self.look().await?;
        }
        Ok(())
    }

    fn arrived_at_leaving(&self) -> usize {
        self.world.targets[0].0.record.get().arrivals.len()
    }

    fn evidence(&self) -> Evidence {
        let mut evidence = Evidence {
            calls: self.field.calls.get(),
            disturbed: self.disturbed.clone(),
            versions: self.versions.clone(),
            length: self.now(),
            ..Evidence::default()
        };
        for (target, _) in &self.world.targets {
            let record = target.record.get();
            for (id, count) in record.runs {
                *evidence.runs.entry(id).or_default() += count;
            }
            for (id, count) in record.arrivals {
                *evidence.arrivals.entry(id).or_default() += count;
            }
        }
        evidence
    }
}

/// A call that began after everything was calm and was not answered with success.
fn not_served(call: &Call, calm_from: Duration) -> Option<String> {
    let served = matches!(call.how, Ended::Answered { status: 200, .. });
    (call.sent >= calm_from && !served)
        .then(|| format!("{} ended {:?} though all was calm", call.id, call.how))
}
