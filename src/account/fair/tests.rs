use super::*;

const COST: Duration = Duration::from_millis(100);

fn send(shares: &mut FairShares, account: &CallerName) -> Duration {
    let start = shares.start_of(Some(account));
    shares.record(Some(account), start, COST);
    start
}

#[test]
fn an_account_starts_after_its_own_requests_and_no_later_than_others_did() {
    let mut shares = FairShares::default();
    let (hot, quiet) = (CallerName::from("hot"), CallerName::from("quiet"));
    let starts: Vec<_> = (0..3).map(|_| send(&mut shares, &hot)).collect();
    assert_eq!(starts, [Duration::ZERO, COST, COST * 2]);
    assert_eq!(shares.start_of(Some(&hot)), COST * 3);
    assert_eq!(
        shares.start_of(Some(&quiet)),
        COST * 2,
        "nothing is owed for idle time"
    );
    assert_eq!(shares.start_of(None), COST * 2);
}

#[test]
fn what_is_remembered_is_bounded() {
    let mut shares = FairShares::default();
    let hot = CallerName::from("hot");
    shares.record(Some(&hot), Duration::ZERO, COST * 1000);
    for number in 0..10_000 {
        let name = CallerName::from(format!("account-{number}"));
        shares.record(Some(&name), Duration::ZERO, COST);
        assert!(shares.ends.len() <= MAX_REMEMBERED);
        assert_eq!(shares.ends.len(), shares.by_end.len());
    }
    assert_eq!(
        shares.start_of(Some(&hot)),
        COST * 1000,
        "the most ahead is kept"
    );
    shares.record(Some(&hot), COST * 1000, COST);
    assert_eq!(shares.ends.len(), 1, "others are no longer ahead");
}
