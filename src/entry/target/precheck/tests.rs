use super::*;

fn candidate(slowness_percent: f64, occupied: f64) -> Candidate {
    Candidate {
        slowness_percent: Some(slowness_percent),
        occupied,
        slots: 6.0,
        load_factor: 1.0,
        round_trip: Duration::ZERO,
        same_zone: true,
        connected: true,
        healthy: true,
        cold: false,
        failure_rate: 0.0,
        suspicion: 0,
    }
}

fn confirms(checked: Candidate, others: &[Candidate]) -> bool {
    let requirements = Requirements {
        service_time: Duration::from_millis(90),
        deadline_left: Duration::from_secs(2),
        slot_share: 1.0,
        suspicion: 0,
    };
    let placement = PlacementSettings::default();
    let settings = PrecheckSettings::default();
    super::confirms(&checked, others, &requirements, &placement, &settings)
}

fn is_worthwhile(age_ms: Option<u64>, service_ms: impl Into<Option<u64>>, checks: u32) -> bool {
    super::is_worthwhile(
        age_ms.map(Duration::from_millis),
        service_ms.into().map(Duration::from_millis),
        checks,
        &PrecheckSettings::default(),
    )
}

#[test]
fn a_target_is_checked_unless_its_report_is_recent_or_the_work_is_short() {
    assert!(is_worthwhile(Some(100), 90, 0));
    assert!(is_worthwhile(None, 90, 0));
    assert!(!is_worthwhile(Some(5), 90, 0));
    assert!(!is_worthwhile(Some(100), 2, 0));
    assert!(is_worthwhile(Some(100), None, 0));
    assert!(!is_worthwhile(Some(100), 90, 3), "checked often enough");
}

#[test]
fn a_target_that_became_slow_is_left_for_a_faster_one() {
    let usual = candidate(100.0, 1.0);
    assert!(confirms(usual, &[usual, candidate(700.0, 0.0)]));
    assert!(!confirms(candidate(700.0, 0.0), &[usual]));
    assert!(confirms(candidate(700.0, 0.0), &[candidate(680.0, 0.0)]));
    let full = candidate(100.0, 12.0);
    assert!(
        !confirms(candidate(700.0, 0.0), &[full]),
        "the other finishes it in time once it has a free slot"
    );
    let full_and_slow = candidate(700.0, 12.0);
    assert!(
        confirms(candidate(700.0, 0.0), &[full_and_slow]),
        "the other has no capacity"
    );
}

#[test]
fn the_checks_of_all_instances_stay_within_the_rate() {
    let settings = PrecheckSettings::default();
    for instances in [1.0, 14.0, 131.0, 300.0] {
        let checks = allowance(60.0, instances, &settings);
        #[expect(clippy::cast_precision_loss, reason = "a few dozen checks")]
        let rate = checks as f64 * instances / settings.window.as_secs_f64();
        assert!(rate <= 30.0, "{instances} instances: {rate} a second");
    }
    assert_eq!(allowance(60.0, 3_000.0, &settings), 1);
}

/// Load pattern: targets alternate between usual speed and seven times slower in spells
/// of half a second, a quarter of the time slow. Reports are 0 to 150 ms old, and a
/// request keeps the speed at which it starts. Without the checks about one in fourteen
/// requests starts in a slow spell.
#[test]
fn fewer_requests_start_in_a_slow_spell() {
    const TARGETS: usize = 8;
    const SPELL_MS: u64 = 500;
    let settings = PrecheckSettings::default();
    let placement = PlacementSettings::default();
    let slowness = |target: usize, at_ms: u64| {
        let spell = at_ms / SPELL_MS;
        let mut hash = (spell + 1).wrapping_mul(0x9e37_79b9_7f4a_7c15)
            ^ (target as u64 + 1).wrapping_mul(0xd6e8_feb8_6659_fd93);
        hash ^= hash >> 32;
        hash = hash.wrapping_mul(0xd6e8_feb8_6659_fd93);
        hash ^= hash >> 32;
        if hash.is_multiple_of(4) { 700.0 } else { 100.0 }
    };
    let late_starts = |checked: bool| {
        let mut late = 0;
        for number in 0_u64..4_000 {
            let now_ms = 1_000 + number * 37;
            let report_at = now_ms - (number * 13) % 150;
            let mut view: Vec<Candidate> = (0..TARGETS)
                .map(|target| candidate(slowness(target, report_at), 1.0))
                .collect();
            let requirements = Requirements {
                service_time: Duration::from_millis(900),
                deadline_left: Duration::from_secs(10),
                slot_share: 1.0,
                suspicion: 0,
            };
            #[expect(clippy::cast_precision_loss, reason = "a draw below 1")]
            let draw = (number % 97) as f64 / 97.0;
            let mut checks = 0;
            let chosen = loop {
                let Some(chosen) = placement::choose(&view, &requirements, &placement, draw) else {
                    break 0;
                };
                if !checked || checks == settings.max_checks {
                    break chosen;
                }
                checks += 1;
                view[chosen].slowness_percent = Some(slowness(chosen, now_ms));
                if super::confirms(&view[chosen], &view, &requirements, &placement, &settings) {
                    break chosen;
                }
            };
            late += u32::from(slowness(chosen, now_ms) > 100.0);
        }
        late
    };
    let (without, with) = (late_starts(false), late_starts(true));
    assert!(without > 100, "the load has no slow spells: {without}");
    assert!(
        with * 20 < without,
        "{with} late starts with checks, {without} without"
    );
}
