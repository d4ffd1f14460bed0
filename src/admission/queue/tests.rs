use std::time::Duration;

use super::*;

fn request(id: u64, rank: u8, caller: &str, deadline_ms: u64) -> SlotRequest {
    SlotRequest {
        id: PermitId(id),
        rank: Rank(rank),
        caller: CallerName::from(caller),
        deadline: Time::from_millis(deadline_ms),
        borrower: None,
        may_wait: true,
        excluded: Vec::new(),
    }
}

fn queue(take_turns: bool, requests: &[SlotRequest]) -> Queue {
    let mut queue = Queue::new(take_turns);
    for request in requests {
        queue.push(QueuedRequest {
            request: request.clone(),
            expires_at: request.deadline,
        });
    }
    queue
}

fn drain(queue: &mut Queue) -> Vec<u64> {
    let take = || Some(queue.take(|_| true)?.request.id.0);
    std::iter::from_fn(take).collect()
}

#[test]
fn requests_are_served_by_rank_then_caller_turn_then_deadline() {
    let waiting = [
        request(1, 2, "a", 10),
        request(2, 1, "a", 30),
        request(3, 1, "a", 20),
        request(4, 1, "b", 90),
        request(5, 0, "c", 99),
    ];
    let turns = drain(&mut queue(true, &waiting));
    let deadline_alone = drain(&mut queue(false, &waiting));
    insta::assert_debug_snapshot!((turns, deadline_alone), @r"
    (
        [
            5,
            3,
            4,
            2,
            1,
        ],
        [
            5,
            3,
            2,
            4,
            1,
        ],
    )
    ");
}

#[test]
fn full_queue_displaces_by_rank_then_by_caller() {
    let idle = [request(1, 2, "a", 10), request(2, 2, "a", 20)];
    let cases = [
        (
            "an urgent request displaces the last idle one",
            request(9, 0, "b", 5),
            Some(2),
        ),
        (
            "an idle request of another caller displaces one of the caller with most requests",
            request(9, 2, "b", 5),
            Some(2),
        ),
        (
            "a caller does not displace its own request",
            request(9, 2, "a", 5),
            None,
        ),
        (
            "a less urgent request displaces nothing",
            request(9, 3, "b", 5),
            None,
        ),
    ];
    for (what, newcomer, expected) in cases {
        let mut queue = queue(true, &idle);
        let displaced = queue.displace(&newcomer).map(|w| w.request.id.0);
        assert_eq!(displaced, expected, "{what}");
        assert_eq!(queue.len(), 2 - usize::from(expected.is_some()), "{what}");
    }
}

#[test]
fn request_that_cannot_finish_in_time_expires_before_it_starts() {
    let mut queue = queue(true, &[request(1, 0, "a", 10), request(2, 0, "a", 30)]);
    let early = queue.expire(Time::from_millis(4), Duration::from_millis(5));
    assert!(early.is_empty());
    let late = queue.expire(Time::from_millis(6), Duration::from_millis(5));
    assert_eq!(late.len(), 1);
    assert_eq!(late[0].request.id, PermitId(1));
    assert_eq!(queue.len(), 1);
}

/// Serves a random mix of requests. Returns the largest lead, in turns, that
/// any caller gained over another caller that was waiting all the time.
fn max_lead(
    u: &mut arbtest::arbitrary::Unstructured<'_>,
    take_turns: bool,
) -> arbtest::arbitrary::Result<usize> {
    let callers = ["a", "b", "c"];
    let mut queue = Queue::new(take_turns);
    let mut id = 0;
    // Requests of each caller (second index) that were served since the watched
    // caller (first index) began to wait.
    let mut served = [[0_usize; 3]; 3];
    let mut waiting = [0_usize; 3];
    let mut max_seen = 0;
    for _ in 0..u.int_in_range(1..=60)? {
        if u.ratio(3, 5)? || queue.is_empty() {
            let caller = u.choose_index(3)?;
            id += 1;
            if waiting[caller] == 0 {
                served[caller] = [0; 3];
            }
            waiting[caller] += 1;
            let deadline = u.int_in_range(1..=1_000)?;
            let request = request(id, 1, callers[caller], deadline);
            let expires_at = request.deadline;
            queue.push(QueuedRequest {
                request,
                expires_at,
            });
            continue;
        }
        let Some(taken) = queue.take(|_| true) else {
            continue;
        };
        let name = taken.request.caller.as_str();
        let caller = callers.iter().position(|c| *c == name).unwrap_or(0);
        waiting[caller] -= 1;
        for watched in 0..3 {
            if watched != caller && waiting[watched] > 0 {
                served[watched][caller] += 1;
                max_seen =
                    max_seen.max(served[watched][caller].saturating_sub(served[watched][watched]));
            }
        }
        served[caller][caller] += 1;
    }
    Ok(max_seen)
}

/// Largest lead, in turns, that a caller may gain over another one that waits.
const MAX_FAIR_LEAD: usize = 2;

#[test]
fn callers_of_one_rank_are_served_in_turn() {
    arbtest::arbtest(|u| {
        let lead = max_lead(u, true)?;
        assert!(lead <= MAX_FAIR_LEAD, "lead of {lead} turns");
        Ok(())
    });
}

#[test]
fn property_test_detects_missing_turns() {
    let found = testing::search::finds(|u| Ok(max_lead(u, false)? > MAX_FAIR_LEAD));
    assert!(found, "the property test must fail when turns are disabled");
}
