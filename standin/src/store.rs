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
use crate::http::{Body, Server, answer, json as json_answer, read, serve};
use crate::watch;

/// A running stand-in of the key-value service.
#[derive(Debug)]
pub struct StoreStandin {
    /// The server.
    pub server: Server,
    /// Faults to show.
    pub faults: Shared<StoreFaults>,
    /// Calls answered, by kind.
    pub calls: Arc<CallCounts>,
    data: Shared<Data>,
}

/// Calls that the store has answered.
#[derive(Debug, Default)]
pub struct CallCounts {
    /// Range reads.
    pub reads: AtomicU64,
    /// Transactions.
    pub writes: AtomicU64,
    /// Lease calls.
    pub leases: AtomicU64,
    /// Watches.
    pub watches: AtomicU64,
    /// Range reads by the key, or the first key, that was asked for.
    pub reads_by_key: Shared<BTreeMap<String, u64>>,
}

#[derive(Debug, Clone, Default)]
pub(crate) struct Data {
    pub(crate) revision: i64,
    next_lease: i64,
    keys: BTreeMap<Vec<u8>, Stored>,
    leases: BTreeMap<i64, Lease>,
    pub(crate) history: VecDeque<Event>,
    /// Changes up to this revision are no longer told.
    pub(crate) compacted: i64,
    /// Watches of an earlier generation break off.
    pub(crate) watch_generation: u64,
    /// What reads show in place of the present.
    frozen: Option<(i64, BTreeMap<Vec<u8>, Stored>)>,
}

#[derive(Debug, Clone)]
pub(crate) struct Stored {
    pub(crate) value: Vec<u8>,
    pub(crate) mod_revision: i64,
    pub(crate) lease: i64,
}

/// One change of a key, kept for watches.
#[derive(Debug, Clone)]
pub(crate) struct Event {
    pub(crate) revision: i64,
    pub(crate) key: Vec<u8>,
    /// What the key holds after it, `None` when it was deleted.
    pub(crate) stored: Option<Stored>,
}

#[derive(Debug, Clone, Copy)]
struct Lease {
    ttl: Duration,
    ends: Instant,
}

/// Starts the stand-in.
///
/// # Errors
/// The operating system's answer when no port can be had.
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

/// Changes that are kept for watches.
const HISTORY_LENGTH: usize = 20_000;

impl StoreStandin {
    /// Makes reads show the present state from now on, however old it grows.
    pub fn freeze_reads(&self) {
        self.data
            .change(|data| data.frozen = Some((data.revision, data.keys.clone())));
    }

    /// Makes reads show the present state again.
    pub fn thaw_reads(&self) {
        self.data.change(|data| data.frozen = None);
    }

    /// Forgets every change up to now; the keys stay.
    pub fn compact(&self) {
        self.data.change(|data| {
            data.compacted = data.revision;
            data.history.clear();
        });
    }

    /// Breaks every open watch off.
    pub fn close_watches(&self) {
        self.data.change(|data| data.watch_generation += 1);
    }

    /// Loses all data, as a store that is set up anew.
    pub fn lose_data(&self) {
        self.data.change(|data| {
            let watch_generation = data.watch_generation + 1;
            *data = Data {
                watch_generation,
                ..Data::default()
            };
        });
    }

    /// The value of a key.
    #[must_use]
    pub fn value(&self, key: &str) -> Option<Vec<u8>> {
        self.data.change(|data| {
            let stored = data.keys.get(key.as_bytes());
            stored.map(|stored| stored.value.clone())
        })
    }

    /// The keys that start with `prefix`.
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

    /// Ends every lease now, with the keys attached to it.
    pub fn expire_leases(&self) {
        self.data.change(|data| {
            for lease in data.leases.values_mut() {
                lease.ends = Instant::now();
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
    let body = read(req.into_body()).await;
    let Ok(msg) = serde_json::from_slice::<Value>(&body) else {
        return Some(answer(StatusCode::BAD_REQUEST, "not JSON"));
    };
    if path == "/v3/watch" {
        calls.watches.fetch_add(1, Ordering::Relaxed);
        return Some(watch::answer(faults, data, &msg["create_request"]));
    }
    let resp = data.change(|data| data.serve(&path, &msg, &calls));
    let is_write = path == "/v3/kv/txn";
    if is_write && lose_answer(&faults) {
        return None;
    }
    Some(resp)
}

fn lose_answer(faults: &Shared<StoreFaults>) -> bool {
    faults.change(|faults| {
        let lose = faults.lost_responses > 0;
        faults.lost_responses = faults.lost_responses.saturating_sub(1);
        lose
    })
}

impl Data {
    fn serve(&mut self, path: &str, msg: &Value, calls: &CallCounts) -> Response<Body> {
        self.end_leases();
        let counter = match path {
            "/v3/kv/range" => &calls.reads,
            "/v3/kv/txn" => &calls.writes,
            _ => &calls.leases,
        };
        counter.fetch_add(1, Ordering::Relaxed);
        if path == "/v3/kv/range" {
            let key = String::from_utf8_lossy(&bytes_of(msg, "key")).into_owned();
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
            _ => answer(StatusCode::NOT_FOUND, "no such call"),
        }
    }

    pub(crate) fn end_leases(&mut self) {
        let now = Instant::now();
        let ended: Vec<i64> = self
            .leases
            .iter()
            .filter(|(_, lease)| lease.ends <= now)
            .map(|(id, _)| *id)
            .collect();
        for id in ended {
            self.end_lease(id);
        }
    }

    fn end_lease(&mut self, id: i64) {
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

    /// Sets or deletes a key at the present revision.
    fn set(&mut self, key: Vec<u8>, stored: Option<Stored>) {
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
        if self.history.len() > HISTORY_LENGTH
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
        let wanted = KeyRange::of(msg);
        let kvs: Vec<Value> = keys
            .iter()
            .filter(|(key, _)| wanted.covers(key))
            .map(|(key, stored)| stored.wire(key))
            .collect();
        json_answer(&json!({"header": {"revision": revision.to_string()}, "kvs": kvs}))
    }

    fn txn(&mut self, msg: &Value) -> Response<Body> {
        let holds = items(msg, "compare").iter().all(|compare| {
            let key = bytes_of(compare, "key");
            let current = self.keys.get(&key).map_or(0, |stored| stored.mod_revision);
            current == int_of(compare, "mod_revision")
        });
        if holds {
            if let Some(unknown) = self.unknown_lease(msg) {
                return answer(
                    StatusCode::NOT_FOUND,
                    format!("etcdserver: requested lease not found: {unknown}"),
                );
            }
            let ops = items(msg, "success");
            self.revision += i64::from(!ops.is_empty());
            for op in ops {
                self.apply(op);
            }
        }
        json_answer(&json!({"header": self.header(), "succeeded": holds}))
    }

    fn unknown_lease(&self, msg: &Value) -> Option<i64> {
        items(msg, "success")
            .iter()
            .map(|op| int_of(&op["request_put"], "lease"))
            .find(|lease| *lease != 0 && !self.leases.contains_key(lease))
    }

    fn apply(&mut self, op: &Value) {
        if let Some(put) = op.get("request_put") {
            let stored = Stored {
                value: bytes_of(put, "value"),
                mod_revision: self.revision,
                lease: int_of(put, "lease"),
            };
            self.set(bytes_of(put, "key"), Some(stored));
        }
        if let Some(delete) = op.get("request_delete_range") {
            let key = bytes_of(delete, "key");
            if self.keys.contains_key(&key) {
                self.set(key, None);
            }
        }
    }

    fn grant(&mut self, msg: &Value) -> Response<Body> {
        self.next_lease += 1;
        let secs = u64::try_from(int_of(msg, "TTL")).unwrap_or(1);
        let ttl = Duration::from_secs(secs);
        let lease = Lease {
            ttl,
            ends: Instant::now() + ttl,
        };
        self.leases.insert(self.next_lease, lease);
        json_answer(&json!({
            "header": self.header(),
            "ID": self.next_lease.to_string(),
            "TTL": secs.to_string(),
        }))
    }

    fn keep_alive(&mut self, msg: &Value) -> Response<Body> {
        let id = int_of(msg, "ID");
        let ttl = self.leases.get_mut(&id).map_or(0, |lease| {
            lease.ends = Instant::now() + lease.ttl;
            lease.ttl.as_secs()
        });
        json_answer(&json!({"result": {"ID": id.to_string(), "TTL": ttl.to_string()}}))
    }

    fn revoke(&mut self, msg: &Value) -> Response<Body> {
        self.end_lease(int_of(msg, "ID"));
        json_answer(&json!({"header": self.header()}))
    }
}

impl Stored {
    /// The key and its value in the wire form.
    pub(crate) fn wire(&self, key: &[u8]) -> Value {
        json!({
            "key": STANDARD.encode(key),
            "value": STANDARD.encode(&self.value),
            "mod_revision": self.mod_revision.to_string(),
            "lease": self.lease.to_string(),
        })
    }
}

/// One key, or the keys from the first to before the second.
#[derive(Debug, Clone)]
pub(crate) struct KeyRange {
    key: Vec<u8>,
    end: Vec<u8>,
}

impl KeyRange {
    pub(crate) fn of(msg: &Value) -> Self {
        Self {
            key: bytes_of(msg, "key"),
            end: bytes_of(msg, "range_end"),
        }
    }

    pub(crate) fn covers(&self, key: &[u8]) -> bool {
        if self.end.is_empty() {
            return key == self.key;
        }
        key >= self.key.as_slice() && (self.end == [0] || key < self.end.as_slice())
    }
}

fn items<'a>(msg: &'a Value, name: &str) -> &'a [Value] {
    msg[name].as_array().map_or(&[], Vec::as_slice)
}

fn bytes_of(msg: &Value, name: &str) -> Vec<u8> {
    msg[name]
        .as_str()
        .and_then(|text| STANDARD.decode(text).ok())
        .unwrap_or_default()
}

pub(crate) fn int_of(msg: &Value, name: &str) -> i64 {
    match &msg[name] {
        Value::String(text) => text.parse().unwrap_or_default(),
        value => value.as_i64().unwrap_or_default(),
    }
}
