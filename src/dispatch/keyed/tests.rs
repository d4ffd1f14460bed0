use arbtest::arbitrary::Unstructured;
use arbtest::arbtest;
use indexmap::IndexSet;

use super::*;

fn begin(token: u32, fingerprint: u64) -> KeyedBegin {
    KeyedBegin {
        key: RecordKey::from("key"),
        token: Token(token.to_string()),
        fingerprint: Fingerprint(fingerprint),
    }
}

fn lookup(token: u32, fingerprint: u64, outcome: Option<RecordedOutcome>) -> Lookup {
    Lookup {
        record: Record {
            token: Token(token.to_string()),
            fingerprint: Fingerprint(fingerprint),
            outcome,
        },
        mod_revision: 7,
    }
}

fn outcome() -> RecordedOutcome {
    RecordedOutcome {
        status: 200,
        content_type: None,
        body: String::new(),
    }
}

#[test]
fn decision_follows_from_the_stored_record() {
    let none = |_: &Token| false;
    let begin_request = begin(2, 1);
    let write = |mod_revision| Decision::Write { mod_revision };
    let respond = Decision::Respond;
    let rows = [
        ("no record", None, write(0)),
        (
            "accepted",
            Some(lookup(1, 1, None)),
            respond(KeyedResponse::Accepted),
        ),
        (
            "response recorded",
            Some(lookup(1, 1, Some(outcome()))),
            respond(KeyedResponse::Done(outcome())),
        ),
        (
            "other request",
            Some(lookup(1, 9, None)),
            respond(KeyedResponse::Reused),
        ),
        (
            "own record",
            Some(lookup(2, 1, None)),
            respond(KeyedResponse::Fresh),
        ),
    ];
    for (name, found, expected) in rows {
        assert_eq!(
            decide(&begin_request, found.as_ref(), none),
            expected,
            "{name}"
        );
    }
    let abandoned = lookup(1, 9, None);
    assert_eq!(decide(&begin_request, Some(&abandoned), |_| true), write(7));
}

#[test]
fn record_keys_differ_by_service_caller_and_key() {
    let key = |service: &str, caller: &str, key: &str| {
        RecordKey::of(
            &ServiceName::from(service),
            &CallerName::from(caller),
            key.as_bytes(),
        )
    };
    let keys: IndexSet<_> = [
        key("orders", "lab", "1"),
        key("orders", "lab", "2"),
        key("orders", "lab1", ""),
        key("orderslab", "", "1"),
        key("archive", "lab", "1"),
    ]
    .into_iter()
    .collect();
    assert_eq!(keys.len(), 5);
}

/// Result of one write to the store.
#[derive(Clone, Copy, PartialEq)]
enum WriteResult {
    Acknowledged,
    /// The write takes effect but its response is lost.
    Lost,
    /// The write does not reach the store.
    Dropped,
}

/// Two coordinators record calls with the same key while writes or responses are lost;
/// returns how many calls were allowed to run.
fn allowed_runs(tracks_refused: bool, u: &mut Unstructured<'_>) -> usize {
    let mut store: Option<Lookup> = None;
    let mut revision = 0;
    let mut refused = [IndexSet::new(), IndexSet::new()];
    let mut runs = 0;
    for token in 0..8 {
        let coordinator = usize::from(u.arbitrary::<bool>().unwrap_or(false));
        let begin_request = begin(token, 1);
        // Without tracking, every record is taken for one whose call never ran.
        let abandoned = |token: &Token| !tracks_refused || refused[coordinator].contains(token);
        let decision = decide(&begin_request, store.as_ref(), abandoned);
        let Decision::Write { mod_revision } = decision else {
            continue;
        };
        // Another coordinator may write between lookup and write.
        if u.ratio(1, 4).unwrap_or(false) {
            revision += 1;
            if let Some(found) = &mut store {
                found.mod_revision = revision;
            }
        }
        let result = *u
            .choose(&[
                WriteResult::Acknowledged,
                WriteResult::Lost,
                WriteResult::Dropped,
            ])
            .unwrap_or(&WriteResult::Acknowledged);
        let unchanged = store.as_ref().map_or(0, |found| found.mod_revision) == mod_revision;
        if unchanged && result != WriteResult::Dropped {
            revision += 1;
            let mut found = lookup(token, 1, None);
            found.mod_revision = revision;
            store = Some(found);
        }
        match result {
            WriteResult::Acknowledged if unchanged => runs += 1,
            WriteResult::Acknowledged => {}
            WriteResult::Lost | WriteResult::Dropped => {
                refused[coordinator].insert(begin_request.token);
            }
        }
    }
    runs
}

#[test]
fn at_most_one_call_runs_per_key() {
    arbtest(|u| {
        assert!(allowed_runs(true, u) <= 1);
        Ok(())
    });
}

#[test]
fn check_detects_records_wrongly_taken_for_abandoned() {
    let found = testing::search::finds(|u| Ok(allowed_runs(false, u) > 1));
    assert!(found);
}
