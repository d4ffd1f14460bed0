//! Replays a burst above what the targets can run: a third of them is silent, the others have
//! three slots each, and the third request at a target slows all of its work down.

use super::*;

const TARGETS: usize = 12;
const SLOTS: f64 = 3.0;
/// Slowdown of a target with all slots taken, as learned from responses.
const FULL_FACTOR: f64 = 1.7;
/// Duration of a slow spell, during which work takes [`SLOW_PERCENT`].
const SPELL_MS: u64 = 300;
const SLOW_PERCENT: f64 = 400.0;
/// Arrivals are this far apart, for [`BURST_MS`].
const ARRIVAL_MS: usize = 4;
const BURST_MS: u64 = 3_000;
/// Time that each caller has.
const PATIENCE_MS: u64 = 2_000;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Policy {
    /// [`choose`] decides.
    Wait,
    /// Without a target in time, a request takes the cheapest free slot.
    AnyFreeSlot,
}

/// A quarter of the spells of each target are slow.
fn slowness(target: usize, at_ms: u64) -> f64 {
    let spell = (at_ms + 37 * target as u64) / SPELL_MS;
    let hash = (spell * 31 + target as u64).wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 32;
    if hash.is_multiple_of(4) {
        SLOW_PERCENT
    } else {
        100.0
    }
}

/// Returns how many requests are answered in their callers' time, and after how long on
/// average.
fn play(policy: Policy) -> (u32, Duration) {
    let settings = PlacementSettings::default();
    let mut running: Vec<Vec<u64>> = vec![Vec::new(); TARGETS];
    let mut waiting: Vec<u64> = Vec::new();
    let (mut answered, mut took_ms) = (0, 0);
    for now in 0..BURST_MS + PATIENCE_MS {
        for ends in &mut running {
            ends.retain(|end| *end > now);
        }
        if now < BURST_MS && now.is_multiple_of(ARRIVAL_MS as u64) {
            waiting.push(now);
        }
        waiting.retain(|arrived| {
            let targets: Vec<Candidate> = (0..TARGETS)
                .map(|target| {
                    let occupied = f64::from(u32::try_from(running[target].len()).unwrap());
                    Candidate {
                        slowness_percent: Some(slowness(target, now)),
                        occupied,
                        slots: SLOTS,
                        load_factor: if occupied + 1.0 < SLOTS {
                            1.0
                        } else {
                            FULL_FACTOR
                        },
                        ..idle()
                    }
                })
                .collect();
            let requirements = Requirements {
                deadline_left: Duration::from_millis((arrived + PATIENCE_MS).saturating_sub(now)),
                slot_share: 1.0,
                ..requirements()
            };
            let in_time = |target: &Candidate| finishes_in_time(target, &requirements, &settings);
            let chosen = choose(&targets, &requirements, &settings, 0.5).or_else(|| {
                let cheapest = cheapest(&targets, in_time, &requirements, &settings, 0.5);
                cheapest.filter(|_| policy == Policy::AnyFreeSlot)
            });
            let Some(chosen) = chosen else {
                return requirements.deadline_left > requirements.service_time;
            };
            let took = expected_duration(&targets[chosen], requirements.service_time, &settings);
            let end = now + u64::try_from(took.as_millis()).unwrap();
            running[chosen].push(end);
            answered += 1;
            took_ms += end - arrived;
            false
        });
    }
    (answered, Duration::from_millis(took_ms) / answered)
}

#[test]
fn waiting_for_faster_targets_answers_sooner_and_no_fewer() {
    let (answered, took) = play(Policy::Wait);
    let (answered_at_once, took_at_once) = play(Policy::AnyFreeSlot);
    assert!(
        answered >= answered_at_once && took < took_at_once,
        "{answered} after {took:?}, {answered_at_once} after {took_at_once:?}"
    );
}
