use super::*;
use crate::names::{ServiceName, ZoneName};

fn shard(zone: &str) -> ShardId {
    ShardId::from((&ServiceName::from("orders"), &ZoneName::from(zone)))
}

fn candidates() -> Vec<Candidate> {
    let far = |zone| Candidate {
        shard: shard(zone),
        near: false,
        way: Way::OwnerFar,
    };
    let near = Candidate {
        near: true,
        way: Way::Own,
        ..far("near")
    };
    vec![far("far"), near, far("other")]
}

fn room(zone: &str, free: u32, urgent_free: u32, wait_us: u64) -> ShardRoom {
    ShardRoom {
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
        ("no report", vec![], 0, 1, "near far other"),
        (
            "free slots in the same zone",
            vec![room("near", 3, 4, 0)],
            0,
            1,
            "near far other",
        ),
        (
            "a short wait in the same zone",
            vec![room("near", 0, 0, 1_000)],
            0,
            1,
            "near far other",
        ),
        (
            "a long wait in the same zone",
            vec![room("near", 0, 0, 9_000)],
            0,
            1,
            "far other near",
        ),
        (
            "the reserve counts as free for urgent calls",
            vec![room("near", 0, 1, 9_000)],
            0,
            0,
            "near far other",
        ),
        (
            "the reserve does not count for other calls",
            vec![room("near", 0, 1, 9_000)],
            0,
            1,
            "far other near",
        ),
        (
            "a long wait in another zone too",
            vec![room("near", 0, 0, 9_000), room("far", 0, 0, 8_000)],
            0,
            1,
            "other near far",
        ),
        (
            "old reports are ignored",
            vec![room("near", 0, 0, 9_000)],
            300,
            1,
            "near far other",
        ),
    ];
    for (what, reports, age_ms, rank, expected) in cases {
        let mut rooms = Rooms::default();
        for room in reports {
            rooms.told(Time::from_secs(1), room);
        }
        let now = Time::from_secs(1).after(Duration::from_millis(age_ms));
        let order = rooms.order(now, Rank(rank), candidates());
        let zones: Vec<_> = order.iter().map(|c| c.shard.zone.as_str()).collect();
        assert_eq!(zones.join(" "), expected, "{what}");
    }
}

#[test]
fn unreachable_owner_comes_last_and_lent_permit_comes_first() {
    let mut rooms = Rooms::default();
    let now = Time::from_secs(1);
    rooms.unreachable(now, &shard("near"));
    let mut candidates = candidates();
    candidates[2].way = Way::Lent;
    let order = rooms.order(now, Rank(0), candidates);
    let zones: Vec<_> = order.iter().map(|c| c.shard.zone.as_str()).collect();
    assert_eq!(zones, ["other", "far", "near"]);
}
