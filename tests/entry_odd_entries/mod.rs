//! Entries of other writers in the store, which must harm no instance.

use serde_json::{Value, json};
use standin::prepared::settings::configuration;
use standin::prepared::store::Mode;

use super::entry_cluster::EntryCluster;

#[tokio::test]
async fn requests_are_served_with_absurd_times_in_the_configuration() {
    let cluster = EntryCluster::start(1, 1).await;
    let text = configuration(9, &["/safe/", "/once/"], 2000);
    let mut absurd: Value = serde_json::from_str(&text.replace("2000,500", "1e308,1e308")).unwrap();
    absurd["limits"] = json!({
        "max_header_bytes": 16384, "max_body_bytes": 65536,
        "header_timeout_ms": 1e308, "idle_timeout_ms": 1e308,
    });
    cluster
        .store
        .put("op/config", absurd.to_string().as_bytes());
    cluster.wait_for_version(0, 9).await;
    let mut conn = cluster.connect(0).await;
    for (request, body) in [("GET", ""), ("POST", "content-length: 3\r\n")] {
        let head = format!("{request} /safe/x HTTP/1.1\r\nhost: x.example\r\n");
        let head = format!("{head}x-request-id: {request}\r\n{body}\r\n");
        conn.send(head.as_bytes()).await;
        // The body arrives after the head.
        tokio::task::yield_now().await;
        conn.send(if body.is_empty() { b"" } else { b"abc" }).await;
        let resp = conn.response().await;
        assert_eq!(resp.status, 200, "{resp:?}");
    }
}

#[tokio::test]
async fn an_instance_follows_the_store_after_more_changes_than_fit_a_response() {
    let cluster = EntryCluster::start(1, 1).await;
    cluster
        .store
        .faults
        .change(|faults| faults.mode = Mode::Refusing(503));
    // 11 MB in base64.
    let large = vec![b'x'; 84_000];
    for number in 0..100 {
        cluster.store.put(&format!("other/{number:02}"), &large);
    }
    cluster.configure(9, &["/safe/", "/once/", "/late/"]);
    cluster
        .store
        .faults
        .change(|faults| faults.mode = Mode::Serving);
    cluster.wait_for_version(0, 9).await;
}
