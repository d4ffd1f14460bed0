//! Connections that stay silent for good while new ones work, and instances to which the store
//! does not respond.

use std::time::{Duration, Instant};

use crate::entry_cluster::EntryCluster;

/// Time from the store's acknowledgement until a configuration must be in force.
const PROPAGATION_LIMIT: Duration = Duration::from_secs(2);

/// Waits until this many watches have begun.
async fn wait_for_watches(cluster: &EntryCluster, count: u32) {
    let before = cluster.store.calls("kv-watch");
    let calls = || async { Some(cluster.store.calls("kv-watch")) };
    cluster
        .wait_until(calls, |calls| *calls >= before + count)
        .await;
}

/// Checks that what was acknowledged then is in force in time.
fn check_propagation(cluster: &EntryCluster, acknowledged: Instant) {
    let took = acknowledged.elapsed();
    if took > PROPAGATION_LIMIT {
        cluster.print_logs();
    }
    println!("in force everywhere after {took:?}");
    assert!(took <= PROPAGATION_LIMIT, "{took:?}");
}

/// Guards against watches that hang together, though new connections work: no instance is left
/// that does not watch.
#[tokio::test]
async fn a_change_arrives_in_time_though_the_connections_of_all_watches_stay_silent() {
    let cluster = EntryCluster::start(2, 1).await;
    cluster.wait_for_watchers(2).await;
    wait_for_watches(&cluster, 2).await;
    cluster.store.faults.change(|faults| faults.silenced += 1);
    cluster.configure(9, &["/safe/", "/once/"]);
    cluster.remove_target(0);
    let acknowledged = Instant::now();
    for instance in 0..2 {
        cluster.wait_for_version(instance, 9).await;
        cluster.wait_for_log(instance, "record removed", 1).await;
    }
    check_propagation(&cluster, acknowledged);
}

/// Guards against watches that hang while the store serves all other instances: these waited for
/// the watchers' timeouts with an outdated configuration.
#[tokio::test]
async fn a_change_arrives_in_time_though_the_store_does_not_respond_to_the_watchers() {
    let cluster = EntryCluster::start(6, 1).await;
    cluster.wait_for_watchers(4).await;
    let watchers = cluster.watchers().await;
    for watcher in &watchers {
        cluster.silence_store_for(*watcher);
    }
    cluster.configure(9, &["/safe/", "/once/"]);
    let acknowledged = Instant::now();
    for instance in 0..6 {
        cluster.wait_for_version(instance, 9).await;
    }
    check_propagation(&cluster, acknowledged);
}

/// Guards against a watcher that relies on the others, whose watches hang for another reason.
#[tokio::test]
async fn a_change_arrives_in_time_though_only_one_watcher_can_reach_the_store_anew() {
    // The watches are at different times of their waits.
    for reaching in 0..3 {
        let cluster = EntryCluster::start(4, 1).await;
        cluster.wait_for_watchers(4).await;
        wait_for_watches(&cluster, 4).await;
        for instance in 0..4 {
            if instance == reaching {
                cluster.silence_connections_for(instance);
            } else {
                cluster.silence_store_for(instance);
            }
        }
        cluster.configure(9, &["/safe/", "/once/"]);
        let acknowledged = Instant::now();
        for instance in 0..4 {
            cluster.wait_for_version(instance, 9).await;
        }
        check_propagation(&cluster, acknowledged);
    }
}
