//! Starts an entry instance, and stops it on a signal.

use std::future::Future;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use tokio::net::{TcpListener, TcpSocket, UdpSocket};
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::watch;

use super::metrics::EntryMetrics;
use super::settings::{EntrySettings, Tuning};
use super::shared::Shared;
use super::state::State;
use super::{control, forward, peers, reload, sync};
use crate::error::Error;
use crate::http1::server::{self, Reply, Request, RequestLimits, ServerContext, ShutdownPhase};
use crate::observe::lines;
use crate::units::Clock;

/// Connections that wait to be accepted.
const BACKLOG: u32 = 1024;
/// Part of the grace after which idle connections are closed and no new ones taken.
/// Callers have seen new directory answers by then, and what was taken before has
/// half of the grace to end.
const CLOSE_PART: f64 = 0.47;
/// Part of the grace after which the process ends whatever still runs.
const END_PART: f64 = 0.93;
/// Time between two looks at whether all connections have ended.
const LOOK: Duration = Duration::from_millis(50);
/// Wait after a failed accept, so that a lack of descriptors does not spin.
const ACCEPT_PAUSE: Duration = Duration::from_millis(10);

/// Runs until SIGTERM or SIGINT, and then to the end of what is in flight.
///
/// # Errors
/// An address can't be listened on, or the runtime can't be built.
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
    let grace = settings.grace;
    let state = State::new(settings, Tuning::default(), clock.now());
    let shared = Arc::new(Shared::new(state, clock, metrics));
    let (stop_tx, stop) = watch::channel(ShutdownPhase::Serving);
    let open = Arc::new(AtomicUsize::new(0));
    let socket = Arc::new(listeners.datagrams);
    tokio::spawn(peers::receive_datagrams(shared.clone(), socket.clone()));
    tokio::spawn(peers::beat(shared.clone(), socket.clone()));
    tokio::spawn(peers::answer_questions(shared.clone(), listeners.questions));
    tokio::spawn(peers::follow(shared.clone()));
    tokio::spawn(sync::run(shared.clone()));
    tokio::spawn(sync::register(shared.clone()));
    tokio::spawn(reload::run(shared.clone(), path.to_owned()));
    listen_callers(&shared, listeners.callers, &stop, &open);
    listen_control(&shared, listeners.readiness, &stop, control::readiness);
    listen_control(&shared, listeners.directory, &stop, control::directory);
    listen_control(&shared, listeners.metrics, &stop, control::observe);
    wait_for_stop().await?;
    leave(&shared, &socket, &stop_tx, &open, grace).await;
    Ok(())
}

struct Listeners {
    callers: TcpListener,
    readiness: Option<TcpListener>,
    directory: Option<TcpListener>,
    metrics: Option<TcpListener>,
    questions: TcpListener,
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
                .map_err(|err| tracing::warn!(%err, "no metrics are served"))
                .ok(),
            questions: bind(settings.peers)?,
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
        socket.listen(BACKLOG)
    };
    listen().map_err(|source| Error::Listen { address, source })
}

fn listen_callers(
    shared: &Arc<Shared>,
    listener: TcpListener,
    stop: &watch::Receiver<ShutdownPhase>,
    open: &Arc<AtomicUsize>,
) {
    let handler_shared = shared.clone();
    let bounds_shared = shared.clone();
    let service = ServerContext {
        handler: move |req: Request, _| forward::serve(handler_shared.clone(), req),
        limits: Box::new(move || {
            let bounds = bounds_shared.state().bounds();
            RequestLimits {
                max_header_bytes: bounds.head_bytes,
                max_body_bytes: bounds.body_bytes,
                header_timeout: bounds.head_time,
                idle_timeout: bounds.idle_time,
            }
        }),
        shutdown: stop.clone(),
    };
    tokio::spawn(accept(listener, Arc::new(service), open.clone()));
}

fn listen_control(
    shared: &Arc<Shared>,
    listener: Option<TcpListener>,
    stop: &watch::Receiver<ShutdownPhase>,
    answer: impl Fn(&Arc<Shared>, &Request) -> Reply + Send + Sync + Clone + 'static,
) {
    let Some(listener) = listener else {
        return;
    };
    let shared = shared.clone();
    let service = ServerContext {
        handler: move |req: Request, _| {
            let reply = answer(&shared, &req);
            async move { reply }
        },
        limits: Box::new(|| {
            let bounds = super::model::CallerBounds::default();
            RequestLimits {
                max_header_bytes: bounds.head_bytes,
                max_body_bytes: bounds.head_bytes,
                header_timeout: bounds.head_time,
                idle_timeout: bounds.idle_time,
            }
        }),
        shutdown: stop.clone(),
    };
    tokio::spawn(accept(listener, Arc::new(service), Arc::default()));
}

/// Accepts connections until the stop closes the listener.
async fn accept<H, F>(listener: TcpListener, service: Arc<ServerContext<H>>, open: Arc<AtomicUsize>)
where
    H: Fn(Request, SocketAddr) -> F + Send + Sync + 'static,
    F: Future<Output = Reply> + Send,
{
    let mut stop = service.shutdown.clone();
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = stop.wait_for(|stop| *stop >= ShutdownPhase::Closing) => return,
        };
        match accepted {
            Ok((stream, peer)) => {
                let service = service.clone();
                let counted = Counted::new(open.clone());
                tokio::spawn(async move {
                    server::serve(stream, peer, &service).await;
                    drop(counted);
                });
            }
            Err(err) => {
                tracing::warn!(%err, "a connection was not accepted");
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

struct Counted(Arc<AtomicUsize>);

impl Counted {
    fn new(open: Arc<AtomicUsize>) -> Self {
        open.fetch_add(1, Ordering::Relaxed);
        Self(open)
    }
}

impl Drop for Counted {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

async fn wait_for_stop() -> Result<(), Error> {
    let take = |kind| signal(kind).map_err(|err| Error::Start(err.to_string()));
    let mut term = take(SignalKind::terminate())?;
    let mut interrupt = take(SignalKind::interrupt())?;
    tokio::select! {
        _ = term.recv() => {}
        _ = interrupt.recv() => {}
    }
    Ok(())
}

/// Leaves the directory, serves on until callers have gone elsewhere, and ends when
/// nothing is in flight.
async fn leave(
    shared: &Shared,
    socket: &UdpSocket,
    stop: &watch::Sender<ShutdownPhase>,
    open: &AtomicUsize,
    grace: Duration,
) {
    let began = Instant::now();
    {
        let mut state = shared.state();
        state.standing.ready = false;
        state.standing.leaving = true;
    }
    stop.send_replace(ShutdownPhase::Draining);
    peers::send_beat(shared, socket, true);
    tracing::info!(
        open = open.load(Ordering::Relaxed),
        "stopping: left the directory"
    );
    tokio::time::sleep(grace.mul_f64(CLOSE_PART)).await;
    stop.send_replace(ShutdownPhase::Closing);
    let end = grace.mul_f64(END_PART);
    while open.load(Ordering::Relaxed) > 0 && began.elapsed() < end {
        tokio::time::sleep(LOOK).await;
    }
    tracing::info!(open = open.load(Ordering::Relaxed), "stopped");
    lines::flush();
}

#[cfg(test)]
mod tests;
