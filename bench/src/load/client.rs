//! HTTP/1.1 client that sends one call at a time on each connection.

use std::net::SocketAddr;

use bytes::Bytes;
use http::{HeaderValue, Method, Request, StatusCode, header};
use http_body_util::{BodyExt, Full};
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use indexmap::IndexMap;
use tokio::net::TcpStream;

use super::outcome::Outcome;
use crate::Error;

/// Response header with the error kind of a call that the balancer answered itself.
const OUTCOME_HEADER: &str = "wagtailsaddle-outcome";
/// Part of [`OUTCOME_HEADER`] that states that no target ran the call.
const NOT_RUN: &str = "ran=no";

type Connection = SendRequest<Full<Bytes>>;

/// Idle connections of one load thread, by address.
#[derive(Debug, Default)]
pub(crate) struct Pool {
    idle: IndexMap<SocketAddr, Vec<Connection>>,
}

impl Pool {
    /// Takes an idle connection to `address`; closed ones are dropped.
    pub(crate) fn take(&mut self, address: SocketAddr) -> Option<Connection> {
        let connections = self.idle.get_mut(&address)?;
        while let Some(connection) = connections.pop() {
            if connection.is_ready() {
                return Some(connection);
            }
        }
        None
    }

    /// Returns a connection to the pool unless it is closed.
    pub(crate) fn put_back(&mut self, address: SocketAddr, connection: Connection) {
        if !connection.is_closed() {
            self.idle.entry(address).or_default().push(connection);
        }
    }
}

/// Opens a connection and spawns the task that drives it.
pub(crate) async fn connect(address: SocketAddr) -> Result<Connection, Error> {
    let stream = TcpStream::connect(address).await?;
    stream.set_nodelay(true)?;
    let (tx, driver) = http1::handshake(TokioIo::new(stream)).await?;
    tokio::spawn(driver);
    Ok(tx)
}

/// Sends one call and reads the whole response.
pub(crate) async fn send(connection: &mut Connection, req: Request<Full<Bytes>>) -> Outcome {
    let mut resp = match connection.send_request(req).await {
        Ok(resp) => resp,
        Err(err) => return Outcome::Unknown(format!("connection: {err}")),
    };
    while let Some(frame) = resp.body_mut().frame().await {
        if frame.is_err() {
            return Outcome::Unknown("incomplete response".to_owned());
        }
    }
    outcome(resp.status(), resp.headers().get(OUTCOME_HEADER))
}

fn outcome(status: StatusCode, header: Option<&HeaderValue>) -> Outcome {
    if status.is_success() {
        return Outcome::Answered;
    }
    let text = header.and_then(|value| value.to_str().ok()).unwrap_or("");
    if text.contains(NOT_RUN) {
        return Outcome::Refused(text.to_owned());
    }
    Outcome::Unknown(format!("{} {text}", status.as_u16()))
}

/// Sends one request on a connection of its own, outside of the measured load.
pub(crate) async fn fetch(
    address: SocketAddr,
    method: Method,
    path: &str,
    body: Bytes,
) -> Result<(StatusCode, Bytes), Error> {
    let mut connection = connect(address).await?;
    let mut req = Request::new(Full::new(body));
    *req.method_mut() = method;
    *req.uri_mut() = path.parse()?;
    req.headers_mut()
        .insert(header::HOST, HeaderValue::from_static("bench.test"));
    connection.ready().await?;
    let resp = connection.send_request(req).await?;
    let status = resp.status();
    Ok((status, resp.into_body().collect().await?.to_bytes()))
}
