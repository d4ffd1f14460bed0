//! A small HTTP server on hyper, with one task per connection.

use std::convert::Infallible;
use std::future::Future;
use std::net::SocketAddr;

use bytes::Bytes;
use http::{Request, Response, StatusCode};
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper_util::rt::{TokioExecutor, TokioIo};
use hyper_util::server::conn::auto;
use tokio::net::TcpListener;
use tokio::task::JoinHandle;

/// Body of every response.
pub type Body = UnsyncBoxBody<Bytes, std::io::Error>;

/// A server that stops when it is dropped.
#[derive(Debug)]
pub struct Server {
    /// Address that the server listens on.
    pub address: SocketAddr,
    task: JoinHandle<()>,
}

impl Drop for Server {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Serves on a loopback port chosen by the operating system.
///
/// `handle` returns the response to a request, or `None` to close the connection.
///
/// # Errors
/// The operating system's error when no port can be bound.
pub async fn serve<H, F>(handle: H) -> std::io::Result<Server>
where
    H: Fn(Request<Incoming>) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = Option<Response<Body>>> + Send + 'static,
{
    serve_on(SocketAddr::from(([127, 0, 0, 1], 0)), handle).await
}

/// Serves on the given address; see [`serve`] for `handle`.
///
/// # Errors
/// The operating system's error when the address can't be bound.
pub async fn serve_on<H, F>(address: SocketAddr, handle: H) -> std::io::Result<Server>
where
    H: Fn(Request<Incoming>) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = Option<Response<Body>>> + Send + 'static,
{
    let listener = TcpListener::bind(address).await?;
    let address = listener.local_addr()?;
    let task = tokio::spawn(accept(listener, handle));
    Ok(Server { address, task })
}

async fn accept<H, F>(listener: TcpListener, handle: H)
where
    H: Fn(Request<Incoming>) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = Option<Response<Body>>> + Send + 'static,
{
    let mut connections = tokio::task::JoinSet::new();
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            continue;
        };
        let _ = stream.set_nodelay(true);
        let handle = handle.clone();
        while connections.try_join_next().is_some() {}
        connections.spawn(async move {
            let service = service_fn(move |req| {
                let response = handle(req);
                async move { response.await.ok_or(ConnectionClosed) }
            });
            let server = auto::Builder::new(TokioExecutor::new());
            let _ = server.serve_connection(TokioIo::new(stream), service).await;
        });
    }
}

#[derive(Debug)]
pub(crate) struct ConnectionClosed;

impl std::fmt::Display for ConnectionClosed {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("closed by an injected fault")
    }
}

impl std::error::Error for ConnectionClosed {}

/// Builds a response with a body of known length.
#[must_use]
pub fn response(status: StatusCode, body: impl Into<Bytes>) -> Response<Body> {
    let mut resp = Response::new(full_body(body));
    *resp.status_mut() = status;
    resp
}

/// Builds a JSON response with status 200.
#[must_use]
pub fn json_response(value: &impl serde::Serialize) -> Response<Body> {
    response(
        StatusCode::OK,
        serde_json::to_vec(value).unwrap_or_default(),
    )
}

/// Builds a body of known length.
#[must_use]
pub fn full_body(body: impl Into<Bytes>) -> Body {
    Full::new(body.into()).map_err(infallible).boxed_unsync()
}

fn infallible(never: Infallible) -> std::io::Error {
    match never {}
}

/// Reads the whole request body; empty if the connection breaks.
pub async fn read_body(body: Incoming) -> Bytes {
    body.collect()
        .await
        .map(http_body_util::Collected::to_bytes)
        .unwrap_or_default()
}
