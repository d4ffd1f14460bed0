//! Child processes of the bench, and their resource usage.

use std::io::{BufRead, BufReader, Write};
use std::path::PathBuf;
use std::process::{Child, ChildStdin, ChildStdout, Command, Stdio};
use std::time::Duration;

use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::Error;

/// Size of a memory page, the unit of `/proc/*/statm`.
const PAGE_BYTES: u64 = 4096;
const SERVER_EXECUTABLE: &str = "wagtailsaddle";

/// Child process that exchanges lines of JSON with the bench over standard input and
/// output. It is killed when dropped.
#[derive(Debug)]
pub(crate) struct Process {
    child: Child,
    stdin: Option<ChildStdin>,
    stdout: BufReader<ChildStdout>,
}

/// Resource usage of a process.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Usage {
    /// Processor time since the process started.
    pub(crate) cpu: Duration,
    /// Current resident memory in bytes.
    pub(crate) resident: u64,
}

impl Usage {
    /// Processor time used since `earlier`, and the current memory.
    pub(crate) fn since(self, earlier: Self) -> Self {
        Self {
            cpu: self.cpu.saturating_sub(earlier.cpu),
            resident: self.resident,
        }
    }
}

impl Process {
    /// Starts another process of this executable in the role `name`.
    pub(crate) fn spawn_role(name: &str) -> Result<Self, Error> {
        let mut command = Command::new(std::env::current_exe()?);
        command.arg("role").arg(name);
        Self::spawn(command)
    }

    /// Starts `wagtailsaddle serve` from the directory of this executable.
    pub(crate) fn spawn_server(settings: &std::path::Path) -> Result<Self, Error> {
        let mut command = Command::new(server_path()?);
        command.arg("serve").arg("--settings").arg(settings);
        command.stderr(Stdio::null());
        Self::spawn(command)
    }

    fn spawn(mut command: Command) -> Result<Self, Error> {
        let mut child = command
            .stdin(Stdio::piped())
            .stdout(Stdio::piped())
            .spawn()?;
        let stdin = child.stdin.take();
        let stdout = child
            .stdout
            .take()
            .ok_or("the child process has no standard output")?;
        Ok(Self {
            child,
            stdin,
            stdout: BufReader::new(stdout),
        })
    }

    pub(crate) fn id(&self) -> u32 {
        self.child.id()
    }

    /// Sends one line and reads the response line.
    pub(crate) fn request<R: DeserializeOwned>(
        &mut self,
        msg: &impl Serialize,
    ) -> Result<R, Error> {
        let stdin = self
            .stdin
            .as_mut()
            .ok_or("the child process has no standard input")?;
        let mut line = serde_json::to_string(msg)?;
        line.push('\n');
        stdin.write_all(line.as_bytes())?;
        stdin.flush()?;
        self.read()
    }

    /// Reads one line of the child's output.
    pub(crate) fn read<R: DeserializeOwned>(&mut self) -> Result<R, Error> {
        let mut line = String::new();
        self.stdout.read_line(&mut line)?;
        if line.is_empty() {
            return Err("a child process exited early; start it by hand to see its output".into());
        }
        Ok(serde_json::from_str(&line)?)
    }

    /// Resource usage of the process.
    pub(crate) fn usage(&self) -> Usage {
        usage(self.id())
    }

    /// Kills the process and waits until it has ended.
    pub(crate) fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Sends a signal by name, such as `STOP`.
    pub(crate) fn signal(&self, name: &str) -> Result<(), Error> {
        let status = Command::new("kill")
            .arg(format!("-{name}"))
            .arg(self.id().to_string())
            .status()?;
        if status.success() {
            return Ok(());
        }
        Err(format!("failed to send signal {name}").into())
    }

    pub(crate) fn has_exited(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(Some(_)))
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Path of the load balancer's executable, beside this one.
pub(crate) fn server_path() -> Result<PathBuf, Error> {
    let bench = std::env::current_exe()?;
    let path = bench.with_file_name(SERVER_EXECUTABLE);
    if path.is_file() {
        return Ok(path);
    }
    Err(format!(
        "{SERVER_EXECUTABLE} is not beside {}; build the whole workspace in the same profile first",
        bench.display()
    )
    .into())
}

/// Resource usage of the process `id`, with processor time summed over its threads.
pub(crate) fn usage(id: u32) -> Usage {
    let pages = std::fs::read_to_string(format!("/proc/{id}/statm"))
        .ok()
        .and_then(|text| text.split_whitespace().nth(1)?.parse::<u64>().ok());
    Usage {
        cpu: Duration::from_nanos(thread_times(id).into_iter().sum()),
        resident: pages.unwrap_or(0) * PAGE_BYTES,
    }
}

fn thread_times(id: u32) -> Vec<u64> {
    let Ok(threads) = std::fs::read_dir(format!("/proc/{id}/task")) else {
        return Vec::new();
    };
    threads
        .flatten()
        .filter_map(|thread| {
            let text = std::fs::read_to_string(thread.path().join("schedstat")).ok()?;
            text.split_whitespace().next()?.parse().ok()
        })
        .collect()
}

/// Bytes that the loopback device has received since the machine started.
pub(crate) fn loopback_bytes() -> u64 {
    std::fs::read_to_string("/proc/net/dev")
        .ok()
        .and_then(|text| {
            let line = text
                .lines()
                .find_map(|line| line.trim().strip_prefix("lo:"))?;
            line.split_whitespace().next()?.parse().ok()
        })
        .unwrap_or(0)
}
