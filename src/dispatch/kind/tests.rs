use super::*;

const OUTCOMES_PAGE: &str = include_str!("../../../docs/operators/outcomes.md");

#[test]
fn documented_table_matches_the_code() {
    let table = table();
    assert!(
        OUTCOMES_PAGE.contains(&table),
        "docs/operators/outcomes.md must hold:\n{table}"
    );
}

#[test]
fn all_kinds_are_listed_once_under_their_json_names() {
    let names: indexmap::IndexSet<_> = ErrorKind::ALL.iter().map(|kind| kind.name()).collect();
    assert_eq!(names.len(), ErrorKind::ALL.len());
    for kind in ErrorKind::ALL {
        assert_eq!(serde_json::json!(kind), kind.name());
        assert_eq!(
            serde_json::json!(kind.response().ran),
            kind.response().ran.name()
        );
    }
}

#[test]
fn callers_may_retry_only_calls_that_did_not_run() {
    for kind in ErrorKind::ALL {
        let response = kind.response();
        assert!(
            !response.caller_may_retry || response.ran == Ran::No,
            "{kind:?}"
        );
        assert_eq!(
            response.retry_after.is_some(),
            response.caller_may_retry || kind == ErrorKind::Quarantined,
            "{kind:?}"
        );
    }
}
