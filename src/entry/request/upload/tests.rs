use super::*;

fn arrival(received: usize, declared: Option<usize>) -> Arrival {
    Arrival {
        received,
        declared,
        complete: declared == Some(received),
        full: false,
    }
}

fn may_take(arrival: &Arrival, elapsed_ms: u64) -> bool {
    let elapsed = Duration::from_millis(elapsed_ms);
    may_take_target(arrival, elapsed, &UploadSettings::default())
}

#[test]
fn a_request_without_a_body_or_with_all_of_it_takes_a_target_at_once() {
    assert!(may_take(&arrival(0, Some(0)), 0));
    assert!(may_take(&arrival(300, Some(300)), 0));
}

/// Load pattern: an upload of 360 KB over a link of 100 Mbit/s. Waiting for all of it
/// would add its whole transfer time to the request.
#[test]
fn a_fast_upload_takes_a_target_before_it_has_arrived() {
    let sizes = (0..=360_000).step_by(8_000);
    let first = sizes
        .map(|received| (received, received as u64 * 8 / 100_000))
        .find(|(received, elapsed_ms)| may_take(&arrival(*received, Some(360_000)), *elapsed_ms));
    assert!(
        first.is_some_and(|(received, _)| received < 100_000),
        "{first:?}"
    );
}

/// Load pattern: many uploads of 60 KB over links of 0.2 Mbit/s beside requests of other
/// callers. Each takes 2.4 s to arrive and must not hold a slot for that time.
#[test]
fn a_slow_upload_takes_a_target_only_when_it_has_nearly_arrived() {
    let sizes = (0..=60_000).step_by(500);
    let (received, _) = sizes
        .map(|received| (received, received as u64 * 8 / 200))
        .find(|(received, elapsed_ms)| may_take(&arrival(*received, Some(60_000)), *elapsed_ms))
        .unwrap();
    assert!(received >= 58_000, "{received}");
}

#[test]
fn a_body_that_does_not_fit_takes_a_target_to_make_space() {
    let full = Arrival {
        full: true,
        ..arrival(500_000, Some(4_000_000))
    };
    assert!(may_take(&full, 60_000));
}

#[test]
fn a_chunked_body_is_awaited_as_its_length_is_unknown() {
    assert!(!may_take(&arrival(100_000, None), 10));
    let complete = Arrival {
        complete: true,
        ..arrival(100_000, None)
    };
    assert!(may_take(&complete, 10));
}
