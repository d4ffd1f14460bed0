//! Tests of call routing.

use http::Method;
use serde_json::json;

use super::{ErrorKind, Routes};
use crate::resource::ResourceSet;

fn set(extra: &serde_json::Value) -> ResourceSet {
    let mut resources = vec![
        json!({"kind": "AvailabilityZone", "name": "a", "spec": {}}),
        json!({"kind": "AvailabilityZone", "name": "b", "spec": {"in_service": false}}),
        json!({"kind": "Caller", "name": "lab", "spec": {"key_sha256": super::sha256_hex(b"lab-key")}}),
        json!({"kind": "Priority", "name": "idle", "spec": {"rank": 7}}),
        json!({"kind": "Priority", "name": "urgent", "spec": {"rank": 2}}),
        json!({"kind": "Service", "name": "orders", "spec": {
            "hosts": ["orders.test", "Bestellung.Test"],
            "priority": "urgent",
            "rules": [
                {"path": "/reports", "priority": "idle", "methods": ["POST"], "repeatable": true},
                {"path": "/reports/final", "repeatable": false},
            ],
        }}),
    ];
    resources.extend(extra.as_array().into_iter().flatten().cloned());
    let mut set = ResourceSet::default();
    for resource in resources {
        set.put(serde_json::from_value(resource).expect("resource"));
    }
    set
}

#[test]
fn the_longest_matching_rule_applies() {
    let routes = Routes::build(&set(&json!([])));
    let route = routes.route("orders.test").expect("route");
    let rows = [
        (Method::GET, "/status", 2, true, true),
        (Method::POST, "/status", 2, true, false),
        (Method::POST, "/reports/7", 7, false, true),
        (Method::GET, "/reports/7", 2, true, true),
        (Method::POST, "/reports/final/7", 2, true, false),
    ];
    for (method, path, rank, urgent, repeatable) in rows {
        let policy = route.policy(&method, path);
        assert_eq!(policy.rank.0, rank, "{method} {path}");
        assert_eq!(policy.urgent, urgent, "{method} {path}");
        assert_eq!(policy.repeatable(&method), repeatable, "{method} {path}");
    }
}

#[test]
fn hosts_match_in_any_case_and_zones_out_of_service_have_no_shard() {
    let routes = Routes::build(&set(&json!([])));
    for host in ["orders.test", "ORDERS.test", "bestellung.test"] {
        let route = routes.route(host).expect("route");
        let shards: Vec<_> = route.shards.iter().map(ToString::to_string).collect();
        assert_eq!(shards, ["orders/a"]);
    }
    assert_eq!(
        routes.route("other.test").err(),
        Some(ErrorKind::UnknownService)
    );
}

#[test]
fn callers_are_identified_by_the_digest_of_their_key() {
    let without_anonymous = Routes::build(&set(&json!([])));
    assert_eq!(
        without_anonymous
            .caller(Some(b"lab-key"))
            .expect("caller")
            .as_str(),
        "lab"
    );
    assert_eq!(
        without_anonymous.caller(Some(b"lab-kez")),
        Err(ErrorKind::UnknownCaller)
    );
    assert_eq!(
        without_anonymous.caller(None),
        Err(ErrorKind::UnknownCaller)
    );
    let with_anonymous = Routes::build(&set(
        &json!([{"kind": "Caller", "name": "anonymous", "spec": {}}]),
    ));
    assert_eq!(
        with_anonymous.caller(None).expect("caller").as_str(),
        "anonymous"
    );
    assert_eq!(
        with_anonymous.caller(Some(b"lab-kez")),
        Err(ErrorKind::UnknownCaller)
    );
}

#[test]
fn key_digest_is_lower_case_sha256_hex() {
    assert_eq!(
        super::sha256_hex(b"abc"),
        "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad"
    );
}
