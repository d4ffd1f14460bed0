//! Permits that other instances have borrowed from the shard's owner.

use std::time::Duration;

use super::{Outstanding, Shard};
use crate::admission::borrower_demand::LENT_PERMIT_TTL;
use crate::admission::permit::{Permit, PermitId, SlotRequest};
use crate::names::{CallerName, InstanceId};
use crate::resource::Rank;
use crate::units::Time;

/// Time for which a borrowed permit stays counted past its deadline, because
/// the borrower's clock may run slower.
const BORROWED_MARGIN: Duration = Duration::from_millis(100);
/// Shortest time for which a borrowed permit is counted, so that its borrower
/// can renew it while a long response is being sent.
pub(crate) const MIN_BORROWED_TTL: Duration = Duration::from_secs(2);
/// Divisor of a borrowed permit's remaining time; the quotient is added to the
/// margin to allow for clocks that run at different rates.
const CLOCK_RATE_DIVISOR: u32 = 50;

impl Shard {
    /// Lends a slot in advance, unless a request is queued or only the reserve
    /// is free.
    pub fn lend(&mut self, now: Time, id: PermitId, borrower: &InstanceId) -> Option<Permit> {
        if !self.queue.is_empty() {
            return None;
        }
        let request = SlotRequest {
            id,
            rank: Rank(u8::MAX),
            caller: CallerName::from(""),
            deadline: now.after(LENT_PERMIT_TTL + self.settings.deadline),
            borrower: Some(borrower.clone()),
            may_wait: false,
            excluded: Vec::new(),
        };
        let permit = self.try_grant(now, &request, self.slots(now))?;
        if let Some(outstanding) = self.outstanding.get_mut(&id) {
            outstanding.lent = true;
        }
        Some(permit)
    }

    /// Number of permits that a borrower holds.
    #[must_use]
    pub fn held_by(&self, borrower: &InstanceId) -> usize {
        let held = |o: &&Outstanding| o.borrower.as_ref() == Some(borrower);
        self.outstanding.values().filter(held).count()
    }

    /// Extends a borrowed permit so that it lasts at least `left` from now;
    /// false when it has expired.
    pub fn renew(&mut self, now: Time, id: PermitId, left: Duration) -> bool {
        let Some(outstanding) = self.outstanding.get_mut(&id) else {
            return false;
        };
        let end = borrowed_expiry(now, now.after(left));
        outstanding.deadline = outstanding.deadline.max(end);
        true
    }

    /// Expires the borrowed permits whose deadline has passed. The owner's own
    /// permits are always released by the calls that hold them.
    pub(super) fn expire_permits(&mut self, now: Time) {
        if now < self.earliest_expiry {
            return;
        }
        let expired = |outstanding: &Outstanding| {
            outstanding.borrower.is_some() && now >= outstanding.deadline
        };
        for outstanding in self.outstanding.values().filter(|o| expired(o)) {
            if let Some(target) = self.targets.get_mut(&outstanding.target) {
                target.in_flight = target.in_flight.saturating_sub(1);
            }
        }
        self.outstanding
            .retain(|_, outstanding| !expired(outstanding));
        let borrowed = self.outstanding.values().filter(|o| o.borrower.is_some());
        self.earliest_expiry = borrowed.map(|o| o.deadline).min().unwrap_or(Time::MAX);
    }
}

/// Returns when the owner counts a permit as expired that its borrower uses
/// until `end`.
pub(super) fn borrowed_expiry(now: Time, end: Time) -> Time {
    let left = end.since(now);
    end.after(BORROWED_MARGIN + left / CLOCK_RATE_DIVISOR)
}
