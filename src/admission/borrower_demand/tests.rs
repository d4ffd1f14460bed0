use super::*;

#[test]
fn permits_are_lent_by_demand_and_free_slots() {
    struct Case(&'static str, u32, u64, u32, u32, u32);
    let cases = [
        Case("no recent calls", 0, 0, 0, 20, 0),
        Case("too few calls", 1, 0, 0, 20, 0),
        Case("a few calls", 4, 0, 0, 20, 1),
        Case("many calls", 40, 0, 0, 20, 5),
        Case("permits already held count", 40, 0, 4, 20, 1),
        Case("half of the free slots are not lent", 400, 0, 0, 6, 3),
        Case("no free slot", 40, 0, 0, 0, 0),
        Case("the last free slot is not lent", 40, 0, 0, 1, 0),
        Case("old demand is ignored", 40, 500, 0, 20, 0),
    ];
    let borrower = InstanceId::from("peer");
    for Case(what, calls, later_ms, held, free, expected) in cases {
        let mut demand = BorrowerDemand::default();
        demand.record(Time::from_secs(1), &borrower, calls);
        let now = Time::from_secs(1).after(Duration::from_millis(later_ms));
        assert_eq!(
            demand.permits_to_lend(now, &borrower, held, free),
            expected,
            "{what}"
        );
    }
}

#[test]
fn borrowers_share_the_lendable_slots() {
    let now = Time::from_secs(1);
    let mut demand = BorrowerDemand::default();
    for name in ["one", "two", "three"] {
        demand.record(now, &InstanceId::from(name), 100);
    }
    assert_eq!(
        demand.permits_to_lend(now, &InstanceId::from("one"), 0, 12),
        2
    );
}
