//! Fetches changes of the replica from peers, and serves them to peers.

use std::future::Future;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::time::Duration;

use bytes::{Buf, Bytes, BytesMut};
use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use rand::Rng;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Semaphore;

use crate::entry::fleet::comparison::Comparisons;
use crate::entry::fleet::message::{self, MAX_FRAME};
use crate::entry::fleet::replica::{Checksum, Delta, Position, Summary};
use crate::entry::fleet::source::{self, Avoided, Lacking, Source};
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
/// Large responses that an instance sends at a time: its link may carry few copies of a
/// configuration a second.
const MAX_LARGE_TRANSFERS: usize = 2;
/// Rows from which a response is large, some tens of kilobytes.
const LARGE_ROWS: usize = 512;
/// Fetches that run at a time: a second one starts beside one that is slow.
const MAX_FETCHES: usize = 2;
/// Time after which a fetch is slow.
const SLOW_FETCH: Duration = STALL_TIMEOUT;
/// Largest request of a peer, in bytes.
const MAX_REQUEST_BYTES: usize = 64;
/// Time to wait for the own watch or a peer in the same zone before a peer in another
/// zone is asked for changes, since traffic between zones is expensive.
const OTHER_ZONE_DELAY: Duration = Duration::from_millis(150);

/// Serves requests of peers until the process ends.
pub(crate) async fn serve_requests(shared: Arc<Shared>, listener: TcpListener) {
    let large_transfers = Arc::new(Semaphore::new(MAX_LARGE_TRANSFERS));
    loop {
        let Ok((stream, peer)) = listener.accept().await else {
            tokio::time::sleep(Duration::from_millis(10)).await;
            continue;
        };
        let (shared, large_transfers) = (shared.clone(), large_transfers.clone());
        tokio::spawn(async move {
            if let Err(err) = handle_request(&shared, stream, &large_transfers).await {
                tracing::debug!(%peer, %err, "request of a peer was not answered");
            }
        });
    }
}

async fn handle_request(
    shared: &Shared,
    mut stream: TcpStream,
    large_transfers: &Semaphore,
) -> std::io::Result<()> {
    let bytes = read_frame(&mut stream, MAX_REQUEST_BYTES).await?;
    let position = message::decode_request(&bytes).map_err(std::io::Error::other)?;
    if shared.state().replica.rows_since(position) < LARGE_ROWS {
        let delta = shared.state().replica.delta_since(position);
        return write_frame(&mut stream, message::encode_response(delta)).await;
    }
    let Ok(_permit) = large_transfers.try_acquire() else {
        return write_frame(&mut stream, message::encode_busy()).await;
    };
    let delta = shared.state().replica.delta_since(position);
    write_frame(&mut stream, message::encode_response(delta)).await?;
    // What was written may still be on its way. The peer closes the connection after it.
    stream.shutdown().await?;
    tokio::time::timeout(MIN_TRANSFER_TIME, stream.read_u8())
        .await
        .map_or(Ok(()), |_| Ok(()))
}

/// A fetch that has ended.
struct Fetched {
    source: Source,
    /// The own copy when the fetch was started.
    own: Checksum,
    from: Position,
    started: Time,
    /// The changes; `None` if the source was busy.
    result: std::io::Result<Option<Delta>>,
}

/// The fetches that run.
#[derive(Default)]
struct Fetches {
    running: FuturesUnordered<Pin<Box<dyn Future<Output = Fetched> + Send>>>,
    asked: Vec<(SocketAddr, Time)>,
}

impl Fetches {
    /// Whether another fetch may start: none runs, or one that is slow.
    fn may_start(&self, now: Time) -> bool {
        let is_slow = |(_, started): &(_, Time)| now.since(*started) >= SLOW_FETCH;
        self.asked.len() < MAX_FETCHES && self.asked.iter().all(is_slow)
    }

    fn is_asked(&self, peer: SocketAddr) -> bool {
        self.asked.iter().any(|(known, _)| *known == peer)
    }

    fn start(&mut self, source: Source, own: Checksum, from: Position, started: Time) {
        self.asked.push((source.address, started));
        self.running.push(Box::pin(async move {
            Fetched {
                source,
                own,
                from,
                started,
                result: fetch_changes(source.address, from).await,
            }
        }));
    }

    async fn next(&mut self) -> Option<Fetched> {
        let fetched = self.running.next().await?;
        let peer = fetched.source.address;
        self.asked.retain(|(known, _)| *known != peer);
        Some(fetched)
    }

    /// Gives up all of them.
    fn clear(&mut self) {
        self.running.clear();
        self.asked.clear();
    }
}

/// Fetches changes from peers that have newer ones, until the process ends.
pub(crate) async fn pull_changes(shared: Arc<Shared>) {
    let interval = shared.state().tuning.heartbeat_interval;
    let mut behind_since: Option<Time> = None;
    let mut avoided = Avoided::default();
    let mut comparisons = Comparisons::default();
    let mut fetches = Fetches::default();
    loop {
        tokio::select! {
            Some(ended) = fetches.next() => {
                if finish(&shared, &mut avoided, &mut comparisons, ended) {
                    fetches.clear();
                }
                continue;
            }
            () = tokio::time::sleep(interval / 2) => {}
        }
        let now = shared.now();
        let mut sources = sources(&shared, &mut comparisons, now);
        if sources.is_empty() {
            behind_since = None;
            avoided.forget_failures();
            fetches.clear();
            continue;
        }
        let waited = now.since(*behind_since.get_or_insert(now));
        if !fetches.may_start(now) {
            continue;
        }
        sources.retain(|source| !fetches.is_asked(source.address));
        let draw = rand::rng().random();
        let Some(source) = source::choose(now, &sources, &avoided, draw) else {
            continue;
        };
        if waited < OTHER_ZONE_DELAY
            && !(source.same_zone && waited >= interval / 2 && !shared.state().watches())
        {
            continue;
        }
        let (own, from) = {
            let replica = &shared.state().replica;
            (replica.checksum(), source.lacking.position(replica))
        };
        fetches.start(*source, own, from, now);
    }
}

/// Applies what was fetched, or avoids its source; returns whether there were changes.
fn finish(
    shared: &Shared,
    avoided: &mut Avoided,
    comparisons: &mut Comparisons,
    fetched: Fetched,
) -> bool {
    let now = shared.now();
    let peer = fetched.source.address;
    match fetched.result {
        Ok(Some(delta)) => {
            shared.metrics.record_fetch("fetched");
            if fetched.source.lacking == Lacking::Unknown {
                comparisons.record(fetched.own, fetched.source.summary);
                compare(shared, &fetched.source, delta);
            } else {
                shared.state().apply(now, delta, "peer");
            }
            shared.capacity_freed.notify_waiters();
            avoided.forget_failures();
            true
        }
        Ok(None) => {
            shared.metrics.record_fetch("busy");
            avoided.record_busy(now, peer);
            false
        }
        Err(err) => {
            shared.metrics.record_fetch("failed");
            tracing::info!(
                %peer,
                revision = fetched.from.revision,
                peer_version = fetched.source.version,
                took_ms = now.since(fetched.started).as_millis(),
                %err,
                "failed to fetch changes from a peer"
            );
            avoided.record_failure(peer);
            false
        }
    }
}

/// Applies a peer's copy that contradicts the own one; see [`Replica::as_contradiction`].
///
/// [`Replica::as_contradiction`]: crate::entry::fleet::replica::Replica::as_contradiction
fn compare(shared: &Shared, source: &Source, delta: Delta) {
    let now = shared.now();
    let mut state = shared.state();
    tracing::info!(
        peer = %source.address,
        newest_change = source.summary.position.revision,
        own_revision = state.replica.revision(),
        peer_revision = delta.revision,
        own = ?state.replica.checksum(),
        peers = ?source.summary.checksum,
        "records of a peer differ though its newest change is the same; comparing"
    );
    let delta = state.replica.as_contradiction(delta, source.summary);
    state.apply(now, delta, "peer");
    state.replica.cover_from(source.summary);
    state.take_summary(source.summary);
}

/// The live peers that have what this instance lacks.
fn sources(shared: &Shared, comparisons: &mut Comparisons, now: Time) -> Vec<Source> {
    let mut state = shared.state();
    let live = state.members.live(now);
    let peers: Vec<Summary> = live.map(|(_, member)| member.status.summary()).collect();
    for peer in &peers {
        state.take_summary(*peer);
    }
    let (replica, version) = (&state.replica, state.status.version);
    let may_compare = comparisons.are_due(now, replica, &peers);
    let zone = &state.settings.zone;
    let live = state.members.live(now).filter_map(|(address, member)| {
        let status = &member.status;
        let summary = status.summary();
        let compare = may_compare && comparisons.is_new(replica, summary);
        Some(Source {
            address,
            same_zone: member.zone == *zone,
            summary,
            version: status.version,
            lacking: Lacking::of(replica, version, summary, status.version, compare)?,
        })
    });
    live.collect()
}

/// Fetches the changes after a position from a peer; `None` if it is busy.
async fn fetch_changes(peer: SocketAddr, from: Position) -> std::io::Result<Option<Delta>> {
    let mut stream = with_progress(TcpStream::connect(peer)).await?;
    write_frame(&mut stream, message::encode_request(from)).await?;
    let bytes = read_frame(&mut stream, MAX_FRAME).await?;
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

async fn read_frame(stream: &mut TcpStream, max: usize) -> std::io::Result<Vec<u8>> {
    let frame_length = with_progress(stream.read_u32()).await?;
    let length = usize::try_from(frame_length).map_err(std::io::Error::other)?;
    if length > max {
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
