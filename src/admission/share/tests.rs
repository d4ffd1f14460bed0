use arbtest::arbitrary::{Result, Unstructured};

use super::*;

const LIMIT: u32 = 10;

fn limits() -> CallerLimits {
    CallerLimits {
        calls_per_second: Some(100.0),
        in_flight: Some(LIMIT),
        bytes_per_second: None,
    }
}

#[test]
fn limit_is_divided_by_demand() {
    let cases = [
        (vec![0.0, 0.0], vec![5.0, 5.0]),
        (vec![2.0, 0.0], vec![6.0, 4.0]),
        (vec![20.0, 2.0], vec![8.0, 2.0]),
        (vec![20.0, 20.0, 1.0], vec![4.5, 4.5, 1.0]),
        (vec![20.0], vec![10.0]),
    ];
    for (demands, expected) in cases {
        let shares: Vec<_> = (0..demands.len())
            .map(|index| max_min_fair_share(10.0, &demands, index))
            .collect();
        assert_eq!(shares, expected, "{demands:?}");
    }
}

/// One instance in the property test.
#[derive(Default)]
struct Member {
    running: u32,
    share: Option<(Share, Time)>,
}

impl Member {
    fn share(&self, now: Time) -> Share {
        let valid = self.share.filter(|(_, until)| now < *until);
        valid.map(|(share, _)| share).unwrap_or_default()
    }
}

/// Simulates instances that request shares, lose responses, start and finish
/// calls. Returns the largest sums of calls in flight and of call rates.
fn max_totals(u: &mut Unstructured<'_>, count_until_expiry: bool) -> Result<(u32, f64)> {
    let names: Vec<_> = ["one", "two", "three", "four"].map(InstanceId::from).into();
    let mut members: Vec<Member> = names.iter().map(|_| Member::default()).collect();
    let mut now = Time::from_secs(1);
    let mut allocator = ShareAllocator::new(now, count_until_expiry);
    let (mut calls, mut rates) = (0, 0.0_f64);
    for _ in 0..u.int_in_range(1..=80)? {
        now = now.after(Duration::from_millis(u.int_in_range(0..=500)?));
        let index = u.choose_index(members.len())?;
        let running = members[index].running;
        match u.int_in_range(0..=3)? {
            0 | 1 => {
                let have = members[index].share.map_or(0, |(share, _)| share.number);
                let demand = Demand {
                    have,
                    calls_per_second: f64::from(u.int_in_range(0..=200_u32)?),
                    in_flight: running,
                    wanted_in_flight: running + u.int_in_range(0..=20)?,
                    bytes_per_second: 0.0,
                };
                let share =
                    allocator.allocate(now, &names[index], demand, &limits(), members.len());
                let response_lost = u.ratio(1, 3)?;
                if !response_lost {
                    members[index].share = Some((share, now.after(SHARE_TTL)));
                }
            }
            2 => {
                let free = members[index].share(now).in_flight.saturating_sub(running);
                members[index].running += u.int_in_range(0..=free)?;
            }
            _ => members[index].running = u.int_in_range(0..=running)?,
        }
        // Calls that outlast the share of an unreachable instance don't count.
        for member in &mut members {
            if member.share(now).in_flight == 0 {
                member.running = 0;
            }
        }
        calls = calls.max(members.iter().map(|m| m.running).sum());
        rates = rates.max(members.iter().map(|m| m.share(now).calls_per_second).sum());
    }
    Ok((calls, rates))
}

#[test]
fn shares_add_up_to_at_most_the_limit() {
    arbtest::arbtest(|u| {
        let (calls, rates) = max_totals(u, true)?;
        assert!(calls <= LIMIT, "{calls} calls in flight");
        assert!(rates <= 100.0 + 1e-6, "{rates} calls a second");
        Ok(())
    });
}

#[test]
fn property_test_detects_counting_only_the_last_share() {
    let found = testing::search::finds(|u| {
        let (calls, rates) = max_totals(u, false)?;
        Ok(calls > LIMIT || rates > 100.0 + 1e-6)
    });
    assert!(
        found,
        "the property test must fail when only the last share counts"
    );
}
