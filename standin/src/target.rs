//! Stand-in of a target, which counts its calls and injects faults.

mod calls;
mod listener;
mod record;
mod responses;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use tokio::task::JoinHandle;

use crate::faults::{ColdStart, Health, Load, Shared, TargetFaults};
use listener::Listener;
pub use record::Record;

/// Header that identifies one attempt of a request.
pub const CALL_HEADER: &str = "x-call-id";
/// Header that identifies a caller's request across all attempts.
pub const REQUEST_HEADER: &str = "x-request-id";
/// Header of a load-shedding response; it states that the call was not run.
pub const SHED_HEADER: &str = "x-shed";
/// Response header with the target's load, as `IN_FLIGHT/SLOTS`.
pub const LOAD_HEADER: &str = "x-load";

/// Configuration of a target.
#[derive(Debug, Clone)]
pub struct TargetOptions {
    /// Identifier of the target.
    pub id: String,
    /// Address to listen on; port 0 lets the operating system choose.
    pub listen: SocketAddr,
    /// Processing time of each call.
    pub work: Duration,
    /// Concurrent calls that it reports as its limit; it does not enforce them.
    pub slots: u32,
}

impl Default for TargetOptions {
    fn default() -> Self {
        Self {
            id: "target".to_owned(),
            listen: SocketAddr::from(([127, 0, 0, 1], 0)),
            work: Duration::from_millis(1),
            slots: 6,
        }
    }
}

/// A running stand-in of a target; it stops when it is dropped.
#[derive(Debug)]
pub struct TargetStandin {
    /// Identifier of the target.
    pub id: String,
    /// Server that accepts the calls.
    pub server: TargetServer,
    /// Faults to inject, read at the start of each call.
    pub faults: Shared<TargetFaults>,
    /// Counts of calls, connections and probes.
    pub record: Arc<Record>,
    cx: Arc<Target>,
}

/// The listening task of a target; it stops when it is dropped.
#[derive(Debug)]
pub struct TargetServer {
    /// Address that the target listens on.
    pub address: SocketAddr,
    task: JoinHandle<()>,
}

impl Drop for TargetServer {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Starts a target.
///
/// # Errors
/// The operating system's error when the address can't be bound.
pub async fn start(options: TargetOptions) -> std::io::Result<TargetStandin> {
    let listener = Listener::bind(options.listen).await?;
    let address = listener.address;
    let cx = Arc::new(Target::new(options.clone()));
    let task = tokio::spawn(listener.run(Arc::clone(&cx)));
    Ok(TargetStandin {
        id: options.id,
        server: TargetServer { address, task },
        faults: cx.faults.clone(),
        record: Arc::clone(&cx.record),
        cx,
    })
}

impl TargetStandin {
    /// Starts a cold start now.
    pub fn turn_cold(&self, cold: ColdStart) {
        let until = Instant::now() + cold.duration;
        self.cx.cold.set(Some((cold, until)));
    }

    /// Simulates a crash of the target's process and a restart after `down_for`.
    ///
    /// Its connections break, its calls are cancelled, and new connections are refused
    /// until the restart.
    pub fn restart(&self, down_for: Duration) {
        self.cx.restart(down_for);
    }

    /// Makes every open connection discard all bytes; new connections work.
    pub fn silence_connections(&self) {
        self.cx.silence();
    }

    /// Identifier of the target's current process; it changes with each restart.
    #[must_use]
    pub fn start_id(&self) -> String {
        self.cx.start_id()
    }
}

/// State shared by the connections of a target.
#[derive(Debug)]
pub(crate) struct Target {
    options: TargetOptions,
    faults: Shared<TargetFaults>,
    record: Arc<Record>,
    calls: calls::CallRegistry,
    cold: Shared<Option<(ColdStart, Instant)>>,
    run: listener::ProcessRun,
}

impl Target {
    fn new(options: TargetOptions) -> Self {
        Self {
            options,
            faults: Shared::default(),
            record: Arc::default(),
            calls: calls::CallRegistry::default(),
            cold: Shared::default(),
            run: listener::ProcessRun::default(),
        }
    }

    /// The current cold start, if the target is not yet warm.
    fn cold(&self) -> Option<ColdStart> {
        let (cold, until) = self.cold.get()?;
        (Instant::now() < until).then_some(cold)
    }

    fn load(&self) -> Load {
        self.faults.get().reported_load.unwrap_or(Load {
            in_flight: self.record.running(),
            slots: self.options.slots,
        })
    }

    fn health(&self) -> Health {
        let faults = self.faults.get();
        if let Some(health) = faults.reported_health {
            return health;
        }
        match (faults.draining, self.cold()) {
            (true, _) => Health::Draining,
            (false, Some(_)) => Health::Cold,
            (false, None) => Health::Ready,
        }
    }
}
