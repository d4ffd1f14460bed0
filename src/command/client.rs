//! HTTP client that the operators' commands use to reach a running instance.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::{Method, Request, StatusCode, header};
use http_body_util::{BodyExt, Full};
use serde::de::DeserializeOwned;
use tokio::runtime::Runtime;

use crate::cli::InstanceArgs;
use crate::error::Error;
use crate::http1::status::with_valid_status;
use crate::platform::http::{self as platform_http, HttpClient};
use crate::settings::{Secret, SecretSource};

/// Timeout of a request; longer than a watch waits for a change.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(60);
/// Environment variable that holds the operator key.
const KEY_VARIABLE: &str = "WAGTAILSADDLE_KEY";

/// A client of one instance.
pub(super) struct Client {
    address: SocketAddr,
    key: Option<Secret>,
    http: HttpClient,
    rt: Runtime,
}

impl Client {
    /// Creates a client of the instance that the arguments name.
    pub(super) fn new(args: &InstanceArgs) -> Result<Self, Error> {
        let source = SecretSource {
            file: args.key_file.clone(),
            env: std::env::var_os(KEY_VARIABLE).map(|_| KEY_VARIABLE.to_owned()),
        };
        Self::with_key(args.address, source.read()?)
    }

    /// Creates a client of the address that presents `key`.
    pub(super) fn with_key(address: SocketAddr, key: Option<Secret>) -> Result<Self, Error> {
        let rt = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()
            .map_err(|err| Error::Start(err.to_string()))?;
        Ok(Self {
            address,
            key,
            http: platform_http::new_client(),
            rt,
        })
    }

    /// Sends a request and parses the JSON response.
    pub(super) fn request_json<T: DeserializeOwned>(
        &self,
        method: Method,
        path: &str,
        body: &str,
    ) -> Result<T, Error> {
        let response = self.send(method, path, body)?;
        serde_json::from_slice(&response).map_err(|err| self.unreachable(&err))
    }

    /// Sends a request and returns the body of the response; an error unless the
    /// status is a success.
    pub(super) fn send(&self, method: Method, path: &str, body: &str) -> Result<Bytes, Error> {
        let mut req = Request::builder()
            .method(method)
            .uri(format!("http://{}{path}", self.address))
            .header(header::CONTENT_TYPE, "application/json");
        if let Some(key) = self.key.as_ref().and_then(Secret::to_header) {
            req = req.header(header::AUTHORIZATION, key);
        }
        let req = req
            .body(Full::new(Bytes::from(body.to_owned())))
            .map_err(|err| self.unreachable(&err))?;
        let (status, body) = self.rt.block_on(self.exchange(req))?;
        check_status(status, body)
    }

    async fn exchange(&self, req: Request<Full<Bytes>>) -> Result<(StatusCode, Bytes), Error> {
        let sent = tokio::time::timeout(REQUEST_TIMEOUT, self.http.request(req)).await;
        let resp = sent
            .map_err(|err| self.unreachable(&err))?
            .map_err(|err| self.unreachable(&err))?;
        let resp = with_valid_status(resp).map_err(|err| self.unreachable(&err))?;
        let status = resp.status();
        let body = resp
            .into_body()
            .collect()
            .await
            .map_err(|err| self.unreachable(&err))?;
        Ok((status, body.to_bytes()))
    }

    fn unreachable(&self, err: &dyn std::error::Error) -> Error {
        let reason = match err.source() {
            Some(source) => format!("{err} ({source})"),
            None => err.to_string(),
        };
        Error::Unreachable {
            address: self.address.to_string(),
            reason,
        }
    }
}

fn check_status(status: StatusCode, body: Bytes) -> Result<Bytes, Error> {
    if status.is_success() {
        return Ok(body);
    }
    let detail = error_detail(&body);
    match status {
        StatusCode::CONFLICT => Err(Error::Conflict { detail }),
        status => Err(Error::Refused {
            status: status.as_u16(),
            detail,
        }),
    }
}

/// Returns the detail of a problem response, or the whole text of another body.
fn error_detail(body: &[u8]) -> String {
    let problem: Option<serde_json::Value> = serde_json::from_slice(body).ok();
    let detail = problem
        .as_ref()
        .and_then(|problem| problem["detail"].as_str());
    detail.map_or_else(
        || String::from_utf8_lossy(body).trim_end().to_owned(),
        str::to_owned,
    )
}
