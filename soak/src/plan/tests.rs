use super::*;

#[test]
fn a_seed_draws_the_same_schedule_each_time_and_another_seed_a_different_one() {
    let schedule = |seed| draw(seed, Duration::from_secs(30), 4, 5);
    assert_eq!(schedule(1), schedule(1));
    assert_ne!(schedule(1), schedule(2));
}

#[test]
fn faults_overlap_and_end_within_the_run() {
    let length = Duration::from_secs(60);
    let schedule = draw(7, length, 4, 5);
    assert!(
        schedule
            .iter()
            .all(|scheduled| scheduled.start + scheduled.duration <= length)
    );
    let overlapping = schedule
        .windows(2)
        .filter(|pair| pair[0].start + pair[0].duration > pair[1].start);
    assert!(overlapping.count() > schedule.len() / 2);
}

/// A link that two faults impair stays impaired when the first of them ends.
#[test]
fn the_end_of_a_fault_leaves_a_later_one_in_force() {
    let early = Fault::StoreLink(1, LinkState::Reset);
    let late = Fault::StoreLink(1, LinkState::Silent);
    let elsewhere = Fault::StoreLink(2, LinkState::OneWay);
    assert_eq!(remaining_fault(early, &[late, elsewhere]), Some(late));
    assert_eq!(remaining_fault(late, &[early, elsewhere]), Some(early));
    assert_eq!(remaining_fault(early, &[elsewhere]), None);
    assert_eq!(remaining_fault(Fault::Kill(1), &[Fault::Kill(1)]), None);
}

#[test]
fn every_kind_of_fault_is_drawn() {
    let kinds: std::collections::HashSet<_> = (0..20)
        .flat_map(|seed| draw(seed, Duration::from_secs(60), 4, 5))
        .map(|scheduled| std::mem::discriminant(&scheduled.fault))
        .collect();
    assert_eq!(kinds.len(), 10);
}
