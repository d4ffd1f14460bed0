//! Heartbeats to the other instances, sent independently of the control loop so that a slow
//! store does not delay them.

use std::sync::Arc;

use tokio::time::timeout;

use crate::config::propagation;
use crate::instance::Instance;
use crate::membership::heartbeat::{Heartbeat, HeartbeatResponse};
use crate::membership::{Member, RunId};

/// Timeout of one heartbeat, in heartbeat periods.
const RESPONSE_TIMEOUT_PERIODS: u32 = 3;

/// Sends heartbeats at regular intervals until the process ends.
pub(super) async fn run(instance: Arc<Instance>) {
    let period = instance.tables.settings.membership.heartbeat;
    let mut ticks = tokio::time::interval(period);
    ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        send_all(&instance);
    }
}

/// Sends one heartbeat to every other instance, without waiting for the responses.
pub(super) fn send_all(instance: &Arc<Instance>) {
    let directory = instance.tables.directory();
    let about = directory.lapsed_runs();
    let own_member = &instance.tables.member;
    for member in directory.members.values() {
        if member.instance != own_member.instance {
            let heartbeat = send(Arc::clone(instance), member.clone(), about.clone());
            instance.rt.spawn(heartbeat);
        }
    }
    // An owner whose member key is gone may still run; its response shows whether it has stopped.
    for run in &about {
        if let Some(member) = directory.previous_owners.get(run) {
            let heartbeat = send(Arc::clone(instance), member.clone(), about.clone());
            instance.rt.spawn(heartbeat);
        }
    }
}

/// Sends one heartbeat and records the response.
async fn send(instance: Arc<Instance>, member: Member, about: Vec<RunId>) {
    let tables = &instance.tables;
    let msg = Heartbeat {
        from: tables.member.run(),
        to: member.run(),
        known_revisions: tables.known_revisions(),
        about,
    };
    let sent = tables.clock.now();
    let wait = tables.settings.membership.heartbeat * RESPONSE_TIMEOUT_PERIODS;
    let call = instance
        .peers
        .call::<HeartbeatResponse>(member.peers, "heartbeat", &msg);
    let Ok(Ok(resp)) = timeout(wait, call).await else {
        return;
    };
    if resp.from != member.run() {
        tracing::debug!(expected = %member.instance, "another process answered the heartbeat at this address");
        return;
    }
    let now = tables.clock.now();
    tables
        .lease()
        .peer_responded(now, resp.from.instance.clone(), sent);
    tables.peer_observations().record_response(now, sent, &resp);
    propagation::on_peer_revision(&instance, resp.known_revisions.config, member.peers).await;
}

/// Handles a heartbeat of another instance and returns the response.
pub(crate) fn handle(instance: &Instance, msg: &Heartbeat) -> HeartbeatResponse {
    let tables = &instance.tables;
    let now = tables.clock.now();
    let may_grant = tables.may_grant(now);
    let mut peers = tables.peer_observations();
    if msg.to == tables.member.run() {
        peers.record_heartbeat(now, msg.from.clone(), msg.known_revisions);
    }
    let silence = |run: &RunId| crate::membership::heartbeat::Silence {
        run: run.clone(),
        micros: u64::try_from(peers.silent_for(now, run).as_micros()).unwrap_or(u64::MAX),
    };
    HeartbeatResponse {
        from: tables.member.run(),
        known_revisions: tables.known_revisions(),
        may_grant,
        silences: msg.about.iter().map(silence).collect(),
    }
}
