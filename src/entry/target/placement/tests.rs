use super::*;

fn idle() -> Candidate {
    Candidate {
        slowness_percent: Some(100.0),
        occupied: 0.0,
        slots: 6.0,
        load_factor: 1.0,
        round_trip: Duration::from_millis(1),
        same_zone: true,
        connected: true,
        healthy: true,
        cold: false,
        failure_rate: 0.0,
        suspicion: 0,
    }
}

/// Work of 100 ms for a caller with 2 s, at one of two instances.
fn requirements() -> Requirements {
    Requirements {
        service_time: Duration::from_millis(100),
        deadline_left: Duration::from_secs(2),
        slot_share: 0.5,
        suspicion: 0,
    }
}

fn chosen(candidates: &[Candidate], draw: f64) -> Option<usize> {
    choose(
        candidates,
        &requirements(),
        &PlacementSettings::default(),
        draw,
    )
}

#[test]
fn a_fast_target_in_another_zone_beats_a_slow_one_in_the_same_zone() {
    let slow = Candidate {
        slowness_percent: Some(700.0),
        ..idle()
    };
    let other_zone = Candidate {
        same_zone: false,
        ..idle()
    };
    assert_eq!(chosen(&[slow, other_zone], 0.0), Some(1));
}

/// Work takes 100 ms; four requests at a target cost as much as a round trip of 27 ms.
#[test]
fn a_target_in_another_zone_costs_its_round_trip() {
    let busier = Candidate {
        occupied: 4.0,
        ..idle()
    };
    let other_zone = |round_trip_ms| Candidate {
        round_trip: Duration::from_millis(round_trip_ms),
        same_zone: false,
        ..idle()
    };
    let occupied = |occupied| Candidate { occupied, ..idle() };
    // It is as good, and the nearer one is preferred.
    assert_eq!(chosen(&[other_zone(2), occupied(1.0)], 0.0), Some(1));
    assert_eq!(chosen(&[other_zone(2), busier], 0.0), Some(0));
    assert_eq!(chosen(&[other_zone(25), busier], 0.0), Some(1));
}

#[test]
fn equal_targets_share_requests_evenly() {
    let targets = [idle(); 5];
    let mut counts = [0; 5];
    for draw in 0..100 {
        counts[chosen(&targets, f64::from(draw) / 100.0).unwrap()] += 1;
    }
    assert_eq!(counts, [20; 5]);
}

#[test]
fn no_target_gets_more_than_its_slots() {
    arbtest::arbtest(|u| {
        let settings = PlacementSettings::default();
        let mut targets = Vec::new();
        for _ in 0..u.int_in_range(1..=5_u8)? {
            targets.push(Candidate {
                occupied: f64::from(u.int_in_range(0..=14_u8)?),
                slots: f64::from(u.int_in_range(1..=6_u8)?),
                slowness_percent: u
                    .arbitrary::<bool>()?
                    .then_some(f64::from(u.int_in_range(50..=900_u16)?)),
                ..idle()
            });
        }
        let draw = f64::from(u.int_in_range(0..=99_u8)?) / 100.0;
        match choose(&targets, &requirements(), &settings, draw) {
            Some(index) => {
                let target = targets[index];
                assert!(target.occupied + 1.0 <= target.slots);
            }
            // Each free target is too slow, or slower than to wait for another one.
            None => {
                for target in &targets {
                    let ends_in_time = finishes_in_time(target, &requirements(), &settings);
                    assert!(
                        !ends_in_time
                            || is_worth_waiting(target, &targets, &requirements(), &settings)
                    );
                }
            }
        }
        Ok(())
    });
}

#[test]
fn a_target_without_a_connection_costs_another_round_trip() {
    let settings = PlacementSettings {
        tie_margin: 0.0,
        ..PlacementSettings::default()
    };
    let chosen = |targets: &[Candidate]| choose(targets, &requirements(), &settings, 0.0);
    for (round_trip_ms, expected) in [(1, 1), (50, 0)] {
        let round_trip = Duration::from_millis(round_trip_ms);
        let busier = Candidate {
            occupied: 4.0,
            round_trip,
            ..idle()
        };
        let unconnected = Candidate {
            connected: false,
            round_trip,
            ..idle()
        };
        let targets = [busier, unconnected];
        assert_eq!(chosen(&targets), Some(expected), "{round_trip:?}");
    }
    let unconnected = Candidate {
        connected: false,
        ..idle()
    };
    // Within the margin.
    assert_eq!(self::chosen(&[unconnected, idle()], 0.0), Some(1));
}

#[test]
fn each_disadvantage_of_a_target_raises_its_cost() {
    let settings = PlacementSettings::default();
    let worse = [
        Candidate {
            connected: false,
            ..idle()
        },
        Candidate {
            healthy: false,
            ..idle()
        },
        Candidate {
            cold: true,
            ..idle()
        },
        Candidate {
            failure_rate: 0.3,
            ..idle()
        },
        Candidate {
            occupied: 5.0,
            ..idle()
        },
        Candidate {
            slowness_percent: None,
            ..idle()
        },
        Candidate {
            round_trip: Duration::from_millis(2),
            ..idle()
        },
    ];
    let service_time = requirements().service_time;
    let cost = |candidate: &Candidate| cost(candidate, service_time, &settings);
    for candidate in worse {
        assert!(cost(&candidate) > cost(&idle()), "{candidate:?}");
    }
}

#[test]
fn a_request_waits_for_a_full_target_that_answers_sooner_than_a_free_one() {
    let full = |slowness| Candidate {
        occupied: 6.0,
        slowness_percent: Some(slowness),
        ..idle()
    };
    let free = |slowness| Candidate {
        slowness_percent: Some(slowness),
        ..idle()
    };
    assert_eq!(chosen(&[full(700.0), full(200.0)], 0.0), None);
    // One of its six slots becomes free each 17 ms, every other time for this instance.
    assert_eq!(chosen(&[full(100.0), free(130.0)], 0.0), Some(1));
    assert_eq!(chosen(&[full(100.0), free(140.0)], 0.0), None);
    assert_eq!(chosen(&[full(600.0), free(700.0)], 0.0), Some(1));
    let hurried = Requirements {
        deadline_left: Duration::from_millis(131),
        ..requirements()
    };
    let settings = PlacementSettings::default();
    let targets = [full(100.0), free(130.0)];
    assert_eq!(choose(&targets, &hurried, &settings, 0.0), Some(1));
}

/// A late answer is an answer: callers wait until their deadlines.
#[test]
fn a_request_gets_any_free_slot_where_it_ends_within_its_callers_time() {
    for (left_ms, expected) in [(2_000, Some(0)), (700, Some(0)), (699, None)] {
        let requirements = Requirements {
            deadline_left: Duration::from_millis(left_ms),
            ..requirements()
        };
        let last_slot = Candidate {
            occupied: 5.0,
            slowness_percent: Some(700.0),
            ..idle()
        };
        let settings = PlacementSettings::default();
        let chosen = choose(&[last_slot], &requirements, &settings, 0.0);
        assert_eq!(chosen, expected, "{left_ms} ms left");
    }
}

/// As after a restart, when nothing has been reported yet.
#[test]
fn a_request_does_not_wait_for_reports() {
    let unknown = Candidate {
        slowness_percent: None,
        ..idle()
    };
    assert_eq!(chosen(&[unknown], 0.0), Some(0));
    assert_eq!(chosen(&[unknown, idle()], 0.9), Some(1));
}

#[test]
fn a_request_is_not_sent_where_it_would_miss_its_deadline() {
    let slow = Candidate {
        slowness_percent: Some(2500.0),
        ..idle()
    };
    assert_eq!(chosen(&[slow], 0.0), None);
}

/// As after a crash, when the request that caused it and those beside it are retried.
#[test]
fn a_suspect_goes_where_no_request_is_more_suspicious() {
    let busier = Candidate {
        occupied: 2.0,
        same_zone: false,
        ..idle()
    };
    let with_suspect = Candidate {
        suspicion: 2,
        ..idle()
    };
    let suspect = Requirements {
        suspicion: 1,
        ..requirements()
    };
    let chosen_for = |targets: &[Candidate], requirements: &Requirements| {
        choose(targets, requirements, &PlacementSettings::default(), 0.0)
    };
    assert_eq!(chosen_for(&[with_suspect, busier], &suspect), Some(1));
    let less_suspicious = Candidate {
        suspicion: 1,
        ..busier
    };
    assert_eq!(
        chosen_for(&[with_suspect, less_suspicious], &suspect),
        Some(1)
    );
    assert_eq!(
        chosen_for(&[with_suspect, busier], &requirements()),
        Some(0)
    );
    let slow = Candidate {
        slowness_percent: Some(2100.0),
        ..busier
    };
    assert_eq!(
        chosen_for(&[with_suspect, slow], &suspect),
        Some(0),
        "being apart makes no request late"
    );
}

mod replay;
