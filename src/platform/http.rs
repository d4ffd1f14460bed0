//! Minimal HTTP client for the JSON services of the platform.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::{Method, Request, Response, StatusCode};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;

use super::store::StoreError;
use crate::http1::status::with_valid_status;

/// Largest response body that is read, in bytes.
const MAX_RESPONSE_BYTES: usize = 16 << 20;
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Idle time before the first TCP keep-alive probe.
const TCP_KEEPALIVE_TIME: Duration = Duration::from_secs(5);

/// HTTP client with a connection pool; clones share the pool.
pub(crate) type HttpClient = Client<HttpConnector, Full<Bytes>>;

/// Creates a client with a connection pool of its own.
pub(crate) fn new_client() -> HttpClient {
    let mut connector = HttpConnector::new();
    connector.set_nodelay(true);
    connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
    connector.set_keepalive(Some(TCP_KEEPALIVE_TIME));
    Client::builder(TokioExecutor::new()).build(connector)
}

/// HTTP response with its whole body.
#[derive(Debug)]
pub(crate) struct HttpResponse {
    pub(crate) status: StatusCode,
    pub(crate) body: Bytes,
}

/// Sends a request and reads the whole response within `timeout`.
pub(crate) async fn send(
    client: &HttpClient,
    method: Method,
    address: SocketAddr,
    path: &str,
    body: Bytes,
    timeout: Duration,
) -> Result<HttpResponse, StoreError> {
    let req = request(method, address, path, body)?;
    let response = async {
        let resp = exchange(client, req).await?;
        let status = resp.status();
        let body = Limited::new(resp.into_body(), MAX_RESPONSE_BYTES)
            .collect()
            .await
            .map_err(|err| StoreError::OutcomeUnknown(err.to_string()))?
            .to_bytes();
        Ok(HttpResponse { status, body })
    };
    tokio::time::timeout(timeout, response)
        .await
        .unwrap_or_else(|_| {
            Err(StoreError::OutcomeUnknown(format!(
                "timeout after {timeout:?}"
            )))
        })
}

/// Sends a POST request and returns the response with its body as a stream. `timeout`
/// limits only the wait for the response's head.
pub(crate) async fn open_stream(
    client: &HttpClient,
    address: SocketAddr,
    path: &str,
    body: Bytes,
    timeout: Duration,
) -> Result<Response<Incoming>, StoreError> {
    let req = request(Method::POST, address, path, body)?;
    tokio::time::timeout(timeout, exchange(client, req))
        .await
        .map_err(|_| StoreError::OutcomeUnknown(format!("timeout after {timeout:?}")))?
}

/// Sends a request and waits for the head of its response.
async fn exchange(
    client: &HttpClient,
    req: Request<Full<Bytes>>,
) -> Result<Response<Incoming>, StoreError> {
    let resp = client.request(req).await.map_err(|err| store_error(&err))?;
    with_valid_status(resp).map_err(|err| StoreError::OutcomeUnknown(err.to_string()))
}

fn request(
    method: Method,
    address: SocketAddr,
    path: &str,
    body: Bytes,
) -> Result<Request<Full<Bytes>>, StoreError> {
    Request::builder()
        .method(method)
        .uri(format!("http://{address}{path}"))
        .header(http::header::CONTENT_TYPE, "application/json")
        .body(Full::new(body))
        .map_err(|err| StoreError::Refused(err.to_string()))
}

fn store_error(err: &hyper_util::client::legacy::Error) -> StoreError {
    if err.is_connect() {
        StoreError::Unreachable(err.to_string())
    } else {
        StoreError::OutcomeUnknown(err.to_string())
    }
}
