//! Calls with an idempotency key through two instances, with store and target faults.

use http::Method;
use serde_json::json;
use standin::faults::ResponseFault;
use standin::platform::Platform;
use testing::{
    HttpClient, HttpResponse, Instance, basic_resources, eventually, group, request, service,
    start_instance_with,
};

struct Fixture {
    platform: Platform,
    instances: [Instance; 2],
    http: HttpClient,
}

/// Starts two instances with two targets of the service `orders` and waits until calls are served.
async fn fixture() -> Fixture {
    let platform = Platform::start(&[group("orders", "a", 2)])
        .await
        .expect("platform");
    let instances =
        ["one", "two"].map(|name| start_instance_with(&platform, name, "a", &json!({})));
    let http = HttpClient::new();
    let mut resources = basic_resources(&["a"]);
    resources.push(service("orders"));
    http.declare(instances[0].addresses.admin, &resources).await;
    for instance in &instances {
        eventually("calls are served and both members are known", || async {
            let dump = http.dump(instance.addresses.admin).await;
            let members = dump["members"].as_array()?.len();
            let callers = instance.addresses.callers;
            let resp = http.get(callers, "orders.test", "/").await.ok()?;
            (members == 2 && resp.status == 200).then_some(())
        })
        .await;
    }
    Fixture {
        platform,
        instances,
        http,
    }
}

impl Fixture {
    /// Sends a POST request with `key` as its idempotency key and request id.
    async fn order(&self, instance: usize, key: &str, path: &str) -> HttpResponse {
        let callers = self.instances[instance].addresses.callers;
        let mut req = request(Method::POST, callers, "orders.test", path, "one clock");
        let headers = req.headers_mut();
        headers.insert("idempotency-key", key.parse().expect("key"));
        headers.insert("x-request-id", key.parse().expect("identifier"));
        self.http.send(req).await.expect("a response")
    }

    /// How often all targets together ran the request with this id.
    fn runs(&self, key: &str) -> u32 {
        let targets = &self.platform.targets;
        targets
            .iter()
            .map(|target| target.record.runs_of(key))
            .sum()
    }

    /// Sets the fault of every target.
    fn set_fault(&self, fault: ResponseFault) {
        for target in &self.platform.targets {
            target.faults.change(|faults| faults.response = fault);
        }
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_resend_through_any_instance_gets_the_recorded_response() {
    let fixture = fixture().await;
    for number in 0..8 {
        let key = format!("order-{number}");
        let first = fixture.order(number % 2, &key, "/order").await;
        assert_eq!(first.status, 200, "{first:?}");
        let second = eventually("the response is recorded", || async {
            let second = fixture.order((number + 1) % 2, &key, "/order").await;
            (second.status == 200).then_some(second)
        })
        .await;
        assert_eq!(second.body, first.body);
        assert_eq!(
            second.head.headers["wagtailsaddle-outcome"],
            "recorded; ran=yes"
        );
        assert_eq!(fixture.runs(&key), 1);
    }
    let other = fixture.order(0, "order-0", "/other").await;
    assert_eq!(other.json()["title"], "key_reused");
    assert_eq!(fixture.runs("order-0"), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn concurrent_sends_of_one_key_run_once() {
    let fixture = fixture().await;
    let requests = (0..10).map(|number| fixture.order(number % 2, "beside", "/order?work_ms=200"));
    let responses = futures_util::future::join_all(requests).await;
    assert_eq!(fixture.runs("beside"), 1);
    let succeeded = responses.iter().filter(|resp| resp.status == 200).count();
    assert_eq!(succeeded, 1, "{responses:?}");
    for resp in responses.iter().filter(|resp| resp.status != 200) {
        assert_eq!(resp.json()["title"], "already_accepted");
        assert_eq!(resp.json()["ran"], "unknown");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn keyed_calls_are_refused_as_not_run_while_the_store_is_down() {
    let fixture = fixture().await;
    fixture
        .platform
        .store
        .faults
        .change(|faults| faults.down = true);
    for instance in 0..2 {
        let resp = fixture.order(instance, "down", "/order").await;
        assert_eq!(resp.json()["title"], "record_unavailable");
        assert_eq!(resp.json()["ran"], "no");
        assert!(resp.head.headers.contains_key("retry-after"));
    }
    assert_eq!(fixture.runs("down"), 0);
    fixture
        .platform
        .store
        .faults
        .change(|faults| faults.down = false);
    let resp = eventually("the order is accepted", || async {
        let resp = fixture.order(0, "down", "/order").await;
        (resp.status == 200).then_some(resp)
    })
    .await;
    assert!(resp.body.contains("ran down"));
    assert_eq!(fixture.runs("down"), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_lost_store_response_neither_loses_nor_duplicates_an_order() {
    let fixture = fixture().await;
    for number in 0..4 {
        let key = format!("lost-{number}");
        fixture
            .platform
            .store
            .faults
            .change(|faults| faults.lost_responses = 3);
        let resp = eventually("the order is accepted", || async {
            let resp = fixture.order(number % 2, &key, "/order").await;
            assert!(resp.status == 200 || resp.json()["ran"] == "no", "{resp:?}");
            (resp.status == 200).then_some(resp)
        })
        .await;
        assert!(resp.body.contains(&format!("ran {key} ")), "{resp:?}");
        assert_eq!(fixture.runs(&key), 1);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_key_is_freed_when_its_call_did_not_run_and_kept_when_the_outcome_is_unknown() {
    let fixture = fixture().await;
    fixture.set_fault(ResponseFault::Shed);
    let resp = fixture.order(0, "shed", "/order").await;
    assert_eq!(resp.json()["title"], "target_shed");
    fixture.set_fault(ResponseFault::None);
    assert_eq!(fixture.order(1, "shed", "/order").await.status, 200);
    assert_eq!(fixture.runs("shed"), 1);

    fixture.set_fault(ResponseFault::ResetBeforeFirstByte);
    let resp = fixture.order(0, "reset", "/order").await;
    assert_eq!(resp.json()["ran"], "unknown");
    fixture.set_fault(ResponseFault::None);
    let resp = fixture.order(1, "reset", "/order").await;
    assert_eq!(resp.json()["title"], "already_accepted");
    assert_eq!(fixture.runs("reset"), 1);
}
