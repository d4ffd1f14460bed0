use super::*;
use crate::names::{ServiceName, ZoneName};

fn shard(zone: &str) -> ShardId {
    ShardId::from((&ServiceName::from("orders"), &ZoneName::from(zone)))
}

fn candidates() -> Vec<Candidate> {
    let other_zone = |zone| Candidate {
        shard: shard(zone),
        same_zone: false,
        source: PermitSource::OtherZoneOwner,
    };
    let same_zone = Candidate {
        same_zone: true,
        source: PermitSource::Local,
        ..other_zone("a")
    };
    vec![other_zone("b"), same_zone, other_zone("c")]
}

fn capacity(zone: &str, free: u32, urgent_free: u32, wait_us: u64) -> ShardCapacity {
    ShardCapacity {
        shard: shard(zone),
        total: 12,
        free,
        urgent_free,
        wait_us,
    }
}

#[test]
fn same_zone_comes_first_until_its_wait_costs_more() {
    let cases = [
        ("no report", vec![], 0, 1, "a b c"),
        (
            "free slots in the same zone",
            vec![capacity("a", 3, 4, 0)],
            0,
            1,
            "a b c",
        ),
        (
            "a short wait in the same zone",
            vec![capacity("a", 0, 0, 1_000)],
            0,
            1,
            "a b c",
        ),
        (
            "a long wait in the same zone",
            vec![capacity("a", 0, 0, 9_000)],
            0,
            1,
            "b c a",
        ),
        (
            "the reserve counts as free for urgent calls",
            vec![capacity("a", 0, 1, 9_000)],
            0,
            0,
            "a b c",
        ),
        (
            "the reserve does not count for other calls",
            vec![capacity("a", 0, 1, 9_000)],
            0,
            1,
            "b c a",
        ),
        (
            "a long wait in another zone too",
            vec![capacity("a", 0, 0, 9_000), capacity("b", 0, 0, 8_000)],
            0,
            1,
            "c a b",
        ),
        (
            "old reports are ignored",
            vec![capacity("a", 0, 0, 9_000)],
            300,
            1,
            "a b c",
        ),
    ];
    for (what, reports, age_ms, rank, expected) in cases {
        let mut capacities = ShardCapacities::default();
        for capacity in reports {
            capacities.update(Time::from_secs(1), capacity);
        }
        let now = Time::from_secs(1).after(Duration::from_millis(age_ms));
        let order = capacities.order(now, Rank(rank), candidates());
        let zones: Vec<_> = order.iter().map(|c| c.shard.zone.as_str()).collect();
        assert_eq!(zones.join(" "), expected, "{what}");
    }
}

#[test]
fn unreachable_owner_comes_last_and_lent_permit_comes_first() {
    let mut capacities = ShardCapacities::default();
    let now = Time::from_secs(1);
    capacities.unreachable(now, &shard("a"));
    let mut candidates = candidates();
    candidates[2].source = PermitSource::Lent;
    let order = capacities.order(now, Rank(0), candidates);
    let zones: Vec<_> = order.iter().map(|c| c.shard.zone.as_str()).collect();
    assert_eq!(zones, ["c", "b", "a"]);
}
