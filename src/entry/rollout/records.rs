//! Applies orders and decisions of the store, and what peers tell, to the gates.

use std::time::Duration;

use rand::Rng;

use super::{OrderSeen, ServiceRollout};
use crate::entry::model::Record;
use crate::entry::state::State;
use crate::entry::target::targets::TargetState;
use crate::names::{ServiceName, VersionName};
use crate::platform::prepared::record;
use crate::rollout::evidence::OwnEvidence;
use crate::rollout::gate::Gate;
use crate::rollout::{RolloutDecision, Stage};
use crate::units::Time;

/// Time for which an order that the store has lost with a restore stays in force, until
/// the operator writes it again.
const ORDER_RETENTION: Duration = Duration::from_secs(5);

impl State {
    /// Takes in an order or a decision of the store; [`Self::update_rollouts`] is to follow.
    pub(crate) fn put_rollout_record(&mut self, record: &Record) {
        if self.settings.rollouts.is_none() {
            return;
        }
        match record {
            Record::RolloutOrder(order) => {
                let rollout = self.rollouts.entry(&order.service);
                rollout.order = Some(order.clone());
                rollout.order_until = None;
            }
            Record::RolloutDecision(decision) => {
                self.rollouts.entry(&decision.service).recorded = Some(decision.clone());
            }
            _ => {}
        }
    }

    /// Takes in that an order or a decision was removed; with `lost`, a restored copy of
    /// the store lacks it.
    pub(crate) fn remove_rollout_record(&mut self, now: Time, record: &Record, lost: bool) {
        if self.settings.rollouts.is_none() {
            return;
        }
        match record {
            Record::RolloutOrder(order) => {
                let rollout = self.rollouts.entry(&order.service);
                if lost {
                    rollout.order_until = Some(now.after(ORDER_RETENTION));
                } else {
                    rollout.order = None;
                }
            }
            Record::RolloutDecision(decision) => {
                self.rollouts.entry(&decision.service).recorded = None;
            }
            _ => {}
        }
    }

    /// Takes in which decisions a restored store holds: it may lack one that this instance
    /// has just written.
    pub(crate) fn reread_decisions(&mut self) {
        for (service, rollout) in &mut self.rollouts.services {
            let record = self.replica.record_of(&record::decision_key(service));
            rollout.recorded = match record {
                Some(Record::RolloutDecision(decision)) => Some(decision.clone()),
                _ => None,
            };
        }
    }

    /// Applies the orders and decisions that the store holds, once all changes that came
    /// together are taken in. `is_first` is whether they are the first that this instance
    /// has read, and may be old.
    pub(crate) fn update_rollouts(&mut self, now: Time, is_first: bool) {
        let mut is_idle = true;
        for (service, rollout) in &mut self.rollouts.services {
            let before = GateSummary::of(&rollout.gate);
            rollout.note_order(now, service, !is_first);
            let order = rollout.order.as_ref();
            if rollout.gate.update(order, rollout.recorded.as_ref())
                && let Some(decision) = rollout.gate.decision()
            {
                let views = self.targets.views();
                let runs = ended_runs(views, decision, is_first);
                rollout.gate.retire(runs);
            }
            before.log_change(service, &rollout.gate);
            is_idle &= rollout.is_idle();
        }
        if !is_idle {
            self.rollouts.wake.notify_one();
        }
    }

    /// Ends the orders that the store has lost and that were not written again in time.
    pub(super) fn end_lost_orders(&mut self, now: Time) {
        let mut ended = false;
        for (service, rollout) in &mut self.rollouts.services {
            if rollout.order_until.is_some_and(|until| now >= until) {
                tracing::info!(%service, "order of a roll-out was not written again; ended");
                (rollout.order, rollout.order_until) = (None, None);
                ended = true;
            }
        }
        if ended {
            self.update_rollouts(now, false);
        }
    }

    /// Takes in that a peer rolled a version back, before the store says so.
    pub(crate) fn receive_roll_back(&mut self, service: &ServiceName, version: &VersionName) {
        if self.settings.rollouts.is_none() {
            return;
        }
        let rollout = self.rollouts.entry(service);
        let before = GateSummary::of(&rollout.gate);
        if rollout.gate.roll_back(version) {
            tracing::warn!(%service, %version, "a peer rolled the version back");
            before.log_change(service, &rollout.gate);
            self.rollouts.wake.notify_one();
        }
    }
}

impl ServiceRollout {
    /// Notes when an order for another version was first seen; `arrived` is whether this
    /// instance saw it arrive.
    fn note_order(&mut self, now: Time, service: &ServiceName, arrived: bool) {
        let version = self.order.as_ref().map(|order| &order.version);
        if version == self.seen.as_ref().map(|seen| &seen.version) {
            return;
        }
        self.judge = None;
        self.seen = version.map(|version| OrderSeen {
            version: version.clone(),
            at: now,
            arrived,
        });
        self.evidence = version.map(|version| {
            OwnEvidence::new(service.clone(), version.clone(), rand::rng().random())
        });
    }
}

/// The runs of targets that end with a completed roll-out: those of the versions before.
/// If it may have been completed long ago, only those that are older than its order.
fn ended_runs<'a>(
    views: impl Iterator<Item = &'a TargetState>,
    decision: &RolloutDecision,
    may_be_old: bool,
) -> Vec<u64> {
    let ended = views.filter(|view| {
        let target = &view.target;
        let version = target.version.as_ref();
        target.service == decision.service
            && version.is_some_and(|version| decision.previous.contains(version))
            && (!may_be_old || target.started_ms < decision.ordered_ms)
    });
    ended.map(|view| view.key).collect()
}

/// What a gate does, for the log.
#[derive(Debug, PartialEq)]
pub(super) struct GateSummary {
    ordered: Option<VersionName>,
    stage: Option<Stage>,
    rolled_back: Vec<VersionName>,
}

impl GateSummary {
    pub(super) fn of(gate: &Gate) -> Self {
        let ordered = gate.ordered().cloned();
        Self {
            stage: ordered.as_ref().and_then(|version| gate.stage(version)),
            ordered,
            rolled_back: gate.rolled_back().cloned().collect(),
        }
    }

    /// Logs how a gate differs from this earlier state.
    pub(super) fn log_change(&self, service: &ServiceName, gate: &Gate) {
        let after = Self::of(gate);
        if *self == after {
            return;
        }
        tracing::info!(
            %service,
            version = after.ordered.as_ref().map(VersionName::as_str),
            stage = ?after.stage,
            share_percent = gate.share(),
            rolled_back = ?after.rolled_back,
            "gate of a roll-out changed"
        );
    }
}
