use super::*;

#[test]
fn a_seed_draws_the_same_steps_each_time_and_another_seed_others() {
    let steps = |seed| draw(seed, Duration::from_secs(30), 4, 5);
    assert_eq!(steps(1), steps(1));
    assert_ne!(steps(1), steps(2));
}

#[test]
fn faults_overlap_and_end_within_the_run() {
    let length = Duration::from_secs(60);
    let steps = draw(7, length, 4, 5);
    assert!(steps.iter().all(|step| step.at + step.lasts <= length));
    let overlapping = steps
        .windows(2)
        .filter(|pair| pair[0].at + pair[0].lasts > pair[1].at);
    assert!(overlapping.count() > steps.len() / 2);
}

#[test]
fn every_kind_of_fault_is_drawn() {
    let kinds: std::collections::HashSet<_> = (0..20)
        .flat_map(|seed| draw(seed, Duration::from_secs(60), 4, 5))
        .map(|step| std::mem::discriminant(&step.fault))
        .collect();
    assert_eq!(kinds.len(), 10);
}
