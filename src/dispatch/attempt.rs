//! One attempt of a call, which uses one permit, one target and one connection.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use http::{Response, StatusCode};
use hyper::body::Incoming;

use super::body::UpstreamBody;
use super::call::Call;
use super::cancel;
use super::connection::{self, Connection, IdleRequirement, SendError};
use super::headers::{self, AttemptHead};
use super::kind::ErrorKind;
use super::permits::HeldPermit;
use crate::admission::limit::Load;
use crate::admission::permit::{CallReport, CallResult};
use crate::instance::Instance;
use crate::units::Time;

static NEXT_CALL_NUMBER: AtomicU64 = AtomicU64::new(1);

/// A response whose head has been received and whose body is still to be read.
pub(crate) struct TargetResponse {
    /// Response as received from the target.
    pub(crate) resp: Response<Incoming>,
    /// Exchange that ends with the response body.
    pub(crate) exchange: Exchange,
}

/// An attempt in progress, with its permit and connection.
///
/// If it is dropped before it has ended and the call may have reached the target, the
/// target is asked to cancel the call. The permit is then kept until the target
/// confirms, or until the call's deadline.
pub(crate) struct Exchange {
    instance: Arc<Instance>,
    held: Option<HeldPermit>,
    connection: Option<Connection>,
    call_id: String,
    deadline: Time,
    started: Time,
    sent: bool,
    result: CallResult,
    latency: Duration,
    load: Option<Load>,
}

impl Exchange {
    fn new(instance: &Arc<Instance>, held: HeldPermit, deadline: Time) -> Self {
        let number = NEXT_CALL_NUMBER.fetch_add(1, Ordering::Relaxed);
        Self {
            call_id: format!("{}-{number}", instance.tables.member.start),
            started: instance.tables.clock.now(),
            instance: Arc::clone(instance),
            held: Some(held),
            connection: None,
            deadline,
            sent: false,
            result: CallResult::Unsent,
            latency: Duration::ZERO,
            load: None,
        }
    }

    /// Ends the exchange after a complete response and returns the connection to the pool.
    pub(crate) fn finish(mut self) {
        if let Some(connection) = self.connection.take() {
            connection::put_back(&self.instance, connection);
        }
        self.release(self.result);
    }

    /// Ends the exchange before the response is complete.
    ///
    /// With `by_target` the permit is released as the target's failure; without it the
    /// call is cancelled at the target.
    pub(crate) fn abort(mut self, by_target: bool) {
        if by_target {
            self.release(CallResult::Broken);
        }
    }

    fn release(&mut self, result: CallResult) {
        let latency_us = u64::try_from(self.latency.as_micros()).unwrap_or(u64::MAX);
        if let Some(held) = self.held.take() {
            let report = CallReport {
                result,
                latency_us,
                load: self.load,
            };
            held.release(&self.instance, report);
        }
    }
}

impl Exchange {
    /// Time until which the request may be sent under the permit; a process that was
    /// paused after it acquired the permit may no longer own the shard.
    fn send_deadline(&self) -> Time {
        let held = self.held.as_ref();
        held.map_or(Time::ZERO, |held| held.valid_until(&self.instance))
    }
}

impl Drop for Exchange {
    fn drop(&mut self) {
        // The connection is closed before the cancellation is sent, so that the target
        // does not read a request in transit after it has handled the cancellation.
        self.connection = None;
        if !self.sent {
            self.release(CallResult::Unsent);
        } else if let Some(held) = self.held.take() {
            cancel::start(&self.instance, held, &self.call_id, self.deadline);
        }
    }
}

/// Runs one attempt up to the head of its response.
///
/// # Errors
/// The kind of failure. A response with an error status is not a failure, unless the target
/// shed the call.
pub(crate) async fn attempt(
    instance: &Arc<Instance>,
    call: &Call,
    held: HeldPermit,
    number: u32,
    body: UpstreamBody,
) -> Result<TargetResponse, ErrorKind> {
    let address = held.address;
    let requirement = if call.repeatable {
        IdleRequirement::Any
    } else {
        IdleRequirement::RecentlyResponded
    };
    let mut exchange = Exchange::new(instance, held, call.requirements.deadline);
    let mut connection = connection::acquire(instance, address, requirement).await?;
    exchange.started = instance.tables.clock.now();
    let attempt_head = AttemptHead {
        call_id: exchange.call_id.clone(),
        number,
        time_left: call.requirements.deadline.since(exchange.started),
    };
    if attempt_head.time_left.is_zero() {
        return Err(ErrorKind::DeadlineUnmet);
    }
    let send_deadline = exchange.send_deadline();
    if instance.tables.clock.now() >= send_deadline {
        return Err(ErrorKind::OwnerUnreachable);
    }
    let time_left = attempt_head.time_left;
    let req = headers::upstream(&call.head, &attempt_head, body).ok_or(ErrorKind::BadRequest)?;
    exchange.sent = true;
    let (opened, reused) = (connection.opened(), connection.reused);
    let check = StallCheck {
        address,
        opened: reused.then_some(opened),
        repeatable: call.repeatable,
    };
    let sent = tokio::time::timeout(
        time_left,
        send_with_stall_check(instance, &check, connection.send(req, send_deadline)),
    )
    .await;
    exchange.connection = Some(connection);
    let resp = match sent {
        Err(_) => return Err(ErrorKind::TargetTimeout),
        Ok(Ok(resp)) => resp,
        Ok(Err(failure)) => return Err(exchange.fail(failure)),
    };
    exchange.latency = instance.tables.clock.now().since(exchange.started);
    accept(exchange, call, address, resp)
}

/// Why an attempt received no response head.
#[derive(Clone, Copy)]
enum Failure {
    Send(SendError),
    Stalled,
}

/// What to check while waiting for the first byte of the response.
struct StallCheck {
    address: SocketAddr,
    /// Time at which a reused connection was opened; `None` for a new one.
    opened: Option<Time>,
    repeatable: bool,
}

/// Waits for a response. If a reused connection stalls, the target is probed on a new
/// connection; if that works, older connections are retired and a repeatable call fails
/// at once, so that it can be retried.
async fn send_with_stall_check(
    instance: &Arc<Instance>,
    check: &StallCheck,
    send: impl Future<Output = Result<Response<Incoming>, SendError>>,
) -> Result<Response<Incoming>, Failure> {
    let mut send = std::pin::pin!(send);
    let Some(opened) = check.opened else {
        return send.await.map_err(Failure::Send);
    };
    let stall_timeout = instance.dispatch.stall_timeout(check.address);
    let probe = async {
        tokio::time::sleep(stall_timeout).await;
        Box::pin(connection::probe_new_connection(
            instance,
            check.address,
            stall_timeout,
        ))
        .await
    };
    tokio::select! {
        response = &mut send => return response.map_err(Failure::Send),
        probed = probe => {
            if let Some(newer) = probed {
                tracing::warn!(target = %check.address, ?opened, "connection silent; older ones are replaced");
                instance.dispatch.retire_before(check.address, newer);
                if check.repeatable {
                    return Err(Failure::Stalled);
                }
            }
        }
    }
    send.await.map_err(Failure::Send)
}

impl Exchange {
    /// Ends an exchange that received no response.
    fn fail(&mut self, failure: Failure) -> ErrorKind {
        match failure {
            Failure::Send(SendError::Unsent) => {
                self.sent = false;
                ErrorKind::TargetRefused
            }
            Failure::Send(SendError::Broken) => {
                self.release(CallResult::Broken);
                ErrorKind::TargetBroken
            }
            Failure::Send(SendError::Body) => ErrorKind::BodyBroken,
            Failure::Stalled => ErrorKind::TargetSilent,
        }
    }
}

/// Accepts the head of a response, unless the target shed the call or the response belongs to
/// another call.
fn accept(
    mut exchange: Exchange,
    call: &Call,
    address: SocketAddr,
    resp: Response<Incoming>,
) -> Result<TargetResponse, ErrorKind> {
    let call_id_matches = resp
        .headers()
        .get(&headers::CALL)
        .map(|id| id.as_bytes() == exchange.call_id.as_bytes());
    let now = exchange.instance.tables.clock.now();
    let matches_target =
        exchange
            .instance
            .dispatch
            .is_expected_response(now, address, call_id_matches);
    let matches_connection = exchange
        .connection
        .as_mut()
        .is_none_or(|connection| connection.is_expected_response(call_id_matches));
    if !(matches_target && matches_connection) {
        tracing::warn!(target = %address, "answer to another call; connection closed");
        return Err(ErrorKind::TargetBroken);
    }
    exchange.load = resp
        .headers()
        .get(headers::LOAD)
        .and_then(|value| Load::parse(value.to_str().ok()?));
    let shed = resp
        .headers()
        .get(&headers::SHED)
        .is_some_and(|value| value == headers::SHED_NOT_RUN);
    if shed && resp.status() == StatusCode::SERVICE_UNAVAILABLE {
        exchange.release(CallResult::Shed);
        return Err(ErrorKind::TargetShed);
    }
    exchange.result = if resp.status().is_server_error() {
        CallResult::Failed
    } else {
        CallResult::Completed
    };
    let dispatch = &exchange.instance.dispatch;
    dispatch.record_response(now, call, address, exchange.latency);
    Ok(TargetResponse { resp, exchange })
}
