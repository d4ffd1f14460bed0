//! A store that returns from a copy some seconds old.

use std::time::Duration;

use standin::prepared::store::{Faults, Mode};

use crate::entry_cluster::EntryCluster;

/// Prefix of the keys with which instances register.
const INSTANCE_PREFIX: &str = "entries/";
/// Records that are written to raise the revision of the store.
const FILLER_WRITES: u32 = 20;

impl EntryCluster {
    fn write_filler(&self) {
        for number in 0..FILLER_WRITES {
            self.store.put(&format!("filler/{number}"), b"x");
        }
    }

    /// Waits until every instance has read the restored store.
    async fn wait_for_restore(&self, instances: usize) {
        for instance in 0..instances {
            self.wait_for_log(instance, "store was restored", 1).await;
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

#[tokio::test]
async fn an_instance_started_after_a_restore_takes_the_newer_configuration_of_a_peer() {
    let mut cluster = EntryCluster::start(2, 1).await;
    let copy = cluster.store.copy();
    cluster.configure(8, &["/safe/", "/once/", "/late/"]);
    for instance in 0..2 {
        cluster.wait_for_version(instance, 8).await;
    }
    cluster.kill(1);
    cluster.store.restore(&copy);
    cluster.launch(1);
    cluster.wait_for_version(1, 8).await;
    let resp = cluster.get(1, "/late/x", "restarted").await;
    assert_eq!(resp.status, 200, "{resp:?}");
}

#[tokio::test]
async fn a_store_that_refuses_each_watch_is_not_read_again_at_once() {
    let cluster = EntryCluster::start(1, 1).await;
    cluster
        .store
        .faults
        .change(|faults| faults.no_history = true);
    cluster.configure(8, &["/safe/", "/once/"]);
    cluster.wait_for_version(0, 8).await;
    let before = cluster.store.calls("kv-range");
    tokio::time::sleep(Duration::from_secs(3)).await;
    let reads = cluster.store.calls("kv-range") - before;
    assert!(reads <= 20, "{reads} reads in 3 s");
    cluster
        .store
        .faults
        .change(|faults| faults.no_history = false);
    cluster.configure(9, &["/safe/", "/once/"]);
    cluster.wait_for_version(0, 9).await;
}

#[tokio::test]
async fn a_target_that_left_and_is_ready_in_a_restored_copy_gets_no_requests() {
    let cluster = EntryCluster::start(2, 3).await;
    let copy = cluster.store.copy();
    cluster.put_target(0, true);
    cluster.remove_target(1);
    for instance in 0..2 {
        cluster.wait_for_targets(instance, 1).await;
    }
    cluster.store.restore(&copy);
    cluster.wait_for_restore(2).await;
    for number in 0..20 {
        let id = format!("left-{number}");
        let resp = cluster.get(number % 2, "/safe/x", &id).await;
        assert!(resp.body.starts_with("t2 ran"), "{resp:?}");
    }
    // Written again, it is in use again.
    cluster.put_target(1, false);
    for instance in 0..2 {
        cluster.wait_for_targets(instance, 2).await;
    }
}

#[tokio::test]
async fn a_target_that_a_restored_copy_lacks_stays_in_use_until_it_is_written_again() {
    let cluster = EntryCluster::start(2, 1).await;
    let copy = cluster.store.copy();
    // Unnoticed by the instances.
    cluster.set_store_mode(Mode::Silent);
    cluster.remove_target(0);
    let lacking = cluster.store.copy();
    cluster.store.restore(&copy);
    cluster.store.restore(&lacking);
    cluster.set_store_mode(Mode::Serving);
    cluster.wait_for_restore(2).await;
    for instance in 0..2 {
        let id = format!("kept-{instance}");
        let resp = cluster.get(instance, "/safe/x", &id).await;
        assert_eq!(resp.status, 200, "{resp:?}");
    }
    cluster.put_target(0, false);
    // Longer than a target outlives a copy that lacks it.
    tokio::time::sleep(Duration::from_millis(2600)).await;
    let resp = cluster.get(0, "/safe/x", "written-again").await;
    assert_eq!(resp.status, 200, "{resp:?}");
}

#[tokio::test]
async fn a_zone_whose_evacuation_a_restored_copy_lacks_gets_no_requests() {
    let cluster = EntryCluster::start(2, 2).await;
    let copy = cluster.store.copy();
    cluster.store.put("op/evacuate/a", b"{}");
    for instance in 0..2 {
        cluster.wait_for_log(instance, "op/evacuate/a", 1).await;
    }
    cluster.store.restore(&copy);
    cluster.wait_for_restore(2).await;
    for instance in 0..2 {
        let id = format!("evacuated-{instance}");
        let resp = cluster.get(instance, "/safe/x", &id).await;
        assert_eq!(resp.status, 503, "{resp:?}");
    }
    // Longer than an evacuation outlives a copy that lacks it.
    cluster.store.put("op/evacuate/a", b"{}");
    tokio::time::sleep(Duration::from_millis(5500)).await;
    let resp = cluster.get(0, "/safe/x", "written-again").await;
    assert_eq!(resp.status, 503, "{resp:?}");
}

#[tokio::test]
async fn instances_that_a_restored_copy_lacks_register_again() {
    let cluster = EntryCluster::start(3, 1).await;
    let registered = || {
        let keys = cluster.store.keys();
        let is_instance = |key: &&String| key.starts_with(INSTANCE_PREFIX);
        keys.iter().filter(is_instance).count()
    };
    let all_registered =
        || cluster.wait_until(|| async { Some(registered()) }, |known| *known == 3);
    all_registered().await;
    cluster.set_store_mode(Mode::Silent);
    cluster.store.remove_prefix(INSTANCE_PREFIX);
    let lacking = cluster.store.copy();
    cluster.store.restore(&lacking);
    cluster.set_store_mode(Mode::Serving);
    all_registered().await;
    // One write registers each instance, before the restore and after it.
    assert_eq!(cluster.store.calls("kv-txn"), 6);
}

/// Its first read of the store may be stale, and the watch that follows it takes a while.
#[tokio::test]
async fn a_restarted_instance_uses_no_target_that_has_left() {
    let mut cluster = EntryCluster::start(1, 1).await;
    cluster.rewrite_settings(0, "\"bootstrap\": true", "\"bootstrap\": false");
    cluster.put_target(0, true);
    cluster.wait_for_targets(0, 0).await;
    cluster.kill(0);
    cluster.store.faults.change(|faults| {
        // Its registration may be the last write.
        faults.stale_by_revisions = 2;
        faults.delay = Duration::from_millis(300);
    });
    cluster.launch(0);
    cluster.wait_until_ready(0).await;
    let resp = cluster.get(0, "/safe/x", "after").await;
    assert_eq!(resp.status, 503, "{resp:?}");
    assert_eq!(cluster.arrivals("after"), 0);
}

/// Copies of a large record that together exceed what a watch accepts.
#[tokio::test]
async fn a_run_of_changes_too_large_for_a_watch_is_read_instead() {
    let cluster = EntryCluster::start(1, 1).await;
    let withhold = |withhold| {
        let faults = &cluster.store.faults;
        faults.change(|faults| faults.silent_watches = withhold);
    };
    withhold(true);
    for _ in 0..8 {
        cluster.store.put("filler/large", &vec![0; 1 << 20]);
    }
    cluster.configure(9, &["/safe/", "/once/"]);
    withhold(false);
    cluster.wait_for_version(0, 9).await;
}
