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
fn roll_outs_and_accounts_are_used_where_the_settings_have_their_limits() {
    let plain = parse(TEXT).unwrap();
    assert_eq!((plain.rollouts, plain.accounts), (None, None));
    let bounds = r#""bounds": {"expose_share": 0.1, "expose_slack": 50, "rollback_ms": 4000,
        "fail_closed": true, "revoke_ms": 3000, "quota_over": 0.1, "quota_slack": 20, "#;
    let text = TEXT.replace(r#""bounds": {"#, bounds).replace(
        r#""bootstrap""#,
        r#""contracts": ["base", "tenants"], "bootstrap""#,
    );
    let settings = parse(&text).unwrap();
    let rollouts = RolloutLimits {
        share: 0.1,
        slack: 50.0,
        rollback_time: Duration::from_secs(4),
    };
    let accounts = AccountSettings {
        window: Duration::from_secs(5),
        over: 0.1,
        slack: 20.0,
        fail_closed: true,
        revoke_time: Duration::from_secs(3),
    };
    assert_eq!(settings.rollouts, Some(rollouts));
    assert_eq!(settings.accounts, Some(accounts));
    let problems = parse(&text.replace(r#""expose_share": 0.1"#, r#""expose_share": 1.5"#));
    assert_eq!(
        problems.unwrap_err(),
        ["bounds.expose_share: must be from 0 to 1"]
    );
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
