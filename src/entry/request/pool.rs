//! Pool of idle connections to targets.

use std::collections::VecDeque;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use indexmap::IndexMap;

use crate::http1::client::Conn;
use crate::names::TargetId;
use crate::units::Time;

/// Maximum idle time of a connection to a target that states none; well below the
/// shortest idle timeout known of targets.
const DEFAULT_IDLE: Duration = Duration::from_secs(4);
/// Maximum idle time of a connection for a request that must run at most once. The
/// target may have dropped an older connection, and after a reset it is unknown whether
/// the request ran.
const AT_MOST_ONCE_IDLE: Duration = Duration::from_secs(4);
/// Fraction of a target's stated idle timeout for which a connection is used.
const IDLE_FRACTION: f64 = 0.6;

/// A connection to a target that counts towards the connections of its view.
#[derive(Debug)]
pub(crate) struct TargetConn {
    /// The HTTP connection.
    pub conn: Conn,
    /// When it was opened.
    pub opened: Time,
    /// Whether a health check was sent over it.
    pub is_checked: bool,
    /// Reference count of the target's connections; see
    /// [`crate::entry::target::targets::TargetState::connections`].
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
    /// Takes the most recently used reusable connection. With `at_most_once`, only one
    /// that was idle for at most [`AT_MOST_ONCE_IDLE`].
    pub(crate) fn take(
        &self,
        now: Time,
        target: &TargetId,
        at_most_once: bool,
    ) -> Option<TargetConn> {
        let mut idle = self.lock();
        let connections = idle.get_mut(target)?;
        while let Some(entry) = connections.pop_back() {
            let fresh =
                now < entry.until && !(at_most_once && now.since(entry.since) > AT_MOST_ONCE_IDLE);
            if fresh && entry.conn.conn.is_reusable() {
                return Some(entry.conn);
            }
        }
        None
    }

    /// Returns a connection to the pool if it can be reused.
    pub(crate) fn put(
        &self,
        now: Time,
        target: &TargetId,
        conn: TargetConn,
        stated_idle: Option<Duration>,
    ) {
        if !conn.conn.seems_reusable() {
            return;
        }
        let max_idle = stated_idle.map_or(DEFAULT_IDLE, |stated| stated.mul_f64(IDLE_FRACTION));
        let entry = Idle {
            conn,
            since: now,
            until: now.after(max_idle),
        };
        self.lock()
            .entry(target.clone())
            .or_default()
            .push_back(entry);
    }

    /// Closes connections that were idle for too long.
    pub(crate) fn expire(&self, now: Time) {
        self.lock().retain(|_, connections| {
            connections.retain(|entry| now < entry.until && entry.conn.conn.seems_reusable());
            !connections.is_empty()
        });
    }

    /// Closes all idle connections to a target.
    pub(crate) fn remove(&self, target: &TargetId) {
        self.lock().swap_remove(target);
    }

    /// Closes all idle connections.
    pub(crate) fn clear(&self) {
        self.lock().clear();
    }

    fn lock(&self) -> MutexGuard<'_, IndexMap<TargetId, VecDeque<Idle>>> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
