//! The configuration under store faults, concurrent changes and restarts.

use std::net::SocketAddr;

use http::Method;
use serde_json::{Value, json};
use standin::platform::Platform;
use testing::{
    HttpClient, HttpResponse, Instance, WAIT_LIMIT, basic_resources, eventually, request, service,
    start_instance, start_instance_with,
};

const CONFIG_KEY: &str = "/wagtailsaddle/config";
const DOCUMENT_PREFIX: &str = "/wagtailsaddle-documents/";

fn priority(name: &str, rank: u32) -> Value {
    json!({"kind": "Priority", "name": name, "spec": {"rank": rank}})
}

/// Revision in force on an instance.
async fn revision(http: &HttpClient, admin: SocketAddr) -> Option<u64> {
    let resp = http.get(admin, "admin.test", "/v1/resources").await.ok()?;
    resp.json()["revision"].as_u64()
}

async fn wait_for_revision(http: &HttpClient, instance: &Instance, expected: u64) {
    eventually("the revision is in force", || async {
        let current = revision(http, instance.addresses.admin).await?;
        (current == expected).then_some(())
    })
    .await;
}

/// Declares resources, retries until they are accepted, and returns their revision.
async fn declare(http: &HttpClient, instance: &Instance, resources: &[Value]) -> u64 {
    eventually("the resources are accepted", || async {
        let resp = http.apply(instance.addresses.admin, resources).await.ok()?;
        (resp.status == 200).then(|| resp.json()["revision"].as_u64())?
    })
    .await
}

async fn post(http: &HttpClient, instance: &Instance, body: &Value) -> HttpResponse {
    let admin = instance.addresses.admin;
    let req = request(
        Method::POST,
        admin,
        "admin.test",
        "/v1/resources",
        &body.to_string(),
    );
    http.send(req).await.expect("response")
}

async fn delete(http: &HttpClient, instance: &Instance, path: &str) -> HttpResponse {
    let admin = instance.addresses.admin;
    let req = request(Method::DELETE, admin, "admin.test", path, "");
    http.send(req).await.expect("response")
}

async fn get(http: &HttpClient, instance: &Instance, path: &str) -> HttpResponse {
    http.get(instance.addresses.admin, "admin.test", path)
        .await
        .expect("response")
}

async fn platform() -> Platform {
    Platform::start(&[]).await.expect("platform")
}

#[tokio::test(flavor = "multi_thread")]
async fn a_change_whose_store_response_is_lost_is_accepted_once() {
    let platform = platform().await;
    let one = start_instance(&platform, "one", "a");
    let http = HttpClient::new();
    let first = declare(&http, &one, &basic_resources(&["a"])).await;

    platform
        .store
        .faults
        .change(|faults| faults.lost_responses = 1);
    let body = json!({"expected": first, "resources": [priority("bulk", 3)]});
    let resp = post(&http, &one, &body).await;
    assert_eq!(resp.status, 200, "{}", resp.body);
    assert_eq!(resp.json()["revision"], first + 1);
    let stored = platform.store.value(CONFIG_KEY).expect("manifest");
    let stored: Value = serde_json::from_slice(&stored).expect("JSON");
    assert_eq!(stored["revision"], first + 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn concurrent_changes_to_one_revision_conflict() {
    let platform = platform().await;
    let one = start_instance(&platform, "one", "a");
    let two = start_instance(&platform, "two", "b");
    let http = HttpClient::new();
    let first = declare(&http, &one, &basic_resources(&["a"])).await;
    wait_for_revision(&http, &two, first).await;

    let change = |rank: u32| json!({"expected": first, "resources": [priority("bulk", rank)]});
    let (to_3, to_4) = (change(3), change(4));
    let (resp_3, resp_4) = tokio::join!(post(&http, &one, &to_3), post(&http, &two, &to_4));
    let mut statuses = [resp_3.status, resp_4.status];
    statuses.sort_unstable();
    assert_eq!(statuses, [200, 409], "{} {}", resp_3.body, resp_4.body);
    let (winning_rank, conflict) = if resp_3.status == 200 {
        (3, resp_4)
    } else {
        (4, resp_3)
    };
    let conflict = conflict.json();
    assert_eq!(conflict["current"], first + 1);
    assert_eq!(
        conflict["difference"][0]["current"]["spec"]["rank"],
        winning_rank
    );
    assert_eq!(
        conflict["difference"][0]["asked"]["spec"]["rank"],
        7 - winning_rank
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn stale_store_reads_do_not_revert_the_configuration() {
    let platform = platform().await;
    let one = start_instance(&platform, "one", "a");
    let http = HttpClient::new();
    let first = declare(&http, &one, &basic_resources(&["a"])).await;
    platform.store.freeze_reads();
    let second = post(&http, &one, &json!({"resources": [priority("bulk", 3)]})).await;
    assert_eq!(second.status, 200, "{}", second.body);

    let third = post(&http, &one, &json!({"resources": [priority("late", 4)]})).await;
    assert_eq!(third.status, 503, "{}", third.body);
    assert_eq!(revision(&http, one.addresses.admin).await, Some(first + 1));

    // The new instance reads stale data from the store and must not put it in force; it gets the
    // current revision from its peer.
    let new_instance = start_instance_with(
        &platform,
        "fresh",
        "a",
        &json!({"config": {"seeds": [one.addresses.peers]}}),
    );
    let mut seen = Vec::new();
    let start = std::time::Instant::now();
    while seen.last() != Some(&(first + 1)) && start.elapsed() < WAIT_LIMIT {
        let current = revision(&http, new_instance.addresses.admin).await;
        seen.extend(current);
    }
    seen.dedup();
    assert!(
        seen == [0, first + 1] || seen == [first + 1],
        "revisions of the new instance: {seen:?}"
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn a_new_instance_loads_the_configuration_from_peers_while_the_store_is_down() {
    let platform = platform().await;
    let one = start_instance(&platform, "one", "a");
    let http = HttpClient::new();
    let first = declare(&http, &one, &basic_resources(&["a"])).await;
    platform.store.faults.change(|faults| faults.down = true);

    let seeds = json!({"config": {"seeds": [one.addresses.peers]}});
    let new_instance = start_instance_with(&platform, "fresh", "a", &seeds);
    wait_for_revision(&http, &new_instance, first).await;
    assert_eq!(get(&http, &new_instance, "/readyz").await.status, 200);

    let unseeded = start_instance(&platform, "alone", "a");
    let resp = eventually("readiness names the store as the reason", || async {
        let resp = get(&http, &unseeded, "/readyz").await;
        resp.body.contains("store").then_some(resp)
    })
    .await;
    assert_eq!(resp.status, 503, "{}", resp.body);
    let resp = http
        .get(unseeded.addresses.callers, "certificates.test", "/")
        .await;
    let resp = resp.expect("response");
    assert_eq!(resp.status, 503, "{}", resp.body);
    assert_eq!(resp.json()["ran"], "no");
}

#[tokio::test(flavor = "multi_thread")]
async fn store_data_loss_and_a_restart_do_not_revert_the_configuration() {
    let platform = platform().await;
    let frequent_checks = json!({"config": {"check_period": "200ms"}});
    let one = start_instance_with(&platform, "one", "a", &frequent_checks);
    let http = HttpClient::new();
    let first = declare(&http, &one, &basic_resources(&["a"])).await;
    platform.store.lose_data();
    eventually("the configuration is restored in the store", || async {
        platform.store.value(CONFIG_KEY)
    })
    .await;
    drop(one);
    let restarted = start_instance_with(&platform, "one", "a", &frequent_checks);
    wait_for_revision(&http, &restarted, first).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_change_spreads_while_watches_are_silent() {
    let platform = platform().await;
    platform
        .store
        .faults
        .change(|faults| faults.silent_watches = true);
    let one = start_instance(&platform, "one", "a");
    let two = start_instance(&platform, "two", "b");
    let http = HttpClient::new();
    let first = declare(&http, &one, &basic_resources(&["a"])).await;
    wait_for_revision(&http, &two, first).await;
    let reads = platform.store.keys(DOCUMENT_PREFIX).len();
    assert_eq!(reads, 1, "the few resources are not in one document");
    let change = json!({"resources": [priority("bulk", 3)]});
    assert_eq!(post(&http, &two, &change).await.status, 200);
    wait_for_revision(&http, &one, first + 1).await;
    let resource = eventually("the change is in force everywhere", || async {
        let resource = get(&http, &one, "/v1/resources/Priority/bulk").await.json();
        (resource["status"]["in_force"] == json!({"on": 2, "of": 2})).then_some(resource)
    })
    .await;
    assert_eq!(resource["spec"]["rank"], 3);
    assert_eq!(resource["status"]["conditions"][0]["reason"], "Everywhere");
}

#[tokio::test(flavor = "multi_thread")]
async fn resources_are_listed_watched_and_deleted() {
    let platform = platform().await;
    let one = start_instance(&platform, "one", "a");
    let http = HttpClient::new();
    let mut resources = basic_resources(&["a"]);
    resources.push(service("certificates"));
    let first = declare(&http, &one, &resources).await;

    let listed = get(&http, &one, "/v1/resources/Service").await.json();
    assert_eq!(listed["resources"][0]["name"], "certificates");
    let all = get(&http, &one, "/v1/watch?from=0").await.json();
    assert_eq!(
        all["changed"].as_array().map(Vec::len),
        Some(resources.len())
    );

    let referenced = delete(&http, &one, "/v1/resources/Priority/normal").await;
    assert_eq!(referenced.status, 409, "{}", referenced.body);
    assert_eq!(
        referenced.json()["users"][0],
        "Service/certificates: spec.priority"
    );
    let zone = delete(&http, &one, "/v1/resources/AvailabilityZone/a").await;
    assert_eq!(zone.status, 409, "{}", zone.body);
    let missing = delete(&http, &one, "/v1/resources/Priority/none").await;
    assert_eq!(missing.status, 404);
    let path = format!("/v1/resources/Priority/idle?expected={first}");
    let deleted = delete(&http, &one, &path).await;
    assert_eq!(deleted.status, 200, "{}", deleted.body);
    let path = format!("/v1/watch?from={first}");
    let changes = get(&http, &one, &path).await.json();
    assert_eq!(changes["revision"], first + 1);
    assert_eq!(
        changes["deleted"],
        json!([{"kind": "Priority", "name": "idle"}])
    );
    assert_eq!(changes["changed"], json!([]));

    let dry_run = json!({"dry_run": true, "resources": [priority("bulk", 3)]});
    assert_eq!(post(&http, &one, &dry_run).await.status, 200);
    assert_eq!(revision(&http, one.addresses.admin).await, Some(first + 1));
    let invalid =
        json!({"resources": [{"kind": "Caller", "name": "x", "spec": {"key_sha256": "no"}}]});
    let invalid = post(&http, &one, &invalid).await;
    assert_eq!(invalid.status, 400);
    assert!(
        invalid.body.contains("Caller/x: spec.key_sha256"),
        "{}",
        invalid.body
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn a_new_instance_reads_many_documents_within_its_store_budget() {
    let platform = platform().await;
    let one = start_instance(&platform, "one", "a");
    let http = HttpClient::new();
    let priorities: Vec<Value> = (0..400)
        .map(|number| priority(&format!("number-{number}"), number % 200))
        .collect();
    let first = declare(&http, &one, &priorities).await;
    assert_eq!(platform.store.keys(DOCUMENT_PREFIX).len(), 32);
    drop(one);

    let small_budget = json!({
        "reads_per_second": 40.0,
        "writes_per_second": 100.0,
        "burst_seconds": 0.25,
    });
    let settings = json!({"platform": {"budget": small_budget}, "log": {"level": "error"}});
    let new_instance = start_instance_with(&platform, "fresh", "a", &settings);
    wait_for_revision(&http, &new_instance, first).await;
}
