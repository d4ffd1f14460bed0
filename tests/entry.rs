//! Entry instances as separate processes, before stand-ins of the prepared platform.

mod entry_world;

use std::fmt::Write;
use std::time::Duration;

use entry_world::{Answer, World};
use standin::prepared::store::{Faults, Mode};
use standin::prepared::target::Behaviour;

#[tokio::test]
async fn a_request_is_served_from_end_to_end() {
    let world = World::start(2, 2).await;
    let answer = world.get(0, "/safe/x", "id-1").await;
    assert_eq!(answer.status, 200, "{answer:?}");
    assert!(answer.body.contains("ran GET /safe/x with 0"), "{answer:?}");
    assert_eq!(answer.header("x-request-id"), Some("id-1"));
    assert_eq!(answer.header("x-server-signature"), Some("proof"));
    assert_eq!(world.runs("id-1"), 1);
    let answer = world.get(0, "/none/x", "id-2").await;
    assert_eq!(answer.status, 404);
}

/// What callers see when every target behaves in a way, and how often each kind of
/// request ran.
#[tokio::test]
async fn each_fault_of_targets_has_its_answer_and_run_count() {
    let world = World::start(1, 3).await;
    let mut seen = String::new();
    for behaviour in [
        Behaviour::Serving,
        Behaviour::Shedding,
        Behaviour::Failing,
        Behaviour::Losing,
        Behaviour::Unproven,
    ] {
        for path in ["/safe/x", "/once/x"] {
            world.behave(behaviour);
            let id = format!("{behaviour:?}-{path}");
            let answer = world.get(0, path, &id).await;
            let may_have_run = world.runs(&id) > 0;
            let says_not_run = matches!(answer.status, 408 | 421 | 429 | 503);
            assert!(!(may_have_run && says_not_run), "{id}: {answer:?}");
            if path == "/once/x" {
                assert!(world.runs(&id) <= 1, "{id} ran {}", world.runs(&id));
            }
            let told = answer.header("retry-after").unwrap_or("none");
            writeln!(seen, "{id}: {}, retry-after: {told}", answer.status).unwrap();
        }
    }
    insta::assert_snapshot!(seen);
}

#[tokio::test]
async fn a_request_is_cancelled_at_its_deadline_and_may_have_run() {
    let world = World::start(1, 1).await;
    world.behave(Behaviour::Hanging);
    let answer = world.get(0, "/once/x", "hangs").await;
    assert_eq!(answer.status, 504);
    assert_eq!(world.runs("hangs"), 1);
}

#[tokio::test]
async fn a_leaving_target_gets_nothing_more() {
    let world = World::start(1, 2).await;
    world.put_target(0, true);
    world.until_targets(0, 1).await;
    for number in 0..10 {
        let answer = world.get(0, "/safe/x", &format!("l-{number}")).await;
        assert!(answer.body.starts_with("t1 ran"), "{answer:?}");
    }
}

#[tokio::test]
async fn a_change_reaches_instances_that_do_not_watch_the_store() {
    let world = World::start(6, 1).await;
    world.until_watching(4).await;
    world.configure(9, &["/safe/", "/once/", "/late/"]);
    for instance in 0..6 {
        world.until_version(instance, 9).await;
        let id = format!("v-{instance}");
        let answer = world.get(instance, "/late/x", &id).await;
        assert_eq!(answer.status, 200);
    }
}

#[tokio::test]
async fn service_goes_on_while_the_store_is_away() {
    let world = World::start(2, 2).await;
    for mode in [Mode::Refusing(503), Mode::Resetting, Mode::Silent] {
        world.store.faults.set(Faults {
            mode,
            ..Faults::default()
        });
        for number in 0..5 {
            let answer = world
                .get(number % 2, "/safe/x", &format!("{mode:?}-{number}"))
                .await;
            assert_eq!(answer.status, 200, "{mode:?}: {answer:?}");
        }
    }
}

#[tokio::test]
async fn an_instance_that_starts_while_the_store_is_away_learns_from_a_peer() {
    let mut world = World::start(2, 1).await;
    world.kill(1);
    world.store.faults.set(Faults {
        mode: Mode::Refusing(503),
        ..Faults::default()
    });
    world.launch(1);
    world.until_version(1, 7).await;
    let answer = world.get(1, "/safe/x", "learned").await;
    assert_eq!(answer.status, 200);
}

#[tokio::test]
async fn before_any_configuration_a_request_is_refused_and_not_said_to_be_unknown() {
    let world = World::empty(1).await;
    let answer = world.get(0, "/safe/x", "early").await;
    assert_eq!(answer.status, 503);
    assert!(answer.header("retry-after").is_some());
}

#[tokio::test]
async fn a_planned_stop_leaves_the_directory_and_cuts_no_request() {
    let mut world = World::start(2, 1).await;
    world.work(Duration::from_millis(700));
    let running = {
        let request = world.request(0, "/once/x", "during-stop");
        tokio::spawn(request)
    };
    world.until_running("during-stop").await;
    world.stop(0);
    world.until_directory(1, 1).await;
    assert_eq!(world.readiness(0).await, 503);
    let late: Answer = world.get(0, "/safe/x", "after-stop").await;
    assert_eq!(late.status, 200);
    assert_eq!(late.header("connection"), Some("close"));
    let answer = running.await.unwrap();
    assert_eq!(answer.status, 200, "{answer:?}");
    assert!(world.wait(0).success());
}

#[tokio::test]
async fn settings_are_reread_on_sighup_and_without_it_and_nothing_ends() {
    let world = World::start(1, 1).await;
    world.rewrite_settings(0, "\"grace_s\": 6", "\"grace_s\": 9");
    world.hang_up(0);
    world.until_logged(0, "settings reloaded", 1).await;
    world.rewrite_settings(0, "\"grace_s\": 9", "\"grace_s\": 8");
    world.until_logged(0, "settings reloaded", 2).await;
    world.rewrite_settings(0, "\"grace_s\": 8", "\"grace_s\": 0");
    world
        .until_logged(0, "settings rejected; the previous ones stay in force", 1)
        .await;
    let answer = world.get(0, "/safe/x", "after").await;
    assert_eq!(answer.status, 200);
}

#[tokio::test]
async fn targets_whose_entries_lapse_together_are_used_while_they_answer() {
    let world = World::start(2, 3).await;
    world.store.remove_prefix("servers/");
    world.until_logged(0, "record removed", 3).await;
    let answer = world.get(0, "/safe/x", "lapsed").await;
    assert_eq!(answer.status, 200, "{answer:?}");
    for number in 0..3 {
        world.put_target(number, false);
    }
    // Longer than a lapsed entry is kept.
    tokio::time::sleep(Duration::from_millis(2600)).await;
    let answer = world.get(0, "/safe/x", "back").await;
    assert_eq!(answer.status, 200, "{answer:?}");
}

#[tokio::test]
async fn a_single_target_that_is_removed_gets_nothing_more() {
    let world = World::start(1, 3).await;
    world.remove_target(0);
    world.until_logged(0, "record removed", 1).await;
    for number in 0..10 {
        let answer = world.get(0, "/safe/x", &format!("r-{number}")).await;
        assert!(!answer.body.starts_with("t0 ran"), "{answer:?}");
    }
}

#[tokio::test]
async fn calls_to_the_store_do_not_grow_with_instances_times_changes() {
    let world = World::start(8, 1).await;
    world.until_watching(4).await;
    let before = world.store.calls("kv-watch");
    for version in 10..15 {
        world.configure(version, &["/safe/", "/once/"]);
        for instance in 0..8 {
            world.until_version(instance, version).await;
        }
    }
    // Four watchers hear of each change; a watch may end once more between two.
    let watches = world.store.calls("kv-watch") - before;
    assert!(watches <= 5 * 4 * 2, "{watches}");
    // One write registers each instance, and no lease needs to be renewed.
    assert_eq!(world.store.calls("kv-txn"), 8);
    assert_eq!(world.store.calls("kv-lease"), 0);
}

#[tokio::test]
async fn an_instance_that_starts_again_writes_nothing() {
    let mut world = World::start(2, 1).await;
    let before = world.store.calls("kv-txn");
    world.kill(1);
    world.launch(1);
    world.until_version(1, 7).await;
    world.until_directory(1, 2).await;
    assert_eq!(world.store.calls("kv-txn"), before);
}

#[tokio::test]
async fn what_happens_in_a_gap_of_the_history_is_read_and_not_from_a_stale_copy() {
    let world = World::start(1, 1).await;
    world.until_watching(1).await;
    world.store.faults.set(Faults {
        silent_watches: true,
        stale_by_revisions: 100,
        ..Faults::default()
    });
    world.configure(9, &["/safe/", "/once/", "/late/"]);
    world.store.compact();
    world.until_version(0, 9).await;
    let answer = world.get(0, "/late/x", "gap").await;
    assert_eq!(answer.status, 200);
}

#[tokio::test]
async fn targets_are_told_the_time_that_is_left() {
    let world = World::start(1, 1).await;
    world.get(0, "/safe/x", "first").await;
    let told = world.last_deadline_ms();
    // The request allows 2,000 ms, and so does the route.
    assert!((1..=2_000).contains(&told), "{told}");
    world.configure_timeout(9, 300);
    world.until_version(0, 9).await;
    let answer = world.get(0, "/safe/x", "second").await;
    assert_eq!(answer.status, 200, "{answer:?}");
    let told = world.last_deadline_ms();
    assert!((1..=300).contains(&told), "{told}");
}

#[tokio::test]
async fn a_caller_that_leaves_cancels_its_request_at_the_target() {
    let world = World::start(1, 1).await;
    world.work(Duration::from_millis(400));
    let request = tokio::spawn(world.request(0, "/safe/x", "left"));
    world.until_running("left").await;
    request.abort();
    assert!(request.await.unwrap_err().is_cancelled());
    world.work(Duration::from_millis(2));
    // A later request that runs to its end shows that the time of the first is over.
    tokio::time::sleep(Duration::from_millis(600)).await;
    world.get(0, "/safe/x", "stays").await;
    assert_eq!(world.finished(), 1);
}
