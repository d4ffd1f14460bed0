//! The slots of the model's target, granted by the production [`Shard`].

use std::net::SocketAddr;
use std::time::Duration;

use super::{Model, Release};
use crate::admission::permit::{CallReport, PermitId, SlotOutcome, SlotRequest};
use crate::admission::shard::{Shard, ShardSettings};
use crate::names::{CallerName, TargetId};
use crate::ownership::authority::Rule;
use crate::resource::Rank;
use crate::units::Time;

const SLOTS: u32 = 2;
/// Duration of each call, which is also its deadline.
const CALL: Duration = Duration::from_secs(4);
const TARGET: &str = "target";

/// A call that the target runs, also when the member that granted it has
/// restarted.
#[derive(Debug, Clone, Copy)]
pub(super) struct RunningCall {
    member: usize,
    permit: PermitId,
    ends: Time,
}

/// A member's shard, created with what its claim says of previous owners.
#[derive(Debug, Clone, Default)]
pub(super) struct Grantor {
    shard: Option<Shard>,
    /// Number of slots to withhold, and until when.
    withheld: Option<(u32, Time)>,
}

impl Grantor {
    /// Stops owning the shard.
    pub(super) fn close(&mut self) {
        self.shard = None;
    }

    fn open(&mut self, now: Time) -> &mut Shard {
        let withheld = self.withheld;
        self.shard.get_or_insert_with(|| {
            let mut shard = Shard::new(ShardSettings {
                slots: SLOTS,
                warm_up: Duration::ZERO,
                ..ShardSettings::default()
            });
            let address = SocketAddr::from(([127, 0, 0, 1], 1));
            let target = TargetId::from(TARGET);
            shard.set_targets(now, [(target.clone(), address, false)].into_iter());
            if let Some((count, until)) = withheld {
                shard.withhold_slots(target, count, until);
            }
            shard
        })
    }
}

impl Model {
    /// Whether the target runs more calls than it has slots.
    pub(super) fn over_slots(&self) -> bool {
        self.running.len() > SLOTS as usize
    }

    pub(super) fn end_calls(&mut self) {
        let now = self.now;
        let ended = self.running.extract_if(.., |call| now >= call.ends);
        for call in ended {
            if let Some(shard) = &mut self.nodes[call.member].grantor.shard {
                shard.release(now, call.permit, &CallReport::unsent());
            }
        }
        for shard in self
            .nodes
            .iter_mut()
            .filter_map(|n| n.grantor.shard.as_mut())
        {
            shard.advance(now);
        }
    }

    pub(super) fn grant(&mut self, member: usize) {
        let now = self.now;
        let node = &mut self.nodes[member];
        if node.owns.is_none() || !node.authority.is_valid(now) {
            return;
        }
        let permit = crate::tables::next_permit_id();
        let ends = now.after(CALL);
        let request = SlotRequest {
            id: permit,
            rank: Rank::URGENT,
            caller: CallerName::from("caller"),
            deadline: ends,
            borrower: None,
            may_wait: false,
            excluded: Vec::new(),
        };
        let (outcome, _) = node.grantor.open(now).request_slot(now, request);
        if matches!(outcome, SlotOutcome::Granted(_)) {
            self.running.push(RunningCall {
                member,
                permit,
                ends,
            });
        }
    }

    /// The owner stops and records the permits that are still in use.
    pub(super) fn release_claim(&mut self, member: usize) {
        let run = self.nodes[member].run;
        let owns_claim = self.nodes[member].owns == Some(self.version);
        if !owns_claim || self.owner != (member, run) || self.release != Release::Held {
            return;
        }
        let now = self.now;
        let node = &mut self.nodes[member];
        node.owns = None;
        let permits = node.grantor.open(now).outstanding();
        let until = permits.values().map(|permit| permit.deadline).max();
        self.release = Release::Released {
            permits: u32::try_from(permits.len()).unwrap_or(u32::MAX),
            until: until.unwrap_or(now),
        };
        self.version += 1;
        self.nodes[member].grantor.close();
    }

    /// Withholds slots for permits of previous owners: as many as the claim
    /// records, or all.
    pub(super) fn withhold(&mut self, member: usize) {
        if !self.settings.is_enabled(Rule::WithholdSlots) {
            return;
        }
        self.nodes[member].grantor = Grantor {
            shard: None,
            withheld: Some(match self.release {
                Release::Held => (SLOTS, self.now.after(CALL)),
                Release::Released { permits, until } => (permits, until),
            }),
        };
    }
}
