//! Request handling of a target, with the injected faults.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use futures_util::{Stream, StreamExt, stream};
use http::{HeaderMap, HeaderValue, Method, Request, Response, StatusCode, header};
use http_body_util::{BodyExt, StreamBody};
use hyper::body::{Frame, Incoming};
use serde::Serialize;

use super::record::InFlightGuard;
use super::{CALL_HEADER, LOAD_HEADER, REQUEST_HEADER, SHED_HEADER, Target};
use crate::faults::{Health, Overload, ResponseFault, TargetFaults};
use crate::http::{Body, json_response, read_body, response};
use crate::socket::SocketFaults;

/// Size of one frame of a long body.
const CHUNK_BYTES: usize = 16 << 10;
/// Time for the peer to read the first bytes before the connection is cut.
const CUT_DELAY: Duration = Duration::from_millis(20);

#[derive(Serialize)]
struct HealthResponse {
    state: Health,
    start: String,
}

#[derive(Serialize)]
struct CancelResponse {
    state: super::calls::CancelState,
}

/// Options of a call, from its query string.
#[derive(Debug, Clone, Copy, Default)]
struct CallOptions {
    /// Length of the response body (`bytes`).
    bytes: Option<usize>,
    /// Time before each frame of the body (`pause_ms`).
    pause: Duration,
    /// Additional processing time (`work_ms`).
    work: Duration,
}

/// Returns the response to a request, or `None` to close the connection.
pub(crate) async fn handle(
    target: Arc<Target>,
    socket: Arc<SocketFaults>,
    req: Request<Incoming>,
) -> Option<Response<Body>> {
    match (req.method(), req.uri().path()) {
        (&Method::GET, "/platform/health") => {
            target.record.probes.fetch_add(1, Ordering::Relaxed);
            Some(json_response(&HealthResponse {
                state: target.health(),
                start: target.start_id(),
            }))
        }
        (&Method::GET, "/platform/load") => {
            target.record.probes.fetch_add(1, Ordering::Relaxed);
            Some(json_response(&target.load()))
        }
        (&Method::POST, path) if path.starts_with("/platform/cancel/") => {
            let call = path.trim_start_matches("/platform/cancel/");
            Some(json_response(&CancelResponse {
                state: target.calls.cancel(call),
            }))
        }
        _ => {
            let id = req.headers().get(CALL_HEADER).cloned();
            let mut resp = call(target, socket, req).await?;
            if let Some(id) = id {
                resp.headers_mut().insert(CALL_HEADER, id);
            }
            Some(resp)
        }
    }
}

async fn call(
    target: Arc<Target>,
    socket: Arc<SocketFaults>,
    req: Request<Incoming>,
) -> Option<Response<Body>> {
    let (faults, fault) = target
        .faults
        .change(|faults| (faults.clone(), faults.take_response_fault()));
    if faults.shed || fault == ResponseFault::Shed {
        return Some(shed());
    }
    if faults.fail_fast {
        return Some(response(StatusCode::INTERNAL_SERVER_ERROR, "failed"));
    }
    if fault == ResponseFault::ResetNotRun {
        socket.reset.store(true, Ordering::Relaxed);
        return None;
    }
    // The call runs to its end even if its connection breaks, so it has its own task.
    let id = identifier(req.headers(), &[CALL_HEADER]);
    let running = tokio::spawn(run(Arc::clone(&target), req, faults));
    let result = running.await.ok()??;
    if let ResponseFault::Raw(text) = fault {
        socket.raw.set(text.replace("CALL", &id).into_bytes());
    }
    let mut resp = respond(&result, &socket, fault).await?;
    let load = target.load();
    if let Ok(value) = HeaderValue::from_str(&format!("{}/{}", load.in_flight, load.slots)) {
        resp.headers_mut().insert(LOAD_HEADER, value);
    }
    Some(resp)
}

fn shed() -> Response<Body> {
    let mut resp = response(StatusCode::SERVICE_UNAVAILABLE, "shed");
    resp.headers_mut()
        .insert(SHED_HEADER, HeaderValue::from_static("not-run"));
    resp
}

/// Result of a completed call.
struct CallResult {
    text: String,
    options: CallOptions,
}

/// Runs a call; `None` if it ends without a response.
async fn run(
    target: Arc<Target>,
    req: Request<Incoming>,
    faults: TargetFaults,
) -> Option<CallResult> {
    let request = identifier(req.headers(), &[REQUEST_HEADER, CALL_HEADER]);
    let call = identifier(req.headers(), &[CALL_HEADER, REQUEST_HEADER]);
    let options = parse_options(req.uri().query().unwrap_or_default());
    let path = req.uri().path().to_owned();
    let _running = InFlightGuard::start(&target.record);
    let cancel = target.calls.begin(&call);
    target.record.count_run(&request);
    let body = read_body(req.into_body()).await;
    if is_crash_trigger(&faults, &path, &body) {
        target.restart(faults.down_for);
        return None;
    }
    let overload = target
        .cold()
        .filter(|cold| target.record.running() > cold.slots)
        .map(|cold| cold.overload);
    let extra = match overload {
        Some(Overload::Slow(extra)) => extra,
        _ => Duration::ZERO,
    };
    let work = target.options.work + faults.delay + options.work + extra;
    let cancelled = tokio::select! {
        () = tokio::time::sleep(work) => false,
        () = cancel.notified() => true,
    };
    target.calls.end(&call);
    if cancelled {
        target.record.cancelled.fetch_add(1, Ordering::Relaxed);
    }
    if cancelled || faults.close_after_run || overload == Some(Overload::Close) {
        return None;
    }
    let id = &target.options.id;
    let text = format!("{id} ran {request} at {path} with {} bytes\n", body.len());
    Some(CallResult { text, options })
}

fn identifier(headers: &HeaderMap, names: &[&str]) -> String {
    names
        .iter()
        .find_map(|name| headers.get(*name)?.to_str().ok())
        .unwrap_or("unnamed")
        .to_owned()
}

fn is_crash_trigger(faults: &TargetFaults, path: &str, body: &Bytes) -> bool {
    let Some(marker) = &faults.crash_on else {
        return false;
    };
    path.contains(marker) || String::from_utf8_lossy(body).contains(marker)
}

fn parse_options(query: &str) -> CallOptions {
    let mut options = CallOptions::default();
    for (name, value) in query.split('&').filter_map(|pair| pair.split_once('=')) {
        let Ok(number) = value.parse::<u64>() else {
            continue;
        };
        match name {
            "bytes" => options.bytes = usize::try_from(number).ok(),
            "pause_ms" => options.pause = Duration::from_millis(number),
            "work_ms" => options.work = Duration::from_millis(number),
            _ => {}
        }
    }
    options
}

async fn respond(
    result: &CallResult,
    socket: &SocketFaults,
    fault: ResponseFault,
) -> Option<Response<Body>> {
    match fault {
        ResponseFault::ResetBeforeFirstByte => {
            socket.reset.store(true, Ordering::Relaxed);
            return None;
        }
        ResponseFault::Stall => std::future::pending().await,
        ResponseFault::Late(late) => tokio::time::sleep(late).await,
        ResponseFault::TrailingBytes => socket.trailing.store(true, Ordering::Relaxed),
        ResponseFault::LeadingResponse => socket.leading.store(true, Ordering::Relaxed),
        ResponseFault::TruncatedHead => socket.cut_head.store(true, Ordering::Relaxed),
        ResponseFault::ResetAfterFirstByte => socket.reset.store(true, Ordering::Relaxed),
        _ => {}
    }
    let text = body_text(result);
    let length = text.len();
    let half = text.slice(..length / 2);
    let is_cut = matches!(
        fault,
        ResponseFault::ResetAfterFirstByte
            | ResponseFault::TruncatedBody
            | ResponseFault::TruncatedChunkedBody
            | ResponseFault::StallMidBody
    );
    let body = match fault {
        ResponseFault::StallMidBody => stalled_body(half),
        _ if is_cut => cut_body(half),
        _ => whole_body(text, result.options.pause),
    };
    let mut resp = Response::new(body);
    if fault != ResponseFault::TruncatedChunkedBody {
        resp.headers_mut()
            .insert(header::CONTENT_LENGTH, HeaderValue::from(length));
    }
    Some(resp)
}

fn body_text(result: &CallResult) -> Bytes {
    let mut text = result.text.clone().into_bytes();
    if let Some(bytes) = result.options.bytes {
        text.resize(bytes, b'.');
    }
    Bytes::from(text)
}

fn body(frames: impl Stream<Item = std::io::Result<Frame<Bytes>>> + Send + 'static) -> Body {
    StreamBody::new(frames).boxed_unsync()
}

fn whole_body(text: Bytes, pause: Duration) -> Body {
    body(stream::unfold(text, move |mut left| async move {
        if left.is_empty() {
            return None;
        }
        if !pause.is_zero() {
            tokio::time::sleep(pause).await;
        }
        let chunk = left.split_to(left.len().min(CHUNK_BYTES));
        Some((Ok(Frame::data(chunk)), left))
    }))
}

fn cut_body(half: Bytes) -> Body {
    let first = stream::iter([Ok(Frame::data(half))]);
    let cut = stream::once(async {
        tokio::time::sleep(CUT_DELAY).await;
        Err(std::io::Error::other("connection cut by an injected fault"))
    });
    body(first.chain(cut))
}

fn stalled_body(half: Bytes) -> Body {
    let first = stream::iter([Ok(Frame::data(half))]);
    body(first.chain(stream::pending()))
}
