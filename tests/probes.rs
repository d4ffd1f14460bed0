//! Questions to targets for their health and load.

mod common;

use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use common::{Http, basics, eventually, group, service, start_instance, wait_for_claims};
use standin::faults::Health;
use standin::platform::Platform;

#[tokio::test(flavor = "multi_thread")]
async fn only_the_owner_asks_and_within_the_budget() {
    let platform = Platform::start(&[group("orders", "a", 3)])
        .await
        .expect("platform");
    let instances = [("one", "a"), ("two", "b"), ("three", "c")]
        .map(|(name, zone)| start_instance(&platform, name, zone));
    let began = Instant::now();
    let http = Http::new();
    let mut resources = basics(&["a"]);
    resources.push(service("orders"));
    http.declare(instances[0].addresses.admin, &resources).await;
    wait_for_claims(&http, &instances[0], 1).await;
    let asked = || {
        platform
            .targets
            .iter()
            .map(|t| t.record.probes.load(Ordering::Relaxed))
    };
    eventually("each target is asked again", || async {
        asked().all(|probes| probes >= 4).then_some(())
    })
    .await;
    let took = began.elapsed().as_secs_f64();
    for probes in asked() {
        // A look of two questions at once, then 0.4 a second, from one owner.
        assert!(
            f64::from(probes) <= 2.0 + 0.4 * took,
            "{probes} in {took} s"
        );
        println!("{probes} questions to a target in {took:.1} s, three instances");
    }

    // What calls tell takes the place of questions.
    let before: Vec<_> = asked().collect();
    let until = Instant::now() + Duration::from_secs(6);
    while Instant::now() < until {
        let answer = http
            .get(instances[0].addresses.callers, "orders.test", "/")
            .await;
        assert_eq!(answer.expect("answer").status, 200);
    }
    let after: Vec<_> = asked().collect();
    assert_eq!(before, after, "questions about targets that calls tell of");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_target_that_says_it_drains_gets_no_work() {
    let platform = Platform::start(&[group("orders", "a", 2)])
        .await
        .expect("platform");
    platform.targets[0]
        .faults
        .change(|faults| faults.reported_health = Some(Health::Draining));
    let instance = start_instance(&platform, "one", "a");
    let http = Http::new();
    let mut resources = basics(&["a"]);
    resources.push(service("orders"));
    http.declare(instance.addresses.admin, &resources).await;
    eventually("the targets are asked", || async {
        let asked = |t: &standin::target::TargetStandin| t.record.probes.load(Ordering::Relaxed);
        platform.targets.iter().all(|t| asked(t) >= 2).then_some(())
    })
    .await;
    eventually("calls are served", || async {
        let answer = http
            .get(instance.addresses.callers, "orders.test", "/")
            .await
            .ok()?;
        (answer.status == 200).then_some(())
    })
    .await;
    let runs = |at: usize| platform.targets[at].record.runs.get().values().sum::<u32>();
    let before = runs(0);
    for _ in 0..20 {
        let answer = http
            .get(instance.addresses.callers, "orders.test", "/")
            .await;
        assert_eq!(answer.expect("answer").status, 200);
    }
    assert_eq!(runs(0), before, "work to a target that drains");
}
