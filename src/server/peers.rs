//! The peers' interface: JSON-RPC over WebSocket between instances.

use std::net::TcpListener;
use std::sync::Arc;

use http::{Request, Response, StatusCode};
use jsonrpsee::RpcModule;
use jsonrpsee::server::{HttpBody, Server, ServerHandle};
use jsonrpsee::types::ErrorObjectOwned;
use jsonrpsee::types::error::INVALID_PARAMS_CODE;
use serde::de::DeserializeOwned;
use tower_http::validate_request::ValidateRequestHeaderLayer;

use super::permits;
use crate::admission::permit::{PermitBatch, PermitPoll};
use crate::config::peers::{self as config, ConfigNotice, DocumentReq, ManifestReq};
use crate::control::heartbeat;
use crate::dispatch::callers::{self, ShareRequest};
use crate::dispatch::crash::{self, QuarantineReport};
use crate::dispatch::keyed::{KeyedBegin, KeyedEnd, coordinator};
use crate::error::Error;
use crate::instance::Instance;
use crate::membership::heartbeat::{Heartbeat, LeaseRenewal};
use crate::platform::store::{LeaseId, StoreError};
use crate::settings::Secret;

/// Largest message between instances, in bytes.
const MAX_MESSAGE_BYTES: u32 = 2 << 20;
/// Maximum number of open connections from peers.
const MAX_CONNECTIONS: u32 = 512;

/// Starts the peers' interface on `listener`.
#[expect(
    clippy::result_large_err,
    reason = "the layer requires this error type"
)]
pub(super) fn start(
    instance: &Arc<Instance>,
    listener: TcpListener,
) -> Result<ServerHandle, Error> {
    let key = instance.tables.settings.secrets.peer_key.read()?;
    let auth = ValidateRequestHeaderLayer::custom(move |req: &mut Request<HttpBody>| {
        authorize(key.as_ref(), req)
    });
    let config = jsonrpsee::server::ServerConfig::builder()
        .max_request_body_size(MAX_MESSAGE_BYTES)
        .max_response_body_size(MAX_MESSAGE_BYTES)
        .max_connections(MAX_CONNECTIONS)
        .build();
    let server = Server::builder()
        .set_config(config)
        .set_http_middleware(tower::ServiceBuilder::new().layer(auth))
        .build_from_tcp(listener)
        .map_err(|err| Error::Start(err.to_string()))?;
    Ok(server.start(methods(instance)?))
}

#[expect(
    clippy::result_large_err,
    reason = "the layer requires this error type"
)]
fn authorize(key: Option<&Secret>, req: &mut Request<HttpBody>) -> Result<(), Response<HttpBody>> {
    if key.is_none_or(|key| key.matches(req.headers())) {
        return Ok(());
    }
    let mut resp = Response::new(HttpBody::empty());
    *resp.status_mut() = StatusCode::UNAUTHORIZED;
    Err(resp)
}

fn methods(instance: &Arc<Instance>) -> Result<RpcModule<Arc<Instance>>, Error> {
    let mut module = RpcModule::new(Arc::clone(instance));
    let start_error = |err: jsonrpsee::core::RegisterMethodError| Error::Start(err.to_string());
    module
        .register_method("permit_batch", |params, cx, _| {
            let msg: PermitBatch = parse_message(&params)?;
            Ok::<_, ErrorObjectOwned>(permits::batch(cx, msg))
        })
        .map_err(start_error)?;
    module
        .register_method("caller_shares", |params, cx, _| {
            let msg: ShareRequest = parse_message(&params)?;
            Ok::<_, ErrorObjectOwned>(callers::handle_share_request(cx, msg))
        })
        .map_err(start_error)?;
    module
        .register_async_method("permit_poll", |params, cx, _| async move {
            let msg: PermitPoll = parse_message(&params)?;
            Ok::<_, ErrorObjectOwned>(permits::poll(&cx, msg).await)
        })
        .map_err(start_error)?;
    module
        .register_method("config_notice", |params, cx, _| {
            let msg: ConfigNotice = parse_message(&params)?;
            Ok::<_, ErrorObjectOwned>(config::handle_notice(cx, msg))
        })
        .map_err(start_error)?;
    module
        .register_method("config_manifest", |params, cx, _| {
            let msg: ManifestReq = parse_message(&params)?;
            Ok::<_, ErrorObjectOwned>(config::handle_manifest_request(cx, &msg))
        })
        .map_err(start_error)?;
    module
        .register_method("document_fetch", |params, cx, _| {
            let msg: DocumentReq = parse_message(&params)?;
            Ok::<_, ErrorObjectOwned>(config::handle_document_request(cx, &msg))
        })
        .map_err(start_error)?;
    module
        .register_method("heartbeat", |params, cx, _| {
            let msg: Heartbeat = parse_message(&params)?;
            Ok::<_, ErrorObjectOwned>(heartbeat::handle(cx, &msg))
        })
        .map_err(start_error)?;
    module
        .register_async_method("lease_renew", |params, cx, _| async move {
            let lease: i64 = parse_message(&params)?;
            Ok::<_, ErrorObjectOwned>(renew_lease(&cx, LeaseId(lease)).await)
        })
        .map_err(start_error)?;
    module
        .register_method("quarantine_report", |params, cx, _| {
            let msg: QuarantineReport = parse_message(&params)?;
            Ok::<_, ErrorObjectOwned>(crash::handle_report(cx, &msg))
        })
        .map_err(start_error)?;
    module
        .register_async_method("keyed_begin", |params, cx, _| async move {
            let msg: KeyedBegin = parse_message(&params)?;
            Ok::<_, ErrorObjectOwned>(coordinator::begin(&cx, msg).await)
        })
        .map_err(start_error)?;
    module
        .register_async_method("keyed_end", |params, cx, _| async move {
            let msg: KeyedEnd = parse_message(&params)?;
            Ok::<_, ErrorObjectOwned>(coordinator::finish(&cx, msg).await)
        })
        .map_err(start_error)?;
    Ok(module)
}

/// Renews a peer's lease on its behalf, for a peer that can't reach the store itself.
async fn renew_lease(instance: &Instance, lease: LeaseId) -> LeaseRenewal {
    match (instance.store.keep_alive)(lease).await {
        Ok(ttl) => LeaseRenewal::Renewed {
            ttl_ms: u64::try_from(ttl.as_millis()).unwrap_or(u64::MAX),
        },
        Err(StoreError::LeaseExpired) => LeaseRenewal::Gone,
        Err(_) => LeaseRenewal::Unknown,
    }
}

/// Parameters of every method: one message under the name `msg`.
#[derive(serde::Deserialize)]
struct Envelope<T> {
    msg: T,
}

fn parse_message<T: DeserializeOwned>(
    params: &jsonrpsee::types::Params<'_>,
) -> Result<T, ErrorObjectOwned> {
    let envelope: Envelope<T> = params
        .parse()
        .map_err(|err| ErrorObjectOwned::owned(INVALID_PARAMS_CODE, err.to_string(), None::<()>))?;
    Ok(envelope.msg)
}
