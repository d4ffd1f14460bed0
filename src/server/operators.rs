//! The operators' interface: resources, health, metrics, state dump, log level.

use std::convert::Infallible;
use std::sync::Arc;
use std::sync::atomic::Ordering;

use bytes::{Bytes, BytesMut};
use http::{Method, Request, Response, StatusCode};
use serde::Deserialize;
use xitca_web::body::{Body, Frame, RequestBody, ResponseBody};
use xitca_web::http::RequestExt;

use super::{resources, response};
use crate::dispatch::kind::ErrorKind;
use crate::instance::Instance;
use crate::macros::data;
use crate::observe::dump;
use crate::resource::{Resource, Revision};

/// Largest body of an operator's request, in bytes.
const MAX_BODY_BYTES: usize = 1 << 20;

pub(super) type OperatorReq = Request<RequestExt<RequestBody>>;
pub(super) type OperatorResp = Response<ResponseBody>;

data! {
    /// Request to add or replace resources.
    #[serde(deny_unknown_fields)]
    pub struct ApplyReq {
        /// Revision that the change is based on, refused if another one is current;
        /// any revision when absent.
        #[serde(default)]
        pub expected: Option<Revision>,
        /// Whether to validate the change without applying it.
        #[serde(default)]
        pub dry_run: bool,
        /// The resources to add or replace.
        pub resources: Vec<Resource>,
    }

    /// Response to an accepted [`ApplyReq`].
    pub struct ApplyResp {
        /// Revision that the change created.
        pub revision: Revision,
        /// Likely mistakes in the accepted resources, one line each.
        #[serde(default)]
        pub warnings: Vec<String>,
    }
}

/// Handles one request of an operator.
pub(super) async fn handle(
    instance: Arc<Instance>,
    req: OperatorReq,
) -> Result<OperatorResp, Infallible> {
    let resp = match (req.method(), req.uri().path()) {
        (&Method::GET, "/livez") => Ok(response::text(StatusCode::OK, "ok\n".to_owned())),
        (&Method::GET, "/readyz") => Ok(readiness(&instance)),
        _ if !authorized(&instance, &req) => Err(ErrorKind::Forbidden),
        (&Method::GET, "/dump") => Ok(response::json(&dump::collect(
            &instance.tables,
            &instance.dispatch,
        ))),
        (&Method::GET, "/metrics") => Ok(response::text(
            StatusCode::OK,
            instance
                .metrics
                .render(&instance.tables, instance.store_budget.calls()),
        )),
        (&Method::PUT, "/v1/log-level") => set_log_level(&instance, req).await,
        _ if resources::matches(&req) => resources::handle(&instance, req).await,
        _ => Err(ErrorKind::BadRequest),
    };
    Ok(resp.unwrap_or_else(response::error))
}

fn authorized(instance: &Instance, req: &OperatorReq) -> bool {
    let key = instance.operator_key.as_ref();
    key.is_none_or(|key| key.matches(req.headers()))
}

fn readiness(instance: &Instance) -> OperatorResp {
    let tables = &instance.tables;
    if tables.stopping.load(Ordering::Relaxed) {
        let text = "stopping\n".to_owned();
        return response::text(StatusCode::SERVICE_UNAVAILABLE, text);
    }
    if tables.config().revision > Revision::default() {
        return response::text(StatusCode::OK, "ok\n".to_owned());
    }
    let reason = instance
        .config
        .problem()
        .unwrap_or_else(|| "neither the store nor a peer has told one".to_owned());
    let text = format!("no configuration yet: {reason}\n");
    response::text(StatusCode::SERVICE_UNAVAILABLE, text)
}

/// Sets the log's filter to the text in the body, such as `info,wagtailsaddle=debug`.
async fn set_log_level(instance: &Instance, req: OperatorReq) -> Result<OperatorResp, ErrorKind> {
    let (_, ext) = req.into_parts();
    let body = read_body(response::take_body(ext)).await?;
    let filter = String::from_utf8_lossy(&body);
    match instance.log.set(filter.trim()) {
        Ok(()) => Ok(response::text(StatusCode::OK, "ok\n".to_owned())),
        Err(problem) => Ok(response::error_with_detail(ErrorKind::BadRequest, &problem)),
    }
}

pub(super) fn parse<'a, T: Deserialize<'a>>(body: &'a [u8]) -> Result<T, String> {
    let mut de = serde_json::Deserializer::from_slice(body);
    serde_path_to_error::deserialize(&mut de)
        .map_err(|err| format!("{}: {}", err.path(), err.inner()))
}

pub(super) async fn read_body(body: RequestBody) -> Result<Bytes, ErrorKind> {
    let mut body = std::pin::pin!(body);
    let mut buf = BytesMut::new();
    while let Some(frame) = std::future::poll_fn(|cx| body.as_mut().poll_frame(cx)).await {
        if let Frame::Data(data) = frame.map_err(|_| ErrorKind::BadRequest)? {
            if buf.len() + data.len() > MAX_BODY_BYTES {
                return Err(ErrorKind::TooLarge);
            }
            buf.extend_from_slice(&data);
        }
    }
    Ok(buf.freeze())
}
