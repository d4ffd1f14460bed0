//! Probes of targets for their health and load.

use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use standin::faults::Health;
use standin::platform::Platform;
use testing::{
    HttpClient, basic_resources, eventually, group, service, start_instance, wait_for_claims,
};

#[tokio::test(flavor = "multi_thread")]
async fn only_the_owner_probes_and_within_the_budget() {
    let platform = Platform::start(&[group("orders", "a", 3)])
        .await
        .expect("platform");
    let instances = [("one", "a"), ("two", "b"), ("three", "c")]
        .map(|(name, zone)| start_instance(&platform, name, zone));
    let start_time = Instant::now();
    let http = HttpClient::new();
    let mut resources = basic_resources(&["a"]);
    resources.push(service("orders"));
    http.declare(instances[0].addresses.admin, &resources).await;
    wait_for_claims(&http, &instances[0], 1).await;
    let probes_sent = || {
        platform
            .targets
            .iter()
            .map(|t| t.record.probes.load(Ordering::Relaxed))
    };
    eventually("each target is probed again", || async {
        probes_sent().all(|probes| probes >= 4).then_some(())
    })
    .await;
    let took = start_time.elapsed().as_secs_f64();
    for probes in probes_sent() {
        // Two probes at once, then 0.4 a second, from one owner.
        assert!(
            f64::from(probes) <= 2.0 + 0.4 * took,
            "{probes} in {took} s"
        );
        println!("{probes} probes of a target in {took:.1} s, three instances");
    }

    // The load that responses to calls report replaces probes.
    let before: Vec<_> = probes_sent().collect();
    let until = Instant::now() + Duration::from_secs(6);
    while Instant::now() < until {
        let resp = http
            .get(instances[0].addresses.callers, "orders.test", "/")
            .await;
        assert_eq!(resp.expect("response").status, 200);
    }
    let after: Vec<_> = probes_sent().collect();
    assert_eq!(
        before, after,
        "targets were probed although calls report their load"
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn a_target_that_reports_draining_gets_no_calls() {
    let platform = Platform::start(&[group("orders", "a", 2)])
        .await
        .expect("platform");
    platform.targets[0]
        .faults
        .change(|faults| faults.reported_health = Some(Health::Draining));
    let instance = start_instance(&platform, "one", "a");
    let http = HttpClient::new();
    let mut resources = basic_resources(&["a"]);
    resources.push(service("orders"));
    http.declare(instance.addresses.admin, &resources).await;
    eventually("the targets are probed", || async {
        let probes_sent =
            |t: &standin::target::TargetStandin| t.record.probes.load(Ordering::Relaxed);
        platform
            .targets
            .iter()
            .all(|t| probes_sent(t) >= 2)
            .then_some(())
    })
    .await;
    eventually("calls are served", || async {
        let resp = http
            .get(instance.addresses.callers, "orders.test", "/")
            .await
            .ok()?;
        (resp.status == 200).then_some(())
    })
    .await;
    let runs = |at: usize| platform.targets[at].record.runs.get().values().sum::<u32>();
    let before = runs(0);
    for _ in 0..20 {
        let resp = http
            .get(instance.addresses.callers, "orders.test", "/")
            .await;
        assert_eq!(resp.expect("response").status, 200);
    }
    assert_eq!(runs(0), before, "a draining target got calls");
}
