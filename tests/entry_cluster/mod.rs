//! Entry instances as processes, each on its own loopback address, with a stand-in store and
//! stand-in targets.

mod http;
mod waiting;

use std::io::Read;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::path::PathBuf;
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::atomic::{AtomicU8, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use rustix::process::{Pid, Signal, kill_process};
use serde_json::Value;
use standin::prepared::settings::{
    CALLER_PORT, DIRECTORY_PORT, READINESS_PORT, configuration, entry_settings,
};
use standin::prepared::store::{Mode, StoreEndpoint, StoreStandin};
use standin::prepared::target::{Behaviour, TargetStandin};
use tokio::net::TcpStream;

use self::http::exchange;
pub use self::http::{HttpResponse, RawConn};

/// Metrics port of every instance; their addresses differ.
const METRICS_PORT: u16 = 9464;
/// Longest wait for a condition.
const WAIT_LIMIT: Duration = Duration::from_secs(30);
/// Time between two checks of a condition that is waited for.
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Version of the first configuration.
const FIRST_VERSION: u64 = 7;

/// Last octet of the next loopback address; the octets before it come from the process id, so that
/// tests in other processes use other addresses.
static NEXT_ADDRESS: AtomicU8 = AtomicU8::new(1);

struct Instance {
    ip: IpAddr,
    /// Address of the store for this instance alone.
    store: StoreEndpoint,
    settings: PathBuf,
    child: Option<Child>,
    log: Arc<Mutex<String>>,
}

/// Entry instances, their store and their targets; dropping it kills the instances.
pub struct EntryCluster {
    pub store: StoreStandin,
    targets: Vec<TargetStandin>,
    instances: Vec<Instance>,
    settings_dir: tempfile::TempDir,
}

fn request(path: &str, id: &str) -> String {
    format!(
        "GET {path} HTTP/1.1\r\nhost: x.example\r\nx-request-id: {id}\r\n\
         x-deadline-ms: 2000\r\n\r\n"
    )
}

/// Sends a request to the instance that accepts callers at `address`, which may be down.
pub async fn send(address: SocketAddr, path: &str, id: &str) -> Option<HttpResponse> {
    let sending = exchange(address, request(path, id));
    tokio::time::timeout(WAIT_LIMIT, sending).await.ok()?
}

/// Opens a connection to the instance that accepts callers at `address`, which may be down.
pub async fn connect(address: SocketAddr) -> Option<RawConn> {
    Some(RawConn {
        stream: TcpStream::connect(address).await.ok()?,
        buf: Vec::new(),
    })
}

impl EntryCluster {
    /// Starts instances and targets, and waits until every instance has the first configuration and
    /// knows all targets and instances.
    pub async fn start(instances: usize, targets: usize) -> Self {
        let mut cluster = Self::empty(instances).await;
        for number in 0..targets {
            let target = TargetStandin::start(&format!("t{number}"), "s")
                .await
                .unwrap();
            cluster.targets.push(target);
            cluster.put_target(number, false);
        }
        cluster.configure(FIRST_VERSION, &["/safe/", "/once/"]);
        for instance in 0..instances {
            cluster.wait_for_version(instance, FIRST_VERSION).await;
            cluster.wait_for_targets(instance, targets).await;
            cluster.wait_for_directory(instance, instances).await;
        }
        cluster
    }

    /// Starts instances with an empty store.
    pub async fn empty(instances: usize) -> Self {
        let settings_dir = tempfile::tempdir().unwrap();
        let mut cluster = Self {
            store: StoreStandin::start().await.unwrap(),
            targets: Vec::new(),
            instances: Vec::new(),
            settings_dir,
        };
        for number in 0..instances {
            let pid = std::process::id();
            let last_octet = NEXT_ADDRESS.fetch_add(1, Ordering::Relaxed);
            let [_, _, high, low] = pid.to_be_bytes();
            let ip = IpAddr::V4(Ipv4Addr::new(127, high.max(1), low, last_octet));
            let settings = cluster.settings_dir.path().join(format!("{number}.json"));
            let store = cluster.store.listen_again().await.unwrap();
            let text = entry_settings(number, ip, store.address());
            std::fs::write(&settings, text).unwrap();
            cluster.instances.push(Instance {
                ip,
                store,
                settings,
                child: None,
                log: Arc::default(),
            });
            cluster.launch(number);
        }
        for number in 0..instances {
            cluster.wait_until(|| cluster.dump(number), |_| true).await;
        }
        cluster
    }

    /// Starts the process of an instance.
    pub fn launch(&mut self, number: usize) {
        let instance = &mut self.instances[number];
        let mut child = Command::new(env!("CARGO_BIN_EXE_wagtailsaddle"))
            .arg("entry")
            .env("WAGTAILSADDLE_SETTINGS", &instance.settings)
            .stdout(Stdio::piped())
            .spawn()
            .unwrap();
        let mut stdout = child.stdout.take().unwrap();
        let log = instance.log.clone();
        std::thread::spawn(move || {
            let mut buf = [0; 4096];
            while let Ok(count) = stdout.read(&mut buf) {
                if count == 0 {
                    return;
                }
                log.lock()
                    .unwrap()
                    .push_str(&String::from_utf8_lossy(&buf[..count]));
            }
        });
        instance.child = Some(child);
    }

    /// Kills the process of an instance with SIGKILL.
    pub fn kill(&mut self, number: usize) {
        let mut child = self.instances[number].child.take().unwrap();
        child.kill().unwrap();
        child.wait().unwrap();
    }

    pub fn send_sigterm(&self, number: usize) {
        self.signal(number, Signal::TERM);
    }

    pub fn send_sighup(&self, number: usize) {
        self.signal(number, Signal::HUP);
    }

    fn signal(&self, number: usize, signal: Signal) {
        let child = self.instances[number].child.as_ref().unwrap();
        let pid = Pid::from_raw(i32::try_from(child.id()).unwrap()).unwrap();
        kill_process(pid, signal).unwrap();
    }

    /// Waits until the process of an instance has ended.
    pub fn wait_for_exit(&mut self, number: usize) -> ExitStatus {
        self.instances[number].child.take().unwrap().wait().unwrap()
    }

    /// The store gives this instance no response any more, also to calls that wait for one.
    pub fn silence_store_for(&self, number: usize) {
        let faults = &self.instances[number].store.faults;
        faults.change(|faults| {
            faults.mode = Mode::Silent;
            faults.silenced += 1;
        });
    }

    /// The store's open connections with this instance go silent; new ones work.
    pub fn silence_connections_for(&self, number: usize) {
        let faults = &self.instances[number].store.faults;
        faults.change(|faults| faults.silenced += 1);
    }

    /// Writes a configuration with these route prefixes; requests below `/once/` must not be retried.
    pub fn configure(&self, version: u64, prefixes: &[&str]) {
        self.put_configuration(version, prefixes, 2000);
    }

    /// Writes a configuration whose routes have this timeout.
    pub fn configure_timeout(&self, version: u64, timeout_ms: u64) {
        self.put_configuration(version, &["/safe/", "/once/"], timeout_ms);
    }

    fn put_configuration(&self, version: u64, prefixes: &[&str], timeout_ms: u64) {
        let configuration = configuration(version, prefixes, timeout_ms);
        self.store.put("op/config", configuration.as_bytes());
    }

    pub fn targets(&self) -> &[TargetStandin] {
        &self.targets
    }

    /// Starts another target, whose software has this version.
    pub async fn add_target(&mut self, version: &'static str) -> usize {
        let number = self.targets.len();
        let target = TargetStandin::start(&format!("t{number}"), "s")
            .await
            .unwrap();
        target.state.change(|state| state.version = version);
        self.targets.push(target);
        self.put_target(number, false);
        number
    }

    pub fn put_target(&self, number: usize, leaving: bool) {
        let target = &self.targets[number];
        let key = format!("servers/{}", target.id);
        self.store.put(&key, &target.target_record("a", leaving));
    }

    pub fn remove_target(&self, number: usize) {
        let id = &self.targets[number].id;
        self.store.remove(&format!("servers/{id}"));
    }

    pub fn set_behaviour(&self, behaviour: Behaviour) {
        for target in &self.targets {
            target.state.change(|state| state.behaviour = behaviour);
        }
    }

    pub fn set_work(&self, work: Duration) {
        for target in &self.targets {
            target.state.change(|state| state.work = work);
        }
    }

    pub fn set_large_bytes(&self, large_bytes: usize) {
        for target in &self.targets {
            target.state.change(|state| state.large_bytes = large_bytes);
        }
    }

    /// Most memory that the process of an instance has had in use, in bytes.
    pub fn peak_memory(&self, number: usize) -> usize {
        let child = self.instances[number].child.as_ref().unwrap();
        let status = std::fs::read_to_string(format!("/proc/{}/status", child.id())).unwrap();
        let mut lines = status.lines();
        let line = lines.find_map(|line| line.strip_prefix("VmHWM:")).unwrap();
        let kilobytes: usize = line.trim().trim_end_matches(" kB").parse().unwrap();
        kilobytes << 10
    }

    /// How often all targets together ran a request.
    pub fn runs(&self, id: &str) -> u32 {
        self.targets
            .iter()
            .map(|target| {
                let record = target.record.get();
                record.runs.get(id).copied().unwrap_or(0)
            })
            .sum()
    }

    /// Deadline that the last request to the first target carried.
    pub fn last_deadline_ms(&self) -> u64 {
        self.targets[0].record.get().last_deadline_ms
    }

    /// Requests that the targets ran to completion.
    pub fn finished(&self) -> u32 {
        let finished = self
            .targets
            .iter()
            .map(|target| target.record.get().finished);
        finished.sum()
    }

    pub async fn get(&self, instance: usize, path: &str, id: &str) -> HttpResponse {
        self.request(instance, path, id).await
    }

    /// Returns a request that does not borrow the cluster, so that it can be spawned.
    pub fn request(
        &self,
        instance: usize,
        path: &str,
        id: &str,
    ) -> impl Future<Output = HttpResponse> + Send + use<> {
        let (address, req) = (self.caller_address(instance), request(path, id));
        async move {
            let resp = tokio::time::timeout(WAIT_LIMIT, exchange(address, req)).await;
            resp.unwrap().unwrap()
        }
    }

    /// Address at which an instance accepts callers.
    pub fn caller_address(&self, instance: usize) -> SocketAddr {
        SocketAddr::new(self.instances[instance].ip, CALLER_PORT)
    }

    /// Returns a request with these header lines; `None` if the instance doesn't answer.
    pub fn try_request(
        &self,
        instance: usize,
        path: &str,
        id: &str,
        lines: &str,
    ) -> impl Future<Output = Option<HttpResponse>> + Send + use<> {
        let address = SocketAddr::new(self.instances[instance].ip, CALLER_PORT);
        let req = format!(
            "GET {path} HTTP/1.1\r\nhost: x.example\r\nx-request-id: {id}\r\n\
             x-deadline-ms: 2000\r\n{lines}\r\n"
        );
        async move {
            tokio::time::timeout(WAIT_LIMIT, exchange(address, req))
                .await
                .ok()?
        }
    }

    /// What an instance has logged.
    pub fn log(&self, instance: usize) -> String {
        self.instances[instance].log.lock().unwrap().clone()
    }

    /// Opens a connection to an instance, for requests whose bytes are sent one by one.
    pub async fn connect(&self, instance: usize) -> RawConn {
        connect(self.caller_address(instance)).await.unwrap()
    }

    /// How often a request arrived at any target, whether it was run or not.
    pub fn arrivals(&self, id: &str) -> u32 {
        let records = self.targets.iter().map(|target| target.record.get());
        let counts = records.map(|record| record.arrivals.get(id).copied().unwrap_or(0));
        counts.sum()
    }

    /// Makes the targets shed each request at its first arrival at any of them.
    pub fn shed_each_request_once(&self) {
        let known = standin::faults::Shared::<Vec<String>>::default();
        for target in &self.targets {
            let known = Some(known.clone());
            target.state.change(|state| state.shed_first = known);
        }
    }

    /// Sets how long the targets pause after each part of a body.
    pub fn set_read_pause(&self, pause: Duration) {
        for target in &self.targets {
            target.state.change(|state| state.read_pause = pause);
        }
    }

    pub async fn metric(&self, instance: usize, name: &str) -> Option<f64> {
        let address = SocketAddr::new(self.instances[instance].ip, METRICS_PORT);
        let req = "GET /metrics HTTP/1.1\r\nhost: x\r\n\r\n".to_owned();
        let body = exchange(address, req).await?.body;
        let mut lines = body.lines().filter_map(|line| line.split_once(' '));
        let (_, value) = lines.find(|(known, _)| *known == name)?;
        value.parse().ok()
    }

    pub async fn dump_field(&self, instance: usize, field: &str) -> Value {
        self.dump(instance).await.unwrap()[field].clone()
    }

    pub async fn readiness(&self, instance: usize) -> u16 {
        let address = SocketAddr::new(self.instances[instance].ip, READINESS_PORT);
        let req = "GET /api/readiness HTTP/1.1\r\nhost: x\r\n\r\n".to_owned();
        exchange(address, req).await.unwrap().status
    }

    async fn dump(&self, instance: usize) -> Option<Value> {
        let address = SocketAddr::new(self.instances[instance].ip, METRICS_PORT);
        let req = "GET /dump HTTP/1.1\r\nhost: x\r\n\r\n".to_owned();
        serde_json::from_str(&exchange(address, req).await?.body).ok()
    }

    async fn directory(&self, instance: usize) -> Option<usize> {
        let address = SocketAddr::new(self.instances[instance].ip, DIRECTORY_PORT);
        let req = "GET /api/resolve?name=x.example&zone=a HTTP/1.1\r\nhost: x\r\n\r\n".to_owned();
        let resp = exchange(address, req).await?;
        let body: Value = serde_json::from_str(&resp.body).ok()?;
        Some(body["addresses"].as_array()?.len())
    }

    /// The instances that watch the store.
    pub async fn watchers(&self) -> Vec<usize> {
        let mut watchers = Vec::new();
        for instance in 0..self.instances.len() {
            let standing = self.dump_field(instance, "standing").await;
            if standing["store"] == "watching" {
                watchers.push(instance);
            }
        }
        watchers
    }

    pub fn rewrite_settings(&self, instance: usize, from: &str, to: &str) {
        let path = &self.instances[instance].settings;
        let text = std::fs::read_to_string(path).unwrap();
        assert!(text.contains(from), "{text}");
        std::fs::write(path, text.replace(from, to)).unwrap();
    }

    pub fn print_logs(&self) {
        for instance in &self.instances {
            println!("{} {}", instance.ip, instance.log.lock().unwrap());
        }
    }
}

impl Drop for EntryCluster {
    fn drop(&mut self) {
        for instance in &mut self.instances {
            if let Some(mut child) = instance.child.take() {
                let _ = child.kill();
                let _ = child.wait();
            }
        }
    }
}
