//! Runs the processes and faults of one seed and checks the observations.

use std::io;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::{Duration, Instant};

use rustix::process::Signal;
use standin::faults::Shared;
use standin::prepared::store::{Faults, Mode, StoreCopy};

use crate::callers::{self, CallerContext};
use crate::check::{
    Call, CallOutcome, Disturbance, Observations, ObservedVersion, RetryBudget, violations,
};
use crate::cluster::Cluster;
use crate::plan::{self, Fault, LinkState, ScheduledFault};

/// Interval at which due faults and exited instances are handled.
const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Polls between two queries of the instances' configuration versions.
const POLLS_PER_VERSION_CHECK: u32 = 4;
/// Time after the last fault until everything must be served again: an instance's grace
/// period and the store client's longest retry backoff, with a margin of some seconds.
const RECOVERY_TIME: Duration = Duration::from_secs(10);
/// Final part of the run, in which every call must succeed.
const SUCCESS_WINDOW: Duration = Duration::from_secs(2);
/// Time for the instances to discover each other and to read the store.
const STARTUP_TIME: Duration = Duration::from_secs(3);
/// Time after which no request may reach a target that is leaving.
const LEAVE_PROPAGATION_TIME: Duration = Duration::from_secs(2);
/// End of a disturbance that has not ended yet; later than any time in a run.
const OPEN_ENDED: Duration = Duration::from_secs(1 << 32);
/// Retry budget; must equal the one in the instances' settings.
const RETRY_BUDGET: RetryBudget = RetryBudget {
    ratio: 0.2,
    slack: 58.0,
    window: Duration::from_secs(10),
};

/// Options of a run.
#[derive(Debug, Clone)]
pub struct Options {
    /// Path of the program `wagtailsaddle`.
    pub program: PathBuf,
    /// Seed of the faults and of the callers.
    pub seed: u64,
    /// Duration of the fault injection, without startup and recovery.
    pub length: Duration,
    /// Number of instances.
    pub instances: usize,
    /// Number of targets.
    pub targets: usize,
    /// Number of concurrent callers.
    pub callers: usize,
    /// Whether the store also returns from copies, several times.
    pub restores: bool,
    /// Directory for the instances' logs if a check fails; they are dropped when `None`.
    pub logs: Option<PathBuf>,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            program: "target/release/wagtailsaddle".into(),
            seed: 1,
            length: Duration::from_secs(20),
            instances: 4,
            targets: 5,
            callers: 12,
            restores: false,
            logs: None,
        }
    }
}

/// Executes a run; returns the number of calls and the violations.
///
/// # Errors
/// The operating system's error when a process or server can't be started.
pub async fn run(options: &Options) -> io::Result<(usize, Vec<String>)> {
    let cluster = Cluster::start(&options.program, options.instances, options.targets).await?;
    tokio::time::sleep(STARTUP_TIME).await;
    let mut run = Run::new(cluster, options);
    let mut schedule = plan::draw(
        options.seed,
        options.length,
        options.instances,
        options.targets,
    );
    if options.restores {
        schedule.extend(plan::draw_restores(options.seed, options.length));
    }
    let callers: Vec<_> = (0..options.callers)
        .map(|index| {
            let caller = callers::run_caller(run.caller_context.clone(), index, options.seed);
            tokio::spawn(caller)
        })
        .collect();
    run.inject_faults(&schedule, options.length).await?;
    let mut found = run.recover().await?;
    run.caller_context.stop.set(true);
    for caller in callers {
        caller.await.map_err(io::Error::other)?;
    }
    let observations = run.observations();
    found.extend(violations(&observations, RETRY_BUDGET));
    if let Some(directory) = options.logs.as_ref().filter(|_| !found.is_empty()) {
        run.cluster.copy_logs(directory)?;
    }
    Ok((observations.calls.len(), found))
}

/// A run in progress.
struct Run {
    cluster: Cluster,
    caller_context: Arc<CallerContext>,
    disturbances: Vec<Disturbance>,
    versions: Vec<ObservedVersion>,
    /// Versions of the configuration, and when they were written.
    written: Vec<(Duration, u64)>,
    polls: u32,
    /// Copy of the store that it returns from at the end of a [`Fault::StoreRestored`].
    copy: Option<StoreCopy>,
}

impl Run {
    fn new(cluster: Cluster, options: &Options) -> Self {
        let instances = cluster.instances.iter().map(|instance| instance.ip);
        let caller_context = CallerContext {
            start: Instant::now(),
            instances: instances.collect(),
            version: Shared::default(),
            calls: Shared::default(),
            stop: Shared::default(),
        };
        caller_context.version.set(cluster.version);
        Self {
            written: vec![(Duration::ZERO, cluster.version)],
            cluster,
            caller_context: Arc::new(caller_context),
            disturbances: Vec::with_capacity(options.instances),
            versions: Vec::new(),
            polls: 0,
            copy: None,
        }
    }

    fn elapsed(&self) -> Duration {
        self.caller_context.start.elapsed()
    }

    /// Starts and ends each fault at its scheduled time.
    async fn inject_faults(
        &mut self,
        schedule: &[ScheduledFault],
        length: Duration,
    ) -> io::Result<()> {
        let mut started = vec![false; schedule.len()];
        let mut ended = vec![false; schedule.len()];
        while self.elapsed() < length {
            let now = self.elapsed();
            for (index, scheduled) in schedule.iter().enumerate() {
                if !started[index] && now >= scheduled.start {
                    started[index] = true;
                    self.begin(scheduled.fault);
                }
                if started[index] && !ended[index] && now >= scheduled.start + scheduled.duration {
                    ended[index] = true;
                    let is_active = |index: &usize| started[*index] && !ended[*index];
                    let active: Vec<Fault> = (0..schedule.len())
                        .filter(is_active)
                        .map(|index| schedule[index].fault)
                        .collect();
                    match plan::remaining_fault(scheduled.fault, &active) {
                        Some(Fault::Pause(_)) => {}
                        Some(fault) => self.begin(fault),
                        None => self.end(scheduled.fault),
                    }
                }
            }
            self.poll().await?;
        }
        Ok(())
    }

    fn begin(&mut self, fault: Fault) {
        match fault {
            Fault::Kill(index) => {
                self.begin_disturbance(index);
                self.cluster.instances[index].signal(Signal::KILL);
            }
            Fault::Terminate(index) => self.cluster.instances[index].signal(Signal::TERM),
            Fault::Pause(index) => {
                self.begin_disturbance(index);
                self.cluster.instances[index].signal(Signal::STOP);
            }
            Fault::StoreLink(index, link) => {
                self.cluster.instances[index].store_link.state.set(link);
            }
            Fault::TargetLink(index, link) => self.cluster.targets[index].1.state.set(link),
            Fault::StoreUnavailable => self.set_store(|faults| faults.mode = Mode::Refusing(503)),
            Fault::StoreLosesResponses => self.set_store(|faults| faults.lost_responses = 3),
            Fault::StoreCompacts => self.cluster.store.compact(),
            Fault::StoreRestored => self.copy = Some(self.cluster.store.copy()),
            Fault::Target(index, fault) => self.cluster.set_target_fault(index, Some(fault)),
            Fault::ChangeConfiguration => self.write_configuration(),
        }
    }

    fn write_configuration(&mut self) {
        let at = self.elapsed();
        self.cluster.write_configuration();
        self.written.push((at, self.cluster.version));
        self.caller_context.version.set(self.cluster.version);
    }

    fn end(&mut self, fault: Fault) {
        match fault {
            Fault::Pause(index) => {
                self.cluster.instances[index].signal(Signal::CONT);
                self.end_disturbances(index);
            }
            Fault::StoreLink(index, _) => self.cluster.instances[index]
                .store_link
                .state
                .set(LinkState::Open),
            Fault::TargetLink(index, _) => self.cluster.targets[index].1.state.set(LinkState::Open),
            Fault::StoreUnavailable => self.set_store(|faults| faults.mode = Mode::Serving),
            Fault::Target(index, _) => self.cluster.set_target_fault(index, None),
            Fault::StoreRestored => {
                if let Some(copy) = self.copy.take() {
                    self.cluster.store.restore(&copy);
                    self.cluster.write_again();
                }
            }
            _ => {}
        }
    }

    /// Changes the faults of the store.
    fn set_store(&self, change: impl FnOnce(&mut Faults)) {
        self.cluster.store.faults.change(change);
    }

    /// Records that an instance is disturbed from now on.
    fn begin_disturbance(&mut self, index: usize) {
        self.disturbances.push(Disturbance {
            instance: self.cluster.instances[index].ip,
            from: self.elapsed(),
            until: OPEN_ENDED,
        });
    }

    /// Records that an instance runs normally from now on.
    fn end_disturbances(&mut self, index: usize) {
        let (instance, now) = (self.cluster.instances[index].ip, self.elapsed());
        for disturbance in &mut self.disturbances {
            if disturbance.instance == instance {
                disturbance.until = disturbance.until.min(now);
            }
        }
    }

    /// Restarts exited instances and queries the versions at every few polls.
    async fn poll(&mut self) -> io::Result<()> {
        for index in 0..self.cluster.instances.len() {
            if self.cluster.instances[index].has_exited() {
                self.end_disturbances(index);
                self.cluster.spawn(index)?;
            }
        }
        self.polls += 1;
        if self.polls.is_multiple_of(POLLS_PER_VERSION_CHECK) {
            for index in 0..self.cluster.instances.len() {
                self.poll_version(index).await;
            }
        }
        tokio::time::sleep(POLL_INTERVAL).await;
        Ok(())
    }

    /// Records the configuration version in the state dump of an instance, if it responds.
    async fn poll_version(&mut self, index: usize) {
        let instance = &self.cluster.instances[index];
        let (ip, process) = (instance.ip, instance.processes);
        let fetching = tokio::time::timeout(
            POLL_INTERVAL,
            callers::get(instance.dump_address(), "/dump"),
        );
        let Ok(Some(dump)) = fetching.await else {
            return;
        };
        let dump: serde_json::Value = serde_json::from_str(&dump).unwrap_or_default();
        if let Some(version) = dump["standing"]["version"].as_u64() {
            self.versions.push(ObservedVersion {
                instance: ip,
                process,
                at: self.elapsed(),
                version,
            });
        }
    }

    /// Ends all faults, then marks a target as leaving and changes the configuration;
    /// afterwards every call must succeed.
    async fn recover(&mut self) -> io::Result<Vec<String>> {
        self.set_store(|faults| *faults = Faults::default());
        for index in 0..self.cluster.targets.len() {
            self.cluster.set_target_fault(index, None);
            self.cluster.targets[index].1.state.set(LinkState::Open);
        }
        for index in 0..self.cluster.instances.len() {
            self.cluster.instances[index]
                .store_link
                .state
                .set(LinkState::Open);
            self.cluster.instances[index].signal(Signal::CONT);
            self.end_disturbances(index);
        }
        self.poll_until(self.elapsed() + RECOVERY_TIME).await?;
        self.write_configuration();
        self.cluster.write_target_record(0, true);
        self.poll_until(self.elapsed() + LEAVE_PROPAGATION_TIME)
            .await?;
        let arrived = self.arrivals_at_leaving_target();
        let from = self.elapsed();
        self.poll_until(from + SUCCESS_WINDOW).await?;
        let mut found = Vec::new();
        if self.arrivals_at_leaving_target() > arrived {
            found.push("requests reached a target after it was marked as leaving".to_owned());
        }
        for instance in &self.cluster.instances {
            let latest_first = self.versions.iter().rev();
            let last = latest_first
                .clone()
                .find(|observed| observed.instance == instance.ip);
            if last.is_none_or(|observed| observed.version < self.cluster.version) {
                found.push(format!(
                    "{} does not have the latest configuration version",
                    instance.ip
                ));
            }
        }
        found.extend(
            self.caller_context
                .calls
                .get()
                .iter()
                .filter_map(|call| unserved_after_recovery(call, from, self.cluster.version)),
        );
        Ok(found)
    }

    async fn poll_until(&mut self, until: Duration) -> io::Result<()> {
        while self.elapsed() < until {
            self.poll().await?;
        }
        Ok(())
    }

    fn arrivals_at_leaving_target(&self) -> usize {
        self.cluster.targets[0].0.record.get().arrivals.len()
    }

    fn observations(&self) -> Observations {
        let mut observations = Observations {
            calls: self.caller_context.calls.get(),
            disturbances: self.disturbances.clone(),
            versions: self.versions.clone(),
            instances: self.cluster.instances.len(),
            written: self.written.clone(),
            duration: self.elapsed(),
            ..Observations::default()
        };
        for (target, _) in &self.cluster.targets {
            let record = target.record.get();
            for (id, count) in record.runs {
                *observations.runs.entry(id).or_default() += count;
            }
            for (id, count) in record.arrivals {
                *observations.arrivals.entry(id).or_default() += count;
            }
            for (id, names) in record.accounts {
                observations.accounts.entry(id).or_default().extend(names);
            }
            observations
                .with_authorization
                .extend(record.with_authorization);
        }
        observations
    }
}

/// Reports a call that was sent after the recovery and did not succeed, or had a key that
/// `version` does not have and was not rejected.
fn unserved_after_recovery(call: &Call, recovered_at: Duration, version: u64) -> Option<String> {
    let expected = if call.key.last < version { 401 } else { 200 };
    let is_expected =
        matches!(call.outcome, CallOutcome::Responded { status, .. } if status == expected);
    (call.sent >= recovered_at && !is_expected).then(|| {
        format!(
            "{} ended as {:?} after all faults had ended",
            call.id, call.outcome
        )
    })
}
