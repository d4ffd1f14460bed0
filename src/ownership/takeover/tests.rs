use std::time::Duration;

use super::{LapsedClaim, SilenceReport, may_take_over};
use crate::names::InstanceId;
use crate::ownership::authority::RuleSettings;
use crate::ownership::electorate::Electorate;
use crate::units::Time;

fn settings() -> RuleSettings {
    RuleSettings {
        window: Duration::from_secs(2),
        margin: Duration::from_secs(1),
        ..RuleSettings::default()
    }
}

fn id(name: &str) -> InstanceId {
    InstanceId::from(name)
}

/// A member, when its report was requested, when it arrived, and the silence that
/// it states, in seconds.
type ReportCase = (&'static str, u64, u64, u64);

fn allows_takeover(others: &[&str], reports: &[ReportCase]) -> bool {
    let names: Vec<_> = others.iter().map(|name| id(name)).collect();
    let lapsed = LapsedClaim {
        electorate: &Electorate::of(&id("a"), names.iter()),
        since: Time::from_secs(100),
        owner_stopped: None,
    };
    let report = |member: &InstanceId| {
        let (_, requested, received, silent) =
            reports.iter().find(|(name, ..)| *name == member.as_str())?;
        Some(SilenceReport {
            requested_at: Time::from_secs(*requested),
            received_at: Time::from_secs(*received),
            silent_for: Duration::from_secs(*silent),
        })
    };
    may_take_over(&settings(), Time::from_secs(110), &lapsed, report)
}

#[test]
fn takeover_needs_common_silence_of_a_quorum() {
    let two: &[&str] = &["b", "c"];
    let four: &[&str] = &["b", "c", "d", "e"];
    let cases: [(&str, &[&str], &[ReportCase], bool); 10] = [
        ("empty electorate", &[], &[], true),
        ("no report", two, &[], false),
        ("one of two", two, &[("b", 105, 105, 9)], false),
        (
            "two of two",
            two,
            &[("b", 105, 105, 9), ("c", 105, 105, 3)],
            true,
        ),
        (
            "one member received a heartbeat recently",
            two,
            &[("b", 105, 105, 9), ("c", 105, 105, 2)],
            false,
        ),
        (
            "two of four",
            four,
            &[("b", 105, 105, 9), ("c", 105, 105, 9)],
            false,
        ),
        (
            "three of four",
            four,
            &[("b", 105, 105, 9), ("c", 105, 105, 9), ("d", 105, 105, 9)],
            true,
        ),
        (
            "requested before the expiry was seen",
            two,
            &[("b", 99, 99, 9), ("c", 105, 105, 9)],
            false,
        ),
        (
            "a slow response covers less time",
            two,
            &[("b", 105, 109, 6), ("c", 105, 105, 9)],
            false,
        ),
        (
            "no common window",
            two,
            &[("b", 101, 101, 3), ("c", 109, 109, 3)],
            false,
        ),
    ];
    for (name, others, reports, expected) in cases {
        assert_eq!(allows_takeover(others, reports), expected, "{name}");
    }
}

#[test]
fn owners_confirmation_counts_after_its_expiry_was_seen() {
    for (requested, expected) in [(99, false), (100, true)] {
        let lapsed = LapsedClaim {
            electorate: &Electorate::of(&id("a"), [id("b"), id("c")].iter()),
            since: Time::from_secs(100),
            owner_stopped: Some(Time::from_secs(requested)),
        };
        let now = Time::from_secs(110);
        assert_eq!(may_take_over(&settings(), now, &lapsed, |_| None), expected);
    }
}

/// An electorate whose members are gone for good must not block a takeover forever.
#[test]
fn takeover_is_allowed_after_the_maximum_outage() {
    let max_outage = settings().max_outage;
    let since = Time::from_secs(100);
    let lapsed = LapsedClaim {
        electorate: &Electorate::of(&id("a"), [id("b"), id("c")].iter()),
        since,
        owner_stopped: None,
    };
    let early = since.after(max_outage);
    assert!(!may_take_over(&settings(), early, &lapsed, |_| None));
    let late = since.after(max_outage * 2);
    assert!(may_take_over(&settings(), late, &lapsed, |_| None));
}
