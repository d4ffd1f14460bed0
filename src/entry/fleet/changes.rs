//! Fetches changes of the replica from peers, and serves them to peers.

use std::future::Future;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::{Buf, Bytes, BytesMut};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

use crate::entry::fleet::members::InstanceStatus;
use crate::entry::fleet::message::{self, MAX_FRAME};
use crate::entry::fleet::replica::{Delta, Position};
use crate::entry::shared::Shared;
use crate::units::Time;

/// Time without progress after which an exchange with a peer is given up.
const STALL_TIMEOUT: Duration = Duration::from_millis(800);
/// Time that each transfer has in addition to that at [`MIN_RATE`].
const MIN_TRANSFER_TIME: Duration = Duration::from_secs(2);
/// Lowest rate of a long transfer that is not given up, in bytes a second.
const MIN_RATE: u32 = 32 << 10;
/// Buffer space for each read of a frame, in bytes.
const READ_BYTES: usize = 16 << 10;
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
            if let Err(err) = handle_request(&shared, stream).await {
                tracing::debug!(%peer, %err, "request of a peer was not answered");
            }
        });
    }
}

async fn handle_request(shared: &Shared, mut stream: TcpStream) -> std::io::Result<()> {
    let bytes = read_frame(&mut stream).await?;
    let position = message::decode_request(&bytes).map_err(std::io::Error::other)?;
    let delta = shared.state().replica.delta_since(position);
    write_frame(&mut stream, message::encode_response(delta)).await
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
    let mut stream = with_progress(TcpStream::connect(peer)).await?;
    write_frame(&mut stream, message::encode_request(from)).await?;
    let bytes = read_frame(&mut stream).await?;
    message::decode_response(&bytes).map_err(std::io::Error::other)
}

async fn write_frame(
    stream: &mut TcpStream,
    encoded: Result<Vec<u8>, postcard::Error>,
) -> std::io::Result<()> {
    let bytes = encoded.map_err(std::io::Error::other)?;
    let length = u32::try_from(bytes.len()).map_err(std::io::Error::other)?;
    let mut frame = Bytes::from([&length.to_be_bytes()[..], &bytes].concat());
    let writing = async {
        while frame.has_remaining() {
            with_progress(stream.write_buf(&mut frame)).await?;
        }
        Ok(())
    };
    within_time_for(length, writing).await
}

async fn read_frame(stream: &mut TcpStream) -> std::io::Result<Vec<u8>> {
    let frame_length = with_progress(stream.read_u32()).await?;
    let length = usize::try_from(frame_length).map_err(std::io::Error::other)?;
    if length > MAX_FRAME {
        return Err(std::io::Error::other("frame exceeds the maximum size"));
    }
    let reading = async {
        let mut bytes = BytesMut::new();
        let mut rest = stream.take(u64::from(frame_length));
        while bytes.len() < length {
            bytes.reserve(READ_BYTES.min(length - bytes.len()));
            if with_progress(rest.read_buf(&mut bytes)).await? == 0 {
                return Err(std::io::ErrorKind::UnexpectedEof.into());
            }
        }
        Ok(bytes.into())
    };
    within_time_for(frame_length, reading).await
}

/// Limits one step of an exchange.
async fn with_progress<T>(step: impl Future<Output = std::io::Result<T>>) -> std::io::Result<T> {
    tokio::time::timeout(STALL_TIMEOUT, step)
        .await
        .map_err(|_| std::io::Error::other("no progress"))?
}

/// Limits the transfer of as many bytes.
async fn within_time_for<T>(
    bytes: u32,
    transfer: impl Future<Output = std::io::Result<T>>,
) -> std::io::Result<T> {
    let limit = MIN_TRANSFER_TIME + Duration::from_secs(1) * bytes / MIN_RATE;
    tokio::time::timeout(limit, transfer)
        .await
        .map_err(|_| std::io::Error::other("the transfer is too slow"))?
}

#[cfg(test)]
mod tests;
