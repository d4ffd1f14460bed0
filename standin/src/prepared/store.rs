//! The store of the prepared platform, in memory, with faults on demand.

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

use crate::faults::Shared;
use crate::http::{self as web, Body, Server};

/// Items in a page of a range.
const PAGE: usize = 50;

/// What the store does with calls.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum Mode {
    /// It answers.
    #[default]
    Serving,
    /// It refuses with a status, and does nothing.
    Refusing(u16),
    /// It closes the connection without effect.
    Resetting,
    /// It never answers, and does nothing.
    Silent,
}

/// Faults of the store.
#[derive(Debug, Clone, Default)]
pub struct Faults {
    /// What it does with calls.
    pub mode: Mode,
    /// Time that each call takes longer.
    pub delay: Duration,
    /// Writes that take effect and whose answers never come; counts down.
    pub lost_responses: u32,
    /// Revisions by which reads that may be stale are behind.
    pub stale_by_revisions: u64,
    /// Watches hear nothing.
    pub silent_watches: bool,
}

#[derive(Debug, Clone)]
struct Item {
    value: Vec<u8>,
    revision: u64,
    created: u64,
    lease: u64,
}

#[derive(Debug, Clone, Default)]
struct Tables {
    revision: u64,
    items: IndexMap<String, Item>,
    leases: IndexMap<u64, (Duration, Instant)>,
    /// Changes by rising revision; `None` for removals.
    history: Vec<(u64, String, Option<Item>)>,
    /// Watches from before this revision get no answer.
    history_from: u64,
    next_lease: u64,
    calls: IndexMap<String, u32>,
}

/// The store.
#[derive(Debug)]
pub struct StoreStandin {
    /// Faults, switched by tests.
    pub faults: Shared<Faults>,
    shared: Arc<StoreState>,
    server: Server,
}

#[derive(Debug, Default)]
struct StoreState {
    tables: Shared<Tables>,
    changed: Notify,
}

impl StoreStandin {
    /// Starts an empty store on a port that the system chooses.
    ///
    /// # Errors
    /// The operating system's answer when no port can be had.
    pub async fn start() -> std::io::Result<Self> {
        let faults = Shared::<Faults>::default();
        let shared = Arc::new(StoreState::default());
        let (to_faults, to_shared) = (faults.clone(), shared.clone());
        let server = web::serve(move |req| {
            let (faults, shared) = (to_faults.clone(), to_shared.clone());
            async move { answer(&shared, &faults, req).await }
        })
        .await?;
        Ok(Self {
            faults,
            shared,
            server,
        })
    }

    /// Where it listens.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.server.address
    }

    /// Writes an item as operators and targets do.
    pub fn put(&self, key: &str, value: &[u8]) {
        self.shared.write(|tables| {
            tables.put(key, value.to_vec(), 0);
        });
    }

    /// Removes an item.
    pub fn remove(&self, key: &str) {
        self.shared.write(|tables| {
            tables.remove(key);
        });
    }

    /// Removes every item whose key begins with `prefix`, at once.
    pub fn remove_prefix(&self, prefix: &str) {
        self.shared.write(|tables| {
            let held = tables.items.keys().filter(|key| key.starts_with(prefix));
            for key in held.cloned().collect::<Vec<_>>() {
                tables.remove(&key);
            }
        });
    }

    /// Forgets the history, so that older watches must read again.
    pub fn compact(&self) {
        self.shared.write(|tables| {
            tables.history.clear();
            tables.history_from = tables.revision;
        });
    }

    /// Ends every lease, with its items.
    pub fn expire_leases(&self) {
        self.shared.write(|tables| {
            for lease in tables.leases.keys().copied().collect::<Vec<_>>() {
                tables.end_lease(lease);
            }
        });
    }

    /// The keys that are held.
    #[must_use]
    pub fn keys(&self) -> Vec<String> {
        let tables = &self.shared.tables;
        tables.change(|tables| tables.items.keys().cloned().collect())
    }

    /// Calls of one kind so far, by the last part of their path.
    #[must_use]
    pub fn calls(&self, kind: &str) -> u32 {
        let tables = &self.shared.tables;
        tables.change(|tables| tables.calls.get(kind).copied().unwrap_or(0))
    }
}

impl StoreState {
    fn write<R>(&self, change: impl FnOnce(&mut Tables) -> R) -> R {
        let result = self.tables.change(change);
        self.changed.notify_waiters();
        result
    }
}

impl Tables {
    fn put(&mut self, key: &str, value: Vec<u8>, lease: u64) -> u64 {
        self.revision += 1;
        let created = self
            .items
            .get(key)
            .map_or(self.revision, |item| item.created);
        let item = Item {
            value,
            revision: self.revision,
            created,
            lease,
        };
        self.history
            .push((self.revision, key.to_owned(), Some(item.clone())));
        self.items.insert(key.to_owned(), item);
        self.revision
    }

    fn remove(&mut self, key: &str) -> u64 {
        if self.items.shift_remove(key).is_some() {
            self.revision += 1;
            self.history.push((self.revision, key.to_owned(), None));
        }
        self.revision
    }

    fn end_lease(&mut self, lease: u64) -> bool {
        let held = self.leases.shift_remove(&lease).is_some();
        let keys: Vec<String> = self
            .items
            .iter()
            .filter(|(_, item)| held && item.lease == lease)
            .map(|(key, _)| key.clone())
            .collect();
        for key in keys {
            self.remove(&key);
        }
        held
    }

    fn expire(&mut self) {
        let now = Instant::now();
        let ended: Vec<u64> = self
            .leases
            .iter()
            .filter(|(_, (_, until))| *until <= now)
            .map(|(lease, _)| *lease)
            .collect();
        for lease in ended {
            self.end_lease(lease);
        }
    }
}

async fn answer(
    shared: &StoreState,
    faults: &Shared<Faults>,
    req: Request<Incoming>,
) -> Option<Response<Body>> {
    let now = faults.get();
    tokio::time::sleep(now.delay).await;
    match now.mode {
        Mode::Serving => {}
        Mode::Refusing(status) => {
            let status = StatusCode::from_u16(status).unwrap_or(StatusCode::SERVICE_UNAVAILABLE);
            return Some(web::answer(status, ""));
        }
        Mode::Resetting => return None,
        Mode::Silent => std::future::pending().await,
    }
    let method = req.method().clone();
    let path = req.uri().path().to_owned();
    let query = query(req.uri().query().unwrap_or_default());
    let body = web::read(req.into_body()).await;
    let body: Value = serde_json::from_slice(&body).unwrap_or_default();
    let mut parts = path.trim_start_matches("/api/").split('/');
    let (kind, id) = (parts.next().unwrap_or_default(), parts.next());
    let lease = id.and_then(|id| id.parse().ok()).unwrap_or(0);
    shared.tables.change(|tables| {
        *tables.calls.entry(kind.to_owned()).or_default() += 1;
        tables.expire();
    });
    let resp = match (&method, kind) {
        (&Method::GET, "kv-key") => key(shared, &query),
        (&Method::GET, "kv-range") => range(shared, faults, &query),
        (&Method::GET, "kv-watch") => watch(shared, faults, &query).await,
        (&Method::POST, "kv-txn") => transaction(shared, &body),
        (&Method::POST, "kv-lease") => grant(shared, &body),
        (&Method::POST, "kv-keep") => renew(shared, lease),
        (&Method::DELETE, "kv-lease-end") => end(shared, lease),
        _ => web::answer(StatusCode::NOT_FOUND, ""),
    };
    let lost = method != Method::GET
        && faults.change(|faults| {
            let lost = faults.lost_responses > 0;
            faults.lost_responses = faults.lost_responses.saturating_sub(1);
            lost
        });
    if lost {
        std::future::pending::<()>().await;
    }
    Some(resp)
}

fn query(text: &str) -> IndexMap<String, String> {
    text.split('&')
        .filter_map(|pair| pair.split_once('='))
        .map(|(name, value)| (name.to_owned(), value.to_owned()))
        .collect()
}

fn number(query: &IndexMap<String, String>, name: &str) -> u64 {
    query
        .get(name)
        .and_then(|text| text.parse().ok())
        .unwrap_or(0)
}

fn shown(key: &str, item: &Item) -> Value {
    json!({
        "key": key,
        "value": STANDARD.encode(&item.value),
        "rev": item.revision,
        "create_revision": item.created,
        "lease": item.lease,
    })
}

fn key(shared: &StoreState, query: &IndexMap<String, String>) -> Response<Body> {
    let key = query.get("key").map_or("", String::as_str);
    shared.tables.change(|tables| match tables.items.get(key) {
        Some(item) => {
            let mut item = shown(key, item);
            item["store_revision"] = tables.revision.into();
            web::json(&item)
        }
        None => web::answer(StatusCode::NOT_FOUND, ""),
    })
}

fn range(
    shared: &StoreState,
    faults: &Shared<Faults>,
    query: &IndexMap<String, String>,
) -> Response<Body> {
    let prefix = query.get("prefix").map_or("", String::as_str);
    let after = query.get("after").map_or("", String::as_str);
    let behind = if query.contains_key("stale_ok") {
        faults.get().stale_by_revisions
    } else {
        0
    };
    shared.tables.change(|tables| {
        let revision = tables.revision.saturating_sub(behind);
        let mut keys: Vec<&String> = tables
            .items
            .iter()
            .filter(|(key, item)| item.revision <= revision && key.starts_with(prefix))
            .map(|(key, _)| key)
            .filter(|key| key.as_str() > after)
            .collect();
        keys.sort();
        let items: Vec<Value> = keys
            .iter()
            .take(PAGE)
            .map(|key| shown(key, &tables.items[key.as_str()]))
            .collect();
        web::json(&json!({
            "items": items,
            "more_pages": keys.len() > PAGE,
            "store_revision": revision,
        }))
    })
}

async fn watch(
    shared: &StoreState,
    faults: &Shared<Faults>,
    query: &IndexMap<String, String>,
) -> Response<Body> {
    let prefix = query.get("prefix").map_or("", String::as_str);
    let after = number(query, "after");
    let until = Instant::now() + Duration::from_millis(number(query, "wait_ms"));
    loop {
        let changed = shared.changed.notified();
        let (gone, events, revision) = shared.tables.change(|tables| {
            let gone = after < tables.history_from;
            (gone, events(tables, prefix, after), tables.revision)
        });
        if gone {
            return web::answer(StatusCode::GONE, "");
        }
        let heard = !events.is_empty() && !faults.get().silent_watches;
        if heard || Instant::now() >= until {
            let events = if heard { events } else { Vec::new() };
            let revision = if heard { revision } else { after };
            return web::json(&json!({ "events": events, "store_revision": revision }));
        }
        tokio::select! {
            () = changed => {}
            () = tokio::time::sleep_until(until) => {}
        }
    }
}

fn events(tables: &Tables, prefix: &str, after: u64) -> Vec<Value> {
    tables
        .history
        .iter()
        .filter(|(revision, key, _)| *revision > after && key.starts_with(prefix))
        .map(|(revision, key, item)| match item {
            Some(item) => shown(key, item),
            None => json!({ "key": key, "rev": revision, "removed": true }),
        })
        .collect()
}

fn transaction(shared: &StoreState, body: &Value) -> Response<Body> {
    let rows = |name: &str| body[name].as_array().cloned().unwrap_or_default();
    let text = |row: &Value, name: &str| row[name].as_str().unwrap_or_default().to_owned();
    shared.write(|tables| {
        let holds = rows("expected").iter().all(|row| {
            let item = tables.items.get(&text(row, "key"));
            item.map_or(0, |item| item.revision) == row["rev"].as_u64().unwrap_or(0)
        });
        if !holds {
            return web::answer(StatusCode::PRECONDITION_FAILED, r#"{"items":[]}"#);
        }
        let writes = rows("writes");
        let lease = |row: &Value| row["lease"].as_u64().unwrap_or(0);
        let known = |row: &Value| lease(row) == 0 || tables.leases.contains_key(&lease(row));
        if !writes.iter().all(known) {
            return web::answer(StatusCode::NOT_FOUND, "");
        }
        for row in &writes {
            let value = STANDARD.decode(text(row, "value")).unwrap_or_default();
            tables.put(&text(row, "key"), value, lease(row));
        }
        for key in rows("remove") {
            tables.remove(key.as_str().unwrap_or_default());
        }
        web::json(&json!({ "rev": tables.revision }))
    })
}

fn grant(shared: &StoreState, body: &Value) -> Response<Body> {
    let ttl = Duration::from_millis(body["ttl_ms"].as_u64().unwrap_or(0));
    shared.write(|tables| {
        tables.next_lease += 1;
        let lease = tables.next_lease;
        tables.leases.insert(lease, (ttl, Instant::now() + ttl));
        web::json(&json!({ "lease": lease, "ttl_ms": body["ttl_ms"] }))
    })
}

fn renew(shared: &StoreState, lease: u64) -> Response<Body> {
    shared.write(|tables| match tables.leases.get_mut(&lease) {
        Some((ttl, until)) => {
            *until = Instant::now() + *ttl;
            web::json(&json!({ "ttl_ms": 0 }))
        }
        None => web::answer(StatusCode::NOT_FOUND, ""),
    })
}

fn end(shared: &StoreState, lease: u64) -> Response<Body> {
    let held = shared.write(|tables| tables.end_lease(lease));
    web::answer(
        if held {
            StatusCode::OK
        } else {
            StatusCode::NOT_FOUND
        },
        "{}",
    )
}
