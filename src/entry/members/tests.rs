use super::*;
use crate::entry::watchers::should_watch;

const SILENCE_TIMEOUT: Duration = Duration::from_secs(1);

fn address(number: u8) -> SocketAddr {
    ([10, 0, 0, number], 7000).into()
}

fn updates(has_updates: bool) -> PendingUpdates {
    PendingUpdates {
        same_zone: has_updates,
        other_zones: has_updates,
        all: false,
    }
}

fn heartbeat(watching: bool) -> Heartbeat {
    Heartbeat {
        zone: "a".into(),
        status: InstanceStatus {
            ready: true,
            store: if watching {
                StoreAccess::Watching
            } else {
                StoreAccess::Unused
            },
            ..InstanceStatus::default()
        },
        reports: Vec::new(),
        member: None,
        cases: Vec::new(),
    }
}

/// Views of `count` instances that have all received each other's heartbeats at `now`.
fn views(count: u8, now: Time) -> Vec<Members> {
    (0..count)
        .map(|own| {
            let mut members = Members::new(address(own), SILENCE_TIMEOUT, Duration::from_secs(60));
            for other in 0..count {
                members.record_heartbeat(now, address(other), &heartbeat(true));
            }
            members
        })
        .collect()
}

fn target(id: &str, zone: &str) -> Target {
    Target {
        id: id.into(),
        service: "s".into(),
        address: address(200),
        zone: zone.into(),
        slots: 6,
        leaving: false,
        cold_for: Duration::ZERO,
        started_ms: 1,
    }
}

#[test]
fn each_target_has_one_prober_if_views_agree() {
    let now = Time::from_secs(1);
    let views = views(14, now);
    for number in 0..50 {
        let target = target(&format!("t{number}"), "elsewhere");
        let probers = views
            .iter()
            .filter(|members| members.is_prober(now, &"a".into(), &target));
        assert_eq!(probers.count(), 1);
    }
}

#[test]
fn a_silent_prober_is_replaced_and_ranks_stay() {
    let now = Time::from_secs(1);
    let mut views = views(5, now);
    let target = target("t", "a");
    let rank = |members: &Members| members.rank(&target.id);
    let ranks: Vec<_> = views.iter().map(rank).collect();
    let prober = ranks.iter().position(|rank| *rank == 0).unwrap();
    let later = now.after(SILENCE_TIMEOUT);
    for (own, members) in views.iter_mut().enumerate() {
        for other in (0..5).filter(|other| *other != prober) {
            members.record_heartbeat(
                later,
                address(u8::try_from(other).unwrap()),
                &heartbeat(true),
            );
        }
        assert_eq!(rank(members), ranks[own]);
    }
    let probers: Vec<_> = (0..5)
        .filter(|own| *own != prober && views[*own].is_prober(later, &"a".into(), &target))
        .collect();
    assert_eq!(probers.len(), 1);
    assert_eq!(ranks[probers[0]], 1);
}

#[test]
fn a_target_is_probed_from_its_zone_while_an_instance_is_live_there() {
    let now = Time::from_secs(1);
    let mut members = Members::new(address(0), SILENCE_TIMEOUT, Duration::from_secs(60));
    for other in 1..14 {
        let zone = if other < 4 { "b" } else { "a" };
        let heartbeat = Heartbeat {
            zone: zone.into(),
            ..heartbeat(false)
        };
        members.record_heartbeat(now, address(other), &heartbeat);
    }
    let in_b = |number: u32| target(&format!("t{number}"), "b");
    let is_prober = |now, number| members.is_prober(now, &"a".into(), &in_b(number));
    assert!((0..50).all(|number| !is_prober(now, number)));
    let alone = now.after(SILENCE_TIMEOUT);
    assert!((0..50).all(|number| is_prober(alone, number)));
}

#[test]
fn heartbeat_traffic_grows_sublinearly_in_a_large_membership() {
    let sent_in_three_seconds = |count: u8| {
        let mut members = Members::new(address(0), SILENCE_TIMEOUT, Duration::from_secs(60));
        let mut sent = 0;
        for tick in 0..30 {
            let now = Time::from_millis(tick * 100);
            for other in 1..=count {
                let zone = if other % 3 == 0 { "a" } else { "b" };
                let heartbeat = Heartbeat {
                    zone: zone.into(),
                    ..heartbeat(false)
                };
                members.record_heartbeat(now, address(other), &heartbeat);
            }
            let (same_zone, other_zones) =
                members.due_heartbeats(now, &"a".into(), updates(tick % 5 == 0));
            sent += same_zone.len() + other_zones.len();
        }
        sent
    };
    assert!(sent_in_three_seconds(135) <= 3 * sent_in_three_seconds(30));
}

/// Also checks that exactly four of them continue to watch when all do.
#[test]
fn instances_agree_on_the_order_of_watchers() {
    let now = Time::from_secs(1);
    let views = views(14, now);
    let watchers = |members: &Members| {
        let own = members.own_watcher(StoreAccess::Watching);
        (own, members.watchers(now))
    };
    let mut positions: Vec<_> = views
        .iter()
        .map(|members| {
            let (own, others) = watchers(members);
            let ahead = others.iter().filter(|other| other.weight > own.weight);
            ahead.count()
        })
        .collect();
    positions.sort_unstable();
    assert_eq!(positions, (0..14).collect::<Vec<_>>());
    let continuing = views.iter().filter(|members| {
        let (own, others) = watchers(members);
        should_watch(own, &others, 4, Duration::ZERO)
    });
    assert_eq!(continuing.count(), 4);
}

/// Number of heartbeats to one peer in two seconds, with one tick each 100 ms.
fn heartbeats_sent(zone: &str, live: bool, has_updates: bool) -> usize {
    let mut members = Members::new(address(0), SILENCE_TIMEOUT, Duration::from_secs(60));
    members.add(Time::ZERO, address(1), &zone.into());
    (0..20)
        .filter(|tick| {
            let now = Time::from_millis(tick * 100);
            if live {
                let heartbeat = Heartbeat {
                    zone: zone.into(),
                    ..heartbeat(false)
                };
                members.record_heartbeat(now, address(1), &heartbeat);
            }
            let (same_zone, other_zones) =
                members.due_heartbeats(now, &"a".into(), updates(has_updates));
            same_zone.len() + other_zones.len() == 1
        })
        .count()
}

/// An instance that shuts down must be known to all before its callers move.
#[test]
fn a_shutdown_is_sent_to_every_live_peer_at_once_in_a_large_membership() {
    let mut members = Members::new(address(0), SILENCE_TIMEOUT, Duration::from_secs(60));
    let now = Time::from_secs(1);
    for other in 1..=100 {
        let zone = if other % 2 == 0 { "a" } else { "b" };
        let heartbeat = Heartbeat {
            zone: zone.into(),
            ..heartbeat(false)
        };
        members.record_heartbeat(now, address(other), &heartbeat);
    }
    let mut sent_to = |now, all| {
        let updates = PendingUpdates {
            all,
            ..updates(true)
        };
        let (same_zone, other_zones) = members.due_heartbeats(now, &"a".into(), updates);
        (same_zone.len(), other_zones.len())
    };
    assert_eq!(sent_to(now, false), (50, 50));
    let soon = now.after(Duration::from_millis(20));
    assert_eq!(sent_to(soon, false), (50, 0));
    assert_eq!(sent_to(soon, true), (50, 50));
}

#[test]
fn heartbeat_intervals_depend_on_zone_liveness_and_changes() {
    assert_eq!(heartbeats_sent("a", true, false), 20);
    assert_eq!(heartbeats_sent("b", true, false), 5);
    assert_eq!(heartbeats_sent("b", true, true), 20);
    assert_eq!(heartbeats_sent("a", false, true), 2);
}

#[test]
fn only_registered_instances_are_kept_when_silent() {
    let mut members = Members::new(address(0), SILENCE_TIMEOUT, Duration::from_secs(60));
    members.add(Time::ZERO, address(1), &"a".into());
    members.add(Time::ZERO, address(2), &"a".into());
    members.remove_silent(Time::from_secs(61), |known| *known == address(2));
    let known: Vec<_> = members.known().map(|(address, _)| address).collect();
    assert_eq!(known, [address(2)]);
}
