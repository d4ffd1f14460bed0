//! The platform in a process of its own: store, instance list and targets.

use std::net::SocketAddr;
use std::sync::PoisonError;
use std::sync::atomic::Ordering;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use standin::faults::StoreFaults;
use standin::fleet::{self, Fleet, FleetOptions, FleetTarget, TargetState};
use standin::list::{self, ListStandin, ListedTarget};
use standin::store::{self, StoreStandin};

use super::{read, write};
use crate::Error;

/// Threads that serve the platform.
const THREADS: usize = 2;

/// What the platform starts with.
#[derive(Debug, Default, Serialize, Deserialize)]
pub(crate) struct Start {
    /// What the targets are like.
    pub(crate) options: FleetOptions,
    /// The targets.
    pub(crate) targets: Vec<FleetTarget>,
}

/// What the bench asks of the platform.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) enum Command {
    /// Starts the targets' peaks and counts anew.
    Reset,
    /// Reports what the targets and the store have seen.
    Report,
    /// How often each numbered call ran.
    Runs,
    /// Replaces the instance list.
    List(Vec<ListedTarget>),
    /// Puts the store out of service, or slows it.
    Store {
        /// Whether it closes connections without an answer.
        down: bool,
        /// Time that each call takes longer, in milliseconds.
        delay_ms: u64,
        /// Writes that take effect and whose answers are lost.
        lost_answers: u32,
    },
    /// Changes one target.
    Target(TargetChange),
}

/// A change of one target.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub(crate) struct TargetChange {
    /// Which target.
    pub(crate) id: String,
    /// Calls that it bears.
    pub(crate) bears: Option<u32>,
    /// Time that each call takes longer, in microseconds.
    pub(crate) delay_us: u64,
    /// Whether it sheds each call.
    pub(crate) shedding: bool,
    /// Whether each call's connection closes after it has run.
    pub(crate) breaking: bool,
    /// Whether it pretends to be a new process.
    pub(crate) restarted: bool,
}

/// Where the platform listens.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) struct Started {
    /// The key-value service.
    pub(crate) store: SocketAddr,
    /// The instance list.
    pub(crate) list: SocketAddr,
    /// The targets.
    pub(crate) targets: Vec<ListedTarget>,
}

/// What the platform has seen.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub(crate) struct Seen {
    /// The targets.
    pub(crate) targets: Vec<TargetSeen>,
    /// Reads of the store since it started.
    pub(crate) store_reads: u64,
    /// Transactions of the store since it started.
    pub(crate) store_writes: u64,
    /// Lease calls of the store since it started.
    pub(crate) store_leases: u64,
    /// Watches of the store since it started.
    pub(crate) store_watches: u64,
}

/// What one target has seen.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) struct TargetSeen {
    /// Its service.
    pub(crate) service: String,
    /// Its zone.
    pub(crate) zone: String,
    /// Calls that it bears.
    pub(crate) bears: u32,
    /// Most calls at a time.
    pub(crate) peak: u32,
    /// Calls begun above what it bears.
    pub(crate) above_limit: u64,
    /// Calls run.
    pub(crate) calls: u64,
    /// Calls shed.
    pub(crate) shed: u64,
    /// Questions about health or load.
    pub(crate) probes: u64,
    /// Most open connections.
    pub(crate) peak_connections: u32,
}

impl Seen {
    /// Calls of the store since it started.
    pub(crate) fn store_calls(&self) -> u64 {
        self.store_reads + self.store_writes + self.store_leases + self.store_watches
    }

    /// Most calls in flight over what a target bears.
    pub(crate) fn worst_ratio(&self) -> f64 {
        let ratio = |seen: &TargetSeen| f64::from(seen.peak) / f64::from(seen.bears.max(1));
        self.targets.iter().map(ratio).fold(0.0, f64::max)
    }

    /// Calls begun above what a target bears.
    pub(crate) fn above_limit(&self) -> u64 {
        self.targets.iter().map(|seen| seen.above_limit).sum()
    }

    /// Questions about health or load.
    pub(crate) fn probes(&self) -> u64 {
        self.targets.iter().map(|seen| seen.probes).sum()
    }

    /// Most connections of a target.
    pub(crate) fn peak_connections(&self) -> u32 {
        let connections = self.targets.iter().map(|seen| seen.peak_connections);
        connections.max().unwrap_or(0)
    }
}

struct Platform {
    store: StoreStandin,
    list: ListStandin,
    fleet: Fleet,
}

/// Serves until the parent closes standard input.
pub(crate) fn run() -> Result<(), Error> {
    let rt = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(THREADS)
        .enable_all()
        .build()?;
    let Some(start) = read::<Start>()? else {
        return Ok(());
    };
    let platform = rt.block_on(Platform::start(start))?;
    write(&platform.started())?;
    while let Some(command) = read::<Command>()? {
        platform.answer(command)?;
    }
    Ok(())
}

impl Platform {
    async fn start(start: Start) -> Result<Self, Error> {
        let fleet = fleet::start(&start.options, start.targets).await?;
        let platform = Self {
            store: store::start().await?,
            list: list::start().await?,
            fleet,
        };
        platform.list.targets.set(platform.listed());
        Ok(platform)
    }

    fn listed(&self) -> Vec<ListedTarget> {
        let listed = |state: &std::sync::Arc<TargetState>| ListedTarget {
            id: state.target.id.clone(),
            service: state.target.service.clone(),
            zone: state.target.zone.clone(),
            address: state.address,
            leaving: false,
        };
        self.fleet.targets.iter().map(listed).collect()
    }

    fn started(&self) -> Started {
        Started {
            store: self.store.server.address,
            list: self.list.server.address,
            targets: self.listed(),
        }
    }

    fn answer(&self, command: Command) -> Result<(), Error> {
        match command {
            Command::Reset => self.fleet.reset(),
            Command::Report => return write(&self.seen()),
            Command::Runs => return write(&self.runs()),
            Command::List(targets) => self.list.targets.set(targets),
            Command::Store {
                down,
                delay_ms,
                lost_answers,
            } => self.store.faults.change(|faults: &mut StoreFaults| {
                faults.down = down;
                faults.delay = Duration::from_millis(delay_ms);
                faults.lost_responses = lost_answers;
            }),
            Command::Target(change) => self.change(&change),
        }
        write(&true)
    }

    fn change(&self, change: &TargetChange) {
        let Some(state) = self.fleet.target(&change.id) else {
            return;
        };
        if let Some(bears) = change.bears {
            state.slot_limit.store(bears, Ordering::Relaxed);
        }
        state.delay_us.store(change.delay_us, Ordering::Relaxed);
        state.shedding.store(change.shedding, Ordering::Relaxed);
        state.breaking.store(change.breaking, Ordering::Relaxed);
        if change.restarted {
            state.start_id.fetch_add(1, Ordering::Relaxed);
        }
    }

    fn runs(&self) -> Vec<(u64, u32)> {
        let runs = self.fleet.runs.lock();
        let runs = runs.unwrap_or_else(PoisonError::into_inner);
        runs.iter().map(|(call, times)| (*call, *times)).collect()
    }

    fn seen(&self) -> Seen {
        let calls = &self.store.calls;
        Seen {
            targets: self.fleet.targets.iter().map(|state| seen(state)).collect(),
            store_reads: calls.reads.load(Ordering::Relaxed),
            store_writes: calls.writes.load(Ordering::Relaxed),
            store_leases: calls.leases.load(Ordering::Relaxed),
            store_watches: calls.watches.load(Ordering::Relaxed),
        }
    }
}

fn seen(state: &TargetState) -> TargetSeen {
    TargetSeen {
        service: state.target.service.clone(),
        zone: state.target.zone.clone(),
        bears: state.slot_limit.load(Ordering::Relaxed),
        peak: state.peak.load(Ordering::Relaxed),
        above_limit: state.above_limit.load(Ordering::Relaxed),
        calls: state.calls.load(Ordering::Relaxed),
        shed: state.shed.load(Ordering::Relaxed),
        probes: state.probes.load(Ordering::Relaxed),
        peak_connections: state.peak_connections.load(Ordering::Relaxed),
    }
}
