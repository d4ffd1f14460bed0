//! The connections of a target, and the end and return of its process.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Weak};
use std::time::Duration;

use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;
use tokio::task::JoinSet;

use super::{Target, answers};
use crate::faults::Shared;
use crate::http::Closed;
use crate::socket::{Socket, SocketFaults};

/// Time between two attempts to listen on the same port again.
const LISTEN_RETRY: Duration = Duration::from_millis(10);

/// The present run of a target's process.
#[derive(Debug, Default)]
pub(crate) struct Run {
    number: AtomicU64,
    ended: Notify,
    down_for: Shared<Duration>,
    sockets: Shared<Vec<Weak<SocketFaults>>>,
}

impl Target {
    pub(super) fn restart(&self, down_for: Duration) {
        self.run.down_for.set(down_for);
        self.calls.crash();
        self.run.number.fetch_add(1, Ordering::Relaxed);
        self.run.ended.notify_one();
    }

    pub(super) fn silence(&self) {
        let sockets = self.run.sockets.change(std::mem::take);
        for socket in sockets.iter().filter_map(Weak::upgrade) {
            socket.silent.store(true, Ordering::Relaxed);
        }
    }

    pub(super) fn start_id(&self) -> String {
        let number = self.run.number.load(Ordering::Relaxed);
        format!("{}-{number}", self.options.id)
    }
}

/// Where a target listens.
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

    /// Serves run after run of the target's process.
    pub(crate) async fn run(self, target: Arc<Target>) {
        let mut listener = self.listener;
        loop {
            tokio::select! {
                () = accept(&listener, &target) => {}
                () = target.run.ended.notified() => {}
            }
            drop(listener);
            tokio::time::sleep(target.run.down_for.get()).await;
            listener = listen_again(self.address).await;
        }
    }
}

async fn listen_again(address: SocketAddr) -> TcpListener {
    loop {
        if let Ok(listener) = TcpListener::bind(address).await {
            return listener;
        }
        tokio::time::sleep(LISTEN_RETRY).await;
    }
}

/// Accepts connections for ever; they break when this future is dropped.
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
        let answer = answers::handle(Arc::clone(&target), Arc::clone(&faults), req);
        async move { answer.await.ok_or(Closed) }
    });
    let server = hyper::server::conn::http1::Builder::new();
    let _ = server.serve_connection(TokioIo::new(socket), service).await;
}
