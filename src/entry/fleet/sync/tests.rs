use super::*;
use crate::entry::testing::{instance_with, slow_server};
use crate::platform::prepared::store::{RESPONSE_STALL_TIMEOUT, WATCH_MARGIN};

/// Time from the store's return until a configuration must be in force everywhere: the
/// time in which instances may lack contact, and the limit itself.
const PROPAGATION_LIMIT: Duration = Duration::from_secs(3 + 2);

/// Maximum time from the store's return until a watcher detects a change, if its watch
/// was opened just before the return and stays silent.
fn max_detection_delay(tuning: &Tuning, is_reachable: bool) -> Duration {
    // A response that had begun may have stalled.
    let silent = |wait: Duration| (wait + WATCH_MARGIN).max(RESPONSE_STALL_TIMEOUT);
    let wait = if is_reachable {
        tuning.watch_timeout
    } else {
        confirm_timeout(tuning)
    };
    // The backoff is shortest after a response and longest after many failures.
    let pause = if is_reachable {
        BACKOFF_RANGE.0
    } else {
        BACKOFF_RANGE.1
    };
    silent(wait) + pause + silent(confirm_timeout(tuning))
}

#[test]
fn a_silent_watch_after_an_outage_ends_within_the_limit() {
    let tuning = Tuning::default();
    // Sent to the other instances with the next heartbeat, and then fetched by them.
    let spread = tuning.heartbeat_interval * 2 + tuning.batch_delay;
    for is_reachable in [false, true] {
        let delay = max_detection_delay(&tuning, is_reachable) + spread;
        assert!(delay <= PROPAGATION_LIMIT, "{delay:?}");
    }
}

#[test]
fn a_watch_waits_long_only_after_a_response_of_the_store() {
    let shared = instance_with(&[]);
    let confirm = confirm_timeout(&Tuning::default());
    assert_eq!(next_wait(&shared), confirm);
    set_access(&shared, StoreAccess::Watching);
    let wait = next_wait(&shared);
    assert!(wait > confirm, "{wait:?}");
    set_access(&shared, StoreAccess::Lost);
    assert_eq!(next_wait(&shared), confirm);
}

/// What the store holds under a key is replaced at its revision while it is invalid, and
/// never if it may be valid for a later release.
#[test]
fn an_invalid_record_is_replaced_unless_it_is_of_a_later_release() {
    let shared = instance_with(&[]);
    let key: Arc<str> = "rollouts/s".into();
    for (revision, problem, is_later, expected) in [
        (9, Some("odd"), false, 9),
        (10, Some("unknown format 2"), true, 0),
        (11, Some("odd"), false, 11),
        (12, None, false, 0),
    ] {
        let removal = Change {
            key: key.clone(),
            revision,
            record: None,
        };
        let rejected = problem.map(|problem| RejectedRecord {
            key: key.clone(),
            revision,
            problem: problem.to_owned(),
            is_later,
        });
        let change_set = ChangeSet {
            changes: vec![removal],
            era: 0,
            revision,
            rejected: rejected.into_iter().collect(),
        };
        apply(&shared, change_set, false);
        let stored = shared.state().stored_revision(&key);
        assert_eq!(stored, expected, "at {revision}");
    }
}

/// A large response takes longer than the stall timeout on a narrow link.
#[tokio::test]
async fn a_watch_whose_response_is_arriving_is_not_stalled_by_changes_of_peers() {
    let shared = instance_with(&[]);
    set_access(&shared, StoreAccess::Watching);
    let body = r#"{"events":[],"store_revision":9}"#;
    let pause = STALL_TIMEOUT / 40;
    let address = slow_server(body, usize::MAX, pause).await;
    let mut store_client = StoreClient::new(address, shared.metrics.store_calls.clone());
    let (result, ()) = tokio::join!(watch(&shared, &mut store_client), async {
        // The watch has started: it is polled first.
        let change = Change {
            key: "k".into(),
            revision: 5,
            record: None,
        };
        let delta = Delta {
            era: 0,
            revision: 5,
            complete: false,
            changes: vec![change],
        };
        let now = shared.now();
        shared.state().apply(now, delta, "peer");
    });
    assert!(result.is_ok(), "{result:?}");
    assert_eq!(shared.state().replica.revision(), 9);
}
