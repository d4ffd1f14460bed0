use super::*;
use crate::entry::settings::Tuning;

/// The users' platform gives this time from SIGTERM to the end.
const GRACE: Duration = Duration::from_secs(6);
/// Requests sent up to this time after SIGTERM may still run near the end of the grace.
const MAY_RUN_ON: Duration = Duration::from_secs(3);
/// How many times as long as told some callers keep a directory answer.
const KEPT_TIMES: u32 = 3;

#[test]
fn no_request_is_taken_that_a_stop_could_cut() {
    assert!(GRACE.mul_f64(CLOSE_AT_FRACTION) <= MAY_RUN_ON);
    // What still runs then has until the last sixth of the grace.
    let end = GRACE.mul_f64(EXIT_AT_FRACTION);
    assert!(end >= GRACE * 5 / 6 && end < GRACE);
}

#[test]
fn most_callers_have_a_new_directory_answer_before_connections_are_closed() {
    let ttl = Tuning::default().directory_ttl;
    assert!(GRACE.mul_f64(CLOSE_AT_FRACTION) >= ttl);
    assert!(ttl * KEPT_TIMES <= MAY_RUN_ON);
}
