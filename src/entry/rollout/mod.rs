//! This instance's part in the roll-outs of all services; see
//! `docs/design/rollouts.md`.

mod duty;
pub(crate) mod holder;
pub(crate) mod observed;
mod records;
mod targets;

use std::sync::Arc;
use std::time::Duration;

use indexmap::IndexMap;
use rand::Rng;
use tokio::sync::Notify;

pub(crate) use self::targets::Pool;
use crate::names::{ServiceName, VersionName};
use crate::rollout::evidence::OwnEvidence;
use crate::rollout::gate::Gate;
use crate::rollout::judge::Judge;
use crate::rollout::{RolloutDecision, RolloutOrder, Stage};
use crate::units::Time;

/// The roll-outs that this instance knows of, by service.
#[derive(Debug, Default)]
pub(crate) struct Rollouts {
    services: IndexMap<ServiceName, ServiceRollout>,
    /// Notified when there may be something to do for a roll-out.
    pub wake: Arc<Notify>,
}

impl Rollouts {
    /// The roll-out of a service; `None` if there never was one.
    pub(crate) fn get(&self, service: &ServiceName) -> Option<&ServiceRollout> {
        self.services.get(service)
    }

    /// The gate of a service; `None` if there never was a roll-out.
    pub(crate) fn gate(&self, service: &ServiceName) -> Option<&Gate> {
        Some(&self.get(service)?.gate)
    }

    /// Whether there never was a roll-out of any service.
    pub(crate) fn is_empty(&self) -> bool {
        self.services.is_empty()
    }

    /// The roll-outs of all services.
    pub(crate) fn iter(&self) -> impl Iterator<Item = (&ServiceName, &ServiceRollout)> {
        self.services.iter()
    }

    /// Number of roll-outs that are neither completed nor rolled back.
    pub(crate) fn running(&self) -> usize {
        let unfinished = |rollout: &&ServiceRollout| rollout.gate.unfinished().is_some();
        self.services.values().filter(unfinished).count()
    }

    fn entry(&mut self, service: &ServiceName) -> &mut ServiceRollout {
        self.services
            .entry(service.clone())
            .or_insert_with(|| ServiceRollout::new(rand::rng().random()))
    }
}

/// What this instance knows of the roll-outs of one service.
#[derive(Debug)]
pub(crate) struct ServiceRollout {
    /// Which targets get requests.
    pub gate: Gate,
    /// The order in the store, or the one that it has lost a moment ago.
    order: Option<RolloutOrder>,
    /// When an order that the store has lost ends.
    order_until: Option<Time>,
    /// The decision in the store.
    recorded: Option<RolloutDecision>,
    /// When the order for a version was first seen.
    seen: Option<OrderSeen>,
    /// What this instance has seen of both versions since.
    evidence: Option<OwnEvidence>,
    /// When the evidence was last sent.
    evidence_sent: Time,
    /// The view of an instance that decides, or would.
    judge: Option<Judge>,
    /// The stage that this instance would end, and since when.
    wanted: Option<(Stage, Time)>,
    /// Why the last decision of this instance was made.
    reason: Option<String>,
    /// When peers were last told of a roll-back that the store lacks.
    told: Option<Time>,
    /// Since when the store has lacked the decision in force.
    unrecorded_since: Option<Time>,
    /// Whether a decision is being written.
    writing: bool,
    /// When a decision may be written next, and the delay after that.
    retry: (Time, Duration),
}

/// When an order was first seen.
#[derive(Debug, Clone, PartialEq)]
struct OrderSeen {
    version: VersionName,
    at: Time,
    /// Whether this instance saw it arrive; if not, it is older.
    arrived: bool,
}

impl ServiceRollout {
    fn new(start: f64) -> Self {
        Self {
            gate: Gate::new(start),
            order: None,
            order_until: None,
            recorded: None,
            seen: None,
            evidence: None,
            evidence_sent: Time::ZERO,
            judge: None,
            wanted: None,
            reason: None,
            told: None,
            unrecorded_since: None,
            writing: false,
            retry: (Time::ZERO, Duration::ZERO),
        }
    }

    /// Whether there is nothing to send, to decide or to write.
    fn is_idle(&self) -> bool {
        self.gate.unfinished().is_none()
            && self.gate.unrecorded(self.recorded.as_ref()).is_none()
            && self.order_until.is_none()
    }

    /// Its state, for the dump.
    pub(crate) fn dump(&self, service: &ServiceName) -> serde_json::Value {
        let order = self.gate.order();
        let version = order.map(|order| &order.version);
        serde_json::json!({
            "service": service,
            "version": version,
            "duration_s": order.map(|order| order.duration.as_secs_f64()),
            "stage": version.and_then(|version| self.gate.stage(version)),
            "decision": self.gate.decision(),
            "recorded": self.recorded,
            "rolled_back": self.gate.rolled_back().collect::<Vec<_>>(),
            "last_own_reason": self.reason,
            "judges": self.judge.is_some(),
        })
    }
}
