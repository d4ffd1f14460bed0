//! The store client and its budget against the stand-in store, with faults.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use standin::faults::StoreFaults;
use standin::raw::RawServer;
use standin::store::{self, StoreStandin};
use wagtailsaddle::platform::budget::{self, BudgetSettings, StoreBudget};
use wagtailsaddle::platform::etcd;
use wagtailsaddle::platform::store::{
    Change, Compare, LeaseId, RangeReq, Store, StoreError, Txn, Watch, WatchReq, Write,
};

const PREFIX: &str = "/test/";
const TIMEOUT: Duration = Duration::from_millis(500);

fn range() -> RangeReq {
    RangeReq {
        key: PREFIX.to_owned(),
        prefix: true,
    }
}

fn put(key: &str, value: &str) -> Txn {
    put_leased(key, value, None)
}

fn put_leased(key: &str, value: &str, lease: Option<LeaseId>) -> Txn {
    Txn {
        compare: Vec::new(),
        writes: vec![Write::Put {
            key: format!("{PREFIX}{key}"),
            value: Bytes::from(value.to_owned()),
            lease,
        }],
    }
}

async fn open_watch(store: &Store, start_revision: i64) -> Watch {
    let req = WatchReq {
        key: PREFIX.to_owned(),
        prefix: true,
        start_revision,
    };
    (store.watch)(req).await.expect("watch")
}

/// Reads at least `count` changes as `key=value@revision` or `key deleted@revision`.
async fn read_changes(watch: &mut Watch, count: usize) -> Vec<String> {
    let mut changes = Vec::new();
    while changes.len() < count {
        let batch = watch.next().await.expect("open watch").expect("batch");
        changes.extend(batch.changes.iter().map(|change| match change {
            Change::Put(entry) => format!(
                "{}={}@{}",
                entry.key,
                String::from_utf8_lossy(&entry.value),
                entry.mod_revision
            ),
            Change::Delete { key, mod_revision } => format!("{key} deleted@{mod_revision}"),
        }));
    }
    changes
}

async fn start() -> (StoreStandin, Store) {
    let standin = store::start().await.expect("stand-in");
    let store = etcd::client(standin.server.address, TIMEOUT);
    (standin, store)
}

#[tokio::test(flavor = "multi_thread")]
async fn a_watch_reports_changes_and_resumes_from_a_revision() {
    let (standin, store) = start().await;
    let mut watch = open_watch(&store, 1).await;
    for number in 1..=3 {
        (store.txn)(put("a", &number.to_string()))
            .await
            .expect("put");
    }
    let expected = ["/test/a=1@1", "/test/a=2@2", "/test/a=3@3"];
    assert_eq!(read_changes(&mut watch, 3).await, expected);

    standin.close_watches();
    assert!(watch.next().await.is_none(), "the watch did not end");
    let mut resumed = open_watch(&store, 3).await;
    (store.txn)(put("b", "4")).await.expect("put");
    assert_eq!(
        read_changes(&mut resumed, 2).await,
        ["/test/a=3@3", "/test/b=4@4"]
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn a_watch_reports_duplicate_and_reordered_events_and_expired_leases() {
    let (standin, store) = start().await;
    standin.faults.change(|faults| {
        faults.duplicate_events = true;
        faults.reorder_events = true;
    });
    let lease = (store.grant)(Duration::from_secs(60)).await.expect("lease");
    (store.txn)(put_leased("a", "1", Some(lease)))
        .await
        .expect("put");
    (store.txn)(put("a", "2")).await.expect("put");
    let mut watch = open_watch(&store, 1).await;
    let duplicated = ["/test/a=2@2", "/test/a=2@2", "/test/a=1@1", "/test/a=1@1"];
    assert_eq!(read_changes(&mut watch, 4).await, duplicated);

    standin.faults.set(StoreFaults::default());
    (store.txn)(put_leased("a", "3", Some(lease)))
        .await
        .expect("put");
    standin.expire_leases();
    let expired = ["/test/a=3@3", "/test/a deleted@4"];
    assert_eq!(read_changes(&mut watch, 2).await, expired);
    let keep_alive = (store.keep_alive)(lease).await;
    assert_eq!(keep_alive, Err(StoreError::LeaseExpired));
    let put = (store.txn)(put_leased("a", "5", Some(lease))).await;
    assert_eq!(put, Err(StoreError::LeaseExpired));
}

#[tokio::test(flavor = "multi_thread")]
async fn a_watch_from_a_compacted_revision_fails() {
    let (standin, store) = start().await;
    for number in 1..=3 {
        (store.txn)(put("a", &number.to_string()))
            .await
            .expect("put");
    }
    standin.compact();
    let mut watch = open_watch(&store, 1).await;
    let mut last = watch.next().await.expect("message");
    if last.is_ok() {
        last = watch.next().await.expect("message");
    }
    assert_eq!(last, Err(StoreError::Compacted(3)));
}

/// A fault, the expected results of a write and a read, and whether the write took effect.
struct Case {
    name: &'static str,
    inject: fn(&StoreStandin),
    write: fn(&Result<(), StoreError>) -> bool,
    read: fn(&Result<usize, StoreError>) -> bool,
    took_effect: bool,
}

fn down(standin: &StoreStandin) {
    standin.faults.change(|faults| faults.down = true);
}

/// Delays each call beyond the timeout of the client.
fn slow(standin: &StoreStandin) {
    standin.faults.change(|faults| faults.delay = TIMEOUT * 4);
}

fn lose_response(standin: &StoreStandin) {
    standin.faults.change(|faults| faults.lost_responses = 1);
}

fn outcome_unknown<T>(result: &Result<T, StoreError>) -> bool {
    matches!(result, Err(StoreError::OutcomeUnknown(_)))
}

#[tokio::test(flavor = "multi_thread")]
async fn each_fault_has_its_error_and_effect() {
    let cases = [
        Case {
            name: "none",
            inject: |_| {},
            write: Result::is_ok,
            read: |read| *read == Ok(1),
            took_effect: true,
        },
        Case {
            name: "down",
            inject: down,
            write: outcome_unknown,
            read: outcome_unknown,
            took_effect: false,
        },
        Case {
            name: "slow",
            inject: slow,
            write: outcome_unknown,
            read: outcome_unknown,
            took_effect: false,
        },
        Case {
            name: "response lost after the write",
            inject: lose_response,
            write: outcome_unknown,
            read: |read| *read == Ok(1),
            took_effect: true,
        },
        Case {
            name: "stale reads",
            inject: StoreStandin::freeze_reads,
            write: Result::is_ok,
            read: |read| *read == Ok(0),
            took_effect: true,
        },
    ];
    for case in cases {
        let (standin, store) = start().await;
        (case.inject)(&standin);
        let write = (store.txn)(put("a", "1")).await.map(|_| ());
        let read = (store.range)(range()).await;
        let read = read.map(|resp| resp.entries.len());
        assert!((case.write)(&write), "{}: write {write:?}", case.name);
        assert!((case.read)(&read), "{}: read {read:?}", case.name);
        let took_effect = standin.value("/test/a").is_some();
        assert_eq!(took_effect, case.took_effect, "{}", case.name);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn calls_beyond_the_budget_are_not_made() {
    let (standin, store) = start().await;
    let settings = BudgetSettings {
        reads_per_second: 0.0,
        writes_per_second: 0.0,
        burst_seconds: 0.0,
        ..BudgetSettings::default()
    };
    let budget = Arc::new(StoreBudget::new(settings));
    let limited = budget::with_budget(&store, &budget);
    let write = (limited.txn)(put("a", "1")).await;
    assert_eq!(write, Err(StoreError::OverBudget));
    let read = (limited.range)(range()).await;
    assert_eq!(read, Err(StoreError::OverBudget));
    assert!(standin.value("/test/a").is_none());
    assert_eq!(budget.calls().over_budget, 2);
    assert_eq!(budget.calls().txn, 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn open_watches_count_against_the_budget() {
    let (_standin, store) = start().await;
    let settings = BudgetSettings {
        watches: 1,
        ..BudgetSettings::default()
    };
    let budget = Arc::new(StoreBudget::new(settings));
    let limited = budget::with_budget(&store, &budget);
    let first = open_watch(&limited, 1).await;
    assert_eq!(budget.calls().watches_waiting, 1);
    let req = WatchReq {
        key: PREFIX.to_owned(),
        prefix: true,
        start_revision: 1,
    };
    let second = (limited.watch)(req).await.map(|_| ());
    assert_eq!(second, Err(StoreError::OverBudget));
    drop(first);
    assert_eq!(budget.calls().watches_waiting, 0);
    open_watch(&limited, 1).await;
    assert_eq!(budget.calls().watch, 2);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_comparison_that_fails_writes_nothing() {
    let (standin, store) = start().await;
    (store.txn)(put("a", "1")).await.expect("put");
    let mut second = put("a", "2");
    second.compare.push(Compare {
        key: format!("{PREFIX}a"),
        mod_revision: 0,
    });
    assert!(!(store.txn)(second).await.expect("response").succeeded);
    assert_eq!(standin.value("/test/a"), Some(b"1".to_vec()));
}

/// Whoever sent it, a write may have been made.
#[tokio::test]
async fn a_status_that_http_does_not_have_refuses_nothing() {
    let server = RawServer::start().await.expect("server");
    let store = etcd::client(server.address, TIMEOUT);
    for status in ["000", "099", "600", "999"] {
        let response = format!("HTTP/1.1 {status} OK\r\ncontent-length: 0\r\n\r\n");
        let bytes = response.into_bytes();
        server
            .responses
            .change(|responses| responses.request = bytes);
        let watch = WatchReq {
            key: PREFIX.to_owned(),
            prefix: true,
            start_revision: 1,
        };
        let errors = [
            (store.range)(range()).await.err(),
            (store.txn)(put("k", "v")).await.err(),
            (store.watch)(watch).await.err(),
        ];
        for err in errors {
            let is_unknown = matches!(err, Some(StoreError::OutcomeUnknown(_)));
            assert!(is_unknown, "{status}: {err:?}");
        }
    }
}

/// The library takes the line feed for the end of the head, and the rest for the body.
#[tokio::test]
async fn a_head_that_is_split_by_a_line_feed_tells_nothing_of_a_write() {
    let server = RawServer::start().await.expect("server");
    let store = etcd::client(server.address, TIMEOUT);
    for length in ["content-length: 4\r\n", ""] {
        let response = format!("HTTP/1.1 200 OK\r\n{length}\nx-id: 1\r\n\r\n{{}}");
        let bytes = response.into_bytes();
        server
            .responses
            .change(|responses| responses.request = bytes);
        let err = (store.txn)(put("k", "v")).await.err();
        let is_unknown = matches!(err, Some(StoreError::OutcomeUnknown(_)));
        assert!(is_unknown, "{length:?}: {err:?}");
    }
}
