//! The interfaces that an instance serves to callers, operators and peers.

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
const KEEP_ALIVE_TIMEOUT: Duration = Duration::from_secs(75);
/// Largest request head, in bytes.
const MAX_HEAD_BYTES: usize = 64 << 10;
/// Maximum bytes of responses buffered for writing to one connection.
const MAX_WRITE_BUFFER_BYTES: usize = 64 << 10;
/// Control threads; the second one keeps permit requests of peers from delaying
/// heartbeats.
const CONTROL_THREADS: usize = 2;
/// Length of the identifier of a run, in characters.
const START_ID_LENGTH: usize = 16;

/// Runs one entry instance until it receives a termination signal.
///
/// # Errors
/// [`Error::Listen`] when listening on an address fails, [`Error::Start`] when a
/// thread can't be started.
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

/// Builds the runtime of the control threads.
pub(crate) fn runtime() -> Result<Runtime, Error> {
    tokio::runtime::Builder::new_multi_thread()
        .worker_threads(CONTROL_THREADS)
        .thread_name("control")
        .enable_all()
        .build()
        .map_err(|err| Error::Start(err.to_string()))
}

/// A running instance and its servers.
pub(crate) struct Running {
    /// State shared with the servers and the control tasks.
    pub(crate) instance: Arc<Instance>,
    /// Address of the operators' interface.
    pub(crate) admin: SocketAddr,
    callers_server: Server,
    admin_server: Server,
    peers_server: jsonrpsee::server::ServerHandle,
}

impl Running {
    /// Starts the servers and control tasks of an instance on the current runtime.
    pub(crate) fn start(settings: Settings, log: LogControl) -> Result<Self, Error> {
        let callers = listen(settings.callers)?;
        let admin = listen(settings.admin)?;
        let peers = listen(settings.peers)?;
        let admin_address = local_address(&admin)?;
        let instance = build_instance(settings, log, Handle::current(), &callers, &peers)?;
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

    /// Prints the addresses that the instance listens on as one line of JSON.
    fn announce(&self) {
        let member = &self.instance.tables.member;
        let announcement = Announcement {
            callers: member.callers,
            admin: self.admin,
            peers: member.peers,
        };
        let line = serde_json::to_string(&announcement).unwrap_or_default();
        // The parent process may have closed the pipe.
        let _ = writeln!(std::io::stdout(), "{line}");
    }

    /// Stops the servers and closes their connections.
    ///
    /// Does not use the HTTP library's graceful shutdown, which blocks this thread
    /// for 30 s when a caller keeps an idle connection open.
    pub(crate) async fn stop(self) {
        self.callers_server.stop().await;
        self.admin_server.stop().await;
        let _ = self.peers_server.stop();
    }
}

fn build_instance(
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

/// Addresses that an instance listens on, printed as one line of JSON at the start.
#[derive(Debug, Serialize, Deserialize)]
pub struct Announcement {
    /// Address of the callers' interface, as advertised.
    pub callers: SocketAddr,
    /// Address of the operators' interface.
    pub admin: SocketAddr,
    /// Address of the peers' interface, as advertised.
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
        .keep_alive_timeout(KEEP_ALIVE_TIMEOUT)
        .max_read_buf_size::<MAX_HEAD_BYTES>()
        .max_write_buf_size::<MAX_WRITE_BUFFER_BYTES>()
        .h2c_prior_knowledge()
        .listen(listener)
        .map_err(|err| Error::Start(err.to_string()))?
        .run();
    spawn_server(server)
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
    spawn_server(server)
}

/// A running server of the HTTP library.
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

fn spawn_server(mut server: ServerFuture) -> Result<Server, Error> {
    let handle = server
        .handle()
        .map_err(|err| Error::Start(err.to_string()))?;
    let task = tokio::spawn(server);
    Ok(Server { handle, task })
}

/// The signals that shut an instance down: SIGTERM and SIGINT.
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
