//! Requests around a planned stop of an instance, with a long grace period and long deadlines.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use crate::entry_cluster::{EntryCluster, RawConn, connect};

/// The instance's time from SIGTERM to SIGKILL, in seconds.
const GRACE_S: u64 = 10;
/// Time that a target works on each request, far longer than on those before.
const WORK: Duration = Duration::from_millis(7500);
/// Deadline of every third request, which ends before the exit if the request is sent soon
/// after SIGTERM, and of the others, in milliseconds.
const DEADLINES_MS: (u64, u64) = (8_000, 25_000);
/// Time between two requests.
const INTERVAL: Duration = Duration::from_millis(150);
/// Requests before SIGTERM, and in all: some are sent when the instance has stopped accepting.
const REQUESTS: (u32, u32) = (6, 44);
/// Time in which an instance answers a request that it refuses.
const REFUSAL_LIMIT: Duration = Duration::from_millis(700);

/// How a request is sent.
#[derive(Clone, Copy)]
struct Form {
    /// Whether it is a POST request that may run once, with a chunked body.
    is_post: bool,
    /// Whether its connection was used before.
    is_kept: bool,
    deadline_ms: u64,
}

/// What a caller got.
#[derive(Debug)]
struct Ending {
    id: String,
    took: Duration,
    /// Status of the whole response; `None` if the connection ended without one.
    status: Option<u16>,
}

async fn send(conn: Option<RawConn>, address: SocketAddr, id: String, form: Form) -> Ending {
    let started = Instant::now();
    let mut conn = match conn {
        Some(conn) => Some(conn),
        None => connect(address).await,
    };
    let mut status = None;
    if let Some(conn) = &mut conn {
        let (line, parts): (_, &[&str]) = if form.is_post {
            let parts = &["4\r\nsome\r\n", "4\r\nmore\r\n0\r\n\r\n"];
            ("POST /once/x HTTP/1.1\r\ntransfer-encoding: chunked", parts)
        } else {
            ("GET /safe/x HTTP/1.1", &[])
        };
        let head = format!(
            "{line}\r\nhost: x.example\r\nx-request-id: {id}\r\n\
             x-deadline-ms: {}\r\n\r\n",
            form.deadline_ms
        );
        let mut is_sent = conn.try_send(head.as_bytes()).await;
        for part in parts {
            tokio::time::sleep(Duration::from_millis(60)).await;
            is_sent = is_sent && conn.try_send(part.as_bytes()).await;
        }
        // A refusal may arrive while the body is sent.
        status = conn.response_or_end().await.map(|resp| resp.status);
    }
    Ending {
        id,
        took: started.elapsed(),
        status,
    }
}

/// Callers were cut off late in the grace period, some of them with requests that must not be
/// sent again; later only those whose work was longer than usual.
#[tokio::test]
async fn a_planned_stop_cuts_no_request_that_was_taken() {
    let mut cluster = EntryCluster::start(2, 12).await;
    cluster.configure_timeout(8, 20_000);
    cluster.kill(0);
    cluster.rewrite_settings(0, "\"grace_s\": 6", &format!("\"grace_s\": {GRACE_S}"));
    cluster.launch(0);
    cluster.wait_for_version(0, 8).await;
    cluster.wait_for_targets(0, 12).await;
    cluster.wait_until_ready(0).await;
    let address = cluster.caller_address(0);
    let mut kept = Vec::new();
    for number in 0..REQUESTS.1 {
        let mut conn = cluster.connect(0).await;
        let warm_up = format!(
            "GET /safe/x HTTP/1.1\r\nhost: x.example\r\nx-request-id: kept-{number}\r\n\r\n"
        );
        conn.send(warm_up.as_bytes()).await;
        assert_eq!(conn.response().await.status, 200);
        kept.push(conn);
    }
    for target in cluster.targets() {
        target.state.change(|state| {
            state.work = WORK;
            state.chunk_pause = Duration::from_millis(40);
        });
    }
    let mut sending = Vec::new();
    let mut stopped = Instant::now();
    for number in 0..REQUESTS.1 {
        if number == REQUESTS.0 {
            cluster.send_sigterm(0);
            stopped = Instant::now();
        }
        let form = Form {
            is_post: number % 2 == 0,
            is_kept: number % 4 < 2,
            deadline_ms: if number % 3 == 0 {
                DEADLINES_MS.0
            } else {
                DEADLINES_MS.1
            },
        };
        let conn = kept.pop().filter(|_| form.is_kept);
        let request = send(conn, address, format!("r{number:02}"), form);
        sending.push(tokio::spawn(request));
        tokio::time::sleep(INTERVAL).await;
    }
    let mut endings = Vec::new();
    for request in sending {
        endings.push(request.await.unwrap());
    }
    assert!(cluster.wait_for_exit(0).success());
    assert!(stopped.elapsed() < Duration::from_secs(GRACE_S));
    let (mut answered, mut refused) = (0, 0);
    for (number, ending) in (0..).zip(endings) {
        let arrivals = cluster.arrivals(&ending.id);
        match ending.status {
            Some(200) => answered += 1,
            Some(503) => {
                assert_eq!(arrivals, 0, "{ending:?}");
                assert!(ending.took < REFUSAL_LIMIT, "{ending:?}");
                refused += 1;
            }
            None => assert_eq!(arrivals, 0, "{ending:?}"),
            _ => panic!("{ending:?}"),
        }
        assert!(
            number >= REQUESTS.0 || ending.status == Some(200),
            "{ending:?}"
        );
    }
    println!("{answered} answered, {refused} refused");
    assert!(answered > REQUESTS.0);
}
