//! What this instance sends, decides and writes for the roll-outs at a time.
//!
//! The first live instances in the order of watchers judge; the first of them decides. The
//! store's condition on the decision's revision settles who wins when two do.

use std::net::SocketAddr;
use std::time::Duration;

use indexmap::IndexSet;

use super::ServiceRollout;
use super::holder::unix_millis;
use super::records::GateSummary;
use crate::entry::fleet::members::route_key;
use crate::entry::fleet::message::Datagram;
use crate::entry::state::State;
use crate::names::{ServiceName, VersionName};
use crate::platform::prepared::record;
use crate::rollout::evidence::{EvidenceReport, Response, Side};
use crate::rollout::gate::Unrecorded;
use crate::rollout::judge::{Decided, Facts, Judge, JudgeSettings};
use crate::rollout::{RolloutDecision, RolloutLimits, Stage};
use crate::units::Time;

/// Instances that judge: the one that decides, and two that would.
const JUDGES: usize = 3;
/// Minimum time between two reports of changed evidence.
const CHANGED_EVIDENCE_INTERVAL: Duration = Duration::from_millis(250);
/// Time between two reports of unchanged evidence, which an instance that has just begun
/// to judge needs.
const EVIDENCE_INTERVAL: Duration = Duration::from_secs(1);
/// Time between two messages on a roll-back that the store lacks.
const ROLL_BACK_NEWS_INTERVAL: Duration = Duration::from_millis(500);
/// Time after which the next instance in the order decides, or writes a decision that the
/// store lacks: some attempts of the one before it, which may be paused or refused.
const TAKEOVER_DELAY: Duration = Duration::from_millis(1200);

/// What is to be done outside the state's lock.
#[derive(Debug, Default)]
pub(super) struct Tasks {
    /// Whether this instance judges.
    pub judges: bool,
    /// Datagrams, and the peers that get them.
    pub messages: Vec<(Datagram, Vec<SocketAddr>)>,
    /// Decisions to write.
    pub writes: Vec<Write>,
}

/// A decision to write.
#[derive(Debug)]
pub(super) struct Write {
    pub decision: RolloutDecision,
    /// Revision that the decision's key must have; 0 if it must not exist.
    pub revision: u64,
    /// What it follows from.
    pub reason: String,
}

/// This instance's place among the others at a moment.
#[derive(Debug)]
struct Turn {
    now: Time,
    /// Time of day in milliseconds since the Unix epoch.
    unix_ms: u64,
    limits: RolloutLimits,
    /// Position in the order of those that decide; 0 decides.
    rank: u32,
    /// Whether this instance judges.
    is_judge: bool,
    /// The other instances that judge.
    judges: Vec<SocketAddr>,
    /// All live peers.
    peers: Vec<SocketAddr>,
}

impl Turn {
    /// Whether it is this instance's turn to do what has been left undone since a time.
    fn has_come(&self, since: Time) -> bool {
        self.now.since(since) >= TAKEOVER_DELAY.saturating_mul(self.rank)
    }
}

/// What the instance knows of a service besides its roll-out.
#[derive(Debug)]
struct ServiceView {
    service: ServiceName,
    facts: Facts,
    /// Versions of its targets that get requests, without the ordered one.
    previous: Vec<VersionName>,
    /// Revision of its decision in the store.
    revision: u64,
}

impl State {
    /// What is to be done for the roll-outs now.
    pub(super) fn rollout_tasks(&mut self, now: Time, unix_ms: u64) -> Tasks {
        let mut tasks = Tasks::default();
        let Some(limits) = self.settings.rollouts else {
            return tasks;
        };
        self.end_lost_orders(now);
        let own = self.settings.peers;
        let order = self.members.deciders(now, &self.status);
        let rank = order.iter().position(|address| *address == own);
        let rank = rank.unwrap_or(order.len());
        tasks.judges = rank < JUDGES;
        let others = order.iter().take(JUDGES).copied();
        let turn = Turn {
            now,
            unix_ms,
            limits,
            rank: u32::try_from(rank).unwrap_or(u32::MAX),
            is_judge: tasks.judges,
            judges: others.filter(|address| *address != own).collect(),
            peers: self.members.live(now).map(|(address, _)| address).collect(),
        };
        let services: Vec<ServiceName> = self.rollouts.services.keys().cloned().collect();
        for service in services {
            let view = self.service_view(&turn, service);
            if let Some(rollout) = self.rollouts.services.get_mut(&view.service)
                && !rollout.is_idle()
            {
                rollout.add_tasks(&turn, &view, &mut tasks);
            }
        }
        tasks
    }

    fn service_view(&self, turn: &Turn, service: ServiceName) -> ServiceView {
        let key = record::decision_key(&service);
        let facts = turn
            .is_judge
            .then(|| self.rollout_facts(turn.now, &service));
        ServiceView {
            facts: facts.unwrap_or_default(),
            previous: self.previous_versions(&service),
            revision: self.stored_revision(&key),
            service,
        }
    }

    fn previous_versions(&self, service: &ServiceName) -> Vec<VersionName> {
        let Some(rollout) = self.rollouts.get(service) else {
            return Vec::new();
        };
        let gate = &rollout.gate;
        let views = self
            .targets
            .views()
            .filter(|view| view.target.service == *service);
        let versions = views.filter_map(|view| view.target.version.as_ref());
        let is_previous = |version: &&VersionName| {
            gate.ordered() != Some(*version) && gate.stage(version) != Some(Stage::RolledBack)
        };
        let distinct: IndexSet<&VersionName> = versions.filter(is_previous).collect();
        distinct.into_iter().cloned().collect()
    }

    /// Counts what an attempt says of its target's version.
    pub(super) fn record_version_response(
        &mut self,
        service: &ServiceName,
        side: Side,
        route: &str,
        run: u64,
        response: Response,
    ) {
        let rollout = self.rollouts.services.get_mut(service);
        if let Some(evidence) = rollout.and_then(|rollout| rollout.evidence.as_mut()) {
            evidence.record(side, route_key(route), run, response);
        }
    }

    /// Takes in a peer's evidence.
    pub(crate) fn receive_version_evidence(&mut self, now: Time, report: &EvidenceReport) {
        let Some(limits) = self.settings.rollouts else {
            return;
        };
        let Some(rollout) = self.rollouts.services.get_mut(&report.service) else {
            return;
        };
        if rollout.gate.ordered() != Some(&report.version) {
            return;
        }
        if let Some(judge) = rollout.judge(now, unix_millis(), limits) {
            judge.receive(now, report);
        }
    }
}

impl ServiceRollout {
    fn add_tasks(&mut self, turn: &Turn, view: &ServiceView, tasks: &mut Tasks) {
        self.send_evidence(turn, tasks);
        let decided = self.decide(turn, view);
        let unrecorded = self.gate.unrecorded(self.recorded.as_ref());
        let since = self.unrecorded_since.unwrap_or(turn.now);
        self.unrecorded_since = unrecorded.is_some().then_some(since);
        let to_write = match unrecorded {
            Some(unrecorded) => {
                if unrecorded.stage == Stage::RolledBack {
                    self.tell_roll_back(turn, view, &unrecorded.version, tasks);
                }
                turn.has_come(since).then_some(unrecorded)
            }
            None => decided,
        };
        if let Some(to_write) = to_write
            && self.may_write(turn.now)
        {
            self.writing = true;
            tasks.writes.push(Write {
                decision: self.decision_to_write(turn, view, to_write),
                revision: view.revision,
                reason: self.reason.clone().unwrap_or_default(),
            });
        }
    }

    fn may_write(&self, now: Time) -> bool {
        !self.writing && now >= self.retry.0
    }

    /// Sends this instance's evidence to those that judge, if it is due.
    fn send_evidence(&mut self, turn: &Turn, tasks: &mut Tasks) {
        if self.gate.unfinished().is_none() {
            return;
        }
        let Some(evidence) = &mut self.evidence else {
            return;
        };
        let interval = if evidence.changed() {
            CHANGED_EVIDENCE_INTERVAL
        } else {
            EVIDENCE_INTERVAL
        };
        if turn.now.since(self.evidence_sent) < interval {
            return;
        }
        let report = evidence.report();
        self.evidence_sent = turn.now;
        if turn.is_judge
            && let Some(judge) = self.judge(turn.now, turn.unix_ms, turn.limits)
        {
            judge.receive(turn.now, &report);
        }
        if report.total() > 0 {
            let datagram = Datagram::VersionEvidence(report);
            tasks.messages.push((datagram, turn.judges.clone()));
        }
    }

    /// Judges, if this instance is among those that do. The first one acts, or the next if
    /// it doesn't: it rolls back at once, and returns any other stage to write.
    fn decide(&mut self, turn: &Turn, view: &ServiceView) -> Option<Unrecorded> {
        if !turn.is_judge {
            self.wanted = None;
            return None;
        }
        let (order, stage) = self.gate.unfinished()?;
        let version = order.version.clone();
        let judge = self.judge(turn.now, turn.unix_ms, turn.limits)?;
        let decided = judge.decide(turn.now, &view.facts, stage);
        let wanted = self.wanted.filter(|(known, _)| *known == stage);
        let since = wanted.map_or(turn.now, |(_, since)| since);
        self.wanted = decided.is_some().then_some((stage, since));
        let Decided { stage, reason } = decided?;
        let is_roll_back = stage == Stage::RolledBack;
        if !turn.has_come(since) || !is_roll_back && !self.may_write(turn.now) {
            return None;
        }
        tracing::info!(
            service = %view.service,
            %version,
            ?stage,
            %reason,
            facts = ?view.facts,
            "decided on a roll-out"
        );
        self.reason = Some(reason.to_string());
        if is_roll_back {
            let before = GateSummary::of(&self.gate);
            self.gate.roll_back(&version);
            before.log_change(&view.service, &self.gate);
        }
        Some(Unrecorded { version, stage })
    }

    /// Tells all live peers of a roll-back that the store lacks, if it is due.
    fn tell_roll_back(
        &mut self,
        turn: &Turn,
        view: &ServiceView,
        version: &VersionName,
        tasks: &mut Tasks,
    ) {
        let is_due = self
            .told
            .is_none_or(|at| turn.now.since(at) >= ROLL_BACK_NEWS_INTERVAL);
        if !turn.is_judge || !is_due || turn.peers.is_empty() {
            return;
        }
        self.told = Some(turn.now);
        tracing::info!(
            service = %view.service,
            %version,
            peers = turn.peers.len(),
            "telling peers of a roll-back"
        );
        let datagram = Datagram::RolledBack(view.service.clone(), version.clone());
        tasks.messages.push((datagram, turn.peers.clone()));
    }

    fn decision_to_write(
        &self,
        turn: &Turn,
        view: &ServiceView,
        to_write: Unrecorded,
    ) -> RolloutDecision {
        let Unrecorded { version, stage } = to_write;
        let known = self.gate.decision();
        if let Some(known) = known.filter(|known| known.version == version) {
            return RolloutDecision {
                stage,
                ..known.clone()
            };
        }
        let seen = self.seen.as_ref().map_or(turn.now, |seen| seen.at);
        let age_ms = u64::try_from(turn.now.since(seen).as_millis()).unwrap_or(u64::MAX);
        RolloutDecision {
            service: view.service.clone(),
            version,
            previous: view.previous.clone(),
            stage,
            ordered_ms: turn.unix_ms.saturating_sub(age_ms),
        }
    }

    /// The judge of the order in force; `None` if there is none.
    fn judge(&mut self, now: Time, unix_ms: u64, limits: RolloutLimits) -> Option<&mut Judge> {
        if self.judge.is_none() {
            let mut order = self.order.clone()?;
            let age = self.order_age(now, unix_ms)?.min(order.duration);
            // This instance's clock may have started later than the order came.
            let before_start = age.saturating_sub(now.since(Time::ZERO));
            order.duration -= before_start;
            let settings = JudgeSettings::default();
            self.judge = Some(Judge::new(order, now.before(age), limits, settings));
        }
        self.judge.as_mut()
    }

    /// Time since the order was first seen by any instance.
    fn order_age(&self, now: Time, unix_ms: u64) -> Option<Duration> {
        let seen = self.seen.as_ref()?;
        let own_age = now.since(seen.at);
        let decision = self.gate.decision();
        let decision = decision.filter(|decision| decision.version == seen.version);
        Some(match decision {
            Some(decision) if !seen.arrived => own_age.max(Duration::from_millis(
                unix_ms.saturating_sub(decision.ordered_ms),
            )),
            _ => own_age,
        })
    }
}
