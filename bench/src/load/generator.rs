//! The threads that generate load.

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

/// Time before an arrival from which on the thread no longer sleeps, as the
/// runtime's timer is that coarse.
const TIMER_GRAIN: Duration = Duration::from_millis(2);
/// Wait for the answers that are still out after the last arrival.
const LAST_ANSWERS: Duration = Duration::from_secs(6);
/// Polls between two looks at the sockets.
const EVENT_INTERVAL: u32 = 7;

static NEXT_CALL: AtomicU64 = AtomicU64::new(1);

/// Offers the load of `plan` and reports what became of it.
///
/// # Errors
/// When a thread can't be started or ends early.
pub(crate) fn run(plan: &Plan) -> Result<Results, Error> {
    let start = Instant::now() + Duration::from_millis(20);
    let threads: Vec<_> = (0..plan.threads)
        .map(|number| {
            let plan = plan.clone();
            std::thread::spawn(move || generate(plan, number, start))
        })
        .collect();
    let mut results = Results::default();
    for thread in threads {
        let part = thread.join().map_err(|_| "a load thread ended early")?;
        results.add(part?);
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

fn generate(plan: Plan, number: usize, start: Instant) -> Result<Results, Error> {
    let rt = tokio::runtime::Builder::new_current_thread()
        .event_interval(EVENT_INTERVAL)
        .enable_all()
        .build()?;
    let seed = plan.seed.wrapping_mul(1_000_003) + number as u64;
    let cx = Rc::new(Context {
        plan,
        start,
        pool: RefCell::default(),
        results: RefCell::default(),
        rng: RefCell::new(StdRng::seed_from_u64(seed)),
    });
    let local = LocalSet::new();
    local.block_on(&rt, offer(Rc::clone(&cx), number));
    drop(local);
    Ok(cx.results.take())
}

/// One call that is due.
struct Arrival {
    at: Instant,
    stream: usize,
}

async fn offer(cx: Rc<Context>, number: usize) {
    let mut calls = tokio::task::JoinSet::new();
    for (position, tight) in cx.plan.loops.iter().enumerate() {
        for caller in (0..tight.callers).filter(|caller| caller % cx.plan.threads == number) {
            calls.spawn_local(repeat(Rc::clone(&cx), position, caller));
        }
    }
    let mut arrivals = first_arrivals(&cx);
    let end = cx.start + cx.plan.warm + cx.plan.duration;
    while let Some(next) = arrivals.iter_mut().min_by_key(|arrival| arrival.at) {
        if next.at >= end {
            break;
        }
        wait_until(next.at).await;
        while calls.try_join_next().is_some() {}
        let stream = cx.plan.streams[next.stream].clone();
        calls.spawn_local(call_at(Rc::clone(&cx), stream, next.at));
        next.at += gap(&cx, next.stream);
    }
    let rest = async { while calls.join_next().await.is_some() {} };
    let _ = tokio::time::timeout(end - Instant::now() + LAST_ANSWERS, rest).await;
}

fn first_arrivals(cx: &Context) -> Vec<Arrival> {
    let streams = 0..cx.plan.streams.len();
    let arrival = |stream| Arrival {
        at: cx.start + gap(cx, stream),
        stream,
    };
    streams.map(arrival).collect()
}

/// Time to the next call of a stream on this thread: a Poisson process.
fn gap(cx: &Context, stream: usize) -> Duration {
    let threads = u32::try_from(cx.plan.threads).unwrap_or(1);
    let mean = f64::from(threads) / cx.plan.streams[stream].rate.max(1e-3);
    let uniform: f64 = cx.rng.borrow_mut().random_range(f64::EPSILON..1.0);
    Duration::from_secs_f64((-uniform.ln() * mean).min(1e3))
}

async fn wait_until(at: Instant) {
    while let Some(left) = at.checked_duration_since(Instant::now()) {
        if left.is_zero() {
            return;
        }
        if left > TIMER_GRAIN {
            tokio::time::sleep(left.saturating_sub(TIMER_GRAIN)).await;
        } else {
            tokio::task::yield_now().await;
        }
    }
}

async fn call_at(cx: Rc<Context>, stream: Stream, intended: Instant) {
    let mut last = Outcome::Refused("not sent".to_owned());
    for attempt in 0..=stream.retries {
        last = one(&cx, &stream, attempt as usize).await;
        if !matches!(last, Outcome::Refused(_)) {
            break;
        }
    }
    record(&cx, &stream, intended, &last);
}

fn record(cx: &Context, stream: &Stream, intended: Instant, outcome: &Outcome) {
    let measured = intended >= cx.start + cx.plan.warm;
    if measured {
        let latency = intended.elapsed() + cx.plan.client * 2;
        let mut results = cx.results.borrow_mut();
        results.record(stream.class, outcome, latency);
    }
}

async fn repeat(cx: Rc<Context>, position: usize, caller: usize) {
    let stream = cx.plan.loops[position].stream.clone();
    let end = cx.start + cx.plan.warm + cx.plan.duration;
    while Instant::now() < end {
        let intended = Instant::now();
        let outcome = one(&cx, &stream, caller).await;
        record(&cx, &stream, intended, &outcome);
        tokio::task::yield_now().await;
    }
}

async fn one(cx: &Context, stream: &Stream, attempt: usize) -> Outcome {
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
    let taken = cx.pool.borrow_mut().take(address);
    let mut connection = match taken {
        Some(connection) => connection,
        None => match client::open(address).await {
            Ok(connection) => connection,
            Err(_) => return Outcome::Refused("no connection".to_owned()),
        },
    };
    let req = request(cx, stream, call, &zone);
    let sent = client::send(&mut connection, req);
    let outcome = tokio::time::timeout(cx.plan.deadline, sent)
        .await
        .unwrap_or_else(|_| Outcome::Unknown("no answer in time".to_owned()));
    if !matches!(outcome, Outcome::Unknown(_)) {
        cx.pool.borrow_mut().give(address, connection);
    }
    cx.results.borrow_mut().told(stream.class, call, &outcome);
    outcome
}

fn request(cx: &Context, stream: &Stream, call: u64, zone: &str) -> Request<Full<Bytes>> {
    let mut req = Request::new(Full::new(Bytes::new()));
    *req.method_mut() = stream.class.method();
    *req.uri_mut() = http::Uri::from_static(stream.class.path());
    let headers = req.headers_mut();
    let mut put = |name: &'static str, value: &str| {
        if let Ok(value) = HeaderValue::from_str(value) {
            headers.insert(name, value);
        }
    };
    put(header::HOST.as_str(), &stream.host);
    put(WORK_HEADER, &stream.work_us.to_string());
    put(BYTES_HEADER, &stream.bytes.to_string());
    put(ZONE_HEADER, zone);
    put("x-deadline-ms", &cx.plan.deadline.as_millis().to_string());
    if stream.class == Class::Order {
        put(CALL_NUMBER_HEADER, &call.to_string());
    }
    req
}
