use super::*;

fn idle() -> Candidate {
    Candidate {
        slowness_percent: Some(100.0),
        occupied: 0.0,
        slots: 6.0,
        load_factor: 1.0,
        same_zone: true,
        connected: true,
        healthy: true,
        cold: false,
        failure_rate: 0.0,
        suspicion: 0,
    }
}

/// Work of 100 ms with an objective of 300 ms and a deadline of 2 s.
fn requirements() -> Requirements {
    Requirements {
        service_time: Duration::from_millis(100),
        objective_left: Duration::from_millis(300),
        deadline_left: Duration::from_secs(2),
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

#[test]
fn a_busier_target_in_the_same_zone_beats_an_idle_one_in_another() {
    let busier = Candidate {
        occupied: 2.0,
        ..idle()
    };
    let other_zone = Candidate {
        same_zone: false,
        ..idle()
    };
    assert_eq!(chosen(&[other_zone, busier], 0.0), Some(1));
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
            // It waits for a target that would be in time, or none has a free slot.
            None => assert!(
                !may_be_late(&targets, &requirements(), &settings)
                    || targets
                        .iter()
                        .all(|target| target.occupied + 1.0 > target.slots)
            ),
        }
        Ok(())
    });
}

#[test]
fn a_connected_target_is_preferred_until_it_is_nearly_full() {
    let unconnected = Candidate {
        connected: false,
        ..idle()
    };
    let settings = PlacementSettings {
        tie_margin: 0.0,
        ..PlacementSettings::default()
    };
    let chosen = |targets: &[Candidate]| choose(targets, &requirements(), &settings, 0.0);
    assert_eq!(chosen(&[unconnected, idle()]), Some(1));
    // Targets become slower only when nearly full, and opening a connection costs them
    // time.
    for (occupied, expected) in [(3.0, 0), (5.0, 1), (6.0, 1)] {
        let busier = Candidate { occupied, ..idle() };
        let targets = [busier, unconnected];
        assert_eq!(chosen(&targets), Some(expected), "{occupied} occupied");
    }
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
            same_zone: false,
            ..idle()
        },
    ];
    for candidate in worse {
        assert!(
            cost(&candidate, &settings) > cost(&idle(), &settings),
            "{candidate:?}"
        );
    }
}

#[test]
fn a_request_waits_while_a_full_target_could_be_in_time() {
    let full = |slowness| Candidate {
        occupied: 6.0,
        slowness_percent: Some(slowness),
        ..idle()
    };
    let free_but_slow = Candidate {
        slowness_percent: Some(700.0),
        ..idle()
    };
    assert_eq!(chosen(&[full(700.0), full(200.0)], 0.0), None);
    assert_eq!(chosen(&[full(250.0), free_but_slow], 0.0), None);
    assert_eq!(
        chosen(&[full(300.0), free_but_slow], 0.0),
        Some(1),
        "it would be late in any case"
    );
}

#[test]
fn a_request_that_has_waited_too_long_gets_only_spare_slots() {
    let hopeless = Requirements {
        objective_left: Duration::from_millis(40),
        ..requirements()
    };
    let chosen = |occupied| {
        let target = Candidate { occupied, ..idle() };
        choose(&[target], &hopeless, &PlacementSettings::default(), 0.0)
    };
    assert_eq!(chosen(0.0), Some(0));
    assert_eq!(chosen(3.0), Some(0));
    assert_eq!(chosen(4.0), None);
    let only_slot = Candidate {
        slots: 1.0,
        ..idle()
    };
    let settings = PlacementSettings::default();
    assert_eq!(choose(&[only_slot], &hopeless, &settings, 0.0), Some(0));
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
        slowness_percent: Some(700.0),
        ..busier
    };
    assert_eq!(
        chosen_for(&[with_suspect, slow], &suspect),
        Some(0),
        "being apart makes no request late"
    );
}

mod replay;
