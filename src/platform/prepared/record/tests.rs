use std::fmt::Write;

use super::*;
use crate::account::{Account, AccountLimit, KeyDigest};
use crate::entry::model::UnknownKind;
use crate::rollout::{RolloutDecision, RolloutOrder, Stage};

const CONFIGURATION_TEXT: &str = r#"{
    "version": "r7", "base_version": "r5",
    "routes": {
        "columns": ["name", "host", "prefix", "type", "timeout_ms", "target_latency_ms", "priority", "traffic_split", "max_attempts", "service"],
        "rows": [
            ["one", "a.example", "/x/", "safe", 1000, 250, 2, [{"service": "s", "weight": 90}, {"service": "t", "weight": 10}], 2, null],
            ["two", "b.example", "/y/", "unsafe", 1200.5, null, 1, null, 2, "u"],
            ["three", "b.example", "/z/", "download", 1200, 300, 1, null, null, "u"],
            ["four", "b.example", "/f/", "upload", 2500, 400, 1, null, 2, "s"],
            ["later kind", "b.example", "/o/", "other", 1200, 300, 1, null, 2, "u"]
        ]
    },
    "services": {
        "columns": ["name", "health_path", "max_connections", "protocol", "warmup_s", "warmup_per_s"],
        "rows": [["s", "/health", 220, "h1", 3.0, 21.0], ["u", "/h", null, "h1", 3.0, null], ["t", "/h", null, "h1", 3.0, null]]
    },
    "limits": {"max_header_bytes": 16384, "max_body_bytes": 65536, "header_timeout_ms": 3000, "idle_timeout_ms": 15000}
}"#;

#[test]
fn a_configuration_is_decoded_and_routes_of_unknown_kinds_run_at_most_once() {
    let Ok(Some(Record::Configuration(configuration))) =
        decode("op/config", CONFIGURATION_TEXT.as_bytes())
    else {
        panic!("the configuration was not decoded");
    };
    insta::assert_json_snapshot!(*configuration);
    let unknown = UnknownKind {
        route: "later kind".into(),
        kind: "other".into(),
    };
    assert_eq!(configuration.unknown_kinds, [unknown]);
}

/// An invalid configuration is not taken at all: with some of its routes left out, their
/// requests would get 404.
#[test]
fn an_invalid_row_makes_the_configuration_invalid() {
    let valid = r#"["one", "a.example", "/x/", "safe", 1000, 250, 2, [{"service": "s", "weight": 90}, {"service": "t", "weight": 10}], 2, null]"#;
    let row = |text: &str| CONFIGURATION_TEXT.replace(valid, text);
    let cases = [
        (
            "cut short",
            CONFIGURATION_TEXT[..CONFIGURATION_TEXT.len() / 2].to_owned(),
        ),
        (
            "unknown service",
            row(r#"["one", "a.example", "/x/", "safe", 1000, 250, 2, null, 2, "nowhere"]"#),
        ),
        (
            "a kind that is no name",
            row(r#"["one", "a.example", "/x/", 7, 1000, 250, 2, null, 2, "s"]"#),
        ),
        (
            "no kind",
            row(r#"["one", "a.example", "/x/", null, 1000, 250, 2, null, 2, "s"]"#),
        ),
        (
            "no weight",
            row(
                r#"["one", "a.example", "/x/", "safe", 1000, 250, 2, [{"service": "s"}], 2, null]"#,
            ),
        ),
        (
            "weights of 0",
            row(
                r#"["one", "a.example", "/x/", "safe", 1000, 250, 2, [{"service": "s", "weight": 0}], 2, null]"#,
            ),
        ),
        (
            "a negative weight",
            row(
                r#"["one", "a.example", "/x/", "safe", 1000, 250, 2, [{"service": "s", "weight": -1}, {"service": "t", "weight": 2}], 2, null]"#,
            ),
        ),
        (
            "no attempts",
            row(r#"["one", "a.example", "/x/", "safe", 1000, 250, 2, null, 0, "s"]"#),
        ),
        (
            "no timeout",
            row(r#"["one", "a.example", "/x/", "safe", null, 250, 2, null, 2, "s"]"#),
        ),
        (
            "a timeout of 0",
            row(r#"["one", "a.example", "/x/", "safe", 0, 250, 2, null, 2, "s"]"#),
        ),
        (
            "no service",
            row(r#"["one", "a.example", "/x/", "safe", 1000, 250, 2, null, 2, null]"#),
        ),
        (
            "a service without a name",
            CONFIGURATION_TEXT.replace(r#"["t", "/h", null, "h1", 3.0, null]"#, "[5]"),
        ),
    ];
    let mut seen = String::new();
    for (name, text) in cases {
        let problem = decode("op/config", text.as_bytes()).unwrap_err();
        writeln!(seen, "{name}: {problem}").unwrap();
    }
    insta::assert_snapshot!(seen);
}

#[test]
fn a_target_is_decoded() {
    let text = r#"{"service":"s","address":"10.0.0.9:8080","zone":"a","version":"v1","slots":6,"state":"draining","warmup_left_ms":1500,"sequence":4,"born":1700000000123}"#;
    insta::assert_json_snapshot!(decode("servers/t", text.as_bytes()).unwrap());
}

/// Another writer may store anything under these keys. An invalid record must be an
/// error, so that it is skipped and never used as a target.
#[test]
fn invalid_records_are_errors() {
    let invalid = [
        ("servers/t", &b"\xff\xfe"[..]),
        ("servers/t", b""),
        ("servers/t", b"[]"),
        ("servers/t", br#"{"service":"s"}"#),
        ("servers/", br#"{"service":"s","address":"10.0.0.9:8080","zone":"a","slots":6,"state":"ready"}"#),
        ("servers/t", br#"{"service":"s","address":"nowhere","zone":"a","slots":6,"state":"ready"}"#),
        ("servers/t", br#"{"service":"s","address":"10.0.0.9:8080","zone":"a","slots":6,"state":"asleep"}"#),
        ("servers/t", br#"{"service":"s","address":"10.0.0.9:8080","zone":"a","slots":"6","state":"ready"}"#),
        ("servers/t", br#"{"service":"s","address":"10.0.0.9:8080","zone":"a","slots":0,"state":"ready"}"#),
        ("servers/t", br#"{"service":7,"address":"10.0.0.9:8080","zone":"a","slots":6,"state":"ready"}"#),
        ("op/config", br#"{"version":"r7"}"#),
        ("op/config", br#"{"version":7,"routes":{"columns":[],"rows":[]},"services":{"columns":[],"rows":[]}}"#),
        ("entries/10.0.0.1:7000", b"{}"),
    ];
    for (key, value) in invalid {
        let decoded = decode(key, value);
        assert!(decoded.is_err(), "{key} {decoded:?}");
    }
}

/// An entry of a target with this field replaced.
fn target_with(field: &str, value: serde_json::Value) -> Vec<u8> {
    let mut entry = serde_json::json!({
        "service": "s", "address": "10.0.0.9:8080", "zone": "a", "version": "v1", "slots": 6,
        "state": "ready", "warmup_left_ms": 0, "sequence": 1, "born": 1,
    });
    entry[field] = value;
    entry.to_string().into_bytes()
}

/// The id is written into the head of each request.
#[test]
fn an_id_that_does_not_fit_a_header_names_no_target() {
    for id in ["t\r\nx-smuggled: 1", "t\n", "t u", "t\0", "\u{e9}"] {
        let decoded = decode(&format!("servers/{id}"), &target_with("slots", 6.into()));
        assert!(decoded.is_err(), "{decoded:?}");
    }
}

/// Such a target alone would seem to have room for all requests.
#[test]
fn absurdly_many_slots_name_no_target() {
    for slots in [u32::MAX, MAX_SLOTS + 1] {
        let decoded = decode("servers/t", &target_with("slots", slots.into()));
        assert!(decoded.is_err(), "{decoded:?}");
    }
    assert!(decode("servers/t", &target_with("slots", MAX_SLOTS.into())).is_ok());
}

/// A connection to the unspecified address reaches the own machine.
#[test]
fn an_address_of_no_machine_is_invalid() {
    for address in [
        "0.0.0.0:8080",
        "[::]:8080",
        "224.0.0.1:8080",
        "[ff02::1]:8080",
        "255.255.255.255:8080",
        "10.0.0.9:0",
        "10.0.0.9:65536",
    ] {
        let target = decode("servers/t", &target_with("address", address.into()));
        assert!(target.is_err(), "{target:?}");
        let instance = serde_json::json!({ "address": address, "zone": "a" }).to_string();
        let instance = decode(&format!("entries/{address}"), instance.as_bytes());
        assert!(instance.is_err(), "{instance:?}");
    }
}

/// The entries of all targets must fit a frame to peers, and a zone a heartbeat.
#[test]
fn overlong_names_are_invalid() {
    let long = "x".repeat(MAX_NAME_BYTES + 1);
    for field in ["service", "zone", "version"] {
        let decoded = decode("servers/t", &target_with(field, long.as_str().into()));
        assert!(decoded.is_err(), "{decoded:?}");
    }
    let others = [
        (
            "entries/10.0.0.1:7000",
            serde_json::json!({ "address": "10.0.0.1:7000", "zone": long }),
        ),
        (
            "op/rollout/s",
            serde_json::json!({ "target_version": long, "duration_s": 12 }),
        ),
        (
            "rollouts/s",
            serde_json::json!({ "format": 1, "version": "v", "previous": [long],
                "state": "completed", "percent": 100, "ordered_ms": 1 }),
        ),
    ];
    for (key, value) in others {
        let decoded = decode(key, value.to_string().as_bytes());
        assert!(decoded.is_err(), "{decoded:?}");
    }
}

#[test]
fn odd_values_of_a_target_are_errors_or_taken_without_a_panic() {
    let nested = format!("{}{}", "[".repeat(50_000), "]".repeat(50_000));
    let entry = |field: &str, value: &str| {
        let text = String::from_utf8(target_with(field, "ODD".into())).unwrap();
        text.replace("\"ODD\"", value).into_bytes()
    };
    for field in ["slots", "warmup_left_ms", "born", "address", "version"] {
        for value in [
            &nested,
            "1e400",
            "-1e400",
            "18446744073709551616",
            "-1",
            "1.5",
            "{}",
        ] {
            let decoded = decode("servers/t", &entry(field, value));
            let harmless = field == "warmup_left_ms" && !value.contains("e400");
            assert!(decoded.is_err() || harmless, "{field} {decoded:?}");
        }
    }
    // What isn't used may be anything.
    for value in [&nested, "1e400"] {
        let decoded = decode("servers/t", &entry("sequence", value));
        assert!(decoded.is_ok(), "{decoded:?}");
    }
}

fn with_accounts(rows: &str) -> String {
    let accounts = format!(
        r#""tenants": {{"columns": ["name", "api_keys", "priority", "rate_per_s", "burst"], "rows": [{rows}]}}, "limits""#
    );
    CONFIGURATION_TEXT.replace(r#""limits""#, &accounts)
}

#[test]
fn accounts_are_decoded_without_their_keys() {
    let text =
        with_accounts(r#"["big", ["k1", "k2"], 0, 240, 12.5], ["small", [], null, 0, null]"#);
    let Ok(Some(Record::Configuration(configuration))) = decode("op/config", text.as_bytes())
    else {
        panic!("the configuration was not decoded");
    };
    let big = Account {
        name: "big".into(),
        keys: vec![KeyDigest::of(b"k1"), KeyDigest::of(b"k2")],
        priority: Some(0),
        limit: Some(AccountLimit {
            rate: 240.0,
            burst: 12.5,
        }),
    };
    let small = Account {
        name: "small".into(),
        keys: Vec::new(),
        priority: None,
        limit: None,
    };
    assert_eq!(configuration.accounts, Some(vec![big, small]));
}

#[test]
fn an_ambiguous_or_absurd_account_makes_the_configuration_invalid() {
    let invalid = [
        r#"["", ["k"], 0, 1, 1]"#,
        r#"["a", ["k"], 0, 1, 1], ["a", ["l"], 0, 1, 1]"#,
        r#"["a", ["k"], 0, 1, 1], ["b", ["k"], 0, 1, 1]"#,
        r#"["a", [""], 0, 1, 1]"#,
        r#"["a", ["k"], 0, -1, 1]"#,
        r#"["a", ["k"], 0, 1, -1]"#,
        r#"["a", ["k"], 0, "many", 1]"#,
        r#"["a", ["k"], -1, 1, 1]"#,
        r#"["a\n", ["k"], 0, 1, 1]"#,
        r#"["a", "k-secret", 0, 1, 1]"#,
        r#"["a", {"k-secret": "k-secret"}, 0, 1, 1]"#,
        r#"["a", ["k", 7, "k-secret"], 0, 1, 1]"#,
        r#"["a", ["k-secret", "k-secret"], 0, 1, 1]"#,
    ];
    for rows in invalid {
        let decoded = decode("op/config", with_accounts(rows).as_bytes());
        let err = decoded.unwrap_err();
        assert!(!err.contains("k-secret"), "{rows} {err}");
    }
}

#[test]
fn roll_out_orders_are_decoded_and_decisions_decode_to_themselves() {
    let text = br#"{"service":"s","target_version":"v2","duration_s":12.5}"#;
    let order = RolloutOrder {
        service: "s".into(),
        version: "v2".into(),
        duration: Duration::from_millis(12_500),
    };
    assert_eq!(
        decode("op/rollout/s", text),
        Ok(Some(Record::RolloutOrder(order)))
    );
    for stage in [Stage::Running(6), Stage::Completed, Stage::RolledBack] {
        let decision = RolloutDecision {
            service: "s".into(),
            version: "v2".into(),
            previous: vec!["v1".into()],
            stage,
            ordered_ms: 1_700_000_000_123,
        };
        let [(key, value), (status_key, status)] = decision_records(&decision);
        assert_eq!(
            decode(&key, &value),
            Ok(Some(Record::RolloutDecision(decision)))
        );
        assert_eq!(decode(&status_key, &status), Ok(None));
    }
    let invalid: [(&str, &[u8]); 4] = [
        ("op/rollout/s", br#"{"target_version":"","duration_s":12}"#),
        ("op/rollout/s", br#"{"target_version":"v2","duration_s":0}"#),
        ("op/rollout/", br#"{"target_version":"v2","duration_s":12}"#),
        ("rollouts/s", br#"{"format":2,"version":"v2"}"#),
    ];
    for (key, value) in invalid {
        assert!(decode(key, value).is_err(), "{key}");
    }
}

#[test]
fn unknown_keys_are_ignored_and_evacuations_need_no_value() {
    assert_eq!(decode("other/key", b"{}"), Ok(None));
    let evacuation = decode("op/evacuate/a", b"not even JSON");
    assert_eq!(evacuation, Ok(Some(Record::Evacuation("a".into()))));
}

#[test]
fn a_registration_decodes_to_itself() {
    let registration = Registration {
        address: ([10, 0, 0, 1], 7200).into(),
        zone: "a".into(),
    };
    let key = registration_key(registration.address);
    let value = registration_value(&registration);
    assert_eq!(
        decode(&key, &value),
        Ok(Some(Record::Instance(registration)))
    );
}
