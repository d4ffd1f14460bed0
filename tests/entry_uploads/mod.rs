//! Uploads through an entry instance, with bodies that arrive piece by piece.

use std::time::Duration;

use standin::prepared::target::{Behaviour, checksum};

use crate::entry_cluster::{EntryCluster, HttpResponse};

/// Size of a large upload, in bytes.
const LARGE: usize = 360_000;

/// Longest wait for a retry budget.
const WAIT_LIMIT: Duration = Duration::from_secs(30);

async fn start(targets: usize) -> EntryCluster {
    let cluster = EntryCluster::start(1, targets).await;
    cluster.configure(8, &["/safe/", "/upload/"]);
    cluster.wait_for_version(0, 8).await;
    cluster
}

fn body(length: usize) -> Vec<u8> {
    let byte = |index| u8::try_from((index * 7 + index / 251) % 256).unwrap();
    (0..length).map(byte).collect()
}

/// Sends an upload over a new connection.
async fn upload(cluster: &EntryCluster, id: &str, body: &[u8]) -> HttpResponse {
    let mut conn = cluster.connect(0).await;
    conn.send_upload_head(id, Some(body.len())).await;
    conn.send(body).await;
    conn.response().await
}

#[tokio::test]
async fn an_upload_arrives_whole_in_either_framing() {
    let cluster = start(2).await;
    let body = body(LARGE);
    for (id, length) in [("length", Some(LARGE)), ("chunked", None)] {
        let mut conn = cluster.connect(0).await;
        conn.send_upload_head(id, length).await;
        for piece in body.chunks(50_000) {
            if length.is_none() {
                conn.send(format!("{:x}\r\n", piece.len()).as_bytes()).await;
            }
            conn.send(piece).await;
            if length.is_none() {
                conn.send(b"\r\n").await;
            }
        }
        if length.is_none() {
            conn.send(b"0\r\n\r\n").await;
        }
        let resp = conn.response().await;
        assert_eq!(resp.status, 200, "{id}: {resp:?}");
        assert_eq!(
            resp.header("x-body-checksum"),
            Some(&*checksum(&body).to_string()),
            "{id}"
        );
        assert_eq!(cluster.runs(id), 1);
    }
}

/// A target that reads slowly slows its caller down, and every byte still arrives.
#[tokio::test]
async fn an_upload_to_a_slowly_reading_target_arrives_whole() {
    let cluster = start(1).await;
    cluster.set_read_pause(Duration::from_millis(5));
    let body = body(LARGE);
    let mut conn = cluster.connect(0).await;
    conn.send_upload_head("slow", Some(LARGE)).await;
    conn.send(&body).await;
    let resp = conn.response().await;
    assert_eq!(resp.status, 200, "{resp:?}");
    assert_eq!(
        resp.header("x-body-checksum"),
        Some(&*checksum(&body).to_string())
    );
}

/// Another request is answered in between, so the instance had time to send the upload.
#[tokio::test]
async fn an_upload_of_which_little_has_arrived_holds_no_target() {
    let cluster = start(1).await;
    let body = body(LARGE);
    let mut conn = cluster.connect(0).await;
    conn.send_upload_head("slow", Some(LARGE)).await;
    conn.send(&body[..LARGE / 30]).await;
    assert_eq!(cluster.get(0, "/safe/x", "other").await.status, 200);
    assert_eq!(cluster.arrivals("slow"), 0);
    conn.send(&body[LARGE / 30..]).await;
    assert_eq!(conn.response().await.status, 200);
}

/// An instance that has just started has no retry budget yet and refuses the first ones.
#[tokio::test]
async fn an_upload_that_a_target_sheds_goes_to_another_whole() {
    let cluster = start(3).await;
    cluster.shed_each_request_once();
    let body = body(LARGE);
    let started = std::time::Instant::now();
    for number in 0.. {
        let id = format!("shed-{number}");
        let resp = upload(&cluster, &id, &body).await;
        if resp.status == 503 {
            assert_eq!((cluster.arrivals(&id), cluster.runs(&id)), (1, 0), "{id}");
            assert!(started.elapsed() < WAIT_LIMIT, "no retry was ever sent");
            continue;
        }
        assert_eq!(resp.status, 200, "{id}: {resp:?}");
        assert_eq!((cluster.arrivals(&id), cluster.runs(&id)), (2, 1), "{id}");
        let sum = checksum(&body).to_string();
        assert_eq!(resp.header("x-body-checksum"), Some(&*sum));
        return;
    }
}

/// No response may claim that the upload was not run, and it is not sent to another target.
#[tokio::test]
async fn an_upload_that_breaks_off_at_a_target_is_not_repeated() {
    let cluster = start(3).await;
    cluster.set_behaviour(Behaviour::BreakingOff);
    let mut conn = cluster.connect(0).await;
    conn.send_upload_head("broken", Some(LARGE)).await;
    conn.send(&body(LARGE)).await;
    let resp = conn.response().await;
    assert_eq!(resp.status, 502, "{resp:?}");
    assert_eq!(cluster.arrivals("broken"), 1);
}

/// The target's response is passed on, and what is left of the body is not read as the
/// next request.
#[tokio::test]
async fn an_early_response_is_passed_on_and_the_next_request_gets_its_own() {
    let cluster = start(1).await;
    cluster.set_behaviour(Behaviour::Early);
    let mut conn = cluster.connect(0).await;
    conn.send_upload_head("early", Some(LARGE)).await;
    conn.send(&body(LARGE)).await;
    let resp = conn.response().await;
    assert_eq!(resp.status, 500, "{resp:?}");
    assert_eq!(resp.header("x-request-id"), Some("early"));
    cluster.set_behaviour(Behaviour::Serving);
    let next = "GET /safe/next HTTP/1.1\r\nhost: x.example\r\nx-request-id: next\r\n\r\n";
    conn.send(next.as_bytes()).await;
    let resp = conn.response().await;
    assert_eq!(
        (resp.status, resp.header("x-request-id")),
        (200, Some("next"))
    );
    assert_eq!(cluster.runs("early"), 1);
}

/// Together the uploads are several times as large as the memory for bodies, an eighth of
/// 160 MB; one read of each connection may exceed it. Some may be refused for lack of
/// capacity or time.
#[tokio::test]
async fn two_hundred_uploads_at_once_stay_within_the_memory_for_bodies() {
    const UPLOADS: usize = 200;
    const BODY_MEMORY: f64 = 20e6;
    let cluster = start(2).await;
    cluster.set_read_pause(Duration::from_millis(20));
    let body = std::sync::Arc::new(body(LARGE));
    let mut uploads = Vec::new();
    for number in 0..UPLOADS {
        let mut conn = cluster.connect(0).await;
        conn.send_upload_head(&format!("many-{number}"), Some(LARGE))
            .await;
        let body = body.clone();
        uploads.push(tokio::spawn(async move {
            conn.send(&body).await;
            conn.response().await.status
        }));
    }
    let mut most = 0.0_f64;
    while !uploads.iter().all(tokio::task::JoinHandle::is_finished) {
        let held = cluster.metric(0, "entry_body_bytes").await.unwrap();
        most = most.max(held);
    }
    let limit = BODY_MEMORY + 200.0 * 16_384.0;
    assert!(most <= limit, "{most} bytes were held");
    for upload in uploads {
        let status = upload.await.unwrap();
        assert!(matches!(status, 200 | 408 | 503 | 504), "{status}");
    }
}

#[tokio::test]
async fn an_upload_whose_caller_leaves_is_ended_at_the_target() {
    let cluster = start(1).await;
    let mut conn = cluster.connect(0).await;
    conn.send_upload_head("left", Some(LARGE)).await;
    // The little that is left is expected at once, so a target is taken.
    conn.send(&body(LARGE)[..LARGE - 100]).await;
    cluster.wait_until_arrived("left").await;
    drop(conn);
    cluster.wait_for_broken_bodies(1).await;
    assert_eq!(cluster.finished(), 0);
}

#[tokio::test]
async fn an_upload_that_does_not_arrive_in_time_is_refused_as_not_run() {
    let cluster = start(1).await;
    let mut conn = cluster.connect(0).await;
    conn.send_upload_head("late", Some(LARGE)).await;
    conn.send(&body(LARGE)[..1_000]).await;
    let resp = conn.response().await;
    assert_eq!(resp.status, 408, "{resp:?}");
    assert_eq!(cluster.arrivals("late"), 0);
}

#[tokio::test]
async fn an_unknown_route_is_refused_before_the_body_arrives() {
    let cluster = start(1).await;
    let mut conn = cluster.connect(0).await;
    let head = "POST /none/x HTTP/1.1\r\nhost: x.example\r\ncontent-length: 100000\r\n\r\n";
    conn.send(head.as_bytes()).await;
    assert_eq!(conn.response().await.status, 404);
}

/// The routes of an unknown kind are served, and shown to the operator.
#[tokio::test]
async fn a_route_of_an_unknown_kind_is_served_once_and_reported() {
    let cluster = start(2).await;
    let config = standin::prepared::settings::configuration(9, &["/safe/", "/once/"], 1000);
    cluster.store.put(
        "op/config",
        config.replace("\"unsafe\"", "\"later\"").as_bytes(),
    );
    cluster.wait_for_version(0, 9).await;
    cluster.set_behaviour(Behaviour::Losing);
    let resp = cluster.get(0, "/once/x", "unknown").await;
    assert_eq!(resp.status, 502, "{resp:?}");
    assert_eq!(cluster.runs("unknown"), 1);
    assert_eq!(
        cluster.metric(0, "entry_unknown_route_kinds").await,
        Some(1.0)
    );
    let reported = cluster.dump_field(0, "unknown_kinds").await;
    assert_eq!(reported[0]["kind"], "later", "{reported}");
}

/// The last valid configuration stays in force, also for an instance that starts later.
#[tokio::test]
async fn an_invalid_configuration_is_not_taken_and_reported() {
    let mut cluster = EntryCluster::start(2, 1).await;
    cluster
        .store
        .put("op/config", br#"{"version": "r9", "routes": 1}"#);
    cluster
        .wait_for_log(0, "skipped an invalid record", 1)
        .await;
    let rejected = cluster.dump_field(0, "rejected_records").await;
    assert_eq!(rejected[0]["key"], "op/config", "{rejected}");
    cluster.kill(1);
    cluster.launch(1);
    cluster.wait_for_version(1, 7).await;
    for instance in 0..2 {
        let id = format!("kept-{instance}");
        assert_eq!(cluster.get(instance, "/safe/x", &id).await.status, 200);
    }
}
