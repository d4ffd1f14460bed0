use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

use super::*;
use crate::entry::settings::Tuning;
use crate::http1::rejection::Rejection;
use crate::http1::request_body::BodyMemory;

/// The platform's time from SIGTERM to the end of the process.
const GRACE: Duration = Duration::from_secs(6);
/// Requests accepted until this time after SIGTERM may run until shortly before the end
/// of the grace period.
const LAST_REQUEST_AFTER: Duration = Duration::from_secs(3);
const GET: &[u8] = b"GET / HTTP/1.1\r\nhost: x\r\n\r\n";

#[test]
fn no_request_is_accepted_that_shutdown_could_interrupt() {
    let ttl = Tuning::default().directory_ttl;
    for grace in [GRACE / 6, GRACE, GRACE * 10] {
        assert!(close_delay(grace, ttl) <= LAST_REQUEST_AFTER, "{grace:?}");
        // Requests that still run then have until the last sixth of the grace period.
        let end = exit_delay(grace);
        assert!(end >= grace * 5 / 6 && end < grace, "{grace:?}");
    }
}

#[test]
fn callers_refresh_the_directory_before_connections_close() {
    let ttl = Tuning::default().directory_ttl;
    assert_eq!(close_delay(GRACE, ttl), ttl * MAX_TTL_OVERRUN);
    assert_eq!(close_delay(GRACE * 10, ttl), ttl * MAX_TTL_OVERRUN);
    assert_eq!(close_delay(GRACE / 6, ttl), GRACE / 12);
}

/// Others may end by themselves.
#[tokio::test]
async fn a_task_that_panics_ends_the_process_in_order() {
    let mut tasks = JoinSet::new();
    tasks.spawn(async {});
    tasks.spawn(async { panic!("on purpose") });
    let mut accepting = tokio::spawn(std::future::pending());
    let ended = wait_for_end(std::future::pending(), &mut tasks, &mut accepting).await;
    let cause = ended.unwrap_err().to_string();
    assert!(cause.contains("on purpose"), "{cause}");
}

#[tokio::test]
async fn an_instance_that_accepts_no_callers_any_more_ends_in_order() {
    let mut tasks = JoinSet::new();
    let mut accepting = tokio::spawn(async { panic!("on purpose") });
    let ended = wait_for_end(std::future::pending(), &mut tasks, &mut accepting).await;
    let cause = ended.unwrap_err().to_string();
    assert!(cause.contains("on purpose"), "{cause}");
}

/// A peer's connections are accepted by the operating system before this process does.
#[tokio::test]
async fn requests_that_wait_to_be_accepted_at_the_close_are_answered() {
    const CONNECTIONS: usize = 20;
    let listener = bind(([127, 0, 0, 1], 0).into()).unwrap();
    let address = listener.local_addr().unwrap();
    let mut streams = Vec::new();
    for number in 0..CONNECTIONS {
        let mut stream = TcpStream::connect(address).await.unwrap();
        if number % 2 == 0 {
            stream.write_all(GET).await.unwrap();
        }
        streams.push(stream);
    }
    let (_shutdown, phase) = watch::channel(ShutdownPhase::Closing);
    let context = ServerContext {
        handler: |_, _| async { Reply::empty(204) },
        body_memory: Arc::new(BodyMemory::new(0, 0)),
        rejected: Box::new(Rejection::reply),
        may_run_ahead: Box::new(|_, _| false),
        limits: Box::new(|| RequestLimits {
            max_header_bytes: 1024,
            max_body_bytes: 0,
            header_timeout: GRACE,
            idle_timeout: GRACE,
        }),
        shutdown: phase,
    };
    let open = Arc::new(AtomicUsize::new(0));
    accept(listener, Arc::new(context), open.clone()).await;
    assert_eq!(open.load(Ordering::Relaxed), CONNECTIONS);
    for (number, mut stream) in streams.into_iter().enumerate() {
        if number % 2 == 1 {
            stream.write_all(GET).await.unwrap();
        }
        let mut response = String::new();
        stream.read_to_string(&mut response).await.unwrap();
        assert!(response.starts_with("HTTP/1.1 204"), "{number}: {response}");
    }
}
