//! What is to be offered, and where to.

use std::net::SocketAddr;
use std::sync::{Arc, PoisonError, RwLock};
use std::time::Duration;

use http::Method;
use rand::Rng;
use rand::rngs::StdRng;

/// What kind of call it is.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub(crate) enum Class {
    /// A status check; it may be repeated.
    Urgent,
    /// An order; it may not be repeated.
    Order,
    /// Any other call; it may be repeated.
    Normal,
    /// A report with a long answer.
    Bulky,
}

impl Class {
    /// Path of its calls.
    pub(crate) fn path(self) -> &'static str {
        match self {
            Self::Urgent => "/urgent/status",
            Self::Order => "/order",
            Self::Normal => "/normal",
            Self::Bulky => "/bulky/report",
        }
    }

    /// Method of its calls.
    pub(crate) fn method(self) -> Method {
        if self == Self::Order {
            Method::POST
        } else {
            Method::GET
        }
    }
}

/// Calls of one class to one service, at a mean rate.
#[derive(Debug, Clone)]
pub(crate) struct Stream {
    /// Kind of call.
    pub(crate) class: Class,
    /// Number of the service in the routes.
    pub(crate) service: usize,
    /// Host of the service.
    pub(crate) host: String,
    /// Calls a second.
    pub(crate) rate: f64,
    /// Time that each call works, in microseconds.
    pub(crate) work_us: u64,
    /// Length of each answer, in bytes.
    pub(crate) bytes: u64,
    /// Times that a refused call is sent again at once.
    pub(crate) retries: u32,
}

/// Callers that ask again as soon as they are answered.
#[derive(Debug, Clone)]
pub(crate) struct ClosedLoop {
    /// What they ask; the rate is not used.
    pub(crate) stream: Stream,
    /// How many there are.
    pub(crate) callers: usize,
}

/// Where calls may be sent, by service and zone of the caller.
#[derive(Debug, Clone, Default)]
pub(crate) struct Routes {
    lists: Arc<RwLock<Vec<Vec<SocketAddr>>>>,
    zones: Vec<String>,
    first_only: bool,
}

impl Routes {
    /// Builds routes for callers in `zones`; `first_only` takes the first of
    /// each list in place of a random one.
    pub(crate) fn new(zones: &[&str], first_only: bool) -> Self {
        Self {
            lists: Arc::default(),
            zones: zones.iter().map(|zone| (*zone).to_owned()).collect(),
            first_only,
        }
    }

    /// Replaces the lists, ordered by service and then zone.
    pub(crate) fn set(&self, lists: Vec<Vec<SocketAddr>>) {
        *self.lists.write().unwrap_or_else(PoisonError::into_inner) = lists;
    }

    /// A place to send a call to `service` and the zone of its caller.
    ///
    /// A call that is sent again takes another place of the list.
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

/// One run of load.
#[derive(Debug, Clone)]
pub(crate) struct Plan {
    /// Seed of the schedule.
    pub(crate) seed: u64,
    /// Time that is measured.
    pub(crate) duration: Duration,
    /// Time before it that is not.
    pub(crate) warm_up: Duration,
    /// Threads that generate.
    pub(crate) threads: usize,
    /// Calls by schedule.
    pub(crate) streams: Vec<Stream>,
    /// Calls in tight loops.
    pub(crate) closed_loops: Vec<ClosedLoop>,
    /// Time that is added to each call for the way to the client and back.
    pub(crate) client_delay: Duration,
    /// Time that each call has.
    pub(crate) deadline: Duration,
    /// Where calls go.
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
