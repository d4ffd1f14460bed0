//! Placement of shards on instances by rendezvous hashing, with preference for
//! the shard's zone.

use std::hash::{Hash, Hasher};

use siphasher::sip::SipHasher13;

use crate::membership::Member;
use crate::names::{CallerName, InstanceId, ShardId};

/// Keys of the placement hash; they must be the same on all instances.
const HASH_KEYS: (u64, u64) = (0x7761_6774_6169_6c73, 0x6164_646c_6520_7368);

/// Orders the members by preference for owning `shard`.
///
/// Members in the shard's own zone come first. Within a zone the order is by
/// rendezvous hash, so that few shards move when a member joins or leaves.
#[must_use]
pub fn preference<'a>(
    shard: &ShardId,
    members: impl Iterator<Item = &'a Member>,
) -> Vec<&'a Member> {
    let mut ordered: Vec<_> = members.collect();
    ordered.sort_by_cached_key(|member| {
        let other_zone = member.zone != shard.zone;
        let weight = weight(shard, &member.instance);
        (
            other_zone,
            std::cmp::Reverse(weight),
            member.instance.clone(),
        )
    });
    ordered
}

/// Returns the quota coordinator of a caller, which divides the caller's limits
/// over the instances, by rendezvous hash.
#[must_use]
pub fn coordinator<'a>(
    caller: &CallerName,
    members: impl Iterator<Item = &'a Member>,
) -> Option<&'a Member> {
    members.max_by_key(|member| weight(caller, &member.instance))
}

fn weight(name: &impl Hash, instance: &InstanceId) -> u64 {
    let mut hasher = SipHasher13::new_with_keys(HASH_KEYS.0, HASH_KEYS.1);
    name.hash(&mut hasher);
    instance.hash(&mut hasher);
    hasher.finish()
}
