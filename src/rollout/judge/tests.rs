use std::time::Duration;

use super::*;

#[test]
fn a_roll_out_starts_with_a_sample() {
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
    let decided = judge.decide(Time::ZERO, &Facts::default(), Stage::Running(0));
    assert_eq!(decided.unwrap().stage, Stage::Running(6));
    assert!(
        judge
            .decide(Time::ZERO, &Facts::default(), Stage::RolledBack)
            .is_none()
    );
}
