//! Entry instances as separate processes, with stand-ins of the prepared platform.

mod entry_accounts;
mod entry_accounts_limits;
mod entry_broken_responses;
mod entry_bursts;
mod entry_cluster;
mod entry_crashes;
mod entry_leaving;
mod entry_limits;
mod entry_memory;
mod entry_odd_entries;
mod entry_pipelining;
mod entry_restore;
mod entry_rollouts;
mod entry_silence;
mod entry_stop;
mod entry_uploads;

use std::fmt::Write;
use std::time::Duration;

use entry_cluster::{EntryCluster, HttpResponse};
use standin::prepared::store::{Faults, Mode};
use standin::prepared::target::Behaviour;

#[tokio::test]
async fn a_request_is_served_from_end_to_end() {
    let cluster = EntryCluster::start(2, 2).await;
    let resp = cluster.get(0, "/safe/x", "id-1").await;
    assert_eq!(resp.status, 200, "{resp:?}");
    assert!(resp.body.contains("ran GET /safe/x with 0"), "{resp:?}");
    assert_eq!(resp.header("x-request-id"), Some("id-1"));
    assert_eq!(resp.header("x-server-signature"), Some("proof"));
    assert_eq!(cluster.runs("id-1"), 1);
    let resp = cluster.get(0, "/none/x", "id-2").await;
    assert_eq!(resp.status, 404);
}

/// Status and `retry-after` that callers get when every target has the same fault. No response may
/// claim that a request was not run when it ran, and `/once/` requests run at most once.
#[tokio::test]
async fn target_faults_have_their_status_and_run_count() {
    let cluster = EntryCluster::start(1, 3).await;
    let mut seen = String::new();
    for behaviour in [
        Behaviour::Serving,
        Behaviour::Shedding,
        Behaviour::Failing,
        Behaviour::Losing,
        Behaviour::Unproven,
    ] {
        for path in ["/safe/x", "/once/x"] {
            cluster.set_behaviour(behaviour);
            let id = format!("{behaviour:?}-{path}");
            let resp = cluster.get(0, path, &id).await;
            let may_have_run = cluster.runs(&id) > 0;
            let says_not_run = matches!(resp.status, 408 | 421 | 429 | 503);
            assert!(!(may_have_run && says_not_run), "{id}: {resp:?}");
            if path == "/once/x" {
                assert!(
                    cluster.runs(&id) <= 1,
                    "{id} ran {} times",
                    cluster.runs(&id)
                );
            }
            let retry_after = resp.header("retry-after").unwrap_or("none");
            writeln!(seen, "{id}: {}, retry-after: {retry_after}", resp.status).unwrap();
        }
    }
    insta::assert_snapshot!(seen);
}

#[tokio::test]
async fn a_request_past_its_deadline_gets_504_and_may_have_run() {
    let cluster = EntryCluster::start(1, 1).await;
    cluster.set_behaviour(Behaviour::Hanging);
    let resp = cluster.get(0, "/once/x", "hangs").await;
    assert_eq!(resp.status, 504);
    assert_eq!(cluster.runs("hangs"), 1);
}

#[tokio::test]
async fn a_leaving_target_gets_no_new_requests() {
    let cluster = EntryCluster::start(1, 2).await;
    cluster.put_target(0, true);
    cluster.wait_for_targets(0, 1).await;
    for number in 0..10 {
        let resp = cluster.get(0, "/safe/x", &format!("l-{number}")).await;
        assert!(resp.body.starts_with("t1 ran"), "{resp:?}");
    }
}

#[tokio::test]
async fn a_change_reaches_instances_that_do_not_watch_the_store() {
    let cluster = EntryCluster::start(6, 1).await;
    cluster.wait_for_watchers(4).await;
    cluster.configure(9, &["/safe/", "/once/", "/late/"]);
    for instance in 0..6 {
        cluster.wait_for_version(instance, 9).await;
        let id = format!("v-{instance}");
        let resp = cluster.get(instance, "/late/x", &id).await;
        assert_eq!(resp.status, 200);
    }
}

#[tokio::test]
async fn requests_are_served_while_the_store_is_unavailable() {
    let cluster = EntryCluster::start(2, 2).await;
    for mode in [Mode::Refusing(503), Mode::Resetting, Mode::Silent] {
        cluster.store.faults.set(Faults {
            mode,
            ..Faults::default()
        });
        for number in 0..5 {
            let resp = cluster
                .get(number % 2, "/safe/x", &format!("{mode:?}-{number}"))
                .await;
            assert_eq!(resp.status, 200, "{mode:?}: {resp:?}");
        }
    }
}

#[tokio::test]
async fn an_instance_started_without_the_store_loads_the_configuration_from_a_peer() {
    let mut cluster = EntryCluster::start(2, 1).await;
    cluster.kill(1);
    cluster.store.faults.set(Faults {
        mode: Mode::Refusing(503),
        ..Faults::default()
    });
    cluster.launch(1);
    cluster.wait_for_version(1, 7).await;
    let resp = cluster.get(1, "/safe/x", "learned").await;
    assert_eq!(resp.status, 200);
}

#[tokio::test]
async fn requests_before_the_first_configuration_get_503_instead_of_404() {
    let cluster = EntryCluster::empty(1).await;
    let resp = cluster.get(0, "/safe/x", "early").await;
    assert_eq!(resp.status, 503);
    assert!(resp.header("retry-after").is_some());
}

#[tokio::test]
async fn graceful_shutdown_leaves_the_directory_and_finishes_requests() {
    let mut cluster = EntryCluster::start(2, 1).await;
    cluster.set_work(Duration::from_millis(700));
    let running = {
        let request = cluster.request(0, "/once/x", "during-stop");
        tokio::spawn(request)
    };
    cluster.wait_until_running("during-stop").await;
    cluster.send_sigterm(0);
    cluster.wait_for_directory(1, 1).await;
    assert_eq!(cluster.readiness(0).await, 503);
    let during_shutdown: HttpResponse = cluster.get(0, "/safe/x", "after-stop").await;
    assert_eq!(during_shutdown.status, 200);
    assert_eq!(during_shutdown.header("connection"), Some("close"));
    let resp = running.await.unwrap();
    assert_eq!(resp.status, 200, "{resp:?}");
    assert!(cluster.wait_for_exit(0).success());
}

#[tokio::test]
async fn settings_are_reloaded_on_sighup_and_on_file_changes() {
    let cluster = EntryCluster::start(1, 1).await;
    cluster.rewrite_settings(0, "\"grace_s\": 6", "\"grace_s\": 9");
    cluster.send_sighup(0);
    cluster.wait_for_log(0, "settings reloaded", 1).await;
    cluster.rewrite_settings(0, "\"grace_s\": 9", "\"grace_s\": 8");
    cluster.wait_for_log(0, "settings reloaded", 2).await;
    cluster.rewrite_settings(0, "\"grace_s\": 8", "\"grace_s\": 0");
    cluster
        .wait_for_log(0, "settings rejected; the previous ones stay in force", 1)
        .await;
    let resp = cluster.get(0, "/safe/x", "after").await;
    assert_eq!(resp.status, 200);
}

#[tokio::test]
async fn targets_whose_records_are_all_removed_stay_in_use_while_healthy() {
    let cluster = EntryCluster::start(2, 3).await;
    cluster.store.remove_prefix("servers/");
    cluster.wait_for_log(0, "record removed", 3).await;
    let resp = cluster.get(0, "/safe/x", "lapsed").await;
    assert_eq!(resp.status, 200, "{resp:?}");
    for number in 0..3 {
        cluster.put_target(number, false);
    }
    // Longer than a removed record is kept.
    tokio::time::sleep(Duration::from_millis(2600)).await;
    let resp = cluster.get(0, "/safe/x", "back").await;
    assert_eq!(resp.status, 200, "{resp:?}");
}

#[tokio::test]
async fn a_single_removed_target_gets_no_new_requests() {
    let cluster = EntryCluster::start(1, 3).await;
    cluster.remove_target(0);
    cluster.wait_for_log(0, "record removed", 1).await;
    for number in 0..10 {
        let resp = cluster.get(0, "/safe/x", &format!("r-{number}")).await;
        assert!(!resp.body.starts_with("t0 ran"), "{resp:?}");
    }
}

/// Guards against targets that left being taken for expired leases, without an outage of the
/// store: they got requests for longer than the limit.
#[tokio::test]
async fn half_of_a_services_targets_get_no_new_requests_once_they_left() {
    let cluster = EntryCluster::start(1, 4).await;
    // Both removals arrive in the batch after this change.
    cluster.configure(9, &["/safe/", "/once/"]);
    cluster.remove_target(0);
    cluster.remove_target(1);
    cluster.wait_for_log(0, "record removed", 2).await;
    for number in 0..20 {
        let resp = cluster.get(0, "/safe/x", &format!("r-{number}")).await;
        let left = ["t0 ran", "t1 ran"].map(|text| resp.body.starts_with(text));
        assert_eq!(left, [false, false], "{resp:?}");
    }
}

#[tokio::test]
async fn store_calls_per_change_do_not_grow_with_the_number_of_instances() {
    let cluster = EntryCluster::start(8, 1).await;
    cluster.wait_for_watchers(4).await;
    let before = cluster.store.calls("kv-watch");
    for version in 10..15 {
        cluster.configure(version, &["/safe/", "/once/"]);
        for instance in 0..8 {
            cluster.wait_for_version(instance, version).await;
        }
    }
    // Four watchers get each change, and a watch may end once more between two changes.
    let watches = cluster.store.calls("kv-watch") - before;
    assert!(watches <= 5 * 4 * 2, "{watches}");
    // One write registers each instance, and no lease has to be renewed.
    assert_eq!(cluster.store.calls("kv-txn"), 8);
    assert_eq!(cluster.store.calls("kv-lease"), 0);
}

#[tokio::test]
async fn a_restarted_instance_writes_nothing_to_the_store() {
    let mut cluster = EntryCluster::start(2, 1).await;
    let before = cluster.store.calls("kv-txn");
    cluster.kill(1);
    cluster.launch(1);
    cluster.wait_for_version(1, 7).await;
    cluster.wait_for_directory(1, 2).await;
    assert_eq!(cluster.store.calls("kv-txn"), before);
}

#[tokio::test]
async fn changes_lost_to_compaction_are_read_again_without_stale_data() {
    let cluster = EntryCluster::start(1, 1).await;
    cluster.wait_for_watchers(1).await;
    cluster.store.faults.set(Faults {
        silent_watches: true,
        stale_by_revisions: 100,
        ..Faults::default()
    });
    cluster.configure(9, &["/safe/", "/once/", "/late/"]);
    cluster.store.compact();
    cluster.wait_for_version(0, 9).await;
    let resp = cluster.get(0, "/late/x", "gap").await;
    assert_eq!(resp.status, 200);
}

#[tokio::test]
async fn targets_receive_the_remaining_deadline() {
    let cluster = EntryCluster::start(1, 1).await;
    cluster.get(0, "/safe/x", "first").await;
    let deadline_ms = cluster.last_deadline_ms();
    // The deadline of the request and the timeout of the route are both 2,000 ms.
    assert!((1..=2_000).contains(&deadline_ms), "{deadline_ms}");
    cluster.configure_timeout(9, 300);
    cluster.wait_for_version(0, 9).await;
    let resp = cluster.get(0, "/safe/x", "second").await;
    assert_eq!(resp.status, 200, "{resp:?}");
    let deadline_ms = cluster.last_deadline_ms();
    assert!((1..=300).contains(&deadline_ms), "{deadline_ms}");
}

#[tokio::test]
async fn a_caller_that_disconnects_cancels_its_request_at_the_target() {
    let cluster = EntryCluster::start(1, 1).await;
    cluster.set_work(Duration::from_millis(400));
    let request = tokio::spawn(cluster.request(0, "/safe/x", "left"));
    cluster.wait_until_running("left").await;
    request.abort();
    assert!(request.await.unwrap_err().is_cancelled());
    cluster.set_work(Duration::from_millis(2));
    // The first request would have finished by now; only the second one is counted as finished.
    tokio::time::sleep(Duration::from_millis(600)).await;
    cluster.get(0, "/safe/x", "stays").await;
    assert_eq!(cluster.finished(), 1);
}
