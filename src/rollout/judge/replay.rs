//! Small replays of a roll-out: responses are drawn, counted by instances, and reported
//! to judges.

use std::time::Instant;

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use super::*;
use crate::rollout::evidence::{OwnEvidence, Response, Side};

const TICK: f64 = 0.05;
/// Time until a decision is followed everywhere.
const PROPAGATION: f64 = 0.3;
const REPORT_TICKS: usize = 5;
const DECIDE_TICKS: usize = 2;
const GOLDEN_RATIO_FRACTION: f64 = 0.618_033_988_749_894_8;
const SERVICE_TIME: f64 = 0.3;
/// Length of a spell in which a target is several times slower.
const SPELL: f64 = 0.5;

/// What is wrong with a version from some time on.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Ill {
    pub from: f64,
    pub until: f64,
    pub response: Response,
    pub share: f64,
    pub route: Option<u64>,
    pub target: Option<u64>,
    /// Only on targets with more load than an old one usually has.
    pub under_load: bool,
}

impl Ill {
    pub const HALF_FAILS: Self = Self {
        from: 0.0,
        until: f64::INFINITY,
        response: Response::Failed,
        share: 0.5,
        route: None,
        target: None,
        under_load: false,
    };
}

#[derive(Debug, Clone)]
pub struct Replay {
    pub seed: u64,
    pub settings: JudgeSettings,
    pub rate: f64,
    pub duration: f64,
    pub instances: usize,
    pub routes: u64,
    pub old_targets: u64,
    pub new_targets: u64,
    /// Usual share of failed responses.
    pub failing: f64,
    /// Share of targets in a spell.
    pub spells: f64,
    pub new_ill: Vec<Ill>,
    pub old_ill: Vec<Ill>,
    pub lost_reports: f64,
    /// Restarts of instances a second.
    pub restarts: f64,
    /// Times from which a new judge decides, without what the one before knew.
    pub takeovers: Vec<f64>,
    /// Time in which the judge is suspended.
    pub suspended: (f64, f64),
    pub slots_per_target: [f64; 2],
    /// From when on there are so many times as many requests.
    pub surge: (f64, f64),
}

impl Default for Replay {
    fn default() -> Self {
        Self {
            seed: 0,
            settings: JudgeSettings::default(),
            rate: 300.0,
            duration: 14.0,
            instances: 30,
            routes: 2,
            old_targets: 60,
            new_targets: 60,
            failing: 0.005,
            spells: 0.25,
            new_ill: Vec::new(),
            old_ill: Vec::new(),
            lost_reports: 0.05,
            restarts: 0.0,
            takeovers: Vec::new(),
            suspended: (0.0, 0.0),
            slots_per_target: [4.0, 4.0],
            surge: (0.0, 1.0),
        }
    }
}

#[derive(Debug, Clone, PartialEq)]
pub struct Outcome {
    pub stage: Stage,
    /// When it was decided, in seconds since the order.
    pub at: f64,
    /// Every decision.
    pub log: Vec<String>,
    /// Most requests at any time during the sample that the new version got beyond a
    /// tenth of all.
    pub excess: f64,
    /// Largest share.
    pub largest: u8,
    /// Decisions after a terminal one.
    pub undone: usize,
    /// Mean processor time of a report, and of a decision.
    pub receive: Duration,
    pub decide: Duration,
}

/// One run of an instance.
struct Run {
    number: u64,
    evidence: OwnEvidence,
    /// Of its sequence that draws the sample.
    phase: f64,
}

impl Run {
    fn new(rng: &mut StdRng) -> Self {
        let number = rng.random();
        Self {
            number,
            evidence: OwnEvidence::new("lookup".into(), "v2".into(), number),
            phase: rng.random(),
        }
    }
}

struct Attempt {
    due: f64,
    instance: usize,
    run: u64,
    side: Side,
    route: u64,
    target: u64,
    response: Response,
}

impl Replay {
    pub fn run(&self) -> Outcome {
        let mut rng = StdRng::seed_from_u64(self.seed);
        let mut runs: Vec<Run> = (0..self.instances).map(|_| Run::new(&mut rng)).collect();
        let mut judge = self.judge();
        let mut takeovers = self.takeovers.clone();
        let mut running: Vec<Attempt> = Vec::new();
        let (mut stage, mut followed) = (Stage::Running(0), Stage::Running(0));
        let mut pending: Vec<(f64, Stage)> = Vec::new();
        let mut outcome = Outcome {
            stage,
            at: f64::INFINITY,
            log: Vec::new(),
            excess: f64::MIN,
            largest: 0,
            receive: Duration::ZERO,
            decide: Duration::ZERO,
            undone: 0,
        };
        let (mut all, mut new, mut owed) = (0.0_f64, 0.0_f64, 0.0);
        let (mut received, mut decided_times) = (0, 0);
        let ticks = ((self.duration + 4.0) / TICK) as usize;
        for tick in 0..ticks {
            let now = tick as f64 * TICK;
            pending.retain(|(at, stage)| {
                let due = *at <= now;
                if due {
                    followed = *stage;
                }
                !due
            });
            owed += self.requests_of_tick(&mut rng, now);
            while owed >= 1.0 {
                owed -= 1.0;
                all += 1.0;
                let attempt = self.attempt(&mut rng, now, followed, &mut runs);
                if attempt.side == Side::New {
                    new += 1.0;
                }
                running.push(attempt);
            }
            if let Stage::Running(percent) = stage {
                outcome.largest = outcome.largest.max(percent);
                if Step::of(outcome.largest) == Step::Sample {
                    outcome.excess = outcome.excess.max(new - 0.1 * all);
                }
            }
            for attempt in running.extract_if(.., |attempt| attempt.due <= now) {
                let run = &mut runs[attempt.instance];
                if run.number == attempt.run {
                    run.evidence.record(
                        attempt.side,
                        attempt.route,
                        attempt.target,
                        attempt.response,
                    );
                }
            }
            if rng.random_bool((self.restarts * TICK).min(1.0)) {
                let instance = rng.random_range(0..self.instances);
                runs[instance] = Run::new(&mut rng);
            }
            if takeovers.first().is_some_and(|at| *at <= now) {
                takeovers.remove(0);
                judge = self.judge();
            }
            if (self.suspended.0..self.suspended.1).contains(&now) {
                continue;
            }
            let time = Time::from_micros((now * 1e6) as u64);
            for (instance, run) in runs.iter_mut().enumerate() {
                let due = (tick + instance) % REPORT_TICKS == 0;
                if due && !rng.random_bool(self.lost_reports) {
                    outcome.receive += receive_twice(&mut judge, time, &mut run.evidence);
                    received += 1;
                }
            }
            if tick % DECIDE_TICKS != 0 {
                continue;
            }
            let start = Instant::now();
            let decided = judge.decide(time, &self.facts(), stage);
            outcome.decide += start.elapsed();
            decided_times += 1;
            if let Some(decided) = decided {
                let line = format!("{now:.2} {:?}: {}", decided.stage, decided.reason);
                outcome.log.push(line);
                outcome.undone += usize::from(!matches!(stage, Stage::Running(_)));
                stage = decided.stage;
                pending.push((now + PROPAGATION, stage));
                if !matches!(stage, Stage::Running(_)) {
                    outcome.stage = stage;
                    outcome.at = now;
                }
            }
        }
        outcome.receive /= received.max(1);
        outcome.decide /= decided_times.max(1);
        outcome
    }

    fn requests_of_tick(&self, rng: &mut StdRng, now: f64) -> f64 {
        let (from, factor) = self.surge;
        let factor = if now >= from { factor } else { 1.0 };
        self.rate * factor * TICK * rng.random_range(0.5..1.5)
    }

    fn judge(&self) -> Judge {
        let order = RolloutOrder {
            service: "lookup".into(),
            version: "v2".into(),
            duration: Duration::from_secs_f64(self.duration),
        };
        let limits = RolloutLimits {
            share: 0.1,
            slack: 50.0,
            rollback_time: Duration::from_secs(5),
        };
        Judge::new(order, Time::ZERO, limits, self.settings.clone())
    }

    fn facts(&self) -> Facts {
        let [old, new] = self.slots_per_target;
        Facts {
            old_targets: self.old_targets as usize,
            old_slots: self.old_targets as f64 * old,
            new_targets: self.new_targets as usize,
            new_slots: self.new_targets as f64 * new,
        }
    }

    fn attempt(&self, rng: &mut StdRng, now: f64, stage: Stage, runs: &mut [Run]) -> Attempt {
        let share = match stage {
            Stage::Running(percent) => f64::from(percent) / 100.0,
            Stage::Completed => 1.0,
            Stage::RolledBack => 0.0,
        };
        let instance = rng.random_range(0..runs.len());
        let run = &mut runs[instance];
        run.phase = (run.phase + GOLDEN_RATIO_FRACTION).fract();
        let side = if self.new_targets > 0 && run.phase < share {
            Side::New
        } else {
            Side::Old
        };
        let (targets, ill) = match side {
            Side::Old => (self.old_targets, &self.old_ill),
            // A sample goes to so few targets that each has twice the usual load.
            Side::New if share < 1.0 => (
                ((self.old_targets as f64 * share / 2.0) as u64).clamp(2, self.new_targets),
                &self.new_ill,
            ),
            Side::New => (self.new_targets, &self.new_ill),
        };
        let route = 1 + rng.random_range(0..self.routes);
        let target = 1 + rng.random_range(0..targets);
        let load = share * self.old_targets as f64 / targets as f64;
        let ill = ill.iter().find(|ill| {
            (ill.from..ill.until).contains(&now)
                && ill.route.is_none_or(|of| of == route)
                && ill.target.is_none_or(|of| of == target)
                && (!ill.under_load || load > 1.3)
        });
        let spell = (side == Side::New, target, (now / SPELL) as u64, self.seed);
        let response = match ill {
            Some(ill) if rng.random_bool(ill.share) => ill.response,
            _ if rng.random_bool(self.failing) => Response::Failed,
            _ if fraction_of(spell) < self.spells && rng.random_bool(0.8) => Response::Slow,
            _ => Response::Good,
        };
        let slowdown = match response {
            Response::Good => 1.0,
            Response::Slow => 5.0,
            Response::Failed => 0.3,
        };
        Attempt {
            due: now + SERVICE_TIME * slowdown * rng.random_range(0.5..1.5),
            instance,
            run: run.number,
            side,
            route,
            target,
            response,
        }
    }
}

/// Returns the processor time of the first one.
fn receive_twice(judge: &mut Judge, now: Time, evidence: &mut OwnEvidence) -> Duration {
    let report = evidence.report();
    let start = Instant::now();
    judge.receive(now, &report);
    let time = start.elapsed();
    judge.receive(now, &report);
    time
}

fn fraction_of(key: impl std::hash::Hash) -> f64 {
    use std::hash::{BuildHasher, BuildHasherDefault, DefaultHasher};
    let hash = BuildHasherDefault::<DefaultHasher>::default().hash_one(key);
    hash as f64 / u64::MAX as f64
}
