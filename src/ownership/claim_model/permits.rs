//! The slots of one target in the model, granted by the real [`Shard`].

use std::net::SocketAddr;
use std::time::Duration;

use super::{Left, Model};
use crate::admission::permit::{Ask, CallReport, Outcome, PermitId};
use crate::admission::shard::{Shard, ShardSettings};
use crate::names::{CallerName, TargetId};
use crate::ownership::authority::Rule;
use crate::resource::Rank;
use crate::units::Time;

const SLOTS: u32 = 2;
/// Time that each call takes, which is its deadline too.
const CALL: Duration = Duration::from_secs(4);
const TARGET: &str = "target";

/// A call that the target runs, whatever became of who granted it.
#[derive(Debug, Clone, Copy)]
pub(super) struct Running {
    member: usize,
    permit: PermitId,
    ends: Time,
}

/// A member's shard, opened with what its claim says of former owners.
#[derive(Debug, Clone, Default)]
pub(super) struct Desk {
    shard: Option<Shard>,
    /// Permits to keep back and until when.
    kept: Option<(u32, Time)>,
}

impl Desk {
    /// Ceases to own the shard.
    pub(super) fn close(&mut self) {
        self.shard = None;
    }

    fn open(&mut self, now: Time) -> &mut Shard {
        let kept = self.kept;
        self.shard.get_or_insert_with(|| {
            let mut shard = Shard::new(ShardSettings {
                slots: SLOTS,
                warm_up: Duration::ZERO,
                ..ShardSettings::default()
            });
            let address = SocketAddr::from(([127, 0, 0, 1], 1));
            let target = TargetId::from(TARGET);
            shard.set_targets(now, [(target.clone(), address, false)].into_iter());
            if let Some((count, until)) = kept {
                shard.hold_back(target, count, until);
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
            if let Some(shard) = &mut self.nodes[call.member].desk.shard {
                shard.release(now, call.permit, &CallReport::unsent());
            }
        }
        for shard in self.nodes.iter_mut().filter_map(|n| n.desk.shard.as_mut()) {
            shard.advance(now);
        }
    }

    pub(super) fn grant(&mut self, member: usize) {
        let now = self.now;
        let node = &mut self.nodes[member];
        if node.owns.is_none() || !node.authority.holds(now) {
            return;
        }
        let permit = crate::tables::next_permit_id();
        let ends = now.after(CALL);
        let ask = Ask {
            id: permit,
            rank: Rank::URGENT,
            caller: CallerName::from("caller"),
            deadline: ends,
            borrower: None,
            may_wait: false,
            avoid: Vec::new(),
        };
        let (outcome, _) = node.desk.open(now).ask(now, ask);
        if matches!(outcome, Outcome::Granted(_)) {
            self.running.push(Running {
                member,
                permit,
                ends,
            });
        }
    }

    /// The owner stops and names what it leaves running.
    pub(super) fn leave(&mut self, member: usize) {
        let run = self.nodes[member].run;
        let holds = self.nodes[member].owns == Some(self.version);
        if !holds || self.owner != (member, run) || self.left != Left::Held {
            return;
        }
        let now = self.now;
        let node = &mut self.nodes[member];
        node.owns = None;
        let left = node.desk.open(now).outstanding();
        let until = left.values().map(|permit| permit.deadline).max();
        self.left = Left::Released {
            permits: u32::try_from(left.len()).unwrap_or(u32::MAX),
            until: until.unwrap_or(now),
        };
        self.version += 1;
        self.nodes[member].desk.close();
    }

    /// What a taker keeps back: what the claim names, or every slot.
    pub(super) fn hold_back(&mut self, member: usize) {
        if !self.settings.applies(Rule::HoldBack) {
            return;
        }
        self.nodes[member].desk = Desk {
            shard: None,
            kept: Some(match self.left {
                Left::Held => (SLOTS, self.now.after(CALL)),
                Left::Released { permits, until } => (permits, until),
            }),
        };
    }
}
