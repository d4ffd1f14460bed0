//! A short soak run with the same faults each time.

use std::time::Duration;

use soak::{Options, run};

#[tokio::test(flavor = "multi_thread")]
async fn invariants_hold_under_sequential_and_overlapping_faults() {
    let options = Options {
        program: env!("CARGO_BIN_EXE_wagtailsaddle").into(),
        length: Duration::from_secs(12),
        instances: 3,
        targets: 4,
        callers: 6,
        ..Options::default()
    };
    assert_no_violation(&options).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn invariants_hold_while_the_store_returns_from_copies() {
    let options = Options {
        program: env!("CARGO_BIN_EXE_wagtailsaddle").into(),
        seed: 2,
        length: Duration::from_secs(12),
        instances: 3,
        targets: 4,
        callers: 6,
        restores: true,
        ..Options::default()
    };
    assert_no_violation(&options).await;
}

async fn assert_no_violation(options: &Options) {
    let (calls, violations) = run(options).await.unwrap();
    assert!(calls > 0, "no call was made");
    assert!(violations.is_empty(), "{violations:#?}");
}
