use super::*;

const MS: Duration = Duration::from_millis(1);

fn target() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 1))
}

fn service() -> ServiceName {
    ServiceName::from("status")
}

#[test]
fn stall_timeout_follows_the_targets_slowest_recent_first_byte() {
    let mut times = FirstByteTimes::default();
    assert_eq!(times.stall_timeout(target()), 500 * MS);
    times.record_response(Time::ZERO, &service(), target(), 300 * MS);
    assert_eq!(times.stall_timeout(target()), 1200 * MS);
    times.record_response(Time::from_secs(31), &service(), target(), MS);
    assert_eq!(times.stall_timeout(target()), 1200 * MS, "after one window");
    times.record_response(Time::from_secs(62), &service(), target(), MS);
    assert_eq!(times.stall_timeout(target()), 500 * MS, "after two windows");
}

#[test]
fn only_older_connections_are_retired() {
    let mut times = FirstByteTimes::default();
    times.retire_before(target(), Time::from_secs(5));
    times.retire_before(target(), Time::from_secs(3));
    assert!(!times.may_reuse(target(), Time::from_secs(4)));
    assert!(times.may_reuse(target(), Time::from_secs(5)));
    let other = SocketAddr::from(([127, 0, 0, 1], 2));
    assert!(times.may_reuse(other, Time::ZERO));
}

#[test]
fn hedge_delay_is_a_high_quantile_of_the_services_first_bytes() {
    let mut times = FirstByteTimes::default();
    assert_eq!(times.hedge_delay(&service()), None);
    // 90 % take 10 ms, 10 % take 100 ms.
    for number in 0..10_000_u64 {
        let took = if number % 10 == 0 { 100 * MS } else { 10 * MS };
        times.record_response(Time::from_millis(number), &service(), target(), took);
    }
    let wait = times
        .hedge_delay(&service())
        .expect("enough responses for an estimate");
    assert!(wait > 10 * MS && wait <= 110 * MS, "{wait:?}");
}

#[test]
fn responses_without_call_id_are_rejected_once_the_target_has_sent_one() {
    let mut times = FirstByteTimes::default();
    assert!(times.is_expected_response(Time::ZERO, target(), None));
    assert!(!times.is_expected_response(Time::ZERO, target(), Some(false)));
    assert!(times.is_expected_response(Time::ZERO, target(), Some(true)));
    assert!(!times.is_expected_response(Time::ZERO, target(), None));
}

#[test]
fn call_id_requirement_outlives_an_idle_target() {
    let mut times = FirstByteTimes::default();
    assert!(times.is_expected_response(Time::ZERO, target(), Some(true)));
    times.remove_expired(Time::from_secs(600));
    assert!(!times.is_expected_response(Time::from_secs(600), target(), None));
    times.remove_expired(Time::from_secs(4_300));
    assert!(times.is_expected_response(Time::from_secs(4_300), target(), None));
}
