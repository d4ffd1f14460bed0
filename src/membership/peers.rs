//! Connections to the other instances, over JSON-RPC.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use http::{HeaderMap, header};
use indexmap::IndexMap;
use jsonrpsee::core::client::ClientT;
use jsonrpsee::core::params::ObjectParams;
use jsonrpsee_ws_client::{PingConfig, WsClient, WsClientBuilder};
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::runtime::Handle;

use crate::settings::Secret;

/// Timeout for connecting to a peer.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Interval between pings on a connection to a peer.
const PING_INTERVAL: Duration = Duration::from_secs(1);
/// Time without a message after which a connection to a peer is closed.
const PING_TIMEOUT: Duration = Duration::from_secs(3);
/// Timeout for a peer's response, including its wait for a slot.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(30);
/// Maximum number of concurrent requests to one peer.
const MAX_OPEN_REQUESTS: usize = 16_384;

/// A request to a peer failed.
#[derive(Debug, Clone, PartialEq, Eq, derive_more::Display, derive_more::Error)]
#[display("request to the peer failed: {reason}")]
pub struct PeerError {
    /// Whether the peer may have received the request.
    pub sent: bool,
    /// Cause of the failure.
    #[error(not(source))]
    pub reason: String,
}

/// Connections to the other instances, one for each address.
#[derive(Debug)]
pub struct Peers {
    rt: Handle,
    key: Option<Secret>,
    slots: Mutex<IndexMap<SocketAddr, ConnectionSlot>>,
}

/// Connection to one peer. It is locked while it is being opened, so that an
/// unreachable peer blocks no request to another one.
type ConnectionSlot = Arc<tokio::sync::Mutex<Option<Arc<WsClient>>>>;

impl Peers {
    /// Creates an empty set of connections that are driven on `rt`.
    #[must_use]
    pub fn new(rt: Handle, key: Option<Secret>) -> Self {
        Self {
            rt,
            key,
            slots: Mutex::default(),
        }
    }

    /// Calls a method of the peer at `address`; `params` must serialize to a
    /// JSON object.
    ///
    /// # Errors
    /// [`PeerError`] when the peer can't be reached or returns an error.
    pub async fn call<R: DeserializeOwned>(
        &self,
        address: SocketAddr,
        method: &str,
        params: &impl Serialize,
    ) -> Result<R, PeerError> {
        let client = self.client(address).await?;
        let mut object = ObjectParams::new();
        object.insert("msg", params).map_err(|err| not_sent(&err))?;
        let response = client.request(method, object).await;
        response.map_err(|err| PeerError {
            sent: true,
            reason: err.to_string(),
        })
    }

    async fn client(&self, address: SocketAddr) -> Result<Arc<WsClient>, PeerError> {
        let slot = self.slot(address);
        let mut open = slot.lock().await;
        if let Some(client) = &*open
            && client.is_connected()
        {
            return Ok(Arc::clone(client));
        }
        let headers = self.headers()?;
        let connect = async move {
            WsClientBuilder::new()
                .set_headers(headers)
                .set_tcp_no_delay(true)
                .connection_timeout(CONNECT_TIMEOUT)
                .request_timeout(REQUEST_TIMEOUT)
                .max_concurrent_requests(MAX_OPEN_REQUESTS)
                .enable_ws_ping(ping_config())
                .build(format!("ws://{address}"))
                .await
        };
        let connected = self.rt.spawn(connect).await.map_err(|err| not_sent(&err))?;
        let client = Arc::new(connected.map_err(|err| not_sent(&err))?);
        *open = Some(Arc::clone(&client));
        Ok(client)
    }

    fn slot(&self, address: SocketAddr) -> ConnectionSlot {
        let mut slots = self.slots.lock().unwrap_or_else(PoisonError::into_inner);
        Arc::clone(slots.entry(address).or_default())
    }

    fn headers(&self) -> Result<HeaderMap, PeerError> {
        let mut headers = HeaderMap::new();
        if let Some(key) = &self.key {
            let value = key.to_header().ok_or_else(|| {
                not_sent(&"the peer key contains characters that are not allowed in a header")
            })?;
            headers.insert(header::AUTHORIZATION, value);
        }
        Ok(headers)
    }
}

/// Settings of the pings that detect a connection whose remote end is gone.
fn ping_config() -> PingConfig {
    PingConfig::new()
        .ping_interval(PING_INTERVAL)
        .inactive_limit(PING_TIMEOUT)
        .max_failures(1)
}

fn not_sent(err: &impl ToString) -> PeerError {
    PeerError {
        sent: false,
        reason: err.to_string(),
    }
}

#[cfg(test)]
mod tests;
