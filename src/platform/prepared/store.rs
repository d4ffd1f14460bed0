//! Client of the platform's key-value store.

mod changes;

use std::cmp::Ordering;
use std::fmt::Write;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use serde::de::DeserializeOwned;
use serde_json::json;
use tokio::time::Instant;

pub(crate) use self::changes::{ChangeSet, RejectedRecord};
use self::changes::{Events, Page};
use super::wire;
use crate::entry::fleet::replica::Position;
use crate::http1::client::{Conn, ExchangeError, OutgoingRequest, Response};
use crate::http1::progress::{Received, ResponseProgress};

const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Timeout for a response; a slow store takes hundreds of milliseconds. A response that
/// makes progress may take longer, see [`ProgressLimits`].
const CALL_TIMEOUT: Duration = Duration::from_millis(1500);
/// Time that the response to a watch may take beyond the watch's own wait.
pub(crate) const WATCH_MARGIN: Duration = Duration::from_millis(700);
/// Limits of a response that has not ended within its timeout.
const PROGRESS_LIMITS: ProgressLimits = ProgressLimits {
    stall_timeout: RESPONSE_STALL_TIMEOUT,
    // About forty transfers that share a link of 10 Mbit/s.
    min_bytes_per_second: 32 << 10,
};
/// Time without a byte after which a response that has begun is given up: that of the
/// shortest watch.
pub(crate) const RESPONSE_STALL_TIMEOUT: Duration = Duration::from_millis(800);
/// Largest response: a page of at most 1 MB, in base64 and with the fields around it.
const MAX_RESPONSE_BYTES: usize = 8 << 20;
/// Largest response to a watch: three copies of the largest configuration. To read
/// everything takes less time than more of them.
const MAX_WATCH_BYTES: usize = 4 << 20;

/// Why a call to the store failed.
#[derive(Debug, derive_more::Display)]
pub(crate) enum StoreError {
    /// The store did not execute the call; it may be retried.
    #[display("refused with status {_0}")]
    Refused(u16),
    /// The changes that a watch asked for are compacted; everything must be read again.
    #[display("the requested changes are compacted")]
    Compacted,
    /// The changes that a watch asked for are too large; everything must be read again.
    #[display("the requested changes exceed {MAX_WATCH_BYTES} bytes")]
    TooLarge,
    /// The store was restored from a copy since the position that a watch started from.
    #[display("the store was restored from a copy")]
    Restored,
    /// The key is not at the expected revision.
    #[display("the key is not at the expected revision")]
    Conflict,
    /// No response; a write may have been made, or may still be made.
    #[display("no response: {_0}")]
    OutcomeUnknown(String),
    /// The response can't be decoded.
    #[display("malformed response: {_0}")]
    Malformed(String),
}

/// Whether a read may be stale by some seconds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ReadConsistency {
    /// The read is linearizable.
    Linearizable,
    /// The read may lack the latest changes. A watch from its revision must follow, which
    /// delivers them.
    Stale,
}

/// How long a response may take beyond its timeout while it makes progress.
#[derive(Debug, Clone, Copy)]
struct ProgressLimits {
    /// Longest time without a byte.
    stall_timeout: Duration,
    /// Lowest rate over the whole of the time beyond the timeout.
    min_bytes_per_second: u32,
}

impl ProgressLimits {
    /// When a response is given up whose timeout ends at `timeout_end`.
    fn deadline(self, timeout_end: Instant, received: Received) -> Instant {
        let Some(last) = received.last else {
            return timeout_end;
        };
        let bytes = u32::try_from(received.bytes).unwrap_or(u32::MAX);
        let at_min_rate =
            Duration::from_secs_f64(f64::from(bytes) / f64::from(self.min_bytes_per_second));
        timeout_end.max((last + self.stall_timeout).min(timeout_end + at_min_rate))
    }
}

/// Client with one connection to the store, which is opened on demand.
#[derive(Debug)]
pub(crate) struct StoreClient {
    address: SocketAddr,
    conn: Option<Conn>,
    call_timeout: Duration,
    progress_limits: ProgressLimits,
    progress: Arc<ResponseProgress>,
    calls: Arc<prometheus::IntCounterVec>,
}

impl StoreClient {
    /// Creates a client that counts its calls by kind in `calls`.
    pub(crate) fn new(address: SocketAddr, calls: Arc<prometheus::IntCounterVec>) -> Self {
        Self {
            address,
            conn: None,
            call_timeout: CALL_TIMEOUT,
            progress_limits: PROGRESS_LIMITS,
            progress: Arc::default(),
            calls,
        }
    }

    /// Reads all records, page by page. The revision is the lowest one of all pages, since
    /// later pages of a read that may be stale can come from a replica that is further
    /// behind. Such a read costs a tenth of a linearizable one. If the store is restored
    /// between two pages, the result is [`StoreError::Restored`].
    pub(crate) async fn read_all(
        &mut self,
        consistency: ReadConsistency,
    ) -> Result<ChangeSet, StoreError> {
        let mut items = Vec::new();
        let mut first_era = None;
        let mut revision = u64::MAX;
        let mut after = String::new();
        loop {
            let stale = match consistency {
                ReadConsistency::Linearizable => "",
                ReadConsistency::Stale => "&stale_ok=1",
            };
            let path = format!(
                "/api/kv-range?prefix=&after={}{stale}",
                percent_encode(&after)
            );
            let timeout = self.call_timeout;
            let answer = self.get("range", &path, timeout, MAX_RESPONSE_BYTES);
            let Answer { era, body } = answer.await?;
            let page: Page = body;
            if era != *first_era.get_or_insert(era) {
                return Err(StoreError::Restored);
            }
            revision = revision.min(page.store_revision);
            let last = page.items.iter().rfind(|item| !item.key.is_empty());
            if let Some(last) = last {
                after.clone_from(&last.key);
            } else if page.more_pages && !page.items.is_empty() {
                return Err(StoreError::Malformed("no key of a page can be read".into()));
            }
            let more = page.more_pages && !page.items.is_empty();
            items.extend(page.items);
            if !more {
                return Ok(ChangeSet::decode(items, era, revision));
            }
        }
    }

    /// Progress of the response to the present call, or to the last one.
    pub(crate) fn progress(&self) -> Arc<ResponseProgress> {
        self.progress.clone()
    }

    /// Closes the connection; the next call opens a new one.
    pub(crate) fn disconnect(&mut self) {
        self.conn = None;
    }

    /// Waits for changes after `position`; the result has none if none came within `wait`.
    /// If they are too large, the result is [`StoreError::TooLarge`]; the next watch would
    /// bring even more. In a later era, it is [`StoreError::Restored`]: the changes after that
    /// revision are then not all that the position lacks.
    pub(crate) async fn watch(
        &mut self,
        position: Position,
        wait: Duration,
    ) -> Result<ChangeSet, StoreError> {
        let revision = position.revision;
        let wait_ms = wait.as_millis();
        let path = format!("/api/kv-watch?prefix=&after={revision}&wait_ms={wait_ms}");
        let timeout = wait + WATCH_MARGIN;
        let answer = self.get("watch", &path, timeout, MAX_WATCH_BYTES).await;
        let Answer { era, body } = answer?;
        let events: Events = body;
        match era.cmp(&position.era) {
            Ordering::Equal => {}
            Ordering::Greater => return Err(StoreError::Restored),
            Ordering::Less => {
                return Err(StoreError::OutcomeUnknown(
                    "the store is in an earlier era than its records".into(),
                ));
            }
        }
        Ok(ChangeSet::decode(events.events, era, events.store_revision))
    }

    /// Writes a record if its key is at `revision`; 0 requires that it does not exist.
    /// Otherwise the result is [`StoreError::Conflict`].
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
        self.post::<serde_json::Value>("put", "/api/kv-txn", &body)
            .await?;
        Ok(())
    }

    /// Writes records together if `key` is at `revision`; 0 requires that it does not exist.
    /// Otherwise the result is [`StoreError::Conflict`].
    pub(crate) async fn commit(
        &mut self,
        records: &[(String, Vec<u8>)],
        key: &str,
        revision: u64,
    ) -> Result<(), StoreError> {
        let write = |(key, value): &(String, Vec<u8>)| json!({ "key": key, "value": STANDARD.encode(value), "lease": 0 });
        let body = json!({
            "expected": [{ "key": key, "rev": revision }],
            "writes": records.iter().map(write).collect::<Vec<_>>(),
            "remove": [],
        });
        self.post::<serde_json::Value>("commit", "/api/kv-txn", &body)
            .await?;
        Ok(())
    }

    /// Removes a record if its key is at `revision`. Otherwise the result is
    /// [`StoreError::Conflict`].
    pub(crate) async fn remove_if(&mut self, key: &str, revision: u64) -> Result<(), StoreError> {
        let body = json!({
            "expected": [{ "key": key, "rev": revision }],
            "writes": [],
            "remove": [key],
        });
        self.post::<serde_json::Value>("remove", "/api/kv-txn", &body)
            .await?;
        Ok(())
    }

    async fn get<T: DeserializeOwned>(
        &mut self,
        kind: &str,
        path: &str,
        timeout: Duration,
        max_bytes: usize,
    ) -> Result<Answer<T>, StoreError> {
        let req = format!("GET {path} HTTP/1.1\r\nhost: {}\r\n\r\n", self.address);
        self.call(kind, req.as_bytes(), timeout, max_bytes).await
    }

    async fn post<T: DeserializeOwned>(
        &mut self,
        kind: &str,
        path: &str,
        body: &serde_json::Value,
    ) -> Result<Answer<T>, StoreError> {
        let body = body.to_string();
        let req = format!(
            "POST {path} HTTP/1.1\r\nhost: {}\r\ncontent-type: application/json\r\n\
             content-length: {}\r\n\r\n{body}",
            self.address,
            body.len()
        );
        let timeout = self.call_timeout;
        self.call(kind, req.as_bytes(), timeout, MAX_RESPONSE_BYTES)
            .await
    }

    async fn call<T: DeserializeOwned>(
        &mut self,
        kind: &str,
        req: &[u8],
        timeout: Duration,
        max_bytes: usize,
    ) -> Result<Answer<T>, StoreError> {
        self.progress.reset();
        let conn = self.conn.take().filter(Conn::is_reusable);
        let mut conn = match conn {
            Some(conn) => conn,
            None => Conn::connect(self.address, CONNECT_TIMEOUT)
                .await
                .map_err(|err| StoreError::OutcomeUnknown(err.to_string()))?,
        };
        self.calls.with_label_values(&[kind]).inc();
        let outgoing = OutgoingRequest {
            bytes: req,
            body: None,
            is_head: false,
            max_response_bytes: max_bytes,
            memory: None,
        };
        let timeout_end = Instant::now() + timeout;
        let deadline = || {
            let received = self.progress.received();
            self.progress_limits.deadline(timeout_end, received)
        };
        let exchange = conn.exchange_observed(&outgoing, |_| true, Some(&self.progress));
        let resp = complete_by(deadline, exchange)
            .await
            .ok_or_else(|| StoreError::OutcomeUnknown("timed out".into()))?
            .map_err(|err| match err {
                ExchangeError::TooLarge(_) => StoreError::TooLarge,
                err => StoreError::OutcomeUnknown(err.to_string()),
            })?;
        self.conn = Some(conn);
        Ok(Answer {
            era: wire::store_era(&resp.headers),
            body: decode_response(&resp)?,
        })
    }
}

/// Result of `task`; `None` once a deadline that may be extended has passed.
async fn complete_by<T>(
    deadline: impl Fn() -> Instant,
    task: impl Future<Output = T>,
) -> Option<T> {
    tokio::pin!(task);
    loop {
        let until = deadline();
        match tokio::time::timeout_at(until, &mut task).await {
            Ok(result) => return Some(result),
            Err(_) if deadline() <= until => return None,
            Err(_) => {}
        }
    }
}

/// Body of a response of the store, with its era.
struct Answer<T> {
    era: u64,
    body: T,
}

fn decode_response<T: DeserializeOwned>(resp: &Response) -> Result<T, StoreError> {
    match resp.status.as_u16() {
        200 => {
            // Only the item with bytes that are no text is then odd.
            let text = String::from_utf8_lossy(&resp.body);
            serde_json::from_str(&text).map_err(|err| StoreError::Malformed(err.to_string()))
        }
        404 | 410 => Err(StoreError::Compacted),
        412 => Err(StoreError::Conflict),
        status => Err(StoreError::Refused(status)),
    }
}

/// Percent-encodes a value for use in a query string.
fn percent_encode(text: &str) -> String {
    let mut out = String::with_capacity(text.len());
    for byte in text.bytes() {
        if byte.is_ascii_alphanumeric() || b"/-_.~:".contains(&byte) {
            out.push(char::from(byte));
        } else {
            // Writing to a `String` never fails.
            let _ = write!(out, "%{byte:02X}");
        }
    }
    out
}

#[cfg(test)]
mod tests;
