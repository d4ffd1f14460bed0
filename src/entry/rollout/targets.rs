//! The targets that an attempt may go to while a roll-out runs.

use std::time::Duration;

use indexmap::IndexSet;

use crate::entry::state::State;
use crate::entry::target::targets::{TargetState, TargetTable};
use crate::names::ServiceName;
use crate::rollout::evidence::Side;
use crate::rollout::gate::{Gate, Preference};
use crate::rollout::judge::Facts;
use crate::units::Time;

/// Time without a message of any peer or the store after which this instance might miss a
/// roll-back; between the heartbeats of a large membership and the time for a roll-back.
const MAX_SILENCE: Duration = Duration::from_secs(2);

/// Some targets of a service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum Pool {
    /// All of them; there never was a roll-out.
    All,
    /// Those of one side.
    Side(Side),
    /// These runs.
    Runs(IndexSet<u64>),
}

impl Pool {
    /// Whether a target is among them.
    pub(crate) fn contains(&self, gate: Option<&Gate>, view: &TargetState) -> bool {
        match self {
            Self::All => true,
            Self::Side(side) => gate.is_none_or(|gate| side_of(gate, view) == Some(*side)),
            Self::Runs(runs) => runs.contains(&view.key),
        }
    }
}

/// Which version a target has; `None` if it gets no requests.
fn side_of(gate: &Gate, view: &TargetState) -> Option<Side> {
    gate.side(view.key, view.target.version.as_ref())
}

impl State {
    /// Whether this instance would learn of a roll-back.
    pub(crate) fn has_news(&self, now: Time) -> bool {
        let is_recent = |at| now.since(at) < MAX_SILENCE;
        let mut peers = self.members.known();
        self.watches() || peers.any(|(_, member)| member.last_heartbeat.is_some_and(is_recent))
    }

    /// Where a request goes; `is_first` is whether it has not been drawn for the new version
    /// yet.
    pub(crate) fn preference(
        &mut self,
        now: Time,
        service: &ServiceName,
        is_first: bool,
    ) -> Preference {
        if !self.rollouts.services.contains_key(service) {
            return Preference::Old;
        }
        let has_news = self.has_news(now);
        let gate = &mut self.rollouts.entry(service).gate;
        if is_first {
            gate.prefer_first(has_news)
        } else {
            gate.prefer_later(has_news)
        }
    }

    /// The targets that a request of a service may go to, in the order in which they are
    /// tried.
    pub(crate) fn pools(&self, service: &ServiceName, preference: Preference) -> Vec<Pool> {
        let Some(rollout) = self.rollouts.get(service) else {
            return vec![Pool::All];
        };
        let mut pools = Vec::with_capacity(3);
        for side in preference.sides() {
            let pool = self.pool(service, *side);
            if let (Preference::Sample, Pool::Runs(runs)) = (preference, &pool) {
                let turn = runs.get_index(rollout.gate.sample_turn(runs.len()));
                pools.extend(turn.map(|run| Pool::Runs([*run].into_iter().collect())));
            }
            pools.push(pool);
        }
        pools
    }

    /// The targets of one side that get requests of a service.
    pub(crate) fn pool(&self, service: &ServiceName, side: Side) -> Pool {
        let Some(rollout) = self.rollouts.get(service) else {
            return Pool::All;
        };
        let gate = &rollout.gate;
        if side == Side::New && gate.share() < 100 {
            Pool::Runs(sample(gate, &self.targets, service))
        } else {
            Pool::Side(side)
        }
    }

    /// The targets that most requests of a service go to.
    pub(crate) fn main_pool(&self, service: &ServiceName) -> Pool {
        let is_new = self
            .rollouts
            .gate(service)
            .is_some_and(|gate| gate.share() >= 100);
        self.pool(service, if is_new { Side::New } else { Side::Old })
    }

    /// Whether a request that was meant for a run of a target may still be sent there.
    pub(crate) fn may_send(&self, now: Time, run: u64) -> bool {
        if self.rollouts.is_empty() {
            return true;
        }
        let Some(view) = self.targets.run(run) else {
            return true;
        };
        let Some(gate) = self.rollouts.gate(&view.target.service) else {
            return true;
        };
        match side_of(gate, view) {
            None => false,
            Some(Side::Old) => true,
            Some(Side::New) => gate.share() >= 100 || self.has_news(now),
        }
    }

    /// Which version a target has while a roll-out of its service is unfinished.
    pub(crate) fn compared_side(&self, view: &TargetState) -> Option<Side> {
        let gate = &self.rollouts.get(&view.target.service)?.gate;
        gate.unfinished()?;
        side_of(gate, view)
    }

    /// What there is of a service's targets, for the decision on its roll-out.
    pub(super) fn rollout_facts(&self, now: Time, service: &ServiceName) -> Facts {
        let mut facts = Facts::default();
        let Some(gate) = self.rollouts.gate(service) else {
            return facts;
        };
        let Some(order) = gate.order() else {
            return facts;
        };
        for view in self.targets.usable(now, service) {
            let slots = f64::from(view.target.slots);
            if view.target.version.as_ref() == Some(&order.version) {
                if !view.is_cold(now) {
                    facts.new_targets += 1;
                    facts.new_slots += slots;
                }
            } else if side_of(gate, view).is_some() {
                facts.old_targets += 1;
                facts.old_slots += slots;
            }
        }
        facts
    }
}

/// The runs of the new version's targets that get the sample, the same at all instances:
/// the first in the order of their hashes.
fn sample(gate: &Gate, targets: &TargetTable, service: &ServiceName) -> IndexSet<u64> {
    let registered = || {
        let of_service = targets
            .views()
            .filter(|view| view.target.service == *service);
        of_service.filter(|view| view.is_registered())
    };
    let runs_of = |side| {
        let views = registered().filter(move |view| side_of(gate, view) == Some(side));
        views.map(|view| view.key).collect::<Vec<u64>>()
    };
    let mut runs = runs_of(Side::New);
    runs.sort_unstable();
    runs.truncate(gate.sample_targets(runs_of(Side::Old).len()));
    runs.into_iter().collect()
}

#[cfg(test)]
mod tests;
