use super::*;

#[test]
fn order_is_by_priority_then_by_due_time() {
    let mut queue = WaitQueue::default();
    let low_priority = queue.enqueue(2, Time::from_secs(1));
    let later = queue.enqueue(1, Time::from_secs(3));
    let earlier = queue.enqueue(1, Time::from_secs(2));
    assert!(queue.may_proceed(Some(&earlier), 1));
    assert!(!queue.may_proceed(Some(&later), 1) && !queue.may_proceed(Some(&low_priority), 2));
    assert!(queue.may_proceed(None, 0) && !queue.may_proceed(None, 1));
    queue.remove(&earlier);
    assert!(queue.may_proceed(Some(&later), 1));
    queue.remove(&later);
    assert!(queue.may_proceed(Some(&low_priority), 2) && queue.may_proceed(None, 1));
    queue.remove(&low_priority);
    assert!(queue.may_proceed(None, 5));
}

#[test]
fn the_expected_wait_counts_preceding_requests() {
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
