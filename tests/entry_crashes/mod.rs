//! Requests that crash each target that runs them.

use std::time::{Duration, Instant};

use crate::entry_cluster::EntryCluster;

/// Crashes after which a request must not be sent to targets any more.
const MAX_CRASHES: u32 = 3;
/// Time after the third crash from which few more may arrive; the users' `touch_ms`.
const TOUCH_TIME: Duration = Duration::from_secs(3);
/// How many more.
const MAX_LATE: u32 = 3;

impl EntryCluster {
    /// Makes requests with `crash` in their path take the targets down for a while.
    fn crash_targets_for(&self, duration: Duration) {
        for target in self.targets() {
            target.state.change(|state| state.crash_duration = duration);
        }
    }

    /// Registers the targets, of which those that crashed have started again.
    fn register_targets(&self) {
        for number in 0..self.targets().len() {
            self.put_target(number, false);
        }
    }

    fn crashes(&self) -> u32 {
        let records = self.targets().iter().map(|target| target.record.get());
        records.map(|record| record.crashes).sum()
    }
}

/// Each instance sees one of the crashes.
#[tokio::test]
async fn a_request_that_crashed_targets_through_several_instances_is_blocked_by_all() {
    let cluster = EntryCluster::start(3, 8).await;
    cluster.crash_targets_for(Duration::from_millis(600));
    let first: Vec<_> = (0..3)
        .map(|instance| {
            let id = format!("first-{instance}");
            tokio::spawn(cluster.request(instance, "/once/crash", &id))
        })
        .collect();
    for request in first {
        request.await.unwrap();
    }
    // Until as many targets crashed, at most one more of each instance.
    for number in 0..MAX_CRASHES {
        tokio::time::sleep(Duration::from_millis(1200)).await;
        cluster.register_targets();
        tokio::time::sleep(Duration::from_millis(600)).await;
        if cluster.crashes() < MAX_CRASHES {
            let id = format!("more-{number}");
            cluster.get(0, "/once/crash", &id).await;
        }
    }
    tokio::time::sleep(Duration::from_millis(1200)).await;
    cluster.print_logs();
    let before = cluster.crashes();
    assert!(before >= MAX_CRASHES, "{before}");
    for instance in 0..3 {
        let id = format!("again-{instance}");
        let resp = cluster.get(instance, "/once/crash", &id).await;
        assert_eq!(resp.status, 503, "instance {instance}: {resp:?}");
    }
    assert_eq!(cluster.crashes(), before);
}

/// As in a day in which part of a route's requests crash every target that runs them: their
/// callers send them again and again, through all instances.
#[tokio::test]
async fn a_request_whose_every_run_crashes_soon_reaches_no_targets() {
    let cluster = EntryCluster::start(3, 8).await;
    cluster.crash_targets_for(Duration::from_millis(900));
    let mut third_at = None;
    let mut late = 0;
    for number in 0.. {
        let id = format!("poison-{number}");
        let sent_at = Instant::now();
        cluster.get(number % 3, "/safe/crash", &id).await;
        cluster.register_targets();
        if cluster.crashes() >= MAX_CRASHES {
            third_at.get_or_insert(Instant::now());
        }
        let since_third = third_at.map(|at| sent_at.saturating_duration_since(at));
        if since_third > Some(TOUCH_TIME) {
            late += cluster.arrivals(&id);
        }
        if since_third > Some(2 * TOUCH_TIME) {
            break;
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    cluster.print_logs();
    assert!(late <= MAX_LATE, "{late} arrivals too late");
}

/// The other requests on a crashed target break off too, and are retried together with the
/// one that crashed it.
#[tokio::test]
async fn a_request_that_crashes_targets_beside_retried_requests_is_blocked() {
    let cluster = EntryCluster::start(1, 4).await;
    cluster.crash_targets_for(Duration::from_millis(300));
    cluster.set_work(Duration::from_millis(400));
    for round in 0..6 {
        let mut beside = Vec::new();
        for number in 0..8 {
            let path = format!("/safe/beside-{number}");
            let id = format!("beside-{round}-{number}");
            beside.push(tokio::spawn(cluster.request(0, &path, &id)));
        }
        cluster
            .wait_until_running(&format!("beside-{round}-7"))
            .await;
        let id = format!("crash-{round}");
        cluster.get(0, "/safe/crash", &id).await;
        for request in beside {
            request.await.unwrap();
        }
        tokio::time::sleep(Duration::from_millis(500)).await;
        cluster.register_targets();
        tokio::time::sleep(Duration::from_millis(600)).await;
    }
    cluster.print_logs();
    let before = cluster.crashes();
    let resp = cluster.get(0, "/safe/crash", "again").await;
    assert_eq!(resp.status, 503, "{before} crashes: {resp:?}");
    assert_eq!(cluster.crashes(), before);
    // A client attempt goes to two targets; the third crash may be the first of another one.
    assert!(before <= MAX_CRASHES + 1, "{before} crashes");
}
