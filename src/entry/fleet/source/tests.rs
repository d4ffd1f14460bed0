use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use super::*;

/// Instances of a zone.
const INSTANCES: u8 = 44;
/// Steps of the replay in a second.
const STEPS_PER_SECOND: u32 = 100;
/// Bytes that a link carries in a step: 10 Mbit/s.
const LINK_BYTES: u32 = 12_500;
/// Bytes of the configuration: 1,400 routes.
const CONFIGURATION_BYTES: u32 = 92_000;
/// Time in which a configuration must be in force, without that until a zone first has it.
const IN_FORCE_STEPS: u32 = 2 * STEPS_PER_SECOND;
/// Time until the instances of a zone hear what one has.
const HEARTBEAT_STEPS: u32 = 30;

/// One instance of the replay.
#[derive(Default)]
struct Instance {
    /// The step in which it got the configuration.
    has_it: Option<u32>,
    /// The source that it fetches from, and the bytes that are missing.
    fetch: Option<(usize, u32)>,
    avoided: Avoided,
}

fn address(index: usize) -> SocketAddr {
    ([10, 0, 0, u8::try_from(index).unwrap()], 7000).into()
}

/// Replays the spread of a configuration in a zone in which one instance has it; returns
/// the steps until all have it. A source sends `max_transfers` copies at a time.
fn replay(max_transfers: usize, seed: u64) -> u32 {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut instances: Vec<Instance> = (0..INSTANCES).map(|_| Instance::default()).collect();
    instances[0].has_it = Some(0);
    for step in 1.. {
        let now = Time::ZERO.after(Duration::from_secs(1) * step / STEPS_PER_SECOND);
        let known = |instance: &Instance| {
            let heard = |at: u32| at == 0 || at + HEARTBEAT_STEPS <= step;
            instance.has_it.is_some_and(heard)
        };
        let indices = 0..instances.len();
        let sources: Vec<Source> = indices
            .filter(|index| known(&instances[*index]))
            .map(|index| Source {
                address: address(index),
                same_zone: true,
                summary: Summary {
                    position: Position::default(),
                    checksum: None,
                },
                version: 2,
                lacking: Lacking::Changes,
            })
            .collect();
        let mut sending = vec![0; instances.len()];
        for (source, _) in instances.iter().filter_map(|instance| instance.fetch) {
            sending[source] += 1;
        }
        for instance in &mut instances {
            if let Some((source, left)) = &mut instance.fetch {
                *left = left.saturating_sub(LINK_BYTES / sending[*source]);
                if *left == 0 {
                    instance.has_it = Some(step);
                    instance.fetch = None;
                }
            } else if instance.has_it.is_none()
                && let Some(chosen) = choose(now, &sources, &instance.avoided, rng.random())
            {
                let is_chosen = |index: &usize| address(*index) == chosen.address;
                let source = (0..sending.len()).find(is_chosen).unwrap();
                if usize::try_from(sending[source]).unwrap() < max_transfers {
                    sending[source] += 1;
                    instance.fetch = Some((source, CONFIGURATION_BYTES));
                } else {
                    instance.avoided.record_busy(now, chosen.address);
                }
            }
        }
        if instances.iter().all(|instance| instance.has_it.is_some()) {
            return step;
        }
    }
    unreachable!("the replay ends when all have it")
}

#[test]
fn a_large_configuration_reaches_a_zone_of_narrow_links_late() {
    for seed in 0..20 {
        let steps = replay(2, seed);
        assert!(steps <= IN_FORCE_STEPS, "{steps} steps with seed {seed}");
    }
}

#[test]
fn without_a_limit_of_transfers_a_large_configuration_is_late() {
    assert!(replay(usize::MAX, 0) > IN_FORCE_STEPS);
}

#[test]
fn sources_that_failed_are_a_last_resort_and_busy_ones_none() {
    let now = Time::ZERO.after(Duration::from_secs(1));
    let source = |index, same_zone| Source {
        address: address(index),
        same_zone,
        summary: Summary {
            position: Position::default(),
            checksum: None,
        },
        version: 2,
        lacking: Lacking::Changes,
    };
    let sources = [source(1, true), source(2, true), source(3, false)];
    let mut avoided = Avoided::default();
    let chosen =
        |avoided: &Avoided, now| choose(now, &sources, avoided, 0.0).map(|source| source.address);
    avoided.record_failure(address(1));
    assert_eq!(chosen(&avoided, now), Some(address(2)));
    avoided.record_busy(now, address(2));
    assert_eq!(chosen(&avoided, now), Some(address(3)));
    avoided.record_busy(now, address(3));
    assert_eq!(chosen(&avoided, now), Some(address(1)));
    avoided.record_busy(now, address(1));
    assert_eq!(chosen(&avoided, now), None);
    assert_eq!(chosen(&avoided, now.after(BUSY_TIME)), Some(address(2)));
}
