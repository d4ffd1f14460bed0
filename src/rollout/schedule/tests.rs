use super::*;

fn schedule(seconds: u64) -> Schedule {
    Schedule::new(Duration::from_secs(seconds))
}

#[test]
fn the_steps_fit_into_the_time_ordered() {
    for seconds in [5, 8, 14, 60, 3600, 86_400] {
        let schedule = schedule(seconds);
        assert!(schedule.part <= schedule.last_part, "{schedule:?}");
        assert!(schedule.full <= schedule.last_full, "{schedule:?}");
        assert!(schedule.part < schedule.full, "{schedule:?}");
        let completed = schedule.last_full + MIN_FULL_TIME;
        assert!(completed <= schedule.completed, "{schedule:?}");
        assert!(schedule.completed < schedule.end, "{schedule:?}");
    }
    let hours = schedule(6 * 3600);
    assert!(hours.full + hours.full_time < Duration::from_secs(12 * 60));
}

#[test]
fn a_step_is_known_by_its_share() {
    for hundredths in 0..=100_u8 {
        let sample = sample_percent(f64::from(hundredths) / 100.0);
        assert_eq!(Step::of(sample), Step::Sample);
        assert_eq!(Step::of(part_after(sample)), Step::Part);
        assert!(part_after(sample) > sample);
    }
    assert_eq!(Step::of(100), Step::Full);
}

#[test]
fn a_step_is_too_late_if_the_next_ones_do_not_fit() {
    let schedule = schedule(14);
    let at = |seconds| Duration::from_secs_f64(seconds);
    assert!(!schedule.is_too_late(at(10.6), Step::Sample));
    assert!(schedule.is_too_late(at(10.8), Step::Sample));
    assert!(!schedule.is_too_late(at(11.4), Step::Part));
    assert!(schedule.is_too_late(at(11.6), Step::Part));
    assert!(!schedule.is_too_late(at(14.0), Step::Full));
}
