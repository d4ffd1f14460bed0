//! The processes of a run: instances, targets, the store and the ways between them.

use std::io;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU8, Ordering};
use std::time::Duration;

use rustix::process::{Pid, Signal, kill_process};
use standin::prepared::settings::{configuration, entry_settings};
use standin::prepared::store::StoreStandin;
use standin::prepared::target::{Behaviour, TargetStandin};

use crate::plan::Targets;
use crate::proxy::Proxy;

/// Timeout of the routes, in milliseconds; above the callers' deadline.
const ROUTE_TIMEOUT_MS: u64 = 3000;
/// Time that a target works on a request.
const WORK: Duration = Duration::from_millis(10);

/// Addresses handed out in this process; the process id tells processes apart.
static NEXT: AtomicU8 = AtomicU8::new(128);

/// One instance.
#[derive(Debug)]
pub(crate) struct Instance {
    /// Its address.
    pub ip: IpAddr,
    /// Its way to the store.
    pub store_way: Proxy,
    /// Its running process.
    pub child: Option<Child>,
    /// How many processes it has had.
    pub processes: usize,
    settings: PathBuf,
    log: PathBuf,
}

/// The whole.
#[derive(Debug)]
pub(crate) struct World {
    /// The store.
    pub store: StoreStandin,
    /// The targets, each with the way to it.
    pub targets: Vec<(TargetStandin, Proxy)>,
    /// The instances.
    pub instances: Vec<Instance>,
    /// The newest version of the configuration.
    pub version: u64,
    program: PathBuf,
    folder: tempfile::TempDir,
}

impl World {
    /// Starts everything; instances log into files of a folder of its own.
    pub(crate) async fn start(
        program: &Path,
        instances: usize,
        targets: usize,
    ) -> io::Result<Self> {
        let mut world = Self {
            store: StoreStandin::start().await?,
            targets: Vec::new(),
            instances: Vec::new(),
            version: 0,
            program: program.to_owned(),
            folder: tempfile::tempdir()?,
        };
        for number in 0..targets {
            let target = TargetStandin::start(&format!("t{number}"), "s").await?;
            target.state.change(|state| state.work = WORK);
            let way = Proxy::start(target.address()).await?;
            world.targets.push((target, way));
            world.put_target(number, false);
        }
        world.configure();
        for number in 0..instances {
            let instance = world.prepare(number).await?;
            world.instances.push(instance);
            world.launch(number)?;
        }
        Ok(world)
    }

    async fn prepare(&self, number: usize) -> io::Result<Instance> {
        let [_, _, high, low] = std::process::id().to_be_bytes();
        let own = NEXT.fetch_add(1, Ordering::Relaxed);
        let ip = IpAddr::V4(Ipv4Addr::new(127, high.max(1), low, own));
        let store_way = Proxy::start(self.store.address()).await?;
        let settings = self.folder.path().join(format!("{number}.json"));
        std::fs::write(&settings, entry_settings(number, ip, store_way.address))?;
        Ok(Instance {
            ip,
            store_way,
            child: None,
            processes: 0,
            settings,
            log: self.folder.path().join(format!("{number}.log")),
        })
    }

    /// Starts the process of an instance.
    pub(crate) fn launch(&mut self, number: usize) -> io::Result<()> {
        let instance = &mut self.instances[number];
        let log = std::fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(&instance.log)?;
        let child = Command::new(&self.program)
            .arg("entry")
            .env("WAGTAILSADDLE_SETTINGS", &instance.settings)
            .stdout(Stdio::from(log))
            .spawn()?;
        instance.child = Some(child);
        instance.processes += 1;
        Ok(())
    }

    /// Writes the next version of the configuration.
    pub(crate) fn configure(&mut self) {
        self.version += 1;
        let text = configuration(self.version, &["/safe/", "/once/"], ROUTE_TIMEOUT_MS);
        self.store.put("op/config", text.as_bytes());
    }

    /// Writes a target's entry, with the address of the way to it.
    pub(crate) fn put_target(&self, number: usize, leaving: bool) {
        let (target, way) = &self.targets[number];
        let entry = String::from_utf8_lossy(&target.target_record("a", leaving))
            .replace(&target.address().to_string(), &way.address.to_string());
        let key = format!("servers/{}", target.id);
        self.store.put(&key, entry.as_bytes());
    }

    /// Makes a target misbehave, or serve again.
    pub(crate) fn behave(&self, number: usize, how: Option<Targets>) {
        let behaviour = match how {
            None | Some(Targets::Slow) => Behaviour::Serving,
            Some(Targets::Shed) => Behaviour::Shedding,
            Some(Targets::Fail) => Behaviour::Failing,
            Some(Targets::Lose) => Behaviour::Disconnecting,
            Some(Targets::Spoil) => Behaviour::Unproven,
        };
        let slowness = if how == Some(Targets::Slow) { 7 } else { 1 };
        self.targets[number].0.state.change(|state| {
            state.behaviour = behaviour;
            state.work = WORK * slowness;
            state.slowness_percent = 100 * slowness;
        });
    }

    /// Keeps what the instances logged.
    pub(crate) fn keep_logs(&self, folder: &Path) -> io::Result<()> {
        std::fs::create_dir_all(folder)?;
        for instance in &self.instances {
            let name = instance.log.file_name().unwrap_or_default();
            std::fs::copy(&instance.log, folder.join(name))?;
        }
        Ok(())
    }
}

impl Instance {
    /// Sends a signal to its process, if one runs.
    pub(crate) fn signal(&self, signal: Signal) {
        let id = self
            .child
            .as_ref()
            .and_then(|child| i32::try_from(child.id()).ok());
        if let Some(pid) = id.and_then(Pid::from_raw) {
            // A process that has just ended can't be signalled; it is started again.
            let _ = kill_process(pid, signal);
        }
    }

    /// Whether its process has ended; then it is forgotten.
    pub(crate) fn has_ended(&mut self) -> bool {
        let ended = match &mut self.child {
            Some(child) => matches!(child.try_wait(), Ok(Some(_)) | Err(_)),
            None => true,
        };
        if ended {
            self.child = None;
        }
        ended
    }

    /// Where its dump is.
    pub(crate) fn dump(&self) -> SocketAddr {
        SocketAddr::new(self.ip, 9464)
    }
}

impl Drop for Instance {
    fn drop(&mut self) {
        if let Some(mut child) = self.child.take() {
            // One that stands still ends by SIGKILL too.
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}
