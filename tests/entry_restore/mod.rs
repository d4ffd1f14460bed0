//! A store that returns from a copy some seconds old.

use standin::prepared::store::{Faults, Mode};

use crate::entry_cluster::EntryCluster;

/// Records that are written to raise the revision of the store.
const FILLER_WRITES: u32 = 20;

impl EntryCluster {
    fn write_filler(&self) {
        for number in 0..FILLER_WRITES {
            self.store.put(&format!("filler/{number}"), b"x");
        }
    }

    fn set_store_mode(&self, mode: Mode) {
        self.store.faults.set(Faults {
            mode,
            ..Faults::default()
        });
    }
}

/// Later configurations are written at revisions that the instances have seen before.
#[tokio::test]
async fn a_configuration_confirmed_after_a_restore_is_in_force() {
    let cluster = EntryCluster::start(3, 1).await;
    let copy = cluster.store.copy();
    cluster.write_filler();
    cluster.configure(8, &["/safe/", "/once/"]);
    for instance in 0..3 {
        cluster.wait_for_version(instance, 8).await;
    }
    cluster.store.restore(&copy);
    cluster.configure(8, &["/safe/", "/once/"]);
    cluster.configure(9, &["/safe/", "/once/", "/late/"]);
    for instance in 0..3 {
        cluster.wait_for_version(instance, 9).await;
        let id = format!("restored-{instance}");
        let resp = cluster.get(instance, "/late/x", &id).await;
        assert_eq!(resp.status, 200);
    }
}

/// The revision has passed the watched one again before any instance reaches the store, so
/// that its watch continues and lacks what was written below.
#[tokio::test]
async fn a_configuration_below_the_watched_revision_of_a_restored_store_is_in_force() {
    let cluster = EntryCluster::start(3, 1).await;
    let copy = cluster.store.copy();
    cluster.configure(8, &["/safe/", "/once/"]);
    for instance in 0..3 {
        cluster.wait_for_version(instance, 8).await;
    }
    cluster.set_store_mode(Mode::Silent);
    cluster.store.restore(&copy);
    cluster.configure(9, &["/safe/", "/once/", "/late/"]);
    cluster.write_filler();
    cluster.set_store_mode(Mode::Serving);
    for instance in 0..3 {
        cluster.wait_for_version(instance, 9).await;
    }
}
