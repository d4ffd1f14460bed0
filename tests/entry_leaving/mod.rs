//! Targets that say in their responses that they leave, or that they want a pause.

use std::time::Duration;

use tokio::time::Instant;

use crate::entry_cluster::EntryCluster;

/// Size of an upload in bytes, and how much of it is sent before its target is leaving.
const UPLOAD: (usize, usize) = (200_000, 199_000);

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

impl EntryCluster {
    /// Waits until an instance knows that a target says that it is leaving.
    async fn wait_until_told(&self, instance: usize, target: &str) {
        let targets = || async { Some(self.dump_field(instance, "targets").await) };
        let is_told = |targets: &serde_json::Value| {
            let mut targets = targets.as_array().unwrap().iter();
            let target = targets.find(|known| known["id"] == target).unwrap();
            target["says_leaving"] == true
        };
        self.wait_until(targets, is_told).await;
    }
}

/// One of them probes the target, and gets no requests.
#[tokio::test]
async fn all_instances_learn_that_a_target_says_that_it_leaves() {
    let cluster = EntryCluster::start(3, 2).await;
    let target = &cluster.targets()[0];
    target.state.change(|state| state.names_leaving = true);
    for instance in 0..3 {
        cluster.wait_until_told(instance, "t0").await;
    }
}

#[tokio::test]
async fn an_upload_finishes_at_a_target_that_leaves_and_the_next_goes_elsewhere() {
    let cluster = EntryCluster::start(1, 2).await;
    cluster.configure(8, &["/safe/", "/upload/"]);
    cluster.wait_for_version(0, 8).await;
    let body = vec![7; UPLOAD.0];
    let mut conn = cluster.connect(0).await;
    conn.send_upload_head("begun", Some(UPLOAD.0)).await;
    // The little that is left is expected at once, so a target is taken.
    conn.send(&body[..UPLOAD.1]).await;
    cluster.wait_until_arrived("begun").await;
    let arrived = |id: &str| {
        let mut targets = cluster.targets().iter();
        targets.position(|target| target.record.get().arrivals.contains_key(id))
    };
    let leaving = arrived("begun").unwrap();
    let target = &cluster.targets()[leaving];
    target.state.change(|state| state.names_leaving = true);
    cluster.wait_until_told(0, &target.id).await;
    conn.send(&body[UPLOAD.1..]).await;
    assert_eq!(conn.response().await.status, 200);
    assert_eq!(cluster.runs("begun"), 1);
    for number in 0..5 {
        let id = format!("later-{number}");
        conn.send_upload_head(&id, Some(UPLOAD.0)).await;
        conn.send(&body).await;
        assert_eq!(conn.response().await.status, 200);
        assert_eq!(arrived(&id), Some(1 - leaving));
    }
}
