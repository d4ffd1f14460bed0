//! Rate of store calls that membership makes, counted at the stand-in store.

use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use serde_json::json;
use standin::platform::Platform;
use testing::{
    HttpClient, Instance, basic_resources, eventually, group, service, start_instance_with,
};

/// Number of instances; the environment variable `INSTANCES` overrides it.
const INSTANCES: usize = 4;
/// Time during which store calls are counted.
const MEASURING_TIME: Duration = Duration::from_secs(8);
/// Store calls per second and instance; a call at every heartbeat would be two or more.
const MAX_CALL_RATE: f64 = 1.8;

/// Store calls so far, of all kinds.
fn calls(platform: &Platform) -> u64 {
    let calls = &platform.store.calls;
    let kinds = [&calls.reads, &calls.writes, &calls.leases, &calls.watches];
    kinds.iter().map(|kind| kind.load(Ordering::Relaxed)).sum()
}

#[tokio::test(flavor = "multi_thread")]
async fn heartbeats_do_not_each_cause_a_store_call() {
    let count = std::env::var("INSTANCES").map_or(INSTANCES, |n| n.parse().expect("a number"));
    let groups = ["a", "b"].map(|zone| group("orders", zone, 1));
    let platform = Platform::start(&groups).await.expect("platform");
    let overrides = json!({"membership": {"lease": "5s", "heartbeat": "500ms"}});
    let instances: Vec<Instance> = (0..count)
        .map(|number| {
            start_instance_with(
                &platform,
                &format!("i{number}"),
                ["a", "b"][number % 2],
                &overrides,
            )
        })
        .collect();
    let http = HttpClient::new();
    let mut resources = basic_resources(&["a", "b"]);
    resources.push(service("orders"));
    http.declare(instances[0].addresses.admin, &resources).await;
    let others = count - 1;
    eventually("every claim names its whole electorate", || async {
        let dump = http.dump(instances[0].addresses.admin).await;
        let claims = dump["claims"].as_array()?;
        let is_complete = |claim: &serde_json::Value| {
            claim["electorate"]
                .as_array()
                .is_some_and(|e| e.len() == others)
        };
        (claims.len() == 2 && claims.iter().all(is_complete)).then_some(())
    })
    .await;

    let (before, start) = (calls(&platform), Instant::now());
    tokio::time::sleep(MEASURING_TIME).await;
    let calls_made = u32::try_from(calls(&platform) - before).expect("few calls");
    let instances = u32::try_from(count).expect("few instances");
    let rate = f64::from(calls_made) / start.elapsed().as_secs_f64() / f64::from(instances);
    eprintln!("{count} instances: {rate:.2} store calls per second and instance");
    assert!(
        rate > 0.0 && rate <= MAX_CALL_RATE,
        "{rate} store calls per second and instance"
    );
}
