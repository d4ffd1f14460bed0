//! Connections to targets, pooled by worker thread.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use http::{Request, Response};
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use indexmap::IndexMap;
use socket2::{SockRef, TcpKeepalive};
use tokio::net::TcpStream;

use super::body::UpstreamBody;
use super::kind::ErrorKind;
use super::target_stream::{StreamChecks, TargetStream};
use super::write_deadline::WriteDeadline;
use crate::http1::status::with_valid_status;
use crate::instance::Instance;
use crate::units::Time;

/// Longest wait until a new connection is established.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Longest wait until an idle connection is ready for a request.
const READY_TIMEOUT: Duration = Duration::from_millis(5);
/// Idle time after which a connection is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);
/// Interval at which expired idle connections are closed.
const CLEANUP_INTERVAL: Duration = Duration::from_secs(5);
/// A connection whose last response is older than this does not carry non-repeatable calls.
const RECENT_RESPONSE: Duration = Duration::from_secs(2);
/// TCP user timeout: longest time for which sent bytes may remain unacknowledged.
const USER_TIMEOUT: Duration = Duration::from_secs(10);
/// Idle time before the first TCP keepalive probe.
const KEEPALIVE_IDLE: Duration = Duration::from_secs(10);
/// Interval of TCP keepalive probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(5);
/// Number of unanswered TCP keepalive probes after which the connection is closed.
const KEEPALIVE_PROBES: u32 = 3;

/// Which idle connections a call may reuse.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum IdleRequirement {
    /// Any idle connection; for calls that may be retried if it turns out to be dead.
    Any,
    /// Only one with a recent response; for calls that may run only once.
    RecentlyResponded,
}

/// A connection to a target; it carries one call at a time.
#[derive(Debug)]
pub(crate) struct Connection {
    address: SocketAddr,
    opened: Time,
    last_response: Time,
    /// Whether the connection has carried a call before.
    pub(crate) reused: bool,
    /// Whether a response on this connection has carried the id of its call.
    has_call_ids: bool,
    tx: SendRequest<UpstreamBody>,
    checks: Arc<StreamChecks>,
    _open_guard: OpenGuard,
}

/// Why a call received no response on a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum SendError {
    /// No byte of the request was written.
    Unsent,
    /// The connection failed after a part of the request may have been written, or what was
    /// received is no response.
    Broken,
    /// Reading the request body failed.
    Body,
}

thread_local! {
    static CLEANUP_STARTED: Cell<bool> = const { Cell::new(false) };
    static POOLS: RefCell<IndexMap<SocketAddr, Pool>> = RefCell::default();
}

#[derive(Debug, Default)]
struct Pool {
    open: usize,
    idle: Vec<Connection>,
}

/// Counts a connection as open until dropped.
#[derive(Debug)]
struct OpenGuard(SocketAddr);

impl OpenGuard {
    /// Counts one more connection, unless `limit` are open already.
    fn begin(address: SocketAddr, limit: usize) -> Option<Self> {
        POOLS.with_borrow_mut(|pools| {
            let pool = pools.entry(address).or_default();
            if pool.open >= limit {
                return None;
            }
            pool.open += 1;
            Some(Self(address))
        })
    }
}

impl Drop for OpenGuard {
    fn drop(&mut self) {
        // Not counted if the pools are being destroyed at the end of the thread, or are
        // borrowed at this moment.
        let _ = POOLS.try_with(|pools| {
            if let Ok(mut pools) = pools.try_borrow_mut()
                && let Some(pool) = pools.get_mut(&self.0)
            {
                pool.open -= 1;
                if pool.open == 0 {
                    pools.swap_remove(&self.0);
                }
            }
        });
    }
}

/// Takes an idle connection to the target from the pool, or opens one.
///
/// # Errors
/// [`ErrorKind::TargetRefused`] if no connection can be opened; no part of the call
/// was sent.
pub(crate) async fn acquire(
    instance: &Arc<Instance>,
    address: SocketAddr,
    requirement: IdleRequirement,
) -> Result<Connection, ErrorKind> {
    start_cleanup(instance);
    while let Some(mut connection) = take_idle(instance, address, requirement) {
        let ready = tokio::time::timeout(READY_TIMEOUT, connection.tx.ready()).await;
        if matches!(ready, Ok(Ok(()))) {
            connection.reused = true;
            return Ok(connection);
        }
    }
    open(instance, address).await
}

/// Returns a connection to the pool after a complete exchange.
pub(crate) fn put_back(instance: &Instance, mut connection: Connection) {
    let address = connection.address;
    if connection.tx.is_closed() || !instance.dispatch.may_reuse(address, connection.opened) {
        return;
    }
    connection.last_response = instance.tables.clock.now();
    POOLS.with_borrow_mut(|pools| pools.entry(address).or_default().idle.push(connection));
}

/// Starts the task that closes this thread's expired idle connections, once per thread.
fn start_cleanup(instance: &Arc<Instance>) {
    if CLEANUP_STARTED.replace(true) {
        return;
    }
    let instance = Arc::downgrade(instance);
    tokio::task::spawn_local(async move {
        loop {
            tokio::time::sleep(CLEANUP_INTERVAL).await;
            let Some(instance) = instance.upgrade() else {
                return;
            };
            close_expired(&instance);
            instance
                .dispatch
                .remove_expired(instance.tables.clock.now());
        }
    });
}

/// Closes this thread's idle connections that have expired or must not be reused.
fn close_expired(instance: &Instance) {
    let now = instance.tables.clock.now();
    let expired: Vec<Connection> = POOLS.with_borrow_mut(|pools| {
        pools
            .values_mut()
            .flat_map(|pool| {
                pool.idle
                    .extract_if(.., |connection| !connection.is_reusable(instance, now))
            })
            .collect()
    });
    drop(expired);
}

fn take_idle(
    instance: &Instance,
    address: SocketAddr,
    requirement: IdleRequirement,
) -> Option<Connection> {
    let now = instance.tables.clock.now();
    loop {
        let connection = POOLS.with_borrow_mut(|pools| pools.get_mut(&address)?.idle.pop())?;
        if !connection.is_reusable(instance, now) {
            continue;
        }
        // The pool is a stack: the top connection has the most recent response.
        if requirement == IdleRequirement::RecentlyResponded
            && now.since(connection.last_response) > RECENT_RESPONSE
        {
            POOLS.with_borrow_mut(|pools| pools.entry(address).or_default().idle.push(connection));
            return None;
        }
        return Some(connection);
    }
}

/// Opens a connection to the target.
///
/// # Errors
/// [`ErrorKind::TargetRefused`] if the connection limit is reached or connecting fails.
pub(crate) async fn open(
    instance: &Instance,
    address: SocketAddr,
) -> Result<Connection, ErrorKind> {
    let limits = &instance.tables.settings.limits;
    let instance_limit = instance.tables.connection_limit(address);
    let instance_limit =
        instance_limit.and_then(|instance_limit| usize::try_from(instance_limit).ok());
    let instance_limit = instance_limit.unwrap_or(limits.target_connections);
    let instance_limit = instance_limit.min(limits.target_connections);
    // Each worker has its own pool; rounded down, so that all pools together stay
    // within this instance's share.
    let worker_limit = (instance_limit / instance.tables.settings.workers).max(1);
    let open_guard = count_open(instance, address, worker_limit).ok_or(ErrorKind::TargetRefused)?;
    let opened = instance.tables.clock.now();
    let checks = Arc::new(StreamChecks {
        write_deadline: WriteDeadline::new(instance.tables.clock),
        expects_head: AtomicBool::new(false),
    });
    let connect =
        tokio::time::timeout(CONNECT_TIMEOUT, connect(address, Arc::clone(&checks))).await;
    let tx = connect
        .ok()
        .and_then(Result::ok)
        .ok_or(ErrorKind::TargetRefused)?;
    Ok(Connection {
        address,
        opened,
        last_response: opened,
        reused: false,
        has_call_ids: false,
        tx,
        checks,
        _open_guard: open_guard,
    })
}

/// Counts one more connection as open; at the limit the oldest idle one is closed first.
fn count_open(instance: &Instance, address: SocketAddr, limit: usize) -> Option<OpenGuard> {
    if let Some(guard) = OpenGuard::begin(address, limit) {
        return Some(guard);
    }
    close_expired(instance);
    let oldest = POOLS.with_borrow_mut(|pools| {
        let idle = &mut pools.get_mut(&address)?.idle;
        (!idle.is_empty()).then(|| idle.remove(0))
    });
    drop(oldest);
    OpenGuard::begin(address, limit)
}

async fn connect(
    address: SocketAddr,
    checks: Arc<StreamChecks>,
) -> Result<SendRequest<UpstreamBody>, Box<dyn std::error::Error>> {
    let stream = TcpStream::connect(address).await?;
    stream.set_nodelay(true)?;
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE_IDLE)
        .with_interval(KEEPALIVE_INTERVAL)
        .with_retries(KEEPALIVE_PROBES);
    let socket = SockRef::from(&stream);
    socket.set_tcp_keepalive(&keepalive)?;
    socket.set_tcp_user_timeout(Some(USER_TIMEOUT))?;
    let (tx, driver) = http1::handshake(TokioIo::new(TargetStream::new(stream, checks))).await?;
    tokio::task::spawn_local(async move {
        if let Err(err) = driver.await {
            tracing::debug!(%address, %err, "connection to target ended");
        }
    });
    Ok(tx)
}

impl Connection {
    /// Sends a request and waits for the head of its response. The request fails if its
    /// first byte is not written before `send_deadline`.
    ///
    /// # Errors
    /// [`SendError::Unsent`] only if the HTTP library returns the request, which it does
    /// as long as no byte of it was written.
    pub(crate) async fn send(
        &mut self,
        req: Request<UpstreamBody>,
        send_deadline: Time,
    ) -> Result<Response<Incoming>, SendError> {
        self.checks.write_deadline.set(send_deadline);
        self.checks.expects_head.store(true, Ordering::Release);
        let resp = self.tx.try_send_request(req).await.map_err(|mut err| {
            if err.take_message().is_some() {
                SendError::Unsent
            } else if err.error().is_user() {
                SendError::Body
            } else {
                SendError::Broken
            }
        })?;
        with_valid_status(resp).map_err(|err| {
            tracing::warn!(target = %self.address, %err, "response is not valid HTTP; connection closed");
            SendError::Broken
        })
    }

    /// Whether a response belongs to the call that was sent on this connection.
    ///
    /// `call_id_matches` is the result of comparing the response's call id, `None` if
    /// it has none.
    pub(crate) fn is_expected_response(&mut self, call_id_matches: Option<bool>) -> bool {
        self.has_call_ids |= call_id_matches == Some(true);
        call_id_matches.unwrap_or(!self.has_call_ids)
    }

    /// Time at which the connection was opened.
    pub(crate) fn opened(&self) -> Time {
        self.opened
    }

    fn is_reusable(&self, instance: &Instance, now: Time) -> bool {
        !self.tx.is_closed()
            && now.since(self.last_response) <= IDLE_TIMEOUT
            && instance.dispatch.may_reuse(self.address, self.opened)
    }
}

/// Requests the target's health on a new connection. Returns the time at which that
/// connection was opened if the target responds within `limit`.
pub(crate) async fn probe_new_connection(
    instance: &Arc<Instance>,
    address: SocketAddr,
    limit: Duration,
) -> Option<Time> {
    let probe = async {
        let mut connection = open(instance, address).await.ok()?;
        let mut req = Request::new(UpstreamBody::default());
        *req.uri_mut() = http::Uri::from_static("/platform/health");
        let host = address.to_string().parse().ok()?;
        req.headers_mut().insert(http::header::HOST, host);
        connection.send(req, Time::MAX).await.ok()?;
        Some(connection.opened)
    };
    tokio::time::timeout(limit, probe).await.ok().flatten()
}
