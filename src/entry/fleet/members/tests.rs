use super::receivers::RELAYS_PER_ZONE;
use super::*;
use crate::entry::fleet::watchers::should_watch;

const SILENCE_TIMEOUT: Duration = Duration::from_secs(1);

fn address(number: u8) -> SocketAddr {
    ([10, 0, 0, number], 7000).into()
}

fn updates(has_updates: bool) -> PendingUpdates {
    PendingUpdates {
        same_zone: has_updates,
        other_zones: has_updates,
        store: false,
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
        evidence: Vec::new(),
        limits: Vec::new(),
        leaving: Vec::new(),
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
        version: None,
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

/// A kept rank is computed anew when the set of known instances changes.
#[test]
fn a_rank_holds_for_one_generation_of_the_members() {
    let mut members = Members::new(address(0), SILENCE_TIMEOUT, Duration::from_secs(60));
    let before = members.generation();
    members.add(Time::ZERO, address(1), &"a".into());
    let after = members.generation();
    assert_ne!(before, after);
    members.add(Time::ZERO, address(1), &"a".into());
    members.record_heartbeat(Time::from_secs(1), address(1), &heartbeat(true));
    assert_eq!(members.generation(), after);
    members.remove_silent(Time::from_secs(90), |_| false);
    assert_ne!(members.generation(), after);
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
        should_watch(own, &others, 4, Duration::ZERO, None)
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
    assert_eq!(sent_to(now, false), (50, RELAYS_PER_ZONE));
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

/// The instances of a simulated membership, with the heartbeats that are under way.
struct Cluster {
    members: Vec<Members>,
    zones: Vec<ZoneName>,
    up: Vec<bool>,
}

impl Cluster {
    fn new(zones: u8, per_zone: u8) -> Self {
        let count = zones * per_zone;
        let zone = |own: u8| ZoneName::from(format!("z{}", own % zones));
        let view = |own: u8| {
            let mut members = Members::new(address(own), SILENCE_TIMEOUT, Duration::from_secs(60));
            for other in 0..count {
                members.add(Time::ZERO, address(other), &zone(other));
            }
            members
        };
        Self {
            members: (0..count).map(view).collect(),
            zones: (0..count).map(zone).collect(),
            up: vec![true; count.into()],
        }
    }

    /// One tick: every instance that is up sends its due heartbeats; each datagram that
    /// `arrives` is received. Returns the number of datagrams to other zones.
    fn tick(&mut self, now: Time, mut arrives: impl FnMut() -> bool) -> usize {
        let mut between_zones = 0;
        for own in 0..self.members.len() {
            if !self.up[own] {
                continue;
            }
            let zone = self.zones[own].clone();
            let (same, other) = self.members[own].due_heartbeats(now, &zone, updates(false));
            between_zones += other.len();
            let relayed = self.members[own].statuses_to_relay(now, &zone);
            let heartbeat = Heartbeat {
                zone,
                ..heartbeat(false)
            };
            let from = address(u8::try_from(own).unwrap());
            for (peers, relayed) in [(same, relayed), (other, Vec::new())] {
                for peer in peers {
                    let peer = self.index(peer);
                    if !self.up[peer] || !arrives() {
                        continue;
                    }
                    self.members[peer].record_heartbeat(now, from, &heartbeat);
                    for status in &relayed {
                        self.members[peer].record_relayed(now, status);
                    }
                }
            }
        }
        between_zones
    }

    fn index(&self, peer: SocketAddr) -> usize {
        let found =
            (0..self.members.len()).find(|index| address(u8::try_from(*index).unwrap()) == peer);
        found.unwrap()
    }

    /// Pairs of an instance that is up and a member that it sees as live or not, against
    /// whether that member is up.
    fn wrong_views(&self, now: Time) -> usize {
        let mut wrong = 0;
        for own in (0..self.members.len()).filter(|own| self.up[*own]) {
            for other in (0..self.members.len()).filter(|other| *other != own) {
                let live = self.members[own].is_live(now, address(u8::try_from(other).unwrap()));
                wrong += usize::from(live != self.up[other]);
            }
        }
        wrong
    }
}

/// With datagrams lost at random, and a zone and some others lost and back.
#[test]
fn all_instances_know_who_is_live_with_few_heartbeats_between_zones() {
    arbtest::arbtest(|u| {
        let seed: u64 = u.arbitrary()?;
        let mut state = seed | 1;
        let mut arrives = || {
            state = state
                .wrapping_mul(6_364_136_223_846_793_005)
                .wrapping_add(1);
            (state >> 33) % 100 >= 3
        };
        let mut cluster = Cluster::new(3, 20);
        let mut now = Time::from_secs(1);
        let mut run = |cluster: &mut Cluster, ticks: u64| {
            let mut between_zones = 0;
            for _ in 0..ticks {
                now = now.after(Duration::from_millis(100));
                between_zones += cluster.tick(now, &mut arrives);
            }
            (now, between_zones)
        };
        let (now, _) = run(&mut cluster, 30);
        assert_eq!(cluster.wrong_views(now), 0, "after the start");
        let (_, sent) = run(&mut cluster, 30);
        let per_second = sent / 3;
        assert!(
            per_second <= 60 * 2 * RELAYS_PER_ZONE,
            "{per_second} a second"
        );
        for own in 0..60 {
            cluster.up[own] = own % 3 != 0 && own % 7 != 0;
        }
        let silence = LARGE_SILENCE_TIMEOUT.as_millis() / 100;
        let (now, _) = run(&mut cluster, u64::try_from(silence).unwrap() + 10);
        assert_eq!(cluster.wrong_views(now), 0, "after the loss of a zone");
        cluster.up.fill(true);
        let (now, _) = run(&mut cluster, 30);
        assert_eq!(cluster.wrong_views(now), 0, "after their return");
        Ok(())
    })
    .size_max(64)
    .budget_ms(3_000);
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

/// What is known of the store's last answer: from heartbeats, through relays, and from
/// instances whose changes this one has.
#[test]
fn the_last_answer_counts_once_its_content_is_here() {
    let told = |revision, store_answer_age_ms| Heartbeat {
        status: InstanceStatus {
            revision,
            store_answer_age_ms,
            ..heartbeat(true).status
        },
        ..heartbeat(true)
    };
    let position = |revision| Position { era: 0, revision };
    let mut members = Members::new(address(0), SILENCE_TIMEOUT, Duration::from_secs(60));
    let now = Time::from_secs(10);
    assert_eq!(members.store_answers(position(9)).reached, None);
    members.record_heartbeat(now, address(1), &told(5, Some(700)));
    members.record_heartbeat(now, address(2), &told(6, Some(100)));
    let ago = |millis| Some(now.before(Duration::from_millis(millis)));
    assert_eq!(members.store_answers(position(4)).reached, None);
    assert_eq!(members.store_answers(position(5)).reached, ago(700));
    assert_eq!(members.store_answers(position(6)).reached, ago(100));
    assert_eq!(members.store_answers(position(4)).any, ago(100));
    let relayed = RelayedStatus {
        address: address(3),
        zone: "b".into(),
        status: told(5, Some(200)).status,
        age_ms: 150,
    };
    members.record_relayed(now, &relayed);
    assert_eq!(members.store_answers(position(5)).reached, ago(350));
    // One that is stopped is heard no more, and its answer does not become younger.
    let later = now.after(Duration::from_secs(60));
    members.record_heartbeat(later, address(1), &told(5, Some(60_700)));
    assert_eq!(members.store_answers(position(5)).reached, ago(350));
}

/// What an instance knows of the store reaches the others before its next regular heartbeat.
#[test]
fn news_of_the_store_are_sent_early() {
    for others in [13_u8, 100] {
        let mut members = Members::new(address(0), SILENCE_TIMEOUT, Duration::from_secs(60));
        let now = Time::from_secs(1);
        for other in 1..=others {
            let zone = if other % 2 == 0 { "a" } else { "b" };
            let heartbeat = Heartbeat {
                zone: zone.into(),
                ..heartbeat(false)
            };
            members.record_heartbeat(now, address(other), &heartbeat);
        }
        let mut sent_to_others = |now, store| {
            let updates = PendingUpdates {
                store,
                ..updates(false)
            };
            members.due_heartbeats(now, &"a".into(), updates).1.len()
        };
        let all = sent_to_others(now, false);
        let soon = now.after(Duration::from_millis(100));
        assert_eq!(sent_to_others(soon, false), 0, "{others}");
        assert_eq!(sent_to_others(soon, true), all, "{others}");
    }
}
