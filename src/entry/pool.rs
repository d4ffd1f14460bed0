//! Open connections to targets.

use std::collections::VecDeque;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use indexmap::IndexMap;

use crate::http1::client::Conn;
use crate::names::TargetId;
use crate::units::Time;

/// Idle time after which a connection is not used again where the target states
/// none; well below the shortest idle time that targets are known to have.
const DEFAULT_IDLE: Duration = Duration::from_secs(4);
/// Idle time after which a connection takes no request that may run once only: the
/// target may have forgotten it, and a reset then leaves open whether it ran.
const AT_MOST_ONCE_IDLE: Duration = Duration::from_secs(4);
/// Part of a stated idle time for which a connection is used.
const IDLE_FRACTION: f64 = 0.6;

/// A connection to a target, counted for as long as it lives.
#[derive(Debug)]
pub(crate) struct TargetConn {
    /// The connection.
    pub conn: Conn,
    /// Counts it; see [`super::targets::View::connections`].
    pub _token: Arc<()>,
}

#[derive(Debug)]
struct Idle {
    conn: TargetConn,
    since: Time,
    until: Time,
}

/// Idle connections by target.
#[derive(Debug, Default)]
pub(crate) struct Pool {
    idle: Mutex<IndexMap<TargetId, VecDeque<Idle>>>,
}

impl Pool {
    /// Takes the connection that was used last, if it can be used still; `once` for a
    /// request that may run once only.
    pub(crate) fn take(
        &self,
        now: Time,
        target: &TargetId,
        at_most_once: bool,
    ) -> Option<TargetConn> {
        let mut idle = self.lock();
        let conns = idle.get_mut(target)?;
        while let Some(entry) = conns.pop_back() {
            let fresh =
                now < entry.until && !(at_most_once && now.since(entry.since) > AT_MOST_ONCE_IDLE);
            if fresh && entry.conn.conn.is_reusable() {
                return Some(entry.conn);
            }
        }
        None
    }

    /// Puts a connection back if it can be used again.
    pub(crate) fn put(
        &self,
        now: Time,
        target: &TargetId,
        conn: TargetConn,
        stated_idle: Option<Duration>,
    ) {
        if !conn.conn.is_reusable() {
            return;
        }
        let keep = stated_idle.map_or(DEFAULT_IDLE, |stated| stated.mul_f64(IDLE_FRACTION));
        let entry = Idle {
            conn,
            since: now,
            until: now.after(keep),
        };
        self.lock()
            .entry(target.clone())
            .or_default()
            .push_back(entry);
    }

    /// Drops connections that are too old.
    pub(crate) fn expire(&self, now: Time) {
        self.lock().retain(|_, conns| {
            conns.retain(|entry| now < entry.until && entry.conn.conn.is_reusable());
            !conns.is_empty()
        });
    }

    /// Drops all connections to a target.
    pub(crate) fn remove(&self, target: &TargetId) {
        self.lock().swap_remove(target);
    }

    fn lock(&self) -> MutexGuard<'_, IndexMap<TargetId, VecDeque<Idle>>> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
