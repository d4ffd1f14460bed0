use std::time::Duration;

use super::*;

const SECOND: Duration = Duration::from_secs(1);

/// A process that exits in some seconds.
fn stop_in(seconds: u32, now: Instant) -> Stop {
    let stop = Stop::default();
    stop.begin(now + SECOND * seconds);
    stop
}

/// Whatever requests of its kind usually take.
#[test]
fn only_requests_whose_deadline_is_before_the_exit_start_at_a_target() {
    let now = Instant::now();
    let stop = stop_in(5, now);
    assert!(stop.allows(now + SECOND * 5));
    assert!(!stop.allows(now + SECOND * 6));
    assert!(Stop::default().allows(now + SECOND * 3600));
}

#[tokio::test]
async fn a_wait_ends_when_the_request_may_not_start_any_more() {
    let now = Instant::now();
    let limit = Duration::from_millis(50);
    for (stop, deadline) in [
        (Stop::default(), now + SECOND * 3600),
        (stop_in(5, now), now + SECOND * 5),
    ] {
        let waiting = tokio::time::timeout(limit, stop.disallows(deadline));
        assert!(waiting.await.is_err());
    }
    stop_in(5, now).disallows(now + SECOND * 6).await;
    assert!(now.elapsed() < SECOND);
}
