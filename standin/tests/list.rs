//! The instance list returns only the changes since a version that the client knows.

use bytes::Bytes;
use http_body_util::{BodyExt, Empty};
use hyper_util::client::legacy::Client;
use hyper_util::rt::TokioExecutor;
use serde_json::{Value, json};
use wagtailsaddle_standin::list::{self, ListStandin, ListedTarget};

async fn fetch_since(standin: &ListStandin, version: u64) -> Value {
    let client = Client::builder(TokioExecutor::new()).build_http::<Empty<Bytes>>();
    let address = standin.server.address;
    let uri = format!("http://{address}/instances?since={version}");
    let resp = client
        .get(uri.parse().expect("address"))
        .await
        .expect("response");
    let body = resp.into_body().collect().await.expect("body").to_bytes();
    serde_json::from_slice(&body).expect("JSON")
}

fn listed(id: &str, leaving: bool) -> ListedTarget {
    ListedTarget {
        id: id.to_owned(),
        service: "orders".to_owned(),
        zone: "a".to_owned(),
        address: ([127, 0, 0, 1], 1).into(),
        leaving,
    }
}

#[tokio::test]
async fn only_changes_since_a_known_version_are_returned() {
    let standin = list::start().await.expect("stand-in");
    standin
        .targets
        .set(vec![listed("one", false), listed("two", false)]);
    let first = fetch_since(&standin, 0).await;
    assert_eq!(first["whole"], true);
    assert_eq!(first["targets"].as_array().map(Vec::len), Some(2));

    let version = first["version"].as_u64().expect("version");
    let unchanged = fetch_since(&standin, version).await;
    let no_changes = json!({"version": version, "whole": false, "targets": [], "gone": []});
    assert_eq!(unchanged, no_changes);

    standin
        .targets
        .set(vec![listed("one", true), listed("three", false)]);
    let change = fetch_since(&standin, version).await;
    assert_eq!(change["whole"], false);
    let ids: Vec<_> = change["targets"]
        .as_array()
        .expect("targets")
        .iter()
        .map(|t| &t["id"])
        .collect();
    assert_eq!(ids, ["one", "three"]);
    assert_eq!(change["gone"], json!(["two"]));

    let unknown = fetch_since(&standin, 999).await;
    assert_eq!(unknown["whole"], true);
}
