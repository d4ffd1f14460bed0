//! Process that serves the store, the target list and targets.

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

const WORKER_THREADS: usize = 2;

/// First message to the process.
#[derive(Debug, Default, Serialize, Deserialize)]
pub(crate) struct Start {
    /// Options of every target.
    pub(crate) options: FleetOptions,
    pub(crate) targets: Vec<FleetTarget>,
}

/// Command of the bench to the process.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) enum Command {
    /// Resets the targets' peaks and counts.
    Reset,
    /// Returns [`PlatformStats`].
    Report,
    /// Returns how often each numbered call ran.
    Runs,
    /// Replaces the target list.
    List(Vec<ListedTarget>),
    /// Sets the faults of the store.
    Store {
        /// Whether the store closes connections without a response.
        down: bool,
        /// Delay added to each call, in milliseconds.
        delay_ms: u64,
        /// Number of next writes that take effect but whose responses are lost.
        lost_answers: u32,
    },
    /// Sets the faults of one target.
    Target(TargetChange),
}

/// State that a target is set to. The default clears its faults.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub(crate) struct TargetChange {
    /// Id of the target; unknown ones are ignored.
    pub(crate) id: String,
    /// Calls that the target can run concurrently; unchanged when `None`.
    #[serde(rename = "bears")]
    pub(crate) slots: Option<u32>,
    /// Delay added to each call, in microseconds.
    pub(crate) delay_us: u64,
    /// Whether the target sheds every call.
    pub(crate) shedding: bool,
    /// Whether the connection of each call is closed after the call has run.
    pub(crate) breaking: bool,
    /// Whether the target reports a new process start.
    pub(crate) restarted: bool,
}

/// Addresses of the platform, sent once it serves.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) struct Started {
    /// Address of the store.
    pub(crate) store: SocketAddr,
    /// Address of the target list.
    pub(crate) list: SocketAddr,
    pub(crate) targets: Vec<ListedTarget>,
}

/// Statistics of the store and the targets.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub(crate) struct PlatformStats {
    pub(crate) targets: Vec<TargetStats>,
    /// Reads from the store since it started.
    pub(crate) store_reads: u64,
    /// Transactions on the store since it started.
    pub(crate) store_writes: u64,
    /// Lease calls to the store since it started.
    pub(crate) store_leases: u64,
    /// Watches of the store since it started.
    pub(crate) store_watches: u64,
}

/// Statistics of one target.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) struct TargetStats {
    pub(crate) service: String,
    pub(crate) zone: String,
    /// Calls that the target can run concurrently.
    #[serde(rename = "bears")]
    pub(crate) slots: u32,
    /// Highest number of calls in flight.
    pub(crate) peak: u32,
    /// Calls that started while every slot was in use.
    pub(crate) above_limit: u64,
    /// Calls that have run.
    pub(crate) calls: u64,
    /// Calls that were shed.
    pub(crate) shed: u64,
    /// Probes of health or load that were received.
    pub(crate) probes: u64,
    /// Highest number of open connections.
    pub(crate) peak_connections: u32,
}

impl PlatformStats {
    /// Calls to the store since it started.
    pub(crate) fn store_calls(&self) -> u64 {
        self.store_reads + self.store_writes + self.store_leases + self.store_watches
    }

    /// Highest ratio, over all targets, of peak calls in flight to slots.
    pub(crate) fn worst_ratio(&self) -> f64 {
        let ratio = |stats: &TargetStats| f64::from(stats.peak) / f64::from(stats.slots.max(1));
        self.targets.iter().map(ratio).fold(0.0, f64::max)
    }

    /// Calls that started on a target while every slot was in use.
    pub(crate) fn above_limit(&self) -> u64 {
        self.targets.iter().map(|stats| stats.above_limit).sum()
    }

    /// Probes of health or load that were received.
    pub(crate) fn probes(&self) -> u64 {
        self.targets.iter().map(|stats| stats.probes).sum()
    }

    /// Highest number of open connections of any target.
    pub(crate) fn peak_connections(&self) -> u32 {
        let connections = self.targets.iter().map(|stats| stats.peak_connections);
        connections.max().unwrap_or(0)
    }
}

struct Platform {
    store: StoreStandin,
    list: ListStandin,
    fleet: Fleet,
}

/// Runs the role until the parent closes standard input.
pub(crate) fn run() -> Result<(), Error> {
    let rt = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(WORKER_THREADS)
        .enable_all()
        .build()?;
    let Some(start) = read::<Start>()? else {
        return Ok(());
    };
    let platform = rt.block_on(Platform::start(start))?;
    write(&platform.started())?;
    while let Some(command) = read::<Command>()? {
        platform.handle(command)?;
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

    fn handle(&self, command: Command) -> Result<(), Error> {
        match command {
            Command::Reset => self.fleet.reset(),
            Command::Report => return write(&self.stats()),
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
            Command::Target(change) => self.apply_change(&change),
        }
        write(&true)
    }

    fn apply_change(&self, change: &TargetChange) {
        let Some(state) = self.fleet.target(&change.id) else {
            return;
        };
        if let Some(slots) = change.slots {
            state.slot_limit.store(slots, Ordering::Relaxed);
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

    fn stats(&self) -> PlatformStats {
        let calls = &self.store.calls;
        PlatformStats {
            targets: self
                .fleet
                .targets
                .iter()
                .map(|state| stats(state))
                .collect(),
            store_reads: calls.reads.load(Ordering::Relaxed),
            store_writes: calls.writes.load(Ordering::Relaxed),
            store_leases: calls.leases.load(Ordering::Relaxed),
            store_watches: calls.watches.load(Ordering::Relaxed),
        }
    }
}

fn stats(state: &TargetState) -> TargetStats {
    TargetStats {
        service: state.target.service.clone(),
        zone: state.target.zone.clone(),
        slots: state.slot_limit.load(Ordering::Relaxed),
        peak: state.peak.load(Ordering::Relaxed),
        above_limit: state.above_limit.load(Ordering::Relaxed),
        calls: state.calls.load(Ordering::Relaxed),
        shed: state.shed.load(Ordering::Relaxed),
        probes: state.probes.load(Ordering::Relaxed),
        peak_connections: state.peak_connections.load(Ordering::Relaxed),
    }
}
