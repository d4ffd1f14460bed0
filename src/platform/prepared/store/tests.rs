use std::fmt::Write;
use std::sync::Arc;

use prometheus::{IntCounterVec, Opts};
use standin::prepared::store::{Faults, Mode, StoreStandin};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;

use super::changes::MAX_PROBLEM_CHARS;
use super::*;
use crate::entry::model::Record;
use crate::entry::testing::slow_server;

/// Wait of watches that must end with a change, and not because the time is over.
const WAIT: Duration = Duration::from_secs(5);

async fn setup() -> (StoreStandin, StoreClient) {
    let store = StoreStandin::start().await.unwrap();
    let client = client(store.address());
    (store, client)
}

fn client(address: SocketAddr) -> StoreClient {
    let calls = IntCounterVec::new(Opts::new("calls", "calls"), &["kind"]).unwrap();
    StoreClient::new(address, Arc::new(calls))
}

fn target(zone: &str) -> Vec<u8> {
    json!({
        "service": "s", "address": "10.0.0.9:8080", "zone": zone, "slots": 6,
        "state": "ready", "warmup_left_ms": 0, "sequence": 1, "born": 1,
    })
    .to_string()
    .into_bytes()
}

fn position(revision: u64) -> Position {
    Position { era: 0, revision }
}

fn keys(set: &ChangeSet) -> Vec<&str> {
    set.changes.iter().map(|change| &*change.key).collect()
}

#[tokio::test]
async fn all_records_are_read_page_by_page() {
    let (store, mut client) = setup().await;
    for number in 0..120 {
        store.put(&format!("servers/t{number:03}"), &target("a"));
    }
    let set = client
        .read_all(ReadConsistency::Linearizable)
        .await
        .unwrap();
    assert_eq!(set.changes.len(), 120);
    assert_eq!(set.revision, 120);
    assert_eq!(store.calls("kv-range"), 3);
}

#[tokio::test]
async fn a_watch_returns_changes_and_removals_after_a_revision() {
    let (store, mut client) = setup().await;
    store.put("servers/one", &target("a"));
    let from = client
        .read_all(ReadConsistency::Linearizable)
        .await
        .unwrap()
        .revision;
    store.put("servers/two", &target("a"));
    store.remove("servers/one");
    let set = client.watch(position(from), WAIT).await.unwrap();
    assert_eq!(keys(&set), ["servers/two", "servers/one"]);
    assert!(set.changes[0].record.is_some());
    assert_eq!(set.changes[1].record, None);
    assert_eq!(set.revision, from + 2);
}

#[tokio::test]
async fn an_invalid_record_counts_as_removed_and_others_are_still_read() {
    let (store, mut client) = setup().await;
    store.put("servers/bad", b"\xff");
    store.put("servers/good", &target("a"));
    store.put("elsewhere", b"x");
    let set = client
        .read_all(ReadConsistency::Linearizable)
        .await
        .unwrap();
    let usable: Vec<_> = set
        .changes
        .iter()
        .filter(|change| matches!(change.record, Some(Record::Target(_))))
        .map(|change| &*change.key)
        .collect();
    assert_eq!(usable, ["servers/good"]);
    assert_eq!(keys(&set).len(), 2);
    assert_eq!(set.rejected.len(), 1);
    assert_eq!(&*set.rejected[0].key, "servers/bad");
}

/// Problems are logged, and kept for the state dump.
#[tokio::test]
async fn the_problem_of_a_huge_record_is_short() {
    let (store, mut client) = setup().await;
    let state = "\u{e9}".repeat(100_000);
    let value = String::from_utf8(target("a")).unwrap();
    store.put("servers/bad", value.replace("ready", &state).as_bytes());
    let set = client.watch(position(0), WAIT).await.unwrap();
    let length = set.rejected[0].problem.len();
    assert!(length <= 4 * MAX_PROBLEM_CHARS, "{length} bytes");
}

#[tokio::test]
async fn an_invalid_decision_may_be_of_a_later_release() {
    let (store, mut client) = setup().await;
    for value in ["odd", r#"{"format":1}"#, r#"{"format":2}"#] {
        store.put("rollouts/s", value.as_bytes());
    }
    let set = client.watch(position(0), WAIT).await.unwrap();
    let later: Vec<bool> = set.rejected.iter().map(|record| record.is_later).collect();
    assert_eq!(later, [false, false, true]);
}

/// A store that answers each call with this body, in ISO 8859-1.
async fn answering(body: &str) -> StoreClient {
    let bytes = body.chars().map(|char| u8::try_from(char).unwrap());
    let body: Vec<u8> = bytes.collect();
    let length = body.len();
    let head = format!("HTTP/1.1 200 OK\r\nconnection: close\r\ncontent-length: {length}\r\n\r\n");
    sending([head.as_bytes(), &body].concat()).await
}

/// A store that sends these bytes to the first call of each connection.
async fn sending(bytes: Vec<u8>) -> StoreClient {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        loop {
            let (mut stream, _) = listener.accept().await.unwrap();
            let mut buf = Vec::new();
            while !buf.ends_with(b"\r\n\r\n") {
                buf.push(stream.read_u8().await.unwrap());
            }
            stream.write_all(&bytes).await.unwrap();
        }
    });
    client(address)
}

#[tokio::test]
async fn one_odd_item_does_not_end_a_read_or_a_watch() {
    let value = STANDARD.encode(target("a"));
    let item = |fields: &str| format!(r#"{{"value":"{value}",{fields}}}"#);
    let nested = "[".repeat(50_000) + &"]".repeat(50_000);
    let odd = [
        item(r#""key":"servers/no-revision""#),
        item(r#""rev":3"#),
        item(r#""key":"servers/huge","rev":18446744073709551616"#),
        item(r#""key":"servers/float","rev":1e400"#),
        item(r#""key":"servers/text","rev":"3""#),
        item(r#""key":"servers/\ud800","rev":3"#),
        item("\"key\":\"servers/\u{ff}\",\"rev\":3"),
        item(&format!(r#""key":"servers/nested","rev":{nested}"#)),
        r#"{"key":"servers/number","value":1e400,"rev":3}"#.to_owned(),
        "null".to_owned(),
        nested,
    ];
    for odd in odd {
        let items = [
            item(r#""key":"servers/a","rev":2"#),
            odd.clone(),
            item(r#""key":"servers/z","rev":4"#),
        ];
        let items = items.join(",");
        let body = format!(r#"{{"items":[{items}],"events":[{items}],"store_revision":5}}"#);
        let mut client = answering(&body).await;
        for set in [
            client
                .read_all(ReadConsistency::Linearizable)
                .await
                .unwrap(),
            client.watch(position(1), WAIT).await.unwrap(),
        ] {
            let usable = set.changes.iter().filter(|change| change.record.is_some());
            let usable: Vec<&str> = usable.map(|change| &*change.key).collect();
            assert_eq!(usable, ["servers/a", "servers/z"], "{odd}");
            assert_eq!((set.revision, set.rejected.len()), (5, 1), "{odd}");
        }
    }
}

/// The next watch would get the same changes, and fail again.
#[tokio::test]
async fn changes_that_exceed_the_size_of_a_response_are_read_again_page_by_page() {
    let (store, mut client) = setup().await;
    let large = vec![b'x'; MAX_RESPONSE_BYTES / 100];
    for number in 0..100 {
        store.put(&format!("servers/t{number:02}"), &large);
    }
    let result = client.watch(position(0), WAIT).await;
    assert!(matches!(result, Err(StoreError::TooLarge)), "{result:?}");
    let set = client.read_all(ReadConsistency::Linearizable).await;
    assert_eq!(set.unwrap().revision, 100);
}

#[tokio::test]
async fn an_invalid_configuration_changes_nothing() {
    let (store, mut client) = setup().await;
    store.put("op/config", br#"{"version":"r7"}"#);
    let set = client.watch(position(0), WAIT).await.unwrap();
    assert!(set.changes.is_empty(), "{set:?}");
    assert_eq!(set.rejected.len(), 1);
    assert_eq!(set.revision, 1);
}

/// Results of a read and a write under each fault, and of a write after it.
#[tokio::test]
async fn each_fault_gives_its_error_and_leaves_the_client_usable() {
    let cases = [
        ("serving", Mode::Serving),
        ("busy", Mode::Refusing(503)),
        ("too many calls", Mode::Refusing(429)),
        ("reset", Mode::Resetting),
        ("silent", Mode::Silent),
    ];
    let mut seen = String::new();
    for (name, mode) in cases {
        let (store, mut client) = setup().await;
        store.faults.set(Faults {
            mode,
            ..Faults::default()
        });
        let read = kind(&client.read_all(ReadConsistency::Linearizable).await);
        let written = kind(&client.put_if("during", b"v", 0).await);
        store.faults.set(Faults::default());
        let after = kind(&client.put_if("after", b"v", 0).await);
        writeln!(seen, "{name}: read {read}, write {written}; then {after}").unwrap();
        assert_eq!(
            store.keys().contains(&"during".to_owned()),
            written == "done"
        );
    }
    insta::assert_snapshot!(seen);
}

fn kind<T>(result: &Result<T, StoreError>) -> &'static str {
    match result {
        Ok(_) => "done",
        Err(StoreError::Refused(_)) => "refused",
        Err(StoreError::Compacted) => "gone",
        Err(StoreError::TooLarge) => "too large",
        Err(StoreError::Restored) => "restored",
        Err(StoreError::Conflict) => "conflict",
        Err(StoreError::OutcomeUnknown(_)) => "unknown",
        Err(StoreError::Malformed(_)) => "malformed",
    }
}

/// Whoever sent it, the write may have been made.
#[tokio::test]
async fn a_status_that_http_does_not_have_refuses_nothing() {
    for status in ["000", "099", "600", "999"] {
        let response = format!("HTTP/1.1 {status} OK\r\ncontent-length: 0\r\n\r\n");
        let mut client = sending(response.into_bytes()).await;
        let read = client.read_all(ReadConsistency::Linearizable).await;
        assert_eq!(kind(&read), "unknown", "{status}");
        let written = client.put_if("k", b"v", 0).await;
        assert_eq!(kind(&written), "unknown", "{status}");
    }
}

#[tokio::test]
async fn retrying_a_write_whose_response_was_lost_gives_a_conflict() {
    let (store, mut client) = setup().await;
    store.faults.change(|faults| faults.lost_responses = 1);
    assert_eq!(kind(&client.put_if("k", b"v", 0).await), "unknown");
    assert_eq!(store.keys(), ["k"]);
    assert_eq!(kind(&client.put_if("k", b"v", 0).await), "conflict");
}

#[tokio::test]
async fn a_record_is_removed_only_at_the_expected_revision() {
    let (store, mut client) = setup().await;
    client.put_if("k", b"old", 0).await.unwrap();
    client.put_if("k", b"new", 1).await.unwrap();
    assert_eq!(kind(&client.remove_if("k", 1).await), "conflict");
    assert_eq!(store.keys(), ["k"]);
    assert_eq!(kind(&client.remove_if("k", 2).await), "done");
    assert!(store.keys().is_empty());
}

#[tokio::test]
async fn a_watch_from_a_compacted_revision_fails() {
    let (store, mut client) = setup().await;
    store.put("k", b"v");
    store.compact();
    assert_eq!(kind(&client.watch(position(0), WAIT).await), "gone");
}

#[tokio::test]
async fn only_a_read_that_may_be_stale_lacks_the_newest_changes() {
    let (store, mut client) = setup().await;
    store.put("servers/old", &target("a"));
    store.faults.change(|faults| faults.stale_by_revisions = 1);
    store.put("servers/new", &target("a"));
    let stale = client.read_all(ReadConsistency::Stale).await.unwrap();
    assert_eq!((keys(&stale), stale.revision), (vec!["servers/old"], 1));
    let fresh = client
        .read_all(ReadConsistency::Linearizable)
        .await
        .unwrap();
    assert_eq!(fresh.changes.len(), 2);
    let missed = client.watch(position(stale.revision), WAIT).await.unwrap();
    assert_eq!(keys(&missed), ["servers/new"]);
}

/// A watch from the first page's revision would never bring the removal.
#[tokio::test]
async fn a_removal_that_a_later_page_lacks_is_delivered_by_the_watch_that_follows() {
    let (store, mut client) = setup().await;
    for number in 0..120 {
        store.put(&format!("servers/t{number:03}"), &target("a"));
    }
    store.remove("servers/t110");
    store
        .faults
        .change(|faults| faults.later_pages_stale_by = 1);
    let read = client.read_all(ReadConsistency::Stale).await.unwrap();
    assert!(keys(&read).contains(&"servers/t110"));
    let missed = client.watch(position(read.revision), WAIT).await.unwrap();
    assert_eq!(keys(&missed), ["servers/t110"]);
}

#[tokio::test]
async fn a_watch_of_a_restored_store_fails_even_if_it_has_that_revision_again() {
    let (store, mut client) = setup().await;
    let copy = store.copy();
    store.put("servers/lost", &target("a"));
    let start = client
        .read_all(ReadConsistency::Linearizable)
        .await
        .unwrap();
    let start = Position {
        era: start.era,
        revision: start.revision,
    };
    store.restore(&copy);
    let result = client.watch(start, WAIT).await;
    assert!(matches!(result, Err(StoreError::Compacted)), "{result:?}");
    store.put("servers/one", &target("a"));
    store.put("servers/two", &target("a"));
    let result = client.watch(start, WAIT).await;
    assert!(matches!(result, Err(StoreError::Restored)), "{result:?}");
}

/// Timeout that only a hang reaches on the loopback interface.
const HANG_TIMEOUT: Duration = Duration::from_secs(20);
/// Timeout of calls in tests of slow responses.
const SHORT: Duration = Duration::from_millis(100);

/// Result of a read of an empty page of which only `sent` bytes arrive, one by one.
async fn slow_read(sent: usize, progress_limits: ProgressLimits) -> Result<u64, StoreError> {
    let (_, mut client) = setup().await;
    let page = r#"{"items":[],"store_revision":7}"#;
    client.address = slow_server(page, sent, SHORT / 5).await;
    client.call_timeout = SHORT;
    client.progress_limits = progress_limits;
    let read = client.read_all(ReadConsistency::Linearizable);
    let read = tokio::time::timeout(HANG_TIMEOUT, read).await;
    read.expect("given up or complete").map(|set| set.revision)
}

/// A large page takes longer than the timeout of a call on a narrow link.
#[tokio::test]
async fn a_response_is_given_up_when_it_stalls_or_trickles_but_not_while_it_makes_progress() {
    let patient = ProgressLimits {
        stall_timeout: SHORT * 10,
        min_bytes_per_second: 1,
    };
    let whole = slow_read(usize::MAX, patient).await;
    assert!(matches!(whole, Ok(7)), "{whole:?}");
    for silent_after in [0, 40] {
        let stalled = slow_read(silent_after, patient).await;
        assert_eq!(kind(&stalled), "unknown", "{silent_after}");
    }
    let trickle = ProgressLimits {
        min_bytes_per_second: 1 << 20,
        ..patient
    };
    assert_eq!(kind(&slow_read(usize::MAX, trickle).await), "unknown");
}
