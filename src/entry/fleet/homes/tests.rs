use super::*;
use crate::entry::fleet::members::InstanceStatus;
use crate::entry::fleet::message::RelayedStatus;

const NOW: Time = Time::from_secs(100);
const SILENCE_TIMEOUT: Duration = Duration::from_secs(1);
const ZONES: [&str; 4] = ["a", "b", "c", "d"];

fn address(number: u8) -> SocketAddr {
    ([10, 0, 0, number], 7000).into()
}

fn zone(number: u8) -> ZoneName {
    ZONES[usize::from(number) % ZONES.len()].into()
}

/// The members known to `own` among `count` instances, of which `silent` are silent.
fn members(own: u8, count: u8, silent: &[u8], now: Time) -> Members {
    let mut members = Members::new(address(own), SILENCE_TIMEOUT, Duration::from_secs(60));
    for other in 0..count {
        members.add(now, address(other), &zone(other));
        if !silent.contains(&other) {
            members.record_relayed(
                now,
                &RelayedStatus {
                    address: address(other),
                    zone: zone(other),
                    status: InstanceStatus::default(),
                    age_ms: 0,
                },
            );
        }
    }
    members
}

fn homes(own: u8, count: u8, silent: &[u8]) -> Homes {
    let mut homes = Homes::new(address(own));
    homes.update(NOW, &members(own, count, silent, NOW), &zone(own), false);
    homes
}

#[test]
fn all_instances_agree_on_three_homes_in_different_zones() {
    let views: Vec<Homes> = (0..20).map(|own| homes(own, 20, &[])).collect();
    let mut counts = IndexMap::new();
    for account in 0..500 {
        let chosen = &views[0].slot(account).homes;
        assert_eq!(chosen.len(), MAX_HOMES);
        for home in chosen {
            *counts.entry(*home).or_insert(0) += 1;
        }
        let zones: std::collections::BTreeSet<_> =
            chosen.iter().map(|home| views[0].zone_of(*home)).collect();
        assert_eq!(zones.len(), MAX_HOMES);
        for (own, view) in (0..).zip(&views) {
            assert_eq!(view.slot(account).homes, *chosen);
            let is_home = view.grants_from(account, MAX_HOMES).is_some();
            assert_eq!(is_home, chosen.contains(&address(own)));
        }
    }
    let most = counts.values().max();
    assert!(counts.len() == 20 && *most.unwrap() <= 120, "{counts:?}");
}

#[test]
fn the_loss_of_an_instance_replaces_only_that_home() {
    let (before, after) = (homes(0, 20, &[]), homes(0, 20, &[7]));
    for account in 0..500 {
        let (before, after) = (&before.slot(account).homes, &after.slot(account).homes);
        let kept = before.iter().filter(|home| after.contains(home)).count();
        let had_it = before.contains(&address(7));
        assert_eq!(kept, MAX_HOMES - usize::from(had_it));
    }
}

#[test]
fn too_few_zones_or_instances_have_as_many_homes_as_there_are() {
    assert_eq!(homes(0, 1, &[]).order(5, MAX_HOMES), [address(0)]);
    assert_eq!(homes(0, 2, &[]).order(5, MAX_HOMES).len(), 2);
    let mut silent: Vec<u8> = (0..20).filter(|number| number % 4 != 0).collect();
    assert_eq!(homes(0, 20, &silent).order(5, MAX_HOMES).len(), 3);
    silent.extend([4, 8, 12, 16]);
    assert_eq!(homes(0, 20, &silent).order(5, MAX_HOMES), [address(0)]);
    assert_eq!(homes(0, 20, &silent).order(5, 1), [address(0)]);
}

#[test]
fn an_instance_asks_itself_first_then_its_zone() {
    for own in 0..20 {
        let homes = homes(own, 20, &[]);
        for account in 0..100 {
            let order = homes.order(account, MAX_HOMES);
            let place = |home: &SocketAddr| {
                let is_other_zone = homes.zone_of(*home) != homes.zone_of(address(own));
                (*home != address(own), is_other_zone)
            };
            assert!(order.is_sorted_by_key(place));
        }
    }
}

#[test]
fn a_home_is_new_after_a_pause_and_after_it_was_none() {
    let mut homes = homes(0, 1, &[]);
    let known = members(0, 1, &[], NOW);
    let after = |ms| NOW.after(Duration::from_millis(ms));
    assert!(!homes.update(after(1000), &known, &zone(0), false));
    assert_eq!(homes.grants_from(5, MAX_HOMES), Some(after(500)));
    assert_eq!(homes.grants_from(5, 1), Some(after(500)));
    assert!(homes.update(after(2100), &known, &zone(0), false));
    assert_eq!(homes.grants_from(5, MAX_HOMES), Some(after(2600)));
    assert!(homes.update(after(2200), &known, &zone(0), true));
    assert_eq!(homes.grants_from(5, MAX_HOMES), None);
    assert!(homes.update(after(2300), &known, &zone(0), false));
    assert_eq!(homes.grants_from(5, 1), Some(after(2800)));
}

#[test]
fn a_home_in_place_of_another_grants_later() {
    let (all, alone) = (homes(0, 2, &[]), homes(0, 20, &(1..20).collect::<Vec<_>>()));
    let times = |homes: &Homes| -> Vec<_> {
        let times = (0..100).map(|account| homes.grants_from(account, MAX_HOMES).unwrap());
        times.map(|from| from.since(NOW)).collect()
    };
    assert!(times(&all).iter().all(|time| *time == RETURN_TIME));
    let times = times(&alone);
    let usual = times.iter().filter(|time| **time == RETURN_TIME).count();
    assert!((1..50).contains(&usual), "{usual}");
    assert!(
        times
            .iter()
            .all(|time| [RETURN_TIME, HANDOVER_TIME].contains(time))
    );
}

#[test]
fn an_instance_that_sees_few_others_grants_little() {
    assert!((homes(0, 20, &[]).fraction() - 1.0).abs() < f64::EPSILON);
    let half: Vec<u8> = (10..20).collect();
    assert!((homes(0, 20, &half).fraction() - 0.5).abs() < f64::EPSILON);
    let all: Vec<u8> = (1..20).collect();
    assert!(homes(0, 20, &all).fraction() < 0.01);
}
