//! A short soak, with the same faults each time.

use std::time::Duration;

use soak::{Options, run};

#[tokio::test(flavor = "multi_thread")]
async fn what_must_hold_holds_under_faults_in_series_and_overlapping() {
    let options = Options {
        program: env!("CARGO_BIN_EXE_wagtailsaddle").into(),
        length: Duration::from_secs(12),
        instances: 3,
        targets: 4,
        callers: 6,
        ..Options::default()
    };
    let (calls, found) = run(&options).await.unwrap();
    assert!(calls > 0, "nobody called");
    assert!(found.is_empty(), "{found:#?}");
}
