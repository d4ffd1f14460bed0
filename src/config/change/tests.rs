use super::*;

#[test]
fn a_written_change_is_accepted_even_if_it_is_not_in_force_here() {
    let revision = Revision::default();
    let applied = accepted(revision, vec!["first".into()], Ok(()));
    assert_eq!(applied.warnings, ["first"]);
    let applied = accepted(revision, Vec::new(), Err("a document is missing".into()));
    assert_eq!(applied.revision, revision);
    assert!(
        applied.warnings[0].contains("was written but is not in force"),
        "{applied:?}"
    );
}
