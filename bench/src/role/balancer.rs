//! A small balancer on the same libraries: `xitca-web` in and `hyper` out.

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
use crate::baseline::{Policy, View};

/// What a baseline instance starts with.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct Start {
    /// How it chooses a target.
    pub(crate) policy: Policy,
    /// Its number among the instances.
    pub(crate) index: usize,
    /// How many instances there are.
    pub(crate) instances: usize,
    /// Threads that serve callers.
    pub(crate) workers: usize,
    /// Calls that one target runs at a time.
    pub(crate) slots: u32,
    /// Time between two looks at each target's load, in milliseconds; none when zero.
    pub(crate) probe_ms: u64,
    /// The targets.
    pub(crate) targets: Vec<ListedTarget>,
}

/// What the bench asks of a baseline instance.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) enum Command {
    /// Takes one zone out and brings the others back.
    Out(Option<String>),
}

type Connection = SendRequest<Empty<Bytes>>;

thread_local! {
    static IDLE: RefCell<IndexMap<SocketAddr, Vec<Connection>>> = RefCell::default();
}

/// Serves until the parent closes standard input.
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
    let view = View::new(start.policy, start.targets, start.slots, identity);
    let view = Arc::new(view);
    let shared = Arc::clone(&view);
    let service = fn_service(move |req| handle(Arc::clone(&shared), req));
    let server = HttpServer::serve(service)
        .worker_threads(start.workers)
        .disable_signal()
        .listen(listener)?
        .run();
    let commands = Arc::clone(&view);
    std::thread::spawn(move || {
        let _ = obey(&commands);
        std::process::exit(0);
    });
    write(&address)?;
    rt.block_on(async {
        if start.probe_ms > 0 {
            probe(&view, Duration::from_millis(start.probe_ms));
        }
        server.await
    })?;
    Ok(())
}

fn obey(view: &View) -> Result<(), Error> {
    while let Some(Command::Out(zone)) = read::<Command>()? {
        view.take_out(zone.as_deref());
        write(&true)?;
    }
    Ok(())
}

/// Asks each target for its load, once in each period.
fn probe(view: &Arc<View>, period: Duration) {
    for at in 0..view.targets().len() {
        let view = Arc::clone(view);
        tokio::spawn(async move {
            let target = &view.targets()[at];
            let mut idle = None;
            loop {
                tokio::time::sleep(period).await;
                if let Ok(load) = ask_load(target.address, &mut idle).await {
                    target.reported.store(load, Ordering::Relaxed);
                }
            }
        });
    }
}

async fn ask_load(address: SocketAddr, idle: &mut Option<Connection>) -> Result<u32, Error> {
    let mut connection = match idle.take() {
        Some(connection) if !connection.is_closed() => connection,
        _ => open(address, |driver| drop(tokio::spawn(driver))).await?,
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

async fn open(address: SocketAddr, spawn: impl FnOnce(Driver)) -> Result<Connection, Error> {
    let stream = TcpStream::connect(address).await?;
    stream.set_nodelay(true)?;
    let (tx, driver) = http1::handshake(TokioIo::new(stream)).await?;
    spawn(Box::pin(async move {
        let _ = driver.await;
    }));
    Ok(tx)
}

async fn handle(
    view: Arc<View>,
    req: Request<RequestExt<RequestBody>>,
) -> Result<Response<ResponseBody>, Infallible> {
    let (parts, _) = req.into_parts();
    let Some(at) = view.acquire(host(&parts.headers), rank(&parts)).await else {
        return Ok(refusal(
            StatusCode::SERVICE_UNAVAILABLE,
            "overloaded; ran=no",
        ));
    };
    let held = Held { view, at };
    let resp = pass(held, parts).await;
    Ok(resp.unwrap_or_else(|_| refusal(StatusCode::BAD_GATEWAY, "target_broken; ran=unknown")))
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

fn refusal(status: StatusCode, outcome: &'static str) -> Response<ResponseBody> {
    let mut resp = Response::new(ResponseBody::bytes(Bytes::new()));
    *resp.status_mut() = status;
    resp.headers_mut()
        .insert("wagtailsaddle-outcome", HeaderValue::from_static(outcome));
    resp
}

async fn pass(held: Held, parts: http::request::Parts) -> Result<Response<ResponseBody>, Error> {
    let target = &held.view.targets()[held.at];
    let mut connection = acquire(target.address).await?;
    let mut req = Request::new(Empty::new());
    *req.method_mut() = parts.method;
    *req.uri_mut() = parts.uri;
    *req.headers_mut() = parts.headers;
    strip(req.headers_mut());
    if req.method() == Method::POST {
        req.headers_mut().remove(header::CONTENT_LENGTH);
    }
    let resp = connection.send_request(req).await?;
    if let Some(load) = load_of(resp.headers()) {
        target.reported.store(load, Ordering::Relaxed);
    }
    let (parts, inner) = resp.into_parts();
    let body = Downstream {
        inner,
        address: target.address,
        connection: Some(connection),
        whole: false,
        _held: held,
    };
    let mut resp = Response::new(ResponseBody::boxed::<_, Bytes, _>(body));
    *resp.status_mut() = parts.status;
    *resp.headers_mut() = parts.headers;
    strip(resp.headers_mut());
    Ok(resp)
}

fn strip(headers: &mut HeaderMap) {
    headers.remove(header::CONNECTION);
    headers.remove(header::TRANSFER_ENCODING);
}

fn load_of(headers: &HeaderMap) -> Option<u32> {
    let text = headers.get(LOAD_HEADER)?.to_str().ok()?;
    text.split_once('/')?.0.parse().ok()
}

async fn acquire(address: SocketAddr) -> Result<Connection, Error> {
    let idle = || IDLE.with_borrow_mut(|idle| idle.get_mut(&address)?.pop());
    while let Some(mut connection) = idle() {
        if connection.ready().await.is_ok() {
            return Ok(connection);
        }
    }
    open(address, |driver| drop(tokio::task::spawn_local(driver))).await
}

/// A call that its view counts until it is dropped.
struct Held {
    view: Arc<View>,
    at: usize,
}

impl Drop for Held {
    fn drop(&mut self) {
        self.view.release(self.at);
    }
}

/// A target's answer on its way to the caller.
struct Downstream {
    inner: Incoming,
    address: SocketAddr,
    connection: Option<Connection>,
    whole: bool,
    _held: Held,
}

impl Body for Downstream {
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
                this.whole = true;
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

impl Drop for Downstream {
    fn drop(&mut self) {
        let whole = self.whole || http_body::Body::is_end_stream(&self.inner);
        let Some(connection) = self.connection.take().filter(|_| whole) else {
            return;
        };
        IDLE.with_borrow_mut(|idle| idle.entry(self.address).or_default().push(connection));
    }
}
