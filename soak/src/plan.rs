//! What happens in a run, drawn from its seed.

use std::time::Duration;

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

/// Longest time that one fault lasts; longer than a watch of the store, so that its
/// silence is noticed.
const LONGEST_FAULT: Duration = Duration::from_millis(3500);
/// Shortest time that one fault lasts.
const SHORTEST_FAULT: Duration = Duration::from_millis(300);
/// Longest pause between the starts of two faults; shorter than most faults, so that
/// they overlap.
const LONGEST_GAP: Duration = Duration::from_millis(1500);

/// What a way between two processes does with bytes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum Way {
    /// It passes them.
    #[default]
    Open,
    /// It passes them late.
    Slow(Duration),
    /// It resets connections.
    Reset,
    /// It takes them and passes nothing, both ways; connections stay open.
    Silent,
    /// It passes requests and drops the answers.
    OneWay,
}

/// What targets do with requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Targets {
    /// They state that they did not run them.
    Shed,
    /// They run them and fail.
    Fail,
    /// They run them and close the connection.
    Lose,
    /// They run them and answer without their proof.
    Spoil,
    /// They are several times slower.
    Slow,
}

/// A fault.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// An instance is killed and started again afterwards.
    Kill(usize),
    /// An instance is stopped by SIGTERM and started again once it has ended.
    Stop(usize),
    /// An instance stands still.
    Pause(usize),
    /// The way of an instance to the store.
    StoreWay(usize, Way),
    /// The way of all instances to one target.
    TargetWay(usize, Way),
    /// The store refuses all calls.
    StoreRefuses,
    /// Some writes take effect and their answers are lost.
    StoreLosesAnswers,
    /// The store forgets its history.
    StoreCompacts,
    /// One target misbehaves.
    Target(usize, Targets),
    /// The configuration changes.
    Configure,
}

/// A fault with its times, counted from the start of the callers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Step {
    /// When it begins.
    pub at: Duration,
    /// How long it lasts.
    pub lasts: Duration,
    /// What it is.
    pub fault: Fault,
}

/// Draws the steps of a run that lasts `length`, for so many instances and targets.
#[must_use]
pub fn draw(seed: u64, length: Duration, instances: usize, targets: usize) -> Vec<Step> {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut steps = Vec::new();
    let mut at = Duration::from_secs(1);
    while at + LONGEST_FAULT < length {
        let lasts = rng.random_range(SHORTEST_FAULT..LONGEST_FAULT);
        let fault = draw_fault(&mut rng, instances, targets);
        steps.push(Step { at, lasts, fault });
        at += rng.random_range(Duration::ZERO..LONGEST_GAP);
    }
    steps
}

fn draw_fault(rng: &mut StdRng, instances: usize, targets: usize) -> Fault {
    let instance = rng.random_range(0..instances);
    let target = rng.random_range(0..targets);
    match rng.random_range(0..10) {
        0 => Fault::Kill(instance),
        1 => Fault::Stop(instance),
        2 => Fault::Pause(instance),
        3 => Fault::StoreWay(instance, draw_way(rng)),
        4 => Fault::TargetWay(target, draw_way(rng)),
        5 => Fault::StoreRefuses,
        6 => Fault::StoreLosesAnswers,
        7 => Fault::StoreCompacts,
        8 => Fault::Configure,
        _ => Fault::Target(target, draw_targets(rng)),
    }
}

fn draw_way(rng: &mut StdRng) -> Way {
    match rng.random_range(0..4) {
        0 => Way::Slow(Duration::from_millis(rng.random_range(20..300))),
        1 => Way::Reset,
        2 => Way::Silent,
        _ => Way::OneWay,
    }
}

fn draw_targets(rng: &mut StdRng) -> Targets {
    match rng.random_range(0..5) {
        0 => Targets::Shed,
        1 => Targets::Fail,
        2 => Targets::Lose,
        3 => Targets::Spoil,
        _ => Targets::Slow,
    }
}

#[cfg(test)]
mod tests;
