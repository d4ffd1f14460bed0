//! State shared by the tasks of an entry instance.

use std::sync::{Arc, Mutex, MutexGuard, OnceLock, PoisonError};

use tokio::net::UdpSocket;
use tokio::sync::Notify;

use crate::entry::metrics::EntryMetrics;
use crate::entry::request::pool::Pool;
use crate::entry::state::State;
use crate::entry::stop::Stop;
use crate::http1::body::ResponseMemory;
use crate::http1::request_body::BodyMemory;
use crate::units::{Clock, Time};

/// Bytes of one request's body that are held at most.
const MAX_HELD_BODY_BYTES: usize = 1 << 20;

/// The state, the connection pool and the metrics. The pool's lock is never taken while
/// the state is locked.
#[derive(Debug)]
pub(crate) struct Shared {
    state: Mutex<State>,
    clock: Clock,
    /// Idle connections to targets.
    pub pool: Pool,
    /// Notified whenever a request at a target ends or capacity may have changed.
    pub capacity_freed: Notify,
    /// Notified whenever a home of a client account answers.
    pub tokens_arrived: Notify,
    /// Socket for datagrams to peers, once it is bound.
    pub peer_socket: OnceLock<Arc<UdpSocket>>,
    /// The end of this process, once it is shutting down.
    pub stop: Stop,
    /// Counters and latencies.
    pub metrics: EntryMetrics,
    /// Memory for the bodies of requests.
    pub body_memory: Arc<BodyMemory>,
    /// Memory for the responses of targets until callers have received them.
    pub response_memory: Arc<ResponseMemory>,
}

impl Shared {
    pub(crate) fn new(state: State, clock: Clock, metrics: EntryMetrics) -> Self {
        let body_memory = BodyMemory::new(MAX_HELD_BODY_BYTES, state.settings.body_memory);
        let response_memory = ResponseMemory::new(state.settings.response_memory);
        Self {
            response_memory: Arc::new(response_memory),
            body_memory: Arc::new(body_memory),
            state: Mutex::new(state),
            clock,
            pool: Pool::default(),
            capacity_freed: Notify::new(),
            tokens_arrived: Notify::new(),
            peer_socket: OnceLock::new(),
            stop: Stop::default(),
            metrics,
        }
    }

    /// Locks the state; the lock must not be held over I/O.
    pub(crate) fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The current time of this process's clock.
    pub(crate) fn now(&self) -> Time {
        self.clock.now()
    }
}
