use super::*;

fn at(millis: u64) -> Time {
    Time::from_millis(millis)
}

/// An instance that could not connect to two targets.
fn failing() -> Reach {
    let mut reach = Reach::default();
    reach.record_failure(at(1000), 1);
    reach.record_failure(at(1000), 2);
    reach
}

#[test]
fn an_instance_that_others_outreach_is_cut_off_until_all_checks_succeed() {
    let mut reach = failing();
    assert!(reach.try_begin_check(at(1010)));
    assert!(!reach.try_begin_check(at(1020)), "it is being checked");
    assert_eq!(reach.finish_check(at(1030), 0, 3), Some(ReachChange::Lost));
    assert!(reach.is_cut_off());
    assert!(!reach.try_begin_check(at(1100)), "too early");
    assert!(reach.try_begin_check(at(1400)));
    assert_eq!(
        reach.finish_check(at(1400), 3, 0),
        None,
        "too early to return"
    );
    assert!(reach.try_begin_check(at(2100)));
    assert_eq!(reach.finish_check(at(2100), 2, 1), None, "one still fails");
    assert!(reach.try_begin_check(at(2500)));
    assert_eq!(
        reach.finish_check(at(2500), 3, 0),
        Some(ReachChange::Regained)
    );
    assert!(!reach.is_cut_off() && !reach.try_begin_check(at(9000)));
}

/// A crash of all targets looks alike from one instance.
#[test]
fn an_instance_is_not_cut_off_if_no_peer_reaches_a_target_either() {
    let mut reach = failing();
    assert!(reach.try_begin_check(at(1010)));
    assert!(!reach.is_confirmed_since(at(1000)));
    assert_eq!(reach.finish_check(at(1010), 0, 0), None);
    assert!(!reach.is_cut_off());
    assert!(reach.is_confirmed_since(at(1000)), "its failures are real");
}

#[test]
fn an_instance_that_reaches_one_of_the_checked_targets_is_not_cut_off() {
    let mut reach = failing();
    assert!(reach.try_begin_check(at(1010)));
    assert_eq!(reach.finish_check(at(1020), 1, 2), None);
    assert!(!reach.is_cut_off() && !reach.try_begin_check(at(2000)));
}

/// The usual case: one target crashed.
#[test]
fn one_failure_is_checked_only_while_no_target_responds() {
    let mut reach = Reach::default();
    reach.record_failure(at(1000), 1);
    assert!(!reach.is_confirmed_since(at(1000)));
    reach.record_response(at(1002), at(500));
    assert!(reach.is_confirmed_since(at(1000)));
    assert!(!reach.try_begin_check(at(1010)));
    reach.record_failure(at(1020), 1);
    assert!(reach.try_begin_check(at(1030)));
}

/// Open connections live on while new ones are refused.
#[test]
fn responses_over_connections_from_before_do_not_end_a_suspicion() {
    let mut reach = failing();
    reach.record_response(at(1005), at(500));
    assert!(reach.try_begin_check(at(1010)));
    assert_eq!(reach.finish_check(at(1020), 0, 2), Some(ReachChange::Lost));
    let mut reach = failing();
    reach.record_response(at(1005), at(1002));
    assert!(!reach.try_begin_check(at(1010)), "over a new connection");
}

#[test]
fn an_instance_whose_partition_comes_and_goes_stays_cut_off_for_longer() {
    let mut reach = Reach::default();
    let mut now = at(1000);
    let mut lasted = Vec::new();
    for _ in 0..6 {
        let start = now;
        assert_eq!(reach.finish_check(now, 0, 3), Some(ReachChange::Lost));
        while reach.finish_check(now, 3, 0).is_none() {
            now = now.after(Duration::from_millis(100));
        }
        lasted.push(now.since(start).as_secs());
        now = now.after(CHECK_INTERVAL);
    }
    assert_eq!(lasted, [1, 2, 4, 8, 8, 8]);
    now = now.after(2 * RELAPSE_WINDOW);
    reach.finish_check(now, 0, 3);
    let change = reach.finish_check(now.after(MIN_CUT_OFF), 3, 0);
    assert_eq!(change, Some(ReachChange::Regained));
}
