use super::*;

const SETTINGS: LimitSettings = LimitSettings {
    slots: 6,
    warm_up: Duration::from_secs(6),
    ramp: true,
};

/// An event on a target.
enum Step {
    /// Calls that complete with this latency in microseconds, 100 ms apart.
    Complete(u32, u64),
    Shed(u32),
    Fail(u32),
    Wait(u64),
    Report(Load, u32),
    Health(HealthState, &'static str),
}

fn run(steps: &[Step]) -> Vec<u32> {
    let mut now = Time::from_secs(1);
    let mut limit = TargetLimit::cold(now);
    let mut seen = vec![limit.max_in_flight(now, &SETTINGS)];
    for step in steps {
        match step {
            Step::Complete(count, latency_us) => {
                for _ in 0..*count {
                    now = now.after(Duration::from_millis(100));
                    limit.record_result(now, CallResult::Completed, *latency_us, &SETTINGS);
                }
            }
            Step::Shed(count) => {
                for _ in 0..*count {
                    limit.record_result(now, CallResult::Shed, 100, &SETTINGS);
                }
            }
            Step::Fail(count) => {
                for _ in 0..*count {
                    limit.record_result(now, CallResult::Failed, 100, &SETTINGS);
                }
                if limit.is_outlier(0) {
                    limit.eject(now);
                }
            }
            Step::Wait(millis) => now = now.after(Duration::from_millis(*millis)),
            Step::Report(load, granted) => limit.apply_load(now, *load, *granted, &SETTINGS),
            Step::Health(state, start) => limit.apply_health(
                now,
                &Health {
                    state: *state,
                    start: StartId::from(*start),
                },
            ),
        }
        seen.push(limit.max_in_flight(now, &SETTINGS));
    }
    seen
}

fn load(in_flight: u32, slots: u32) -> Load {
    Load { in_flight, slots }
}

#[test]
fn limit_follows_calls_and_reports() {
    use Step::*;
    let warm = Complete(60, 1_000);
    let cases: Vec<(&str, Vec<Step>, Vec<u32>)> = vec![
        (
            "time without calls does not raise the ramp",
            vec![Wait(60_000)],
            vec![1, 1],
        ),
        (
            "completed calls over time raise the ramp",
            vec![Complete(12, 1_000), Complete(48, 1_000)],
            vec![1, 2, 6],
        ),
        (
            "a short burst does not raise the ramp",
            vec![Complete(5, 1_000)],
            vec![1, 1],
        ),
        (
            "consecutive sheds restart the ramp",
            vec![warm, Shed(1), Shed(2), Complete(1, 1_000)],
            vec![1, 6, 4, 1, 1],
        ),
        (
            "a sudden rise in latency restarts the ramp",
            vec![Complete(60, 1_000), Complete(12, 50_000)],
            vec![1, 6, 1],
        ),
        (
            "some long calls among short ones don't",
            vec![
                Complete(60, 1_000),
                Complete(5, 90_000),
                Complete(1, 1_000),
                Complete(5, 90_000),
            ],
            vec![1, 6, 6, 6, 6],
        ),
        (
            "a slower target gets a lower limit",
            vec![Complete(60, 1_000), Complete(12, 3_500)],
            vec![1, 6, 4],
        ),
        (
            "a new process restarts the ramp",
            vec![
                Health(HealthState::Ready, "one"),
                Complete(60, 1_000),
                Health(HealthState::Ready, "one"),
                Health(HealthState::Ready, "two"),
            ],
            vec![1, 1, 6, 6, 1],
        ),
        (
            "a health report of cold restarts the ramp",
            vec![Complete(60, 1_000), Health(HealthState::Cold, "one")],
            vec![1, 6, 1],
        ),
        (
            "a draining target gets no calls for a while",
            vec![Health(HealthState::Draining, "one"), Wait(11_000)],
            vec![1, 0, 1],
        ),
        (
            "a load report lowers the limit for a while",
            vec![Complete(60, 1_000), Report(load(0, 2), 0), Wait(2_000)],
            vec![1, 6, 2, 6],
        ),
        (
            "foreign load lowers the limit",
            vec![Complete(60, 1_000), Report(load(5, 6), 1)],
            vec![1, 6, 2],
        ),
        (
            "a load report never raises the limit",
            vec![
                Report(load(0, 900), 0),
                Complete(60, 1_000),
                Report(load(0, 900), 0),
            ],
            vec![1, 1, 6, 6],
        ),
        (
            "consecutive failures eject, then the ramp restarts",
            vec![
                Complete(60, 1_000),
                Fail(5),
                Wait(1_100),
                Fail(1),
                Wait(1_100),
                Wait(1_000),
            ],
            vec![1, 6, 0, 1, 0, 0, 1],
        ),
    ];
    for (what, steps, expected) in cases {
        assert_eq!(run(&steps), expected, "{what}");
    }
}

/// Runs random events. Returns whether the limit ever exceeded the declared
/// slots, or one more than the calls completed since the target last turned
/// cold.
fn exceeds_ramp(
    u: &mut arbtest::arbitrary::Unstructured<'_>,
    ramp: bool,
) -> arbtest::arbitrary::Result<bool> {
    let settings = LimitSettings { ramp, ..SETTINGS };
    let mut now = Time::ZERO;
    let mut limit = TargetLimit::cold(now);
    let mut completed = 0;
    let mut exceeded = false;
    for _ in 0..u.int_in_range(1..=80)? {
        now = now.after(Duration::from_millis(u.int_in_range(0..=2_000)?));
        match u.int_in_range(0..=9)? {
            0 => {
                limit.apply_health(
                    now,
                    &Health {
                        state: HealthState::Cold,
                        start: StartId::from("x"),
                    },
                );
                completed = 0;
            }
            1 => limit.apply_load(now, load(0, u.int_in_range(0..=50)?), 0, &settings),
            2 => {
                limit.record_result(now, CallResult::Failed, 10, &settings);
            }
            3 => limit.eject(now),
            4 => {
                limit.record_result(now, CallResult::Unsent, 0, &settings);
            }
            _ => {
                completed += 1;
                limit.record_result(now, CallResult::Completed, 1_000, &settings);
            }
        }
        let max_in_flight = limit.max_in_flight(now, &settings);
        exceeded |= max_in_flight > settings.slots || max_in_flight > completed + 1;
    }
    Ok(exceeded)
}

#[test]
fn cold_target_never_exceeds_its_ramp() {
    arbtest::arbtest(|u| {
        assert!(!exceeds_ramp(u, true)?);
        Ok(())
    });
}

#[test]
fn property_test_detects_a_missing_ramp() {
    let found = testing::search::finds(|u| exceeds_ramp(u, false));
    assert!(
        found,
        "the property test must fail when the ramp is disabled"
    );
}
