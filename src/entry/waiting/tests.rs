use super::*;

#[test]
fn the_most_urgent_goes_first_then_the_earliest_deadline() {
    let mut line = Line::default();
    let bulky = line.join(2, Time::from_secs(1));
    let late = line.join(1, Time::from_secs(3));
    let soon = line.join(1, Time::from_secs(2));
    assert!(line.may_go(Some(&soon), 1));
    assert!(!line.may_go(Some(&late), 1) && !line.may_go(Some(&bulky), 2));
    assert!(line.may_go(None, 0) && !line.may_go(None, 1));
    line.leave(&soon);
    assert!(line.may_go(Some(&late), 1));
    line.leave(&late);
    assert!(line.may_go(Some(&bulky), 2) && line.may_go(None, 1));
    line.leave(&bulky);
    assert!(line.may_go(None, 5));
}

#[test]
fn the_expected_wait_counts_those_that_go_before() {
    let mut line = Line::default();
    line.join(1, Time::from_secs(1));
    line.join(2, Time::from_secs(1));
    assert_eq!((line.ahead(0), line.ahead(1), line.ahead(2)), (0, 1, 2));
    let wait = expected_wait(3, 2.0, Duration::from_millis(100));
    assert_eq!(wait, Duration::from_millis(200));
}
