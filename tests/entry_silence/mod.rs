//! Connections that stay silent for good while new ones work.

use crate::entry_cluster::EntryCluster;

#[tokio::test]
async fn a_change_arrives_though_the_connections_of_all_watches_stay_silent() {
    let cluster = EntryCluster::start(2, 1).await;
    cluster.wait_for_watchers(2).await;
    let before = cluster.store.calls("kv-watch");
    let calls = || async { Some(cluster.store.calls("kv-watch")) };
    cluster
        .wait_until(calls, |calls| *calls >= before + 2)
        .await;
    cluster.store.faults.change(|faults| faults.silenced += 1);
    cluster.configure(9, &["/safe/", "/once/"]);
    cluster.remove_target(0);
    for instance in 0..2 {
        cluster.wait_for_version(instance, 9).await;
        cluster.wait_for_log(instance, "record removed", 1).await;
    }
}
