//! Answers of a target, with the faults that are asked of it.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use futures_util::{Stream, StreamExt, stream};
use http::{HeaderMap, HeaderValue, Method, Request, Response, StatusCode, header};
use http_body_util::{BodyExt, StreamBody};
use hyper::body::{Frame, Incoming};
use serde::Serialize;

use super::record::Running;
use super::{CALL_HEADER, LOAD_HEADER, REQUEST_HEADER, SHED_HEADER, Target};
use crate::faults::{Health, Overload, ResponseFault, TargetFaults};
use crate::http::{Body, answer, json, read};
use crate::socket::SocketFaults;

/// Bytes of one piece of a long answer.
const PIECE: usize = 16 << 10;
/// Time that the peer has to read the first bytes before a connection is cut.
const CUT_PAUSE: Duration = Duration::from_millis(20);

#[derive(Serialize)]
struct HealthAnswer {
    state: Health,
    start: String,
}

#[derive(Serialize)]
struct CancelAnswer {
    state: super::calls::CancelState,
}

/// What a call asks of the stand-in in its query.
#[derive(Debug, Clone, Copy, Default)]
struct Asked {
    /// Bytes of the answer.
    bytes: Option<usize>,
    /// Time between two pieces of the answer.
    pause: Duration,
    /// Time that the call takes longer.
    work: Duration,
}

/// Answers a request, or closes the connection by returning `None`.
pub(crate) async fn handle(
    target: Arc<Target>,
    socket: Arc<SocketFaults>,
    req: Request<Incoming>,
) -> Option<Response<Body>> {
    match (req.method(), req.uri().path()) {
        (&Method::GET, "/platform/health") => {
            target.record.probes.fetch_add(1, Ordering::Relaxed);
            Some(json(&HealthAnswer {
                state: target.health(),
                start: target.start_id(),
            }))
        }
        (&Method::GET, "/platform/load") => {
            target.record.probes.fetch_add(1, Ordering::Relaxed);
            Some(json(&target.load()))
        }
        (&Method::POST, path) if path.starts_with("/platform/cancel/") => {
            let call = path.trim_start_matches("/platform/cancel/");
            Some(json(&CancelAnswer {
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
        .change(|faults| (faults.clone(), faults.take_answer()));
    if faults.shed || fault == ResponseFault::Shed {
        return Some(shed());
    }
    if faults.fail_fast {
        return Some(answer(StatusCode::INTERNAL_SERVER_ERROR, "failed"));
    }
    if fault == ResponseFault::ResetNotRun {
        socket.reset.store(true, Ordering::Relaxed);
        return None;
    }
    // A broken connection doesn't end the work, so it runs on its own.
    let running = tokio::spawn(run(Arc::clone(&target), req, faults));
    let text = running.await.ok()??;
    let mut resp = give(&text, &socket, fault).await?;
    let load = target.load();
    if let Ok(value) = HeaderValue::from_str(&format!("{}/{}", load.in_flight, load.slots)) {
        resp.headers_mut().insert(LOAD_HEADER, value);
    }
    Some(resp)
}

fn shed() -> Response<Body> {
    let mut resp = answer(StatusCode::SERVICE_UNAVAILABLE, "shed");
    resp.headers_mut()
        .insert(SHED_HEADER, HeaderValue::from_static("not-run"));
    resp
}

/// What a call has made.
struct Made {
    text: String,
    asked: Asked,
}

/// Runs a call; `None` when it ends without an answer.
async fn run(target: Arc<Target>, req: Request<Incoming>, faults: TargetFaults) -> Option<Made> {
    let request = identifier(req.headers(), &[REQUEST_HEADER, CALL_HEADER]);
    let call = identifier(req.headers(), &[CALL_HEADER, REQUEST_HEADER]);
    let asked = asked(req.uri().query().unwrap_or_default());
    let path = req.uri().path().to_owned();
    let _running = Running::start(&target.record);
    let cancel = target.calls.begin(&call);
    target.record.ran(&request);
    let body = read(req.into_body()).await;
    if crashes(&faults, &path, &body) {
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
    let work = target.options.work + faults.delay + asked.work + extra;
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
    Some(Made { text, asked })
}

fn identifier(headers: &HeaderMap, names: &[&str]) -> String {
    names
        .iter()
        .find_map(|name| headers.get(*name)?.to_str().ok())
        .unwrap_or("unnamed")
        .to_owned()
}

fn crashes(faults: &TargetFaults, path: &str, body: &Bytes) -> bool {
    let Some(marker) = &faults.crash_on else {
        return false;
    };
    path.contains(marker) || String::from_utf8_lossy(body).contains(marker)
}

fn asked(query: &str) -> Asked {
    let mut asked = Asked::default();
    for (name, value) in query.split('&').filter_map(|pair| pair.split_once('=')) {
        let Ok(number) = value.parse::<u64>() else {
            continue;
        };
        match name {
            "bytes" => asked.bytes = usize::try_from(number).ok(),
            "pause_ms" => asked.pause = Duration::from_millis(number),
            "work_ms" => asked.work = Duration::from_millis(number),
            _ => {}
        }
    }
    asked
}

async fn give(made: &Made, socket: &SocketFaults, fault: ResponseFault) -> Option<Response<Body>> {
    match fault {
        ResponseFault::ResetBeforeFirstByte => {
            socket.reset.store(true, Ordering::Relaxed);
            return None;
        }
        ResponseFault::Stall => std::future::pending().await,
        ResponseFault::Late(late) => tokio::time::sleep(late).await,
        ResponseFault::TrailingBytes => socket.trailing.store(true, Ordering::Relaxed),
        ResponseFault::LeadingResponse => socket.leading.store(true, Ordering::Relaxed),
        ResponseFault::ResetAfterFirstByte => socket.reset.store(true, Ordering::Relaxed),
        _ => {}
    }
    let text = whole_text(made);
    let length = text.len();
    let half = text.slice(..length / 2);
    let cut = matches!(
        fault,
        ResponseFault::ResetAfterFirstByte
            | ResponseFault::TruncatedBody
            | ResponseFault::TruncatedChunkedBody
            | ResponseFault::StallMidBody
    );
    let body = match fault {
        ResponseFault::StallMidBody => stalled(half),
        _ if cut => broken(half),
        _ => whole(text, made.asked.pause),
    };
    let mut resp = Response::new(body);
    if fault != ResponseFault::TruncatedChunkedBody {
        resp.headers_mut()
            .insert(header::CONTENT_LENGTH, HeaderValue::from(length));
    }
    Some(resp)
}

fn whole_text(made: &Made) -> Bytes {
    let mut text = made.text.clone().into_bytes();
    if let Some(bytes) = made.asked.bytes {
        text.resize(bytes, b'.');
    }
    Bytes::from(text)
}

fn body(frames: impl Stream<Item = std::io::Result<Frame<Bytes>>> + Send + 'static) -> Body {
    StreamBody::new(frames).boxed_unsync()
}

fn whole(text: Bytes, pause: Duration) -> Body {
    body(stream::unfold(text, move |mut left| async move {
        if left.is_empty() {
            return None;
        }
        if !pause.is_zero() {
            tokio::time::sleep(pause).await;
        }
        let piece = left.split_to(left.len().min(PIECE));
        Some((Ok(Frame::data(piece)), left))
    }))
}

fn broken(half: Bytes) -> Body {
    let first = stream::iter([Ok(Frame::data(half))]);
    let cut = stream::once(async {
        tokio::time::sleep(CUT_PAUSE).await;
        Err(std::io::Error::other("cut on demand"))
    });
    body(first.chain(cut))
}

fn stalled(half: Bytes) -> Body {
    let first = stream::iter([Ok(Frame::data(half))]);
    body(first.chain(stream::pending()))
}
