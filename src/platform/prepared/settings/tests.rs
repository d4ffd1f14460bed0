use super::*;

const TEXT: &str = r#"{
    "node_name": "edge-a-1", "role": "entry", "machine_class": "edge", "serves": ["edge"],
    "ip": "10.1.0.18", "zone": "a", "region": "r", "zones": {"a": "r", "b": "r"},
    "listen": {"front": "10.1.0.18:8381", "ready": "10.1.0.18:8388", "directory": "10.1.0.18:8383"},
    "port_range": [7200, 7215], "seeds": ["10.1.0.18:8382", "10.2.0.34:8382"],
    "bootstrap": true, "unknown field": {"x": 1},
    "bounds": {"drain_ms": 2000, "grace_s": 6, "retry_budget_ratio": 0.2, "budget_window_s": 10,
        "budget_slack": 58, "cold_over": 1.5, "cold_slack": 5, "ttl_max_s": 5, "probes_per_s": 60},
    "platform": {"address": "10.200.1.7:8384", "form": "kv", "ttl_min_ms": 1000}
}"#;

#[test]
fn the_platforms_settings_are_parsed() {
    let settings = parse(TEXT).unwrap();
    insta::assert_debug_snapshot!(settings);
    assert!(is_platform_format(TEXT));
    assert!(!is_platform_format(
        r#"{"instance": "entry-1", "zone": "a"}"#
    ));
}

#[test]
fn every_problem_is_reported_with_its_path() {
    let text = TEXT
        .replace(r#""zone": "a""#, r#""zone": "elsewhere""#)
        .replace(r#""front": "10.1.0.18:8381", "#, "")
        .replace("[7200, 7215]", "[7215, 7200]")
        .replace(r#""grace_s": 6"#, r#""grace_s": 0"#)
        .replace(r#""budget_slack": 58"#, r#""budget_slack": -1"#);
    insta::assert_debug_snapshot!(parse(&text).unwrap_err());
}

#[test]
fn a_wrong_type_is_reported_with_its_path() {
    let text = TEXT.replace("\"10.200.1.7:8384\"", "7");
    let problems = parse(&text).unwrap_err();
    assert!(
        problems[0].starts_with("platform.address: "),
        "{problems:?}"
    );
}
