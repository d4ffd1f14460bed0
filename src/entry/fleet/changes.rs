//! Fetches changes of the replica from peers, and serves them to peers.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

use crate::entry::fleet::members::InstanceStatus;
use crate::entry::fleet::message::{self, MAX_FRAME};
use crate::entry::fleet::replica::{Delta, Position};
use crate::entry::shared::Shared;
use crate::units::Time;

/// Timeout of a request to a peer, including its response.
const EXCHANGE_TIMEOUT: Duration = Duration::from_millis(800);
/// Time to wait for the own watch or a peer in the same zone before a peer in another
/// zone is asked for changes, since traffic between zones is expensive.
const OTHER_ZONE_DELAY: Duration = Duration::from_millis(150);

/// Serves requests of peers until the process ends.
pub(crate) async fn serve_requests(shared: Arc<Shared>, listener: TcpListener) {
    loop {
        let Ok((stream, peer)) = listener.accept().await else {
            tokio::time::sleep(Duration::from_millis(10)).await;
            continue;
        };
        let shared = shared.clone();
        tokio::spawn(async move {
            let exchange = tokio::time::timeout(EXCHANGE_TIMEOUT, handle_request(&shared, stream));
            if !matches!(exchange.await, Ok(Ok(()))) {
                tracing::debug!(%peer, "request of a peer was not answered");
            }
        });
    }
}

async fn handle_request(shared: &Shared, mut stream: TcpStream) -> std::io::Result<()> {
    let bytes = read_frame(&mut stream).await?;
    let position = message::decode_request(&bytes).map_err(std::io::Error::other)?;
    let delta = shared.state().replica.delta_since(position);
    write_frame(&mut stream, message::encode_response(delta)).await?;
    stream.shutdown().await
}

/// Fetches changes from peers that have newer ones, until the process ends.
pub(crate) async fn pull_changes(shared: Arc<Shared>) {
    let interval = shared.state().tuning.heartbeat_interval;
    let mut behind_since: Option<Time> = None;
    let mut failed: Vec<SocketAddr> = Vec::new();
    loop {
        tokio::time::sleep(interval / 2).await;
        let now = shared.now();
        let Some(source) = newest_peer(&shared, now, &failed) else {
            behind_since = None;
            failed.clear();
            continue;
        };
        let waited = now.since(*behind_since.get_or_insert(now));
        if waited < OTHER_ZONE_DELAY
            && !(source.same_zone && waited >= interval / 2 && !shared.state().watches())
        {
            continue;
        }
        let peer = source.address;
        match fetch_changes(peer, source.from).await {
            Ok(delta) => {
                let now = shared.now();
                shared.state().apply(now, delta, "peer");
                shared.capacity_freed.notify_waiters();
                failed.clear();
            }
            Err(err) => {
                tracing::info!(%peer, %err, "failed to fetch changes from a peer");
                failed.push(peer);
            }
        }
    }
}

/// A peer to fetch changes from.
struct ChangeSource {
    address: SocketAddr,
    /// Whether it is in this instance's zone.
    same_zone: bool,
    /// Position after which changes are requested; the default for everything.
    from: Position,
}

/// A live peer with newer changes or a newer configuration, preferably in the same zone.
/// Peers in `failed` are a last resort.
///
/// A peer has a newer configuration at the same revision when the store holds an invalid
/// one, so that an instance that has just started found none.
fn newest_peer(shared: &Shared, now: Time, failed: &[SocketAddr]) -> Option<ChangeSource> {
    let state = shared.state();
    let (position, version) = (state.replica.content_position(), state.status.version);
    let zone = &state.settings.zone;
    let is_newer =
        |status: &InstanceStatus| status.position() > position || status.version > version;
    let (address, member) = state
        .members
        .live(now)
        .filter(|(_, member)| is_newer(&member.status))
        .max_by_key(|(address, member)| {
            let status = &member.status;
            let same_zone = member.zone == *zone;
            (
                !failed.contains(address),
                same_zone,
                status.position(),
                status.version,
            )
        })?;
    let has_changes = member.status.position() > position;
    Some(ChangeSource {
        address,
        same_zone: member.zone == *zone,
        from: if has_changes {
            state.replica.position()
        } else {
            Position::default()
        },
    })
}

/// Fetches the changes after a position from a peer.
async fn fetch_changes(peer: SocketAddr, from: Position) -> std::io::Result<Delta> {
    let exchange = async {
        let mut stream = TcpStream::connect(peer).await?;
        write_frame(&mut stream, message::encode_request(from)).await?;
        let bytes = read_frame(&mut stream).await?;
        message::decode_response(&bytes).map_err(std::io::Error::other)
    };
    tokio::time::timeout(EXCHANGE_TIMEOUT, exchange)
        .await
        .map_err(|_| std::io::Error::other("timed out"))?
}

async fn write_frame(
    stream: &mut TcpStream,
    encoded: Result<Vec<u8>, postcard::Error>,
) -> std::io::Result<()> {
    let bytes = encoded.map_err(std::io::Error::other)?;
    let length = u32::try_from(bytes.len()).map_err(std::io::Error::other)?;
    let mut frame = length.to_be_bytes().to_vec();
    frame.extend_from_slice(&bytes);
    stream.write_all(&frame).await
}

async fn read_frame(stream: &mut TcpStream) -> std::io::Result<Vec<u8>> {
    let length = usize::try_from(stream.read_u32().await?).map_err(std::io::Error::other)?;
    if length > MAX_FRAME {
        return Err(std::io::Error::other("frame exceeds the maximum size"));
    }
    let mut bytes = vec![0; length];
    stream.read_exact(&mut bytes).await?;
    Ok(bytes)
}

#[cfg(test)]
mod tests;
