//! Datagrams between entry instances.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use rand::Rng;
use tokio::net::UdpSocket;

use crate::entry::fleet::message::{self, Datagram, MAX_DATAGRAM};
use crate::entry::shared::Shared;
use crate::entry::target::probe::{self, Prober};

/// Time that most probes take. A heartbeat waits for it, so that its reports are
/// recent.
const PROBE_SETTLE_TIME: Duration = Duration::from_millis(12);

/// Probes targets, sends heartbeats and removes expired state, once a heartbeat
/// interval until the process ends.
pub(crate) async fn run_heartbeats(shared: Arc<Shared>, socket: Arc<UdpSocket>) {
    let period = shared.state().tuning.heartbeat_interval;
    let mut tick = tokio::time::interval(period);
    tick.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    let mut prober = Prober::new(&shared);
    loop {
        tick.tick().await;
        prober.start_round();
        probe::check_failed_paths(&shared);
        tokio::time::sleep(PROBE_SETTLE_TIME).await;
        check_reach(&shared, &socket);
        shared.state().record_confirmed_probes(shared.now());
        send_heartbeats(&shared, &socket, false);
        send_news(&shared, &socket);
        request_digests(&shared, &socket);
        let now = shared.now();
        let removed = {
            let mut state = shared.state();
            state.update_outage(now);
            state.update_caps(now);
            state.remove_expired(now)
        };
        for id in removed {
            tracing::info!(target_id = %id, "target removed");
            shared.pool.remove(&id);
        }
        shared.pool.expire(now);
    }
}

/// Sends a heartbeat to every peer that is due one. With `all`, peers get it as early as
/// a significant change; see [`crate::entry::state::State::next_heartbeat`].
pub(crate) fn send_heartbeats(shared: &Shared, socket: &UdpSocket, all: bool) {
    let now = shared.now();
    let due = shared.state().next_heartbeat(now, all);
    if !due.same_zone.is_empty() {
        let encoded = message::encode_heartbeat(due.heartbeat.clone(), &due.relayed);
        send_encoded(shared, socket, encoded, &due.same_zone);
    }
    if !due.other_zones.is_empty() {
        let encoded = message::encode_heartbeat(due.heartbeat, &[]);
        send_encoded(shared, socket, encoded, &due.other_zones);
    }
}

/// Checks whether this instance reaches the targets if that is in question, and tells all
/// peers when it changes.
fn check_reach(shared: &Arc<Shared>, socket: &Arc<UdpSocket>) {
    let now = shared.now();
    let targets = shared.state().begin_reach_check(now, rand::rng().random());
    if let Some(targets) = targets {
        let (shared, socket) = (shared.clone(), socket.clone());
        tokio::spawn(async move {
            if probe::check_reach(&shared, &targets).await.is_some() {
                send_heartbeats(&shared, &socket, true);
            }
        });
    }
}

/// Sends what is new of requests suspected of crashing targets.
fn send_news(shared: &Shared, socket: &UdpSocket) {
    let now = shared.now();
    let news = shared.state().next_news(now, rand::rng().random());
    for (evidence, peers) in news {
        send(shared, socket, &Datagram::Evidence(evidence), &peers);
    }
}

/// Requests digests from peers in zones whose targets this instance needs.
fn request_digests(shared: &Shared, socket: &UdpSocket) {
    let now = shared.now();
    let peers = shared.state().digest_peers(now, rand::rng().random());
    send(shared, socket, &Datagram::DigestRequest, &peers);
}

/// Sends a datagram to some peers.
pub(crate) fn send(shared: &Shared, socket: &UdpSocket, datagram: &Datagram, peers: &[SocketAddr]) {
    if !peers.is_empty() {
        send_encoded(shared, socket, message::encode(datagram), peers);
    }
}

/// Sends a datagram to one peer, if this instance has its socket yet.
pub(crate) fn send_one(shared: &Shared, datagram: &Datagram, peer: SocketAddr) {
    if let Some(socket) = shared.peer_socket.get() {
        send(shared, socket, datagram, &[peer]);
    }
}

fn send_encoded(
    shared: &Shared,
    socket: &UdpSocket,
    encoded: Result<Vec<u8>, postcard::Error>,
    peers: &[SocketAddr],
) {
    let bytes = match encoded {
        Ok(bytes) => bytes,
        Err(err) => {
            tracing::warn!(%err, "cannot encode a datagram");
            return;
        }
    };
    let total = u64::try_from(bytes.len() * peers.len()).unwrap_or(u64::MAX);
    shared.metrics.peer_bytes.inc_by(total);
    for peer in peers {
        // A full socket buffer or an unreachable peer only loses this datagram.
        if let Err(err) = socket.try_send_to(&bytes, *peer) {
            tracing::debug!(%peer, %err, "datagram not sent");
        }
    }
}

/// Handles datagrams until the process ends.
pub(crate) async fn receive_datagrams(shared: Arc<Shared>, socket: Arc<UdpSocket>) {
    let mut buf = vec![0; MAX_DATAGRAM * 2];
    loop {
        let (length, from) = match socket.recv_from(&mut buf).await {
            Ok(received) => received,
            Err(err) => {
                tracing::debug!(%err, "failed to receive a datagram");
                continue;
            }
        };
        match message::decode_datagram(&buf[..length]) {
            Ok((datagram, relayed)) => {
                handle_datagram(&shared, &socket, from, datagram);
                shared.state().receive_relayed(shared.now(), &relayed);
            }
            Err(err) => tracing::debug!(%from, %err, "received an invalid datagram"),
        }
    }
}

fn handle_datagram(shared: &Shared, socket: &UdpSocket, from: SocketAddr, datagram: Datagram) {
    let now = shared.now();
    let mut state = shared.state();
    match datagram {
        Datagram::Heartbeat(heartbeat) => state.receive_heartbeat(now, from, &heartbeat),
        Datagram::Digest(reports) => state.apply_digest(now, &reports),
        Datagram::Evidence(evidence) => state.receive_evidence(now, from, &evidence),
        Datagram::VersionEvidence(report) => state.receive_version_evidence(now, &report),
        Datagram::RolledBack(service, version) => state.receive_roll_back(&service, &version),
        Datagram::TokenRequest(request) => {
            let grant = state.caps.grant(now, &request);
            drop(state);
            shared.metrics.record_grant(grant.tokens);
            send(shared, socket, &Datagram::TokenGrant(grant), &[from]);
        }
        Datagram::TokenGrant(grant) => {
            let expected = state.caps.receive(now, grant);
            drop(state);
            if expected {
                shared.tokens_arrived.notify_waiters();
            } else {
                tracing::debug!(peer = %from, number = grant.number, "tokens arrived late or twice");
            }
        }
        Datagram::DigestRequest => {
            let parts = state.digest(now);
            drop(state);
            for part in parts {
                send(shared, socket, &Datagram::Digest(part), &[from]);
            }
        }
    }
}
