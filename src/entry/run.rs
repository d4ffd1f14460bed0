//! Starts an entry instance, and shuts it down on a signal.

use std::future::Future;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use tokio::net::{TcpListener, TcpSocket, TcpStream, UdpSocket};
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::watch;
use tokio::task::{JoinHandle, JoinSet};

use crate::entry::fleet::{changes, peers, sync};
use crate::entry::metrics::EntryMetrics;
use crate::entry::request::{admission, forward};
use crate::entry::rollout::holder;
use crate::entry::settings::{EntrySettings, Tuning};
use crate::entry::shared::Shared;
use crate::entry::state::State;
use crate::entry::{endpoints, reload};
use crate::error::Error;
use crate::http1::server::{self, Reply, Request, RequestLimits, ServerContext, ShutdownPhase};
use crate::observe::line_writer;
use crate::units::Clock;

/// Maximum number of connections waiting to be accepted.
const LISTEN_BACKLOG: u32 = 1024;
/// Some callers keep a response of the directory for this many times its TTL, and then use
/// other instances.
const MAX_TTL_OVERRUN: u32 = 3;
/// Fraction of the grace period after which the process exits even if requests are
/// still running, or [`EXIT_MARGIN`] before its end if that is later.
const EXIT_AT_FRACTION: f64 = 0.93;
/// Time that the process needs at most to exit.
const EXIT_MARGIN: Duration = Duration::from_millis(400);
/// Interval at which the shutdown checks whether all connections have ended.
const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Time without a new connection after which none waits to be accepted any more.
const LAST_ACCEPT_WAIT: Duration = Duration::from_millis(20);
/// Maximum time for which connections that wait at the close are accepted.
const LAST_ACCEPT_TIME: Duration = Duration::from_millis(200);
/// Delay after a failed accept, so that a lack of file descriptors does not cause a
/// busy loop.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(10);

/// Runs until SIGTERM or SIGINT, then until the requests in flight have finished or the
/// grace period is nearly over.
///
/// # Errors
///
/// It cannot listen on an address, or the runtime cannot be built.
pub(crate) fn run(settings: EntrySettings, path: &Path, metrics_port: u16) -> Result<(), Error> {
    let rt = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(|err| Error::Start(err.to_string()))?;
    rt.block_on(serve(settings, path, metrics_port))
}

async fn serve(settings: EntrySettings, path: &Path, metrics_port: u16) -> Result<(), Error> {
    let clock = Clock::start();
    let metrics = EntryMetrics::new().map_err(|err| Error::Start(err.to_string()))?;
    tracing::info!(
        instance = &*settings.name,
        zone = %settings.zone,
        callers = %settings.callers,
        first_start = settings.first_start,
        "starting"
    );
    let listeners = Listeners::bind(&settings, metrics_port).await?;
    let state = State::new(settings, Tuning::default(), clock.now());
    let shared = Arc::new(Shared::new(state, clock, metrics));
    let (shutdown_tx, shutdown) = watch::channel(ShutdownPhase::Serving);
    let open_connections = Arc::new(AtomicUsize::new(0));
    let socket = Arc::new(listeners.datagrams);
    shared.peer_socket.get_or_init(|| socket.clone());
    let mut tasks = JoinSet::new();
    tasks.spawn(peers::receive_datagrams(shared.clone(), socket.clone()));
    tasks.spawn(peers::run_heartbeats(shared.clone(), socket.clone()));
    tasks.spawn(changes::serve_requests(
        shared.clone(),
        listeners.peer_requests,
    ));
    tasks.spawn(changes::pull_changes(shared.clone()));
    tasks.spawn(sync::run(shared.clone()));
    tasks.spawn(sync::register(shared.clone()));
    tasks.spawn(holder::run(shared.clone(), socket.clone()));
    tasks.spawn(reload::run(shared.clone(), path.to_owned()));
    let mut accepting = listen_callers(&shared, listeners.callers, &shutdown, &open_connections);
    listen_endpoint(
        &mut tasks,
        &shared,
        listeners.readiness,
        &shutdown,
        endpoints::serve_readiness,
    );
    listen_endpoint(
        &mut tasks,
        &shared,
        listeners.directory,
        &shutdown,
        endpoints::serve_directory,
    );
    listen_endpoint(
        &mut tasks,
        &shared,
        listeners.metrics,
        &shutdown,
        endpoints::serve_operator,
    );
    let ended = wait_for_end(wait_for_signal(), &mut tasks, &mut accepting).await;
    let callers = Callers {
        // One that has ended was awaited.
        accepting: (!accepting.is_finished()).then_some(accepting),
        open_connections: &open_connections,
    };
    drain(&shared, &socket, &shutdown_tx, callers).await;
    ended
}

struct Listeners {
    callers: TcpListener,
    readiness: Option<TcpListener>,
    directory: Option<TcpListener>,
    metrics: Option<TcpListener>,
    peer_requests: TcpListener,
    datagrams: UdpSocket,
}

impl Listeners {
    async fn bind(settings: &EntrySettings, metrics_port: u16) -> Result<Self, Error> {
        let datagrams = UdpSocket::bind(settings.peers)
            .await
            .map_err(|source| Error::Listen {
                address: settings.peers,
                source,
            })?;
        let metrics = SocketAddr::new(settings.ip, metrics_port);
        Ok(Self {
            callers: bind(settings.callers)?,
            readiness: settings.readiness.map(bind).transpose()?,
            directory: settings.directory.map(bind).transpose()?,
            metrics: bind(metrics)
                .map_err(|err| tracing::warn!(%err, "metrics are not served"))
                .ok(),
            peer_requests: bind(settings.peers)?,
            datagrams,
        })
    }
}

fn bind(address: SocketAddr) -> Result<TcpListener, Error> {
    let listen = || {
        let socket = match address {
            SocketAddr::V4(_) => TcpSocket::new_v4(),
            SocketAddr::V6(_) => TcpSocket::new_v6(),
        }?;
        socket.set_reuseaddr(true)?;
        socket.bind(address)?;
        socket.listen(LISTEN_BACKLOG)
    };
    listen().map_err(|source| Error::Listen { address, source })
}

fn listen_callers(
    shared: &Arc<Shared>,
    listener: TcpListener,
    shutdown: &watch::Receiver<ShutdownPhase>,
    open_connections: &Arc<AtomicUsize>,
) -> JoinHandle<()> {
    let handler_shared = shared.clone();
    let limits_shared = shared.clone();
    let ahead_shared = shared.clone();
    let rejected_shared = shared.clone();
    let context = ServerContext {
        handler: move |req: Request, _| forward::serve(handler_shared.clone(), req),
        body_memory: shared.body_memory.clone(),
        may_run_ahead: Box::new(move |target, headers| {
            admission::may_run_ahead(&ahead_shared, target, headers)
        }),
        rejected: Box::new(move |rejection| admission::reject(&rejected_shared, rejection)),
        limits: Box::new(move || {
            let limits = limits_shared.state().caller_limits();
            RequestLimits {
                max_header_bytes: limits.head_bytes,
                max_body_bytes: limits.body_bytes,
                header_timeout: limits.head_time,
                idle_timeout: limits.idle_time,
            }
        }),
        shutdown: shutdown.clone(),
    };
    tokio::spawn(accept(
        listener,
        Arc::new(context),
        open_connections.clone(),
    ))
}

fn listen_endpoint(
    tasks: &mut JoinSet<()>,
    shared: &Arc<Shared>,
    listener: Option<TcpListener>,
    shutdown: &watch::Receiver<ShutdownPhase>,
    handler: impl Fn(&Arc<Shared>, &Request) -> Reply + Send + Sync + Clone + 'static,
) {
    let Some(listener) = listener else {
        return;
    };
    let shared = shared.clone();
    let body_memory = shared.body_memory.clone();
    let context = ServerContext {
        handler: move |req: Request, _| {
            let reply = handler(&shared, &req);
            async move { reply }
        },
        body_memory,
        may_run_ahead: Box::new(|_, _| false),
        rejected: Box::new(|rejection| {
            tracing::info!(reason = %rejection.reason, "request to an endpoint rejected");
            rejection.reply()
        }),
        limits: Box::new(|| {
            let limits = crate::entry::model::CallerLimits::default();
            RequestLimits {
                max_header_bytes: limits.head_bytes,
                max_body_bytes: limits.head_bytes,
                header_timeout: limits.head_time,
                idle_timeout: limits.idle_time,
            }
        }),
        shutdown: shutdown.clone(),
    };
    tasks.spawn(accept(listener, Arc::new(context), Arc::default()));
}

/// Accepts connections until shutdown closes the listener, and then those that wait to be
/// accepted, which the close would reset.
async fn accept<H, F>(
    listener: TcpListener,
    context: Arc<ServerContext<H>>,
    open_connections: Arc<AtomicUsize>,
) where
    H: Fn(Request, SocketAddr) -> F + Send + Sync + 'static,
    F: Future<Output = Reply> + Send,
{
    let mut shutdown = context.shutdown.clone();
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = shutdown.wait_for(|phase| *phase >= ShutdownPhase::Closing) => break,
        };
        match accepted {
            Ok((stream, peer)) => spawn_connection(stream, peer, &context, &open_connections),
            Err(err) => {
                tracing::warn!(%err, "failed to accept a connection");
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
    let started = Instant::now();
    while started.elapsed() < LAST_ACCEPT_TIME {
        let accepting = tokio::time::timeout(LAST_ACCEPT_WAIT, listener.accept());
        let Ok(Ok((stream, peer))) = accepting.await else {
            return;
        };
        spawn_connection(stream, peer, &context, &open_connections);
    }
}

fn spawn_connection<H, F>(
    stream: TcpStream,
    peer: SocketAddr,
    context: &Arc<ServerContext<H>>,
    open_connections: &Arc<AtomicUsize>,
) where
    H: Fn(Request, SocketAddr) -> F + Send + Sync + 'static,
    F: Future<Output = Reply> + Send,
{
    let context = context.clone();
    let guard = ConnectionGuard::new(open_connections.clone());
    tokio::spawn(async move {
        server::serve(stream, peer, &context).await;
        drop(guard);
    });
}

struct ConnectionGuard(Arc<AtomicUsize>);

impl ConnectionGuard {
    fn new(open_connections: Arc<AtomicUsize>) -> Self {
        open_connections.fetch_add(1, Ordering::Relaxed);
        Self(open_connections)
    }
}

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Returns on a signal, or with an error once a task has failed that the instance needs until
/// its end: one without it would go on with old data, or without `accepting` take no more
/// callers. It is then stopped like by a signal, and started again.
async fn wait_for_end(
    signal: impl Future<Output = Result<(), Error>>,
    tasks: &mut JoinSet<()>,
    accepting: &mut JoinHandle<()>,
) -> Result<(), Error> {
    let failed = async {
        loop {
            match tasks.join_next().await {
                Some(Err(err)) if err.is_panic() => return err,
                Some(_) => {}
                None => std::future::pending().await,
            }
        }
    };
    let cause = tokio::select! {
        received = signal => return received,
        err = failed => err.to_string(),
        ended = accepting => match ended {
            Ok(()) => "callers are no longer accepted".to_owned(),
            Err(err) => err.to_string(),
        },
    };
    tracing::error!(err = %cause, "a task that the instance needs failed; shutting down");
    Err(Error::TaskFailed(cause))
}

async fn wait_for_signal() -> Result<(), Error> {
    let listen = |kind| signal(kind).map_err(|err| Error::Start(err.to_string()));
    let mut term = listen(SignalKind::terminate())?;
    let mut interrupt = listen(SignalKind::interrupt())?;
    tokio::select! {
        _ = term.recv() => {}
        _ = interrupt.recv() => {}
    }
    Ok(())
}

/// The connections of callers.
struct Callers<'a> {
    /// The task that accepts them, unless it has failed.
    accepting: Option<JoinHandle<()>>,
    /// Number of those that are open.
    open_connections: &'a AtomicUsize,
}

/// Time after SIGTERM at which idle connections are closed and no new ones are accepted: when
/// callers use other instances, but half of the grace period is left to requests that run.
fn close_delay(grace: Duration, directory_ttl: Duration) -> Duration {
    (grace / 2).min(directory_ttl * MAX_TTL_OVERRUN)
}

/// Time after SIGTERM at which the process exits even if requests are still running.
fn exit_delay(grace: Duration) -> Duration {
    let latest = grace.saturating_sub(EXIT_MARGIN);
    grace.mul_f64(EXIT_AT_FRACTION).max(latest)
}

/// Removes this instance from the directory, keeps serving requests that end in time until
/// callers use other instances, and returns when no connection is open or the grace period
/// is nearly over.
async fn drain(
    shared: &Shared,
    socket: &UdpSocket,
    shutdown: &watch::Sender<ShutdownPhase>,
    callers: Callers<'_>,
) {
    let open_connections = callers.open_connections;
    let started = Instant::now();
    let (grace, directory_ttl) = {
        let mut state = shared.state();
        state.status.ready = false;
        state.status.leaving = true;
        // The settings may have been reloaded since the start.
        (state.settings.grace, state.tuning.directory_ttl)
    };
    let end = started + exit_delay(grace);
    shared.stop.begin(end);
    shutdown.send_replace(ShutdownPhase::Draining);
    peers::send_heartbeats(shared, socket, true);
    tracing::info!(
        open = open_connections.load(Ordering::Relaxed),
        exit_in_ms = exit_delay(grace).as_millis(),
        "shutting down: removed from the directory"
    );
    tokio::time::sleep(close_delay(grace, directory_ttl)).await;
    shutdown.send_replace(ShutdownPhase::Closing);
    if let Some(accepting) = callers.accepting
        && let Err(err) = accepting.await
    {
        tracing::error!(%err, "the task that accepts connections failed");
    }
    while open_connections.load(Ordering::Relaxed) > 0 && Instant::now() < end {
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    tracing::info!(open = open_connections.load(Ordering::Relaxed), "stopped");
    line_writer::flush();
}

#[cfg(test)]
mod tests;
