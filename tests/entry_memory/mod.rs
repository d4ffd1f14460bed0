//! Memory of an instance while targets or callers misbehave.

use std::time::Duration;

use crate::entry_cluster::{EntryCluster, connect};

/// Memory of an instance by its settings, in bytes.
const MEMORY: usize = 160_000_000;
const CALLERS: usize = 48;
/// Just below the longest body that is passed on.
const LARGE_BYTES: usize = 7 << 20;

/// Guards against bodies that were held, and copied once more, for callers that don't read them:
/// their number was not limited, and the process ran out of memory.
#[tokio::test]
async fn callers_that_read_nothing_do_not_use_up_the_memory() {
    let cluster = EntryCluster::start(1, 4).await;
    cluster.set_large_bytes(LARGE_BYTES);
    let mut callers = Vec::new();
    for number in 0..CALLERS {
        let mut conn = connect(cluster.caller_address(0)).await.unwrap();
        let req = format!(
            "GET /safe/large HTTP/1.1\r\nhost: x.example\r\nx-request-id: l{number}\r\n\
             x-deadline-ms: 4000\r\n\r\n"
        );
        conn.send(req.as_bytes()).await;
        callers.push(conn);
    }
    let ended = || async {
        let log = cluster.log(0);
        let endings = ["\"answered\"", "\"request ended without success\""];
        Some(endings.iter().map(|text| log.matches(text).count()).sum())
    };
    cluster
        .wait_until(ended, |ended: &usize| *ended >= CALLERS)
        .await;
    // Callers that read are answered meanwhile.
    for number in 0..20 {
        let resp = cluster.get(0, "/safe/x", &format!("s{number}")).await;
        assert_eq!(resp.status, 200, "{resp:?}");
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    let peak = cluster.peak_memory(0);
    println!("{peak} bytes");
    assert!(peak < MEMORY, "{peak} bytes");
    // A caller that reads gets its response again once the others have left.
    drop(callers);
    let whole = || async {
        let resp = cluster.try_request(0, "/safe/large", "whole", "").await?;
        Some(resp.status == 200 && resp.body.len() >= LARGE_BYTES)
    };
    cluster.wait_until(whole, |whole| *whole).await;
}
