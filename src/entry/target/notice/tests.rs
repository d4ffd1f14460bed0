use super::*;

const NOW: Time = Time::from_secs(10);
const SECOND: Duration = Duration::from_secs(1);

#[test]
fn a_pause_ends_after_the_longest_time_that_a_response_named() {
    let mut notice = TargetNotice::default();
    assert!(notice.record_pause(NOW, 3 * SECOND));
    assert!(!notice.record_pause(NOW.after(SECOND), SECOND));
    assert_eq!(notice.pause_left(NOW.after(SECOND)), Some(2 * SECOND));
    assert!(!notice.record_pause(NOW.after(2 * SECOND), 2 * SECOND));
    assert_eq!(notice.pause_left(NOW.after(3 * SECOND)), Some(SECOND));
    assert_eq!(notice.pause_left(NOW.after(4 * SECOND)), None);
}

#[test]
fn an_absurd_pause_is_bounded_and_an_empty_one_is_none() {
    let mut notice = TargetNotice::default();
    assert!(!notice.record_pause(NOW, Duration::ZERO));
    assert!(notice.record_pause(NOW, Duration::MAX));
    assert_eq!(notice.pause_left(NOW), Some(MAX_PAUSE));
}

#[test]
fn a_run_that_is_leaving_stays_so_and_is_told_for_a_while() {
    let mut notice = TargetNotice::default();
    assert!(notice.record_leaving(NOW));
    assert!(!notice.record_leaving(NOW.after(TOLD_FOR / 2)));
    assert!(notice.is_to_be_told(NOW.after(TOLD_FOR / 2)));
    let later = NOW.after(TOLD_FOR);
    assert!(notice.is_leaving() && !notice.is_to_be_told(later));
}

#[test]
fn notices_of_unregistered_runs_are_bounded() {
    let mut notices = UnregisteredNotices::default();
    for run in 0..=MAX_UNREGISTERED as u64 {
        notices.record_leaving(NOW, run);
    }
    assert_eq!(notices.take(0), TargetNotice::default(), "the oldest");
    assert!(notices.take(1).is_leaving());
}
