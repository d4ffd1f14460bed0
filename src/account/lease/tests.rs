use super::*;

const NOW: Time = Time::from_secs(100);
const ACCOUNT: u64 = 7;

fn after_ms(ms: u64) -> Time {
    NOW.after(Duration::from_millis(ms))
}

fn granted(tokens: u16) -> Grant {
    Grant {
        tokens,
        retry_after: Duration::ZERO,
    }
}

fn none_for_ms(ms: u64) -> Grant {
    Grant {
        tokens: 0,
        retry_after: Duration::from_millis(ms),
    }
}

/// A request at [`NOW`] and the number of its first question.
fn ask() -> (Leases, u32) {
    let mut leases = Leases::new(40);
    leases.begin_wait(NOW, ACCOUNT);
    let asked = leases.next(NOW, ACCOUNT, NOW, 3);
    let expected = Decision::Ask {
        home: 0,
        number: 41,
        want: 1,
        until: after_ms(25),
    };
    assert_eq!(asked, expected);
    (leases, 41)
}

#[test]
fn tokens_expire_by_the_time_of_the_question_and_count_once() {
    let (mut leases, number) = ask();
    assert!(leases.receive(after_ms(20), number, granted(1)));
    assert!(!leases.receive(after_ms(21), number, granted(1)));
    let Decision::Taken(token) = leases.next(after_ms(22), ACCOUNT, NOW, 3) else {
        panic!("no token");
    };
    leases.give_back(after_ms(100), ACCOUNT, token);
    assert_eq!(
        leases.next(after_ms(249), ACCOUNT, after_ms(249), 3),
        Decision::Taken(token)
    );
    leases.give_back(after_ms(250), ACCOUNT, token);
    assert_eq!(leases.usage(after_ms(250), ACCOUNT).unwrap().0, 0);
    let (mut leases, number) = ask();
    leases.receive(after_ms(251), number, granted(1));
    assert_eq!(leases.usage(after_ms(251), ACCOUNT).unwrap().0, 0);
}

#[test]
fn the_next_home_is_asked_after_a_refusal_or_silence() {
    let (mut leases, number) = ask();
    let step = |leases: &mut Leases, ms| leases.next(after_ms(ms), ACCOUNT, NOW, 3);
    assert_eq!(step(&mut leases, 10), Decision::Wait(after_ms(25)));
    assert!(matches!(
        step(&mut leases, 25),
        Decision::Ask { home: 1, .. }
    ));
    leases.receive(after_ms(30), number + 1, none_for_ms(300));
    assert!(matches!(
        step(&mut leases, 30),
        Decision::Ask { home: 2, .. }
    ));
    assert_eq!(step(&mut leases, 55), Decision::Wait(after_ms(80)));
    // A late answer counts.
    leases.receive(after_ms(60), number, granted(1));
    assert!(matches!(step(&mut leases, 60), Decision::Taken(_)));
    // The silent homes come last, the one without a token not at all.
    leases.receive(after_ms(61), number + 2, none_for_ms(300));
    assert!(matches!(
        step(&mut leases, 62),
        Decision::Ask { home: 0, .. }
    ));
}

#[test]
fn refusals_are_remembered_and_say_when_a_token_is_expected() {
    let (mut leases, number) = ask();
    for home in 0..3 {
        leases.receive(NOW, number + home, none_for_ms(400 - 100 * u64::from(home)));
        leases.next(NOW, ACCOUNT, NOW, 3);
    }
    let refused = |retry_ms, because| Decision::Refused {
        retry_after: Duration::from_millis(retry_ms),
        because,
    };
    let early = leases.next(after_ms(50), ACCOUNT, after_ms(50), 3);
    assert_eq!(early, refused(150, Because::OverLimit));
    // A token that is expected soon is waited for.
    let later = leases.next(after_ms(150), ACCOUNT, after_ms(150), 3);
    assert_eq!(later, Decision::Wait(after_ms(200)));
    let last = leases.next(after_ms(200), ACCOUNT, after_ms(150), 3);
    assert!(matches!(last, Decision::Ask { home: 2, .. }));
}

#[test]
fn a_request_whose_homes_are_silent_may_go_to_another_instance_soon() {
    let (mut leases, _) = ask();
    for ms in [25, 50, 79] {
        let step = leases.next(after_ms(ms), ACCOUNT, NOW, 3);
        assert!(!matches!(step, Decision::Refused { .. }), "{ms}: {step:?}");
    }
    let refused = Decision::Refused {
        retry_after: RETRY_AFTER_SILENCE,
        because: Because::NoAnswer,
    };
    assert_eq!(leases.next(after_ms(80), ACCOUNT, NOW, 3), refused);
    assert_eq!(leases.next(NOW, ACCOUNT, NOW, 0), refused);
}

#[test]
fn as_many_tokens_are_asked_for_as_are_needed_soon() {
    let mut leases = Leases::default();
    for ms in 0..3000 {
        leases.begin_wait(after_ms(10 * ms), ACCOUNT);
        leases.end_wait(ACCOUNT);
    }
    let step = leases.next(after_ms(30_000), ACCOUNT, after_ms(30_000), 3);
    let Decision::Ask { want, .. } = step else {
        panic!("{step:?}");
    };
    assert!(
        (19..=20).contains(&want),
        "{want} for 200 ms of 100 a second"
    );
    leases.remove_expired(after_ms(60_000));
    assert!(leases.by_account.is_empty() && leases.open.is_empty());
}

/// Otherwise an instance that is the only home would ask itself without end.
#[test]
fn a_home_that_has_no_token_is_not_asked_again_at_once() {
    let mut leases = Leases::new(0);
    leases.begin_wait(NOW, ACCOUNT);
    let Decision::Ask { number, .. } = leases.next(NOW, ACCOUNT, NOW, 1) else {
        panic!("not asked");
    };
    assert!(leases.receive(NOW, number, none_for_ms(0)));
    let next = leases.next(NOW, ACCOUNT, NOW, 1);
    assert_eq!(next, Decision::Wait(after_ms(1)));
}
