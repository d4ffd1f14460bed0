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

#[test]
fn a_second_attempt_ends_within_the_objective_or_is_not_sent() {
    assert_eq!(hedge_after(millis(90), millis(250)), Some(millis(115)));
    assert_eq!(hedge_after(millis(36), millis(120)), Some(millis(66)));
    assert_eq!(hedge_after(millis(100), millis(250)), None);
    assert_eq!(hedge_after(millis(300), millis(250)), None);
}
