//! In-memory store of the prepared platform: its calls, with fault injection.

mod data;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use http::{Method, Request, Response, StatusCode};
use hyper::body::Incoming;
use indexmap::IndexMap;
use serde_json::{Value, json};
use tokio::sync::Notify;
use tokio::time::Instant;

use self::data::{Data, Item};
use crate::faults::Shared;
use crate::http::{self as web, Body, Server};

/// Items per page of a range response.
const PAGE_SIZE: usize = 50;

/// How the store handles calls.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum Mode {
    /// Processes calls normally.
    #[default]
    Serving,
    /// Rejects calls with this HTTP status, without effect.
    Refusing(u16),
    /// Closes the connection without effect.
    Resetting,
    /// Never responds; calls have no effect.
    Silent,
}

/// Faults of the store; the default has none.
#[derive(Debug, Clone, Default)]
pub struct Faults {
    /// How calls are handled.
    pub mode: Mode,
    /// Time added to each call.
    pub delay: Duration,
    /// Number of further writes that take effect but get no response; counts down.
    pub lost_responses: u32,
    /// Number of revisions by which stale reads are behind.
    pub stale_by_revisions: u64,
    /// Number of revisions by which the later pages of stale reads are behind the first one.
    pub later_pages_stale_by: u64,
    /// Watches deliver no events.
    pub silent_watches: bool,
    /// Calls that began before this number was raised never get a response.
    pub silenced: u32,
    /// Watches fail as if the history had been compacted.
    pub no_history: bool,
}

/// Copy of a store's items, from which it can be restored.
#[derive(Debug, Clone)]
pub struct StoreCopy(Data);

/// Another address of a store, with faults of its own; it is closed when it is dropped.
#[derive(Debug)]
pub struct StoreEndpoint {
    /// Faults of the calls that arrive here, beside those of the store.
    pub faults: Shared<Faults>,
    server: Server,
}

impl StoreEndpoint {
    /// Address that the store listens on here.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.server.address
    }
}

/// A running store; it stops when it is dropped.
#[derive(Debug)]
pub struct StoreStandin {
    /// Faults to inject, read at the start of each call.
    pub faults: Shared<Faults>,
    state: Arc<StoreState>,
    server: Server,
}

#[derive(Debug, Default)]
struct StoreState {
    data: Shared<Data>,
    changed: Notify,
}

impl StoreStandin {
    /// Starts an empty store on a port chosen by the operating system.
    ///
    /// # Errors
    /// The operating system's error when no port can be bound.
    pub async fn start() -> std::io::Result<Self> {
        let faults = Shared::<Faults>::default();
        let state = Arc::new(StoreState::default());
        let server = serve(&state, &faults, &Shared::default()).await?;
        Ok(Self {
            faults,
            state,
            server,
        })
    }

    /// Listens on another port, as for clients whose calls have faults of their own.
    ///
    /// # Errors
    /// See [`Self::start`].
    pub async fn listen_again(&self) -> std::io::Result<StoreEndpoint> {
        let faults = Shared::<Faults>::default();
        let server = serve(&self.state, &self.faults, &faults).await?;
        Ok(StoreEndpoint { faults, server })
    }

    /// Address that the store listens on.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.server.address
    }

    /// Writes an item without a lease, as operators and targets do.
    pub fn put(&self, key: &str, value: &[u8]) {
        self.state.write(|data| {
            data.put(key, value.to_vec(), 0);
        });
    }

    /// Removes an item if it exists.
    pub fn remove(&self, key: &str) {
        self.state.write(|data| {
            data.remove(key);
        });
    }

    /// Removes every item whose key starts with `prefix`, under one lock.
    pub fn remove_prefix(&self, prefix: &str) {
        self.state.write(|data| {
            let matching = data.items.keys().filter(|key| key.starts_with(prefix));
            for key in matching.cloned().collect::<Vec<_>>() {
                data.remove(&key);
            }
        });
    }

    /// Compacts the history, so that watches from an older revision must read again.
    pub fn compact(&self) {
        self.state.write(|data| {
            data.history.clear();
            data.compacted = data.revision;
        });
    }

    /// Copies the items, to restore them later.
    #[must_use]
    pub fn copy(&self) -> StoreCopy {
        StoreCopy(self.state.data.get())
    }

    /// Restores the items and the revision of an earlier copy. What was written since is
    /// lost, and its revisions are given out again.
    pub fn restore(&self, copy: &StoreCopy) {
        self.state.write(|data| {
            let era = data.era + 1;
            let calls = std::mem::take(&mut data.calls);
            *data = Data {
                era,
                calls,
                ..copy.0.clone()
            };
        });
    }

    /// Expires every lease now and removes the items attached to it.
    pub fn expire_leases(&self) {
        self.state.write(|data| {
            for lease in data.leases.keys().copied().collect::<Vec<_>>() {
                data.remove_lease(lease);
            }
        });
    }

    /// Returns the value of an item, if it exists.
    #[must_use]
    pub fn value(&self, key: &str) -> Option<Vec<u8>> {
        let data = &self.state.data;
        data.change(|data| data.items.get(key).map(|item| item.value.clone()))
    }

    /// Returns the keys of all items.
    #[must_use]
    pub fn keys(&self) -> Vec<String> {
        let data = &self.state.data;
        data.change(|data| data.items.keys().cloned().collect())
    }

    /// Returns the number of calls of one kind, which is the first part of the path after
    /// `/api/`, such as `kv-txn`.
    #[must_use]
    pub fn calls(&self, kind: &str) -> u32 {
        let data = &self.state.data;
        data.change(|data| data.calls.get(kind).copied().unwrap_or(0))
    }
}

impl StoreState {
    fn write<R>(&self, change: impl FnOnce(&mut Data) -> R) -> R {
        let result = self.data.change(change);
        self.changed.notify_waiters();
        result
    }
}

async fn serve(
    state: &Arc<StoreState>,
    faults: &Shared<Faults>,
    own_faults: &Shared<Faults>,
) -> std::io::Result<Server> {
    let (state, faults, own_faults) = (state.clone(), faults.clone(), own_faults.clone());
    web::serve(move |req| {
        let (state, faults, own_faults) = (state.clone(), faults.clone(), own_faults.clone());
        async move {
            let silenced = own_faults.get().silenced;
            if let Some(outcome) = fail(&own_faults).await {
                return outcome;
            }
            let resp = handle(&state, &faults, req).await;
            if own_faults.get().silenced > silenced {
                std::future::pending::<()>().await;
            }
            resp
        }
    })
    .await
}

/// Outcome of a call that fails by the faults, after their delay; `None` if it is processed.
async fn fail(faults: &Shared<Faults>) -> Option<Option<Response<Body>>> {
    let now = faults.get();
    tokio::time::sleep(now.delay).await;
    match now.mode {
        Mode::Serving => None,
        Mode::Refusing(status) => {
            let status = StatusCode::from_u16(status).unwrap_or(StatusCode::SERVICE_UNAVAILABLE);
            Some(Some(web::response(status, "")))
        }
        Mode::Resetting => Some(None),
        Mode::Silent => std::future::pending().await,
    }
}

async fn handle(
    state: &StoreState,
    faults: &Shared<Faults>,
    req: Request<Incoming>,
) -> Option<Response<Body>> {
    let now = faults.get();
    if let Some(outcome) = fail(faults).await {
        return outcome;
    }
    let method = req.method().clone();
    let path = req.uri().path().to_owned();
    let query = parse_query(req.uri().query().unwrap_or_default());
    let body = web::read_body(req.into_body()).await;
    let body: Value = serde_json::from_slice(&body).unwrap_or_default();
    let mut parts = path.trim_start_matches("/api/").split('/');
    let (kind, id) = (parts.next().unwrap_or_default(), parts.next());
    let lease = id.and_then(|id| id.parse().ok()).unwrap_or(0);
    state.data.change(|data| {
        *data.calls.entry(kind.to_owned()).or_default() += 1;
        data.remove_expired_leases();
    });
    let mut resp = match (&method, kind) {
        (&Method::GET, "kv-key") => read_key(state, &query),
        (&Method::GET, "kv-range") => read_range(state, faults, &query),
        (&Method::GET, "kv-watch") => watch(state, faults, &query).await,
        (&Method::POST, "kv-txn") => transaction(state, &body),
        (&Method::POST, "kv-lease") => grant(state, &body),
        (&Method::POST, "kv-keep") => keep_alive(state, lease),
        (&Method::DELETE, "kv-lease-end") => revoke(state, lease),
        _ => web::response(StatusCode::NOT_FOUND, ""),
    };
    let lost = method != Method::GET
        && faults.change(|faults| {
            let lost = faults.lost_responses > 0;
            faults.lost_responses = faults.lost_responses.saturating_sub(1);
            lost
        });
    if lost || faults.get().silenced > now.silenced {
        std::future::pending::<()>().await;
    }
    let era = state.data.change(|data| data.era);
    resp.headers_mut().insert("store-era", era.into());
    Some(resp)
}

fn parse_query(text: &str) -> IndexMap<String, String> {
    text.split('&')
        .filter_map(|pair| pair.split_once('='))
        .map(|(name, value)| (name.to_owned(), value.to_owned()))
        .collect()
}

fn query_number(query: &IndexMap<String, String>, name: &str) -> u64 {
    query
        .get(name)
        .and_then(|text| text.parse().ok())
        .unwrap_or(0)
}

fn item_json(key: &str, item: &Item) -> Value {
    json!({
        "key": key,
        "value": STANDARD.encode(&item.value),
        "rev": item.revision,
        "create_revision": item.create_revision,
        "lease": item.lease,
    })
}

fn read_key(state: &StoreState, query: &IndexMap<String, String>) -> Response<Body> {
    let key = query.get("key").map_or("", String::as_str);
    state.data.change(|data| match data.items.get(key) {
        Some(item) => {
            let mut item = item_json(key, item);
            item["store_revision"] = data.revision.into();
            web::json_response(&item)
        }
        None => web::response(StatusCode::NOT_FOUND, ""),
    })
}

fn read_range(
    state: &StoreState,
    faults: &Shared<Faults>,
    query: &IndexMap<String, String>,
) -> Response<Body> {
    let prefix = query.get("prefix").map_or("", String::as_str);
    let after = query.get("after").map_or("", String::as_str);
    let faults = faults.get();
    let behind = match (query.contains_key("stale_ok"), after) {
        (false, _) => 0,
        (true, "") => faults.stale_by_revisions,
        (true, _) => faults.stale_by_revisions + faults.later_pages_stale_by,
    };
    state.data.change(|data| {
        let revision = data.revision.saturating_sub(behind);
        let known = data.items_at(revision);
        let mut keys: Vec<&String> = known
            .keys()
            .filter(|key| key.starts_with(prefix) && key.as_str() > after)
            .collect();
        keys.sort();
        let items: Vec<Value> = keys
            .iter()
            .take(PAGE_SIZE)
            .map(|key| item_json(key, &known[key.as_str()]))
            .collect();
        web::json_response(&json!({
            "items": items,
            "more_pages": keys.len() > PAGE_SIZE,
            "store_revision": revision,
        }))
    })
}

async fn watch(
    state: &StoreState,
    faults: &Shared<Faults>,
    query: &IndexMap<String, String>,
) -> Response<Body> {
    let prefix = query.get("prefix").map_or("", String::as_str);
    let after = query_number(query, "after");
    let until = Instant::now() + Duration::from_millis(query_number(query, "wait_ms"));
    loop {
        let changed = state.changed.notified();
        let (is_compacted, events, revision) = state.data.change(|data| {
            let is_compacted =
                after < data.compacted || after > data.revision || faults.get().no_history;
            (is_compacted, events(data, prefix, after), data.revision)
        });
        if is_compacted {
            return web::response(StatusCode::GONE, "");
        }
        let deliver = !events.is_empty() && !faults.get().silent_watches;
        if deliver || Instant::now() >= until {
            let events = if deliver { events } else { Vec::new() };
            let revision = if deliver { revision } else { after };
            return web::json_response(&json!({ "events": events, "store_revision": revision }));
        }
        tokio::select! {
            () = changed => {}
            () = tokio::time::sleep_until(until) => {}
        }
    }
}

fn events(data: &Data, prefix: &str, after: u64) -> Vec<Value> {
    data.history
        .iter()
        .filter(|(revision, key, _)| *revision > after && key.starts_with(prefix))
        .map(|(revision, key, item)| match item {
            Some(item) => item_json(key, item),
            None => json!({ "key": key, "rev": revision, "removed": true }),
        })
        .collect()
}

fn transaction(state: &StoreState, body: &Value) -> Response<Body> {
    let rows = |name: &str| body[name].as_array().cloned().unwrap_or_default();
    let text = |row: &Value, name: &str| row[name].as_str().unwrap_or_default().to_owned();
    state.write(|data| {
        let expectations_hold = rows("expected").iter().all(|row| {
            let item = data.items.get(&text(row, "key"));
            item.map_or(0, |item| item.revision) == row["rev"].as_u64().unwrap_or(0)
        });
        if !expectations_hold {
            return web::response(StatusCode::PRECONDITION_FAILED, r#"{"items":[]}"#);
        }
        let writes = rows("writes");
        let lease = |row: &Value| row["lease"].as_u64().unwrap_or(0);
        let known = |row: &Value| lease(row) == 0 || data.leases.contains_key(&lease(row));
        if !writes.iter().all(known) {
            return web::response(StatusCode::NOT_FOUND, "");
        }
        for row in &writes {
            let value = STANDARD.decode(text(row, "value")).unwrap_or_default();
            data.put(&text(row, "key"), value, lease(row));
        }
        for key in rows("remove") {
            data.remove(key.as_str().unwrap_or_default());
        }
        web::json_response(&json!({ "rev": data.revision }))
    })
}

fn grant(state: &StoreState, body: &Value) -> Response<Body> {
    let ttl = Duration::from_millis(body["ttl_ms"].as_u64().unwrap_or(0));
    state.write(|data| {
        data.next_lease += 1;
        let lease = data.next_lease;
        data.leases.insert(lease, (ttl, Instant::now() + ttl));
        web::json_response(&json!({ "lease": lease, "ttl_ms": body["ttl_ms"] }))
    })
}

fn keep_alive(state: &StoreState, lease: u64) -> Response<Body> {
    state.write(|data| match data.leases.get_mut(&lease) {
        Some((ttl, until)) => {
            *until = Instant::now() + *ttl;
            web::json_response(&json!({ "ttl_ms": 0 }))
        }
        None => web::response(StatusCode::NOT_FOUND, ""),
    })
}

fn revoke(state: &StoreState, lease: u64) -> Response<Body> {
    let existed = state.write(|data| data.remove_lease(lease));
    web::response(
        if existed {
            StatusCode::OK
        } else {
            StatusCode::NOT_FOUND
        },
        "{}",
    )
}
