use super::*;

const SECOND: Duration = Duration::from_secs(1);

/// A process that exits in some seconds.
fn stop_in(seconds: u32, now: Instant) -> Stop {
    let stop = Stop::default();
    stop.begin(now + SECOND * seconds);
    stop
}

fn run_time(deadline: u32, usual_ms: u64) -> RunTime {
    RunTime {
        deadline_left: SECOND * deadline,
        usual: Some(Duration::from_millis(usual_ms)),
    }
}

#[test]
fn only_requests_that_end_before_the_process_start_at_a_target() {
    let now = Instant::now();
    let stop = stop_in(5, now);
    assert!(stop.allows(now, run_time(5, 9000)));
    assert!(stop.allows(now, run_time(25, 500)));
    assert!(!stop.allows(now, run_time(25, 600)));
    assert!(!stop.allows(now + SECOND, run_time(25, 500)));
    assert!(Stop::default().allows(now, run_time(25, 9000)));
}

#[tokio::test]
async fn a_wait_ends_when_the_request_could_not_start_any_more() {
    let stop = Stop::default();
    let waiting = tokio::time::timeout(Duration::from_millis(50), stop.disallows(SECOND));
    assert!(waiting.await.is_err());
    let started = Instant::now();
    stop_in(1, started)
        .disallows(Duration::from_millis(900))
        .await;
    assert!(started.elapsed() >= Duration::from_millis(100));
}
