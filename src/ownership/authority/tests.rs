use std::time::Duration;

use indexmap::IndexSet;

use super::{Authority, RuleSettings};
use crate::names::InstanceId;
use crate::ownership::electorate::Electorate;
use crate::units::Time;

const TTL: Duration = Duration::from_secs(10);

fn id(name: &str) -> InstanceId {
    InstanceId::from(name)
}

fn owner_with(others: &[&str]) -> Authority {
    let names: Vec<_> = others.iter().map(|name| id(name)).collect();
    let mut authority = Authority::new(RuleSettings {
        window: Duration::from_secs(2),
        margin: Duration::from_secs(1),
        ..RuleSettings::default()
    });
    authority.set_electorates(IndexSet::from([Electorate::of(&id("a"), names.iter())]));
    authority.lease_renewed(Time::ZERO, TTL);
    authority
}

#[test]
fn lease_counts_from_before_the_renewal_less_a_margin() {
    let mut authority = owner_with(&["b", "c"]);
    assert!(authority.is_valid(Time::from_millis(8_999)));
    assert!(!authority.is_valid(Time::from_secs(9)));
    authority.lease_renewed(Time::from_secs(5), TTL);
    assert_eq!(authority.valid_until(), Time::from_secs(14));
}

/// A peer, when the heartbeat to it was sent, and when its response arrived, in
/// seconds.
type Response = (&'static str, u64, u64);

/// Cases: the members other than the owner, their responses, and the time in
/// seconds at which an authority expires whose lease ends at 9 s.
#[test]
fn responses_of_a_quorum_extend_the_authority() {
    let cases: [(&str, &[&str], &[Response], u64); 8] = [
        ("no response", &["b", "c"], &[], 9),
        (
            "one of two others is a quorum",
            &["b", "c"],
            &[("b", 8, 8)],
            10,
        ),
        (
            "one of four others is not a quorum",
            &["b", "c", "d", "e"],
            &[("b", 8, 8)],
            9,
        ),
        (
            "two of four others, counted from the earlier response",
            &["b", "c", "d", "e"],
            &[("b", 8, 8), ("c", 7, 8)],
            9,
        ),
        (
            "two of four others extend the authority",
            &["b", "c", "d", "e"],
            &[("b", 8, 8), ("c", 8, 8)],
            10,
        ),
        (
            "a response counts from when the heartbeat was sent",
            &["b"],
            &[("b", 6, 8)],
            9,
        ),
        (
            "a response after the expiry has no effect",
            &["b"],
            &[("b", 9, 9)],
            9,
        ),
        (
            "an empty electorate extends nothing",
            &[],
            &[("b", 8, 8)],
            9,
        ),
    ];
    for (name, others, responses, until) in cases {
        let mut authority = owner_with(others);
        for (peer, sent, now) in responses {
            authority.peer_responded(Time::from_secs(*now), id(peer), Time::from_secs(*sent));
        }
        assert_eq!(authority.valid_until(), Time::from_secs(until), "{name}");
    }
}

#[test]
fn every_electorate_must_have_a_quorum() {
    let mut authority = owner_with(&["b"]);
    let first = Electorate::of(&id("a"), [id("b")].iter());
    let second = Electorate::of(&id("a"), [id("d")].iter());
    authority.set_electorates(IndexSet::from([first, second]));
    authority.peer_responded(Time::from_secs(8), id("b"), Time::from_secs(8));
    assert_eq!(authority.valid_until(), Time::from_secs(9));
    authority.peer_responded(Time::from_secs(8), id("d"), Time::from_secs(8));
    assert_eq!(authority.valid_until(), Time::from_secs(10));
}

#[test]
fn revoked_authority_is_restored_only_by_a_lease_renewal() {
    let mut authority = owner_with(&["b"]);
    authority.revoke();
    authority.peer_responded(Time::from_secs(1), id("b"), Time::from_secs(1));
    assert!(!authority.is_valid(Time::from_secs(1)));
    authority.lease_renewed(Time::from_secs(1), TTL);
    assert!(authority.is_valid(Time::from_secs(1)));
}

#[test]
fn authority_expires_after_the_maximum_outage() {
    let mut authority = owner_with(&["b"]);
    let max_outage = RuleSettings::default().max_outage;
    let end = Time::from_secs(9).after(max_outage);
    let mut now = Time::from_secs(8);
    while now < end.after(Duration::from_secs(10)) {
        authority.peer_responded(now, id("b"), now);
        now = now.after(Duration::from_secs(1));
    }
    assert_eq!(authority.valid_until(), end);
}
