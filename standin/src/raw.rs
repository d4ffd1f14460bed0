//! A server whose responses are bytes that a test chooses, for what no HTTP library sends.

use std::net::SocketAddr;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::{JoinHandle, JoinSet};

use crate::faults::Shared;

/// Response to a health check of a healthy target of the prepared platform.
const HEALTHY: &[u8] = b"HTTP/1.1 200 OK\r\nx-server-load: 0,0,6\r\ncontent-length: 0\r\n\r\n";

/// What a server sends.
#[derive(Debug, Clone)]
pub struct Responses {
    /// Response to each request.
    pub request: Vec<u8>,
    /// Response to each health check of a target.
    pub health: Vec<u8>,
}

/// A request that a server received.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Arrival {
    /// Number of the connection that it arrived on.
    pub connection: usize,
    /// Request line.
    pub line: String,
}

/// A running server; it stops when it is dropped.
#[derive(Debug)]
pub struct RawServer {
    /// Address that it listens on.
    pub address: SocketAddr,
    /// Responses, read at each request.
    pub responses: Shared<Responses>,
    /// The requests so far, without health checks.
    pub arrivals: Shared<Vec<Arrival>>,
    task: JoinHandle<()>,
}

impl Default for Responses {
    fn default() -> Self {
        Self {
            request: Vec::new(),
            health: HEALTHY.to_vec(),
        }
    }
}

impl RawServer {
    /// Starts a server on a port chosen by the operating system. It is healthy as a target, and
    /// its responses to requests are empty at first.
    ///
    /// # Errors
    /// The operating system's error when no port can be bound.
    pub async fn start() -> std::io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let responses = Shared::default();
        let arrivals = Shared::default();
        let task = tokio::spawn(accept(listener, responses.clone(), arrivals.clone()));
        Ok(Self {
            address,
            responses,
            arrivals,
            task,
        })
    }
}

impl Drop for RawServer {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn accept(
    listener: TcpListener,
    responses: Shared<Responses>,
    arrivals: Shared<Vec<Arrival>>,
) {
    let mut connections = JoinSet::new();
    let mut count = 0;
    while let Ok((stream, _)) = listener.accept().await {
        connections.spawn(serve(stream, count, responses.clone(), arrivals.clone()));
        count += 1;
    }
}

/// Serves one connection until its peer closes it.
async fn serve(
    mut stream: TcpStream,
    connection: usize,
    responses: Shared<Responses>,
    arrivals: Shared<Vec<Arrival>>,
) -> std::io::Result<()> {
    loop {
        let mut head = Vec::new();
        while !head.ends_with(b"\r\n\r\n") {
            head.push(stream.read_u8().await?);
        }
        let head = String::from_utf8_lossy(&head);
        let line = head.lines().next().unwrap_or_default();
        let responses = responses.get();
        if line.starts_with("GET /health ") {
            stream.write_all(&responses.health).await?;
            continue;
        }
        let line = line.to_owned();
        arrivals.change(|arrivals| arrivals.push(Arrival { connection, line }));
        stream.write_all(&responses.request).await?;
    }
}
