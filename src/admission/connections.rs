//! Splits the connections that a target allows over the instances.

/// Percentage of a target's connections that is split evenly over the
/// instances; the rest goes to the owner of the target's shard.
const EVEN_PERCENT: u32 = 75;

/// Returns the maximum number of connections to a target for one of `members`
/// instances.
///
/// Each instance gets at least one. The sum over all instances is at most
/// `declared`, provided that `declared` is at least the number of instances.
#[must_use]
pub fn share(declared: u32, members: u32, owner: bool) -> u32 {
    let members = members.max(1);
    let even = (declared / 100 * EVEN_PERCENT + declared % 100 * EVEN_PERCENT / 100) / members;
    let even = even.max(1);
    if owner {
        let others = even * (members - 1);
        return declared.saturating_sub(others).max(1);
    }
    even
}

#[cfg(test)]
mod tests;
