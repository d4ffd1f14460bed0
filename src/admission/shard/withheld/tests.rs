use std::net::SocketAddr;
use std::time::Duration;

use super::*;
use crate::admission::permit::{SlotOutcome, SlotRequest};
use crate::admission::shard::ShardSettings;
use crate::names::CallerName;
use crate::resource::Rank;

const SLOTS: u32 = 3;

fn id(name: &str) -> TargetId {
    TargetId::from(name)
}

fn list_targets(shard: &mut Shard, now: Time, ids: &[&str]) {
    let address = SocketAddr::from(([127, 0, 0, 1], 1));
    shard.set_targets(now, ids.iter().map(|name| (id(name), address, false)));
}

fn shard(ids: &[&str]) -> Shard {
    let mut shard = Shard::new(ShardSettings {
        slots: SLOTS,
        warm_up: Duration::ZERO,
        ..ShardSettings::default()
    });
    list_targets(&mut shard, Time::ZERO, ids);
    shard
}

/// Number of urgent requests that the shard grants at once.
fn granted_at_once(shard: &mut Shard, now: Time) -> u32 {
    let mut granted = 0;
    for n in 1..=20 {
        let request = SlotRequest {
            id: PermitId(now.as_micros() + n),
            rank: Rank::URGENT,
            caller: CallerName::from("caller"),
            deadline: Time::from_secs(60),
            borrower: None,
            may_wait: false,
            excluded: Vec::new(),
        };
        granted += u32::from(matches!(
            shard.request_slot(now, request).0,
            SlotOutcome::Granted(_)
        ));
    }
    granted
}

#[test]
fn withheld_slots_are_granted_once_the_permits_have_ended() {
    let mut shard = shard(&["one", "two"]);
    shard.withhold_slots(id("one"), 2, Time::from_secs(5));
    assert_eq!(
        granted_at_once(&mut shard, Time::from_secs(1)),
        2 * SLOTS - 2
    );
    shard.advance(Time::from_secs(5));
    assert_eq!(granted_at_once(&mut shard, Time::from_secs(5)), 2);
}

#[test]
fn no_slot_is_granted_while_all_are_withheld() {
    let mut shard = shard(&["one"]);
    shard.withhold_all_slots(Time::from_secs(5));
    list_targets(&mut shard, Time::from_secs(1), &["one", "two"]);
    assert_eq!(granted_at_once(&mut shard, Time::from_secs(2)), 0);
    shard.advance(Time::from_secs(5));
    list_targets(&mut shard, Time::from_secs(5), &["one", "two", "three"]);
    assert_eq!(granted_at_once(&mut shard, Time::from_secs(6)), 3 * SLOTS);
}

#[test]
fn slots_of_a_target_listed_later_are_withheld() {
    let mut shard = shard(&[]);
    shard.withhold_slots(id("one"), 2, Time::from_secs(5));
    list_targets(&mut shard, Time::from_secs(1), &["one"]);
    assert_eq!(granted_at_once(&mut shard, Time::from_secs(1)), SLOTS - 2);
}
