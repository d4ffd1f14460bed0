use serde_json::{Value, json};

use crate::resource::{Resource, ResourceSet};

fn set(resources: &[Value]) -> ResourceSet {
    let mut set = ResourceSet::default();
    for resource in resources {
        set.put(serde_json::from_value::<Resource>(resource.clone()).expect("resource"));
    }
    set
}

#[test]
fn every_problem_names_its_field() {
    let set = set(&[
        json!({"kind": "AvailabilityZone", "name": "a/b", "spec": {}}),
        json!({"kind": "Caller", "name": "anonymous", "spec": {"key_sha256": "00"}}),
        json!({"kind": "Caller", "name": "keyless", "spec": {"in_flight": 0}}),
        json!({"kind": "Caller", "name": "upper", "spec": {"key_sha256": "AB".repeat(32)}}),
        json!({"kind": "Caller", "name": "first", "spec": {"key_sha256": "ab".repeat(32)}}),
        json!({"kind": "Caller", "name": "second", "spec": {"key_sha256": "ab".repeat(32)}}),
        json!({"kind": "Priority", "name": "normal", "spec": {"rank": 1}}),
        json!({"kind": "Service", "name": "one", "spec": {"hosts": ["one.test"]}}),
        json!({"kind": "Service", "name": "two", "spec": {
            "hosts": ["one.test", "Two.test:80"],
            "target": {"slots": 0, "connections": 0},
            "deadline": "0s",
            "queue_length": 1_000_000,
            "urgent_reserve_percent": 100,
            "rules": [{"path": "status", "priority": "urgent"}],
        }}),
        json!({"kind": "Service", "name": "three", "spec": {"priority": "idle"}}),
    ]);
    insta::assert_snapshot!(set.problems().join("\n"));
}

#[test]
fn warnings_are_not_problems() {
    let set = set(&[
        json!({"kind": "AvailabilityZone", "name": "a", "spec": {"in_service": false}}),
        json!({"kind": "Priority", "name": "normal", "spec": {"rank": 1}}),
        json!({"kind": "Service", "name": "one", "spec": {
            "hosts": ["one.test"],
            "target": {"slots": 6, "connections": 2},
            "deadline": "1s",
            "queue_wait": "2s",
        }}),
    ]);
    assert_eq!(set.problems(), Vec::<String>::new());
    insta::assert_snapshot!(set.warnings().join("\n"));
}

#[test]
fn usages_name_what_keeps_a_resource_in_use() {
    let set = set(&[
        json!({"kind": "AvailabilityZone", "name": "in", "spec": {}}),
        json!({"kind": "AvailabilityZone", "name": "out", "spec": {"in_service": false}}),
        json!({"kind": "Priority", "name": "normal", "spec": {"rank": 1}}),
        json!({"kind": "Priority", "name": "idle", "spec": {"rank": 2}}),
        json!({"kind": "Service", "name": "one", "spec": {"hosts": ["one.test"]}}),
    ]);
    assert_eq!(
        set.usages("Priority", "normal"),
        ["Service/one: spec.priority"]
    );
    assert!(set.usages("Priority", "idle").is_empty());
    assert_eq!(set.usages("AvailabilityZone", "in").len(), 1);
    assert!(set.usages("AvailabilityZone", "out").is_empty());
    assert!(set.usages("Service", "one").is_empty());
}
