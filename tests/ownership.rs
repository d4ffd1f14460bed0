//! Ownership of shards through real processes, whose owner is killed, paused, cut off from the
//! store or shut down under load. Calls that a previous owner granted keep running at the targets,
//! so a new owner that granted too early would overload them.

use std::collections::HashSet;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use http::Method;
use rustix::process::{Pid, Signal, kill_process};
use serde_json::{Value, json};
use standin::platform::{Platform, TargetGroup};
use testing::{
    HttpClient, Instance, basic_resources, eventually, group, request, service, start_instance_with,
};
use tokio::task::JoinHandle;

const SLOTS: u32 = 6;
const TARGETS: usize = 2;
/// Clients of each instance; together they exceed the slots.
const CLIENTS: usize = 8;
/// Time that a target takes for each call.
const CALL_WORK: Duration = Duration::from_millis(30);
/// Deadline of each call.
const CALL_DEADLINE: &str = "1s";

/// Outcomes of calls as reported to the clients.
#[derive(Default)]
struct Outcomes {
    answered: AtomicU64,
    /// Identifiers of calls that were reported as not run.
    not_run: Mutex<Vec<String>>,
    unknown: AtomicU64,
    /// Paths of calls that got the response of another call.
    wrong: Mutex<Vec<String>>,
}

/// Clients that send calls which may run at most once, until they are stopped.
struct Load {
    outcomes: Arc<Outcomes>,
    stop: Arc<AtomicBool>,
    tasks: Vec<JoinHandle<()>>,
}

impl Load {
    fn start(addresses: &[SocketAddr]) -> Self {
        let outcomes = Arc::new(Outcomes::default());
        let stop = Arc::new(AtomicBool::new(false));
        let mut tasks = Vec::new();
        for (index, address) in addresses.iter().enumerate() {
            for client in 0..CLIENTS {
                let (address, name) = (*address, format!("{index}-{client}"));
                let (outcomes, stop) = (Arc::clone(&outcomes), Arc::clone(&stop));
                tasks.push(tokio::spawn(async move {
                    send_calls(address, &name, &outcomes, &stop).await;
                }));
            }
        }
        Self {
            outcomes,
            stop,
            tasks,
        }
    }

    fn answered(&self) -> u64 {
        self.outcomes.answered.load(Ordering::Relaxed)
    }

    async fn stop(self) -> Arc<Outcomes> {
        self.stop.store(true, Ordering::Relaxed);
        for task in self.tasks {
            task.await.expect("client task");
        }
        self.outcomes
    }
}

async fn send_calls(address: SocketAddr, name: &str, outcomes: &Outcomes, stop: &AtomicBool) {
    let http = HttpClient::new();
    for number in 0.. {
        if stop.load(Ordering::Relaxed) {
            return;
        }
        let id = format!("{name}-{number}");
        let path = format!("/order/{id}");
        let mut req = request(Method::POST, address, "orders.test", &path, "");
        let value = id.parse().expect("header value");
        req.headers_mut().insert("x-request-id", value);
        let Ok(resp) = http.send(req).await else {
            outcomes.unknown.fetch_add(1, Ordering::Relaxed);
            tokio::time::sleep(Duration::from_millis(20)).await;
            continue;
        };
        if resp.status == 200 {
            outcomes.answered.fetch_add(1, Ordering::Relaxed);
            if !resp.body.contains(&path) {
                outcomes.wrong.lock().expect("lock").push(path);
            }
        } else if resp.json()["ran"] == "no" {
            outcomes.not_run.lock().expect("lock").push(id);
            tokio::time::sleep(Duration::from_millis(20)).await;
        } else {
            outcomes.unknown.fetch_add(1, Ordering::Relaxed);
        }
    }
}

/// A platform with one shard in each of two zones, and three instances, of which `one` owns the
/// shard of zone `a`.
struct Cluster {
    platform: Platform,
    instances: Vec<Instance>,
    http: HttpClient,
}

fn start(platform: &Platform, name: &str, zone: &str) -> Instance {
    let overrides = json!({
        "membership": {"lease": "2s", "heartbeat": "200ms"},
        "drain_grace": "1s",
    });
    start_instance_with(platform, name, zone, &overrides)
}

const INSTANCE_ZONES: [(&str, &str); 3] = [("one", "a"), ("two", "b"), ("three", "b")];

impl Cluster {
    async fn start() -> Self {
        let groups: [TargetGroup; 2] = ["a", "b"].map(|zone| TargetGroup {
            work: CALL_WORK,
            ..group("orders", zone, TARGETS)
        });
        let platform = Platform::start(&groups).await.expect("platform");
        let instances = INSTANCE_ZONES
            .map(|(name, zone)| start(&platform, name, zone))
            .into();
        let http = HttpClient::new();
        let cluster = Self {
            platform,
            instances,
            http,
        };
        let mut resources = basic_resources(&["a", "b"]);
        let mut orders = service("orders");
        orders["spec"]["deadline"] = json!(CALL_DEADLINE);
        resources.push(orders);
        let admin = cluster.instances[0].addresses.admin;
        eventually("the resources are accepted", || async {
            let resp = cluster.http.apply(admin, &resources).await.ok()?;
            (resp.status == 200).then_some(())
        })
        .await;
        cluster.wait_for_owner("a", "one").await;
        // Each claim must name the other two members before the first fault.
        for index in 0..cluster.instances.len() {
            eventually("the claims name their whole electorates", || async {
                let claims = cluster.claims(index).await;
                let is_complete =
                    |claim: &Value| claim["electorate"].as_array().map_or(0, Vec::len) == 2;
                (claims.len() == 2 && claims.iter().all(is_complete)).then_some(())
            })
            .await;
        }
        cluster
    }

    fn addresses(&self) -> Vec<SocketAddr> {
        let addresses = self.instances.iter().map(|i| i.addresses.callers);
        addresses.collect()
    }

    async fn claims(&self, index: usize) -> Vec<Value> {
        let dump = self.http.dump(self.instances[index].addresses.admin).await;
        dump["claims"].as_array().cloned().unwrap_or_default()
    }

    /// Waits until the second instance knows `owner` as the owner of `zone`'s shard.
    async fn wait_for_owner(&self, zone: &str, owner: &str) {
        eventually("the shard has its owner", || async {
            let claims = self.claims(1).await;
            let claim = claims.iter().find(|c| c["shard"]["zone"] == zone)?;
            (claim["owner"] == owner && claim["released"] == false).then_some(())
        })
        .await;
    }

    /// Waits until the shard of zone `a` has an owner other than `one`.
    async fn wait_for_new_owner(&self) {
        eventually("the shard has another owner", || async {
            let claims = self.claims(1).await;
            let claim = claims.iter().find(|c| c["shard"]["zone"] == "a")?;
            (claim["owner"] != "one").then_some(())
        })
        .await;
    }

    /// Calls that the targets of a zone have started.
    fn calls_started(&self, zone: &str) -> usize {
        let of_zone = |id: &str| id.contains(&format!("-{zone}-"));
        let targets = self.platform.targets.iter().filter(|t| of_zone(&t.id));
        targets.map(|t| t.record.runs.get().len()).sum()
    }

    /// Waits until the targets of a zone get more calls.
    async fn wait_for_calls(&self, zone: &str) {
        let before = self.calls_started(zone);
        eventually("the zone's targets get calls", || async {
            (self.calls_started(zone) > before + 20).then_some(())
        })
        .await;
    }

    /// Stops `one` with SIGSTOP until another instance owns its shard and grants permits.
    async fn pause_first_past_its_lease(&self) {
        self.wait_for_calls("a").await;
        self.send_signal(0, Signal::STOP);
        self.wait_for_new_owner().await;
        self.wait_for_calls("a").await;
    }

    fn send_signal(&self, index: usize, signal: Signal) {
        let id = i32::try_from(self.instances[index].process.id()).expect("process id");
        let pid = Pid::from_raw(id).expect("process id");
        kill_process(pid, signal).expect("signal sent");
    }

    /// Checks that no call ran twice, no call reported as not run ran, every response belonged to its
    /// call, and no target exceeded its slots.
    fn check(&self, outcomes: &Outcomes) {
        let not_run = outcomes.not_run.lock().expect("lock");
        let reported_not_run: HashSet<&String> = not_run.iter().collect();
        for target in &self.platform.targets {
            let peak = target.record.peak.load(Ordering::Relaxed);
            assert!(peak <= SLOTS, "{} ran {peak} calls at a time", target.id);
            for (call, runs) in target.record.runs.get() {
                assert_eq!(runs, 1, "{call} on {}", target.id);
                assert!(
                    !reported_not_run.contains(&call),
                    "{call} ran and was reported as not run"
                );
            }
        }
        let wrong = outcomes.wrong.lock().expect("lock");
        assert!(wrong.is_empty(), "responses of other calls: {wrong:?}");
        assert!(outcomes.answered.load(Ordering::Relaxed) > 0);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_killed_owner_is_replaced_without_overloading_targets() {
    let mut cluster = Cluster::start().await;
    let load = Load::start(&cluster.addresses());
    cluster.wait_for_calls("a").await;
    cluster.instances[0].process.kill().expect("killed");
    let killed = Instant::now();
    cluster.wait_for_new_owner().await;
    let taken_over_after = killed.elapsed();
    cluster.wait_for_calls("a").await;
    eprintln!(
        "owner killed: taken over after {taken_over_after:?}, served after {:?}",
        killed.elapsed()
    );
    let outcomes = load.stop().await;
    cluster.check(&outcomes);
}

#[tokio::test(flavor = "multi_thread")]
async fn an_owner_paused_past_its_lease_starts_no_calls_when_resumed() {
    let cluster = Cluster::start().await;
    let load = Load::start(&cluster.addresses());
    cluster.pause_first_past_its_lease().await;
    cluster.send_signal(0, Signal::CONT);
    cluster.wait_for_calls("a").await;
    let outcomes = load.stop().await;
    cluster.check(&outcomes);
}

#[tokio::test(flavor = "multi_thread")]
async fn an_owner_resumed_with_a_slow_store_grants_no_permits_of_a_lost_shard() {
    let cluster = Cluster::start().await;
    let load = Load::start(&cluster.addresses());
    cluster.pause_first_past_its_lease().await;
    // The resumed instance has its new lease well before its next read of the claims.
    let delay = Duration::from_millis(150);
    cluster
        .platform
        .store
        .faults
        .change(|faults| faults.delay = delay);
    cluster.send_signal(0, Signal::CONT);
    eventually("the resumed instance is a member again", || async {
        let members = cluster
            .platform
            .store
            .keys("/wagtailsaddle/directory/members/");
        members
            .iter()
            .any(|key| key.contains("/one/"))
            .then_some(())
    })
    .await;
    tokio::time::sleep(delay * 4).await;
    let outcomes = load.stop().await;
    cluster.check(&outcomes);
}

#[tokio::test(flavor = "multi_thread")]
async fn calls_are_served_while_the_store_is_down() {
    let cluster = Cluster::start().await;
    let load = Load::start(&cluster.addresses());
    cluster.wait_for_calls("a").await;
    cluster
        .platform
        .store
        .faults
        .change(|faults| faults.down = true);
    // Three times the lease.
    tokio::time::sleep(Duration::from_secs(6)).await;
    let before = load.answered();
    cluster.wait_for_calls("a").await;
    cluster.wait_for_calls("b").await;
    assert!(load.answered() > before);
    cluster.platform.store.expire_leases();
    cluster
        .platform
        .store
        .faults
        .change(|faults| faults.down = false);
    tokio::time::sleep(Duration::from_secs(3)).await;
    cluster.wait_for_calls("a").await;
    cluster.wait_for_calls("b").await;
    let outcomes = load.stop().await;
    cluster.check(&outcomes);
}

#[tokio::test(flavor = "multi_thread")]
async fn all_instances_restarted_at_once_serve_again() {
    let mut cluster = Cluster::start().await;
    let load = Load::start(&cluster.addresses());
    cluster.wait_for_calls("a").await;
    for instance in &mut cluster.instances {
        instance.process.kill().expect("killed");
        instance.process.wait().expect("ended");
    }
    let killed = Instant::now();
    let first = load.stop().await;
    cluster.check(&first);
    let restarted = INSTANCE_ZONES.map(|(name, zone)| start(&cluster.platform, name, zone));
    cluster.instances = restarted.into();
    let load = Load::start(&cluster.addresses());
    cluster.wait_for_calls("a").await;
    cluster.wait_for_calls("b").await;
    eprintln!("all killed: served after {:?}", killed.elapsed());
    let second = load.stop().await;
    assert!(second.answered.load(Ordering::Relaxed) > 0);
    for target in &cluster.platform.targets {
        let peak = target.record.peak.load(Ordering::Relaxed);
        assert!(peak <= SLOTS, "{} ran {peak} calls at a time", target.id);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn an_owner_that_shuts_down_releases_its_shard() {
    let cluster = Cluster::start().await;
    let others = cluster.addresses().split_off(1);
    let load = Load::start(&others);
    cluster.wait_for_calls("a").await;
    cluster.send_signal(0, Signal::TERM);
    let stopped = Instant::now();
    cluster.wait_for_new_owner().await;
    let taken_over_after = stopped.elapsed();
    cluster.wait_for_calls("a").await;
    eprintln!(
        "owner stopped: taken over after {taken_over_after:?}, served after {:?}",
        stopped.elapsed()
    );
    let outcomes = load.stop().await;
    cluster.check(&outcomes);
    assert_eq!(
        outcomes.unknown.load(Ordering::Relaxed),
        0,
        "a call was aborted"
    );
}

/// A proxy of the store whose connections can be closed and refused.
struct StoreProxy {
    address: SocketAddr,
    cut: Arc<AtomicBool>,
}

async fn start_store_proxy(store: SocketAddr) -> StoreProxy {
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await;
    let listener = listener.expect("listener");
    let address = listener.local_addr().expect("address");
    let cut = Arc::new(AtomicBool::new(false));
    let is_cut = Arc::clone(&cut);
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let is_cut = Arc::clone(&is_cut);
            tokio::spawn(async move {
                if is_cut.load(Ordering::Relaxed) {
                    return;
                }
                let Ok(mut upstream) = tokio::net::TcpStream::connect(store).await else {
                    return;
                };
                let cut = async {
                    while !is_cut.load(Ordering::Relaxed) {
                        tokio::time::sleep(Duration::from_millis(20)).await;
                    }
                };
                tokio::select! {
                    _ = tokio::io::copy_bidirectional(&mut stream, &mut upstream) => (),
                    () = cut => (),
                }
            });
        }
    });
    StoreProxy { address, cut }
}

#[tokio::test(flavor = "multi_thread")]
async fn an_instance_cut_off_from_the_store_renews_its_lease_through_a_peer() {
    let platform = Platform::start(&[group("orders", "a", 1)]).await;
    let platform = platform.expect("platform");
    let proxy = start_store_proxy(platform.store.server.address).await;
    let overrides = json!({
        "membership": {"lease": "2s", "heartbeat": "200ms"},
        "platform": {"store": proxy.address},
    });
    let one = start_instance_with(&platform, "one", "a", &overrides);
    let _two = start(&platform, "two", "b");
    let members = || platform.store.keys("/wagtailsaddle/directory/members/");
    eventually("both are members", || async {
        (members().len() == 2).then_some(())
    })
    .await;
    let before = members();
    eventually("the first instance knows both members", || async {
        let dump = HttpClient::new().dump(one.addresses.admin).await;
        let known = dump["members"].as_array().map_or(0, Vec::len);
        (known == 2).then_some(())
    })
    .await;
    proxy.cut.store(true, Ordering::Relaxed);
    // Five times the lease.
    tokio::time::sleep(Duration::from_secs(10)).await;
    assert_eq!(members(), before, "the members changed");
}
