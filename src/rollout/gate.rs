//! Which targets of a service one instance's requests may go to while its version
//! changes.
//!
//! Load pattern: a hundred instances send a few requests a second each. Without any
//! message, the new version's share of all requests must hold as a sum, so each instance
//! draws its own requests by a sequence of even spread.

use indexmap::{IndexMap, IndexSet};

use crate::even_sequence::EvenSequence;
use crate::names::VersionName;
use crate::rollout::evidence::Side;
use crate::rollout::{RolloutDecision, RolloutOrder, Stage};

/// Targets of the new version that get the sample at least: one alone would say nothing
/// of its version.
const MIN_SAMPLE_TARGETS: usize = 2;
/// Load of a target with the sample, in loads of an old one.
const SAMPLE_LOAD: f64 = 2.0;

/// Targets that an attempt may go to, in the order in which they are tried.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Preference {
    /// Only those of the old version.
    Old,
    /// A few of the new version, or else the old ones.
    Sample,
    /// Those of the new version, or else the old ones.
    New,
    /// Those of the old version, or else the new ones.
    OldThenNew,
}

impl Preference {
    /// The sides in the order in which they are tried.
    #[must_use]
    pub fn sides(self) -> &'static [Side] {
        match self {
            Self::Old => &[Side::Old],
            Self::Sample | Self::New => &[Side::New, Side::Old],
            Self::OldThenNew => &[Side::Old, Side::New],
        }
    }
}

/// A decision that the store lacks.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Unrecorded {
    /// The version.
    pub version: VersionName,
    /// How far its roll-out is.
    pub stage: Stage,
}

/// One instance's view of the roll-outs of a service.
#[derive(Debug, Clone, PartialEq)]
pub struct Gate {
    order: Option<RolloutOrder>,
    /// The last decision that applies. The store may lack it.
    decision: Option<RolloutDecision>,
    /// Versions that get nothing again, and whether the store has said so.
    rolled_back: IndexMap<VersionName, bool>,
    /// Runs of targets that ended when a roll-out was completed.
    retired: IndexSet<u64>,
    points: EvenSequence,
    /// Position among the sample's targets of the one that gets the next request.
    turn: usize,
}

impl Gate {
    /// Starts without a roll-out; `start` in `0.0..1.0` is drawn at random, so that
    /// instances don't sample at the same time.
    #[must_use]
    pub fn new(start: f64) -> Self {
        Self {
            order: None,
            decision: None,
            rolled_back: IndexMap::new(),
            retired: IndexSet::new(),
            points: EvenSequence::new(start),
            turn: first_turn(start),
        }
    }

    /// Takes in what the store holds; returns whether a roll-out was completed by it that
    /// was not before.
    pub fn update(
        &mut self,
        order: Option<&RolloutOrder>,
        recorded: Option<&RolloutDecision>,
    ) -> bool {
        if let Some(recorded) = recorded {
            self.take_terminal(recorded);
        }
        let ordered = order.map(|order| &order.version);
        // Withdrawn, or replaced by an order for another version.
        for decision in [self.decision.as_ref(), recorded].into_iter().flatten() {
            let is_running = matches!(decision.stage, Stage::Running(_));
            if is_running && ordered != Some(&decision.version) {
                self.rolled_back
                    .entry(decision.version.clone())
                    .or_insert(false);
            }
        }
        if let Some((known, _)) = self.unfinished()
            && ordered != Some(&known.version)
        {
            let version = known.version.clone();
            self.rolled_back.entry(version).or_insert(false);
        }
        self.order = order.cloned();
        let Some(recorded) = recorded.filter(|recorded| !self.is_outdated(recorded)) else {
            return false;
        };
        let was_completed = self.decision.as_ref().is_some_and(|known| {
            known.version == recorded.version && known.stage == Stage::Completed
        });
        self.decision = Some(recorded.clone());
        recorded.stage == Stage::Completed && !was_completed
    }

    fn take_terminal(&mut self, recorded: &RolloutDecision) {
        match recorded.stage {
            Stage::RolledBack => {
                self.rolled_back.insert(recorded.version.clone(), true);
            }
            // Its old targets have ended by now, whatever was told of a roll-back.
            Stage::Completed => {
                if self.rolled_back.get(&recorded.version) == Some(&false) {
                    self.rolled_back.swap_remove(&recorded.version);
                }
            }
            Stage::Running(_) => {}
        }
    }

    /// Whether a decision is older than what is known, as in a restored copy of the store.
    fn is_outdated(&self, recorded: &RolloutDecision) -> bool {
        let is_running = matches!(recorded.stage, Stage::Running(_));
        let Some(known) = &self.decision else {
            return false;
        };
        if known.version == recorded.version {
            return is_running && known.stage == Stage::Completed;
        }
        let is_ordered = |version| self.ordered() == Some(version);
        is_ordered(&known.version) && !is_ordered(&recorded.version)
    }

    /// Takes in that another instance rolled a version back; returns whether that is new.
    pub fn roll_back(&mut self, version: &VersionName) -> bool {
        let is_completed = self
            .decision
            .as_ref()
            .is_some_and(|known| known.version == *version && known.stage == Stage::Completed);
        if is_completed || self.rolled_back.contains_key(version) {
            return false;
        }
        self.rolled_back.insert(version.clone(), false);
        true
    }

    /// Stops all requests to runs of targets that end because a roll-out was completed.
    pub fn retire(&mut self, runs: impl IntoIterator<Item = u64>) {
        self.retired.extend(runs);
    }

    /// The version that is ordered.
    #[must_use]
    pub fn ordered(&self) -> Option<&VersionName> {
        self.order.as_ref().map(|order| &order.version)
    }

    /// The order in force.
    #[must_use]
    pub fn order(&self) -> Option<&RolloutOrder> {
        self.order.as_ref()
    }

    /// The last decision that applies.
    #[must_use]
    pub fn decision(&self) -> Option<&RolloutDecision> {
        self.decision.as_ref()
    }

    /// Versions that get nothing again.
    pub fn rolled_back(&self) -> impl Iterator<Item = &VersionName> {
        self.rolled_back.keys()
    }

    /// How far the roll-out of a version is; `None` before the first decision on it.
    #[must_use]
    pub fn stage(&self, version: &VersionName) -> Option<Stage> {
        if self.rolled_back.contains_key(version) {
            return Some(Stage::RolledBack);
        }
        let decision = self.decision.as_ref();
        decision
            .filter(|decision| decision.version == *version)
            .map(|decision| decision.stage)
    }

    /// The order whose roll-out is neither completed nor rolled back, with its stage:
    /// `Running(0)` before the first decision.
    #[must_use]
    pub fn unfinished(&self) -> Option<(&RolloutOrder, Stage)> {
        let order = self.order.as_ref()?;
        match self.stage(&order.version) {
            None => Some((order, Stage::Running(0))),
            Some(stage @ Stage::Running(_)) => Some((order, stage)),
            Some(Stage::Completed | Stage::RolledBack) => None,
        }
    }

    /// Share of the requests that the new version gets, in percent.
    #[must_use]
    pub fn share(&self) -> u8 {
        match self.unfinished() {
            Some((_, Stage::Running(percent))) => percent,
            _ => 0,
        }
    }

    /// Whether a run of a target with this version is of the old or the new version;
    /// `None` if it gets no requests.
    #[must_use]
    pub fn side(&self, run: u64, version: Option<&VersionName>) -> Option<Side> {
        if self.retired.contains(&run) {
            return None;
        }
        let Some(version) = version else {
            return Some(Side::Old);
        };
        match self.stage(version) {
            Some(Stage::RolledBack | Stage::Running(0)) => None,
            Some(Stage::Running(_)) => Some(Side::New),
            Some(Stage::Completed) => Some(Side::Old),
            None => (self.ordered() != Some(version)).then_some(Side::Old),
        }
    }

    /// Where the first attempt of a request goes. `has_news` is whether this instance would
    /// learn of a roll-back.
    pub fn prefer_first(&mut self, has_news: bool) -> Preference {
        let share = self.share();
        if share == 0 || share >= 100 {
            return self.prefer_later(has_news);
        }
        if self.points.next() * 100.0 < f64::from(share) && has_news {
            self.turn = self.turn.wrapping_add(1);
            Preference::Sample
        } else {
            Preference::Old
        }
    }

    /// Where a retry or a hedge goes, and a request whose draw was used.
    #[must_use]
    pub fn prefer_later(&self, has_news: bool) -> Preference {
        match self.share() {
            100.. if has_news => Preference::New,
            100.. => Preference::OldThenNew,
            _ => Preference::Old,
        }
    }

    /// Which of `count` targets of the sample gets the request that was drawn last. They
    /// take turns, since a connection that is open already would draw all requests.
    #[must_use]
    pub fn sample_turn(&self, count: usize) -> usize {
        self.turn.checked_rem(count).unwrap_or_default()
    }

    /// Number of targets of the new version that get the sample, beside so many old ones.
    #[must_use]
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_precision_loss,
        clippy::cast_sign_loss,
        reason = "some hundred targets"
    )]
    pub fn sample_targets(&self, old_targets: usize) -> usize {
        let loads = old_targets as f64 * f64::from(self.share()) / 100.0;
        ((loads / SAMPLE_LOAD).round() as usize).max(MIN_SAMPLE_TARGETS)
    }

    /// The decision in force that `recorded`, the one in the store, lacks.
    #[must_use]
    pub fn unrecorded(&self, recorded: Option<&RolloutDecision>) -> Option<Unrecorded> {
        let decided = self.decision.as_ref().map(|decision| &decision.version);
        let withdrawn = self.rolled_back.last();
        let withdrawn =
            withdrawn.and_then(|(version, is_recorded)| (!is_recorded).then_some(version));
        let version = self.ordered().or(withdrawn).or(decided)?;
        let stage = self.stage(version)?;
        let stored = recorded.filter(|recorded| recorded.version == *version);
        let is_recorded = match stored.map(|stored| stored.stage) {
            None => false,
            Some(Stage::Running(_)) => matches!(stage, Stage::Running(_)),
            Some(Stage::Completed | Stage::RolledBack) => true,
        };
        (!is_recorded).then(|| Unrecorded {
            version: version.clone(),
            stage,
        })
    }
}

/// A first turn that differs between instances, which send a few requests each.
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "a part of a thousand"
)]
fn first_turn(start: f64) -> usize {
    (start * 1000.0) as usize
}

#[cfg(test)]
mod tests;
