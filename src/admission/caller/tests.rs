use super::*;

fn limits() -> CallerLimits {
    CallerLimits {
        calls_per_second: Some(40.0),
        in_flight: Some(8),
        bytes_per_second: Some(1_000.0),
    }
}

/// Number of calls that are admitted when one arrives every millisecond and
/// ends at once.
fn count_admitted(limiter: &mut CallerLimiter, from: Time, millis: u64, members: usize) -> u32 {
    let mut count = 0;
    for elapsed in 0..millis {
        let now = from.after(Duration::from_millis(elapsed));
        if limiter.admit(now, &limits(), members).is_ok() {
            limiter.finish_call();
            count += 1;
        }
    }
    count
}

#[test]
fn calls_are_admitted_within_the_share() {
    let now = Time::from_secs(1);
    let share = Share {
        number: 1,
        calls_per_second: 20.0,
        in_flight: 2,
        bytes_per_second: 500.0,
    };
    let shared = |until| {
        let mut limiter = CallerLimiter::new(now);
        limiter.set_share(&StartId::from("coordinator"), share, until);
        limiter
    };
    let later = Time::from_secs(60);
    let cases = [
        // One second at 20 calls per second, and a burst of 250 ms.
        ("within its share", shared(later), 1, 25),
        (
            "an even split without a share",
            CallerLimiter::new(now),
            4,
            12,
        ),
        (
            "an even split after the share has expired",
            shared(now),
            4,
            12,
        ),
    ];
    for (what, mut limiter, members, expected) in cases {
        let count = count_admitted(&mut limiter, now, 1_000, members);
        assert!(
            count.abs_diff(expected) <= 1,
            "{what}: {count} of {expected}"
        );
    }
}

#[test]
fn concurrent_calls_are_limited() {
    let now = Time::from_secs(1);
    let limits = CallerLimits {
        in_flight: Some(8),
        ..CallerLimits::default()
    };
    let mut limiter = CallerLimiter::new(now);
    assert!(limiter.admit(now, &limits, 4).is_ok());
    assert!(limiter.admit(now, &limits, 4).is_ok());
    assert!(limiter.admit(now, &limits, 4).is_err());
    let demand = limiter
        .demand(now, &StartId::from("coordinator"))
        .expect("a report");
    assert_eq!(demand.wanted_in_flight, 3);
    assert_eq!(
        limiter.demand(now, &StartId::from("coordinator")),
        None,
        "too soon after a report"
    );
    limiter.finish_call();
    assert!(limiter.admit(now, &limits, 4).is_ok());
}

#[test]
fn large_response_delays_the_next_call() {
    let now = Time::from_secs(1);
    let mut limiter = CallerLimiter::new(now);
    assert!(limiter.admit(now, &limits(), 1).is_ok());
    limiter.finish_call();
    limiter.charge(6_000);
    let wait = limiter.admit(now, &limits(), 1).expect_err("refused");
    assert_eq!(wait, Duration::from_secs(5));
    assert!(limiter.admit(now.after(wait), &limits(), 1).is_err());
    let paid = now.after(wait + Duration::from_millis(1));
    assert!(limiter.admit(paid, &limits(), 1).is_ok());
}

#[test]
fn retry_delay_grows_for_a_caller_that_does_not_wait() {
    let no_calls = CallerLimits {
        in_flight: Some(0),
        ..CallerLimits::default()
    };
    let mut limiter = CallerLimiter::new(Time::ZERO);
    limiter.set_share(&StartId::from("coordinator"), Share::default(), Time::MAX);
    let mut delays = Vec::new();
    for millis in (0..8_000).step_by(10) {
        let wait = limiter.admit(Time::from_millis(millis), &no_calls, 1);
        delays.push(wait.expect_err("refused").as_secs());
    }
    delays.dedup();
    assert_eq!(delays, [1, 2, 4, 8, 16, 32]);
    // The delay starts at the minimum again for a caller that has waited.
    let patient = limiter.admit(Time::from_secs(60), &no_calls, 1);
    assert_eq!(patient.expect_err("refused").as_secs(), 1);
}

#[test]
fn outdated_share_is_ignored() {
    let mut now = Time::from_secs(1);
    let until = Time::from_secs(60);
    let (coordinator, other) = (StartId::from("coordinator"), StartId::from("other"));
    let share = |number, in_flight| Share {
        number,
        in_flight,
        ..Share::default()
    };
    let mut limiter = CallerLimiter::new(now);
    let mut have = Vec::new();
    let steps = [
        (&coordinator, 2, 1),
        (&coordinator, 1, 5),
        (&coordinator, 3, 2),
        (&other, 1, 4),
    ];
    for (from, number, in_flight) in steps {
        limiter.set_share(from, share(number, in_flight), until);
        now = now.after(MIN_REPORT_INTERVAL);
        let coordinator_share = limiter.demand(now, &coordinator).expect("a report").have;
        now = now.after(MIN_REPORT_INTERVAL);
        have.push((
            coordinator_share,
            limiter.demand(now, &other).expect("a report").have,
        ));
    }
    assert_eq!(have, [(2, 0), (2, 0), (3, 0), (0, 1)]);
}
