//! Calls with an idempotency key, through two instances and a failing store.

mod common;

use common::{Answer, Http, Instance, basics, eventually, group, request, service, start_with};
use http::Method;
use serde_json::json;
use standin::faults::ResponseFault;
use standin::platform::Platform;

struct Scene {
    platform: Platform,
    instances: [Instance; 2],
    http: Http,
}

async fn scene() -> Scene {
    let platform = Platform::start(&[group("orders", "a", 2)])
        .await
        .expect("platform");
    let instances = ["one", "two"].map(|name| start_with(&platform, name, "a", &json!({})));
    let http = Http::new();
    let mut resources = basics(&["a"]);
    resources.push(service("orders"));
    http.declare(instances[0].addresses.admin, &resources).await;
    for instance in &instances {
        eventually("calls are served and members known", || async {
            let dump = http.dump(instance.addresses.admin).await;
            let members = dump["members"].as_array()?.len();
            let callers = instance.addresses.callers;
            let answer = http.get(callers, "orders.test", "/").await.ok()?;
            (members == 2 && answer.status == 200).then_some(())
        })
        .await;
    }
    Scene {
        platform,
        instances,
        http,
    }
}

impl Scene {
    async fn order(&self, instance: usize, key: &str, path: &str) -> Answer {
        let callers = self.instances[instance].addresses.callers;
        let mut req = request(Method::POST, callers, "orders.test", path, "one clock");
        let headers = req.headers_mut();
        headers.insert("idempotency-key", key.parse().expect("key"));
        headers.insert("x-request-id", key.parse().expect("identifier"));
        self.http.send(req).await.expect("an answer")
    }

    fn runs(&self, key: &str) -> u32 {
        let targets = &self.platform.targets;
        targets
            .iter()
            .map(|target| target.record.runs_of(key))
            .sum()
    }

    fn fault(&self, fault: ResponseFault) {
        for target in &self.platform.targets {
            target.faults.change(|faults| faults.response = fault);
        }
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_second_send_through_any_instance_gets_the_first_ones_answer() {
    let scene = scene().await;
    for number in 0..8 {
        let key = format!("order-{number}");
        let first = scene.order(number % 2, &key, "/order").await;
        assert_eq!(first.status, 200, "{first:?}");
        let second = eventually("the answer is recorded", || async {
            let second = scene.order((number + 1) % 2, &key, "/order").await;
            (second.status == 200).then_some(second)
        })
        .await;
        assert_eq!(second.body, first.body);
        assert_eq!(
            second.head.headers["wagtailsaddle-outcome"],
            "recorded; ran=yes"
        );
        assert_eq!(scene.runs(&key), 1);
    }
    let other = scene.order(0, "order-0", "/other").await;
    assert_eq!(other.json()["title"], "key_reused");
    assert_eq!(scene.runs("order-0"), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn sends_beside_each_other_run_once() {
    let scene = scene().await;
    let sends = (0..10).map(|number| scene.order(number % 2, "beside", "/order?work_ms=200"));
    let answers = futures_util::future::join_all(sends).await;
    assert_eq!(scene.runs("beside"), 1);
    let answered = answers.iter().filter(|answer| answer.status == 200).count();
    assert_eq!(answered, 1, "{answers:?}");
    for answer in answers.iter().filter(|answer| answer.status != 200) {
        assert_eq!(answer.json()["title"], "already_accepted");
        assert_eq!(answer.json()["ran"], "unknown");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn without_the_store_a_keyed_call_is_refused_as_not_run() {
    let scene = scene().await;
    scene
        .platform
        .store
        .faults
        .change(|faults| faults.down = true);
    for instance in 0..2 {
        let answer = scene.order(instance, "down", "/order").await;
        assert_eq!(answer.json()["title"], "record_unavailable");
        assert_eq!(answer.json()["ran"], "no");
        assert!(answer.head.headers.contains_key("retry-after"));
    }
    assert_eq!(scene.runs("down"), 0);
    scene
        .platform
        .store
        .faults
        .change(|faults| faults.down = false);
    let answer = eventually("the order is taken", || async {
        let answer = scene.order(0, "down", "/order").await;
        (answer.status == 200).then_some(answer)
    })
    .await;
    assert!(answer.body.contains("ran down"));
    assert_eq!(scene.runs("down"), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_lost_answer_of_the_store_loses_and_doubles_no_order() {
    let scene = scene().await;
    for number in 0..4 {
        let key = format!("lost-{number}");
        scene
            .platform
            .store
            .faults
            .change(|faults| faults.lost_responses = 3);
        let answer = eventually("the order is taken", || async {
            let answer = scene.order(number % 2, &key, "/order").await;
            assert!(
                answer.status == 200 || answer.json()["ran"] == "no",
                "{answer:?}"
            );
            (answer.status == 200).then_some(answer)
        })
        .await;
        assert!(answer.body.contains(&format!("ran {key} ")), "{answer:?}");
        assert_eq!(scene.runs(&key), 1);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_key_is_free_after_a_call_that_was_not_run_and_held_after_an_unknown_one() {
    let scene = scene().await;
    scene.fault(ResponseFault::Shed);
    let answer = scene.order(0, "shed", "/order").await;
    assert_eq!(answer.json()["title"], "target_shed");
    scene.fault(ResponseFault::None);
    assert_eq!(scene.order(1, "shed", "/order").await.status, 200);
    assert_eq!(scene.runs("shed"), 1);

    scene.fault(ResponseFault::ResetBeforeFirstByte);
    let answer = scene.order(0, "reset", "/order").await;
    assert_eq!(answer.json()["ran"], "unknown");
    scene.fault(ResponseFault::None);
    let answer = scene.order(1, "reset", "/order").await;
    assert_eq!(answer.json()["title"], "already_accepted");
    assert_eq!(scene.runs("reset"), 1);
}
