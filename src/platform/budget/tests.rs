use super::{BudgetSettings, CallKind, StoreBudget, TokenBucket};
use crate::platform::store::StoreError;
use crate::units::Time;

#[test]
fn a_bucket_allows_its_size_at_once_and_then_its_rate() {
    let mut bucket = TokenBucket::new(10.0, 5.0);
    let mut taken_by = |millis: u64| {
        let now = Time::from_millis(millis);
        std::iter::repeat_with(|| bucket.try_take(now, 0.0))
            .take_while(|taken| *taken)
            .count()
    };
    assert_eq!(taken_by(0), 5);
    assert_eq!(taken_by(0), 0);
    assert_eq!(taken_by(200), 2);
    assert_eq!(
        taken_by(100),
        0,
        "an earlier time must not refill the bucket"
    );
    assert_eq!(taken_by(60_000), 5);
}

#[test]
fn reserved_write_tokens_are_left_for_lease_calls() {
    let budget = StoreBudget::new(BudgetSettings {
        writes_per_second: 0.001,
        burst_seconds: 10_000.0,
        lease_reserve: 3.0,
        ..BudgetSettings::default()
    });
    while budget.admit(CallKind::Txn).is_ok() {}
    assert_eq!(budget.calls().txn, 7);
    assert_eq!(budget.admit(CallKind::KeepAlive), Ok(()));
    assert_eq!(budget.admit(CallKind::Grant), Ok(()));
    assert_eq!(budget.admit(CallKind::Revoke), Ok(()));
    assert_eq!(
        budget.admit(CallKind::KeepAlive),
        Err(StoreError::OverBudget)
    );
}
