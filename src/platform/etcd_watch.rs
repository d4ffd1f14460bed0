//! Watches of the etcd v3 JSON mapping: an endless response with one JSON object per
//! line.

use std::sync::Arc;

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use bytes::{Bytes, BytesMut};
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use serde::{Deserialize, Serialize};
use tokio::sync::mpsc;

use super::etcd::{
    EtcdClient, WireHeader, WireKv, decode_base64, decode_entry, error_from_response, int64,
    prefix_end,
};
use super::http::open_stream;
use super::store::{Change, StoreError, Watch, WatchBatch, WatchReq};

/// Longest error message that is read, in bytes.
const MAX_ERROR_BYTES: usize = 64 << 10;
/// Longest line that is read, in bytes.
const MAX_LINE_BYTES: usize = 16 << 20;
/// Batches that are buffered before the reader of a watch receives them.
const CHANNEL_CAPACITY: usize = 64;

type BatchSender = mpsc::Sender<Result<WatchBatch, StoreError>>;

/// Opens a watch and spawns a task that reads its response.
pub(super) async fn watch(client: Arc<EtcdClient>, req: WatchReq) -> Result<Watch, StoreError> {
    let body = WireCreate {
        create_request: WireWatch {
            key: STANDARD.encode(&req.key),
            range_end: req.prefix.then(|| STANDARD.encode(prefix_end(&req.key))),
            start_revision: req.start_revision,
            progress_notify: true,
        },
    };
    let body = serde_json::to_vec(&body).map_err(|err| StoreError::Refused(err.to_string()))?;
    let resp = open_stream(
        &client.http,
        client.address,
        "/v3/watch",
        body.into(),
        client.timeout,
    )
    .await?;
    if !resp.status().is_success() {
        let status = resp.status();
        let body = Limited::new(resp.into_body(), MAX_ERROR_BYTES).collect();
        let body = tokio::time::timeout(client.timeout, body).await;
        let body = match body {
            Ok(Ok(body)) => body.to_bytes(),
            // The status alone must do.
            Ok(Err(_)) | Err(_) => Bytes::new(),
        };
        return Err(error_from_response(status, &body));
    }
    let (tx, rx) = mpsc::channel(CHANNEL_CAPACITY);
    tokio::spawn(read_batches(resp.into_body(), tx));
    Ok(Watch::new(rx))
}

/// Sends batches to `tx` until the response ends, a batch is an error, or the receiver
/// is dropped.
async fn read_batches(mut body: Incoming, tx: BatchSender) {
    let mut buf = BytesMut::new();
    loop {
        let frame = tokio::select! {
            frame = body.frame() => frame,
            () = tx.closed() => return,
        };
        let Some(Ok(frame)) = frame else {
            return;
        };
        if let Ok(data) = frame.into_data() {
            buf.extend_from_slice(&data);
        }
        while let Some(line) = take_line(&mut buf) {
            let batch = parse_batch(&line);
            let failed = batch.is_err();
            if tx.send(batch).await.is_err() || failed {
                return;
            }
        }
        if buf.len() > MAX_LINE_BYTES {
            let detail = "a watch message exceeds the size limit".to_owned();
            let _ = tx.send(Err(StoreError::Refused(detail))).await;
            return;
        }
    }
}

/// Removes the first complete line from `buf`.
fn take_line(buf: &mut BytesMut) -> Option<Bytes> {
    let end = buf.iter().position(|byte| *byte == b'\n')?;
    Some(buf.split_to(end + 1).freeze())
}

fn parse_batch(line: &[u8]) -> Result<WatchBatch, StoreError> {
    let msg: WireMessage =
        serde_json::from_slice(line).map_err(|err| StoreError::OutcomeUnknown(err.to_string()))?;
    let result = msg.result;
    if result.compact_revision > 0 {
        return Err(StoreError::Compacted(result.compact_revision));
    }
    if result.canceled {
        return Err(StoreError::OutcomeUnknown(
            "the watch was cancelled".to_owned(),
        ));
    }
    Ok(WatchBatch {
        store_revision: result.header.revision,
        changes: result
            .events
            .iter()
            .map(decode_change)
            .collect::<Result<_, _>>()?,
    })
}

fn decode_change(event: &WireEvent) -> Result<Change, StoreError> {
    match event.kind {
        WireEventKind::Put => Ok(Change::Put(decode_entry(&event.kv)?)),
        WireEventKind::Delete => Ok(Change::Delete {
            key: String::from_utf8(decode_base64(&event.kv.key)?)
                .map_err(|err| StoreError::Refused(err.to_string()))?,
            mod_revision: event.kv.mod_revision,
        }),
    }
}

#[derive(Serialize)]
struct WireCreate {
    create_request: WireWatch,
}

#[derive(Serialize)]
struct WireWatch {
    key: String,
    #[serde(skip_serializing_if = "Option::is_none")]
    range_end: Option<String>,
    #[serde(with = "int64")]
    start_revision: i64,
    progress_notify: bool,
}

#[derive(Deserialize)]
struct WireMessage {
    result: WireResult,
}

#[derive(Deserialize)]
struct WireResult {
    header: WireHeader,
    #[serde(default)]
    canceled: bool,
    #[serde(default, with = "int64")]
    compact_revision: i64,
    #[serde(default)]
    events: Vec<WireEvent>,
}

#[derive(Deserialize)]
struct WireEvent {
    #[serde(default, rename = "type")]
    kind: WireEventKind,
    kv: WireKv,
}

#[derive(Deserialize, Default, Clone, Copy)]
#[serde(rename_all = "UPPERCASE")]
enum WireEventKind {
    #[default]
    Put,
    Delete,
}
