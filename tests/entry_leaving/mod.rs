//! Targets that say in their responses that they leave, or that they want a pause.

use std::time::Duration;

use tokio::time::Instant;

use crate::entry_cluster::EntryCluster;

/// Time after which a target that says so gets nothing more; the users' `drain_ms`.
const DRAIN_TIME: Duration = Duration::from_secs(2);
/// Time after which a pause must be kept.
const PAUSE_TOLERANCE: Duration = Duration::from_millis(500);
/// Requests and health checks of an instance that may reach a target in its pause.
const MAX_IN_PAUSE: usize = 2;

/// The store doesn't know yet that the target leaves.
#[tokio::test]
async fn a_target_that_says_that_it_leaves_gets_no_new_requests() {
    let cluster = EntryCluster::start(1, 2).await;
    let target = &cluster.targets()[0];
    target.state.change(|state| state.names_leaving = true);
    for number in 0..10 {
        let id = format!("told-{number}");
        cluster.get(0, "/safe/x", &id).await;
    }
    tokio::time::sleep(DRAIN_TIME).await;
    for number in 0..10 {
        let id = format!("after-{number}");
        let resp = cluster.get(0, "/safe/x", &id).await;
        assert!(resp.body.starts_with("t1 ran"), "{resp:?}");
    }
}

/// Health checks count like requests.
#[tokio::test]
async fn a_target_that_asks_for_a_pause_gets_nothing_until_it_ends() {
    let cluster = EntryCluster::start(1, 2).await;
    let target = &cluster.targets()[0];
    target.state.change(|state| state.pause = Some(3));
    for number in 0..10 {
        let id = format!("told-{number}");
        cluster.get(0, "/safe/x", &id).await;
    }
    let from = Instant::now() + PAUSE_TOLERANCE;
    tokio::time::sleep(2 * PAUSE_TOLERANCE).await;
    for number in 0..10 {
        let id = format!("after-{number}");
        let resp = cluster.get(0, "/safe/x", &id).await;
        assert_eq!(resp.status, 200, "{resp:?}");
    }
    let times = target.record.get().arrival_times;
    let arrived = times.iter().filter(|at| **at >= from).count();
    assert!(arrived <= MAX_IN_PAUSE, "{arrived} in the pause");
}
