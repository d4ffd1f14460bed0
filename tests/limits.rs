//! Limits of a client account across several instances.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use http::Method;
use serde_json::{Value, json};
use standin::platform::{Platform, TargetGroup};
use testing::{
    HttpClient, HttpResponse, Instance, basic_resources, eventually, request, start_instance,
    wait_for_claims,
};

const HOST: &str = "reports.test";
/// SHA-256 of `key-of-lab`.
const LAB_KEY_SHA256: &str = "eb3a551c1ff7900601cebcf70c26cae3c23b4df50263fc52b425ca4a0c26b261";

/// Starts three instances and one target, with the caller `lab` limited by `limits`.
async fn start(limits: &Value) -> (Platform, Vec<Instance>, HttpClient) {
    let group = TargetGroup {
        service: "reports".to_owned(),
        zone: "a".to_owned(),
        count: 1,
        work: Duration::from_millis(20),
    };
    let platform = Platform::start(&[group]).await.expect("platform");
    let instances: Vec<_> = [("one", "a"), ("two", "b"), ("three", "c")]
        .map(|(name, zone)| start_instance(&platform, name, zone))
        .into();
    let http = HttpClient::new();
    let mut spec = limits.clone();
    spec["key_sha256"] = json!(LAB_KEY_SHA256);
    let mut resources = basic_resources(&["a"]);
    resources.push(json!({"kind": "Caller", "name": "lab", "spec": spec}));
    // One target counts all calls; only the caller's limit restricts them.
    let mut reports = testing::service("reports");
    reports["spec"]["target"]["slots"] = json!(100);
    reports["spec"]["urgent_reserve_percent"] = json!(0);
    resources.push(reports);
    http.declare(instances[0].addresses.admin, &resources).await;
    for instance in &instances {
        wait_for_claims(&http, instance, 1).await;
        eventually("calls without a key are served", || async {
            let resp = http.get(instance.addresses.callers, HOST, "/").await.ok()?;
            (resp.status == 200).then_some(())
        })
        .await;
    }
    (platform, instances, http)
}

/// Sends one request with the key of the caller `lab`.
async fn call(http: &HttpClient, instance: std::net::SocketAddr) -> HttpResponse {
    let mut req = request(Method::GET, instance, HOST, "/", "");
    let key = "key-of-lab".parse().expect("header value");
    req.headers_mut().insert("x-api-key", key);
    http.send(req).await.expect("response")
}

/// Calls without a pause until `stop` is set; returns the number of served calls and the refusals.
async fn tight_loop(
    address: std::net::SocketAddr,
    stop: Arc<AtomicBool>,
) -> (u32, Vec<HttpResponse>) {
    let http = HttpClient::new();
    let (mut served, mut refused) = (0, Vec::new());
    while !stop.load(Ordering::Relaxed) {
        let resp = call(&http, address).await;
        match resp.status {
            200 => served += 1,
            _ => refused.push(resp),
        }
    }
    (served, refused)
}

/// Runs `loops` clients, spread over the instances, for `time`.
async fn run(instances: &[Instance], loops: usize, time: Duration) -> (u32, Vec<HttpResponse>) {
    let stop = Arc::new(AtomicBool::new(false));
    let clients: Vec<_> = (0..loops)
        .map(|number| {
            let address = instances[number % instances.len()].addresses.callers;
            tokio::spawn(tight_loop(address, Arc::clone(&stop)))
        })
        .collect();
    tokio::time::sleep(time).await;
    stop.store(true, Ordering::Relaxed);
    let (mut served, mut refused) = (0, Vec::new());
    for client in clients {
        let (client_served, client_refused) = client.await.expect("client");
        served += client_served;
        refused.extend(client_refused);
    }
    (served, refused)
}

#[tokio::test(flavor = "multi_thread")]
async fn the_rate_limit_holds_across_instances() {
    let (_platform, instances, _http) = start(&json!({"calls_per_second": 30})).await;
    let start_time = Instant::now();
    let (served, refused) = run(&instances, 6, Duration::from_secs(4)).await;
    let took = start_time.elapsed().as_secs_f64();
    println!(
        "{served} calls served in {took:.2} s, {} refused",
        refused.len()
    );
    // The rate for the time that passed, plus twice a burst of a quarter of a second and one call
    // for each instance, because the shares may be allocated again once.
    let limit = 30.0 * took + 2.0 * (30.0 / 4.0 + 3.0);
    assert!(f64::from(served) <= limit, "{served} calls in {took} s");
    assert!(served >= 30, "{served} calls in {took} s");
    for resp in refused {
        assert_eq!(resp.status, 429, "{}", resp.body);
        assert_eq!(resp.json()["ran"], "no");
        let retry_after = resp.head.headers.get("retry-after");
        let retry_after = retry_after.and_then(|v| v.to_str().ok()?.parse::<u64>().ok());
        assert!(
            retry_after.is_some_and(|secs| (1..=32).contains(&secs)),
            "{retry_after:?}"
        );
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn the_in_flight_limit_holds_across_instances() {
    let (platform, instances, _http) = start(&json!({"in_flight": 4})).await;
    let peak = || platform.targets[0].record.peak.load(Ordering::Relaxed);
    // Longer than a new quota coordinator allocates equal shares only.
    let (served, _) = run(&instances, 12, Duration::from_secs(6)).await;
    assert!(served > 20, "{served} calls");
    println!("{served} calls served, at most {} at a time", peak());
    assert!(peak() <= 4, "{} calls at a time, limit 4", peak());
}

#[tokio::test(flavor = "multi_thread")]
async fn the_rate_limit_holds_after_an_instance_is_killed() {
    let (_platform, mut instances, _http) = start(&json!({"calls_per_second": 30})).await;
    run(&instances, 6, Duration::from_secs(1)).await;
    let killed = instances.pop().expect("instance");
    drop(killed);
    let start_time = Instant::now();
    let (served, _) = run(&instances, 4, Duration::from_secs(4)).await;
    let took = start_time.elapsed().as_secs_f64();
    println!("{served} calls served in {took:.2} s after an instance was killed");
    // Twice the limit during the TTL of the shares, two seconds, as documented.
    let limit = 30.0 * (took + 2.0) + 2.0 * (30.0 / 4.0 + 3.0);
    assert!(f64::from(served) <= limit, "{served} calls in {took} s");
}
