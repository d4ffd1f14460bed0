//! One call served end to end through two instances as real processes.

use standin::platform::Platform;
use testing::{
    HttpClient, basic_resources, eventually, group, service, start_instance, wait_for_claims,
};

#[tokio::test(flavor = "multi_thread")]
async fn a_caller_gets_its_own_response_through_the_owner() {
    let groups = [group("certificates", "a", 2), group("certificates", "b", 1)];
    let platform = Platform::start(&groups).await.expect("platform");
    let first = start_instance(&platform, "one", "a");
    let second = start_instance(&platform, "two", "b");
    let http = HttpClient::new();

    let mut resources = basic_resources(&["a", "b"]);
    resources.push(service("certificates"));
    http.declare(first.addresses.admin, &resources).await;
    wait_for_claims(&http, &first, 2).await;
    wait_for_claims(&http, &second, 2).await;

    // The first instance may claim both shards; zone a's shard then moves to an owner in its zone.
    let path = "/v1/addresses?service=certificates&zone=a";
    let resp = eventually("zone a's shard is owned in zone a", || async {
        let resp = http.get(second.addresses.callers, "any.test", path).await;
        let resp = resp.ok()?.json();
        (resp["addresses"][0]["instance"] == "one").then_some(resp)
    })
    .await;
    let address = resp["addresses"][0]["callers"].as_str().expect("address");
    let address = address.parse().expect("socket address");

    for (number, instance) in [address, second.addresses.callers].into_iter().enumerate() {
        let path = format!("/status/{number}");
        let resp = eventually("the call is served", || async {
            let resp = http.get(instance, "certificates.test", &path).await.ok()?;
            (resp.status == 200).then_some(resp)
        })
        .await;
        assert!(
            resp.body.contains(&path),
            "response of another call: {}",
            resp.body
        );
    }

    let unknown = http
        .get(address, "nobody.test", "/")
        .await
        .expect("response");
    assert_eq!(unknown.status, 404);
    assert_eq!(unknown.json()["ran"], "no");
}
