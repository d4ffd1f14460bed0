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
    let (calls, violations) = run(&options).await.unwrap();
    assert!(calls > 0, "no call was made");
    assert!(violations.is_empty(), "{violations:#?}");
}
