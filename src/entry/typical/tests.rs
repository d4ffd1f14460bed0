use super::*;

fn millis(count: u64) -> Duration {
    Duration::from_millis(count)
}

#[test]
fn the_usual_time_is_known_after_some_answers_and_leaves_slowness_out() {
    let mut typical = Typical::default();
    let route: Arc<str> = "r".into();
    for _ in 0..9 {
        typical.note(&route, millis(100), 1.0);
    }
    assert_eq!(typical.of("r"), None);
    typical.note(&route, millis(700), 7.0);
    let usual = typical.of("r").unwrap();
    assert!((usual.as_secs_f64() - 0.1).abs() < 0.001, "{usual:?}");
}
