use super::*;

fn millis(count: u64) -> Duration {
    Duration::from_millis(count)
}

#[test]
fn the_usual_time_is_known_after_some_answers_and_leaves_slowness_out() {
    let mut service_time = ServiceTimes::default();
    let route: Arc<str> = "r".into();
    for _ in 0..9 {
        service_time.record(&route, millis(100), 1.0);
    }
    assert_eq!(service_time.get("r"), None);
    service_time.record(&route, millis(700), 7.0);
    let usual = service_time.get("r").unwrap();
    assert!((usual.as_secs_f64() - 0.1).abs() < 0.001, "{usual:?}");
}
