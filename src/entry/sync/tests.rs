use super::*;
use crate::platform::prepared::store::WATCH_MARGIN;

/// After the store's return a configuration must be in force everywhere within this:
/// the time in which instances count as out of touch, and the bound itself.
const PROPAGATION_LIMIT: Duration = Duration::from_secs(3 + 2);

/// Longest time from the store's return until a watcher hears of a change, when its
/// watch was opened just before the return and stays silent.
fn max_detection_delay(tuning: &Tuning, is_reachable: bool) -> Duration {
    let silent = watch_timeout(is_reachable, tuning) + WATCH_MARGIN;
    // The pause is the shortest after an answer, and the longest after many failures.
    let pause = if is_reachable {
        BACKOFF_RANGE.0
    } else {
        BACKOFF_RANGE.1
    };
    silent + pause + watch_timeout(false, tuning) + WATCH_MARGIN
}

#[test]
fn a_watch_that_stays_silent_after_an_outage_is_given_up_in_time() {
    let tuning = Tuning::default();
    // Told to the others with the next beat, and asked for by them.
    let spread = tuning.heartbeat_interval * 2 + tuning.batch_delay;
    for is_reachable in [false, true] {
        let delay = max_detection_delay(&tuning, is_reachable) + spread;
        assert!(delay <= PROPAGATION_LIMIT, "{delay:?}");
    }
}

#[test]
fn a_watch_waits_long_only_once_the_store_has_answered() {
    let tuning = Tuning::default();
    assert_eq!(watch_timeout(true, &tuning), tuning.watch_timeout);
    assert!(watch_timeout(false, &tuning) < tuning.watch_timeout / 4);
}
