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
use standin::list::Listed;

use crate::Error;
use crate::baseline::Policy;
use crate::deployment::Deployment;
use crate::load::{Routes, fetch};
use crate::process::{Process, Usage};
use crate::role::{balancer, platform};

/// Longest wait for anything that must come about.
const WAIT_TIMEOUT: Duration = Duration::from_secs(60);
/// Time between two looks at what is waited for.
const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Time for which callers keep an address answer.
const ADDRESS_TTL: Duration = Duration::from_secs(1);
/// Targets that one process serves, below the usual limit of open files.
const TARGETS_PER_PROCESS: usize = 8_000;
/// Time between two probes of a target by each baseline instance, in milliseconds.
const BASELINE_PROBE_PERIOD_MS: u64 = 100;

/// What stands between callers and targets.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum System {
    /// Nothing: callers choose targets at random.
    Direct,
    /// Baseline instances.
    Baseline(Policy),
    /// Entry instances of wagtailsaddle.
    Wagtailsaddle,
}

impl System {
    /// Name in tables.
    pub(crate) fn name(self) -> &'static str {
        match self {
            Self::Direct => "direct",
            Self::Baseline(policy) => policy.name(),
            Self::Wagtailsaddle => "wagtailsaddle",
        }
    }
}

/// What a world consists of.
#[derive(Debug, Clone)]
pub(crate) struct Options {
    /// The user's sizes.
    pub(crate) deployment: Deployment,
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
    pub(crate) fn new(deployment: Deployment, system: System) -> Self {
        Self {
            deployment,
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
pub(crate) struct Instance {
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
struct ListenAddresses {
    callers: SocketAddr,
    admin: SocketAddr,
}

/// A running platform with its instances; all end when it is dropped.
#[derive(Debug)]
pub(crate) struct Testbed {
    /// What it consists of.
    pub(crate) options: Options,
    /// The platform's process.
    pub(crate) platform: Process,
    /// Where the platform listens.
    pub(crate) started: platform::Started,
    /// The instances.
    pub(crate) instances: Vec<Instance>,
    /// Where callers go.
    pub(crate) routes: Routes,
    rt: tokio::runtime::Runtime,
    address_refresher: Option<AddressRefresher>,
    fleets: Vec<Process>,
    dir: tempfile::TempDir,
}

impl Testbed {
    /// Starts a world and waits until it serves.
    pub(crate) fn start(options: Options) -> Result<Self, Error> {
        let mut testbed = Self::start_platform(options)?;
        for number in 0..testbed.options.instances {
            if testbed.options.system != System::Direct {
                let instance = testbed.start_instance(number)?;
                testbed.instances.push(instance);
            }
        }
        match testbed.options.system {
            System::Wagtailsaddle => testbed.wait_ready()?,
            _ => testbed.route_evenly(),
        }
        Ok(testbed)
    }

    fn start_platform(options: Options) -> Result<Self, Error> {
        let targets = options.targets.clone();
        let targets = targets.unwrap_or_else(|| options.deployment.targets());
        let (mut platform, started) = start_fleets(&options.deployment, &targets)?;
        let fleets = platform.split_off(1);
        let platform = platform.remove(0);
        let first_only = options.system == System::Wagtailsaddle;
        Ok(Self {
            routes: Routes::new(options.deployment.zones, first_only),
            options,
            platform,
            started,
            instances: Vec::new(),
            rt: tokio::runtime::Builder::new_current_thread()
                .enable_all()
                .build()?,
            address_refresher: None,
            fleets,
            dir: tempfile::tempdir()?,
        })
    }

    /// Starts instance `number`, without waiting until it is ready.
    pub(crate) fn start_instance(&self, number: usize) -> Result<Instance, Error> {
        match self.options.system {
            System::Baseline(policy) => self.start_baseline(policy, number),
            _ => self.start_entry(number),
        }
    }

    fn start_baseline(&self, policy: Policy, number: usize) -> Result<Instance, Error> {
        let mut process = Process::spawn_role("balancer")?;
        let probes = self.options.probes && policy == Policy::PowerOfTwo;
        let start = balancer::Start {
            policy,
            index: number,
            instances: self.options.instances,
            workers: self.options.workers,
            slots: self.options.deployment.slots,
            probe_ms: if probes { BASELINE_PROBE_PERIOD_MS } else { 0 },
            targets: self.started.targets.clone(),
        };
        let callers = process.request(&start)?;
        Ok(Instance {
            process,
            name: format!("{}-{number}", policy.name()),
            callers,
            admin: callers,
        })
    }

    fn start_entry(&self, number: usize) -> Result<Instance, Error> {
        let zones = self.options.deployment.zones;
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
        let mut process = Process::spawn_server(&path)?;
        let addresses: ListenAddresses = process.read()?;
        Ok(Instance {
            process,
            name,
            callers: addresses.callers,
            admin: addresses.admin,
        })
    }

    fn wait_ready(&mut self) -> Result<(), Error> {
        let resources = self.options.resources.clone();
        let resources = resources.unwrap_or_else(|| self.options.deployment.resources(None));
        self.apply(&resources)?;
        let shards = self.shards();
        let admins: Vec<_> = self
            .instances
            .iter()
            .map(|instance| instance.admin)
            .collect();
        for admin in admins {
            self.wait_for("the claims to be known", |testbed| {
                let dump = testbed.dump(admin)?;
                let claims = dump["claims"].as_array().map_or(0, Vec::len);
                Ok(claims >= shards)
            })?;
        }
        if self.options.targets.is_some() {
            return Ok(());
        }
        let entries = self
            .instances
            .iter()
            .map(|instance| instance.callers)
            .collect();
        let address_refresher =
            AddressRefresher::start(self.routes.clone(), entries, &self.options.deployment);
        self.address_refresher = Some(address_refresher);
        let expected = shards.min(self.options.deployment.services.len());
        self.wait_for("the addresses to be known", |testbed| {
            let mut rng = rand::SeedableRng::seed_from_u64(1);
            let all_known =
                (0..expected).all(|service| testbed.routes.pick(service, 0, &mut rng).is_some());
            Ok(all_known)
        })
    }

    fn shards(&self) -> usize {
        let listed = self.started.targets.iter();
        let shards = listed.map(|target| (&target.service, &target.zone));
        shards.collect::<indexmap::IndexSet<_>>().len()
    }

    fn route_evenly(&self) {
        let zones = self.options.deployment.zones.len();
        let lists = self.options.deployment.services.iter().flat_map(|service| {
            let list: Vec<SocketAddr> = if self.options.system == System::Direct {
                let listed = |target: &&Listed| target.service == service.name;
                let targets = self.started.targets.iter().filter(listed);
                targets.map(|target| target.address).collect()
            } else {
                self.instances
                    .iter()
                    .map(|instance| instance.callers)
                    .collect()
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
        while start.elapsed() < WAIT_TIMEOUT {
            if check(self).unwrap_or(false) {
                return Ok(());
            }
            std::thread::sleep(POLL_INTERVAL);
        }
        Err(format!("gave up waiting for {what}").into())
    }

    /// Declares resources at the first instance that accepts them.
    pub(crate) fn apply(&self, resources: &[Value]) -> Result<(), Error> {
        let body = Bytes::from(json!({"resources": resources}).to_string());
        self.wait_for("resources to be accepted", |testbed| {
            for instance in &testbed.instances {
                let response = testbed.fetch(instance.admin, Method::POST, "/v1/resources", &body);
                if response.is_ok_and(|(status, _)| status == 200) {
                    return Ok(true);
                }
            }
            Ok(false)
        })
    }

    /// Takes a zone out, or brings every zone back.
    pub(crate) fn set_evacuated_zone(&mut self, zone: Option<&str>) -> Result<(), Error> {
        if self.options.system == System::Wagtailsaddle {
            return self.apply(&self.options.deployment.resources(zone));
        }
        for instance in &mut self.instances {
            let command = balancer::Command::EvacuateZone(zone.map(str::to_owned));
            instance.process.request::<bool>(&command)?;
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
        let response = self.fetch(admin, Method::GET, "/metrics", &Bytes::new());
        let (_, body) = response.ok()?;
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
        if self.options.system != System::Wagtailsaddle {
            return None;
        }
        let values: Vec<f64> = self
            .instances
            .iter()
            .filter_map(|instance| self.metric(instance.admin, name))
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
        let limited = async { tokio::time::timeout(WAIT_TIMEOUT, sent).await };
        self.rt.block_on(limited)?
    }

    /// Asks the platform for what it has seen.
    pub(crate) fn stats(&mut self) -> Result<platform::PlatformStats, Error> {
        let mut stats: platform::PlatformStats =
            self.platform.request(&platform::Command::Report)?;
        for fleet in &mut self.fleets {
            let part: platform::PlatformStats = fleet.request(&platform::Command::Report)?;
            stats.targets.extend(part.targets);
        }
        Ok(stats)
    }

    /// Tells the platform to do something.
    pub(crate) fn send_command(&mut self, command: &platform::Command) -> Result<(), Error> {
        self.platform.request::<bool>(command).map(|_| ())
    }

    /// What the instances have used together.
    pub(crate) fn usage(&self) -> Usage {
        let mut total = Usage::default();
        for instance in &self.instances {
            let usage = instance.process.usage();
            total.cpu += usage.cpu;
            total.resident += usage.resident;
        }
        total
    }
}

/// Starts processes for the targets; the first also serves store and list.
fn start_fleets(
    deployment: &Deployment,
    targets: &[FleetTarget],
) -> Result<(Vec<Process>, platform::Started), Error> {
    let mut fleets = Vec::new();
    let mut all: Option<platform::Started> = None;
    for chunk in targets.chunks(TARGETS_PER_PROCESS) {
        let mut fleet = Process::spawn_role("platform")?;
        let started: platform::Started = fleet.request(&platform::Start {
            options: deployment.options(),
            targets: chunk.to_vec(),
        })?;
        fleets.push(fleet);
        match &mut all {
            Some(all) => all.targets.extend(started.targets),
            None => all = Some(started),
        }
    }
    let started = all.ok_or("a world needs targets")?;
    let list = platform::Command::List(started.targets.clone());
    fleets[0].request::<bool>(&list)?;
    Ok((fleets, started))
}

fn merge(base: &mut Value, overrides: &Value) {
    match (base, overrides) {
        (Value::Object(base), Value::Object(overrides)) => {
            for (key, value) in overrides {
                merge(base.entry(key.clone()).or_insert(Value::Null), value);
            }
        }
        (base, overrides) => *base = overrides.clone(),
    }
}

/// A thread that asks the instances which addresses callers should use.
#[derive(Debug)]
struct AddressRefresher {
    stop: Arc<AtomicBool>,
    thread: Option<JoinHandle<()>>,
}

impl Drop for AddressRefresher {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::Relaxed);
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

impl AddressRefresher {
    fn start(routes: Routes, instances: Vec<SocketAddr>, deployment: &Deployment) -> Self {
        let stop = Arc::new(AtomicBool::new(false));
        let stopped = Arc::clone(&stop);
        let paths: Vec<String> = deployment
            .services
            .iter()
            .flat_map(|service| {
                let path = |zone| format!("/v1/addresses?service={}&zone={zone}", service.name);
                deployment.zones.iter().map(path)
            })
            .collect();
        let thread = std::thread::spawn(move || {
            let rt = tokio::runtime::Builder::new_current_thread()
                .enable_all()
                .build();
            let Ok(rt) = rt else { return };
            let mut lists = vec![Vec::new(); paths.len()];
            while !stopped.load(Ordering::Relaxed) {
                rt.block_on(refresh(&paths, &instances, &mut lists));
                routes.set(lists.clone());
                let start = Instant::now();
                while start.elapsed() < ADDRESS_TTL && !stopped.load(Ordering::Relaxed) {
                    std::thread::sleep(POLL_INTERVAL);
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
struct AddressResponse {
    addresses: Vec<Address>,
}

#[derive(Deserialize)]
struct Address {
    callers: SocketAddr,
}

async fn refresh(paths: &[String], instances: &[SocketAddr], lists: &mut [Vec<SocketAddr>]) {
    for (path, list) in paths.iter().zip(lists) {
        let instance = instances[rand::rng().random_range(0..instances.len())];
        let request = fetch(instance, Method::GET, path, Bytes::new());
        let Ok(Ok((_, body))) = tokio::time::timeout(ADDRESS_TTL, request).await else {
            continue;
        };
        if let Ok(response) = serde_json::from_slice::<AddressResponse>(&body) {
            *list = response
                .addresses
                .iter()
                .map(|address| address.callers)
                .collect();
        }
    }
}
