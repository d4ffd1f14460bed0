use super::*;

fn evidence() -> OwnEvidence {
    OwnEvidence::new("lookup".into(), "v2".into(), 7)
}

#[test]
fn a_report_holds_the_totals_by_route_and_target() {
    let mut evidence = evidence();
    evidence.record(Side::Old, 1, 50, Response::Good);
    evidence.record(Side::New, 1, 51, Response::Failed);
    evidence.record(Side::New, 1, 52, Response::Slow);
    evidence.record(Side::New, 2, 52, Response::Good);
    let report = evidence.report();
    let expected = |good, slow, failed| Tally { good, slow, failed };
    assert_eq!(report.total(), 4);
    assert_eq!(report.routes[0].old, expected(1, 0, 0));
    assert_eq!(report.routes[0].new, expected(0, 1, 1));
    assert_eq!(report.targets.len(), 3);
}

#[test]
fn a_report_is_due_only_after_a_change() {
    let mut evidence = evidence();
    assert!(!evidence.changed());
    evidence.record(Side::Old, 1, 50, Response::Good);
    assert!(evidence.changed());
    evidence.report();
    assert!(!evidence.changed());
    evidence.record(Side::Old, 1, 50, Response::Good);
    assert_eq!(evidence.report().total(), 2);
}

#[test]
fn a_report_of_many_routes_and_targets_fits_into_a_datagram() {
    let mut evidence = evidence();
    for number in 1..=1000 {
        let hash = u64::MAX - number;
        evidence.record(Side::New, hash % 20, hash, Response::Failed);
        evidence.record(Side::Old, hash % 20, hash, Response::Good);
    }
    let report = evidence.report();
    assert_eq!(report.total(), 2000);
    assert_eq!(report.routes.len(), MAX_ROUTES);
    assert_eq!(report.targets.len(), MAX_TARGET_TALLIES);
    let by_target: u32 = report.targets.iter().map(|of| of.tally.total()).sum();
    assert_eq!(by_target, 1000);
    assert!(postcard::to_stdvec(&report).unwrap().len() < 1400);
}
