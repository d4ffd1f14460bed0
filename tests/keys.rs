//! Authentication of operators, peers and callers by their keys.

use http::{Method, header};
use serde_json::json;
use standin::platform::Platform;
use testing::{
    HttpClient, basic_resources, eventually, group, request, service, start_instance_with,
};

const OPERATOR_KEY: &str = "operator-secret";
const PEER_KEY: &str = "peer-secret";

#[tokio::test(flavor = "multi_thread")]
async fn admin_and_peer_interfaces_require_keys_and_never_print_them() {
    let platform = Platform::start(&[group("certificates", "a", 1)])
        .await
        .expect("platform");
    let dir = tempfile::tempdir().expect("temporary directory");
    let write = |name: &str, text: &str| {
        let path = dir.path().join(name);
        std::fs::write(&path, text).expect("key written");
        path
    };
    let keys = json!({"secrets": {
        "operator_key": {"file": write("operator", OPERATOR_KEY)},
        "peer_key": {"file": write("peer", PEER_KEY)},
    }});
    let instance = start_instance_with(&platform, "one", "a", &keys);
    let http = HttpClient::new();

    let without_key = http
        .get(instance.addresses.admin, "admin.test", "/dump")
        .await
        .expect("response");
    assert_eq!(without_key.status, 403);

    let mut resources = basic_resources(&["a"]);
    resources.push(service("certificates"));
    let body = json!({"resources": resources}).to_string();
    let with_key = |method, path: &str, body: &str| {
        let mut req = request(method, instance.addresses.admin, "admin.test", path, body);
        let value = format!("Bearer {OPERATOR_KEY}").parse().expect("header");
        req.headers_mut().insert(header::AUTHORIZATION, value);
        req
    };
    eventually("the resources are accepted", || async {
        let resp = http
            .send(with_key(Method::POST, "/v1/resources", &body))
            .await
            .ok()?;
        (resp.status == 200).then_some(())
    })
    .await;
    let dump = http
        .send(with_key(Method::GET, "/dump", ""))
        .await
        .expect("dump")
        .body;
    assert!(
        !dump.contains(OPERATOR_KEY) && !dump.contains(PEER_KEY),
        "{dump}"
    );

    let without_key = http
        .get(instance.addresses.peers, "peer.test", "/")
        .await
        .expect("response");
    assert_eq!(without_key.status, 401);

    let peer = start_instance_with(&platform, "two", "b", &keys);
    let claims = || async {
        let resp = http.send(with_key(Method::GET, "/dump", "")).await.ok()?;
        (resp.json()["claims"].as_array()?.len() == 1).then_some(())
    };
    eventually("the shard is claimed", claims).await;
    eventually("a call through the other instance is served", || async {
        let resp = http
            .get(peer.addresses.callers, "certificates.test", "/")
            .await
            .ok()?;
        (resp.status == 200).then_some(())
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn callers_are_identified_by_their_key() {
    let platform = Platform::start(&[group("certificates", "a", 1)])
        .await
        .expect("platform");
    let instance = start_instance_with(&platform, "one", "a", &json!({}));
    let http = HttpClient::new();
    let mut resources = basic_resources(&["a"]);
    resources.retain(|resource| resource["kind"] != "Caller");
    resources.push(service("certificates"));
    // SHA-256 of the key `abc`.
    let digest = "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad";
    resources.push(json!({"kind": "Caller", "name": "lab", "spec": {"key_sha256": digest}}));
    http.declare(instance.addresses.admin, &resources).await;
    let call = |key: Option<&str>| {
        let mut req = request(
            Method::GET,
            instance.addresses.callers,
            "certificates.test",
            "/",
            "",
        );
        if let Some(key) = key {
            req.headers_mut()
                .insert("x-api-key", key.parse().expect("header"));
        }
        http.send(req)
    };
    eventually("the known caller is served", || async {
        (call(Some("abc")).await.ok()?.status == 200).then_some(())
    })
    .await;
    for key in [None, Some("abd"), Some("")] {
        let resp = call(key).await.expect("response");
        assert_eq!(resp.status, 401, "{key:?}");
        assert_eq!(resp.json()["title"], "unknown_caller");
        assert_eq!(resp.json()["ran"], "no");
    }
}
