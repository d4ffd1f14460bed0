//! Zones and targets taken out of service under load while the store is unreachable.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use http::Method;
use indexmap::IndexMap;
use serde_json::{Value, json};
use standin::platform::{Platform, TargetGroup};
use standin::target::TargetStandin;
use testing::{
    HttpClient, Instance, basic_resources, eventually, request, service, start_instance,
    wait_for_claims,
};

const HOST: &str = "status.test";
const ZONES: [&str; 3] = ["a", "b", "c"];
/// Zone that is taken out of service.
const ZONE_OUT: &str = "a";
/// Targets in each zone.
const TARGETS: usize = 2;
/// Concurrent clients; each has one request in flight.
const CLIENTS: usize = 60;
/// Calls that a target with 6 slots may run at a time just after its zone is back in service.
const MAX_RAMP_CALLS: u32 = 3;
/// Time during which no new call may start.
const QUIET_TIME: Duration = Duration::from_secs(1);
/// Time for calls to arrive that were dispatched before the change.
const ARRIVAL_TIME: Duration = Duration::from_millis(300);

struct Fixture {
    platform: Platform,
    instances: Vec<Instance>,
    http: HttpClient,
}

/// What a caller got for one request; `response` is `None` after a connection error.
struct FinishedCall {
    id: String,
    response: Option<(u16, Value)>,
}

async fn fixture() -> Fixture {
    let groups = ZONES.map(|zone| TargetGroup {
        service: "status".to_owned(),
        zone: zone.to_owned(),
        count: TARGETS,
        work: Duration::from_millis(20),
    });
    let platform = Platform::start(&groups).await.expect("platform");
    platform
        .store
        .faults
        .change(|faults| faults.silent_watches = true);
    let instances = ZONES.map(|zone| start_instance(&platform, &format!("in-{zone}"), zone));
    let fixture = Fixture {
        platform,
        instances: instances.into(),
        http: HttpClient::new(),
    };
    let mut resources = basic_resources(&ZONES);
    let mut status = service("status");
    status["spec"]["warm_up"] = json!("30s");
    status["spec"]["urgent_reserve_percent"] = json!(0);
    resources.push(status);
    fixture.apply(&resources).await;
    for instance in &fixture.instances {
        wait_for_claims(&fixture.http, instance, ZONES.len()).await;
    }
    fixture.wait_for_electorates().await;
    fixture
}

impl Fixture {
    /// Waits until every claim names the other instances: an owner that claimed its shard before it
    /// knew them cannot go on granting while the store is unreachable.
    async fn wait_for_electorates(&self) {
        for instance in &self.instances {
            eventually("the claims name their electorates", || async {
                let dump = self.http.dump(instance.addresses.admin).await;
                let claims = dump["claims"].as_array()?.clone();
                let size = |claim: &Value| claim["electorate"].as_array().map_or(0, Vec::len);
                let complete = claims.iter().all(|claim| size(claim) == ZONES.len() - 1);
                complete.then_some(())
            })
            .await;
        }
    }

    fn admin(&self) -> SocketAddr {
        self.instances[1].addresses.admin
    }

    /// Declares resources, retries until they are accepted, and returns their revision.
    async fn apply(&self, resources: &[Value]) -> u64 {
        eventually("the resources are accepted", || async {
            let response = self.http.apply(self.admin(), resources).await.ok()?;
            (response.status == 200).then(|| response.json()["revision"].as_u64())?
        })
        .await
    }

    async fn set_zone(&self, in_service: bool) -> u64 {
        let spec = json!({"in_service": in_service});
        let zone = json!({"kind": "AvailabilityZone", "name": ZONE_OUT, "spec": spec});
        self.apply(&[zone]).await
    }

    async fn wait_until_in_force(&self, revision: u64) {
        for instance in &self.instances {
            eventually("the change is in force", || async {
                let dump = self.http.dump(instance.addresses.admin).await;
                (dump["revision"].as_u64() >= Some(revision)).then_some(())
            })
            .await;
        }
    }

    fn targets_of_zone_out(&self) -> impl Iterator<Item = &TargetStandin> {
        let prefix = format!("status-{ZONE_OUT}-");
        let targets = self.platform.targets.iter();
        targets.filter(move |target| target.id.starts_with(&prefix))
    }

    /// Calls that the targets of [`ZONE_OUT`] have started so far.
    fn starts(&self) -> u32 {
        let of = |target: &TargetStandin| target.record.runs.get().values().sum::<u32>();
        self.targets_of_zone_out().map(of).sum()
    }

    fn runs(&self, id: &str) -> u32 {
        let targets = &self.platform.targets;
        targets.iter().map(|target| target.record.runs_of(id)).sum()
    }

    /// Checks that every call ran once and succeeded, or did not run and was reported so, and that
    /// most calls succeeded.
    fn check_calls(&self, calls: &[FinishedCall]) {
        for FinishedCall { id, response } in calls {
            let runs = self.runs(id);
            let (status, body) = response
                .as_ref()
                .unwrap_or_else(|| panic!("{id} got no response"));
            if *status == 200 {
                assert_eq!(runs, 1, "{id} succeeded and ran {runs} times");
            } else {
                assert_eq!(body["ran"], "no", "{id} got {status} {body}");
                assert_eq!(runs, 0, "{id} was reported as not run and ran");
            }
        }
        let succeeded = |call: &&FinishedCall| matches!(call.response, Some((200, _)));
        let succeeded = calls.iter().filter(succeeded).count();
        let refusals = calls.iter().filter_map(|call| call.response.as_ref());
        let kinds = refusals.filter_map(|(_, body)| body["title"].as_str());
        let kinds = kinds.fold(IndexMap::<&str, usize>::new(), |mut counts, kind| {
            *counts.entry(kind).or_default() += 1;
            counts
        });
        let total = calls.len();
        assert!(succeeded * 2 > total, "{succeeded} of {total}; {kinds:?}");
    }
}

/// Sends requests one after the other until `stop` is set.
async fn run_client(
    number: usize,
    callers: SocketAddr,
    stop: Arc<AtomicBool>,
) -> Vec<FinishedCall> {
    let http = HttpClient::new();
    let mut calls = Vec::new();
    while !stop.load(Ordering::Relaxed) {
        let id = format!("{number}-{}", calls.len());
        let mut req = request(Method::POST, callers, HOST, "/orders", "");
        let header = id.parse().expect("header value");
        req.headers_mut().insert("x-request-id", header);
        let response = http.send(req).await.ok();
        let response = response.map(|response| (response.status, response.json()));
        calls.push(FinishedCall { id, response });
    }
    calls
}

#[tokio::test(flavor = "multi_thread")]
async fn a_zone_out_of_service_gets_no_new_calls_and_ramps_up_on_return() {
    let fixture = fixture().await;
    let stop = Arc::new(AtomicBool::new(false));
    let clients: Vec<_> = (0..CLIENTS)
        .map(|number| {
            let callers = fixture.instances[number % ZONES.len()].addresses.callers;
            tokio::spawn(run_client(number, callers, Arc::clone(&stop)))
        })
        .collect();
    eventually("the zone gets calls", || async {
        (fixture.starts() > 50).then_some(())
    })
    .await;

    let revision = fixture.set_zone(false).await;
    fixture
        .platform
        .store
        .faults
        .change(|faults| faults.down = true);
    fixture.wait_until_in_force(revision).await;
    tokio::time::sleep(ARRIVAL_TIME).await;
    let before = fixture.starts();
    tokio::time::sleep(QUIET_TIME).await;
    assert_eq!(fixture.starts(), before, "the zone got new calls");
    fixture
        .platform
        .store
        .faults
        .change(|faults| faults.down = false);

    for target in fixture.targets_of_zone_out() {
        target.record.peak.store(0, Ordering::Relaxed);
    }
    let revision = fixture.set_zone(true).await;
    fixture.wait_until_in_force(revision).await;
    eventually("the zone gets calls again", || async {
        (fixture.starts() > before + 20).then_some(())
    })
    .await;
    for target in fixture.targets_of_zone_out() {
        let peak = target.record.peak.load(Ordering::Relaxed);
        assert!(
            peak <= MAX_RAMP_CALLS,
            "{} ran {peak} calls at a time",
            target.id
        );
    }

    stop.store(true, Ordering::Relaxed);
    let mut calls = Vec::new();
    for client in clients {
        calls.extend(client.await.expect("client"));
    }
    fixture.check_calls(&calls);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_leaving_target_gets_no_new_calls() {
    let fixture = fixture().await;
    let stop = Arc::new(AtomicBool::new(false));
    let callers = fixture.instances[0].addresses.callers;
    let clients: Vec<_> = (0..CLIENTS)
        .map(|number| tokio::spawn(run_client(number, callers, Arc::clone(&stop))))
        .collect();
    let leaving = fixture.targets_of_zone_out().next().expect("target");
    let starts = || leaving.record.runs.get().values().sum::<u32>();
    eventually("the target gets calls", || async {
        (starts() > 20).then_some(())
    })
    .await;

    // Changes of the target list apply although the store is unreachable.
    let store = &fixture.platform.store.faults;
    store.change(|faults| faults.down = true);
    fixture.platform.list.targets.change(|targets| {
        for target in targets.iter_mut().filter(|target| target.id == leaving.id) {
            target.leaving = true;
        }
    });
    for instance in &fixture.instances {
        eventually("the owner knows that the target is leaving", || async {
            let dump = fixture.http.dump(instance.addresses.admin).await;
            let shards = dump["shards"].as_array()?.clone();
            let targets = shards
                .iter()
                .filter_map(|shard| shard["targets"].as_array());
            let is_leaving = targets
                .flatten()
                .all(|target| target["target"] != leaving.id.as_str() || target["leaving"] == true);
            is_leaving.then_some(())
        })
        .await;
    }
    tokio::time::sleep(ARRIVAL_TIME).await;
    let before = starts();
    tokio::time::sleep(QUIET_TIME).await;
    assert_eq!(starts(), before, "the leaving target got new calls");
    store.change(|faults| faults.down = false);

    stop.store(true, Ordering::Relaxed);
    let mut calls = Vec::new();
    for client in clients {
        calls.extend(client.await.expect("client"));
    }
    fixture.check_calls(&calls);
}
