//! Slots withheld for permits that a previous owner granted and that may still
//! be in use.

#[cfg(test)]
mod tests;

use super::{Outstanding, Shard, TargetState};
use crate::admission::permit::PermitId;
use crate::names::{InstanceId, TargetId};
use crate::units::Time;

/// Borrower recorded for withheld slots, which are tracked like borrowed
/// permits.
const PREVIOUS_OWNER: &str = "former owner";

/// Slots to withhold on targets that are not listed yet.
#[derive(Debug, Clone, Default)]
pub(super) struct Withheld {
    unlisted: Vec<(TargetId, u32, Time)>,
    all_until: Time,
    last_id: u64,
}

impl Shard {
    /// Withholds `count` slots of a target until `until`.
    pub fn withhold_slots(&mut self, target: TargetId, count: u32, until: Time) {
        if self.targets.contains_key(&target) {
            self.withhold(&target, count, until);
        } else {
            self.withheld.unlisted.push((target, count, until));
        }
    }

    /// Withholds every slot until `until`, including those of targets that are
    /// listed later.
    pub fn withhold_all_slots(&mut self, until: Time) {
        self.withheld.all_until = until;
        let targets: Vec<TargetId> = self.targets.keys().cloned().collect();
        for target in targets {
            self.withhold(&target, self.settings.slots, until);
        }
    }

    /// Withholds the slots that were recorded for a target before it was listed.
    pub(super) fn withhold_listed(&mut self, now: Time, target: &TargetId) {
        let until = self.withheld.all_until;
        if now < until {
            self.withhold(target, self.settings.slots, until);
        }
        let listed = self
            .withheld
            .unlisted
            .extract_if(.., |(id, ..)| id == target);
        let listed: Vec<_> = listed.collect();
        for (target, count, until) in listed {
            self.withhold(&target, count, until);
        }
    }

    fn withhold(&mut self, id: &TargetId, count: u32, until: Time) {
        let Some(TargetState { in_flight, .. }) = self.targets.get_mut(id) else {
            return;
        };
        *in_flight += count;
        for _ in 0..count {
            self.withheld.last_id += 1;
            // Identifiers count down from the maximum so that they do not
            // collide with those of requests.
            let permit = PermitId(u64::MAX - self.withheld.last_id);
            let outstanding = Outstanding {
                target: id.clone(),
                granted_at: Time::ZERO,
                deadline: until,
                borrower: Some(InstanceId::from(PREVIOUS_OWNER)),
                lent: false,
            };
            self.outstanding.insert(permit, outstanding);
        }
        self.earliest_expiry = self.earliest_expiry.min(until);
    }
}
