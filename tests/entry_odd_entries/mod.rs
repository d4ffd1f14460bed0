//! Entries of other writers in the store, which must harm no instance.

use standin::prepared::store::Mode;

use super::entry_cluster::EntryCluster;

#[tokio::test]
async fn an_instance_follows_the_store_after_more_changes_than_fit_a_response() {
    let cluster = EntryCluster::start(1, 1).await;
    cluster
        .store
        .faults
        .change(|faults| faults.mode = Mode::Refusing(503));
    // 11 MB in base64.
    let large = vec![b'x'; 84_000];
    for number in 0..100 {
        cluster.store.put(&format!("other/{number:02}"), &large);
    }
    cluster.configure(9, &["/safe/", "/once/", "/late/"]);
    cluster
        .store
        .faults
        .change(|faults| faults.mode = Mode::Serving);
    cluster.wait_for_version(0, 9).await;
}
