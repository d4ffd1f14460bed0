//! Responses that an instance generates itself.

use std::pin::Pin;
use std::task::{Context, Poll, ready};
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderValue, Response, StatusCode, header};
use serde::Serialize;
use xitca_web::body::{Body, Frame, RequestBody, ResponseBody, SizeHint};
use xitca_web::http::RequestExt;

use crate::dispatch::body::BodyError;
use crate::dispatch::keyed::RecordedOutcome;
use crate::dispatch::kind::{ErrorKind, Ran};

/// Response header with the error kind and whether the call ran.
pub(crate) const OUTCOME_HEADER: &str = "wagtailsaddle-outcome";

/// Problem details of an error response (RFC 9457).
#[derive(Debug, Serialize)]
struct Problem<'a> {
    title: ErrorKind,
    status: u16,
    detail: &'a str,
    ran: Ran,
    may_repeat: bool,
    #[serde(skip_serializing_if = "Option::is_none")]
    retry_after_s: Option<u64>,
}

/// Builds the response from the recorded outcome of an earlier call with the same
/// idempotency key. A record that is no response tells only that the call was accepted.
pub(crate) fn recorded(outcome: &RecordedOutcome) -> Response<ResponseBody> {
    let (status, body) = match (outcome.status(), outcome.bytes()) {
        (Ok(status), Ok(body)) => (status, body),
        (status, body) => {
            let (status, body) = (status.err(), body.err());
            tracing::warn!(
                ?status,
                ?body,
                "recorded response of a keyed call is invalid"
            );
            return error(ErrorKind::AlreadyAccepted);
        }
    };
    let mut resp = Response::new(ResponseBody::bytes(body));
    *resp.status_mut() = status;
    let headers = resp.headers_mut();
    headers.insert(
        OUTCOME_HEADER,
        HeaderValue::from_static("recorded; ran=yes"),
    );
    let content_type = outcome.content_type.as_deref();
    if let Some(Ok(value)) = content_type.map(HeaderValue::from_str) {
        headers.insert(header::CONTENT_TYPE, value);
    }
    resp
}

/// Makes the server close the connection after this response.
pub(crate) fn closing(resp: Response<ResponseBody>) -> Response<ResponseBody> {
    let (mut parts, body) = resp.into_parts();
    let close = HeaderValue::from_static("close");
    parts.headers.insert(header::CONNECTION, close);
    Response::from_parts(parts, ResponseBody::boxed::<_, Bytes, _>(ClosingBody(body)))
}

/// A body that ends with an error, which makes the server close the connection.
struct ClosingBody(ResponseBody);

impl Body for ClosingBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        let frame = ready!(Pin::new(&mut self.0).poll_frame(cx));
        Poll::Ready(Some(frame.unwrap_or_else(|| {
            Err("connection closes after this response".into())
        })))
    }

    fn size_hint(&self) -> SizeHint {
        self.0.size_hint()
    }
}

/// Builds the response to a call that ended with an error kind.
pub(crate) fn error(kind: ErrorKind) -> Response<ResponseBody> {
    error_with_detail(kind, kind.response().detail)
}

/// Builds an error response with its own detail text.
pub(crate) fn error_with_detail(kind: ErrorKind, detail: &str) -> Response<ResponseBody> {
    problem_details(kind, detail, kind.response().retry_after)
}

/// Builds an error response that asks the caller to retry after `wait`.
pub(crate) fn error_with_retry_after(kind: ErrorKind, wait: Duration) -> Response<ResponseBody> {
    problem_details(kind, kind.response().detail, Some(wait))
}

fn problem_details(
    kind: ErrorKind,
    detail: &str,
    wait: Option<Duration>,
) -> Response<ResponseBody> {
    let response = kind.response();
    // Rounded up, so that callers don't retry too early.
    let wait_s = wait.map(|wait| wait.as_millis().div_ceil(1_000));
    let wait_s = wait_s.map(|secs| u64::try_from(secs).unwrap_or(u64::MAX));
    let problem = Problem {
        title: kind,
        status: response.status.as_u16(),
        detail,
        ran: response.ran,
        may_repeat: response.caller_may_retry,
        retry_after_s: wait_s,
    };
    let mut resp = json_with_status(response.status, &problem);
    let headers = resp.headers_mut();
    headers.insert(
        header::CONTENT_TYPE,
        HeaderValue::from_static("application/problem+json"),
    );
    headers.insert(OUTCOME_HEADER, outcome_header(kind));
    if let Some(secs) = wait_s {
        headers.insert(header::RETRY_AFTER, HeaderValue::from(secs));
    }
    resp
}

fn outcome_header(kind: ErrorKind) -> HeaderValue {
    let text = format!("{}; ran={}", kind.name(), kind.response().ran.name());
    HeaderValue::from_str(&text).unwrap_or(HeaderValue::from_static("error"))
}

/// Builds a JSON response with status 200.
pub(crate) fn json(value: &impl Serialize) -> Response<ResponseBody> {
    json_with_status(StatusCode::OK, value)
}

/// Builds a JSON response.
pub(crate) fn json_with_status(
    status: StatusCode,
    value: &impl Serialize,
) -> Response<ResponseBody> {
    let body = serde_json::to_vec(value).unwrap_or_default();
    let mut resp = Response::new(ResponseBody::bytes(Bytes::from(body)));
    *resp.status_mut() = status;
    resp.headers_mut().insert(
        header::CONTENT_TYPE,
        HeaderValue::from_static("application/json"),
    );
    resp
}

/// Builds a plain text response.
pub(crate) fn text(status: StatusCode, text: String) -> Response<ResponseBody> {
    let mut resp = Response::new(ResponseBody::bytes(Bytes::from(text)));
    *resp.status_mut() = status;
    resp.headers_mut().insert(
        header::CONTENT_TYPE,
        HeaderValue::from_static("text/plain; charset=utf-8"),
    );
    resp
}

/// Takes the body out of a request's extensions.
pub(crate) fn take_body(ext: RequestExt<RequestBody>) -> RequestBody {
    ext.replace_body(()).1
}

#[cfg(test)]
mod tests;
