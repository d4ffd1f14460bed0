//! The members whose reports count for a claim, and the quorums of them.

use crate::macros::data;
use crate::names::InstanceId;

data! {
    /// The members other than the owner at the time when the claim was last
    /// written.
    ///
    /// The list is stored in the claim, so that the owner and any instance that
    /// wants to take over count the same members, however the membership has
    /// changed.
    #[derive(Eq, Hash, Default)]
    #[serde(transparent)]
    pub struct Electorate(Vec<InstanceId>);
}

impl Electorate {
    /// Creates the electorate of `owner` from the members.
    #[must_use]
    pub fn of<'a>(owner: &InstanceId, members: impl Iterator<Item = &'a InstanceId>) -> Self {
        let mut others: Vec<_> = members.filter(|id| *id != owner).cloned().collect();
        others.sort();
        others.dedup();
        Self(others)
    }

    /// Returns the members of the electorate.
    #[must_use]
    pub fn members(&self) -> &[InstanceId] {
        &self.0
    }

    /// Returns how many members must have received nothing from the owner
    /// before a takeover.
    #[must_use]
    pub fn takeover_quorum(&self) -> usize {
        match self.0.len() {
            0 => 0,
            count => count / 2 + 1,
        }
    }

    /// Returns how many members must respond to the owner for it to continue
    /// past its lease.
    ///
    /// Any such quorum has a member in common with any takeover quorum. An
    /// owner with an empty electorate can't continue past its lease.
    #[must_use]
    pub fn extension_quorum(&self) -> usize {
        self.0.len() - self.takeover_quorum() + 1
    }
}
