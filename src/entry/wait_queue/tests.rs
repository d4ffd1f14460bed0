use super::*;

#[test]
fn the_most_urgent_goes_first_then_the_earliest_deadline() {
    let mut queue = WaitQueue::default();
    let bulky = queue.enqueue(2, Time::from_secs(1));
    let late = queue.enqueue(1, Time::from_secs(3));
    let soon = queue.enqueue(1, Time::from_secs(2));
    assert!(queue.may_proceed(Some(&soon), 1));
    assert!(!queue.may_proceed(Some(&late), 1) && !queue.may_proceed(Some(&bulky), 2));
    assert!(queue.may_proceed(None, 0) && !queue.may_proceed(None, 1));
    queue.remove(&soon);
    assert!(queue.may_proceed(Some(&late), 1));
    queue.remove(&late);
    assert!(queue.may_proceed(Some(&bulky), 2) && queue.may_proceed(None, 1));
    queue.remove(&bulky);
    assert!(queue.may_proceed(None, 5));
}

#[test]
fn the_expected_wait_counts_those_that_go_before() {
    let mut queue = WaitQueue::default();
    queue.enqueue(1, Time::from_secs(1));
    queue.enqueue(2, Time::from_secs(1));
    assert_eq!(
        (queue.ahead_of(0), queue.ahead_of(1), queue.ahead_of(2)),
        (0, 1, 2)
    );
    let wait = expected_wait(3, 2.0, Duration::from_millis(100));
    assert_eq!(wait, Duration::from_millis(200));
}
