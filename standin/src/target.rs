//! Stand-in of a target: it counts what it runs and shows faults on demand.

mod answers;
mod calls;
mod listener;
mod record;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use tokio::task::JoinHandle;

use crate::faults::{ColdStart, Health, Load, Shared, TargetFaults};
use listener::Listener;
pub use record::Record;

/// Header that identifies one attempt to the target.
pub const CALL_HEADER: &str = "x-call-id";
/// Header that identifies a caller's request over all attempts.
pub const REQUEST_HEADER: &str = "x-request-id";
/// Header of a refusal for load, which says that the call was not run.
pub const SHED_HEADER: &str = "x-shed";
/// Header with the target's load.
pub const LOAD_HEADER: &str = "x-load";

/// What a target is.
#[derive(Debug, Clone)]
pub struct TargetOptions {
    /// Identifier of the target.
    pub id: String,
    /// Where to listen.
    pub listen: SocketAddr,
    /// Time that each call takes.
    pub work: Duration,
    /// Calls that it says it runs at a time.
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

/// A running stand-in of a target; it ends when it is dropped.
#[derive(Debug)]
pub struct TargetStandin {
    /// Identifier of the target.
    pub id: String,
    /// The server.
    pub server: TargetServer,
    /// Faults to show.
    pub faults: Shared<TargetFaults>,
    /// What it has run.
    pub record: Arc<Record>,
    cx: Arc<Target>,
}

/// The server of a target.
#[derive(Debug)]
pub struct TargetServer {
    /// Where it listens.
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
/// The operating system's answer when the address can't be had.
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
    /// Makes the target cold from now on.
    pub fn turn_cold(&self, cold: ColdStart) {
        let until = Instant::now() + cold.duration;
        self.cx.cold.set(Some((cold, until)));
    }

    /// Ends the target's process at once and starts it anew after `down_for`.
    ///
    /// Its connections break, its calls end, and connections are refused meanwhile.
    pub fn restart(&self, down_for: Duration) {
        self.cx.restart(down_for);
    }

    /// Makes every open connection swallow bytes for ever; new ones work.
    pub fn silence_connections(&self) {
        self.cx.silence();
    }

    /// Identifier of the target's present run.
    #[must_use]
    pub fn start_id(&self) -> String {
        self.cx.start_id()
    }
}

/// What the connections of a target share.
#[derive(Debug)]
pub(crate) struct Target {
    options: TargetOptions,
    faults: Shared<TargetFaults>,
    record: Arc<Record>,
    calls: calls::Calls,
    cold: Shared<Option<(ColdStart, Instant)>>,
    run: listener::Run,
}

impl Target {
    fn new(options: TargetOptions) -> Self {
        Self {
            options,
            faults: Shared::default(),
            record: Arc::default(),
            calls: calls::Calls::default(),
            cold: Shared::default(),
            run: listener::Run::default(),
        }
    }

    /// The cold start that the target is in.
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
