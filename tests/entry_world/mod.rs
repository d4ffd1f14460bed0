//! A few entry instances on loopback addresses of their own, and what surrounds them.

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
use standin::prepared::store::StoreStandin;
use standin::prepared::target::{Behaviour, TargetStandin};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// Port of the metrics of every instance; each has an address of its own.
const METRICS: u16 = 9464;
/// Longest wait for anything; only a fault takes as long.
const LIMIT: Duration = Duration::from_secs(30);
/// Time between two looks at something that is waited for.
const LOOK: Duration = Duration::from_millis(20);
/// Version of the first configuration.
const FIRST_VERSION: u64 = 7;

/// Addresses handed out in this process; the process id tells processes apart.
static NEXT: AtomicU8 = AtomicU8::new(1);

struct Instance {
    ip: IpAddr,
    settings: PathBuf,
    child: Option<Child>,
    log: Arc<Mutex<String>>,
}

/// The instances, the store and the targets.
pub struct World {
    pub store: StoreStandin,
    targets: Vec<TargetStandin>,
    instances: Vec<Instance>,
    folder: tempfile::TempDir,
}

/// A whole answer.
#[derive(Debug)]
pub struct Answer {
    pub status: u16,
    pub headers: Vec<(String, String)>,
    pub body: String,
}

impl Answer {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(known, _)| known == name)?;
        Some(&found.1)
    }
}

impl World {
    /// Instances and targets that know each other and a first configuration.
    pub async fn start(instances: usize, targets: usize) -> Self {
        let mut world = Self::empty(instances).await;
        for number in 0..targets {
            let target = TargetStandin::start(&format!("t{number}"), "s")
                .await
                .unwrap();
            world.targets.push(target);
            world.put_target(number, false);
        }
        world.configure(FIRST_VERSION, &["/safe/", "/once/"]);
        for instance in 0..instances {
            world.until_version(instance, FIRST_VERSION).await;
            world.until_targets(instance, targets).await;
            world.until_directory(instance, instances).await;
        }
        world
    }

    /// Instances before an empty store.
    pub async fn empty(instances: usize) -> Self {
        let folder = tempfile::tempdir().unwrap();
        let mut world = Self {
            store: StoreStandin::start().await.unwrap(),
            targets: Vec::new(),
            instances: Vec::new(),
            folder,
        };
        for number in 0..instances {
            let pid = std::process::id();
            let own = NEXT.fetch_add(1, Ordering::Relaxed);
            let [_, _, high, low] = pid.to_be_bytes();
            let ip = IpAddr::V4(Ipv4Addr::new(127, high.max(1), low, own));
            let settings = world.folder.path().join(format!("{number}.json"));
            let text = entry_settings(number, ip, world.store.address());
            std::fs::write(&settings, text).unwrap();
            world.instances.push(Instance {
                ip,
                settings,
                child: None,
                log: Arc::default(),
            });
            world.launch(number);
        }
        for number in 0..instances {
            world.until(|| world.dump(number), |_| true).await;
        }
        world
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
        let mut lines = child.stdout.take().unwrap();
        let log = instance.log.clone();
        std::thread::spawn(move || {
            let mut buf = [0; 4096];
            while let Ok(count) = lines.read(&mut buf) {
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

    pub fn kill(&mut self, number: usize) {
        let mut child = self.instances[number].child.take().unwrap();
        child.kill().unwrap();
        child.wait().unwrap();
    }

    pub fn stop(&self, number: usize) {
        self.signal(number, Signal::TERM);
    }

    pub fn hang_up(&self, number: usize) {
        self.signal(number, Signal::HUP);
    }

    fn signal(&self, number: usize, signal: Signal) {
        let child = self.instances[number].child.as_ref().unwrap();
        let pid = Pid::from_raw(i32::try_from(child.id()).unwrap()).unwrap();
        kill_process(pid, signal).unwrap();
    }

    /// Waits for the end of a process.
    pub fn wait(&mut self, number: usize) -> ExitStatus {
        self.instances[number].child.take().unwrap().wait().unwrap()
    }

    /// Writes a configuration with these prefixes; `/once/` may not be repeated.
    pub fn configure(&self, version: u64, prefixes: &[&str]) {
        self.put_configuration(version, prefixes, 2000);
    }

    /// Writes a configuration with another timeout of its routes.
    pub fn configure_timeout(&self, version: u64, timeout_ms: u64) {
        self.put_configuration(version, &["/safe/", "/once/"], timeout_ms);
    }

    fn put_configuration(&self, version: u64, prefixes: &[&str], timeout_ms: u64) {
        let configuration = configuration(version, prefixes, timeout_ms);
        self.store.put("op/config", configuration.as_bytes());
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

    pub fn behave(&self, behaviour: Behaviour) {
        for target in &self.targets {
            target.state.change(|state| state.behaviour = behaviour);
        }
    }

    pub fn work(&self, work: Duration) {
        for target in &self.targets {
            target.state.change(|state| state.work = work);
        }
    }

    /// How often a request ran, over all targets.
    pub fn runs(&self, id: &str) -> u32 {
        self.targets
            .iter()
            .map(|target| {
                let record = target.record.get();
                record.runs.get(id).copied().unwrap_or(0)
            })
            .sum()
    }

    /// The deadline that the last request to the first target came with.
    pub fn last_deadline_ms(&self) -> u64 {
        self.targets[0].record.get().last_deadline_ms
    }

    /// Requests that targets ran to their end.
    pub fn finished(&self) -> u32 {
        let finished = self
            .targets
            .iter()
            .map(|target| target.record.get().finished);
        finished.sum()
    }

    pub async fn until_running(&self, id: &str) {
        self.until(|| async { Some(self.runs(id)) }, |runs| *runs > 0)
            .await;
    }

    pub async fn get(&self, instance: usize, path: &str, id: &str) -> Answer {
        self.request(instance, path, id).await
    }

    /// A request that lives on without the world.
    pub fn request(
        &self,
        instance: usize,
        path: &str,
        id: &str,
    ) -> impl Future<Output = Answer> + Send + use<> {
        let address = SocketAddr::new(self.instances[instance].ip, CALLER_PORT);
        let req = format!(
            "GET {path} HTTP/1.1\r\nhost: x.example\r\nx-request-id: {id}\r\n\
             x-deadline-ms: 2000\r\n\r\n"
        );
        async move {
            let answer = tokio::time::timeout(LIMIT, ask(address, req)).await;
            answer.unwrap().unwrap()
        }
    }

    pub async fn readiness(&self, instance: usize) -> u16 {
        let address = SocketAddr::new(self.instances[instance].ip, READINESS_PORT);
        let req = "GET /api/readiness HTTP/1.1\r\nhost: x\r\n\r\n".to_owned();
        ask(address, req).await.unwrap().status
    }

    async fn dump(&self, instance: usize) -> Option<Value> {
        let address = SocketAddr::new(self.instances[instance].ip, METRICS);
        let req = "GET /dump HTTP/1.1\r\nhost: x\r\n\r\n".to_owned();
        serde_json::from_str(&ask(address, req).await?.body).ok()
    }

    async fn directory(&self, instance: usize) -> Option<usize> {
        let address = SocketAddr::new(self.instances[instance].ip, DIRECTORY_PORT);
        let req = "GET /api/resolve?name=x.example&zone=a HTTP/1.1\r\nhost: x\r\n\r\n".to_owned();
        let answer = ask(address, req).await?;
        let body: Value = serde_json::from_str(&answer.body).ok()?;
        Some(body["addresses"].as_array()?.len())
    }

    pub async fn until_version(&self, instance: usize, version: u64) {
        let has = |dump: &Value| dump["standing"]["version"].as_u64() >= Some(version);
        self.until(|| self.dump(instance), has).await;
    }

    /// Waits until an instance knows this many targets that stay.
    pub async fn until_targets(&self, instance: usize, count: usize) {
        let has = |dump: &Value| {
            let targets = dump["targets"].as_array().cloned().unwrap_or_default();
            targets
                .iter()
                .filter(|target| target["leaving"] == false)
                .count()
                == count
        };
        self.until(|| self.dump(instance), has).await;
    }

    pub async fn until_directory(&self, instance: usize, count: usize) {
        self.until(|| self.directory(instance), |known| *known == count)
            .await;
    }

    /// Waits until this many instances watch the store.
    pub async fn until_watching(&self, count: usize) {
        let watching = || async {
            let mut watching = 0;
            for instance in 0..self.instances.len() {
                let dump = self.dump(instance).await?;
                watching += usize::from(dump["standing"]["store"] == "watching");
            }
            Some(watching)
        };
        self.until(watching, |known| *known == count).await;
    }

    pub async fn until_logged(&self, instance: usize, text: &str, times: usize) {
        let log = &self.instances[instance].log;
        let count = || async { Some(log.lock().unwrap().matches(text).count()) };
        self.until(count, |count| *count >= times).await;
    }

    pub fn rewrite_settings(&self, instance: usize, from: &str, to: &str) {
        let path = &self.instances[instance].settings;
        let text = std::fs::read_to_string(path).unwrap();
        assert!(text.contains(from), "{text}");
        std::fs::write(path, text.replace(from, to)).unwrap();
    }

    async fn until<T, F: Future<Output = Option<T>>>(
        &self,
        look: impl Fn() -> F,
        holds: impl Fn(&T) -> bool,
    ) {
        let looking = async {
            loop {
                if look().await.is_some_and(|seen| holds(&seen)) {
                    return;
                }
                tokio::time::sleep(LOOK).await;
            }
        };
        let waited = tokio::time::timeout(LIMIT, looking).await;
        if waited.is_err() {
            self.print_logs();
            panic!("waited in vain");
        }
    }

    pub fn print_logs(&self) {
        for instance in &self.instances {
            println!("{} {}", instance.ip, instance.log.lock().unwrap());
        }
    }
}

impl Drop for World {
    fn drop(&mut self) {
        for instance in &mut self.instances {
            if let Some(mut child) = instance.child.take() {
                let _ = child.kill();
                let _ = child.wait();
            }
        }
    }
}

async fn ask(address: SocketAddr, req: String) -> Option<Answer> {
    let mut stream = TcpStream::connect(address).await.ok()?;
    stream.write_all(req.as_bytes()).await.ok()?;
    let mut buf = Vec::new();
    loop {
        if let Some(answer) = parse(&buf) {
            return Some(answer);
        }
        if stream.read_buf(&mut buf).await.ok()? == 0 {
            return parse(&buf);
        }
    }
}

/// Reads an answer that states its length.
fn parse(buf: &[u8]) -> Option<Answer> {
    let text = String::from_utf8_lossy(buf);
    let (head, body) = text.split_once("\r\n\r\n")?;
    let mut lines = head.lines();
    let status = lines.next()?.split(' ').nth(1)?.parse().ok()?;
    let headers: Vec<(String, String)> = lines
        .filter_map(|line| line.split_once(": "))
        .map(|(name, value)| (name.to_ascii_lowercase(), value.to_owned()))
        .collect();
    let length = headers.iter().find(|(name, _)| name == "content-length")?;
    let length: usize = length.1.parse().ok()?;
    let body = body.get(..length)?.to_owned();
    Some(Answer {
        status,
        headers,
        body,
    })
}
