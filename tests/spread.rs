//! Store reads that instances save by fetching configuration documents from peers.
//!
//! The times and reads are printed; see docs/design/configuration-spread.md.

use std::time::{Duration, Instant};

use serde_json::{Value, json};
use standin::platform::Platform;
use testing::{HttpClient, Instance, WAIT_LIMIT, basic_resources, eventually, start_instance_with};

const DOCUMENT_PREFIX: &str = "/wagtailsaddle-documents/";
const INSTANCES: usize = 8;
const CHANGES: u32 = 2;
/// Delay that a slow store adds to each call.
const SLOW_STORE_DELAY: Duration = Duration::from_millis(500);
/// Time between two checks of the revisions in force.
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// The state of the store while changes are made.
#[derive(Clone, Copy, Debug, PartialEq)]
enum StoreState {
    Healthy,
    Slow,
    DownOnceAccepted,
}

/// Document reads of the store, and the time until each change was in force everywhere.
struct Measurement {
    document_reads: u64,
    in_force: Vec<Duration>,
}

/// Reads of documents that the store has served.
fn document_reads(platform: &Platform) -> u64 {
    let reads = platform.store.calls.reads_by_key.get();
    let of_documents = reads
        .iter()
        .filter(|(key, _)| key.starts_with(DOCUMENT_PREFIX));
    of_documents.map(|(_, count)| count).sum()
}

/// Waits until a revision is in force on every instance.
async fn wait_until_in_force(http: &HttpClient, instances: &[Instance], revision: u64) {
    for instance in instances {
        while http.dump(instance.addresses.admin).await["revision"].as_u64() < Some(revision) {
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }
}

/// Declares resources, retries until they are accepted, and returns their revision.
async fn declare(http: &HttpClient, instance: &Instance, resources: &[Value]) -> u64 {
    eventually("the change is accepted", || async {
        let resp = http.apply(instance.addresses.admin, resources).await.ok()?;
        (resp.status == 200).then(|| resp.json()["revision"].as_u64())?
    })
    .await
}

/// Makes [`CHANGES`] changes on [`INSTANCES`] instances and measures their spread.
async fn measure(peer_fetch: bool, state: StoreState) -> Measurement {
    let platform = Platform::start(&[]).await.expect("platform");
    let overrides = json!({"config": {"peer_fetch": peer_fetch}, "log": {"level": "error"}});
    let instances: Vec<Instance> = (0..INSTANCES)
        .map(|number| start_instance_with(&platform, &format!("number-{number}"), "a", &overrides))
        .collect();
    let http = HttpClient::new();
    let first = declare(&http, &instances[0], &basic_resources(&["a"])).await;
    wait_until_in_force(&http, &instances, first).await;
    eventually("all members are known", || async {
        let dump = http.dump(instances[0].addresses.admin).await;
        (dump["members"].as_array()?.len() == INSTANCES).then_some(())
    })
    .await;
    let before = document_reads(&platform);
    let faults = &platform.store.faults;
    if state == StoreState::Slow {
        faults.change(|faults| faults.delay = SLOW_STORE_DELAY);
    }
    let mut in_force = Vec::new();
    for number in 0..CHANGES {
        let rank = json!({"kind": "Priority", "name": "bulk", "spec": {"rank": number + 3}});
        let revision = declare(&http, &instances[0], &[rank]).await;
        let start = Instant::now();
        if state == StoreState::DownOnceAccepted {
            faults.change(|faults| faults.down = true);
        }
        let spread = wait_until_in_force(&http, &instances, revision);
        let spread = tokio::time::timeout(WAIT_LIMIT, spread).await;
        spread.expect("change in force everywhere");
        in_force.push(start.elapsed());
        faults.change(|faults| faults.down = false);
    }
    Measurement {
        document_reads: document_reads(&platform) - before,
        in_force,
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn fetching_documents_from_peers_saves_store_reads() {
    let cases = [
        (false, StoreState::Healthy),
        (true, StoreState::Healthy),
        (true, StoreState::Slow),
        (true, StoreState::DownOnceAccepted),
    ];
    let mut reads = Vec::new();
    for (peer_fetch, state) in cases {
        let measured = measure(peer_fetch, state).await;
        let Measurement {
            document_reads,
            in_force,
        } = &measured;
        println!("peer_fetch {peer_fetch}, {state:?}: {document_reads} reads, {in_force:?}");
        reads.push(measured.document_reads);
    }
    let others = INSTANCES as u64 - 1;
    assert_eq!(
        reads[0],
        others * u64::from(CHANGES),
        "reads without fetching from peers"
    );
    assert!(
        reads[1..].iter().all(|count| *count < reads[0]),
        "{reads:?}"
    );
}
