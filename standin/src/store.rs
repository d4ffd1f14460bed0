//! Stand-in of the key-value service: the etcd v3 JSON mapping over HTTP.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use http::{Request, Response, StatusCode};
use hyper::body::Incoming;
use serde_json::{Value, json};

use crate::faults::{Shared, StoreFaults};
use crate::http::{Body, Server, json_response, read_body, response, serve};
use crate::watch;

/// A running stand-in of the key-value service; it stops when it is dropped.
#[derive(Debug)]
pub struct StoreStandin {
    /// HTTP server that speaks the API.
    pub server: Server,
    /// Faults to inject, read at the start of each call.
    pub faults: Shared<StoreFaults>,
    /// Number of calls processed, by kind.
    pub calls: Arc<CallCounts>,
    data: Shared<Data>,
}

/// Number of calls that the store has processed, by kind.
#[derive(Debug, Default)]
pub struct CallCounts {
    /// Range reads (`/v3/kv/range`).
    pub reads: AtomicU64,
    /// Transactions (`/v3/kv/txn`).
    pub writes: AtomicU64,
    /// Grants, renewals and revocations of leases.
    pub leases: AtomicU64,
    /// Watches opened (`/v3/watch`).
    pub watches: AtomicU64,
    /// Range reads by their requested key or first key.
    pub reads_by_key: Shared<BTreeMap<String, u64>>,
}

#[derive(Debug, Clone, Default)]
pub(crate) struct Data {
    pub(crate) revision: i64,
    next_lease: i64,
    keys: BTreeMap<Vec<u8>, StoredValue>,
    leases: BTreeMap<i64, Lease>,
    pub(crate) history: VecDeque<Event>,
    /// Revision up to which the history has been compacted.
    pub(crate) compacted: i64,
    /// Watches of an earlier generation end.
    pub(crate) watch_generation: u64,
    /// Revision and contents returned by reads instead of the current ones.
    frozen: Option<(i64, BTreeMap<Vec<u8>, StoredValue>)>,
}

#[derive(Debug, Clone)]
pub(crate) struct StoredValue {
    pub(crate) value: Vec<u8>,
    pub(crate) mod_revision: i64,
    pub(crate) lease: i64,
}

/// One change of a key, kept for watches.
#[derive(Debug, Clone)]
pub(crate) struct Event {
    pub(crate) revision: i64,
    pub(crate) key: Vec<u8>,
    /// New value of the key; `None` if it was deleted.
    pub(crate) stored: Option<StoredValue>,
}

#[derive(Debug, Clone, Copy)]
struct Lease {
    ttl: Duration,
    expires: Instant,
}

/// Starts the stand-in.
///
/// # Errors
/// The operating system's error when no port can be bound.
pub async fn start() -> std::io::Result<StoreStandin> {
    let faults = Shared::<StoreFaults>::default();
    let calls = Arc::new(CallCounts::default());
    let data = Shared::<Data>::default();
    let shared = (faults.clone(), Arc::clone(&calls), data.clone());
    let server = serve(move |req| {
        let (faults, calls, data) = shared.clone();
        handle(faults, calls, data, req)
    })
    .await?;
    Ok(StoreStandin {
        server,
        faults,
        calls,
        data,
    })
}

/// Events that are kept for watches; older ones are compacted.
const MAX_HISTORY_EVENTS: usize = 20_000;

impl StoreStandin {
    /// Freezes reads at the current state; writes still take effect.
    pub fn freeze_reads(&self) {
        self.data
            .change(|data| data.frozen = Some((data.revision, data.keys.clone())));
    }

    /// Makes reads return the current state again.
    pub fn thaw_reads(&self) {
        self.data.change(|data| data.frozen = None);
    }

    /// Compacts the history up to the current revision; the keys stay.
    pub fn compact(&self) {
        self.data.change(|data| {
            data.compacted = data.revision;
            data.history.clear();
        });
    }

    /// Ends every open watch.
    pub fn close_watches(&self) {
        self.data.change(|data| data.watch_generation += 1);
    }

    /// Deletes all data and restarts at revision 0, as a newly installed store.
    pub fn lose_data(&self) {
        self.data.change(|data| {
            let watch_generation = data.watch_generation + 1;
            *data = Data {
                watch_generation,
                ..Data::default()
            };
        });
    }

    /// Returns the value of a key, `None` if the key does not exist.
    #[must_use]
    pub fn value(&self, key: &str) -> Option<Vec<u8>> {
        self.data.change(|data| {
            let stored = data.keys.get(key.as_bytes());
            stored.map(|stored| stored.value.clone())
        })
    }

    /// Returns the keys that start with `prefix`, sorted.
    #[must_use]
    pub fn keys(&self, prefix: &str) -> Vec<String> {
        self.data.change(|data| {
            data.keys
                .keys()
                .filter(|key| key.starts_with(prefix.as_bytes()))
                .map(|key| String::from_utf8_lossy(key).into_owned())
                .collect()
        })
    }

    /// Expires every lease now; the next call or watch deletes the keys attached to it.
    pub fn expire_leases(&self) {
        self.data.change(|data| {
            for lease in data.leases.values_mut() {
                lease.expires = Instant::now();
            }
        });
    }
}

async fn handle(
    faults: Shared<StoreFaults>,
    calls: Arc<CallCounts>,
    data: Shared<Data>,
    req: Request<Incoming>,
) -> Option<Response<Body>> {
    let now = faults.get();
    tokio::time::sleep(now.delay).await;
    if now.down {
        return None;
    }
    let path = req.uri().path().to_owned();
    let body = read_body(req.into_body()).await;
    let Ok(msg) = serde_json::from_slice::<Value>(&body) else {
        return Some(response(StatusCode::BAD_REQUEST, "not JSON"));
    };
    if path == "/v3/watch" {
        calls.watches.fetch_add(1, Ordering::Relaxed);
        return Some(watch::response(faults, data, &msg["create_request"]));
    }
    let resp = data.change(|data| data.serve(&path, &msg, &calls));
    let is_write = path == "/v3/kv/txn";
    if is_write && take_lost_response(&faults) {
        return None;
    }
    Some(resp)
}

fn take_lost_response(faults: &Shared<StoreFaults>) -> bool {
    faults.change(|faults| {
        let lose = faults.lost_responses > 0;
        faults.lost_responses = faults.lost_responses.saturating_sub(1);
        lose
    })
}

impl Data {
    fn serve(&mut self, path: &str, msg: &Value, calls: &CallCounts) -> Response<Body> {
        self.remove_expired_leases();
        let counter = match path {
            "/v3/kv/range" => &calls.reads,
            "/v3/kv/txn" => &calls.writes,
            _ => &calls.leases,
        };
        counter.fetch_add(1, Ordering::Relaxed);
        if path == "/v3/kv/range" {
            let key = String::from_utf8_lossy(&bytes_field(msg, "key")).into_owned();
            calls
                .reads_by_key
                .change(|reads| *reads.entry(key).or_default() += 1);
        }
        match path {
            "/v3/kv/range" => self.range(msg),
            "/v3/kv/txn" => self.txn(msg),
            "/v3/lease/grant" => self.grant(msg),
            "/v3/lease/keepalive" => self.keep_alive(msg),
            "/v3/lease/revoke" => self.revoke(msg),
            _ => response(StatusCode::NOT_FOUND, "no such call"),
        }
    }

    pub(crate) fn remove_expired_leases(&mut self) {
        let now = Instant::now();
        let expired: Vec<i64> = self
            .leases
            .iter()
            .filter(|(_, lease)| lease.expires <= now)
            .map(|(id, _)| *id)
            .collect();
        for id in expired {
            self.remove_lease(id);
        }
    }

    fn remove_lease(&mut self, id: i64) {
        self.leases.remove(&id);
        let attached: Vec<Vec<u8>> = self
            .keys
            .iter()
            .filter(|(_, stored)| stored.lease == id)
            .map(|(key, _)| key.clone())
            .collect();
        if attached.is_empty() {
            return;
        }
        self.revision += 1;
        for key in attached {
            self.set(key, None);
        }
    }

    /// Sets or deletes a key at the current revision.
    fn set(&mut self, key: Vec<u8>, stored: Option<StoredValue>) {
        match &stored {
            Some(stored) => {
                self.keys.insert(key.clone(), stored.clone());
            }
            None => {
                self.keys.remove(&key);
            }
        }
        self.history.push_back(Event {
            revision: self.revision,
            key,
            stored,
        });
        if self.history.len() > MAX_HISTORY_EVENTS
            && let Some(oldest) = self.history.pop_front()
        {
            self.compacted = oldest.revision;
        }
    }

    fn header(&self) -> Value {
        json!({"revision": self.revision.to_string()})
    }

    fn range(&self, msg: &Value) -> Response<Body> {
        let (revision, keys) = match &self.frozen {
            Some((revision, keys)) => (*revision, keys),
            None => (self.revision, &self.keys),
        };
        let range = KeyRange::from_msg(msg);
        let kvs: Vec<Value> = keys
            .iter()
            .filter(|(key, _)| range.contains(key))
            .map(|(key, stored)| stored.to_json(key))
            .collect();
        json_response(&json!({"header": {"revision": revision.to_string()}, "kvs": kvs}))
    }

    fn txn(&mut self, msg: &Value) -> Response<Body> {
        let comparisons_hold = array_field(msg, "compare").iter().all(|compare| {
            let key = bytes_field(compare, "key");
            let current = self.keys.get(&key).map_or(0, |stored| stored.mod_revision);
            current == int_field(compare, "mod_revision")
        });
        if comparisons_hold {
            if let Some(unknown) = self.unknown_lease(msg) {
                return response(
                    StatusCode::NOT_FOUND,
                    format!("etcdserver: requested lease not found: {unknown}"),
                );
            }
            let ops = array_field(msg, "success");
            self.revision += i64::from(!ops.is_empty());
            for op in ops {
                self.apply(op);
            }
        }
        json_response(&json!({"header": self.header(), "succeeded": comparisons_hold}))
    }

    fn unknown_lease(&self, msg: &Value) -> Option<i64> {
        array_field(msg, "success")
            .iter()
            .map(|op| int_field(&op["request_put"], "lease"))
            .find(|lease| *lease != 0 && !self.leases.contains_key(lease))
    }

    fn apply(&mut self, op: &Value) {
        if let Some(put) = op.get("request_put") {
            let stored = StoredValue {
                value: bytes_field(put, "value"),
                mod_revision: self.revision,
                lease: int_field(put, "lease"),
            };
            self.set(bytes_field(put, "key"), Some(stored));
        }
        if let Some(delete) = op.get("request_delete_range") {
            let key = bytes_field(delete, "key");
            if self.keys.contains_key(&key) {
                self.set(key, None);
            }
        }
    }

    fn grant(&mut self, msg: &Value) -> Response<Body> {
        self.next_lease += 1;
        let secs = u64::try_from(int_field(msg, "TTL")).unwrap_or(1);
        let ttl = Duration::from_secs(secs);
        let lease = Lease {
            ttl,
            expires: Instant::now() + ttl,
        };
        self.leases.insert(self.next_lease, lease);
        json_response(&json!({
            "header": self.header(),
            "ID": self.next_lease.to_string(),
            "TTL": secs.to_string(),
        }))
    }

    fn keep_alive(&mut self, msg: &Value) -> Response<Body> {
        let id = int_field(msg, "ID");
        let ttl = self.leases.get_mut(&id).map_or(0, |lease| {
            lease.expires = Instant::now() + lease.ttl;
            lease.ttl.as_secs()
        });
        json_response(&json!({"result": {"ID": id.to_string(), "TTL": ttl.to_string()}}))
    }

    fn revoke(&mut self, msg: &Value) -> Response<Body> {
        self.remove_lease(int_field(msg, "ID"));
        json_response(&json!({"header": self.header()}))
    }
}

impl StoredValue {
    /// Encodes the key and its value as in a range response.
    pub(crate) fn to_json(&self, key: &[u8]) -> Value {
        json!({
            "key": STANDARD.encode(key),
            "value": STANDARD.encode(&self.value),
            "mod_revision": self.mod_revision.to_string(),
            "lease": self.lease.to_string(),
        })
    }
}

/// One key, or the half-open range of keys from `key` to `range_end`.
#[derive(Debug, Clone)]
pub(crate) struct KeyRange {
    key: Vec<u8>,
    range_end: Vec<u8>,
}

impl KeyRange {
    pub(crate) fn from_msg(msg: &Value) -> Self {
        Self {
            key: bytes_field(msg, "key"),
            range_end: bytes_field(msg, "range_end"),
        }
    }

    pub(crate) fn contains(&self, key: &[u8]) -> bool {
        if self.range_end.is_empty() {
            return key == self.key;
        }
        key >= self.key.as_slice() && (self.range_end == [0] || key < self.range_end.as_slice())
    }
}

fn array_field<'a>(msg: &'a Value, name: &str) -> &'a [Value] {
    msg[name].as_array().map_or(&[], Vec::as_slice)
}

fn bytes_field(msg: &Value, name: &str) -> Vec<u8> {
    msg[name]
        .as_str()
        .and_then(|text| STANDARD.decode(text).ok())
        .unwrap_or_default()
}

pub(crate) fn int_field(msg: &Value, name: &str) -> i64 {
    match &msg[name] {
        Value::String(text) => text.parse().unwrap_or_default(),
        value => value.as_i64().unwrap_or_default(),
    }
}
