use arbtest::arbitrary::Unstructured;
use arbtest::arbtest;

use super::*;

const CRASHER: Fingerprint = Fingerprint(0);
const SECOND: Duration = Duration::from_secs(1);

fn target(number: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 1 + number))
}

fn crash(
    quarantine: &mut Quarantine,
    now: Time,
    at: SocketAddr,
    calls: &[Fingerprint],
) -> Vec<Case> {
    for call in calls {
        quarantine.record_broken_call(now, at, [*call]);
    }
    quarantine.record_crash(now, at, None)
}

#[test]
fn a_request_is_blocked_after_two_crashes_and_again_after_one_more() {
    let mut quarantine = Quarantine::default();
    let now = Time::ZERO;
    assert_eq!(quarantine.status(now, CRASHER), QuarantineStatus::Clear);
    crash(&mut quarantine, now, target(1), &[CRASHER]);
    assert_eq!(quarantine.status(now, CRASHER), QuarantineStatus::Suspect);
    let cases = crash(&mut quarantine, now, target(2), &[CRASHER]);
    assert_eq!(quarantine.status(now, CRASHER), QuarantineStatus::Blocked);
    assert_eq!((cases[0].deaths, cases[0].held_ms), (2, 600_000));
    let later = now.after(601 * SECOND);
    assert_eq!(
        quarantine.status(later, CRASHER),
        QuarantineStatus::Suspect,
        "the block has expired"
    );
    crash(&mut quarantine, later, target(3), &[CRASHER]);
    assert_eq!(quarantine.status(later, CRASHER), QuarantineStatus::Blocked);
}

#[test]
fn a_crash_with_one_suspect_is_attributed_to_it_alone() {
    let mut quarantine = Quarantine::default();
    let bystander = Fingerprint(1);
    crash(&mut quarantine, Time::ZERO, target(1), &[CRASHER]);
    crash(
        &mut quarantine,
        Time::ZERO,
        target(2),
        &[CRASHER, bystander],
    );
    assert_eq!(
        quarantine.status(Time::ZERO, CRASHER),
        QuarantineStatus::Blocked
    );
    assert_eq!(
        quarantine.status(Time::ZERO, bystander),
        QuarantineStatus::Clear
    );
}

#[test]
fn a_response_clears_a_suspect_but_not_a_blocked_request() {
    let mut quarantine = Quarantine::default();
    let bystander = Fingerprint(1);
    crash(
        &mut quarantine,
        Time::ZERO,
        target(1),
        &[CRASHER, bystander],
    );
    quarantine.record_response(Time::ZERO, bystander);
    assert_eq!(
        quarantine.status(Time::ZERO, bystander),
        QuarantineStatus::Clear
    );
    crash(&mut quarantine, Time::ZERO, target(2), &[CRASHER]);
    quarantine.record_response(Time::ZERO, CRASHER);
    assert_eq!(
        quarantine.status(Time::ZERO, CRASHER),
        QuarantineStatus::Blocked
    );
}

#[test]
fn one_target_runs_one_suspect_at_a_time() {
    let mut quarantine = Quarantine::default();
    assert!(quarantine.try_start_suspect(target(1), CRASHER));
    assert!(!quarantine.try_start_suspect(target(1), Fingerprint(1)));
    assert!(quarantine.try_start_suspect(target(2), Fingerprint(1)));
    quarantine.finish_suspect(target(1));
    assert!(quarantine.try_start_suspect(target(1), Fingerprint(2)));
}

#[test]
fn a_request_blocked_by_a_peer_is_blocked_here() {
    let mut quarantine = Quarantine::default();
    let case = Case {
        fingerprint: CRASHER,
        deaths: 2,
        held_ms: 5_000,
    };
    quarantine.merge(Time::ZERO, &case);
    assert_eq!(
        quarantine.status(Time::ZERO, CRASHER),
        QuarantineStatus::Blocked
    );
    assert_eq!(
        quarantine.status(Time::from_secs(6), CRASHER),
        QuarantineStatus::Suspect
    );
}

#[test]
fn a_changed_start_id_is_a_restart_only_if_the_previous_one_is_known() {
    let mut quarantine = Quarantine::default();
    assert!(!quarantine.detect_restart(target(1), "a"));
    assert!(!quarantine.detect_restart(target(1), "a"));
    assert!(quarantine.detect_restart(target(1), "b"));
}

#[test]
fn number_of_records_is_bounded() {
    let mut quarantine = Quarantine::default();
    for number in 0..5_000 {
        crash(
            &mut quarantine,
            Time::ZERO,
            target(1),
            &[Fingerprint(number)],
        );
    }
    assert_eq!(quarantine.cases(Time::ZERO).count(), 1024);
    quarantine.remove_expired(Time::from_secs(100_000));
    assert!(quarantine.is_empty());
}

/// Each crash of a target adds records of the requests that ran beside the one that caused it.
#[test]
fn a_blocked_request_stays_blocked_however_many_others_are_suspected_later() {
    let mut quarantine = Quarantine::new(three_crashes());
    for run in 1..=3 {
        crash_of_run(&mut quarantine, run, CRASHER);
    }
    for number in 1..5_000 {
        crash(
            &mut quarantine,
            Time::ZERO,
            target(1),
            &[Fingerprint(number)],
        );
    }
    assert_eq!(
        quarantine.status(Time::ZERO, CRASHER),
        QuarantineStatus::Blocked
    );
    assert_eq!(quarantine.size().records, 1024);
}

#[test]
fn a_request_suspected_of_two_crashes_is_kept_before_those_suspected_of_one() {
    let mut quarantine = Quarantine::new(three_crashes());
    for run in 1..=2 {
        crash_of_run(&mut quarantine, run, CRASHER);
    }
    for number in 1..5_000 {
        crash(
            &mut quarantine,
            Time::ZERO,
            target(1),
            &[Fingerprint(number)],
        );
    }
    crash_of_run(&mut quarantine, 3, CRASHER);
    assert_eq!(
        quarantine.status(Time::ZERO, CRASHER),
        QuarantineStatus::Blocked
    );
}

/// Sends one crashing request repeatedly beside others; returns whether it crashed
/// more than two targets or another request was blocked.
fn violates_rule(settings: QuarantineSettings, u: &mut Unstructured<'_>) -> bool {
    let mut quarantine = Quarantine::new(settings);
    let mut crashes = 0;
    let mut now = Time::ZERO;
    for round in 0..12 {
        now = now.after(5 * SECOND);
        let at = target(round % 3);
        let mut present = Vec::new();
        for _ in 0..u.int_in_range(0..=4).unwrap_or(0) {
            let call = Fingerprint(u.int_in_range(0..=5).unwrap_or(0));
            match quarantine.status(now, call) {
                QuarantineStatus::Blocked => continue,
                QuarantineStatus::Suspect if !quarantine.try_start_suspect(at, call) => continue,
                QuarantineStatus::Suspect | QuarantineStatus::Clear => {}
            }
            present.push(call);
        }
        quarantine.finish_suspect(at);
        if present.contains(&CRASHER) {
            crashes += 1;
            crash(&mut quarantine, now, at, &present);
        } else {
            for call in present {
                quarantine.record_response(now, call);
            }
        }
    }
    let other_blocked = quarantine
        .cases(now)
        .any(|case| case.fingerprint != CRASHER && case.held_ms > 0);
    crashes > 2 || other_blocked
}

#[test]
fn a_crashing_request_crashes_at_most_two_targets_and_blocks_no_other() {
    arbtest(|u| {
        assert!(!violates_rule(QuarantineSettings::default(), u));
        Ok(())
    });
}

#[test]
fn check_detects_crashes_attributed_to_bystanders() {
    let settings = QuarantineSettings {
        isolate_suspects: false,
        ..QuarantineSettings::default()
    };
    let found = testing::search::finds(|u| Ok(violates_rule(settings.clone(), u)));
    assert!(found);
}

fn crash_of_run(quarantine: &mut Quarantine, run: u64, call: Fingerprint) {
    let at = target(u16::try_from(run).unwrap());
    quarantine.record_broken_call(Time::ZERO, at, [call]);
    quarantine.record_crash(Time::ZERO, at, Some(CrashId::of_run(run)));
}

fn report(from: &mut Quarantine, to: &mut Quarantine) {
    let (cases, mut evidence) = from.next_report(Time::ZERO, 4, true);
    evidence.extend(from.next_news(Audience::OwnZone, 4));
    for evidence in &evidence {
        to.merge_evidence(Time::ZERO, evidence, PassOn::OwnZone);
    }
    for case in &cases {
        to.merge(Time::ZERO, case);
    }
}

fn three_crashes() -> QuarantineSettings {
    QuarantineSettings {
        crashes_to_block: 3,
        isolate_suspects: false,
        ..QuarantineSettings::default()
    }
}

#[test]
fn crashes_seen_by_several_instances_add_up_and_none_counts_twice() {
    let mut instances = [(); 3].map(|()| Quarantine::new(three_crashes()));
    for (run, instance) in (1..).zip(&mut instances) {
        crash_of_run(instance, run.min(2), CRASHER);
    }
    let [first, second, third] = &mut instances;
    for _ in 0..2 {
        report(first, second);
        report(second, third);
        report(third, first);
    }
    assert_eq!(
        first.status(Time::ZERO, CRASHER),
        QuarantineStatus::Suspect,
        "two targets crashed, one of them seen by two instances"
    );
    crash_of_run(third, 3, CRASHER);
    report(third, first);
    report(first, second);
    for instance in &instances {
        assert_eq!(
            instance.status(Time::ZERO, CRASHER),
            QuarantineStatus::Blocked
        );
    }
}

#[test]
fn a_request_is_blocked_though_others_broke_off_beside_it_each_time() {
    let mut quarantine = Quarantine::new(three_crashes());
    let bystander = Fingerprint(1);
    for run in 1..=3 {
        let at = target(u16::try_from(run).unwrap());
        quarantine.record_broken_call(Time::ZERO, at, [bystander]);
        crash_of_run(&mut quarantine, run, CRASHER);
        if run == 2 {
            quarantine.record_response(Time::ZERO, bystander);
        }
    }
    assert_eq!(
        quarantine.status(Time::ZERO, CRASHER),
        QuarantineStatus::Blocked
    );
    assert_eq!(
        quarantine.status(Time::ZERO, bystander),
        QuarantineStatus::Suspect
    );
}

#[test]
fn a_request_that_was_responded_to_is_not_suspected_again_by_an_older_report() {
    let (mut one, mut other) = (Quarantine::default(), Quarantine::default());
    crash_of_run(&mut one, 1, CRASHER);
    report(&mut one, &mut other);
    one.record_response(Time::ZERO, CRASHER);
    report(&mut other, &mut one);
    assert_eq!(one.status(Time::ZERO, CRASHER), QuarantineStatus::Clear);
    report(&mut one, &mut other);
    assert_eq!(other.status(Time::ZERO, CRASHER), QuarantineStatus::Clear);
    let later = Time::ZERO.after(2 * CLEARED_RETENTION);
    other.remove_expired(later);
    assert!(other.is_empty());
}

#[test]
fn every_suspect_is_reported_in_turn_and_news_come_first() {
    let (mut one, mut other) = (Quarantine::default(), Quarantine::default());
    for run in 1..=20 {
        crash_of_run(&mut one, run, Fingerprint(run));
    }
    for _ in 0..5 {
        report(&mut one, &mut other);
    }
    assert_eq!(other.cases(Time::ZERO).count(), 20);
    crash_of_run(&mut one, 21, CRASHER);
    report(&mut one, &mut other);
    assert_eq!(other.crashes(CRASHER), 1);
}

#[test]
fn a_count_reported_without_crashes_is_merged_once() {
    let mut quarantine = Quarantine::new(three_crashes());
    let case = Case {
        fingerprint: CRASHER,
        deaths: 2,
        held_ms: 0,
    };
    quarantine.merge(Time::ZERO, &case);
    quarantine.merge(Time::ZERO, &case);
    assert_eq!(quarantine.crashes(CRASHER), 2);
    assert_eq!(
        quarantine.status(Time::ZERO, CRASHER),
        QuarantineStatus::Suspect
    );
}

#[test]
fn a_call_that_broke_off_long_before_a_crash_is_not_suspected() {
    let mut quarantine = Quarantine::default();
    quarantine.record_broken_call(Time::ZERO, target(1), [CRASHER]);
    let later = Time::ZERO.after(2 * SECOND);
    assert!(quarantine.record_crash(later, target(1), None).is_empty());
}

#[test]
fn instances_that_know_different_crashes_of_a_blocked_request_have_no_news() {
    let mut instances = [(); 2].map(|()| Quarantine::new(three_crashes()));
    for (instance, first) in instances.iter_mut().zip([1, 4]) {
        for run in first..first + 3 {
            crash_of_run(instance, run, CRASHER);
        }
    }
    let [one, other] = &mut instances;
    let told = one.evidence(CRASHER).unwrap();
    assert!(!other.merge_evidence(Time::ZERO, &told, PassOn::OwnZone));
    assert_eq!(other.crashes(CRASHER), 3);
}
