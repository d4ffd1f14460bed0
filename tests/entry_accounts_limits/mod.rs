//! Limits of client accounts, over all instances together.

use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use standin::prepared::settings::{AccountRow, configuration_with_accounts};

use crate::entry_cluster::{EntryCluster, HttpResponse};

/// Window in which requests are counted without other settings.
const WINDOW: Duration = Duration::from_secs(5);
/// Pause between two requests to one instance.
const REQUEST_INTERVAL: Duration = Duration::from_millis(25);
/// Time after a start in which new homes grant nothing, and fill their buckets.
const START_TIME: Duration = Duration::from_secs(3);

/// When requests were answered, by whether they were served.
#[derive(Clone, Default)]
struct Answers(Arc<Mutex<Vec<(Instant, u16)>>>);

impl Answers {
    fn add(&self, status: u16) {
        self.0.lock().unwrap().push((Instant::now(), status));
    }

    fn count(&self, status: u16) -> usize {
        let answers = self.0.lock().unwrap();
        answers.iter().filter(|(_, known)| *known == status).count()
    }

    /// Most requests served in any window that starts at `from` or later.
    fn most_served(&self, from: Instant) -> usize {
        let answers = self.0.lock().unwrap();
        let served = answers.iter().filter(|(_, status)| *status == 200);
        let times: Vec<Instant> = served.map(|(at, _)| *at).collect();
        let starts = times.iter().filter(|start| **start >= from);
        let in_window = |start: &Instant| {
            let in_window = times
                .iter()
                .filter(|at| **at >= *start && **at < *start + WINDOW);
            in_window.count()
        };
        starts.map(in_window).max().unwrap_or_default()
    }
}

impl EntryCluster {
    fn configure_limit(&self, version: u64, rate: f64, burst: f64) {
        let account = AccountRow {
            name: "acme".into(),
            keys: vec!["a1".into()],
            rate,
            burst,
            ..AccountRow::default()
        };
        let text = configuration_with_accounts(version, &["/safe/", "/public/"], 2000, &[account]);
        self.store.put("op/config", text.as_bytes());
    }

    /// Starts three instances that have known this limit for some time.
    async fn with_limit(rate: f64, burst: f64) -> Self {
        let cluster = Self::start(3, 2).await;
        cluster.configure_limit(8, rate, burst);
        for instance in 0..3 {
            cluster.wait_for_version(instance, 8).await;
        }
        tokio::time::sleep(START_TIME).await;
        cluster
    }

    /// Sends a request with the account's key, on a connection of its own; `None` if the
    /// instance is gone.
    fn get_acme(
        &self,
        instance: usize,
        path: &str,
        id: &str,
    ) -> impl Future<Output = Option<HttpResponse>> + Send + use<> {
        self.try_request(instance, path, id, "authorization: Bearer a1\r\n")
    }

    /// Sends requests to these instances every `interval`, to each at the same time.
    async fn press(
        &self,
        instances: &[usize],
        interval: Duration,
        duration: Duration,
        answers: &Answers,
    ) {
        let end = Instant::now() + duration;
        let mut running = Vec::new();
        while Instant::now() < end {
            for instance in instances {
                let request = self.get_acme(*instance, "/safe/x", "load");
                let answers = answers.clone();
                running.push(tokio::spawn(async move {
                    if let Some(resp) = request.await {
                        answers.add(resp.status);
                    }
                }));
            }
            tokio::time::sleep(interval).await;
        }
        for request in running {
            request.await.unwrap();
        }
    }
}

#[tokio::test]
async fn an_account_gets_its_limit_over_all_instances_and_no_more() {
    let mut cluster = EntryCluster::with_limit(20.0, 20.0).await;
    let (answers, start) = (Answers::default(), Instant::now());
    let seconds = Duration::from_secs;
    cluster
        .press(&[0, 1, 2], REQUEST_INTERVAL, seconds(4), &answers)
        .await;
    let served = answers.count(200);
    assert!(served >= 60, "{served} of 100 that the limit allows");
    cluster.kill(0);
    cluster.launch(0);
    cluster
        .press(&[0, 1, 2], REQUEST_INTERVAL, seconds(4), &answers)
        .await;
    cluster.configure_limit(9, 5.0, 5.0);
    for instance in 0..3 {
        cluster.wait_for_version(instance, 9).await;
    }
    let lowered = Instant::now();
    cluster
        .press(&[0, 1, 2], REQUEST_INTERVAL, seconds(6), &answers)
        .await;
    let (before, after) = (answers.most_served(start), answers.most_served(lowered));
    cluster.print_logs();
    assert!(before <= 120, "{before} in a window");
    assert!((10..=30).contains(&after), "{after} in a window");
    assert_eq!(
        answers.count(200) + answers.count(429) + answers.count(503),
        answers.0.lock().unwrap().len()
    );
}

#[tokio::test]
async fn a_request_beyond_the_limit_is_not_run_and_served_when_it_comes_back() {
    let cluster = EntryCluster::with_limit(4.0, 0.0).await;
    let mut refused = None;
    for number in 0..100 {
        let id = format!("r-{number}");
        let resp = cluster.get_acme(number % 3, "/safe/x", &id).await.unwrap();
        if resp.status == 429 {
            refused = Some((id, resp));
            break;
        }
    }
    let (id, resp) = refused.unwrap();
    assert_eq!(cluster.arrivals(&id), 0);
    let retry_after: f64 = resp.header("retry-after").unwrap().parse().unwrap();
    assert!((0.05..=0.5).contains(&retry_after), "{retry_after}");
    tokio::time::sleep(Duration::from_secs_f64(retry_after + 0.25)).await;
    let resp = cluster.get_acme(0, "/safe/x", "back").await.unwrap();
    assert_eq!(resp.status, 200, "{resp:?}");
    let resp = cluster.get_acme(0, "/public/x", "public").await.unwrap();
    assert_eq!(resp.status, 200, "{resp:?}");
    let limits = cluster.dump_field(0, "account_limits").await;
    assert_eq!(limits[0]["account"], "acme");
    let lines = [0, 1, 2].map(|instance| cluster.log(instance));
    let refusal = lines
        .iter()
        .find(|log| log.contains("refused by the account's limit"));
    assert!(refusal.unwrap().contains("\"account\":\"acme\""));
}

#[tokio::test]
async fn an_account_below_its_limit_is_served_beside_a_home_that_was_killed() {
    let mut cluster = EntryCluster::with_limit(40.0, 40.0).await;
    cluster.kill(2);
    let answers = Answers::default();
    cluster
        .press(
            &[0, 1],
            Duration::from_millis(125),
            Duration::from_secs(6),
            &answers,
        )
        .await;
    cluster.print_logs();
    let (served, refused) = (answers.count(200), answers.count(429));
    assert!(refused * 10 <= served, "{refused} beside {served}");
}
