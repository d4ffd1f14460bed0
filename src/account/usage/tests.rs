use super::*;

fn requests(requests: u64) -> AccountCounts {
    AccountCounts {
        requests,
        ..AccountCounts::default()
    }
}

#[test]
fn the_busiest_accounts_are_named_and_the_others_summed() {
    let mut usage = AccountUsage::default();
    for (name, count) in [("a", 1), ("b", 30), ("c", 2), ("d", 20), ("b", 5)] {
        usage.add(&name.into(), requests(count));
    }
    let (mut named, others) = usage.busiest(2);
    named.sort();
    let (b, d) = ("b".into(), "d".into());
    assert_eq!(named, [(&b, requests(35)), (&d, requests(20))]);
    assert_eq!(others, requests(3));
    assert_eq!(usage.busiest(9).0.len(), 4);
}

#[test]
fn the_counts_of_removed_accounts_are_dropped() {
    let mut usage = AccountUsage::default();
    let mut accounts = Vec::new();
    for name in ["a", "b"] {
        usage.add(&name.into(), requests(1));
        accounts.push(Account {
            name: name.into(),
            keys: Vec::new(),
            priority: None,
            limit: None,
        });
    }
    usage.retain(&accounts[1..]);
    let counts = ["a", "b"].map(|name| usage.get(&name.into()).requests);
    assert_eq!(counts, [0, 1]);
}
