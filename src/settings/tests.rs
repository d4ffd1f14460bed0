//! Tests of settings validation and secrets.

use insta::assert_snapshot;

use http::{HeaderMap, header};

use super::{Secret, Settings};

fn problems(text: &str) -> String {
    match Settings::parse(text, "settings.json") {
        Ok(_) => "none".to_owned(),
        Err(err) => err.to_string(),
    }
}

#[test]
fn every_problem_is_reported_at_once() {
    let text = r#"{
        "instance": "one two",
        "zone": 7,
        "wrokers": 4,
        "membership": {"lease": "1s", "heartbeat": "soon"},
        "platform": {"store": "here", "list_period": "0s"},
        "limits": {"request_body": "64XB"},
        "secrets": {"peer_key": {"file": "a", "env": "B"}},
        "log": "loud"
    }"#;
    assert_snapshot!(problems(text));
}

#[test]
fn instance_and_zone_are_the_only_required_settings() {
    assert_eq!(problems(r#"{"instance": "one", "zone": "a"}"#), "none");
}

#[test]
fn semantic_problems_name_their_field() {
    let text = r#"{
        "instance": "one", "zone": "a",
        "callers": "0.0.0.0:80", "admin": "10.0.0.1:81", "peers": "10.0.0.1:81",
        "workers": 0, "advertise": "0.0.0.0",
        "membership": {"lease": "1s", "heartbeat": "500ms"}
    }"#;
    assert_snapshot!(problems(text));
}

#[test]
fn addresses_that_are_published_must_be_reachable() {
    for name in ["callers", "peers"] {
        let text = format!(
            r#"{{"instance": "one", "zone": "a", "{name}": "0.0.0.0:80",
                "secrets": {{"peer_key": {{"env": "K"}}}}}}"#
        );
        let problem = format!("advertise: must be set when `{name}` listens on every address");
        assert!(problems(&text).contains(&problem), "{}", problems(&text));
    }
}

#[test]
fn serialized_settings_parse_back_unchanged() {
    let settings =
        Settings::parse(r#"{"instance": "one", "zone": "a"}"#, "test").expect("settings");
    let text = serde_json::to_string(&settings).expect("JSON");
    assert_eq!(Settings::parse(&text, "test").expect("settings"), settings);
}

#[test]
fn invalid_json_is_a_single_problem() {
    assert_snapshot!(problems(r#"{"instance": "#));
}

#[test]
fn a_secret_is_hidden_in_debug_output_and_matches_only_its_exact_header() {
    let secret = Secret::new("s3cret");
    assert_eq!(format!("{secret:?}"), "Secret(hidden)");
    let mut headers = HeaderMap::new();
    assert!(!secret.matches(&headers));
    for (value, expected) in [
        ("Bearer s3cret", true),
        ("Bearer s3cre", false),
        ("s3cret", false),
    ] {
        headers.insert(header::AUTHORIZATION, value.parse().expect("header"));
        assert_eq!(secret.matches(&headers), expected, "{value}");
    }
}

#[test]
fn a_store_budget_below_one_call_is_a_problem() {
    let mut settings = Settings::default();
    let before = settings.problems().len();
    settings.platform.budget.burst_seconds = 0.25;
    let problems = settings.problems();
    assert_eq!(problems.len(), before + 1);
    assert!(problems.iter().any(|line| line.contains("lease_reserve")));
    settings.platform.budget.burst_seconds = 0.0;
    assert_eq!(settings.problems().len(), before + 2);
}
