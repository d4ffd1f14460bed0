use http::{HeaderName, HeaderValue};

use super::*;

fn response_meta(status: u16, headers: &HeaderMap) -> AnswerMeta {
    super::response_meta(StatusCode::from_u16(status).unwrap(), headers)
}

fn headers(pairs: &[(&'static str, &'static str)]) -> HeaderMap {
    pairs
        .iter()
        .map(|(name, value)| {
            (
                HeaderName::from_static(name),
                HeaderValue::from_static(value),
            )
        })
        .collect()
}

#[test]
fn response_headers_are_parsed() {
    let all = headers(&[
        ("x-request-id", "9c41"),
        ("x-server-signature", "3e1b.07"),
        ("x-server-load", "3,1,8,250"),
        ("x-instance-id", "i-1"),
        ("x-warmup-ms", "1200"),
        ("server-limit", "2.4"),
        ("server-leaving", "1"),
        ("retry-after", "3"),
        ("keep-alive", "max=5, timeout=10"),
    ]);
    insta::assert_debug_snapshot!(response_meta(200, &all));
}

#[test]
fn a_load_has_three_numbers_and_an_optional_fourth() {
    assert_eq!(
        parse_load("3,0,8").map(|load| load.slowness_percent),
        Some(100)
    );
    assert_eq!(
        parse_load("3, 0, 8, 90").map(|load| load.slowness_percent),
        Some(90)
    );
    // No work takes no time; such a target would be preferred to all others.
    assert_eq!(
        parse_load("3,0,8,0").map(|load| load.slowness_percent),
        Some(100)
    );
    for invalid in ["", "3,0", "3,x,8", "-1,0,8"] {
        assert_eq!(parse_load(invalid), None, "{invalid}");
    }
}

#[test]
fn a_limit_is_a_number_of_at_least_zero() {
    assert_eq!(parse_limit(" 3.7"), Some(3.7));
    assert_eq!(parse_limit("0"), Some(0.0));
    for invalid in ["", "-1", "NaN", "inf", "2,4"] {
        assert_eq!(parse_limit(invalid), None, "{invalid}");
    }
}

#[test]
fn only_a_targets_own_503_asks_for_a_pause() {
    let wanted = headers(&[("retry-after", "0.75"), ("server-leaving", "1")]);
    let pause = Duration::from_millis(750);
    assert_eq!(response_meta(503, &wanted).pause, Some(pause));
    for status in [200, 421, 429, 500] {
        assert_eq!(response_meta(status, &wanted).pause, None, "{status}");
        assert_eq!(response_meta(status, &wanted).leaving, status != 421);
    }
    assert_eq!(parse_pause("1e300"), Some(Duration::MAX));
    assert_eq!(parse_pause("inf"), Some(Duration::MAX));
    for invalid in ["", "-1", "NaN", "Wed, 21 Oct 2015 07:28:00 GMT"] {
        assert_eq!(parse_pause(invalid), None, "{invalid}");
    }
    let stays = headers(&[("server-leaving", "0")]);
    assert!(!response_meta(200, &stays).leaving);
}

#[test]
fn only_the_header_or_status_421_means_not_run() {
    let not_executed = headers(&[("x-not-executed", "1")]);
    assert!(response_meta(503, &not_executed).not_run);
    assert!(response_meta(421, &HeaderMap::new()).not_run);
    for status in [200, 408, 429, 500, 503, 504] {
        assert!(!response_meta(status, &HeaderMap::new()).not_run);
    }
    for status in [200, 500, 504] {
        assert!(!response_meta(status, &not_executed).not_run);
    }
}

#[test]
fn the_callers_zone_is_parsed_from_the_query() {
    let zone = directory_zone("/api/resolve?name=x.example&region=r&zone=r-a");
    assert_eq!(zone, Some("r-a"));
    assert_eq!(directory_zone("/api/resolve?name=x"), None);
    assert_eq!(directory_zone("/api/resolve"), None);
}

#[test]
fn a_directory_body_has_addresses_and_a_ttl_in_seconds() {
    let body = directory_body(
        &[([10, 1, 0, 18], 8381).into()],
        Duration::from_millis(1500),
    );
    let text = String::from_utf8(body).unwrap();
    assert_eq!(text, r#"{"addresses":["10.1.0.18:8381"],"ttl_s":1.5}"#);
}
