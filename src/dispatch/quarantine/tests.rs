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
        quarantine.record_broken_call(now, at, *call);
    }
    quarantine.record_crash(now, at)
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
    let mut found = false;
    arbtest(|u| {
        found |= violates_rule(settings.clone(), u);
        Ok(())
    });
    assert!(found);
}
