//! The configuration through faults of the store, races of operators and restarts.

mod common;

use std::net::SocketAddr;

use common::{
    Answer, Http, Instance, PATIENCE, basics, eventually, request, service, start_instance,
    start_with,
};
use http::Method;
use serde_json::{Value, json};
use standin::platform::Platform;

const CONFIG_KEY: &str = "/wagtailsaddle/config";
const DOCUMENT_PREFIX: &str = "/wagtailsaddle-documents/";

fn priority(name: &str, rank: u32) -> Value {
    json!({"kind": "Priority", "name": name, "spec": {"rank": rank}})
}

async fn revision(http: &Http, admin: SocketAddr) -> Option<u64> {
    let answer = http.get(admin, "admin.test", "/v1/resources").await.ok()?;
    answer.json()["revision"].as_u64()
}

async fn wait_for_revision(http: &Http, instance: &Instance, wanted: u64) {
    eventually("the revision is in force", || async {
        let found = revision(http, instance.addresses.admin).await?;
        (found == wanted).then_some(())
    })
    .await;
}

/// Declares resources until they are accepted; the first change of a test.
async fn declare(http: &Http, instance: &Instance, resources: &[Value]) -> u64 {
    eventually("the resources are accepted", || async {
        let answer = http.apply(instance.addresses.admin, resources).await.ok()?;
        (answer.status == 200).then(|| answer.json()["revision"].as_u64())?
    })
    .await
}

async fn post(http: &Http, instance: &Instance, body: &Value) -> Answer {
    let admin = instance.addresses.admin;
    let req = request(
        Method::POST,
        admin,
        "admin.test",
        "/v1/resources",
        &body.to_string(),
    );
    http.send(req).await.expect("answer")
}

async fn delete(http: &Http, instance: &Instance, path: &str) -> Answer {
    let admin = instance.addresses.admin;
    let req = request(Method::DELETE, admin, "admin.test", path, "");
    http.send(req).await.expect("answer")
}

async fn get(http: &Http, instance: &Instance, path: &str) -> Answer {
    http.get(instance.addresses.admin, "admin.test", path)
        .await
        .expect("answer")
}

async fn platform() -> Platform {
    Platform::start(&[]).await.expect("platform")
}

#[tokio::test(flavor = "multi_thread")]
async fn a_lost_answer_is_settled_and_accepted_once() {
    let platform = platform().await;
    let one = start_instance(&platform, "one", "a");
    let http = Http::new();
    let first = declare(&http, &one, &basics(&["a"])).await;

    platform
        .store
        .faults
        .change(|faults| faults.lost_responses = 1);
    let body = json!({"expected": first, "resources": [priority("bulk", 3)]});
    let answer = post(&http, &one, &body).await;
    assert_eq!(answer.status, 200, "{}", answer.body);
    assert_eq!(answer.json()["revision"], first + 1);
    let stored = platform.store.value(CONFIG_KEY).expect("manifest");
    let stored: Value = serde_json::from_slice(&stored).expect("JSON");
    assert_eq!(stored["revision"], first + 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn racing_operators_never_overwrite_silently() {
    let platform = platform().await;
    let one = start_instance(&platform, "one", "a");
    let two = start_instance(&platform, "two", "b");
    let http = Http::new();
    let first = declare(&http, &one, &basics(&["a"])).await;
    wait_for_revision(&http, &two, first).await;

    let change = |rank: u32| json!({"expected": first, "resources": [priority("bulk", rank)]});
    let (mine, theirs) = (change(3), change(4));
    let (mine, theirs) = tokio::join!(post(&http, &one, &mine), post(&http, &two, &theirs));
    let mut statuses = [mine.status, theirs.status];
    statuses.sort_unstable();
    assert_eq!(statuses, [200, 409], "{} {}", mine.body, theirs.body);
    let (won, lost) = if mine.status == 200 {
        (3, theirs)
    } else {
        (4, mine)
    };
    let lost = lost.json();
    assert_eq!(lost["current"], first + 1);
    assert_eq!(lost["difference"][0]["current"]["spec"]["rank"], won);
    assert_eq!(lost["difference"][0]["asked"]["spec"]["rank"], 7 - won);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_store_that_shows_old_data_reverts_nothing() {
    let platform = platform().await;
    let one = start_instance(&platform, "one", "a");
    let http = Http::new();
    let first = declare(&http, &one, &basics(&["a"])).await;
    platform.store.freeze_reads();
    let second = post(&http, &one, &json!({"resources": [priority("bulk", 3)]})).await;
    assert_eq!(second.status, 200, "{}", second.body);

    let third = post(&http, &one, &json!({"resources": [priority("late", 4)]})).await;
    assert_eq!(third.status, 503, "{}", third.body);
    assert_eq!(revision(&http, one.addresses.admin).await, Some(first + 1));

    // A fresh instance reads old data and must not serve it; its peer tells it.
    let fresh = start_with(
        &platform,
        "fresh",
        "a",
        &json!({"config": {"seeds": [one.addresses.peers]}}),
    );
    let mut seen = Vec::new();
    let start = std::time::Instant::now();
    while seen.last() != Some(&(first + 1)) && start.elapsed() < PATIENCE {
        let found = revision(&http, fresh.addresses.admin).await;
        seen.extend(found);
    }
    seen.dedup();
    assert!(
        seen == [0, first + 1] || seen == [first + 1],
        "revisions of the fresh instance: {seen:?}"
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn a_fresh_instance_starts_from_peers_while_the_store_is_down() {
    let platform = platform().await;
    let one = start_instance(&platform, "one", "a");
    let http = Http::new();
    let first = declare(&http, &one, &basics(&["a"])).await;
    platform.store.faults.change(|faults| faults.down = true);

    let seeds = json!({"config": {"seeds": [one.addresses.peers]}});
    let fresh = start_with(&platform, "fresh", "a", &seeds);
    wait_for_revision(&http, &fresh, first).await;
    assert_eq!(get(&http, &fresh, "/readyz").await.status, 200);

    let alone = start_instance(&platform, "alone", "a");
    let answer = eventually("the reason is known", || async {
        let answer = get(&http, &alone, "/readyz").await;
        answer.body.contains("store").then_some(answer)
    })
    .await;
    assert_eq!(answer.status, 503, "{}", answer.body);
    let call = http
        .get(alone.addresses.callers, "certificates.test", "/")
        .await;
    let call = call.expect("answer");
    assert_eq!(call.status, 503, "{}", call.body);
    assert_eq!(call.json()["ran"], "no");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_restart_and_a_store_that_lost_its_data_revert_nothing() {
    let platform = platform().await;
    let quick = json!({"config": {"check_period": "200ms"}});
    let one = start_with(&platform, "one", "a", &quick);
    let http = Http::new();
    let first = declare(&http, &one, &basics(&["a"])).await;
    platform.store.lose_data();
    eventually("the configuration is restored", || async {
        platform.store.value(CONFIG_KEY)
    })
    .await;
    drop(one);
    let again = start_with(&platform, "one", "a", &quick);
    wait_for_revision(&http, &again, first).await;
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
    let http = Http::new();
    let first = declare(&http, &one, &basics(&["a"])).await;
    wait_for_revision(&http, &two, first).await;
    let reads = platform.store.keys(DOCUMENT_PREFIX).len();
    assert_eq!(reads, 1, "one document holds the few resources");
    let change = json!({"resources": [priority("bulk", 3)]});
    assert_eq!(post(&http, &two, &change).await.status, 200);
    wait_for_revision(&http, &one, first + 1).await;
    let shown = eventually("it is in force everywhere", || async {
        let shown = get(&http, &one, "/v1/resources/Priority/bulk").await.json();
        (shown["status"]["in_force"] == json!({"on": 2, "of": 2})).then_some(shown)
    })
    .await;
    assert_eq!(shown["spec"]["rank"], 3);
    assert_eq!(shown["status"]["conditions"][0]["reason"], "Everywhere");
}

#[tokio::test(flavor = "multi_thread")]
async fn resources_are_listed_watched_and_deleted() {
    let platform = platform().await;
    let one = start_instance(&platform, "one", "a");
    let http = Http::new();
    let mut resources = basics(&["a"]);
    resources.push(service("certificates"));
    let first = declare(&http, &one, &resources).await;

    let listed = get(&http, &one, "/v1/resources/Service").await.json();
    assert_eq!(listed["resources"][0]["name"], "certificates");
    let all = get(&http, &one, "/v1/watch?from=0").await.json();
    assert_eq!(
        all["changed"].as_array().map(Vec::len),
        Some(resources.len())
    );

    let used = delete(&http, &one, "/v1/resources/Priority/normal").await;
    assert_eq!(used.status, 409, "{}", used.body);
    assert_eq!(
        used.json()["users"][0],
        "Service/certificates: spec.priority"
    );
    let zone = delete(&http, &one, "/v1/resources/AvailabilityZone/a").await;
    assert_eq!(zone.status, 409, "{}", zone.body);
    let gone = delete(&http, &one, "/v1/resources/Priority/none").await;
    assert_eq!(gone.status, 404);
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

    let dry = json!({"dry_run": true, "resources": [priority("bulk", 3)]});
    assert_eq!(post(&http, &one, &dry).await.status, 200);
    assert_eq!(revision(&http, one.addresses.admin).await, Some(first + 1));
    let bad = json!({"resources": [{"kind": "Caller", "name": "x", "spec": {"key_sha256": "no"}}]});
    let bad = post(&http, &one, &bad).await;
    assert_eq!(bad.status, 400);
    assert!(
        bad.body.contains("Caller/x: spec.key_sha256"),
        "{}",
        bad.body
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn a_fresh_instance_reads_many_documents_within_its_budget() {
    let platform = platform().await;
    let one = start_instance(&platform, "one", "a");
    let http = Http::new();
    let many: Vec<Value> = (0..400)
        .map(|number| priority(&format!("number-{number}"), number % 200))
        .collect();
    let first = declare(&http, &one, &many).await;
    assert_eq!(platform.store.keys(DOCUMENT_PREFIX).len(), 32);
    drop(one);

    let tight = json!({
        "reads_per_second": 40.0,
        "writes_per_second": 100.0,
        "burst_seconds": 0.25,
    });
    let settings = json!({"platform": {"budget": tight}, "log": {"level": "error"}});
    let fresh = start_with(&platform, "fresh", "a", &settings);
    wait_for_revision(&http, &fresh, first).await;
}
