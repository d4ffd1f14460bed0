//! One owner at a time through real processes: killed, paused, cut off from
//! the store, replaced. Targets keep running what a lost owner gave them.

mod common;

use std::collections::HashSet;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use common::{Http, Instance, basics, eventually, group, request, service, start_with};
use http::Method;
use rustix::process::{Pid, Signal, kill_process};
use serde_json::{Value, json};
use standin::platform::{Platform, TargetGroup};
use tokio::task::JoinHandle;

const SLOTS: u32 = 6;
const TARGETS: usize = 2;
/// Callers of each instance; together they ask for more than the slots.
const CALLERS: usize = 8;
const WORK: Duration = Duration::from_millis(30);
const CALL_TIME: &str = "1s";

/// What became of the calls of a load.
#[derive(Default)]
struct Outcomes {
    answered: AtomicU64,
    not_run: Mutex<Vec<String>>,
    unknown: AtomicU64,
    wrong: Mutex<Vec<String>>,
}

/// Callers that send calls which may not be repeated until they are stopped.
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
        for (at, address) in addresses.iter().enumerate() {
            for caller in 0..CALLERS {
                let (address, name) = (*address, format!("{at}-{caller}"));
                let (outcomes, stop) = (Arc::clone(&outcomes), Arc::clone(&stop));
                tasks.push(tokio::spawn(async move {
                    call_again_and_again(address, &name, &outcomes, &stop).await;
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
            task.await.expect("caller ended");
        }
        self.outcomes
    }
}

async fn call_again_and_again(
    address: SocketAddr,
    name: &str,
    outcomes: &Outcomes,
    stop: &AtomicBool,
) {
    let http = Http::new();
    for number in 0.. {
        if stop.load(Ordering::Relaxed) {
            return;
        }
        let id = format!("{name}-{number}");
        let path = format!("/order/{id}");
        let mut req = request(Method::POST, address, "orders.test", &path, "");
        let value = id.parse().expect("header value");
        req.headers_mut().insert("x-request-id", value);
        let Ok(answer) = http.send(req).await else {
            outcomes.unknown.fetch_add(1, Ordering::Relaxed);
            tokio::time::sleep(Duration::from_millis(20)).await;
            continue;
        };
        if answer.status == 200 {
            outcomes.answered.fetch_add(1, Ordering::Relaxed);
            if !answer.body.contains(&path) {
                outcomes.wrong.lock().expect("lock").push(path);
            }
        } else if answer.json()["ran"] == "no" {
            outcomes.not_run.lock().expect("lock").push(id);
            tokio::time::sleep(Duration::from_millis(20)).await;
        } else {
            outcomes.unknown.fetch_add(1, Ordering::Relaxed);
        }
    }
}

/// A platform with one shard in each of two zones, and three instances.
struct Fleet {
    platform: Platform,
    instances: Vec<Instance>,
    http: Http,
}

fn start(platform: &Platform, name: &str, zone: &str) -> Instance {
    let change = json!({
        "membership": {"lease": "2s", "heartbeat": "200ms"},
        "drain_grace": "1s",
    });
    start_with(platform, name, zone, &change)
}

const NAMES: [(&str, &str); 3] = [("one", "a"), ("two", "b"), ("three", "b")];

impl Fleet {
    async fn start() -> Self {
        let groups: [TargetGroup; 2] = ["a", "b"].map(|zone| TargetGroup {
            work: WORK,
            ..group("orders", zone, TARGETS)
        });
        let platform = Platform::start(&groups).await.expect("platform");
        let instances = NAMES
            .map(|(name, zone)| start(&platform, name, zone))
            .into();
        let http = Http::new();
        let fleet = Self {
            platform,
            instances,
            http,
        };
        let mut resources = basics(&["a", "b"]);
        let mut orders = service("orders");
        orders["spec"]["deadline"] = json!(CALL_TIME);
        resources.push(orders);
        let admin = fleet.instances[0].addresses.admin;
        eventually("the resources are accepted", || async {
            let answer = fleet.http.apply(admin, &resources).await.ok()?;
            (answer.status == 200).then_some(())
        })
        .await;
        fleet.owned_by("a", "one").await;
        // Each claim counts the other two members before anything fails.
        for at in 0..fleet.instances.len() {
            eventually("the claims name their electorates", || async {
                let claims = fleet.claims(at).await;
                let known = |claim: &Value| claim["electorate"].as_array().map_or(0, Vec::len) == 2;
                (claims.len() == 2 && claims.iter().all(known)).then_some(())
            })
            .await;
        }
        fleet
    }

    fn addresses(&self) -> Vec<SocketAddr> {
        let addresses = self.instances.iter().map(|i| i.addresses.callers);
        addresses.collect()
    }

    async fn claims(&self, at: usize) -> Vec<Value> {
        let dump = self.http.dump(self.instances[at].addresses.admin).await;
        dump["claims"].as_array().cloned().unwrap_or_default()
    }

    /// Waits until an instance other than `one` says that `zone`'s shard is
    /// owned by `owner`.
    async fn owned_by(&self, zone: &str, owner: &str) {
        eventually("the shard has its owner", || async {
            let claims = self.claims(1).await;
            let claim = claims.iter().find(|c| c["shard"]["zone"] == zone)?;
            (claim["owner"] == owner && claim["released"] == false).then_some(())
        })
        .await;
    }

    async fn taken_from_one(&self) {
        eventually("the shard has another owner", || async {
            let claims = self.claims(1).await;
            let claim = claims.iter().find(|c| c["shard"]["zone"] == "a")?;
            (claim["owner"] != "one").then_some(())
        })
        .await;
    }

    /// Calls that the targets of a zone have begun.
    fn begun(&self, zone: &str) -> usize {
        let of_zone = |id: &str| id.contains(&format!("-{zone}-"));
        let targets = self.platform.targets.iter().filter(|t| of_zone(&t.id));
        targets.map(|t| t.record.runs.get().len()).sum()
    }

    async fn works_again(&self, zone: &str) {
        let before = self.begun(zone);
        eventually("the zone's targets get calls", || async {
            (self.begun(zone) > before + 20).then_some(())
        })
        .await;
    }

    /// Stops `one` until another instance owns its shard and grants there.
    async fn pause_one_past_its_lease(&self) {
        self.works_again("a").await;
        self.signal(0, Signal::STOP);
        self.taken_from_one().await;
        self.works_again("a").await;
    }

    fn signal(&self, at: usize, signal: Signal) {
        let id = i32::try_from(self.instances[at].process.id()).expect("process id");
        let pid = Pid::from_raw(id).expect("process id");
        kill_process(pid, signal).expect("signal sent");
    }

    /// The ending check: nothing run twice, nothing run that was said not to
    /// have run, every answer its caller's own, no target above its slots.
    fn check(&self, outcomes: &Outcomes) {
        let not_run = outcomes.not_run.lock().expect("lock");
        let said: HashSet<&String> = not_run.iter().collect();
        for target in &self.platform.targets {
            let peak = target.record.peak.load(Ordering::Relaxed);
            assert!(peak <= SLOTS, "{} ran {peak} at a time", target.id);
            for (call, runs) in target.record.runs.get() {
                assert_eq!(runs, 1, "{call} on {}", target.id);
                assert!(!said.contains(&call), "{call} ran and was said not to");
            }
        }
        let wrong = outcomes.wrong.lock().expect("lock");
        assert!(wrong.is_empty(), "answers of other calls: {wrong:?}");
        assert!(outcomes.answered.load(Ordering::Relaxed) > 0);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_killed_owner_is_replaced_within_what_targets_bear() {
    let mut fleet = Fleet::start().await;
    let load = Load::start(&fleet.addresses());
    fleet.works_again("a").await;
    fleet.instances[0].process.kill().expect("killed");
    let killed = Instant::now();
    fleet.taken_from_one().await;
    let taken = killed.elapsed();
    fleet.works_again("a").await;
    eprintln!(
        "owner killed: taken after {taken:?}, served after {:?}",
        killed.elapsed()
    );
    let outcomes = load.stop().await;
    fleet.check(&outcomes);
}

#[tokio::test(flavor = "multi_thread")]
async fn an_owner_paused_past_its_lease_starts_nothing_on_waking() {
    let fleet = Fleet::start().await;
    let load = Load::start(&fleet.addresses());
    fleet.pause_one_past_its_lease().await;
    fleet.signal(0, Signal::CONT);
    fleet.works_again("a").await;
    let outcomes = load.stop().await;
    fleet.check(&outcomes);
}

#[tokio::test(flavor = "multi_thread")]
async fn an_owner_that_wakes_to_a_slow_store_grants_nothing_of_a_shard_it_lost() {
    let fleet = Fleet::start().await;
    let load = Load::start(&fleet.addresses());
    fleet.pause_one_past_its_lease().await;
    // Its new lease is there well before its next read of the claims.
    let delay = Duration::from_millis(150);
    fleet
        .platform
        .store
        .faults
        .change(|faults| faults.delay = delay);
    fleet.signal(0, Signal::CONT);
    eventually("the woken instance is a member again", || async {
        let members = fleet
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
    fleet.check(&outcomes);
}

#[tokio::test(flavor = "multi_thread")]
async fn service_goes_on_while_the_store_is_down() {
    let fleet = Fleet::start().await;
    let load = Load::start(&fleet.addresses());
    fleet.works_again("a").await;
    fleet
        .platform
        .store
        .faults
        .change(|faults| faults.down = true);
    // Three times the lease.
    tokio::time::sleep(Duration::from_secs(6)).await;
    let before = load.answered();
    fleet.works_again("a").await;
    fleet.works_again("b").await;
    assert!(load.answered() > before);
    fleet.platform.store.expire_leases();
    fleet
        .platform
        .store
        .faults
        .change(|faults| faults.down = false);
    tokio::time::sleep(Duration::from_secs(3)).await;
    fleet.works_again("a").await;
    fleet.works_again("b").await;
    let outcomes = load.stop().await;
    fleet.check(&outcomes);
}

#[tokio::test(flavor = "multi_thread")]
async fn all_instances_restarted_at_once_serve_again() {
    let mut fleet = Fleet::start().await;
    let load = Load::start(&fleet.addresses());
    fleet.works_again("a").await;
    for instance in &mut fleet.instances {
        instance.process.kill().expect("killed");
        instance.process.wait().expect("ended");
    }
    let killed = Instant::now();
    let first = load.stop().await;
    fleet.check(&first);
    let again = NAMES.map(|(name, zone)| start(&fleet.platform, name, zone));
    fleet.instances = again.into();
    let load = Load::start(&fleet.addresses());
    fleet.works_again("a").await;
    fleet.works_again("b").await;
    eprintln!("all killed: served after {:?}", killed.elapsed());
    let second = load.stop().await;
    assert!(second.answered.load(Ordering::Relaxed) > 0);
    for target in &fleet.platform.targets {
        let peak = target.record.peak.load(Ordering::Relaxed);
        assert!(peak <= SLOTS, "{} ran {peak} at a time", target.id);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_stopping_owner_hands_its_shard_on() {
    let fleet = Fleet::start().await;
    let others = fleet.addresses().split_off(1);
    let load = Load::start(&others);
    fleet.works_again("a").await;
    fleet.signal(0, Signal::TERM);
    let stopped = Instant::now();
    fleet.taken_from_one().await;
    let taken = stopped.elapsed();
    fleet.works_again("a").await;
    eprintln!(
        "owner stopped: taken after {taken:?}, served after {:?}",
        stopped.elapsed()
    );
    let outcomes = load.stop().await;
    fleet.check(&outcomes);
    assert_eq!(
        outcomes.unknown.load(Ordering::Relaxed),
        0,
        "no call is cut"
    );
}

/// A way to the store that can be cut.
struct Way {
    address: SocketAddr,
    cut: Arc<AtomicBool>,
}

async fn way_to(store: SocketAddr) -> Way {
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
                let Ok(mut other) = tokio::net::TcpStream::connect(store).await else {
                    return;
                };
                let cut = async {
                    while !is_cut.load(Ordering::Relaxed) {
                        tokio::time::sleep(Duration::from_millis(20)).await;
                    }
                };
                tokio::select! {
                    _ = tokio::io::copy_bidirectional(&mut stream, &mut other) => (),
                    () = cut => (),
                }
            });
        }
    });
    Way { address, cut }
}

#[tokio::test(flavor = "multi_thread")]
async fn an_instance_cut_off_from_the_store_renews_through_a_peer() {
    let platform = Platform::start(&[group("orders", "a", 1)]).await;
    let platform = platform.expect("platform");
    let way = way_to(platform.store.server.address).await;
    let change = json!({
        "membership": {"lease": "2s", "heartbeat": "200ms"},
        "platform": {"store": way.address},
    });
    let one = start_with(&platform, "one", "a", &change);
    let _two = start(&platform, "two", "b");
    let members = || platform.store.keys("/wagtailsaddle/directory/members/");
    eventually("both are members", || async {
        (members().len() == 2).then_some(())
    })
    .await;
    let before = members();
    eventually("one knows both", || async {
        let dump = Http::new().dump(one.addresses.admin).await;
        let known = dump["members"].as_array().map_or(0, Vec::len);
        (known == 2).then_some(())
    })
    .await;
    way.cut.store(true, Ordering::Relaxed);
    // Five times the lease.
    tokio::time::sleep(Duration::from_secs(10)).await;
    assert_eq!(members(), before, "the same runs are members");
}
