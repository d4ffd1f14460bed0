//! The processes of a run: instances, targets, the store and the links between them.

use std::io;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU8, Ordering};
use std::time::Duration;

use rustix::process::{Pid, Signal, kill_process};
use standin::prepared::settings::{AccountRow, configuration_with_accounts, entry_settings};
use standin::prepared::store::StoreStandin;
use standin::prepared::target::{Behaviour, TargetStandin};

use crate::check::CallKey;
use crate::plan::TargetFault;
use crate::proxy::Proxy;

/// Routes that no caller uses, in every third version of the configuration: enough to make
/// it a large response between instances.
const SPARE_ROUTES: usize = 600;
/// Timeout of the routes, in milliseconds; longer than the callers' deadline.
const ROUTE_TIMEOUT_MS: u64 = 3000;
/// Processing time of a request.
const WORK: Duration = Duration::from_millis(10);

/// Account with one key in all versions.
pub(crate) const STEADY_ACCOUNT: &str = "steady";
/// Account of the caller that makes no pauses.
pub(crate) const HOT_ACCOUNT: &str = "hot";
/// Account with a new key in each version.
pub(crate) const ROTATING_ACCOUNT: &str = "rotating";

/// Last byte of the next address; the process id in the middle bytes keeps concurrent
/// runs apart.
static NEXT_HOST: AtomicU8 = AtomicU8::new(128);

/// One entry instance and its process.
#[derive(Debug)]
pub(crate) struct Instance {
    /// Address of the instance.
    pub ip: IpAddr,
    /// Proxy between the instance and the store.
    pub store_link: Proxy,
    /// Running process; `None` after it has exited.
    pub child: Option<Child>,
    /// Number of processes started so far.
    pub processes: usize,
    settings: PathBuf,
    log: PathBuf,
}

/// All processes of a run.
#[derive(Debug)]
pub(crate) struct Cluster {
    /// Store that instances and targets use.
    pub store: StoreStandin,
    /// Targets, each with the proxy in front of it.
    pub targets: Vec<(TargetStandin, Proxy)>,
    /// Entry instances.
    pub instances: Vec<Instance>,
    /// Latest version of the configuration.
    pub version: u64,
    program: PathBuf,
    directory: tempfile::TempDir,
}

impl Cluster {
    /// Starts all processes; instances log to files in a temporary directory.
    pub(crate) async fn start(
        program: &Path,
        instances: usize,
        targets: usize,
    ) -> io::Result<Self> {
        let mut cluster = Self {
            store: StoreStandin::start().await?,
            targets: Vec::new(),
            instances: Vec::new(),
            version: 0,
            program: program.to_owned(),
            directory: tempfile::tempdir()?,
        };
        for index in 0..targets {
            let target = TargetStandin::start(&format!("t{index}"), "s").await?;
            target.state.change(|state| state.work = WORK);
            let link = Proxy::start(target.address()).await?;
            cluster.targets.push((target, link));
            cluster.write_target_record(index, false);
        }
        cluster.write_configuration();
        for index in 0..instances {
            let instance = cluster.create_instance(index).await?;
            cluster.instances.push(instance);
            cluster.spawn(index)?;
        }
        Ok(cluster)
    }

    async fn create_instance(&self, index: usize) -> io::Result<Instance> {
        let [_, _, high, low] = std::process::id().to_be_bytes();
        let host = NEXT_HOST.fetch_add(1, Ordering::Relaxed);
        let ip = IpAddr::V4(Ipv4Addr::new(127, high.max(1), low, host));
        let store_link = Proxy::start(self.store.address()).await?;
        let settings = self.directory.path().join(format!("{index}.json"));
        std::fs::write(&settings, entry_settings(index, ip, store_link.address))?;
        Ok(Instance {
            ip,
            store_link,
            child: None,
            processes: 0,
            settings,
            log: self.directory.path().join(format!("{index}.log")),
        })
    }

    /// Starts the process of an instance.
    pub(crate) fn spawn(&mut self, index: usize) -> io::Result<()> {
        let instance = &mut self.instances[index];
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
    pub(crate) fn write_configuration(&mut self) {
        self.version += 1;
        self.put_configuration();
    }

    /// Writes the configuration and the targets' records again.
    pub(crate) fn write_again(&self) {
        self.put_configuration();
        for index in 0..self.targets.len() {
            self.write_target_record(index, false);
        }
    }

    fn put_configuration(&self) {
        let account = |name: &str, keys: &[CallKey]| AccountRow {
            name: name.into(),
            keys: keys.iter().map(|key| key.text.clone()).collect(),
            ..AccountRow::default()
        };
        let rotating = [self.version, self.version + 1];
        let rotating = rotating.map(|number| rotating_key(ROTATING_ACCOUNT, number));
        let spare_count = if self.version.is_multiple_of(3) {
            SPARE_ROUTES
        } else {
            0
        };
        let spare: Vec<String> = (0..spare_count)
            .map(|number| format!("/spare-{number}/"))
            .collect();
        let mut prefixes = vec!["/safe/", "/once/", "/upload/"];
        prefixes.extend(spare.iter().map(String::as_str));
        let text = configuration_with_accounts(
            self.version,
            &prefixes,
            ROUTE_TIMEOUT_MS,
            &[
                account(STEADY_ACCOUNT, &[lasting_key(STEADY_ACCOUNT)]),
                account(HOT_ACCOUNT, &[lasting_key(HOT_ACCOUNT)]),
                account(ROTATING_ACCOUNT, &rotating),
            ],
        );
        self.store.put("op/config", text.as_bytes());
    }

    /// Writes a target's record with the address of its proxy.
    pub(crate) fn write_target_record(&self, index: usize, leaving: bool) {
        let (target, link) = &self.targets[index];
        let record = String::from_utf8_lossy(&target.target_record("a", leaving))
            .replace(&target.address().to_string(), &link.address.to_string());
        let key = format!("servers/{}", target.id);
        self.store.put(&key, record.as_bytes());
    }

    /// Sets or clears the fault of a target.
    pub(crate) fn set_target_fault(&self, index: usize, fault: Option<TargetFault>) {
        let behaviour = match fault {
            None | Some(TargetFault::Slow) => Behaviour::Serving,
            Some(TargetFault::Shed) => Behaviour::Shedding,
            Some(TargetFault::Fail) => Behaviour::Failing,
            Some(TargetFault::Disconnect) => Behaviour::Losing,
            Some(TargetFault::OmitProof) => Behaviour::Unproven,
        };
        let factor = if fault == Some(TargetFault::Slow) {
            7
        } else {
            1
        };
        self.targets[index].0.state.change(|state| {
            state.behaviour = behaviour;
            state.work = WORK * factor;
            state.slowness_percent = 100 * factor;
        });
    }

    /// Copies the instances' log files to `directory`.
    pub(crate) fn copy_logs(&self, directory: &Path) -> io::Result<()> {
        std::fs::create_dir_all(directory)?;
        for instance in &self.instances {
            let name = instance.log.file_name().unwrap_or_default();
            std::fs::copy(&instance.log, directory.join(name))?;
        }
        Ok(())
    }
}

/// The key of an account that has it in all versions.
pub(crate) fn lasting_key(account: &'static str) -> CallKey {
    CallKey {
        account,
        text: format!("{account}-key"),
        first: 0,
        last: u64::MAX,
    }
}

/// The key of an account that has a new one in each version. It is added one version
/// early, and withdrawn by the next.
pub(crate) fn rotating_key(account: &'static str, version: u64) -> CallKey {
    CallKey {
        account,
        text: format!("{account}-key-{version}"),
        first: version.saturating_sub(1),
        last: version,
    }
}

impl Instance {
    /// Sends a signal to the process if one is running.
    pub(crate) fn signal(&self, signal: Signal) {
        let id = self
            .child
            .as_ref()
            .and_then(|child| i32::try_from(child.id()).ok());
        if let Some(pid) = id.and_then(Pid::from_raw) {
            // Fails if the process has just exited; then it is started again.
            let _ = kill_process(pid, signal);
        }
    }

    /// Returns whether the process has exited, and clears `child` if so.
    pub(crate) fn has_exited(&mut self) -> bool {
        let ended = match &mut self.child {
            Some(child) => matches!(child.try_wait(), Ok(Some(_)) | Err(_)),
            None => true,
        };
        if ended {
            self.child = None;
        }
        ended
    }

    /// Address of the state dump.
    pub(crate) fn dump_address(&self) -> SocketAddr {
        SocketAddr::new(self.ip, 9464)
    }
}

impl Drop for Instance {
    fn drop(&mut self) {
        if let Some(mut child) = self.child.take() {
            // SIGKILL also ends a paused process.
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}
