//! Exhaustive exploration of a model with three members, by breadth-first
//! search.

use std::collections::HashSet;
use std::hash::{DefaultHasher, Hasher};
use std::time::Duration;

use super::{Event, Model, RULES, settings, with_rule_disabled};
use crate::ownership::authority::RuleSettings;
use crate::units::Time;

const MEMBERS: usize = 3;
/// Window of the exhaustive search; a short one keeps the search small.
const WINDOW: Duration = Duration::from_secs(1);
/// Horizon of the exhaustive search; a takeover can happen after two seconds.
const EXHAUSTIVE_HORIZON: Time = Time::from_secs(2);
/// Horizon of the search for a violation when a rule is disabled.
const VIOLATION_HORIZON: Time = Time::from_secs(4);

/// Member 0 owns the claim, member 1 tries to take it over, member 2 receives
/// the heartbeats of both.
const EVENTS: [Event; 10] = [
    Event::Tick,
    Event::Heartbeat { from: 0, to: 1 },
    Event::Heartbeat { from: 0, to: 2 },
    Event::DelayedHeartbeat { from: 0, to: 2 },
    Event::DelayedResponse,
    Event::RenewLease {
        member: 0,
        response_lost: false,
    },
    Event::ReadClaim { member: 1 },
    Event::Heartbeat { from: 1, to: 0 },
    Event::Heartbeat { from: 1, to: 2 },
    Event::TakeOver {
        member: 1,
        response_lost: false,
    },
];

struct SearchResult {
    states: usize,
    /// The first state in which two members may grant.
    violation: Option<Model>,
    /// Whether the claim was taken over in some state.
    takeover_seen: bool,
}

fn explore(settings: RuleSettings, horizon: Time) -> SearchResult {
    let mut seen = HashSet::new();
    let mut frontier = vec![Model::new(MEMBERS, settings)];
    let mut found = SearchResult {
        states: 0,
        violation: None,
        takeover_seen: false,
    };
    while !frontier.is_empty() {
        let mut next = Vec::new();
        for model in &frontier {
            for event in EVENTS {
                let mut after = model.clone();
                after.apply(event);
                if after.now() > horizon || !seen.insert(state_hash(&after)) {
                    continue;
                }
                found.states += 1;
                found.takeover_seen |= after.is_taken_over();
                if after.granting() > 1 {
                    found.violation = Some(after);
                    return found;
                }
                next.push(after);
            }
        }
        frontier = next;
    }
    found
}

fn state_hash(model: &Model) -> u64 {
    let mut hasher = DefaultHasher::new();
    model.hash_state(&mut hasher);
    hasher.finish()
}

#[test]
fn no_interleaving_has_two_granting_members() {
    let settings = RuleSettings {
        window: WINDOW,
        ..settings()
    };
    let found = explore(settings, EXHAUSTIVE_HORIZON);
    assert!(found.violation.is_none(), "{:#?}", found.violation);
    assert!(found.states > 1_000, "{} states", found.states);
    assert!(found.takeover_seen, "the claim is taken over in some state");
}

#[test]
fn each_disabled_rule_leads_to_a_violation() {
    for rule in RULES {
        let found = explore(with_rule_disabled(rule), VIOLATION_HORIZON);
        assert!(
            found.violation.is_some(),
            "no violation found with {rule:?} disabled"
        );
    }
}
