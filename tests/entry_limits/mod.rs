//! Targets that name the rate of requests that they accept from all instances together.

use std::time::{Duration, Instant};

use crate::entry_cluster::EntryCluster;

/// Window in which the limit is checked.
const WINDOW: Duration = Duration::from_secs(4);
/// Time after a target first named a limit from which it must hold.
const TOUCH_TIME: Duration = Duration::from_secs(3);
/// Pause between two requests of the load.
const REQUEST_INTERVAL: Duration = Duration::from_millis(20);

impl EntryCluster {
    fn limit_target(&self, number: usize, limit: Option<f64>) {
        let target = &self.targets()[number];
        target.state.change(|state| state.limit = limit);
    }

    /// Sends requests through all instances in turn.
    async fn send_requests_for(&self, instances: usize, duration: Duration) {
        let end = Instant::now() + duration;
        let mut running = Vec::new();
        for number in 0.. {
            if Instant::now() >= end {
                break;
            }
            let id = format!("load-{number}");
            let request = self.request(number % instances, "/safe/x", &id);
            running.push(tokio::spawn(request));
            tokio::time::sleep(REQUEST_INTERVAL).await;
        }
        for request in running {
            let resp = request.await.unwrap();
            assert_eq!(resp.status, 200, "{resp:?}");
        }
    }

    /// Most requests and health checks that a target got in any window that ends
    /// [`TOUCH_TIME`] after `named_at` or later.
    fn most_in_window(&self, number: usize, named_at: tokio::time::Instant) -> u32 {
        let times = self.targets()[number].record.get().arrival_times;
        let ends = times.iter().filter(|end| **end >= named_at + TOUCH_TIME);
        let counts = ends.map(|end| {
            let in_window = times
                .iter()
                .filter(|at| **at <= *end && **at + WINDOW > *end);
            // Requests that crossed the first response that named the limit don't count.
            in_window
                .filter(|at| **at >= named_at + TOUCH_TIME / 6)
                .count()
        });
        u32::try_from(counts.max().unwrap_or_default()).unwrap()
    }
}

/// Requests and health checks that a target may get in [`WINDOW`]: one and a half times the
/// limit, and 5.
fn allowed(limit: f64) -> f64 {
    1.5 * limit * WINDOW.as_secs_f64() + 5.0
}

/// Requests and health checks of all instances count together.
#[tokio::test]
async fn a_target_gets_no_more_than_the_limit_that_it_names() {
    let cluster = EntryCluster::start(4, 4).await;
    cluster.send_requests_for(4, Duration::from_secs(1)).await;
    let named_at = tokio::time::Instant::now();
    for (number, limit) in [(0, 2.4), (1, 0.2)] {
        cluster.limit_target(number, Some(limit));
    }
    cluster.send_requests_for(4, Duration::from_secs(9)).await;
    cluster.print_logs();
    for (number, limit) in [(0, 2.4), (1, 0.2)] {
        let most = cluster.most_in_window(number, named_at);
        assert!(
            f64::from(most) <= allowed(limit),
            "limit {limit}: {most} in 4 s"
        );
    }
}

#[tokio::test]
async fn all_instances_learn_of_a_limit_and_of_its_end() {
    let cluster = EntryCluster::start(3, 2).await;
    for limit in [Some(3.0), None] {
        cluster.limit_target(0, limit);
        for instance in 0..3 {
            let known = || async { Some(cluster.dump_field(instance, "targets").await) };
            let is_known = |targets: &serde_json::Value| {
                let mut targets = targets.as_array().unwrap().iter();
                let target = targets.find(|target| target["id"] == "t0").unwrap();
                target["limit_per_second"].as_f64() == limit
            };
            cluster.wait_until(known, is_known).await;
        }
    }
}
