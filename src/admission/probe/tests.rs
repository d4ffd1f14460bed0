use arbtest::arbitrary::{Result, Unstructured};

use super::*;

#[test]
fn target_is_probed_only_without_recent_evidence() {
    let now = Time::from_secs(10);
    let cases = [
        ("never called", Time::ZERO, true),
        ("called long ago", Time::from_secs(7), true),
        ("called just now", Time::from_millis(9_500), false),
    ];
    for (what, evidence, expected) in cases {
        let mut budget = ProbeBudget::new(now, ProbeSettings::default());
        let taken = budget.take(now, &TargetId::from("one"), evidence);
        assert_eq!(taken, expected, "{what}");
        let again = budget.take(now, &TargetId::from("one"), evidence);
        assert!(!again, "{what}: second probe at once");
    }
}

/// Whether random probes exceed the budgets.
fn exceeds_budget(u: &mut Unstructured<'_>, enforce_budget: bool) -> Result<bool> {
    let settings = ProbeSettings {
        enforce_budget,
        ..ProbeSettings::default()
    };
    let mut now = Time::from_secs(1);
    let mut probes = ProbeBudget::new(now, settings);
    let names: Vec<_> = (0..30).map(|n| TargetId::from(format!("{n}"))).collect();
    let mut requests = vec![0.0; names.len()];
    let mut exceeded = false;
    for _ in 0..u.int_in_range(1..=100)? {
        now = now.after(Duration::from_millis(u.int_in_range(0..=200)?));
        let index = u.choose_index(names.len())?;
        if probes.take(now, &names[index], Time::ZERO) {
            requests[index] += f64::from(REQUESTS_PER_PROBE);
        }
        let secs = now.since(Time::from_secs(1)).as_secs_f64();
        let of_target = f64::from(REQUESTS_PER_PROBE) + settings.per_target * secs;
        let of_instance = settings.per_instance * (1.0 + secs);
        exceeded |= requests[index] > of_target + 1e-6;
        exceeded |= requests.iter().sum::<f64>() > of_instance + 1e-6;
    }
    Ok(exceeded)
}

#[test]
fn probes_stay_within_both_budgets() {
    arbtest::arbtest(|u| {
        assert!(!exceeds_budget(u, true)?);
        Ok(())
    });
}

#[test]
fn property_test_detects_missing_budgets() {
    let found = testing::search::finds(|u| exceeds_budget(u, false));
    assert!(
        found,
        "the property test must fail when the budgets are disabled"
    );
}
