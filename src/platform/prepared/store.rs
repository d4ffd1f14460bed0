//! Calls to the platform's store.

use std::fmt::Write;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use serde::Deserialize;
use serde::de::DeserializeOwned;
use serde_json::json;

use super::record;
use crate::entry::model::Change;
use crate::http1::client::{Answer, Conn, ExchangeError, Outgoing};

/// Time to connect to the store.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Time for an answer; the store may take hundreds of milliseconds when it is slow.
const CALL_TIMEOUT: Duration = Duration::from_millis(1500);
/// Time that a watch's answer may take beyond the time it waits.
const WATCH_MARGIN: Duration = Duration::from_millis(700);
/// Largest answer: a page of at most a megabyte, in base64 with its fields.
const MAX_ANSWER: usize = 8 << 20;

/// Why a call to the store gave nothing.
#[derive(Debug, derive_more::Display)]
pub(crate) enum StoreError {
    /// The store did nothing; the call may be made again.
    #[display("refused with status {_0}")]
    Refused(u16),
    /// There is no such lease, or the history that a watch asked for is gone.
    #[display("gone")]
    Gone,
    /// The condition of a change doesn't hold.
    #[display("the condition doesn't hold")]
    Conflict,
    /// No answer; a change may have been made, or may still be made.
    #[display("no answer: {_0}")]
    Unknown(String),
    /// The answer can't be read.
    #[display("an unreadable answer: {_0}")]
    Malformed(String),
}

/// What was read, and the store's revision at that time.
#[derive(Debug)]
pub(crate) struct Reading {
    /// The records and removals, by rising revision for a watch.
    pub changes: Vec<Change>,
    /// Revision to watch from.
    pub revision: u64,
}

/// A connection to the store, opened when it is needed.
#[derive(Debug)]
pub(crate) struct StoreClient {
    address: SocketAddr,
    conn: Option<Conn>,
    calls: Arc<prometheus::IntCounterVec>,
}

impl StoreClient {
    /// A client that counts its calls by kind.
    pub(crate) fn new(address: SocketAddr, calls: Arc<prometheus::IntCounterVec>) -> Self {
        Self {
            address,
            conn: None,
            calls,
        }
    }

    /// Reads everything; the revision is that of the first page.
    pub(crate) async fn read_all(&mut self) -> Result<Reading, StoreError> {
        let mut changes = Vec::new();
        let mut revision = None;
        let mut after = String::new();
        loop {
            let path = format!("/api/kv-range?prefix=&after={}", escape(&after));
            let page: Page = self.get("range", &path, CALL_TIMEOUT).await?;
            revision.get_or_insert(page.store_revision);
            if let Some(last) = page.items.last() {
                after.clone_from(&last.key);
            }
            let more = page.more_pages && !page.items.is_empty();
            changes.extend(page.items.into_iter().filter_map(Item::change));
            if !more {
                let revision = revision.unwrap_or_default();
                return Ok(Reading { changes, revision });
            }
        }
    }

    /// Waits for changes after `revision`; an empty reading when none came.
    pub(crate) async fn watch(
        &mut self,
        revision: u64,
        wait: Duration,
    ) -> Result<Reading, StoreError> {
        let wait_ms = wait.as_millis();
        let path = format!("/api/kv-watch?prefix=&after={revision}&wait_ms={wait_ms}");
        let events: Events = self.get("watch", &path, wait + WATCH_MARGIN).await?;
        Ok(Reading {
            changes: events.events.into_iter().filter_map(Item::change).collect(),
            revision: events.store_revision,
        })
    }

    /// Takes a lease.
    pub(crate) async fn grant(&mut self, ttl: Duration) -> Result<u64, StoreError> {
        #[derive(Deserialize)]
        struct Granted {
            lease: u64,
        }
        let body = json!({ "ttl_ms": whole_millis(ttl) });
        let granted: Granted = self.post("grant", "/api/kv-lease", &body).await?;
        Ok(granted.lease)
    }

    /// Renews a lease; [`StoreError::Gone`] when it has ended.
    pub(crate) async fn renew(&mut self, lease: u64) -> Result<(), StoreError> {
        let path = format!("/api/kv-keep/{lease}");
        let _: serde_json::Value = self.post("renew", &path, &json!({})).await?;
        Ok(())
    }

    /// Writes a record under a lease; idempotent.
    pub(crate) async fn put(
        &mut self,
        key: &str,
        value: &[u8],
        lease: u64,
    ) -> Result<(), StoreError> {
        let value = STANDARD.encode(value);
        let body = json!({
            "expected": [],
            "writes": [{ "key": key, "value": value, "lease": lease }],
            "remove": [],
        });
        let _: serde_json::Value = self.post("put", "/api/kv-txn", &body).await?;
        Ok(())
    }

    async fn get<T: DeserializeOwned>(
        &mut self,
        kind: &str,
        path: &str,
        limit: Duration,
    ) -> Result<T, StoreError> {
        let req = format!("GET {path} HTTP/1.1\r\nhost: {}\r\n\r\n", self.address);
        self.call(kind, req.as_bytes(), limit).await
    }

    async fn post<T: DeserializeOwned>(
        &mut self,
        kind: &str,
        path: &str,
        body: &serde_json::Value,
    ) -> Result<T, StoreError> {
        let body = body.to_string();
        let req = format!(
            "POST {path} HTTP/1.1\r\nhost: {}\r\ncontent-type: application/json\r\n\
             content-length: {}\r\n\r\n{body}",
            self.address,
            body.len()
        );
        self.call(kind, req.as_bytes(), CALL_TIMEOUT).await
    }

    async fn call<T: DeserializeOwned>(
        &mut self,
        kind: &str,
        req: &[u8],
        limit: Duration,
    ) -> Result<T, StoreError> {
        let conn = self.conn.take().filter(Conn::is_reusable);
        let mut conn = match conn {
            Some(conn) => conn,
            None => Conn::open(self.address, CONNECT_TIMEOUT)
                .await
                .map_err(|err| StoreError::Unknown(err.to_string()))?,
        };
        self.calls.with_label_values(&[kind]).inc();
        let out = Outgoing {
            bytes: req,
            is_head: false,
            max_answer: MAX_ANSWER,
        };
        let answer = match tokio::time::timeout(limit, conn.exchange(&out, |_| true)).await {
            Ok(answer) => {
                answer.map_err(|err: ExchangeError| StoreError::Unknown(err.to_string()))?
            }
            Err(_) => return Err(StoreError::Unknown("timed out".into())),
        };
        self.conn = Some(conn);
        decode(&answer)
    }
}

fn decode<T: DeserializeOwned>(answer: &Answer) -> Result<T, StoreError> {
    match answer.status {
        200 => serde_json::from_slice(&answer.body)
            .map_err(|err| StoreError::Malformed(err.to_string())),
        404 | 410 => Err(StoreError::Gone),
        412 => Err(StoreError::Conflict),
        status => Err(StoreError::Refused(status)),
    }
}

#[derive(Deserialize)]
struct Page {
    items: Vec<Item>,
    #[serde(default)]
    more_pages: bool,
    store_revision: u64,
}

#[derive(Deserialize)]
struct Events {
    events: Vec<Item>,
    store_revision: u64,
}

#[derive(Deserialize)]
struct Item {
    key: String,
    #[serde(default)]
    value: Option<String>,
    rev: u64,
    #[serde(default)]
    removed: bool,
}

impl Item {
    /// Decodes an item; one that can't be used counts as removed.
    fn change(self) -> Option<Change> {
        let record = if self.removed {
            None
        } else {
            match self.decode() {
                Ok(Some(record)) => Some(record),
                Ok(None) => return None,
                Err(problem) => {
                    tracing::warn!(
                        key = self.key,
                        revision = self.rev,
                        problem,
                        "skipped a record"
                    );
                    None
                }
            }
        };
        Some(Change {
            key: self.key.into(),
            revision: self.rev,
            record,
        })
    }

    fn decode(&self) -> Result<Option<crate::entry::model::Record>, String> {
        let value = self.value.as_deref().unwrap_or_default();
        let value = STANDARD.decode(value).map_err(|err| err.to_string())?;
        record::decode(&self.key, &value)
    }
}

fn whole_millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}

/// Percent-encodes what may not stand in a query.
fn escape(text: &str) -> String {
    let mut out = String::with_capacity(text.len());
    for byte in text.bytes() {
        if byte.is_ascii_alphanumeric() || b"/-_.~:".contains(&byte) {
            out.push(char::from(byte));
        } else {
            // Writing to a string can't fail.
            let _ = write!(out, "%{byte:02X}");
        }
    }
    out
}

#[cfg(test)]
mod tests;
