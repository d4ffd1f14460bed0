use super::*;

const SECOND: Duration = Duration::from_secs(1);

fn failed(at: Time) -> TargetPath {
    let mut path = TargetPath::default();
    path.record_failure(at);
    path
}

#[test]
fn a_failure_is_kept_until_a_connection_opened_later_works() {
    let at = Time::from_secs(5);
    let mut path = failed(at);
    assert!(!path.record_response(Time::from_secs(4)), "opened before");
    assert!(path.has_failed());
    assert!(path.record_response(Time::from_secs(6)));
    assert!(!path.has_failed());
}

#[test]
fn checks_become_less_frequent_and_end_with_the_failure() {
    let mut path = failed(Time::ZERO);
    let mut checks = Vec::new();
    for tick in 0..100 {
        let now = Time::from_millis(tick * 100);
        if path.try_check(now, Some((Health::Good, now))) {
            checks.push(now);
            path.record_failure(now);
        }
    }
    let gaps = checks.windows(2).map(|pair| pair[1].since(pair[0]));
    assert!(gaps.clone().is_sorted(), "{checks:?}");
    assert!(gaps.max() <= Some(2 * SECOND) && checks.len() <= 10);
    path.record_response(Time::from_secs(20));
    assert!(!path.try_check(Time::from_secs(30), None));
}

#[test]
fn a_target_that_is_unreachable_for_its_prober_too_is_not_checked() {
    let mut path = failed(Time::ZERO);
    let now = Time::from_secs(1);
    assert!(!path.try_check(now, Some((Health::Unreachable, now))));
    assert!(
        path.try_check(now, Some((Health::Unreachable, Time::ZERO))),
        "an old report"
    );
    assert!(!path.try_check(now, None), "just checked");
}
