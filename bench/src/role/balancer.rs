//! Minimal balancer on the same libraries as wagtailsaddle: `xitca-web` towards callers and
//! `hyper` towards targets. It forwards no request bodies.

use std::cell::RefCell;
use std::convert::Infallible;
use std::net::{SocketAddr, TcpListener};
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::task::{Context, Poll, ready};
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, HeaderValue, Method, Request, Response, StatusCode, header};
use http_body_util::{BodyExt, Empty};
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use standin::fleet::LOAD_HEADER;
use standin::list::ListedTarget;
use tokio::net::TcpStream;
use xitca_web::HttpServer;
use xitca_web::body::{Body, Frame, RequestBody, ResponseBody, SizeHint};
use xitca_web::http::RequestExt;
use xitca_web::service::fn_service;

use super::{read, write};
use crate::Error;
use crate::baseline::{Balancer, Policy};

/// First message to the process.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct Start {
    /// Policy by which targets are selected.
    pub(crate) policy: Policy,
    /// Index of this instance, from zero.
    pub(crate) index: usize,
    /// Number of instances.
    pub(crate) instances: usize,
    /// Worker threads that serve callers.
    pub(crate) workers: usize,
    /// Calls that one target runs concurrently.
    pub(crate) slots: u32,
    /// Probe period for each target in milliseconds; zero disables probes.
    pub(crate) probe_ms: u64,
    /// Targets of every service.
    pub(crate) targets: Vec<ListedTarget>,
}

/// Command of the bench to the process.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) enum Command {
    /// Evacuates this zone and returns every other zone to service.
    #[serde(rename = "Out")]
    EvacuateZone(Option<String>),
}

type Connection = SendRequest<Empty<Bytes>>;

thread_local! {
    static IDLE_CONNECTIONS: RefCell<IndexMap<SocketAddr, Vec<Connection>>> = RefCell::default();
}

/// Runs the role until the parent closes standard input.
pub(crate) fn run() -> Result<(), Error> {
    let rt = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    let Some(start) = read::<Start>()? else {
        return Ok(());
    };
    let listener = TcpListener::bind(("127.0.0.1", 0))?;
    listener.set_nonblocking(true)?;
    let address = listener.local_addr()?;
    let identity = (start.index, start.instances);
    let balancer = Balancer::new(start.policy, start.targets, start.slots, identity);
    let balancer = Arc::new(balancer);
    let shared = Arc::clone(&balancer);
    let service = fn_service(move |req| handle(Arc::clone(&shared), req));
    let server = HttpServer::serve(service)
        .worker_threads(start.workers)
        .disable_signal()
        .listen(listener)?
        .run();
    let commands = Arc::clone(&balancer);
    std::thread::spawn(move || {
        let _ = run_commands(&commands);
        std::process::exit(0);
    });
    write(&address)?;
    rt.block_on(async {
        if start.probe_ms > 0 {
            probe(&balancer, Duration::from_millis(start.probe_ms));
        }
        server.await
    })?;
    Ok(())
}

fn run_commands(balancer: &Balancer) -> Result<(), Error> {
    while let Some(Command::EvacuateZone(zone)) = read::<Command>()? {
        balancer.set_evacuated_zone(zone.as_deref());
        write(&true)?;
    }
    Ok(())
}

/// Fetches the load of each target once per period.
fn probe(balancer: &Arc<Balancer>, period: Duration) {
    for target_index in 0..balancer.targets().len() {
        let balancer = Arc::clone(balancer);
        tokio::spawn(async move {
            let target = &balancer.targets()[target_index];
            let mut idle = None;
            loop {
                tokio::time::sleep(period).await;
                if let Ok(load) = fetch_load(target.address, &mut idle).await {
                    target.reported.store(load, Ordering::Relaxed);
                }
            }
        });
    }
}

async fn fetch_load(address: SocketAddr, idle: &mut Option<Connection>) -> Result<u32, Error> {
    let mut connection = match idle.take() {
        Some(connection) if !connection.is_closed() => connection,
        _ => connect(address, |driver| drop(tokio::spawn(driver))).await?,
    };
    let mut req = Request::new(Empty::new());
    *req.uri_mut() = "/platform/load".parse()?;
    req.headers_mut()
        .insert(header::HOST, HeaderValue::from_static("target"));
    connection.ready().await?;
    let resp = connection.send_request(req).await?;
    let body = resp.into_body().collect().await?.to_bytes();
    *idle = Some(connection);
    let load: Load = serde_json::from_slice(&body)?;
    Ok(load.in_flight)
}

#[derive(Deserialize)]
struct Load {
    in_flight: u32,
}

type Driver = Pin<Box<dyn Future<Output = ()> + Send>>;

async fn connect(address: SocketAddr, spawn: impl FnOnce(Driver)) -> Result<Connection, Error> {
    let stream = TcpStream::connect(address).await?;
    stream.set_nodelay(true)?;
    let (tx, driver) = http1::handshake(TokioIo::new(stream)).await?;
    spawn(Box::pin(async move {
        let _ = driver.await;
    }));
    Ok(tx)
}

async fn handle(
    balancer: Arc<Balancer>,
    req: Request<RequestExt<RequestBody>>,
) -> Result<Response<ResponseBody>, Infallible> {
    let (parts, _) = req.into_parts();
    let Some(target_index) = balancer.acquire(host(&parts.headers), rank(&parts)).await else {
        return Ok(error_response(
            StatusCode::SERVICE_UNAVAILABLE,
            "overloaded; ran=no",
        ));
    };
    let guard = CallGuard {
        balancer,
        target_index,
    };
    let resp = forward(guard, parts).await;
    Ok(resp
        .unwrap_or_else(|_| error_response(StatusCode::BAD_GATEWAY, "target_broken; ran=unknown")))
}

fn host(headers: &HeaderMap) -> &str {
    let host = headers.get(header::HOST);
    host.and_then(|host| host.to_str().ok()).unwrap_or("")
}

fn rank(parts: &http::request::Parts) -> u8 {
    match parts.uri.path() {
        path if path.starts_with("/urgent") => 0,
        path if path.starts_with("/bulky") => 2,
        _ => 1,
    }
}

fn error_response(status: StatusCode, outcome: &'static str) -> Response<ResponseBody> {
    let mut resp = Response::new(ResponseBody::bytes(Bytes::new()));
    *resp.status_mut() = status;
    resp.headers_mut()
        .insert("wagtailsaddle-outcome", HeaderValue::from_static(outcome));
    resp
}

async fn forward(
    guard: CallGuard,
    parts: http::request::Parts,
) -> Result<Response<ResponseBody>, Error> {
    let target = &guard.balancer.targets()[guard.target_index];
    let mut connection = acquire_connection(target.address).await?;
    let mut req = Request::new(Empty::new());
    *req.method_mut() = parts.method;
    *req.uri_mut() = parts.uri;
    *req.headers_mut() = parts.headers;
    remove_hop_by_hop_headers(req.headers_mut());
    if req.method() == Method::POST {
        req.headers_mut().remove(header::CONTENT_LENGTH);
    }
    let resp = connection.send_request(req).await?;
    if let Some(load) = reported_load(resp.headers()) {
        target.reported.store(load, Ordering::Relaxed);
    }
    let (parts, inner) = resp.into_parts();
    let body = ForwardedBody {
        inner,
        address: target.address,
        connection: Some(connection),
        complete: false,
        _guard: guard,
    };
    let mut resp = Response::new(ResponseBody::boxed::<_, Bytes, _>(body));
    *resp.status_mut() = parts.status;
    *resp.headers_mut() = parts.headers;
    remove_hop_by_hop_headers(resp.headers_mut());
    Ok(resp)
}

fn remove_hop_by_hop_headers(headers: &mut HeaderMap) {
    headers.remove(header::CONNECTION);
    headers.remove(header::TRANSFER_ENCODING);
}

fn reported_load(headers: &HeaderMap) -> Option<u32> {
    let text = headers.get(LOAD_HEADER)?.to_str().ok()?;
    text.split_once('/')?.0.parse().ok()
}

async fn acquire_connection(address: SocketAddr) -> Result<Connection, Error> {
    let idle = || IDLE_CONNECTIONS.with_borrow_mut(|idle| idle.get_mut(&address)?.pop());
    while let Some(mut connection) = idle() {
        if connection.ready().await.is_ok() {
            return Ok(connection);
        }
    }
    connect(address, |driver| drop(tokio::task::spawn_local(driver))).await
}

/// Counts a call as in flight on a target until it is dropped.
struct CallGuard {
    balancer: Arc<Balancer>,
    target_index: usize,
}

impl Drop for CallGuard {
    fn drop(&mut self) {
        self.balancer.release(self.target_index);
    }
}

/// Response body of a target, forwarded to the caller. If it is dropped after its end, its
/// connection becomes idle again; otherwise the connection is closed.
struct ForwardedBody {
    inner: Incoming,
    address: SocketAddr,
    connection: Option<Connection>,
    complete: bool,
    _guard: CallGuard,
}

impl Body for ForwardedBody {
    type Data = Bytes;
    type Error = Error;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Error>>> {
        let this = self.get_mut();
        let frame = ready!(http_body::Body::poll_frame(Pin::new(&mut this.inner), cx));
        Poll::Ready(match frame {
            None => {
                this.complete = true;
                None
            }
            Some(Err(err)) => Some(Err(err.into())),
            Some(Ok(frame)) => frame.into_data().ok().map(|data| Ok(Frame::Data(data))),
        })
    }

    fn is_end_stream(&self) -> bool {
        false
    }

    fn size_hint(&self) -> SizeHint {
        match http_body::Body::size_hint(&self.inner).exact() {
            Some(size) => SizeHint::Exact(size),
            None => SizeHint::Unknown,
        }
    }
}

impl Drop for ForwardedBody {
    fn drop(&mut self) {
        let complete = self.complete || http_body::Body::is_end_stream(&self.inner);
        let Some(connection) = self.connection.take().filter(|_| complete) else {
            return;
        };
        IDLE_CONNECTIONS
            .with_borrow_mut(|idle| idle.entry(self.address).or_default().push(connection));
    }
}
