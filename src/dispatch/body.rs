//! Request and response bodies between the caller's and the target's connection.

use std::pin::Pin;
use std::task::{Context, Poll, ready};
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use tokio::time::Sleep;
use xitca_web::body::{Body as CallerBody, Frame as CallerFrame, RequestBody, SizeHint};

use super::InFlightGuard;
use super::attempt::Exchange;
use super::kind::ErrorKind;

/// Error while a body is read from either side.
pub(crate) type BodyError = Box<dyn std::error::Error + Send + Sync>;

/// Longest pause between two frames of a response's body.
const RESPONSE_IDLE_TIMEOUT: Duration = Duration::from_secs(30);
/// Largest request body that is buffered before the call is sent, and that a retry can resend.
const MAX_REPLAYABLE_BYTES: usize = 64 << 10;

/// A caller's request body.
pub(crate) enum CallBody {
    /// The whole body, which a retry can resend.
    Whole(Bytes),
    /// The bytes read so far, and the rest as a stream.
    Stream(Bytes, RequestBody),
}

impl CallBody {
    /// Buffers a small body whole and only the beginning of a large one.
    ///
    /// # Errors
    /// [`ErrorKind::BadRequest`] if the body ends early and [`ErrorKind::TooLarge`] if it
    /// exceeds `limit`; nothing was sent to a target in either case.
    pub(crate) async fn read(mut body: RequestBody, limit: u64) -> Result<Self, ErrorKind> {
        let mut buf = BytesMut::new();
        loop {
            let frame = std::future::poll_fn(|cx| Pin::new(&mut body).poll_frame(cx)).await;
            match frame {
                None => return Ok(Self::Whole(buf.freeze())),
                Some(Err(_)) => return Err(ErrorKind::BadRequest),
                Some(Ok(CallerFrame::Data(data))) => buf.extend_from_slice(&data),
                Some(Ok(CallerFrame::Trailers(_))) => {}
            }
            if buf.len() as u64 > limit {
                return Err(ErrorKind::TooLarge);
            }
            if buf.len() > MAX_REPLAYABLE_BYTES {
                return Ok(Self::Stream(buf.freeze(), body));
            }
        }
    }

    /// Whether the body can be resent.
    pub(crate) fn replayable(&self) -> bool {
        matches!(self, Self::Whole(_))
    }

    /// The buffered bytes: the whole body, or the beginning of a large one.
    pub(crate) fn buffered(&self) -> &[u8] {
        match self {
            Self::Whole(data) | Self::Stream(data, _) => data,
        }
    }

    /// Returns the body for one attempt. The rest of a streamed body is handed out only once.
    pub(crate) fn take(&mut self, limit: u64) -> UpstreamBody {
        match self {
            Self::Whole(data) => UpstreamBody::whole(data.clone()),
            Self::Stream(first, rest) => UpstreamBody {
                remaining: limit.saturating_sub(first.len() as u64),
                first: Some(first.clone()),
                rest: std::mem::take(rest),
            },
        }
    }
}

/// A caller's request body in the form that the target's connection reads.
#[derive(Default)]
pub(crate) struct UpstreamBody {
    first: Option<Bytes>,
    rest: RequestBody,
    remaining: u64,
}

impl UpstreamBody {
    fn whole(data: Bytes) -> Self {
        Self {
            first: (!data.is_empty()).then_some(data),
            rest: RequestBody::None,
            remaining: 0,
        }
    }
}

impl http_body::Body for UpstreamBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<http_body::Frame<Bytes>, BodyError>>> {
        let this = self.get_mut();
        if let Some(first) = this.first.take() {
            return Poll::Ready(Some(Ok(http_body::Frame::data(first))));
        }
        let data = match ready!(Pin::new(&mut this.rest).poll_frame(cx)) {
            None => return Poll::Ready(None),
            Some(Err(err)) => return Poll::Ready(Some(Err(err))),
            Some(Ok(CallerFrame::Trailers(trailers))) => {
                return Poll::Ready(Some(Ok(http_body::Frame::trailers(trailers))));
            }
            Some(Ok(CallerFrame::Data(data))) => data,
        };
        let Some(remaining) = this.remaining.checked_sub(data.len() as u64) else {
            let err = "the request body is larger than allowed";
            return Poll::Ready(Some(Err(err.into())));
        };
        this.remaining = remaining;
        Poll::Ready(Some(Ok(http_body::Frame::data(data))))
    }

    fn is_end_stream(&self) -> bool {
        self.first.is_none() && self.rest.is_end_stream()
    }

    fn size_hint(&self) -> http_body::SizeHint {
        let first = self.first.as_ref().map_or(0, |first| first.len() as u64);
        match self.rest.size_hint() {
            SizeHint::None => http_body::SizeHint::with_exact(first),
            SizeHint::Exact(rest) => http_body::SizeHint::with_exact(first + rest),
            SizeHint::Unknown => http_body::SizeHint::default(),
        }
    }
}

/// A target's response body in the form that the caller's connection reads.
///
/// A truncated body ends with an error, so that the caller's connection does not
/// end the response as if it were complete.
pub(crate) struct DownstreamBody {
    inner: hyper::body::Incoming,
    exchange: Option<Exchange>,
    in_flight: InFlightGuard,
    idle_timeout: Pin<Box<Sleep>>,
}

impl DownstreamBody {
    /// Wraps a target's response body; `exchange` ends with the body.
    pub(crate) fn new(
        inner: hyper::body::Incoming,
        exchange: Exchange,
        in_flight: InFlightGuard,
    ) -> Self {
        Self {
            inner,
            exchange: Some(exchange),
            in_flight,
            idle_timeout: Box::pin(tokio::time::sleep(RESPONSE_IDLE_TIMEOUT)),
        }
    }

    fn finish(&mut self) {
        if let Some(exchange) = self.exchange.take() {
            exchange.finish();
        }
    }

    fn abort(&mut self, by_target: bool) {
        if let Some(exchange) = self.exchange.take() {
            exchange.abort(by_target);
        }
    }
}

impl CallerBody for DownstreamBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<CallerFrame<Bytes>, BodyError>>> {
        let this = self.get_mut();
        let frame = match http_body::Body::poll_frame(Pin::new(&mut this.inner), cx) {
            Poll::Ready(frame) => frame,
            Poll::Pending => {
                ready!(this.idle_timeout.as_mut().poll(cx));
                this.abort(false);
                let err = "the target sent nothing for too long";
                return Poll::Ready(Some(Err(err.into())));
            }
        };
        this.idle_timeout
            .as_mut()
            .reset(tokio::time::Instant::now() + RESPONSE_IDLE_TIMEOUT);
        match frame {
            None => {
                this.finish();
                Poll::Ready(None)
            }
            Some(Err(err)) => {
                this.abort(true);
                Poll::Ready(Some(Err(err.into())))
            }
            Some(Ok(frame)) => {
                if let Some(data) = frame.data_ref() {
                    this.in_flight.charge_response_bytes(data.len());
                }
                Poll::Ready(convert_frame(frame).map(Ok))
            }
        }
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

impl Drop for DownstreamBody {
    fn drop(&mut self) {
        if http_body::Body::is_end_stream(&self.inner) {
            self.finish();
        } else {
            self.abort(false);
        }
    }
}

fn convert_frame(frame: http_body::Frame<Bytes>) -> Option<CallerFrame<Bytes>> {
    match frame.into_data() {
        Ok(data) => Some(CallerFrame::Data(data)),
        Err(frame) => frame.into_trailers().ok().map(CallerFrame::Trailers),
    }
}
