//! Addresses and weights that `/v1/addresses` returns.

use serde_json::Value;
use standin::platform::Platform;
use testing::{
    HttpClient, basic_resources, eventually, group, service, start_instance, wait_for_claims,
};

#[tokio::test(flavor = "multi_thread")]
async fn addresses_prefer_owners_in_the_callers_zone_and_weigh_free_slots() {
    let groups = [group("orders", "a", 2), group("orders", "b", 1)];
    let platform = Platform::start(&groups).await.expect("platform");
    let instances = [("one", "a"), ("two", "b"), ("three", "c")]
        .map(|(name, zone)| start_instance(&platform, name, zone));
    let http = HttpClient::new();
    let mut resources = basic_resources(&["a", "b"]);
    resources.push(service("orders"));
    http.declare(instances[0].addresses.admin, &resources).await;
    wait_for_claims(&http, &instances[0], 2).await;

    // Each target has six slots, of which a fifth is reserved for urgent calls.
    let expected = [("one", 9), ("two", 1), ("three", 0)];
    eventually("the owners' free slots are known", || async {
        let current = weighted_addresses(&http, instances[0].addresses.callers, "a").await?;
        (current == expected.map(|(name, weight)| (name.to_owned(), weight))).then_some(())
    })
    .await;
    let from_b = weighted_addresses(&http, instances[0].addresses.callers, "b").await;
    assert_eq!(from_b.expect("response")[0].0, "two");
}

/// Instances and weights that `/v1/addresses` returns for a zone.
async fn weighted_addresses(
    http: &HttpClient,
    at: std::net::SocketAddr,
    zone: &str,
) -> Option<Vec<(String, u64)>> {
    let path = format!("/v1/addresses?service=orders&zone={zone}");
    let resp = http.get(at, "any.test", &path).await.ok()?.json();
    let address = |address: &Value| {
        let name = address["instance"].as_str()?.to_owned();
        Some((name, address["weight"].as_u64()?))
    };
    resp["addresses"].as_array()?.iter().map(address).collect()
}
