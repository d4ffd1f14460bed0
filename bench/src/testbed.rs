//! Test environment: a platform with targets, and the instances of one system.

mod addresses;

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::Method;
use serde::Deserialize;
use serde_json::{Value, json};
use standin::fleet::FleetTarget;
use standin::list::ListedTarget;

use self::addresses::AddressRefresher;
use crate::Error;
use crate::baseline::Policy;
use crate::deployment::Deployment;
use crate::load::{Routes, fetch};
use crate::process::{Process, Usage};
use crate::role::{balancer, platform};

/// Timeout of each wait for a condition.
const WAIT_TIMEOUT: Duration = Duration::from_secs(60);
/// Time between two checks of a condition.
const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Targets served by one process, to stay below the usual limit of open files.
const TARGETS_PER_PROCESS: usize = 8_000;
/// Probe period of each baseline instance for each target, in milliseconds.
const BASELINE_PROBE_PERIOD_MS: u64 = 100;

/// System under test between callers and targets.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum System {
    /// No system: callers select targets at random.
    Direct,
    /// Baseline instances with a policy.
    Baseline(Policy),
    /// Entry instances of wagtailsaddle.
    Wagtailsaddle,
}

impl System {
    /// Row name in reports.
    pub(crate) fn name(self) -> &'static str {
        match self {
            Self::Direct => "direct",
            Self::Baseline(policy) => policy.name(),
            Self::Wagtailsaddle => "wagtailsaddle",
        }
    }
}

/// Configuration of a testbed.
#[derive(Debug, Clone)]
pub(crate) struct Options {
    /// Sizes and delays of the platform.
    pub(crate) deployment: Deployment,
    /// System under test.
    pub(crate) system: System,
    /// Number of instances.
    pub(crate) instances: usize,
    /// Worker threads of each instance.
    pub(crate) workers: usize,
    /// Whether baseline instances with [`Policy::PowerOfTwo`] probe targets.
    pub(crate) probes: bool,
    /// Settings that are merged into those of each entry instance.
    pub(crate) settings: Value,
    /// Targets that replace those of the deployment. With
    /// [`System::Wagtailsaddle`], no routes for callers are then set up.
    pub(crate) targets: Option<Vec<FleetTarget>>,
    /// Resources that replace those of the deployment.
    pub(crate) resources: Option<Vec<Value>>,
}

impl Options {
    /// Options for one instance with two worker threads.
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
    pub(crate) process: Process,
    /// Name of the instance, as in claims of shards.
    pub(crate) name: String,
    /// Address for callers.
    pub(crate) callers: SocketAddr,
    /// Address for operators. A baseline instance has none; its callers' address stands here.
    pub(crate) admin: SocketAddr,
}

#[derive(Debug, Deserialize)]
struct ListenAddresses {
    callers: SocketAddr,
    admin: SocketAddr,
}

/// A running platform with its instances. All processes are killed when it is dropped.
#[derive(Debug)]
pub(crate) struct Testbed {
    pub(crate) options: Options,
    /// Process with the store, the target list and the first targets.
    pub(crate) platform: Process,
    /// Addresses of the platform.
    pub(crate) started: platform::Started,
    /// Running instances; empty for [`System::Direct`].
    pub(crate) instances: Vec<Instance>,
    /// Addresses that callers use.
    pub(crate) routes: Routes,
    rt: tokio::runtime::Runtime,
    address_refresher: Option<AddressRefresher>,
    fleets: Vec<Process>,
    dir: tempfile::TempDir,
}

impl Testbed {
    /// Starts a testbed and waits until it serves calls.
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

    /// Starts instance `number` without waiting until it is ready.
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
            self.wait_for("all claims to be known", |testbed| {
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
        self.wait_for("addresses of every service", |testbed| {
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
                let listed = |target: &&ListedTarget| target.service == service.name;
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

    /// Waits until `check` returns true; errors of `check` count as false. `what` names the
    /// condition in the error after the timeout.
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
        Err(format!("timed out waiting for {what}").into())
    }

    /// Applies resources through the first instance that accepts them.
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

    /// Evacuates `zone`, or returns every zone to service.
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

    /// State dump of an instance.
    pub(crate) fn dump(&self, admin: SocketAddr) -> Result<Value, Error> {
        let (_, body) = self.fetch(admin, Method::GET, "/dump", &Bytes::new())?;
        Ok(serde_json::from_slice(&body)?)
    }

    /// Sum of a metric over all its labels in one instance; `None` if it isn't exported.
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

    /// Sum of a metric over all instances; `None` if no instance exports it.
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

    /// Statistics of the store and of all targets.
    pub(crate) fn stats(&mut self) -> Result<platform::PlatformStats, Error> {
        let mut stats: platform::PlatformStats =
            self.platform.request(&platform::Command::Report)?;
        for fleet in &mut self.fleets {
            let part: platform::PlatformStats = fleet.request(&platform::Command::Report)?;
            stats.targets.extend(part.targets);
        }
        Ok(stats)
    }

    /// Sends a command to the platform's first process.
    pub(crate) fn send_command(&mut self, command: &platform::Command) -> Result<(), Error> {
        self.platform.request::<bool>(command).map(|_| ())
    }

    /// Resource usage of all instances together.
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

/// Starts the processes that serve the targets. The first one also serves the store and
/// the target list.
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
    let started = all.ok_or("a testbed needs at least one target")?;
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
