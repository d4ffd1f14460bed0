//! Implementation of [`Store`] on the etcd v3 API in its JSON mapping over HTTP.
//!
//! Keys and values are encoded as base64, 64-bit integers as decimal strings.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use bytes::Bytes;
use http::Method;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

use super::http::{HttpClient, new_client, send};
use super::store::{
    Compare, Entry, LeaseId, RangeReq, RangeResp, Store, StoreError, StoreFn, Txn, TxnResp, Write,
};

/// Creates a client of the store at `address`; each call takes at most `timeout`.
#[must_use]
pub fn client(address: SocketAddr, timeout: Duration) -> Store {
    let client = Arc::new(EtcdClient {
        http: new_client(),
        address,
        timeout,
    });
    Store {
        range: bind_fn(&client, range),
        txn: bind_fn(&client, txn),
        grant: bind_fn(&client, grant),
        keep_alive: bind_fn(&client, keep_alive),
        revoke: bind_fn(&client, revoke),
        watch: bind_fn(&client, super::etcd_watch::watch),
    }
}

#[derive(Debug)]
pub(super) struct EtcdClient {
    pub(super) http: HttpClient,
    pub(super) address: SocketAddr,
    pub(super) timeout: Duration,
}

fn bind_fn<A, R, F>(client: &Arc<EtcdClient>, f: fn(Arc<EtcdClient>, A) -> F) -> StoreFn<A, R>
where
    A: 'static,
    R: 'static,
    F: Future<Output = Result<R, StoreError>> + Send + 'static,
{
    let client = Arc::clone(client);
    Arc::new(move |arg| Box::pin(f(Arc::clone(&client), arg)))
}

impl EtcdClient {
    async fn post<R: DeserializeOwned>(
        &self,
        path: &str,
        body: &impl Serialize,
    ) -> Result<R, StoreError> {
        let body = serde_json::to_vec(body).map_err(|err| StoreError::Refused(err.to_string()))?;
        let resp = send(
            &self.http,
            Method::POST,
            self.address,
            path,
            body.into(),
            self.timeout,
        )
        .await?;
        if !resp.status.is_success() {
            return Err(error_from_response(resp.status, &resp.body));
        }
        serde_json::from_slice(&resp.body)
            .map_err(|err| StoreError::OutcomeUnknown(err.to_string()))
    }
}

/// Maps an unsuccessful response to an error. After a server error, the outcome of a
/// write is unknown.
pub(super) fn error_from_response(status: http::StatusCode, body: &Bytes) -> StoreError {
    let text = if body.is_empty() {
        format!("status {status}")
    } else {
        String::from_utf8_lossy(body).into_owned()
    };
    if text.contains("requested lease not found") {
        return StoreError::LeaseExpired;
    }
    if status.is_server_error() {
        return StoreError::OutcomeUnknown(text);
    }
    StoreError::Refused(text)
}

async fn range(client: Arc<EtcdClient>, req: RangeReq) -> Result<RangeResp, StoreError> {
    let body = WireRangeReq {
        key: STANDARD.encode(&req.key),
        range_end: req.prefix.then(|| STANDARD.encode(prefix_end(&req.key))),
    };
    let resp: WireRangeResp = client.post("/v3/kv/range", &body).await?;
    let entries = resp
        .kvs
        .iter()
        .map(decode_entry)
        .collect::<Result<_, _>>()?;
    Ok(RangeResp {
        store_revision: resp.header.revision,
        entries,
    })
}

async fn txn(client: Arc<EtcdClient>, txn: Txn) -> Result<TxnResp, StoreError> {
    let body = WireTxn {
        compare: txn.compare.iter().map(wire_compare).collect(),
        success: txn.writes.iter().map(wire_write).collect(),
    };
    let resp: WireTxnResp = client.post("/v3/kv/txn", &body).await?;
    Ok(TxnResp {
        succeeded: resp.succeeded,
        store_revision: resp.header.revision,
    })
}

async fn grant(client: Arc<EtcdClient>, ttl: Duration) -> Result<LeaseId, StoreError> {
    let body = WireGrant {
        ttl: ttl.as_secs().max(1).cast_signed(),
    };
    let resp: WireLease = client.post("/v3/lease/grant", &body).await?;
    Ok(LeaseId(resp.id))
}

async fn keep_alive(client: Arc<EtcdClient>, lease: LeaseId) -> Result<Duration, StoreError> {
    let resp: WireKeepAlive = client
        .post("/v3/lease/keepalive", &WireLeaseId { id: lease.0 })
        .await?;
    match u64::try_from(resp.result.ttl) {
        Ok(secs) if secs > 0 => Ok(Duration::from_secs(secs)),
        _ => Err(StoreError::LeaseExpired),
    }
}

async fn revoke(client: Arc<EtcdClient>, lease: LeaseId) -> Result<(), StoreError> {
    let _: serde_json::Value = client
        .post("/v3/lease/revoke", &WireLeaseId { id: lease.0 })
        .await?;
    Ok(())
}

/// Returns the first key after all keys that start with `prefix`. If there is none, it
/// returns a zero byte, which etcd reads as the end of all keys.
pub(super) fn prefix_end(prefix: &str) -> Vec<u8> {
    let mut end = prefix.as_bytes().to_vec();
    while let Some(last) = end.pop() {
        if last < u8::MAX {
            end.push(last + 1);
            return end;
        }
    }
    vec![0]
}

pub(super) fn decode_entry(kv: &WireKv) -> Result<Entry, StoreError> {
    let key = String::from_utf8(decode_base64(&kv.key)?)
        .map_err(|err| StoreError::Refused(err.to_string()))?;
    Ok(Entry {
        key,
        value: decode_base64(&kv.value)?.into(),
        mod_revision: kv.mod_revision,
        lease: (kv.lease != 0).then_some(LeaseId(kv.lease)),
    })
}

pub(super) fn decode_base64(text: &str) -> Result<Vec<u8>, StoreError> {
    STANDARD
        .decode(text)
        .map_err(|err| StoreError::Refused(err.to_string()))
}

fn wire_compare(compare: &Compare) -> WireCompare {
    WireCompare {
        key: STANDARD.encode(&compare.key),
        target: "MOD",
        result: "EQUAL",
        mod_revision: compare.mod_revision,
    }
}

fn wire_write(write: &Write) -> WireOp {
    match write {
        Write::Put { key, value, lease } => WireOp {
            request_put: Some(WirePut {
                key: STANDARD.encode(key),
                value: STANDARD.encode(value),
                lease: lease.map_or(0, |lease| lease.0),
            }),
            request_delete_range: None,
        },
        Write::Delete { key } => WireOp {
            request_put: None,
            request_delete_range: Some(WireDelete {
                key: STANDARD.encode(key),
            }),
        },
    }
}

/// Serializes 64-bit integers as decimal strings, as the JSON mapping of protobuf does,
/// and deserializes them from strings or numbers.
pub(super) mod int64 {
    use serde::{Deserialize, Deserializer, Serializer, de};

    #[expect(
        clippy::trivially_copy_pass_by_ref,
        reason = "required by `#[serde(with)]`"
    )]
    pub(in crate::platform) fn serialize<S: Serializer>(
        value: &i64,
        ser: S,
    ) -> Result<S::Ok, S::Error> {
        ser.collect_str(value)
    }

    pub(in crate::platform) fn deserialize<'de, D: Deserializer<'de>>(
        de: D,
    ) -> Result<i64, D::Error> {
        #[derive(Deserialize)]
        #[serde(untagged)]
        enum Form {
            Text(String),
            Number(i64),
        }
        match Form::deserialize(de)? {
            Form::Text(text) => text.parse().map_err(de::Error::custom),
            Form::Number(number) => Ok(number),
        }
    }
}

#[derive(Serialize)]
struct WireRangeReq {
    key: String,
    #[serde(skip_serializing_if = "Option::is_none")]
    range_end: Option<String>,
}

#[derive(Deserialize)]
pub(super) struct WireHeader {
    #[serde(with = "int64")]
    pub(super) revision: i64,
}

#[derive(Deserialize)]
struct WireRangeResp {
    header: WireHeader,
    #[serde(default)]
    kvs: Vec<WireKv>,
}

#[derive(Deserialize)]
pub(super) struct WireKv {
    pub(super) key: String,
    #[serde(default)]
    value: String,
    #[serde(default, with = "int64")]
    pub(super) mod_revision: i64,
    #[serde(default, with = "int64")]
    lease: i64,
}

#[derive(Serialize)]
struct WireTxn {
    compare: Vec<WireCompare>,
    success: Vec<WireOp>,
}

#[derive(Serialize)]
struct WireCompare {
    key: String,
    target: &'static str,
    result: &'static str,
    #[serde(with = "int64")]
    mod_revision: i64,
}

#[derive(Serialize)]
struct WireOp {
    #[serde(skip_serializing_if = "Option::is_none")]
    request_put: Option<WirePut>,
    #[serde(skip_serializing_if = "Option::is_none")]
    request_delete_range: Option<WireDelete>,
}

#[derive(Serialize)]
struct WirePut {
    key: String,
    value: String,
    #[serde(with = "int64")]
    lease: i64,
}

#[derive(Serialize)]
struct WireDelete {
    key: String,
}

#[derive(Deserialize)]
struct WireTxnResp {
    header: WireHeader,
    #[serde(default)]
    succeeded: bool,
}

#[derive(Serialize)]
struct WireGrant {
    #[serde(rename = "TTL", with = "int64")]
    ttl: i64,
}

#[derive(Deserialize)]
struct WireLease {
    #[serde(rename = "ID", with = "int64")]
    id: i64,
}

#[derive(Serialize)]
struct WireLeaseId {
    #[serde(rename = "ID", with = "int64")]
    id: i64,
}

#[derive(Deserialize)]
struct WireKeepAlive {
    result: WireKeepAliveResult,
}

#[derive(Deserialize)]
struct WireKeepAliveResult {
    #[serde(default, rename = "TTL", with = "int64")]
    ttl: i64,
}
