//! The schedule of faults of a run, drawn from its seed.

use std::time::Duration;

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

/// Upper bound of a fault's duration; longer than a watch of the store, so that a
/// silent watch is noticed.
const MAX_FAULT_DURATION: Duration = Duration::from_millis(3500);
/// Lower bound of a fault's duration.
const MIN_FAULT_DURATION: Duration = Duration::from_millis(300);
/// Upper bound of the time between the starts of two faults; shorter than most faults,
/// so that they overlap.
const MAX_START_GAP: Duration = Duration::from_millis(1500);

/// Distinguishes the draws of restores from those of the other faults.
const RESTORE_SEED: u64 = 1 << 63;

/// State of the network link between two processes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum LinkState {
    /// Forwards bytes.
    #[default]
    Open,
    /// Forwards bytes after this delay.
    Slow(Duration),
    /// Resets connections.
    Reset,
    /// Drops bytes in both directions; connections stay open.
    Silent,
    /// Forwards requests and drops responses.
    OneWay,
}

/// Fault of a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TargetFault {
    /// Rejects requests and states that they did not run.
    Shed,
    /// Runs requests and responds with an error.
    Fail,
    /// Runs requests and closes the connection without a response.
    Disconnect,
    /// Runs requests and responds without the signature that proves it.
    OmitProof,
    /// Takes several times as long for each request.
    Slow,
}

/// A fault, with the index of the instance or target that it affects.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// An instance is killed with SIGKILL and started again.
    Kill(usize),
    /// An instance is shut down with SIGTERM and started again once it has exited.
    Terminate(usize),
    /// An instance is paused with SIGSTOP.
    Pause(usize),
    /// The link from an instance to the store is impaired.
    StoreLink(usize, LinkState),
    /// The link from all instances to one target is impaired.
    TargetLink(usize, LinkState),
    /// The store rejects all calls with status 503.
    StoreUnavailable,
    /// A few writes take effect but get no response.
    StoreLosesResponses,
    /// The store compacts its history.
    StoreCompacts,
    /// The store returns from a copy that was made when the fault began.
    StoreRestored,
    /// One target has a fault.
    Target(usize, TargetFault),
    /// A new version of the configuration is written.
    ChangeConfiguration,
}

/// What a fault impairs until it ends. Faults of the same part overlap: the one that
/// began last is in force.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ImpairedPart {
    /// The link from an instance to the store.
    StoreLink(usize),
    /// The link to a target.
    TargetLink(usize),
    /// A target.
    Target(usize),
    /// An instance that is paused.
    Instance(usize),
    /// The store.
    Store,
}

impl Fault {
    /// The part that is restored when the fault ends; `None` for a fault without an end.
    #[must_use]
    pub fn impaired_part(self) -> Option<ImpairedPart> {
        match self {
            Self::StoreLink(index, _) => Some(ImpairedPart::StoreLink(index)),
            Self::TargetLink(index, _) => Some(ImpairedPart::TargetLink(index)),
            Self::Target(index, _) => Some(ImpairedPart::Target(index)),
            Self::Pause(index) => Some(ImpairedPart::Instance(index)),
            Self::StoreUnavailable => Some(ImpairedPart::Store),
            Self::Kill(_)
            | Self::Terminate(_)
            | Self::StoreLosesResponses
            | Self::StoreCompacts
            | Self::StoreRestored
            | Self::ChangeConfiguration => None,
        }
    }
}

/// The fault that is in force on the same part as `ended`, among the `active` ones in the
/// order of their start.
#[must_use]
pub fn remaining_fault(ended: Fault, active: &[Fault]) -> Option<Fault> {
    let part = ended.impaired_part()?;
    let on_part = |fault: &&Fault| fault.impaired_part() == Some(part);
    active.iter().rev().find(on_part).copied()
}

/// A fault with its times, relative to the start of the callers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ScheduledFault {
    /// Time at which the fault begins.
    pub start: Duration,
    /// Time until the fault ends.
    pub duration: Duration,
    /// The fault to inject.
    pub fault: Fault,
}

/// Draws the faults of a run of `length`, in order of their start.
///
/// The order and number of draws define what a seed stands for and must not change.
#[must_use]
pub fn draw(seed: u64, length: Duration, instances: usize, targets: usize) -> Vec<ScheduledFault> {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut schedule = Vec::new();
    let mut start = Duration::from_secs(1);
    while start + MAX_FAULT_DURATION < length {
        let duration = rng.random_range(MIN_FAULT_DURATION..MAX_FAULT_DURATION);
        let fault = draw_fault(&mut rng, instances, targets);
        schedule.push(ScheduledFault {
            start,
            duration,
            fault,
        });
        start += rng.random_range(Duration::ZERO..MAX_START_GAP);
    }
    schedule
}

/// Draws restores of the store, which are apart from the other faults of a seed.
#[must_use]
pub fn draw_restores(seed: u64, length: Duration) -> Vec<ScheduledFault> {
    let mut rng = StdRng::seed_from_u64(seed ^ RESTORE_SEED);
    let mut schedule = Vec::new();
    let mut start = Duration::from_secs(1);
    while start + MAX_FAULT_DURATION < length {
        let duration = rng.random_range(MIN_FAULT_DURATION..MAX_FAULT_DURATION);
        schedule.push(ScheduledFault {
            start,
            duration,
            fault: Fault::StoreRestored,
        });
        start += duration + rng.random_range(Duration::ZERO..MAX_FAULT_DURATION);
    }
    schedule
}

fn draw_fault(rng: &mut StdRng, instances: usize, targets: usize) -> Fault {
    let instance = rng.random_range(0..instances);
    let target = rng.random_range(0..targets);
    match rng.random_range(0..10) {
        0 => Fault::Kill(instance),
        1 => Fault::Terminate(instance),
        2 => Fault::Pause(instance),
        3 => Fault::StoreLink(instance, draw_link_state(rng)),
        4 => Fault::TargetLink(target, draw_link_state(rng)),
        5 => Fault::StoreUnavailable,
        6 => Fault::StoreLosesResponses,
        7 => Fault::StoreCompacts,
        8 => Fault::ChangeConfiguration,
        _ => Fault::Target(target, draw_target_fault(rng)),
    }
}

fn draw_link_state(rng: &mut StdRng) -> LinkState {
    match rng.random_range(0..4) {
        0 => LinkState::Slow(Duration::from_millis(rng.random_range(20..300))),
        1 => LinkState::Reset,
        2 => LinkState::Silent,
        _ => LinkState::OneWay,
    }
}

fn draw_target_fault(rng: &mut StdRng) -> TargetFault {
    match rng.random_range(0..5) {
        0 => TargetFault::Shed,
        1 => TargetFault::Fail,
        2 => TargetFault::Disconnect,
        3 => TargetFault::OmitProof,
        _ => TargetFault::Slow,
    }
}

#[cfg(test)]
mod tests;
