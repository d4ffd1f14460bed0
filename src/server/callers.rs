//! The callers' interface: calls to services and address lookups.

use std::convert::Infallible;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, HeaderValue, Request, Response, Uri, Version, header};
use xitca_web::body::{RequestBody, ResponseBody};
use xitca_web::http::RequestExt;

use super::{addresses, request, response};
use crate::dispatch::InFlightGuard;
use crate::dispatch::attempt::TargetResponse;
use crate::dispatch::body::{CallBody, DownstreamBody};
use crate::dispatch::call::{self, Call};
use crate::dispatch::callers as limits;
use crate::dispatch::headers::{self, Head};
use crate::dispatch::keyed;
use crate::dispatch::keyed::call::KeyedResult;
use crate::dispatch::kind::ErrorKind;
use crate::dispatch::permits::CallRequirements;
use crate::dispatch::route::Route;
use crate::instance::Instance;
use crate::names::{ServiceName, TargetId, ZoneName};
use crate::resource::Revision;

/// Maximum number of nested calls between the original caller and a call.
const MAX_CALL_DEPTH: u32 = 6;

type CallerReq = Request<RequestExt<RequestBody>>;
type CallerResp = Response<ResponseBody>;

/// Handles one request of a caller.
pub(super) async fn handle(
    instance: Arc<Instance>,
    req: CallerReq,
) -> Result<CallerResp, Infallible> {
    let in_flight = instance.dispatch.track_request();
    let http1 = req.version() < Version::HTTP_2;
    let upgrades = request::requests_upgrade(req.headers());
    if let Err(err) = request::check(&req) {
        instance.metrics.record_error("", ErrorKind::BadRequest);
        let resp = response::error_with_detail(ErrorKind::BadRequest, &err.to_string());
        // Where a malformed request ends is unknown, so the connection can't be reused.
        return Ok(if http1 { response::closing(resp) } else { resp });
    }
    let resp = match req.uri().path() {
        "/v1/addresses" => addresses_response(&instance, req.uri()),
        _ => handle_call(&instance, req, in_flight).await,
    };
    let mut resp = resp.unwrap_or_else(response::error);
    if http1 && (upgrades || instance.tables.stopping.load(Ordering::Relaxed)) {
        let close = HeaderValue::from_static("close");
        resp.headers_mut().insert(header::CONNECTION, close);
    }
    Ok(resp)
}

fn addresses_response(instance: &Instance, uri: &Uri) -> Result<CallerResp, ErrorKind> {
    let service = query_parameter(uri, "service").ok_or(ErrorKind::BadRequest)?;
    let service = ServiceName::from(service);
    let tables = &instance.tables;
    let config = tables.config();
    if config.revision == Revision::default() {
        return Err(ErrorKind::Unavailable);
    }
    if config.service(&service).is_none() {
        return Err(ErrorKind::UnknownService);
    }
    let zone =
        query_parameter(uri, "zone").map_or_else(|| tables.settings.zone.clone(), ZoneName::from);
    Ok(response::json(&addresses::build(tables, &service, &zone)))
}

fn query_parameter<'a>(uri: &'a Uri, name: &str) -> Option<&'a str> {
    uri.query()?
        .split('&')
        .filter_map(|pair| pair.split_once('='))
        .find_map(|(key, value)| (key == name).then_some(value))
}

async fn handle_call(
    instance: &Arc<Instance>,
    req: CallerReq,
    mut in_flight: InFlightGuard,
) -> Result<CallerResp, ErrorKind> {
    let start = instance.tables.clock.now();
    let call =
        parse_call(instance, &req).inspect_err(|kind| instance.metrics.record_error("", *kind))?;
    let service = call.requirements.service.clone();
    match limits::admit(instance, &call.requirements.caller).await {
        Ok(guard) => in_flight.limit_guard = guard,
        Err(wait) => {
            let kind = ErrorKind::CallerLimit;
            instance.metrics.record_error(service.as_str(), kind);
            return Ok(response::error_with_retry_after(kind, wait));
        }
    }
    match dispatch_call(instance, call, req, in_flight).await {
        Ok(resp) => {
            let took = instance.tables.clock.now().since(start);
            instance.metrics.record_response(&service, took);
            Ok(resp)
        }
        Err(kind) => {
            tracing::debug!(%service, kind = kind.name(), "call ended with an error");
            instance.metrics.record_error(service.as_str(), kind);
            Err(kind)
        }
    }
}

async fn dispatch_call(
    instance: &Arc<Instance>,
    mut call: Call,
    req: CallerReq,
    in_flight: InFlightGuard,
) -> Result<CallerResp, ErrorKind> {
    let key = keyed::call::key(req.headers())?;
    let declared = headers::number(req.headers(), &header::CONTENT_LENGTH);
    if declared.is_some_and(|length| length > call.body_limit) {
        return Err(ErrorKind::TooLarge);
    }
    let ignore_body = request::requests_upgrade(req.headers());
    let (parts, ext) = req.into_parts();
    call.head.headers = headers::to_target(parts.headers);
    let mut body = response::take_body(ext);
    if ignore_body {
        // The bytes that follow belong to the offered protocol.
        body = RequestBody::None;
    }
    let read = CallBody::read(body, call.body_limit);
    let left = call
        .requirements
        .deadline
        .since(instance.tables.clock.now());
    let body = tokio::time::timeout(left, read)
        .await
        .unwrap_or(Err(ErrorKind::DeadlineUnmet))?;
    let Some(key) = key else {
        let response = call::run(instance, call, body).await?;
        return Ok(streamed_response(response, in_flight));
    };
    // Boxed to keep the future of calls without a key small.
    let result = Box::pin(keyed::call::run(instance, call, body, &key, in_flight)).await?;
    Ok(keyed_response(result))
}

fn keyed_response(result: KeyedResult) -> CallerResp {
    match result {
        KeyedResult::Stream(response, in_flight) => streamed_response(*response, in_flight),
        KeyedResult::Whole(parts, body) => {
            let mut resp = Response::new(ResponseBody::bytes(body));
            *resp.status_mut() = parts.status;
            *resp.headers_mut() = headers::to_caller(parts.headers);
            resp
        }
        KeyedResult::Recorded(outcome) => response::recorded(&outcome),
    }
}

fn parse_call(instance: &Instance, req: &CallerReq) -> Result<Call, ErrorKind> {
    let tables = &instance.tables;
    let routes = tables.routes();
    let host = request::host(req).ok_or(ErrorKind::BadRequest)?;
    if tables.config().revision == Revision::default() {
        return Err(ErrorKind::Unavailable);
    }
    let route = routes.route(host)?;
    let key = req
        .headers()
        .get(&headers::API_KEY)
        .map(HeaderValue::as_bytes);
    let caller = routes.caller(key)?;
    let policy = route.policy(req.method(), req.uri().path());
    let depth = parse_depth(req.headers())?;
    let now = tables.clock.now();
    Ok(Call {
        requirements: CallRequirements {
            service: route.service.clone(),
            rank: policy.rank,
            caller: caller.clone(),
            deadline: now.after(parse_time_left(req.headers(), route)?),
            excluded: Vec::<TargetId>::new(),
        },
        repeatable: policy.repeatable(req.method()),
        urgent: policy.urgent,
        body_limit: tables.settings.limits.request_body.0,
        head: Head {
            method: req.method().clone(),
            uri: req.uri().clone(),
            headers: HeaderMap::new(),
            depth,
        },
    })
}

fn parse_depth(headers: &HeaderMap) -> Result<u32, ErrorKind> {
    if !headers.contains_key(&headers::DEPTH) {
        return Ok(0);
    }
    let depth = headers::number(headers, &headers::DEPTH).ok_or(ErrorKind::BadRequest)?;
    u32::try_from(depth)
        .ok()
        .filter(|depth| *depth <= MAX_CALL_DEPTH)
        .ok_or(ErrorKind::TooDeep)
}

fn parse_time_left(headers: &HeaderMap, route: &Route) -> Result<Duration, ErrorKind> {
    if !headers.contains_key(&headers::DEADLINE) {
        return Ok(route.deadline);
    }
    let left = headers::number(headers, &headers::DEADLINE).ok_or(ErrorKind::BadRequest)?;
    Ok(Duration::from_millis(left))
}

fn streamed_response(response: TargetResponse, in_flight: InFlightGuard) -> CallerResp {
    let (parts, body) = response.resp.into_parts();
    let body = DownstreamBody::new(body, response.exchange, in_flight);
    let mut resp = Response::new(ResponseBody::boxed::<_, Bytes, _>(body));
    *resp.status_mut() = parts.status;
    *resp.headers_mut() = headers::to_caller(parts.headers);
    resp
}
