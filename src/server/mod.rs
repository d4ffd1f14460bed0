//! The interfaces that an instance serves: callers, operators and peers.

mod addresses;
mod callers;
mod drain;
pub(crate) mod operators;
mod peers;
pub(crate) mod permits;
mod request;
mod resources;
mod response;
mod status;

pub use addresses::{Address, AddressesResponse};
pub use operators::{ApplyReq, ApplyResp};

use std::io::Write;
use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::time::Duration;

use rand::distr::{Alphanumeric, SampleString};
use serde::{Deserialize, Serialize};
use tokio::runtime::{Handle, Runtime};
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::task::JoinHandle;
use tracing::Instrument;
use xitca_server::{ServerFuture, ServerHandle};
use xitca_web::HttpServer;
use xitca_web::service::fn_service;

use crate::config::{ConfigState, propagation};
use crate::control;
use crate::dispatch::Dispatch;
use crate::dispatch::callers::{self as caller_limits, Callers};
use crate::dispatch::remote_permits::RemotePermits;
use crate::error::Error;
use crate::instance::Instance;
use crate::membership::Member;
use crate::membership::peers::Peers;
use crate::names::StartId;
use crate::observe::log::LogControl;
use crate::observe::metrics::Metrics;
use crate::platform::budget::{self, StoreBudget};
use crate::platform::etcd;
use crate::settings::Settings;
use crate::tables::Tables;

/// Idle time after which a caller's connection is closed.
const KEEP_ALIVE: Duration = Duration::from_secs(75);
/// Largest request head, in bytes.
const HEAD_LIMIT: usize = 64 << 10;
/// Most bytes of answers that wait to be written to one connection.
const WRITE_LIMIT: usize = 64 << 10;
/// Threads for control; a second one, so that permits of peers delay no heartbeat.
const CONTROL_THREADS: usize = 2;
/// Length of the identifier of a run.
const START_ID_LENGTH: usize = 16;

/// Runs one entry instance until it is told to stop.
///
/// # Errors
/// [`Error::Listen`] when an address is taken, [`Error::Start`] when a thread
/// can't be started.
pub(crate) fn serve(settings: Settings, log: LogControl) -> Result<(), Error> {
    runtime()?.block_on(async {
        let running = Running::start(settings, log)?;
        running.announce();
        let mut signals = Signals::new()?;
        signals.next().await;
        let span = running.instance.span.clone();
        drain::run(&running, signals.next()).instrument(span).await;
        running.stop().await;
        Ok(())
    })
}

/// The runtime of the control threads.
pub(crate) fn runtime() -> Result<Runtime, Error> {
    tokio::runtime::Builder::new_multi_thread()
        .worker_threads(CONTROL_THREADS)
        .thread_name("control")
        .enable_all()
        .build()
        .map_err(|err| Error::Start(err.to_string()))
}

/// An instance that serves.
pub(crate) struct Running {
    /// The instance.
    pub(crate) instance: Arc<Instance>,
    /// Where operators connect.
    pub(crate) admin: SocketAddr,
    callers_server: Server,
    admin_server: Server,
    peers_server: jsonrpsee::server::ServerHandle,
}

impl Running {
    /// Starts an instance on the current runtime.
    pub(crate) fn start(settings: Settings, log: LogControl) -> Result<Self, Error> {
        let callers = listen(settings.callers)?;
        let admin = listen(settings.admin)?;
        let peers = listen(settings.peers)?;
        let admin_address = local_address(&admin)?;
        let instance = build(settings, log, Handle::current(), &callers, &peers)?;
        let running = Self {
            peers_server: peers::start(&instance, peers)?,
            callers_server: serve_callers(&instance, callers)?,
            admin_server: serve_operators(&instance, admin)?,
            admin: admin_address,
            instance,
        };
        let member = &running.instance.tables.member;
        tracing::info!(parent: &running.instance.span, callers = %member.callers, "serving");
        let span = running.instance.span.clone();
        let shares = caller_limits::run(Arc::clone(&running.instance));
        tokio::spawn(shares.instrument(span.clone()));
        let advance = control::shards::advance_periodically(Arc::clone(&running.instance));
        tokio::spawn(advance.instrument(span.clone()));
        tokio::spawn(control::run(Arc::clone(&running.instance)).instrument(span.clone()));
        tokio::spawn(propagation::run(Arc::clone(&running.instance)).instrument(span));
        Ok(running)
    }

    /// Prints where the instance listens as one line of JSON.
    fn announce(&self) {
        let member = &self.instance.tables.member;
        let announcement = Announcement {
            callers: member.callers,
            admin: self.admin,
            peers: member.peers,
        };
        let line = serde_json::to_string(&announcement).unwrap_or_default();
        // Whoever started the process may have closed its end.
        let _ = writeln!(std::io::stdout(), "{line}");
    }

    /// Closes the servers' connections and stops them.
    ///
    /// The library's own graceful stop isn't used: it blocks this thread for 30 s
    /// when a caller keeps an idle connection open.
    pub(crate) async fn stop(self) {
        self.callers_server.stop().await;
        self.admin_server.stop().await;
        let _ = self.peers_server.stop();
    }
}

fn build(
    settings: Settings,
    log: LogControl,
    rt: Handle,
    callers: &TcpListener,
    peers: &TcpListener,
) -> Result<Arc<Instance>, Error> {
    let advertise = |listener: &TcpListener| {
        let mut address = local_address(listener)?;
        address.set_ip(settings.advertise.unwrap_or(address.ip()));
        Ok(address)
    };
    let member = Member {
        instance: settings.instance.clone(),
        start: StartId::from(Alphanumeric.sample_string(&mut rand::rng(), START_ID_LENGTH)),
        zone: settings.zone.clone(),
        callers: advertise(callers)?,
        peers: advertise(peers)?,
    };
    let peer_key = settings.secrets.peer_key.read()?;
    let store = etcd::client(settings.platform.store, settings.platform.store_timeout);
    let config_store = etcd::client(settings.platform.store, settings.config.store_timeout);
    let store_budget = Arc::new(StoreBudget::new(settings.platform.budget.clone()));
    Ok(Arc::new(Instance {
        metrics: Metrics::new().map_err(|err| Error::Start(err.to_string()))?,
        log,
        store: budget::with_budget(&store, &store_budget),
        config_store: budget::with_budget(&config_store, &store_budget),
        config: ConfigState::default(),
        store_budget,
        span: tracing::error_span!("instance", id = %settings.instance, zone = %settings.zone),
        peers: Peers::new(rt.clone(), peer_key),
        dispatch: Dispatch::default(),
        remote_permits: RemotePermits::default(),
        callers: Callers::default(),
        mailboxes: permits::Mailboxes::default(),
        operator_key: settings.secrets.operator_key.read()?,
        tables: Tables::new(settings, member),
        rt,
    }))
}

/// Where an instance listens, printed as one line of JSON once it does.
#[derive(Debug, Serialize, Deserialize)]
pub struct Announcement {
    /// Where callers connect.
    pub callers: SocketAddr,
    /// Where operators connect.
    pub admin: SocketAddr,
    /// Where peers connect.
    pub peers: SocketAddr,
}

fn local_address(listener: &TcpListener) -> Result<SocketAddr, Error> {
    listener
        .local_addr()
        .map_err(|err| Error::Start(err.to_string()))
}

fn listen(address: SocketAddr) -> Result<TcpListener, Error> {
    let listener =
        TcpListener::bind(address).map_err(|source| Error::Listen { address, source })?;
    listener
        .set_nonblocking(true)
        .map_err(|source| Error::Listen { address, source })?;
    Ok(listener)
}

fn serve_callers(instance: &Arc<Instance>, listener: TcpListener) -> Result<Server, Error> {
    let shared = Arc::clone(instance);
    let service = fn_service(move |req| {
        callers::handle(Arc::clone(&shared), req).instrument(shared.span.clone())
    });
    let server = HttpServer::serve(service)
        .worker_threads(instance.tables.settings.workers)
        .disable_signal()
        .keep_alive_timeout(KEEP_ALIVE)
        .max_read_buf_size::<HEAD_LIMIT>()
        .max_write_buf_size::<WRITE_LIMIT>()
        .h2c_prior_knowledge()
        .listen(listener)
        .map_err(|err| Error::Start(err.to_string()))?
        .run();
    start(server)
}

fn serve_operators(instance: &Arc<Instance>, listener: TcpListener) -> Result<Server, Error> {
    let shared = Arc::clone(instance);
    let service = fn_service(move |req| {
        operators::handle(Arc::clone(&shared), req).instrument(shared.span.clone())
    });
    let server = HttpServer::serve(service)
        .worker_threads(1)
        .disable_signal()
        .listen(listener)
        .map_err(|err| Error::Start(err.to_string()))?
        .run();
    start(server)
}

/// A server of the HTTP library.
struct Server {
    handle: ServerHandle,
    task: JoinHandle<std::io::Result<()>>,
}

impl Server {
    async fn stop(self) {
        self.handle.stop(false);
        let _ = self.task.await;
    }
}

fn start(mut server: ServerFuture) -> Result<Server, Error> {
    let handle = server
        .handle()
        .map_err(|err| Error::Start(err.to_string()))?;
    let task = tokio::spawn(server);
    Ok(Server { handle, task })
}

/// The signals that end an instance.
struct Signals {
    term: Signal,
}

impl Signals {
    fn new() -> Result<Self, Error> {
        let term = signal(SignalKind::terminate()).map_err(|err| Error::Start(err.to_string()))?;
        Ok(Self { term })
    }

    async fn next(&mut self) {
        tokio::select! {
            _ = self.term.recv() => {}
            _ = tokio::signal::ctrl_c() => {}
        }
    }
}
