//! Requests that a caller sends before earlier ones are answered.

use std::time::Duration;

use crate::entry_cluster::EntryCluster;

/// Long enough that no request ends before the next one arrives.
const WORK: Duration = Duration::from_millis(700);

#[tokio::test]
async fn idempotent_requests_of_a_connection_run_side_by_side_and_others_wait() {
    let cluster = EntryCluster::start(1, 2).await;
    cluster.set_work(WORK);
    let mut conn = cluster.connect(0).await;
    let paths = ["/safe/1", "/safe/2", "/once/3"];
    let requests: String = paths.iter().map(|path| request(path)).collect();
    conn.send(requests.as_bytes()).await;
    cluster.wait_until_arrived("/safe/1").await;
    cluster.wait_until_arrived("/safe/2").await;
    assert_eq!(cluster.finished(), 0);
    assert_eq!(cluster.arrivals("/once/3"), 0);
    for path in paths {
        let resp = conn.response().await;
        assert_eq!(resp.status, 200, "{resp:?}");
        assert_eq!(resp.header("x-request-id"), Some(path));
        assert_eq!(cluster.runs(path), 1);
    }
}

/// A request whose path is its id.
fn request(path: &str) -> String {
    format!(
        "GET {path} HTTP/1.1\r\nhost: x.example\r\nx-request-id: {path}\r\n\
         x-deadline-ms: 4000\r\n\r\n"
    )
}
