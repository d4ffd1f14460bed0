use super::*;
use crate::entry::fleet::freshness::FreshnessLimits;
use crate::entry::settings::Tuning;
use crate::entry::testing::{instance_with, slow_server};
use crate::platform::prepared::store::{RESPONSE_STALL_TIMEOUT, WATCH_MARGIN};

/// Maximum time from the store's return until a watcher detects a change, if its watch
/// was opened just before the return and stays silent. One that started with an answer is
/// given up once it is in doubt.
fn max_detection_delay(limits: FreshnessLimits, is_reachable: bool) -> Duration {
    // A response that had begun may have stalled.
    let silent = |wait: Duration| (wait + WATCH_MARGIN).max(RESPONSE_STALL_TIMEOUT);
    // The backoff is shortest after a response and longest after many failures.
    let (wait, pause) = if is_reachable {
        let doubt = limits.doubt_after + POLL_INTERVAL;
        (
            silent(limits.answer_interval * 4).min(doubt),
            BACKOFF_RANGE.0,
        )
    } else {
        (silent(CONFIRM_TIMEOUT), BACKOFF_RANGE.1)
    };
    wait + pause + silent(CONFIRM_TIMEOUT)
}

/// From the store's return on, instances may lack contact for a while, before the limit counts.
#[test]
fn a_silent_watch_after_an_outage_ends_within_the_limit() {
    let tuning = Tuning::default();
    // Sent to the other instances with the next heartbeat, and then fetched by them.
    let spread = tuning.heartbeat_interval * 2 + tuning.batch_delay;
    for (contact_ms, limit_ms) in [(3000, 2000), (3000, 2500), (4000, 3000)] {
        let limit = Duration::from_millis(limit_ms);
        let limits = FreshnessLimits::new(limit);
        for is_reachable in [false, true] {
            let delay = max_detection_delay(limits, is_reachable) + spread;
            let allowed = Duration::from_millis(contact_ms) + limit;
            assert!(delay <= allowed, "{limit_ms}: {delay:?}");
        }
    }
}

#[test]
fn a_watch_waits_long_only_after_a_response_of_the_store() {
    let shared = instance_with(&[]);
    assert_eq!(next_wait(&shared), CONFIRM_TIMEOUT);
    set_access(&shared, StoreAccess::Watching);
    let wait = next_wait(&shared);
    assert!(wait > CONFIRM_TIMEOUT, "{wait:?}");
    set_access(&shared, StoreAccess::Lost);
    assert_eq!(next_wait(&shared), CONFIRM_TIMEOUT);
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
