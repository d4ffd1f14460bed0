use super::*;

fn failure(kind: ErrorKind, port: u16) -> Failure {
    Failure {
        kind,
        target: ([10, 0, 0, 1], port).into(),
    }
}

/// The crash check looks at the target of the reported failure, which may be the hedge's.
#[test]
fn the_failure_of_a_hedged_call_names_the_target_that_failed_so() {
    let broken = failure(ErrorKind::TargetBroken, 1);
    let shed = failure(ErrorKind::TargetShed, 2);
    assert_eq!(shed.merge_earlier(broken), broken);
    assert_eq!(broken.merge_earlier(shed), broken);
}
