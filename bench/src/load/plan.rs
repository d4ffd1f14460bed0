//! Description of the load to offer.

use std::net::SocketAddr;
use std::sync::{Arc, PoisonError, RwLock};
use std::time::Duration;

use http::Method;
use rand::Rng;
use rand::rngs::StdRng;

/// Class of a call, which decides its path, method and priority.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub(crate) enum Class {
    /// An idempotent status check of the highest priority.
    Urgent,
    /// An order. It isn't idempotent and must run at most once.
    Order,
    /// Any other idempotent call.
    Normal,
    /// A report with a large response body, of the lowest priority.
    Bulky,
}

impl Class {
    pub(crate) fn path(self) -> &'static str {
        match self {
            Self::Urgent => "/urgent/status",
            Self::Order => "/order",
            Self::Normal => "/normal",
            Self::Bulky => "/bulky/report",
        }
    }

    pub(crate) fn method(self) -> Method {
        if self == Self::Order {
            Method::POST
        } else {
            Method::GET
        }
    }
}

/// Calls of one class to one service, at a mean arrival rate.
#[derive(Debug, Clone)]
pub(crate) struct Stream {
    pub(crate) class: Class,
    /// Index of the service in the deployment and in [`Routes`].
    pub(crate) service: usize,
    /// Value of the `Host` header.
    pub(crate) host: String,
    /// Mean number of calls per second.
    pub(crate) rate: f64,
    /// Time for which a target works on each call, in microseconds.
    pub(crate) work_us: u64,
    /// Size of each response body, in bytes.
    pub(crate) bytes: u64,
    /// How often a refused call is retried, without backoff.
    pub(crate) retries: u32,
}

/// Closed-loop callers: each sends its next call as soon as the last one has ended.
#[derive(Debug, Clone)]
pub(crate) struct ClosedLoop {
    /// The calls; the rate and the retries are not used.
    pub(crate) stream: Stream,
    /// Number of concurrent callers.
    pub(crate) callers: usize,
}

/// Addresses that calls may be sent to, by service and zone of the caller. Clones
/// share the lists.
#[derive(Debug, Clone, Default)]
pub(crate) struct Routes {
    lists: Arc<RwLock<Vec<Vec<SocketAddr>>>>,
    zones: Vec<String>,
    first_only: bool,
}

impl Routes {
    /// Creates routes for callers in `zones`. With `first_only`, callers try the
    /// addresses of a list in order, as they do with the address lists of entry
    /// instances; otherwise they pick one at random.
    pub(crate) fn new(zones: &[&str], first_only: bool) -> Self {
        Self {
            lists: Arc::default(),
            zones: zones.iter().map(|zone| (*zone).to_owned()).collect(),
            first_only,
        }
    }

    /// Replaces the address lists, which are ordered by service and then zone.
    pub(crate) fn set(&self, lists: Vec<Vec<SocketAddr>>) {
        *self.lists.write().unwrap_or_else(PoisonError::into_inner) = lists;
    }

    /// Draws the caller's zone and returns an address for its call to `service`.
    ///
    /// With `first_only`, `attempt` is the index into the list: the number of the retry, or
    /// that of a closed-loop caller.
    pub(crate) fn pick(
        &self,
        service: usize,
        attempt: usize,
        rng: &mut StdRng,
    ) -> Option<(SocketAddr, &str)> {
        let zone = rng.random_range(0..self.zones.len());
        let lists = self.lists.read().unwrap_or_else(PoisonError::into_inner);
        let list = lists.get(service * self.zones.len() + zone)?;
        let index = if self.first_only {
            attempt.checked_rem(list.len())?
        } else if list.is_empty() {
            return None;
        } else {
            rng.random_range(0..list.len())
        };
        Some((list[index], &self.zones[zone]))
    }
}

/// Load to offer in one run.
#[derive(Debug, Clone)]
pub(crate) struct Plan {
    /// Seed of the arrival schedule.
    pub(crate) seed: u64,
    /// Length of the measured phase.
    pub(crate) duration: Duration,
    /// Length of the phase before it whose calls are not recorded.
    pub(crate) warm_up: Duration,
    /// Number of load threads.
    pub(crate) threads: usize,
    /// Open-loop calls.
    pub(crate) streams: Vec<Stream>,
    /// Closed-loop calls.
    pub(crate) closed_loops: Vec<ClosedLoop>,
    /// One-way network delay of the client; twice this is added to each latency.
    pub(crate) client_delay: Duration,
    /// Timeout of each attempt, also sent as its deadline.
    pub(crate) deadline: Duration,
    /// Addresses that calls are sent to.
    pub(crate) routes: Routes,
}

impl Default for Plan {
    fn default() -> Self {
        Self {
            seed: 1,
            duration: Duration::from_secs(5),
            warm_up: Duration::from_millis(500),
            threads: 2,
            streams: Vec::new(),
            closed_loops: Vec::new(),
            client_delay: Duration::ZERO,
            deadline: Duration::from_secs(5),
            routes: Routes::default(),
        }
    }
}
