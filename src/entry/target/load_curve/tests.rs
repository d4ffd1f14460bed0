use super::*;

#[test]
fn the_slowdown_of_the_last_slot_is_learned() {
    let mut curve = LoadCurve::default();
    for number in 0..200 {
        let spread = 0.8 + f64::from(number % 5) * 0.1;
        curve.record(2.0 / 3.0, spread);
        curve.record(1.0, 1.7 * spread);
        if number == 8 {
            assert!((curve.factor(1.0) - 1.0).abs() < 0.01, "nine responses");
        }
    }
    assert!((curve.factor(1.0 / 3.0) - 1.0).abs() < 0.01);
    assert!((curve.factor(2.0 / 3.0) - 1.0).abs() < 0.15, "{curve:?}");
    assert!((curve.factor(1.0) - 1.7).abs() < 0.2, "{curve:?}");
}

#[test]
fn a_service_whose_targets_keep_their_speed_has_no_slowdown() {
    let mut curve = LoadCurve::default();
    for number in 0..300 {
        curve.record(f64::from(number % 6 + 1) / 6.0, 1.0);
    }
    assert!(curve.factor(1.0) < 1.1, "{curve:?}");
}

/// As after an incident in which nearly full targets were much slower.
#[test]
fn a_slowdown_that_is_not_seen_any_more_is_forgotten() {
    let mut curve = LoadCurve::default();
    for _ in 0..50 {
        curve.record(1.0, 6.0);
    }
    assert!(curve.factor(1.0) > 5.0, "{curve:?}");
    for _ in 0..=MAX_UNCONFIRMED {
        curve.record(0.3, 1.0);
    }
    assert!((curve.factor(1.0) - 1.0).abs() < 0.01, "{curve:?}");
}

#[test]
fn a_fuller_target_is_never_expected_to_be_faster() {
    arbtest::arbtest(|u| {
        let mut curve = LoadCurve::default();
        for _ in 0..u.int_in_range(0..=200_u8)? {
            let fill = f64::from(u.int_in_range(0..=24_u8)?) / 20.0;
            curve.record(fill, f64::from(u.int_in_range(0..=90_u8)?) / 10.0);
        }
        let factors: Vec<f64> = (1..=30_u8)
            .map(|n| curve.factor(f64::from(n) / 30.0))
            .collect();
        assert!(factors.is_sorted(), "{factors:?}");
        assert!(factors[0] >= 1.0, "{factors:?}");
        Ok(())
    });
}
