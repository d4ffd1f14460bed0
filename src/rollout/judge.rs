//! Decides on one roll-out: when its share rises, and when it is completed or rolled
//! back.

use std::fmt;

use indexmap::IndexMap;

use crate::rollout::evidence::EvidenceReport;
use crate::rollout::{RolloutLimits, RolloutOrder, Stage};
use crate::units::Time;

/// Parameters of a [`Judge`].
#[derive(Debug, Clone, PartialEq)]
pub struct JudgeSettings {
    /// Share of the requests that the sample gets until their rate is known, in percent.
    pub first_share: u8,
}

impl Default for JudgeSettings {
    fn default() -> Self {
        Self { first_share: 6 }
    }
}

/// What there is of the service's targets at the moment.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Facts {
    /// Usable targets of the old version.
    pub old_targets: usize,
    /// Slots of these.
    pub old_slots: f64,
    /// Usable targets of the new version that are no longer cold.
    pub new_targets: usize,
    /// Slots of these.
    pub new_slots: f64,
}

/// A change of the stage.
#[derive(Debug, Clone, PartialEq)]
pub struct Decided {
    /// The stage from now on.
    pub stage: Stage,
    /// What it follows from.
    pub reason: Reason,
}

/// What a decision follows from; its text form is for the log.
#[derive(Debug, Clone, PartialEq)]
pub enum Reason {
    /// The roll-out was ordered.
    Ordered,
}

impl fmt::Display for Reason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Ordered => f.write_str("ordered"),
        }
    }
}

/// The view of one roll-out on an instance that decides on it, or would if those
/// before it failed.
#[derive(Debug)]
pub struct Judge {
    order: RolloutOrder,
    ordered_at: Time,
    limits: RolloutLimits,
    settings: JudgeSettings,
    reports: IndexMap<u64, EvidenceReport>,
    last_report: Time,
}

impl Judge {
    /// Starts without evidence. `ordered_at` is when the order was first seen by any
    /// instance, on this instance's clock.
    #[must_use]
    pub fn new(
        order: RolloutOrder,
        ordered_at: Time,
        limits: RolloutLimits,
        settings: JudgeSettings,
    ) -> Self {
        Self {
            order,
            ordered_at,
            limits,
            settings,
            reports: IndexMap::new(),
            last_report: Time::ZERO,
        }
    }

    /// Takes in an instance's totals, its own included. Reports may be lost, come
    /// twice or in another order.
    pub fn receive(&mut self, now: Time, report: &EvidenceReport) {
        let known = self
            .reports
            .get(&report.run)
            .map_or(0, EvidenceReport::total);
        if report.total() > known {
            self.reports.insert(report.run, report.clone());
            self.last_report = now;
        }
    }

    /// The next stage, if there is to be another one than `stage`, which is in force.
    /// Before the first decision that is `Running(0)`.
    ///
    /// To be called several times a second, also on instances that would decide; only
    /// the one that decides makes it known.
    pub fn decide(&mut self, now: Time, facts: &Facts, stage: Stage) -> Option<Decided> {
        let _ = (now, facts);
        (stage == Stage::Running(0)).then_some(Decided {
            stage: Stage::Running(self.settings.first_share),
            reason: Reason::Ordered,
        })
    }
}

#[cfg(test)]
mod tests;
