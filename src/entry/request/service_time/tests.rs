use super::*;

fn millis(count: u64) -> Duration {
    Duration::from_millis(count)
}

#[test]
fn service_time_is_known_after_a_response_settled_after_ten_and_excludes_slowness() {
    let mut times = ServiceTimes::default();
    let route: Arc<str> = "r".into();
    assert_eq!(times.get("r"), None);
    for _ in 0..9 {
        times.record(&route, millis(100), 1.0);
        assert_eq!(times.get("r"), Some(millis(100)));
    }
    assert_eq!(times.settled("r"), None);
    times.record(&route, millis(700), 7.0);
    let estimate = times.settled("r").unwrap();
    assert_eq!(times.get("r"), Some(estimate));
    assert!((estimate.as_secs_f64() - 0.1).abs() < 0.001, "{estimate:?}");
}
