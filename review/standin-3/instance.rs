//! Entry instances as processes, with the command of the deploy file, each on a loopback address
//! of its own.

use std::fs::File;
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::Mutex;
use std::time::{Duration, Instant};

use crate::wire::Conn;

const FRONT: u16 = 8381;
const READY: u16 = 8388;
const CONTROL: u16 = 8382;
const DIRECTORY: u16 = 8383;
const PEERS: u16 = 7200;

/// Process ids of the instances that run.
static RUNNING: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Ends the case as one that couldn't run, with its instances, if it takes too long.
pub fn limit_time(limit: Duration) {
    std::thread::spawn(move || {
        std::thread::sleep(limit);
        for id in RUNNING.lock().unwrap().iter() {
            let _ = Command::new("kill").args(["-KILL", &id.to_string()]).status();
        }
        std::process::exit(2);
    });
}

/// A running instance; dropping it ends the process.
pub struct Instance {
    pub ip: IpAddr,
    child: Child,
}

/// What the settings of all instances have in common.
pub struct Site<'a> {
    /// Folder for settings and logs.
    pub dir: &'a Path,
    pub store: SocketAddr,
    pub contracts: &'a str,
    pub bounds: &'a str,
    pub zones: &'a [&'a str],
    pub region: &'a str,
    pub memory_mb: u32,
    /// Addresses of all instances.
    pub ips: &'a [IpAddr],
}

/// Loopback addresses whose ports are free, one for each instance.
pub fn free_addresses(count: usize) -> Vec<IpAddr> {
    let pid = std::process::id();
    let mut found = Vec::new();
    for number in 0..60_000u32 {
        let place = pid.wrapping_mul(7).wrapping_add(number);
        let ip = IpAddr::V4(Ipv4Addr::new(
            127,
            100 + (place / 250 % 100) as u8,
            (place / 25_000 % 200) as u8 + 1,
            (place % 250) as u8 + 2,
        ));
        let is_free = [FRONT, READY, CONTROL, DIRECTORY, PEERS, 9464]
            .iter()
            .all(|port| TcpListener::bind((ip, *port)).is_ok());
        if is_free && !found.contains(&ip) {
            found.push(ip);
        }
        if found.len() == count {
            break;
        }
    }
    found
}

impl Instance {
    pub fn start(site: &Site<'_>, number: usize) -> Option<Self> {
        let ip = site.ips[number];
        let zone = site.zones[number % site.zones.len()];
        let name = format!("edge-{zone}-{}", number / site.zones.len() + 1);
        let zones: Vec<String> = site
            .zones
            .iter()
            .map(|zone| format!("\"{zone}\":\"{}\"", site.region))
            .collect();
        let seeds: Vec<String> = site
            .ips
            .iter()
            .take(3)
            .map(|ip| format!("\"{ip}:{CONTROL}\""))
            .collect();
        let settings = format!(
            r#"{{
  "node_name": "{name}", "role": "entry", "machine_class": "edge",
  "serves": ["edge", "control", "directory"], "ip": "{ip}", "zone": "{zone}",
  "region": "{region}", "zones": {{{zones}}},
  "listen": {{"front": "{ip}:{FRONT}", "ready": "{ip}:{READY}", "control": "{ip}:{CONTROL}",
    "directory": "{ip}:{DIRECTORY}"}},
  "port_range": [{PEERS}, 7215], "seeds": [{seeds}], "bootstrap": true, "in_tolerance": false,
  "limits": {{"cpu_share": 0.2, "cores": 1, "memory_mb": {memory}, "max_fds": 4100,
    "link_mbps": 1000.0, "disk_mb": 0}},
  "data_dir": null, "discovery": "platform", "entry_point": "directory", "heartbeat_ms": 1500,
  "contracts": {contracts},
  "fault_tolerance": {{"machines": 2, "zones": 1, "regions": 0}},
  "bounds": {bounds},
  "platform": {{"address": "{store}", "form": "kv", "writes_per_s": 400, "reads_per_s": 2000,
    "history_s": 20, "value_bytes": 1048576, "ttl_min_ms": 1000}}
}}"#,
            region = site.region,
            zones = zones.join(","),
            seeds = seeds.join(","),
            memory = site.memory_mb,
            contracts = site.contracts,
            bounds = site.bounds,
            store = site.store,
        );
        let path: PathBuf = site.dir.join(format!("{name}.json"));
        std::fs::write(&path, settings).ok()?;
        let log = File::create(site.dir.join(format!("{name}.log"))).ok()?;
        let errors = log.try_clone().ok()?;
        let child = Command::new("target/release/wagtailsaddle")
            .args(["entry", "--metrics-port", "9464"])
            .env("WAGTAILSADDLE_SETTINGS", &path)
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(errors)
            .spawn()
            .ok()?;
        RUNNING.lock().unwrap().push(child.id());
        Some(Self { ip, child })
    }

    pub fn front(&self) -> SocketAddr {
        SocketAddr::new(self.ip, FRONT)
    }

    /// Whether the readiness check succeeds.
    pub fn is_ready(&self) -> bool {
        let Some(mut conn) = Conn::connect(SocketAddr::new(self.ip, READY)) else {
            return false;
        };
        let _ = conn.stream.set_read_timeout(Some(Duration::from_secs(1)));
        conn.send(b"GET /api/readiness HTTP/1.1\r\nHost: ready\r\n\r\n");
        conn.read_message()
            .is_some_and(|message| message.status() == 200)
    }

    pub fn wait_until_ready(&self) -> bool {
        let end = Instant::now() + Duration::from_secs(20);
        while Instant::now() < end {
            if self.is_ready() {
                return true;
            }
            std::thread::sleep(Duration::from_millis(50));
        }
        false
    }

    /// Sends a signal by its name, as `kill` takes it.
    pub fn signal(&self, name: &str) {
        let _ = Command::new("kill")
            .args([&format!("-{name}"), &self.child.id().to_string()])
            .status();
    }

    /// Whether the process has ended.
    pub fn has_ended(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(Some(_)))
    }
}

impl Drop for Instance {
    fn drop(&mut self) {
        RUNNING.lock().unwrap().retain(|id| *id != self.child.id());
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}
