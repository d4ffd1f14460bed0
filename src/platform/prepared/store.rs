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
pub(crate) const WATCH_MARGIN: Duration = Duration::from_millis(700);
/// Largest answer: a page of at most a megabyte, in base64 with its fields.
const MAX_ANSWER: usize = 8 << 20;

/// Why a call to the store gave nothing.
#[derive(Debug, derive_more::Display)]
pub(crate) enum StoreError {
    /// The store did nothing; the call may be made again.
    #[display("refused with status {_0}")]
    Refused(u16),
    /// The history that a watch asked for is gone.
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

/// Whether a reading may be some seconds old.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ReadAge {
    /// It is linearizable.
    Fresh,
    /// A watch from its revision must follow, which brings what it lacks.
    MayBeStale,
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

    /// Reads everything; the revision is that of the first page. A reading that may be
    /// some seconds old costs a tenth.
    pub(crate) async fn read_all(&mut self, age: ReadAge) -> Result<Reading, StoreError> {
        let mut changes = Vec::new();
        let mut revision = None;
        let mut after = String::new();
        loop {
            let stale = match age {
                ReadAge::Fresh => "",
                ReadAge::MayBeStale => "&stale_ok=1",
            };
            let path = format!("/api/kv-range?prefix=&after={}{stale}", escape(&after));
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

    /// Closes the connection; the next call opens another.
    pub(crate) fn disconnect(&mut self) {
        self.conn = None;
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

    /// Writes a record if its key is at `revision`, 0 for one that does not exist.
    /// [`StoreError::Conflict`] when it is not.
    pub(crate) async fn put_if(
        &mut self,
        key: &str,
        value: &[u8],
        revision: u64,
    ) -> Result<(), StoreError> {
        let value = STANDARD.encode(value);
        let body = json!({
            "expected": [{ "key": key, "rev": revision }],
            "writes": [{ "key": key, "value": value, "lease": 0 }],
            "remove": [],
        });
        let _: serde_json::Value = self.post("put", "/api/kv-txn", &body).await?;
        Ok(())
    }

    /// Removes a record if its key is at `revision`.
    pub(crate) async fn remove_if(&mut self, key: &str, revision: u64) -> Result<(), StoreError> {
        let body = json!({
            "expected": [{ "key": key, "rev": revision }],
            "writes": [],
            "remove": [key],
        });
        let _: serde_json::Value = self.post("remove", "/api/kv-txn", &body).await?;
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
