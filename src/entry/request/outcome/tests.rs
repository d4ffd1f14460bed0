use super::*;

const WAIT: Duration = Duration::from_millis(1_500);
const RUN_TIME: Duration = Duration::from_millis(200);

fn retry_after(reason: NoTarget, shed: bool, wait: Option<Duration>, draw: f64) -> Duration {
    let room = wait.map(|wait| Room {
        wait,
        run_time: RUN_TIME,
    });
    Refusal::without_target(reason, shed, room, draw).retry_after
}

#[test]
fn callers_are_told_when_there_will_be_room() {
    let left = Duration::from_secs(90);
    let paused = NoTarget::Paused { left };
    for (reason, shed, expected) in [
        (NoTarget::NoCapacity, false, WAIT),
        (NoTarget::TooLate, false, WAIT),
        (NoTarget::AllTried, true, WAIT),
        (paused, false, left),
        (paused, true, left),
    ] {
        assert_eq!(retry_after(reason, shed, Some(WAIT), 0.0), expected);
        let latest = expected + RUN_TIME;
        assert_eq!(retry_after(reason, shed, Some(WAIT), 1.0), latest);
    }
}

/// They were sent back at once, when the retry budget had just forbidden another attempt.
#[test]
fn callers_do_not_return_to_targets_that_shed_their_request_before_a_run_has_ended() {
    let now = Some(Duration::ZERO);
    let told = retry_after(NoTarget::AllTried, true, now, 0.0);
    assert_eq!(told, RUN_TIME);
}

#[test]
fn the_default_is_told_where_nothing_is_known() {
    for (reason, wait) in [
        (NoTarget::NoCapacity, None),
        (NoTarget::NoneUsable, Some(WAIT)),
        (NoTarget::AllTried, Some(WAIT)),
    ] {
        let told = retry_after(reason, false, wait, 0.5);
        assert_eq!(told, DEFAULT_RETRY_AFTER, "{reason}");
    }
}

#[test]
fn a_known_time_is_told_whole() {
    let text = |retry_after| {
        let reply = reply(Outcome::Refused, retry_after);
        reply.headers[http::header::RETRY_AFTER].clone()
    };
    assert_eq!(text(Duration::from_secs(300)), "300.000");
    assert_eq!(text(Duration::ZERO), "0.050");
}
