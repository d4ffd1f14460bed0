use std::ops::RangeInclusive;

use super::replay::{Ill, Outcome, Replay};
use super::*;
use crate::rollout::evidence::Response;

const SLOW: Ill = Ill {
    response: Response::Slow,
    share: 0.9,
    ..Ill::HALF_FAILS
};

fn few_requests() -> Replay {
    Replay {
        rate: 1.0,
        duration: 60.0,
        routes: 1,
        old_targets: 4,
        new_targets: 4,
        instances: 3,
        ..Replay::default()
    }
}

fn replay_with(new_ill: Ill) -> Replay {
    Replay {
        new_ill: vec![new_ill],
        ..Replay::default()
    }
}

/// Replays with other seeds, and prints how those went that didn't end as expected.
/// Returns their number and all ends in seconds, sorted.
fn replay_all(
    expected: Stage,
    seeds: RangeInclusive<u64>,
    replay: impl Fn(u64) -> Replay,
) -> (usize, Vec<f64>) {
    let (mut failed, mut ends) = (0, Vec::new());
    for seed in seeds {
        let replay = Replay {
            seed,
            ..replay(seed)
        };
        let outcome = replay.run();
        ends.push(outcome.at);
        if outcome.stage != expected {
            failed += 1;
            println!("seed {seed}: {replay:?}\n{:#?}", outcome.log);
        }
    }
    ends.sort_by(f64::total_cmp);
    (failed, ends)
}

fn assert_all_end(expected: Stage, name: &str, replay: &Replay) -> Vec<f64> {
    let (failed, ends) = replay_all(expected, 1..=10, |_| replay.clone());
    assert_eq!(failed, 0, "{name}");
    ends
}

fn pick<T: Copy>(values: &[T], number: u64) -> T {
    values[usize::try_from(number).unwrap() % values.len()]
}

/// A service like those with few and those with many requests, by the seed.
fn some_service(seed: u64) -> Replay {
    Replay {
        rate: pick(&[25.0, 33.0, 100.0, 300.0], seed),
        routes: pick(&[1, 2, 4], seed),
        failing: pick(&[0.0, 0.005, 0.03], seed / 4),
        restarts: 0.5,
        ..Replay::default()
    }
}

#[test]
fn good_versions_are_completed() {
    let (failed, ends) = replay_all(Stage::Completed, 1..=100, some_service);
    println!(
        "{failed} of 100 not completed, the last one at {:.1} s",
        ends[99]
    );
    assert!(failed <= 5);
    assert!(ends[99] <= 14.0);
}

#[test]
fn bad_versions_are_rolled_back() {
    let (failed, ends) = replay_all(Stage::RolledBack, 1..=100, |seed| {
        let ill = match seed / 12 % 5 {
            0 => Ill::HALF_FAILS,
            1 => SLOW,
            2 => Ill {
                from: 4.0,
                ..Ill::HALF_FAILS
            },
            3 => Ill {
                under_load: true,
                ..Ill::HALF_FAILS
            },
            _ => Ill {
                route: Some(1),
                ..Ill::HALF_FAILS
            },
        };
        Replay {
            new_ill: vec![ill],
            ..some_service(seed)
        }
    });
    println!(
        "{failed} of 100 not rolled back; median at {:.1} s",
        ends[50]
    );
    assert!(failed <= 5);
}

#[test]
fn a_bad_version_is_rolled_back_soon() {
    let late = Ill {
        from: 5.0,
        ..Ill::HALF_FAILS
    };
    let route = Ill {
        route: Some(1),
        ..Ill::HALF_FAILS
    };
    let full = Ill {
        from: 9.5,
        ..Ill::HALF_FAILS
    };
    // Median time of the verdict from when the version is bad, and the largest.
    for (name, ill, routes, median, largest) in [
        ("at once", Ill::HALF_FAILS, 2, 1.5, 2.5),
        ("later", late, 2, 1.5, 2.5),
        ("one route of four", route, 4, 3.0, 6.0),
        ("slow", SLOW, 2, 4.0, 5.0),
        ("at all requests", full, 2, 1.0, 1.5),
    ] {
        let replay = Replay {
            routes,
            old_targets: 150,
            new_targets: 150,
            ..replay_with(ill)
        };
        let ends = assert_all_end(Stage::RolledBack, name, &replay);
        let times = [ends[5] - ill.from, ends[9] - ill.from];
        println!("{name}: median and largest {times:.1?} s");
        assert!(
            times[0] <= median && times[1] <= largest,
            "{name}: {times:?}"
        );
    }
}

#[test]
fn what_ails_one_target_or_both_versions_is_not_held_against_the_new_one() {
    let crashed = Ill {
        target: Some(1),
        share: 1.0,
        until: 3.0,
        ..Ill::HALF_FAILS
    };
    let slow_target = Ill {
        target: Some(1),
        until: 4.0,
        ..SLOW
    };
    let burst = |from, until| {
        let burst = vec![Ill {
            from,
            until,
            ..SLOW
        }];
        Replay {
            old_ill: burst.clone(),
            new_ill: burst,
            ..Replay::default()
        }
    };
    let old_is_ill = Replay {
        old_ill: vec![Ill {
            share: 0.3,
            ..Ill::HALF_FAILS
        }],
        ..Replay::default()
    };
    for (name, replay) in [
        ("a target crashed", replay_with(crashed)),
        ("a target is slow", replay_with(slow_target)),
        ("the old version is ill", old_is_ill),
        ("a burst in the sample", burst(3.0, 5.0)),
        ("a burst in the part", burst(7.9, 8.8)),
    ] {
        let replay = Replay {
            old_targets: 100,
            new_targets: 100,
            ..replay
        };
        assert_all_end(Stage::Completed, name, &replay);
    }
}

#[test]
fn without_a_second_target_a_crash_would_be_held_against_the_version() {
    let mut replay = replay_with(Ill {
        target: Some(1),
        share: 1.0,
        ..Ill::HALF_FAILS
    });
    replay.settings.min_targets = 1;
    assert_all_end(Stage::RolledBack, "one target", &replay);
}

#[test]
fn a_service_with_few_requests_gets_a_verdict() {
    assert_all_end(Stage::Completed, "good", &few_requests());
    let bad = Replay {
        new_ill: vec![Ill::HALF_FAILS],
        ..few_requests()
    };
    assert_all_end(Stage::RolledBack, "bad", &bad);
}

#[test]
fn without_targets_slots_or_requests_a_roll_out_is_rolled_back_at_its_end() {
    let base = Replay::default();
    for (name, replay) in [
        (
            "targets",
            Replay {
                new_targets: 0,
                ..base.clone()
            },
        ),
        (
            "slots",
            Replay {
                new_targets: 20,
                ..base.clone()
            },
        ),
        (
            "requests",
            Replay {
                rate: 0.5,
                ..base.clone()
            },
        ),
    ] {
        let ends = assert_all_end(Stage::RolledBack, name, &replay);
        assert!(ends[0] > 9.0, "{name}: {ends:?}");
    }
}

#[test]
fn a_judge_that_takes_over_or_resumes_goes_on() {
    for takeover in [0.5, 4.0, 7.6, 8.0, 8.8, 10.5] {
        let replay = Replay {
            takeovers: vec![takeover],
            ..Replay::default()
        };
        let name = format!("a takeover at {takeover} s");
        assert_all_end(Stage::Completed, &name, &replay);
    }
    for from in [1.0, 6.0, 8.5] {
        let suspended = (from, from + 2.0);
        let replay = Replay {
            suspended,
            ..Replay::default()
        };
        let name = format!("suspended in {suspended:?}");
        let ends = assert_all_end(Stage::Completed, &name, &replay);
        assert!(ends[9] <= 14.0, "{name}: {ends:?}");
    }
    let bad = Replay {
        takeovers: vec![1.0],
        suspended: (2.0, 4.0),
        ..replay_with(Ill::HALF_FAILS)
    };
    assert_all_end(Stage::RolledBack, "a bad version", &bad);
}

#[test]
fn a_roll_out_follows_its_schedule() {
    for (duration, end) in [(5.0, 5.0), (14.0, 12.6), (60.0, 53.0)] {
        let replay = Replay {
            duration,
            spells: 0.0,
            ..Replay::default()
        };
        let outcome = replay.run();
        assert_eq!(outcome.stage, Stage::Completed, "{:#?}", outcome.log);
        assert!(outcome.at <= end, "{:#?}", outcome.log);
    }
}

#[test]
fn a_terminal_stage_stays() {
    let order = RolloutOrder {
        service: "lookup".into(),
        version: "v2".into(),
        duration: Duration::from_secs(14),
    };
    let limits = RolloutLimits {
        share: 0.1,
        slack: 50.0,
        rollback_time: Duration::from_secs(5),
    };
    let mut judge = Judge::new(order, Time::ZERO, limits, JudgeSettings::default());
    for stage in [Stage::Completed, Stage::RolledBack] {
        for second in 0..20 {
            let now = Time::from_secs(second);
            assert_eq!(judge.decide(now, &Facts::default(), stage), None);
        }
    }
}

/// Under takeovers, pauses, lost reports, restarts as frequent as each instance's every
/// few seconds, and three times as many requests from some time on.
#[test]
fn a_sample_keeps_the_limits_and_terminal_stages_stay() {
    arbtest::arbtest(|u| {
        let times = |u: &mut arbtest::arbitrary::Unstructured<'_>| {
            u.int_in_range(0..=130_u32).map(|at| f64::from(at) / 10.0)
        };
        let mut takeovers = vec![times(u)?, times(u)?];
        takeovers.sort_by(f64::total_cmp);
        takeovers.truncate(u.int_in_range(0..=2)?);
        let from = times(u)?;
        let replay = Replay {
            seed: u.arbitrary()?,
            rate: f64::from(u.int_in_range(5..=200_u32)?),
            instances: u.int_in_range(4..=20)?,
            restarts: f64::from(u.int_in_range(0..=10_u32)?) / 10.0,
            lost_reports: f64::from(u.int_in_range(0..=5_u32)?) / 10.0,
            suspended: (from, from + f64::from(u.int_in_range(0..=3_u32)?)),
            takeovers,
            surge: (times(u)?, f64::from(u.int_in_range(1..=3_u32)?)),
            new_ill: vec![Ill {
                from: times(u)?,
                ..Ill::HALF_FAILS
            }],
            ..Replay::default()
        };
        let outcome: Outcome = replay.run();
        assert!(outcome.excess <= 50.0, "{replay:?}: {:#?}", outcome.log);
        assert_eq!(outcome.undone, 0, "{replay:?}: {:#?}", outcome.log);
        Ok(())
    })
    .budget_ms(4_000);
}

/// A case that the property above found when the slack could be used up within a second.
#[test]
fn a_surge_before_a_takeover_stays_within_the_limits() {
    let replay = Replay {
        seed: 2_260_528_101_648_439_994,
        rate: 35.0,
        instances: 6,
        lost_reports: 0.5,
        restarts: 0.5,
        takeovers: vec![6.6, 11.3],
        suspended: (0.6, 2.6),
        surge: (5.7, 3.0),
        ..replay_with(Ill {
            from: 11.7,
            ..Ill::HALF_FAILS
        })
    };
    let outcome = replay.run();
    println!("{:.1} requests beyond the share", outcome.excess);
    assert!(outcome.excess <= 50.0, "{:#?}", outcome.log);
}

/// Under restarts, lost reports, and a takeover by a judge that knows nothing. One that
/// comes later than 2.5 s before the end may complete it late.
#[test]
fn a_good_version_is_completed_in_time() {
    arbtest::arbtest(|u| {
        let takeover = f64::from(u.int_in_range(0..=110_u32)?) / 10.0;
        let replay = Replay {
            seed: u.arbitrary()?,
            rate: f64::from(u.int_in_range(30..=150_u32)?),
            instances: u.int_in_range(4..=20)?,
            restarts: f64::from(u.int_in_range(0..=10_u32)?) / 10.0,
            lost_reports: f64::from(u.int_in_range(0..=3_u32)?) / 10.0,
            failing: 0.0,
            spells: 0.0,
            takeovers: vec![takeover],
            ..Replay::default()
        };
        let outcome = replay.run();
        let completed = outcome.stage == Stage::Completed && outcome.at <= replay.duration;
        assert!(completed, "{replay:?}: {:#?}", outcome.log);
        Ok(())
    })
    .budget_ms(3_000);
}

/// The cost of a second's reports and decisions, printed for comparison.
#[test]
fn cost_at_300_instances() {
    let replay = Replay {
        instances: 300,
        routes: 4,
        old_targets: 190,
        new_targets: 190,
        ..Replay::default()
    };
    let outcome = replay.run();
    println!("receive {:?}, decide {:?}", outcome.receive, outcome.decide);
    assert_eq!(outcome.stage, Stage::Completed);
}
