use super::*;
use crate::entry::settings::Tuning;

/// The platform's time from SIGTERM to the end of the process.
const GRACE: Duration = Duration::from_secs(6);
/// Requests accepted until this time after SIGTERM may run until shortly before the end
/// of the grace period.
const LAST_REQUEST_AFTER: Duration = Duration::from_secs(3);
/// Some callers keep a directory response this many times its TTL.
const MAX_TTL_OVERRUN: u32 = 3;

#[test]
fn no_request_is_accepted_that_shutdown_could_interrupt() {
    assert!(GRACE.mul_f64(CLOSE_AT_FRACTION) <= LAST_REQUEST_AFTER);
    // Requests that still run then have until the last sixth of the grace period.
    let end = GRACE.mul_f64(EXIT_AT_FRACTION);
    assert!(end >= GRACE * 5 / 6 && end < GRACE);
}

#[test]
fn most_callers_refresh_the_directory_before_connections_close() {
    let ttl = Tuning::default().directory_ttl;
    assert!(GRACE.mul_f64(CLOSE_AT_FRACTION) >= ttl);
    assert!(ttl * MAX_TTL_OVERRUN <= LAST_REQUEST_AFTER);
}
