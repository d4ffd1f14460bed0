//! The connections of a target, and the simulated crash and restart of its process.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Weak};
use std::time::Duration;

use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;
use tokio::task::JoinSet;

use super::{Target, responses};
use crate::faults::Shared;
use crate::http::ConnectionClosed;
use crate::socket::{Socket, SocketFaults};

/// Interval between attempts to bind the same port again.
const REBIND_INTERVAL: Duration = Duration::from_millis(10);

/// The current simulated process of a target.
#[derive(Debug, Default)]
pub(crate) struct ProcessRun {
    restarts: AtomicU64,
    crashed: Notify,
    down_for: Shared<Duration>,
    sockets: Shared<Vec<Weak<SocketFaults>>>,
}

impl Target {
    pub(super) fn restart(&self, down_for: Duration) {
        self.run.down_for.set(down_for);
        self.calls.cancel_all();
        self.run.restarts.fetch_add(1, Ordering::Relaxed);
        self.run.crashed.notify_one();
    }

    pub(super) fn silence(&self) {
        let sockets = self.run.sockets.change(std::mem::take);
        for socket in sockets.iter().filter_map(Weak::upgrade) {
            socket.silent.store(true, Ordering::Relaxed);
        }
    }

    pub(super) fn start_id(&self) -> String {
        let restarts = self.run.restarts.load(Ordering::Relaxed);
        format!("{}-{restarts}", self.options.id)
    }
}

/// The bound listener of a target.
pub(crate) struct Listener {
    pub(crate) address: SocketAddr,
    listener: TcpListener,
}

impl Listener {
    pub(crate) async fn bind(address: SocketAddr) -> std::io::Result<Self> {
        let listener = TcpListener::bind(address).await?;
        Ok(Self {
            address: listener.local_addr()?,
            listener,
        })
    }

    /// Accepts connections, and rebinds after each simulated crash.
    pub(crate) async fn run(self, target: Arc<Target>) {
        let mut listener = self.listener;
        loop {
            tokio::select! {
                () = accept(&listener, &target) => {}
                () = target.run.crashed.notified() => {}
            }
            drop(listener);
            tokio::time::sleep(target.run.down_for.get()).await;
            listener = rebind(self.address).await;
        }
    }
}

async fn rebind(address: SocketAddr) -> TcpListener {
    loop {
        if let Ok(listener) = TcpListener::bind(address).await {
            return listener;
        }
        tokio::time::sleep(REBIND_INTERVAL).await;
    }
}

/// Accepts connections forever; dropping this future closes them.
async fn accept(listener: &TcpListener, target: &Arc<Target>) {
    let mut connections = JoinSet::new();
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            continue;
        };
        let _ = stream.set_nodelay(true);
        target.record.connections.fetch_add(1, Ordering::Relaxed);
        while connections.try_join_next().is_some() {}
        connections.spawn(serve(stream, Arc::clone(target)));
    }
}

async fn serve(stream: TcpStream, target: Arc<Target>) {
    let faults = Arc::new(SocketFaults::default());
    target.run.sockets.change(|sockets| {
        sockets.retain(|socket| socket.strong_count() > 0);
        sockets.push(Arc::downgrade(&faults));
    });
    let socket = Socket::new(stream, Arc::clone(&faults));
    let service = service_fn(move |req| {
        let response = responses::handle(Arc::clone(&target), Arc::clone(&faults), req);
        async move { response.await.ok_or(ConnectionClosed) }
    });
    let server = hyper::server::conn::http1::Builder::new();
    let _ = server.serve_connection(TokioIo::new(socket), service).await;
}
