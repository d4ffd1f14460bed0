//! Helpers of the integration tests: instances as real processes, resources and an HTTP client.
//! They panic where a test can't go on.

pub mod search;

use std::future::Future;
use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::{Method, Request, Response};
use http_body_util::{BodyExt, Full};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use serde_json::{Value, json};
use standin::platform::{Platform, TargetGroup};
use wagtailsaddle::server::Announcement;

/// Longest wait for a condition in a test.
pub const WAIT_LIMIT: Duration = Duration::from_secs(30);
/// Time between two checks of a condition that a test waits for.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// A running instance; dropping it kills the process.
pub struct Instance {
    /// Addresses that it listens on.
    pub addresses: Announcement,
    /// Its process.
    pub process: Child,
}

impl Drop for Instance {
    fn drop(&mut self) {
        let _ = self.process.kill();
        let _ = self.process.wait();
    }
}

/// Starts an instance in `zone` on ports that the operating system chooses.
#[must_use]
pub fn start_instance(platform: &Platform, name: &str, zone: &str) -> Instance {
    start_instance_with(platform, name, zone, &json!({}))
}

/// Starts an instance with the fields of `overrides` merged into its settings.
///
/// # Panics
/// The instance does not start.
#[must_use]
pub fn start_instance_with(
    platform: &Platform,
    name: &str,
    zone: &str,
    overrides: &Value,
) -> Instance {
    let mut settings = json!({
        "instance": name,
        "zone": zone,
        "platform": {
            "store": platform.store.server.address,
            "instance_list": platform.list.server.address,
        },
        "membership": {"lease": "2s", "heartbeat": "100ms"},
        "log": {"level": "warn"},
    });
    merge(&mut settings, overrides);
    let dir = tempfile::tempdir().expect("temporary directory");
    let path = dir.path().join("settings.json");
    std::fs::write(&path, settings.to_string()).expect("settings written");
    let (process, addresses) = spawn(&path);
    Instance { addresses, process }
}

/// Path of the program, which is built into the folder above that of the test programs.
fn program() -> PathBuf {
    let test = std::env::current_exe().expect("path of the test program");
    let folder = test.ancestors().nth(2).expect("folder of the build");
    folder
        .join("wagtailsaddle")
        .with_extension(std::env::consts::EXE_EXTENSION)
}

/// Starts the program and reads the addresses that it prints.
fn spawn(settings: &PathBuf) -> (Child, Announcement) {
    let mut process = Command::new(program())
        .arg("serve")
        .arg("--settings")
        .arg(settings)
        .stdout(Stdio::piped())
        .spawn()
        .expect("instance started");
    let stdout = process.stdout.take().expect("standard output");
    let mut line = String::new();
    BufReader::new(stdout)
        .read_line(&mut line)
        .expect("announcement");
    let addresses = serde_json::from_str(&line).expect("announcement in JSON");
    (process, addresses)
}

/// Merges objects recursively; any other value is replaced.
fn merge(into: &mut Value, overrides: &Value) {
    match (into, overrides) {
        (Value::Object(into), Value::Object(overrides)) => {
            for (key, value) in overrides {
                merge(into.entry(key.clone()).or_insert(Value::Null), value);
            }
        }
        (into, overrides) => *into = overrides.clone(),
    }
}

/// A group of targets that take one millisecond for each call.
#[must_use]
pub fn group(service: &str, zone: &str, count: usize) -> TargetGroup {
    TargetGroup {
        service: service.to_owned(),
        zone: zone.to_owned(),
        count,
        work: Duration::from_millis(1),
    }
}

/// The priorities, the anonymous caller and the zones that most tests declare.
#[must_use]
pub fn basic_resources(zones: &[&str]) -> Vec<Value> {
    let mut resources = vec![
        json!({"kind": "Priority", "name": "urgent", "spec": {"rank": 0}}),
        json!({"kind": "Priority", "name": "normal", "spec": {"rank": 1}}),
        json!({"kind": "Priority", "name": "idle", "spec": {"rank": 2}}),
        json!({"kind": "Caller", "name": "anonymous", "spec": {}}),
    ];
    for zone in zones {
        resources.push(json!({"kind": "AvailabilityZone", "name": zone, "spec": {}}));
    }
    resources
}

/// A service with six slots on each target and no warm-up.
#[must_use]
pub fn service(name: &str) -> Value {
    json!({
        "kind": "Service",
        "name": name,
        "spec": {
            "hosts": [format!("{name}.test")],
            "target": {"slots": 6, "connections": 200},
            "warm_up": "0s",
        },
    })
}

/// HTTP client that reads whole responses.
pub struct HttpClient(Client<HttpConnector, Full<Bytes>>);

/// A response with its whole body.
#[derive(Debug)]
pub struct HttpResponse {
    /// Status code.
    pub status: u16,
    /// Status and headers.
    pub head: http::response::Parts,
    /// Body, with replacements where it is no text.
    pub body: String,
}

impl HttpResponse {
    /// The body as JSON; null if it is not JSON.
    #[must_use]
    pub fn json(&self) -> Value {
        serde_json::from_str(&self.body).unwrap_or(Value::Null)
    }
}

impl Default for HttpClient {
    fn default() -> Self {
        Self::new()
    }
}

impl HttpClient {
    /// Creates a client without connections.
    #[must_use]
    pub fn new() -> Self {
        Self(Client::builder(TokioExecutor::new()).build_http())
    }

    /// Sends a request and reads the whole response.
    ///
    /// # Errors
    /// Why there is no whole response within [`WAIT_LIMIT`].
    pub async fn send(&self, req: Request<Full<Bytes>>) -> Result<HttpResponse, String> {
        let result = tokio::time::timeout(WAIT_LIMIT, self.0.request(req)).await;
        let resp: Response<_> = result
            .map_err(|err| err.to_string())?
            .map_err(|err| err.to_string())?;
        let (head, body) = resp.into_parts();
        let body = body
            .collect()
            .await
            .map_err(|err| err.to_string())?
            .to_bytes();
        Ok(HttpResponse {
            status: head.status.as_u16(),
            head,
            body: String::from_utf8_lossy(&body).into_owned(),
        })
    }

    /// Sends a GET request without a body.
    ///
    /// # Errors
    /// See [`Self::send`].
    pub async fn get(
        &self,
        address: SocketAddr,
        host: &str,
        path: &str,
    ) -> Result<HttpResponse, String> {
        self.send(request(Method::GET, address, host, path, ""))
            .await
    }

    /// Declares resources and returns the response.
    ///
    /// # Errors
    /// See [`Self::send`].
    pub async fn apply(
        &self,
        admin: SocketAddr,
        resources: &[Value],
    ) -> Result<HttpResponse, String> {
        let body = json!({"resources": resources}).to_string();
        self.send(request(
            Method::POST,
            admin,
            "admin.test",
            "/v1/resources",
            &body,
        ))
        .await
    }

    /// Declares resources, and retries until they are accepted.
    pub async fn declare(&self, admin: SocketAddr, resources: &[Value]) {
        eventually("the resources are accepted", || async {
            let resp = self.apply(admin, resources).await.ok()?;
            (resp.status == 200).then_some(())
        })
        .await;
    }

    /// The state dump of an instance; null if it can not be read.
    pub async fn dump(&self, admin: SocketAddr) -> Value {
        let resp = self.get(admin, "admin.test", "/dump").await;
        resp.map_or(Value::Null, |resp| resp.json())
    }
}

/// Builds a request to `host` at `address`.
///
/// # Panics
/// `path` is not the path of a URI.
#[must_use]
pub fn request(
    method: Method,
    address: SocketAddr,
    host: &str,
    path: &str,
    body: &str,
) -> Request<Full<Bytes>> {
    Request::builder()
        .method(method)
        .uri(format!("http://{address}{path}"))
        .header("host", host)
        .body(Full::new(Bytes::from(body.to_owned())))
        .expect("request")
}

/// Polls `check` until it returns a value.
///
/// # Panics
/// It has returned none for [`WAIT_LIMIT`].
pub async fn eventually<T, F>(condition: &str, mut check: impl FnMut() -> F) -> T
where
    F: Future<Output = Option<T>>,
{
    let start = Instant::now();
    while start.elapsed() < WAIT_LIMIT {
        if let Some(value) = check().await {
            return value;
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    panic!("timed out waiting until {condition}");
}

/// Waits until `instance` knows the claims of at least `shards` shards.
pub async fn wait_for_claims(http: &HttpClient, instance: &Instance, shards: usize) {
    eventually("the shards are claimed", || async {
        let dump = http.dump(instance.addresses.admin).await;
        let claims = dump["claims"].as_array().map_or(0, Vec::len);
        (claims >= shards).then_some(())
    })
    .await;
}
