//! Threads that generate load.

use std::cell::RefCell;
use std::rc::Rc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::{HeaderValue, Request, header};
use http_body_util::Full;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use standin::fleet::{BYTES_HEADER, CALL_NUMBER_HEADER, WORK_HEADER, ZONE_HEADER};
use tokio::task::LocalSet;

use super::client::{self, Pool};
use super::outcome::{Outcome, Results};
use super::plan::{Class, Plan, Stream};
use crate::Error;

/// The thread sleeps until this long before an arrival and polls from then on,
/// because the runtime's timer is no more precise.
const TIMER_RESOLUTION: Duration = Duration::from_millis(2);
/// Longest wait for outstanding responses after the last arrival.
const RESPONSE_GRACE: Duration = Duration::from_secs(6);
/// Task polls between two checks for I/O events.
const EVENT_INTERVAL: u32 = 7;

static NEXT_CALL: AtomicU64 = AtomicU64::new(1);

/// Offers the load of `plan` and returns the outcomes of its calls.
///
/// # Errors
/// Returns an error if a load thread can't set up its runtime or panics.
pub(crate) fn run(plan: &Plan) -> Result<Results, Error> {
    let start = Instant::now() + Duration::from_millis(20);
    let threads: Vec<_> = (0..plan.threads)
        .map(|thread_index| {
            let plan = plan.clone();
            std::thread::spawn(move || generate(plan, thread_index, start))
        })
        .collect();
    let mut results = Results::default();
    for thread in threads {
        let part = thread.join().map_err(|_| "a load thread panicked")?;
        results.merge(part?);
    }
    Ok(results)
}

struct Context {
    plan: Plan,
    start: Instant,
    pool: RefCell<Pool>,
    results: RefCell<Results>,
    rng: RefCell<StdRng>,
}

fn generate(plan: Plan, thread_index: usize, start: Instant) -> Result<Results, Error> {
    let rt = tokio::runtime::Builder::new_current_thread()
        .event_interval(EVENT_INTERVAL)
        .enable_all()
        .build()?;
    let seed = plan.seed.wrapping_mul(1_000_003) + thread_index as u64;
    let cx = Rc::new(Context {
        plan,
        start,
        pool: RefCell::default(),
        results: RefCell::default(),
        rng: RefCell::new(StdRng::seed_from_u64(seed)),
    });
    let local = LocalSet::new();
    local.block_on(&rt, offer_load(Rc::clone(&cx), thread_index));
    drop(local);
    Ok(cx.results.take())
}

/// Next call of one stream.
struct Arrival {
    due: Instant,
    stream: usize,
}

async fn offer_load(cx: Rc<Context>, thread_index: usize) {
    let mut calls = tokio::task::JoinSet::new();
    for (position, closed_loop) in cx.plan.closed_loops.iter().enumerate() {
        for caller in
            (0..closed_loop.callers).filter(|caller| caller % cx.plan.threads == thread_index)
        {
            calls.spawn_local(run_closed_loop(Rc::clone(&cx), position, caller));
        }
    }
    let mut arrivals = first_arrivals(&cx);
    let end = cx.start + cx.plan.warm_up + cx.plan.duration;
    while let Some(next) = arrivals.iter_mut().min_by_key(|arrival| arrival.due) {
        if next.due >= end {
            break;
        }
        wait_until(next.due).await;
        while calls.try_join_next().is_some() {}
        let stream = cx.plan.streams[next.stream].clone();
        calls.spawn_local(call_at(Rc::clone(&cx), stream, next.due));
        next.due += interarrival_time(&cx, next.stream);
    }
    let outstanding = async { while calls.join_next().await.is_some() {} };
    let _ = tokio::time::timeout(end - Instant::now() + RESPONSE_GRACE, outstanding).await;
}

fn first_arrivals(cx: &Context) -> Vec<Arrival> {
    let streams = 0..cx.plan.streams.len();
    let arrival = |stream| Arrival {
        due: cx.start + interarrival_time(cx, stream),
        stream,
    };
    streams.map(arrival).collect()
}

/// Draws the time to the next call of a stream on this thread. The arrivals form a
/// Poisson process.
fn interarrival_time(cx: &Context, stream: usize) -> Duration {
    let threads = u32::try_from(cx.plan.threads).unwrap_or(1);
    let mean = f64::from(threads) / cx.plan.streams[stream].rate.max(1e-3);
    let uniform: f64 = cx.rng.borrow_mut().random_range(f64::EPSILON..1.0);
    Duration::from_secs_f64((-uniform.ln() * mean).min(1e3))
}

async fn wait_until(due: Instant) {
    while let Some(left) = due.checked_duration_since(Instant::now()) {
        if left.is_zero() {
            return;
        }
        if left > TIMER_RESOLUTION {
            tokio::time::sleep(left.saturating_sub(TIMER_RESOLUTION)).await;
        } else {
            tokio::task::yield_now().await;
        }
    }
}

async fn call_at(cx: Rc<Context>, stream: Stream, intended: Instant) {
    let mut last = Outcome::Refused("not sent".to_owned());
    for attempt in 0..=stream.retries {
        last = send_call(&cx, &stream, attempt as usize).await;
        if !matches!(last, Outcome::Refused(_)) {
            break;
        }
    }
    record(&cx, &stream, intended, &last);
}

fn record(cx: &Context, stream: &Stream, intended: Instant, outcome: &Outcome) {
    let measured = intended >= cx.start + cx.plan.warm_up;
    if measured {
        let latency = intended.elapsed() + cx.plan.client_delay * 2;
        let mut results = cx.results.borrow_mut();
        results.record(stream.class, outcome, latency);
    }
}

async fn run_closed_loop(cx: Rc<Context>, position: usize, caller: usize) {
    let stream = cx.plan.closed_loops[position].stream.clone();
    let end = cx.start + cx.plan.warm_up + cx.plan.duration;
    while Instant::now() < end {
        let intended = Instant::now();
        let outcome = send_call(&cx, &stream, caller).await;
        record(&cx, &stream, intended, &outcome);
        tokio::task::yield_now().await;
    }
}

async fn send_call(cx: &Context, stream: &Stream, attempt: usize) -> Outcome {
    let picked = {
        let rng = &mut cx.rng.borrow_mut();
        cx.plan
            .routes
            .pick(stream.service, attempt, rng)
            .map(|(address, zone)| (address, zone.to_owned()))
    };
    let Some((address, zone)) = picked else {
        return Outcome::Refused("no address".to_owned());
    };
    let call = NEXT_CALL.fetch_add(1, Ordering::Relaxed);
    let idle = cx.pool.borrow_mut().take(address);
    let mut connection = match idle {
        Some(connection) => connection,
        None => match client::connect(address).await {
            Ok(connection) => connection,
            Err(_) => return Outcome::Refused("no connection".to_owned()),
        },
    };
    let req = request(cx, stream, call, &zone);
    let sent = client::send(&mut connection, req);
    let outcome = tokio::time::timeout(cx.plan.deadline, sent)
        .await
        .unwrap_or_else(|_| Outcome::Unknown("no response in time".to_owned()));
    if !matches!(outcome, Outcome::Unknown(_)) {
        cx.pool.borrow_mut().put_back(address, connection);
    }
    cx.results
        .borrow_mut()
        .record_call_number(stream.class, call, &outcome);
    outcome
}

fn request(cx: &Context, stream: &Stream, call: u64, zone: &str) -> Request<Full<Bytes>> {
    let mut req = Request::new(Full::new(Bytes::new()));
    *req.method_mut() = stream.class.method();
    *req.uri_mut() = http::Uri::from_static(stream.class.path());
    let headers = req.headers_mut();
    let mut insert = |name: &'static str, value: &str| {
        if let Ok(value) = HeaderValue::from_str(value) {
            headers.insert(name, value);
        }
    };
    insert(header::HOST.as_str(), &stream.host);
    insert(WORK_HEADER, &stream.work_us.to_string());
    insert(BYTES_HEADER, &stream.bytes.to_string());
    insert(ZONE_HEADER, zone);
    insert("x-deadline-ms", &cx.plan.deadline.as_millis().to_string());
    if stream.class == Class::Order {
        insert(CALL_NUMBER_HEADER, &call.to_string());
    }
    req
}
