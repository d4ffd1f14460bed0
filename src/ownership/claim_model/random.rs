//! Random interleavings of a model with five members and several takeovers.

use super::{Event, Model, RULES, settings, with_rule_disabled};
use crate::ownership::authority::{Rule, RuleSettings};

const MEMBERS: usize = 5;
/// Number of seeds tried for each disabled rule.
const SEEDS: u64 = 20_000;

fn event(u: &mut arbtest::arbitrary::Unstructured<'_>) -> arbtest::arbitrary::Result<Event> {
    let member = u.int_in_range(0..=MEMBERS - 1)?;
    let to = u.int_in_range(0..=MEMBERS - 1)?;
    let response_lost = u.ratio(1, 4)?;
    Ok(match u.int_in_range(0..=14)? {
        0 | 1 => Event::Tick,
        2..=4 if member != to => Event::Heartbeat { from: member, to },
        5 if member != to => Event::DelayedHeartbeat { from: member, to },
        6 => Event::DelayedResponse,
        7 => Event::RenewLease {
            member,
            response_lost,
        },
        8 | 9 => Event::ReadClaim { member },
        10 if u.ratio(1, 8)? => Event::Restart { member },
        11 if u.ratio(1, 8)? => Event::ReleaseClaim { member },
        12..=14 => Event::Grant { member },
        _ => Event::TakeOver {
            member,
            response_lost,
        },
    })
}

/// Runs one interleaving. Returns false if in some step two members could
/// grant, or the target ran more calls than it has slots.
fn run(
    u: &mut arbtest::arbitrary::Unstructured<'_>,
    settings: RuleSettings,
) -> arbtest::arbitrary::Result<bool> {
    let mut model = Model::new(MEMBERS, settings);
    while !u.is_empty() {
        model.apply(event(u)?);
        if model.granting() > 1 || model.over_slots() {
            return Ok(false);
        }
    }
    Ok(true)
}

#[test]
fn no_random_interleaving_has_two_owners_or_exceeds_the_slots() {
    arbtest::arbtest(|u| {
        assert!(run(u, settings())?, "two owners, or more calls than slots");
        Ok(())
    })
    .size_min(400)
    .size_max(4_000)
    .budget_ms(2_000);
}

#[test]
fn each_disabled_rule_leads_to_a_violation() {
    for rule in RULES.into_iter().chain([Rule::WithholdSlots]) {
        let settings = with_rule_disabled(rule);
        let found = (0..SEEDS).any(|seed| {
            let bytes = bytes(seed);
            let mut u = arbtest::arbitrary::Unstructured::new(&bytes);
            matches!(run(&mut u, settings), Ok(false))
        });
        assert!(found, "no violation found with {rule:?} disabled");
    }
}

fn bytes(seed: u64) -> Vec<u8> {
    use rand::{RngCore, SeedableRng, rngs::StdRng};
    let mut buf = vec![0; 2_000];
    StdRng::seed_from_u64(seed).fill_bytes(&mut buf);
    buf
}

/// A takeover whose response was lost is found by reading the claim back under
/// a later lease. Unless the claim is then rewritten, evidence that another
/// member collected between the two leases would still count.
#[test]
fn claim_read_back_under_a_new_lease_is_rewritten() {
    let heartbeat = |from, to| Event::Heartbeat { from, to };
    let take = |member, response_lost| Event::TakeOver {
        member,
        response_lost,
    };
    let renew = Event::RenewLease {
        member: 1,
        response_lost: false,
    };
    let read = |member| Event::ReadClaim { member };
    let mut model = Model::new(MEMBERS, settings());
    let steps = [
        vec![Event::Tick, read(1), Event::Tick, Event::Tick, Event::Tick],
        vec![heartbeat(1, 2), heartbeat(1, 3), take(1, true)],
        vec![Event::Tick, read(2), Event::Tick, Event::Tick, Event::Tick],
        vec![heartbeat(2, 0), heartbeat(2, 3), heartbeat(2, 4)],
        vec![renew, read(1), heartbeat(1, 0), heartbeat(1, 3)],
        vec![Event::Tick, take(2, false)],
    ];
    for event in steps.concat() {
        model.apply(event);
        assert!(model.granting() <= 1, "two owners after {event:?}");
    }
    assert_eq!(
        model.granting(),
        1,
        "the owner that read the claim back continues"
    );
}
