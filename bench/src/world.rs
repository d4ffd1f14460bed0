//! A platform with entry instances or baseline instances before it.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::Method;
use rand::Rng;
use serde::Deserialize;
use serde_json::{Value, json};
use standin::fleet::FleetTarget;
use standin::list::ListedTarget;

use crate::Error;
use crate::baseline::Policy;
use crate::load::{Routes, fetch};
use crate::process::{Process, Usage};
use crate::role::{balancer, platform};
use crate::shape::Shape;

/// Longest wait for anything that must come about.
const PATIENCE: Duration = Duration::from_secs(60);
/// Time between two looks at what is waited for.
const LOOK: Duration = Duration::from_millis(50);
/// Time for which callers keep an address answer.
const KEEP_ADDRESSES: Duration = Duration::from_secs(1);
/// Targets that one process serves, below the usual limit of open files.
const TARGETS_PER_PROCESS: usize = 8_000;
/// Time between two probes of a target by each baseline instance, in milliseconds.
const PROBE_MS: u64 = 100;

/// What stands between callers and targets.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum System {
    /// Nothing: callers choose targets at random.
    Direct,
    /// Baseline instances.
    Baseline(Policy),
    /// Entry instances of wagtailsaddle.
    Ours,
}

impl System {
    /// Name in tables.
    pub(crate) fn name(self) -> &'static str {
        match self {
            Self::Direct => "direct",
            Self::Baseline(policy) => policy.name(),
            Self::Ours => "wagtailsaddle",
        }
    }
}

/// What a world consists of.
#[derive(Debug, Clone)]
pub(crate) struct Options {
    /// The user's sizes.
    pub(crate) shape: Shape,
    /// What stands before the targets.
    pub(crate) system: System,
    /// How many instances.
    pub(crate) instances: usize,
    /// Threads of each that serve callers.
    pub(crate) workers: usize,
    /// Whether baseline instances probe.
    pub(crate) probes: bool,
    /// Changes to the settings of each entry instance.
    pub(crate) settings: Value,
    /// Targets in place of the shape's.
    pub(crate) targets: Option<Vec<FleetTarget>>,
    /// Resources in place of the shape's.
    pub(crate) resources: Option<Vec<Value>>,
}

impl Options {
    /// One instance with the default threads.
    pub(crate) fn new(shape: Shape, system: System) -> Self {
        Self {
            shape,
            system,
            instances: 1,
            workers: 2,
            probes: true,
            settings: json!({}),
            targets: None,
            resources: None,
        }
    }
}

/// A running entry instance or baseline instance.
#[derive(Debug)]
pub(crate) struct Node {
    /// Its process.
    pub(crate) process: Process,
    /// Its name.
    pub(crate) name: String,
    /// Where callers connect.
    pub(crate) callers: SocketAddr,
    /// Where operators connect; that of the callers for a baseline.
    pub(crate) admin: SocketAddr,
}

#[derive(Debug, Deserialize)]
struct Announcement {
    callers: SocketAddr,
    admin: SocketAddr,
}

/// A running platform with its instances; all end when it is dropped.
#[derive(Debug)]
pub(crate) struct World {
    /// What it consists of.
    pub(crate) options: Options,
    /// The platform's process.
    pub(crate) platform: Process,
    /// Where the platform listens.
    pub(crate) started: platform::Started,
    /// The instances.
    pub(crate) nodes: Vec<Node>,
    /// Where callers go.
    pub(crate) routes: Routes,
    rt: tokio::runtime::Runtime,
    steering: Option<Steering>,
    fleets: Vec<Process>,
    dir: tempfile::TempDir,
}

impl World {
    /// Starts a world and waits until it serves.
    pub(crate) fn start(options: Options) -> Result<Self, Error> {
        let mut world = Self::start_platform(options)?;
        for number in 0..world.options.instances {
            if world.options.system != System::Direct {
                let node = world.start_node(number)?;
                world.nodes.push(node);
            }
        }
        match world.options.system {
            System::Ours => world.wait_ready()?,
            _ => world.route_evenly(),
        }
        Ok(world)
    }

    fn start_platform(options: Options) -> Result<Self, Error> {
        let targets = options.targets.clone();
        let targets = targets.unwrap_or_else(|| options.shape.targets());
        let (mut platform, started) = start_fleets(&options.shape, &targets)?;
        let fleets = platform.split_off(1);
        let platform = platform.remove(0);
        let first_only = options.system == System::Ours;
        Ok(Self {
            routes: Routes::new(options.shape.zones, first_only),
            options,
            platform,
            started,
            nodes: Vec::new(),
            rt: tokio::runtime::Builder::new_current_thread()
                .enable_all()
                .build()?,
            steering: None,
            fleets,
            dir: tempfile::tempdir()?,
        })
    }

    /// Starts instance `number`, without waiting until it is ready.
    pub(crate) fn start_node(&self, number: usize) -> Result<Node, Error> {
        match self.options.system {
            System::Baseline(policy) => self.start_baseline(policy, number),
            _ => self.start_entry(number),
        }
    }

    fn start_baseline(&self, policy: Policy, number: usize) -> Result<Node, Error> {
        let mut process = Process::role("balancer")?;
        let probes = self.options.probes && policy == Policy::PowerOfTwo;
        let start = balancer::Start {
            policy,
            index: number,
            instances: self.options.instances,
            workers: self.options.workers,
            slots: self.options.shape.slots,
            probe_ms: if probes { PROBE_MS } else { 0 },
            targets: self.started.targets.clone(),
        };
        let callers = process.ask(&start)?;
        Ok(Node {
            process,
            name: format!("{}-{number}", policy.name()),
            callers,
            admin: callers,
        })
    }

    fn start_entry(&self, number: usize) -> Result<Node, Error> {
        let zones = self.options.shape.zones;
        let name = format!("entry-{number}");
        let mut settings = json!({
            "instance": name,
            "zone": zones[number % zones.len()],
            "workers": self.options.workers,
            "platform": {
                "store": self.started.store,
                "instance_list": self.started.list,
            },
            "log": {"level": "error"},
        });
        merge(&mut settings, &self.options.settings);
        let path = self.dir.path().join(format!("{name}.json"));
        std::fs::write(&path, settings.to_string())?;
        let mut process = Process::serve(&path)?;
        let addresses: Announcement = process.read()?;
        Ok(Node {
            process,
            name,
            callers: addresses.callers,
            admin: addresses.admin,
        })
    }

    fn wait_ready(&mut self) -> Result<(), Error> {
        let resources = self.options.resources.clone();
        let resources = resources.unwrap_or_else(|| self.options.shape.resources(None));
        self.apply(&resources)?;
        let shards = self.shards();
        let admins: Vec<_> = self.nodes.iter().map(|node| node.admin).collect();
        for admin in admins {
            self.wait_for("the claims to be known", |world| {
                let dump = world.dump(admin)?;
                let claims = dump["claims"].as_array().map_or(0, Vec::len);
                Ok(claims >= shards)
            })?;
        }
        if self.options.targets.is_some() {
            return Ok(());
        }
        let admins = self.nodes.iter().map(|node| node.callers).collect();
        let steering = Steering::start(self.routes.clone(), admins, &self.options.shape);
        self.steering = Some(steering);
        let want = shards.min(self.options.shape.services.len());
        self.wait_for("the addresses to be known", |world| {
            let mut rng = rand::SeedableRng::seed_from_u64(1);
            let known = (0..want).all(|service| world.routes.pick(service, 0, &mut rng).is_some());
            Ok(known)
        })
    }

    fn shards(&self) -> usize {
        let listed = self.started.targets.iter();
        let shards = listed.map(|target| (&target.service, &target.zone));
        shards.collect::<indexmap::IndexSet<_>>().len()
    }

    fn route_evenly(&self) {
        let zones = self.options.shape.zones.len();
        let lists = self.options.shape.services.iter().flat_map(|service| {
            let list: Vec<SocketAddr> = if self.options.system == System::Direct {
                let listed = |target: &&ListedTarget| target.service == service.name;
                let targets = self.started.targets.iter().filter(listed);
                targets.map(|target| target.address).collect()
            } else {
                self.nodes.iter().map(|node| node.callers).collect()
            };
            std::iter::repeat_n(list, zones)
        });
        self.routes.set(lists.collect());
    }

    /// Waits until `check` holds.
    pub(crate) fn wait_for(
        &self,
        what: &str,
        mut check: impl FnMut(&Self) -> Result<bool, Error>,
    ) -> Result<(), Error> {
        let start = Instant::now();
        while start.elapsed() < PATIENCE {
            if check(self).unwrap_or(false) {
                return Ok(());
            }
            std::thread::sleep(LOOK);
        }
        Err(format!("gave up waiting for {what}").into())
    }

    /// Declares resources at the first instance that accepts them.
    pub(crate) fn apply(&self, resources: &[Value]) -> Result<(), Error> {
        let body = Bytes::from(json!({"resources": resources}).to_string());
        self.wait_for("resources to be accepted", |world| {
            for node in &world.nodes {
                let answer = world.fetch(node.admin, Method::POST, "/v1/resources", &body);
                if answer.is_ok_and(|(status, _)| status == 200) {
                    return Ok(true);
                }
            }
            Ok(false)
        })
    }

    /// Takes a zone out, or brings every zone back.
    pub(crate) fn take_out(&mut self, zone: Option<&str>) -> Result<(), Error> {
        if self.options.system == System::Ours {
            return self.apply(&self.options.shape.resources(zone));
        }
        for node in &mut self.nodes {
            let out = balancer::Command::Out(zone.map(str::to_owned));
            node.process.ask::<bool>(&out)?;
        }
        Ok(())
    }

    /// The state of an instance.
    pub(crate) fn dump(&self, admin: SocketAddr) -> Result<Value, Error> {
        let (_, body) = self.fetch(admin, Method::GET, "/dump", &Bytes::new())?;
        Ok(serde_json::from_slice(&body)?)
    }

    /// The sum of a metric over an instance's labels; `None` when there is none.
    pub(crate) fn metric(&self, admin: SocketAddr, name: &str) -> Option<f64> {
        let answer = self.fetch(admin, Method::GET, "/metrics", &Bytes::new());
        let (_, body) = answer.ok()?;
        let text = String::from_utf8_lossy(&body).into_owned();
        let values: Vec<f64> = text
            .lines()
            .filter(|line| line.split(['{', ' ']).next() == Some(name))
            .filter_map(|line| line.rsplit(' ').next()?.parse().ok())
            .collect();
        (!values.is_empty()).then(|| values.iter().sum())
    }

    /// The sum of a metric over all instances; `None` when there is none.
    pub(crate) fn metric_sum(&self, name: &str) -> Option<f64> {
        if self.options.system != System::Ours {
            return None;
        }
        let values: Vec<f64> = self
            .nodes
            .iter()
            .filter_map(|node| self.metric(node.admin, name))
            .collect();
        (!values.is_empty()).then(|| values.iter().sum())
    }

    fn fetch(
        &self,
        address: SocketAddr,
        method: Method,
        path: &str,
        body: &Bytes,
    ) -> Result<(http::StatusCode, Bytes), Error> {
        let sent = fetch(address, method, path, body.clone());
        let limited = async { tokio::time::timeout(PATIENCE, sent).await };
        self.rt.block_on(limited)?
    }

    /// Asks the platform for what it has seen.
    pub(crate) fn seen(&mut self) -> Result<platform::Seen, Error> {
        let mut seen: platform::Seen = self.platform.ask(&platform::Command::Report)?;
        for fleet in &mut self.fleets {
            let part: platform::Seen = fleet.ask(&platform::Command::Report)?;
            seen.targets.extend(part.targets);
        }
        Ok(seen)
    }

    /// Tells the platform to do something.
    pub(crate) fn tell(&mut self, command: &platform::Command) -> Result<(), Error> {
        self.platform.ask::<bool>(command).map(|_| ())
    }

    /// What the instances have used together.
    pub(crate) fn usage(&self) -> Usage {
        let mut total = Usage::default();
        for node in &self.nodes {
            let usage = node.process.usage();
            total.cpu += usage.cpu;
            total.resident += usage.resident;
        }
        total
    }
}

/// Starts processes for the targets; the first also serves store and list.
fn start_fleets(
    shape: &Shape,
    targets: &[FleetTarget],
) -> Result<(Vec<Process>, platform::Started), Error> {
    let mut fleets = Vec::new();
    let mut all: Option<platform::Started> = None;
    for part in targets.chunks(TARGETS_PER_PROCESS) {
        let mut fleet = Process::role("platform")?;
        let started: platform::Started = fleet.ask(&platform::Start {
            options: shape.options(),
            targets: part.to_vec(),
        })?;
        fleets.push(fleet);
        match &mut all {
            Some(all) => all.targets.extend(started.targets),
            None => all = Some(started),
        }
    }
    let started = all.ok_or("a world needs targets")?;
    let list = platform::Command::List(started.targets.clone());
    fleets[0].ask::<bool>(&list)?;
    Ok((fleets, started))
}

fn merge(into: &mut Value, change: &Value) {
    match (into, change) {
        (Value::Object(into), Value::Object(change)) => {
            for (key, value) in change {
                merge(into.entry(key.clone()).or_insert(Value::Null), value);
            }
        }
        (into, change) => *into = change.clone(),
    }
}

/// A thread that asks the instances which addresses callers should use.
#[derive(Debug)]
struct Steering {
    stop: Arc<AtomicBool>,
    thread: Option<JoinHandle<()>>,
}

impl Drop for Steering {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::Relaxed);
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

impl Steering {
    fn start(routes: Routes, entries: Vec<SocketAddr>, shape: &Shape) -> Self {
        let stop = Arc::new(AtomicBool::new(false));
        let stopped = Arc::clone(&stop);
        let questions: Vec<String> = shape
            .services
            .iter()
            .flat_map(|service| {
                let question = |zone| format!("/v1/addresses?service={}&zone={zone}", service.name);
                shape.zones.iter().map(question)
            })
            .collect();
        let thread = std::thread::spawn(move || {
            let rt = tokio::runtime::Builder::new_current_thread()
                .enable_all()
                .build();
            let Ok(rt) = rt else { return };
            let mut known = vec![Vec::new(); questions.len()];
            while !stopped.load(Ordering::Relaxed) {
                rt.block_on(refresh(&questions, &entries, &mut known));
                routes.set(known.clone());
                let start = Instant::now();
                while start.elapsed() < KEEP_ADDRESSES && !stopped.load(Ordering::Relaxed) {
                    std::thread::sleep(LOOK);
                }
            }
        });
        Self {
            stop,
            thread: Some(thread),
        }
    }
}

#[derive(Deserialize)]
struct AddressAnswer {
    addresses: Vec<Address>,
}

#[derive(Deserialize)]
struct Address {
    callers: SocketAddr,
}

async fn refresh(questions: &[String], entries: &[SocketAddr], known: &mut [Vec<SocketAddr>]) {
    for (question, list) in questions.iter().zip(known) {
        let entry = entries[rand::rng().random_range(0..entries.len())];
        let asked = fetch(entry, Method::GET, question, Bytes::new());
        let Ok(Ok((_, body))) = tokio::time::timeout(KEEP_ADDRESSES, asked).await else {
            continue;
        };
        if let Ok(answer) = serde_json::from_slice::<AddressAnswer>(&body) {
            *list = answer
                .addresses
                .iter()
                .map(|address| address.callers)
                .collect();
        }
    }
}
